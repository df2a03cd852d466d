#include "message.h"

#include "../base/error.h"

#include <string.h>

struct msg *msg_new(enum msg_type type)
{
	struct msg *m = g_new0(struct msg, 1);

	m->type = type;
	return m;
}

enum outcome submit_refusal_outcome(const struct submit *submit,
				    bool is_claimed)
{
	if (submit->is_idempotent || !*submit->request_id || is_claimed)
		return OUTCOME_NOT_RUN;
	return OUTCOME_UNKNOWN;
}

static void unref(GBytes *bytes)
{
	if (bytes)
		g_bytes_unref(bytes);
}

static void clear_submit(struct msg *m)
{
	unref(m->u.submit.body);
}

static void clear_reply(struct msg *m)
{
	unref(m->u.reply.body);
}

static void clear_task_start(struct msg *m)
{
	unref(m->u.task_start.body);
}

static void clear_task_done(struct msg *m)
{
	unref(m->u.task_done.body);
}

static void clear_task_control_done(struct msg *m)
{
	unref(m->u.task_control_done.body);
}

static void clear_kv_call(struct msg *m)
{
	unref(m->u.kv_call.value);
}

static void clear_kv_done(struct msg *m)
{
	struct kv_done *d = &m->u.kv_done;
	size_t i;

	for (i = 0; i < d->rows_nr; i++)
		unref(d->rows[i].value);
	g_free(d->rows);
	g_free(d->hosts);
}

static void clear_peer(struct msg *m)
{
	peer_msg_clear(&m->u.peer);
}

static void clear_admin_call(struct msg *m)
{
	g_free(m->u.admin_call.changes);
	unref(m->u.admin_call.body);
}

static void clear_admin_reply(struct msg *m)
{
	unref(m->u.admin_reply.body);
}

static void clear_metrics_reply(struct msg *m)
{
	unref(m->u.metrics_reply.text);
}

static void clear_event(struct msg *m)
{
	if (m->u.event.pairs)
		g_string_free(m->u.event.pairs, TRUE);
}

struct msg_type_row {
	const char *name;
	void (*clear)(struct msg *m); /* NULL if there is nothing to free */
};

static const struct msg_type_row msg_types[MSG_TYPE_NR] = {
	[MSG_NONE] = { "none", NULL },
	[MSG_SUBMIT] = { "submit", clear_submit },
	[MSG_JOB_QUERY] = { "job_query", NULL },
	[MSG_JOB_CANCEL] = { "job_cancel", NULL },
	[MSG_CALLER_GONE] = { "caller_gone", NULL },
	[MSG_REPLY] = { "reply", clear_reply },
	[MSG_TASK_START] = { "task_start", clear_task_start },
	[MSG_TASK_CONTROL] = { "task_control", NULL },
	[MSG_USAGE_POLL] = { "usage_poll", NULL },
	[MSG_TASK_DONE] = { "task_done", clear_task_done },
	[MSG_TASK_CONTROL_DONE] = { "task_control_done",
				    clear_task_control_done },
	[MSG_USAGE] = { "usage", NULL },
	[MSG_KV_CALL] = { "kv_call", clear_kv_call },
	[MSG_KV_DONE] = { "kv_done", clear_kv_done },
	[MSG_PEER] = { "peer", clear_peer },
	[MSG_PEER_STATE] = { "peer_state", NULL },
	[MSG_ADMIN_CALL] = { "admin_call", clear_admin_call },
	[MSG_ADMIN_REPLY] = { "admin_reply", clear_admin_reply },
	[MSG_METRICS_CALL] = { "metrics_call", NULL },
	[MSG_METRICS_REPLY] = { "metrics_reply", clear_metrics_reply },
	[MSG_DRAIN] = { "drain", NULL },
	[MSG_EVENT] = { "event", clear_event },
	[MSG_SPAN] = { "span", NULL },
};

void msg_free(struct msg *m)
{
	if (!m)
		return;
	if (msg_types[m->type].clear)
		msg_types[m->type].clear(m);
	g_free(m);
}

void msg_free_item(void *msg)
{
	msg_free(msg);
}

void peer_msg_clear(struct peer_msg *p)
{
	switch (p->kind) {
	case PEER_SUMMARY:
		g_free(p->u.summary.rows);
		break;
	case PEER_CONFIG:
		unref(p->u.config.document);
		break;
	case PEER_FORWARD:
		unref(p->u.forward.body);
		break;
	case PEER_FORWARD_REPLY:
		unref(p->u.forward_reply.body);
		break;
	case PEER_JOB_COPY:
		unref(p->u.job_copy.record);
		break;
	default:
		break;
	}
}

struct msg *msg_kv_done(const struct kv_call *call, enum kv_result result)
{
	struct msg *msg = msg_new(MSG_KV_DONE);
	struct kv_done *done = &msg->u.kv_done;

	done->part = call->part;
	done->token = call->token;
	done->op = call->op;
	done->result = result;
	cs_copy(done->key, sizeof(done->key), call->key);
	return msg;
}

struct msg *msg_metrics_reply(cs_handle caller, int source,
			      const struct counters *counters)
{
	struct msg *msg = msg_new(MSG_METRICS_REPLY);
	GString *text = g_string_new(NULL);

	counters_render(counters, text);
	msg->u.metrics_reply.caller = caller;
	msg->u.metrics_reply.source = source;
	msg->u.metrics_reply.text = g_string_free_to_bytes(text);
	return msg;
}

const char *msg_type_name(enum msg_type type)
{
	return (unsigned)type < MSG_TYPE_NR ? msg_types[type].name : "invalid";
}

const char *peer_kind_name(enum peer_kind kind)
{
	static const char *const names[PEER_KIND_NR] = {
		[PEER_HEARTBEAT] = "heartbeat",
		[PEER_SUMMARY] = "summary",
		[PEER_CONFIG] = "config",
		[PEER_CONFIG_ACK] = "config_ack",
		[PEER_FORWARD] = "forward",
		[PEER_FORWARD_REPLY] = "forward_reply",
		[PEER_FORWARD_CANCEL] = "forward_cancel",
		[PEER_CLAIM] = "claim",
		[PEER_CLAIM_REPLY] = "claim_reply",
		[PEER_CLAIM_COPY] = "claim_copy",
		[PEER_CLAIM_COPY_ACK] = "claim_copy_ack",
		[PEER_CLAIM_RELEASE] = "claim_release",
		[PEER_JOB_COPY] = "job_copy",
		[PEER_JOB_COPY_ACK] = "job_copy_ack",
	};

	return (unsigned)kind < PEER_KIND_NR ? names[kind] : "invalid";
}
