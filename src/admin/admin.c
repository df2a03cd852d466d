#include "admin.h"

#include <event2/event.h>
#include <sodium.h>
#include <string.h>

#include "../base/counters.h"
#include "../base/error.h"
#include "../base/http_server.h"
#include "../base/task.h"
#include "../team/team.h"
#include "admin_decode.h"
#include "metrics_merge.h"

/* An entry has few operators, probes and metric collectors. */
#define CONNECTIONS_MAX 64

/* Retry-After when the core's mailbox is full. */
#define OVERLOAD_RETRY_MS 1000

static const char requests_total[] = "admin_requests_total";
static const char refusals_total[] = "admin_refusals_total";

struct admin {
	struct admin_options options;
	uint8_t token_digest[CS_DIGEST_LEN];
	struct bus *bus;
	struct task *task;
	struct event_base *base; /* of the task */
	struct http_server *server;
	struct counters *counters;
	GRand *rng;
};

/* State of an exchange that waits for an answer. */
struct admin_row {
	struct admin *admin;
	cs_handle self;
	struct event *deadline;
	enum admin_target target;
	const char *timeout_outcome;
	char peer[CS_ADDRESS_MAX];
	GBytes *metrics[BUS_TASK_NR]; /* received so far, NULL if missing */
};

/* Frees the timer and the metrics of a row, before the exchange ends. */
static void clear_row(struct admin_row *row)
{
	int i;

	if (row->deadline)
		event_free(row->deadline);
	row->deadline = NULL;
	for (i = 0; i < BUS_TASK_NR; i++) {
		if (row->metrics[i])
			g_bytes_unref(row->metrics[i]);
		row->metrics[i] = NULL;
	}
}

/* Ends the exchange with an answer. Takes ownership of body. */
static void send_response(struct admin *a, cs_handle exchange, int status,
			  const char *content_type, GBytes *body)
{
	struct http_response response = {
		.status = status,
		.content_type = content_type,
		.body = body,
	};

	http_count_status(a->counters, requests_total, status);
	clear_row(http_server_row(a->server, exchange));
	http_server_reply(a->server, exchange, &response);
	if (body)
		g_bytes_unref(body);
}

static void on_refused(void *ctx, const struct http_refusal *refusal)
{
	struct admin *a = ctx;

	http_count_status(a->counters, requests_total, refusal->status);
	http_count_refusal(a->counters, refusals_total, refusal->reason);
}

static void refuse(struct admin *a, cs_handle exchange,
		   const struct http_refusal *refusal)
{
	on_refused(a, refusal);
	clear_row(http_server_row(a->server, exchange));
	http_server_refuse(a->server, exchange, refusal);
}

/* Answers /metrics with the metrics received and the admin task's own. */
static void send_metrics(struct admin *a, struct admin_row *row)
{
	GString *own = g_string_new(NULL);
	GString *out = g_string_new(NULL);

	counters_set(a->counters, "admin_open_connections", "",
		     http_server_connections(a->server));
	counters_render(a->counters, own);
	row->metrics[BUS_ADMIN] = g_string_free_to_bytes(own);
	metrics_merge(row->metrics, BUS_TASK_NR, out);
	send_response(a, row->self, 200, "text/plain; version=0.0.4",
		      g_string_free_to_bytes(out));
}

/* Answers /metrics without the missing tasks; refuses all other requests. */
static void on_deadline(evutil_socket_t fd, short events, void *arg)
{
	struct admin_row *row = arg;
	struct admin *a = row->admin;
	struct http_refusal refusal = {
		.status = 504,
		.reason = "no_answer",
		.outcome = row->timeout_outcome,
		.step = "core",
		.peer = row->peer,
	};
	int i;

	(void)fd;
	(void)events;
	if (row->target != ADMIN_TARGET_TASKS) {
		refuse(a, row->self, &refusal);
		return;
	}
	for (i = 0; i < BUS_TASK_NR; i++) {
		char labels[32];

		if (row->metrics[i] || i == BUS_ADMIN)
			continue;
		g_snprintf(labels, sizeof(labels), "task=\"%s\"",
			   bus_task_name(i));
		counters_add(a->counters, "admin_metrics_missing_total", labels,
			     1);
	}
	send_metrics(a, row);
}

static bool set_deadline(struct admin *a, struct admin_row *row,
			 int64_t timeout_ms)
{
	struct timeval wait = {
		.tv_sec = timeout_ms / 1000,
		.tv_usec = timeout_ms % 1000 * 1000,
	};

	row->deadline = evtimer_new(a->base, on_deadline, row);
	return row->deadline && !evtimer_add(row->deadline, &wait);
}

/*
 * Posts a call to the core. If the core's mailbox is full, the request is
 * refused with outcome "not_run".
 */
static void call_core(struct admin *a, struct admin_row *row, struct msg *msg)
{
	struct http_refusal refusal = {
		.status = 503,
		.reason = "overloaded",
		.outcome = "not_run",
		.step = "submit",
		.peer = row->peer,
		.retry_after_ms = OVERLOAD_RETRY_MS,
	};

	if (!bus_post(a->bus, BUS_ADMIN, msg))
		return;
	msg_free(msg);
	refuse(a, row->self, &refusal);
}

static void request_metrics(struct admin *a, cs_handle exchange)
{
	int i;

	for (i = 0; i < BUS_TASK_NR; i++)
		if (i != BUS_ADMIN)
			bus_request_metrics(a->bus, i, exchange);
}

/*
 * Answers health checks itself, requests metrics from all tasks, and posts
 * other calls to the core. Metrics and calls have a deadline.
 */
static void on_request(void *ctx, cs_handle exchange,
		       const struct http_request *req)
{
	struct admin *a = ctx;
	struct admin_row *row = http_server_row(a->server, exchange);
	struct trace trace = http_request_trace(req, a->rng);
	struct admin_request request;
	struct http_refusal refusal;

	row->admin = a;
	row->self = exchange;
	cs_copy(row->peer, sizeof(row->peer), req->peer);
	if (admin_decode(req, exchange, &trace,
			 *a->options.token ? a->token_digest : NULL, &request,
			 &refusal)) {
		refuse(a, exchange, &refusal);
		return;
	}
	row->target = request.target;
	row->timeout_outcome = request.timeout_outcome;
	if (request.target == ADMIN_TARGET_SELF) {
		send_response(a, exchange, 200, "text/plain",
			      g_bytes_new_static("ok\n", 3));
		return;
	}
	if (!set_deadline(a, row, request.timeout_ms)) {
		msg_free(request.msg);
		send_response(a, exchange, 500, "text/plain", NULL);
		return;
	}
	if (request.target == ADMIN_TARGET_TASKS)
		request_metrics(a, exchange);
	else
		call_core(a, row, request.msg);
}

static void on_disconnect(void *ctx, cs_handle exchange)
{
	struct admin *a = ctx;

	clear_row(http_server_row(a->server, exchange));
}

static void on_reply(struct admin *a, const struct admin_reply *reply)
{
	const struct admin_row *row = http_server_row(a->server, reply->caller);

	if (!row || row->target != ADMIN_TARGET_CORE)
		return;
	send_response(a, reply->caller, reply->status, "application/json",
		      reply->body ? g_bytes_ref(reply->body) : NULL);
}

/* Stores one task's metrics, and answers once all tasks have sent theirs. */
static void on_metrics(struct admin *a, const struct metrics_reply *reply)
{
	struct admin_row *row = http_server_row(a->server, reply->caller);
	int i;

	if (!row || row->target != ADMIN_TARGET_TASKS || reply->source < 0 ||
	    reply->source >= BUS_TASK_NR || reply->source == BUS_ADMIN ||
	    !reply->text || row->metrics[reply->source])
		return;
	row->metrics[reply->source] = g_bytes_ref(reply->text);
	for (i = 0; i < BUS_TASK_NR; i++)
		if (!row->metrics[i] && i != BUS_ADMIN)
			return;
	send_metrics(a, row);
}

/*
 * Handles and frees a message. Replies to exchanges that have ended are
 * dropped.
 */
static void on_msg(void *state, struct task *task, void *item)
{
	struct admin *a = state;
	struct msg *msg = item;

	(void)task;
	switch (msg->type) {
	case MSG_ADMIN_REPLY:
		on_reply(a, &msg->u.admin_reply);
		break;
	case MSG_METRICS_REPLY:
		on_metrics(a, &msg->u.metrics_reply);
		break;
	default:
		break;
	}
	msg_free(msg);
}

/* Runs on the admin task's thread, which owns the server. */
static int start(void *state, struct task *task, struct cs_error *err)
{
	static const struct http_server_ops ops = {
		.on_request = on_request,
		.on_disconnect = on_disconnect,
		.on_refused = on_refused,
	};
	struct admin *a = state;
	struct http_server_options options = {
		.name = "admin",
		.address = a->options.address,
		/* The platform can't store a longer document. */
		.body_max = (size_t)CS_VALUE_MAX,
		.connections_max = CONNECTIONS_MAX,
		.row_size = sizeof(struct admin_row),
	};

	a->base = task_event_base(task);
	a->server = http_server_create(a->base, &options, &ops, a, err);
	return a->server ? CS_OK : CS_ERR_IO;
}

static void stop(void *state, struct task *task)
{
	struct admin *a = state;

	(void)task;
	http_server_destroy(a->server);
}

static const struct task_ops admin_task = {
	.name = "admin",
	.start = start,
	.on_msg = on_msg,
	.stop = stop,
};

struct admin *admin_create(const struct admin_options *options, struct bus *bus,
			   struct cs_error *err)
{
	struct admin *a;

	if (sodium_init() < 0) {
		cs_error_set(err, CS_ERR_IO, "admin", NULL,
			     "libsodium can't be initialized");
		return NULL;
	}
	a = g_new0(struct admin, 1);
	a->options = *options;
	a->bus = bus;
	a->counters = counters_create();
	a->rng = g_rand_new();
	team_key_digest(options->token, strlen(options->token),
			a->token_digest);
	a->task = task_create(&admin_task, a, bus_mailbox(bus, BUS_ADMIN), err);
	if (!a->task) {
		admin_destroy(a);
		return NULL;
	}
	return a;
}

void admin_destroy(struct admin *a)
{
	if (!a)
		return;
	task_destroy(a->task);
	g_rand_free(a->rng);
	counters_destroy(a->counters);
	g_free(a);
}
