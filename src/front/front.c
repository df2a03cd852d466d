#include "front.h"

#include <sodium.h>
#include <string.h>

#include "../base/counters.h"
#include "../base/error.h"
#include "../base/http_server.h"
#include "../base/task.h"
#include "front_decode.h"
#include "front_reply.h"

/*
 * Retry-After when the core's mailbox is full, in ms. A full mailbox holds
 * seconds of work, so an earlier retry would mostly be refused again.
 */
#define OVERLOAD_RETRY_MS 1000

static const char requests_total[] = "front_requests_total";
static const char refusals_total[] = "front_refusals_total";

struct front {
	struct front_options options;
	struct bus *bus;
	struct task *task;
	struct http_server *server;
	struct counters *counters;
	GRand *rng;
};

/* The front's data of an exchange. */
struct front_exchange {
	struct trace trace; /* the front's own span */
	cs_time start;
	char peer[CS_ADDRESS_MAX];
};

/* The span covers the time from the complete request to the reply. */
static void emit_span(struct front *f, const struct front_exchange *row,
		      const char *result)
{
	struct msg *msg = msg_new(MSG_SPAN);
	struct span *span = &msg->u.span;

	cs_copy(span->name, sizeof(span->name), "front");
	cs_copy(span->peer, sizeof(span->peer), row->peer);
	cs_copy(span->result, sizeof(span->result), result);
	span->trace = row->trace;
	span->start = row->start;
	span->end = task_now();
	bus_post(f->bus, BUS_FRONT, msg);
}

static void on_refused(void *ctx, const struct http_refusal *refusal)
{
	struct front *f = ctx;

	http_count_status(f->counters, requests_total, refusal->status);
	http_count_refusal(f->counters, refusals_total, refusal->reason);
}

/* Counts and logs a connection that a limit ended. */
static void on_limit(void *ctx, const struct http_limit *limit)
{
	struct front *f = ctx;
	GString *pairs;

	http_count_limit(f->counters, "front_callers_ended_total", limit);
	if (!limit->is_logged)
		return;
	pairs = g_string_new(NULL);
	http_log_limit(pairs, limit);
	log_write(bus_log(f->bus), LOG_WARN, "front", "receive", limit->peer,
		  NULL, pairs->str);
	g_string_free(pairs, TRUE);
}

static void refuse(struct front *f, cs_handle exchange,
		   const struct http_refusal *refusal)
{
	on_refused(f, refusal);
	emit_span(f, http_server_row(f->server, exchange), refusal->reason);
	http_server_refuse(f->server, exchange, refusal);
}

/*
 * Refuses a request because the core's mailbox is full. The outcome is
 * "unknown" for a query, since its job may have run, and for a submission that
 * may repeat an earlier one.
 */
static void refuse_overload(struct front *f, cs_handle exchange,
			    const struct msg *msg, const char *peer)
{
	enum outcome outcome =
		msg->type == MSG_SUBMIT ?
			submit_refusal_outcome(&msg->u.submit, false) :
			OUTCOME_UNKNOWN;
	struct http_refusal refusal = {
		.status = 503,
		.reason = "overloaded",
		.outcome = front_outcome_name(outcome),
		.step = "submit",
		.peer = peer,
		.retry_after_ms = OVERLOAD_RETRY_MS,
	};

	refuse(f, exchange, &refusal);
}

/* Decodes a request and posts it to the core, or refuses it. */
static void on_request(void *ctx, cs_handle exchange,
		       const struct http_request *req)
{
	struct front *f = ctx;
	struct front_exchange *row = http_server_row(f->server, exchange);
	struct http_refusal refusal;
	struct msg *msg;

	row->trace = http_request_trace(req, f->rng);
	row->start = task_now();
	cs_copy(row->peer, sizeof(row->peer), req->peer);
	msg = front_decode(req, exchange, &row->trace, &refusal);
	if (!msg) {
		refuse(f, exchange, &refusal);
		return;
	}
	if (bus_post(f->bus, BUS_FRONT, msg)) {
		refuse_overload(f, exchange, msg, req->peer);
		msg_free(msg);
	}
}

/* Reports a disconnected caller, whose request the core then drops. */
static void on_disconnect(void *ctx, cs_handle exchange)
{
	struct front *f = ctx;
	struct msg *msg = msg_new(MSG_CALLER_GONE);

	counters_add(f->counters, "front_callers_gone_total", "", 1);
	emit_span(f, http_server_row(f->server, exchange), "gone");
	msg->u.caller = exchange;
	bus_post(f->bus, BUS_FRONT, msg);
}

/*
 * Sends the core's reply. The row of an exchange no longer exists after its
 * caller disconnected or was answered.
 */
static void on_reply(struct front *f, const struct reply *reply)
{
	const struct front_exchange *row =
		http_server_row(f->server, reply->caller);
	struct http_response response;

	if (!row) {
		counters_add(f->counters, "front_late_replies_total", "", 1);
		return;
	}
	front_reply_encode(reply, &response);
	http_count_status(f->counters, requests_total, response.status);
	if (reply->outcome == OUTCOME_NOT_RUN ||
	    reply->outcome == OUTCOME_UNKNOWN)
		http_count_refusal(f->counters, refusals_total, reply->reason);
	emit_span(f, row, front_outcome_name(reply->outcome));
	http_server_reply(f->server, reply->caller, &response);
	g_bytes_unref(response.body);
}

static void reply_metrics(struct front *f, cs_handle caller)
{
	counters_set(f->counters, "front_open_connections", "",
		     http_server_connections(f->server));
	counters_set(f->counters, "front_held_bytes", "",
		     (int64_t)http_server_held_bytes(f->server));
	bus_post(f->bus, BUS_FRONT,
		 msg_metrics_reply(caller, BUS_FRONT, f->counters));
}

/* Handles a message and frees it. */
static void on_msg(void *state, struct task *task, void *item)
{
	struct front *f = state;
	struct msg *msg = item;

	(void)task;
	switch (msg->type) {
	case MSG_REPLY:
		on_reply(f, &msg->u.reply);
		break;
	case MSG_METRICS_CALL:
		reply_metrics(f, msg->u.metrics_call.caller);
		break;
	default:
		break;
	}
	msg_free(msg);
}

/* Creates the server on the thread of the front task, which owns it. */
static int start(void *state, struct task *task, struct cs_error *err)
{
	static const struct http_server_ops ops = {
		.on_request = on_request,
		.on_disconnect = on_disconnect,
		.on_refused = on_refused,
		.on_limit = on_limit,
	};
	struct front *f = state;
	struct http_server_options options = {
		.name = "front",
		.address = f->options.address,
		.body_max = f->options.body_max,
		.connections_max = (uint32_t)MAX(f->options.connections_max, 1),
		.buffer_max = f->options.buffer_max,
		.head_timeout_ms = f->options.head_timeout_ms,
		.body_timeout_ms = f->options.body_timeout_ms,
		.row_size = sizeof(struct front_exchange),
	};

	f->server = http_server_create(task_event_base(task), &options, &ops, f,
				       err);
	return f->server ? CS_OK : CS_ERR_IO;
}

static void stop(void *state, struct task *task)
{
	struct front *f = state;

	(void)task;
	http_server_destroy(f->server);
}

static const struct task_ops front_task = {
	.name = "front",
	.start = start,
	.on_msg = on_msg,
	.stop = stop,
};

struct front *front_create(const struct front_options *options, struct bus *bus,
			   struct cs_error *err)
{
	struct front *f;

	if (sodium_init() < 0) {
		cs_error_set(err, CS_ERR_IO, "front", NULL,
			     "libsodium can't be initialized");
		return NULL;
	}
	f = g_new0(struct front, 1);
	f->options = *options;
	f->bus = bus;
	f->counters = counters_create();
	f->rng = g_rand_new();
	f->task = task_create(&front_task, f, bus_mailbox(bus, BUS_FRONT), err);
	if (!f->task) {
		front_destroy(f);
		return NULL;
	}
	return f;
}

void front_destroy(struct front *f)
{
	if (!f)
		return;
	task_destroy(f->task);
	g_rand_free(f->rng);
	counters_destroy(f->counters);
	g_free(f);
}
