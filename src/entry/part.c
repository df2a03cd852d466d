#include "part.h"

#include "../base/error.h"
#include "../base/log.h"

#include <string.h>

void part_emit(struct part_ctx *ctx, struct msg *msg)
{
	ctx->outbox->emit(ctx->outbox_ctx, msg);
}

struct msg *part_kv_call(enum part_id part, enum kv_op op, const char *key,
			 uint64_t token)
{
	struct msg *msg = msg_new(MSG_KV_CALL);

	msg->u.kv_call.part = part;
	msg->u.kv_call.op = op;
	msg->u.kv_call.token = token;
	cs_copy(msg->u.kv_call.key, sizeof(msg->u.kv_call.key), key);
	return msg;
}

struct msg *part_peer_msg(enum peer_kind kind, const char *peer)
{
	struct msg *msg = msg_new(MSG_PEER);

	msg->u.peer.kind = kind;
	cs_copy(msg->u.peer.peer, sizeof(msg->u.peer.peer), peer);
	return msg;
}

void part_event(struct part_ctx *ctx, int level, const char *step,
		const char *peer, const struct trace *trace, GString *pairs)
{
	struct msg *msg = msg_new(MSG_EVENT);

	msg->u.event.level = level;
	cs_copy(msg->u.event.step, sizeof(msg->u.event.step), step);
	cs_copy(msg->u.event.peer, sizeof(msg->u.event.peer), peer);
	if (trace)
		msg->u.event.trace = *trace;
	msg->u.event.pairs = pairs;
	part_emit(ctx, msg);
}

bool part_check_invariant(struct part_ctx *ctx, const char *name, bool holds)
{
	GString *pairs;
	char labels[64];

	g_snprintf(labels, sizeof(labels), "invariant=\"%s\"", name);
	counters_add(ctx->counters, "invariant_checks_total", labels, 1);
	if (holds)
		return true;
	counters_add(ctx->counters, "invariant_violations_total", labels, 1);
	ctx->is_draining = true;
	pairs = g_string_new(NULL);
	log_pair(pairs, "event", "invariant_violated");
	log_pair(pairs, "invariant", name);
	part_event(ctx, LOG_FATAL, "invariant", NULL, NULL, pairs);
	return false;
}

int part_peer_index(const struct part_ctx *ctx, const char *id)
{
	size_t i;

	for (i = 0; i < ctx->options->peers_nr; i++)
		if (!strcmp(ctx->options->peers[i].id, id))
			return (int)i;
	return -1;
}

bool part_peer_is_up(const struct part_ctx *ctx, const char *id)
{
	int i = part_peer_index(ctx, id);

	return i >= 0 && ctx->peers[i].is_up;
}

const char *part_leader_entry(const struct part_ctx *ctx,
			      const char *data_centre)
{
	const struct entry_options *o = ctx->options;
	const char *leader = NULL;
	size_t i;

	if (!strcmp(o->data_centre, data_centre))
		leader = o->id;
	for (i = 0; i < o->peers_nr; i++) {
		if (!ctx->peers[i].is_up ||
		    strcmp(o->peers[i].data_centre, data_centre))
			continue;
		if (!leader || strcmp(o->peers[i].id, leader) < 0)
			leader = o->peers[i].id;
	}
	return leader;
}
