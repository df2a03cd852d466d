#include "worker_client.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "../base/counters.h"
#include "../base/error.h"
#include "../base/http_client.h"
#include "../base/json.h"
#include "../base/slots.h"
#include "../base/task.h"

/*
 * Control calls have connections of their own, since leases must be renewed
 * while long calls occupy all the others.
 */
enum connection_group { GROUP_WORK, GROUP_CONTROL };

/* Connections to a worker that are reserved for control calls. */
#define CONTROL_CONNECTIONS 2

/* Leases are renewed every 2 s, so a later response is obsolete. */
#define CONTROL_TIMEOUT_US (2 * CS_SEC)

/* Longer, since a result can be large and only its caller waits for it. */
#define RESULT_TIMEOUT_US (10 * CS_SEC)

/* Largest body of a response, in bytes: the hosts of entries are small. */
#define RESPONSE_MAX ((size_t)16 * 1024 * 1024)

/* Maximum open calls; rows are allocated as needed. */
#define CALLS_MAX (1u << 20)

/* Holds "/tasks/", a task identifier and a checkpoint, all escaped. */
#define PATH_SIZE 2048

struct worker_client {
	struct worker_client_options options;
	struct bus *bus;
	struct task *task;
	struct http_client *http;
	struct counters *counters;
	struct slots *calls;
	GRand *rng;
};

struct worker_call {
	const struct call_ops *ops;
	struct msg *request;
	struct trace trace; /* span of this call */
	cs_time start;
};

/* The functions of one kind of call; see ops_by_type. */
struct call_ops {
	const char *name;
	/* Fills in call and path (PATH_SIZE bytes). */
	void (*encode)(const struct msg *request, cs_time now,
		       struct http_call *call, char *path);
	/* Posts the result to the core. */
	void (*finish)(struct worker_client *client, struct worker_call *call,
		       const struct http_client_response *response);
};

/* Appends formatted text to a path of PATH_SIZE bytes. */
static void __attribute__((format(printf, 2, 3)))
append(char *path, const char *fmt, ...)
{
	size_t len = strlen(path);
	va_list args;

	va_start(args, fmt);
	vsnprintf(path + len, PATH_SIZE - len, fmt, args);
	va_end(args);
}

static void append_escaped(char *path, const char *text)
{
	char *escaped =
		g_uri_escape_bytes((const guint8 *)text, strlen(text), NULL);

	append(path, "%s", escaped);
	g_free(escaped);
}

/* The call points into the request, which must outlive it. */
static void start_encode(const struct msg *request, cs_time now,
			 struct http_call *call, char *path)
{
	const struct task_start *t = &request->u.task_start;

	(void)now;
	call->method = HTTP_CALL_POST;
	call->group = GROUP_WORK;
	call->address = t->address;
	call->content_type = t->content_type;
	call->body = t->body;
	call->deadline = t->deadline;
	call->needs_live_connection = t->needs_live_connection;
	append(path, "/tasks/");
	append_escaped(path, t->task_id);
	append(path, "?lease_ms=%" PRId64 "&mode=%s", t->lease_ms,
	       t->work == WORK_LONG ? "long" : "short");
	if (*t->checkpoint) {
		append(path, "&checkpoint=");
		append_escaped(path, t->checkpoint);
	}
}

/* A worker's status for a short task that its lease has ended. */
#define STATUS_LEASE_OVER 504

/*
 * Status 429 means that the worker refused the task before it ran anything, 504
 * that the lease ended it; any other status is the task's response.
 */
static enum task_result classify_response(
	const struct http_client_response *response)
{
	if (response->result == HTTP_NOT_SENT)
		return TASK_NOT_SENT;
	if (response->result == HTTP_UNKNOWN)
		return TASK_UNKNOWN;
	if (response->status == STATUS_LEASE_OVER)
		return TASK_UNKNOWN;
	return response->status == 429 ? TASK_REFUSED : TASK_ANSWERED;
}

/*
 * Reports the span, counts the result and sends the outcome to the part that
 * started the task.
 */
static void start_finish(struct worker_client *client, struct worker_call *call,
			 const struct http_client_response *response)
{
	static const char *const names[] = { "answered", "refused", "not_sent",
					     "unknown" };
	const struct task_start *t = &call->request->u.task_start;
	enum task_result result = classify_response(response);
	struct msg *span = msg_new(MSG_SPAN);
	struct msg *m = msg_new(MSG_TASK_DONE);
	struct task_done *d = &m->u.task_done;
	char labels[48];

	cs_copy(span->u.span.name, sizeof(span->u.span.name), "worker_call");
	cs_copy(span->u.span.peer, sizeof(span->u.span.peer), t->address);
	cs_copy(span->u.span.result, sizeof(span->u.span.result),
		names[result]);
	span->u.span.trace = call->trace;
	span->u.span.start = call->start;
	span->u.span.end = task_now();
	bus_post(client->bus, BUS_WORKER, span);
	snprintf(labels, sizeof(labels), "result=\"%s\"", names[result]);
	counters_add(client->counters, "camphorshed_worker_tasks_total", labels,
		     1);

	d->part = t->part;
	d->attempt = t->attempt;
	d->result = result;
	d->status = response->status;
	d->error = response->error;
	d->is_lease_over = response->result == HTTP_ANSWERED &&
			   response->status == STATUS_LEASE_OVER;
	if (d->is_lease_over)
		cs_error_set(&d->error, CS_ERR_TIMEOUT, "receive", t->address,
			     "the task's lease is over");
	if (result == TASK_REFUSED)
		cs_error_set(&d->error, CS_ERR_FULL, "receive", t->address,
			     "the worker has no free slot");
	if (result == TASK_ANSWERED) {
		cs_copy(d->content_type, sizeof(d->content_type),
			response->content_type);
		d->body = g_bytes_ref(response->body);
	}
	bus_post(client->bus, BUS_WORKER, m);
}

/*
 * A start whose decision is older than this is not sent: the process was paused
 * since then, and the permit or the key may no longer be valid.
 */
#define DECISION_MAX_AGE (2 * CS_SEC)

/* The HTTP request of each control operation. */
static const struct control_op {
	const char *name;
	cs_time timeout;
	enum http_call_method method;
	bool is_json; /* the response is a JSON object */
} control_ops[] = {
	[TASK_RENEW] = { "renew", CONTROL_TIMEOUT_US, HTTP_CALL_POST, true },
	[TASK_CHECKPOINT] = { "checkpoint", CONTROL_TIMEOUT_US, HTTP_CALL_POST,
			      true },
	[TASK_THROTTLE] = { "throttle", CONTROL_TIMEOUT_US, HTTP_CALL_POST,
			    false },
	[TASK_STOP] = { "stop", CONTROL_TIMEOUT_US, HTTP_CALL_POST, true },
	[TASK_RESULT] = { "result", RESULT_TIMEOUT_US, HTTP_CALL_GET, false },
};

/* The deadline is the operation's timeout, not the deadline of the task. */
static void control_encode(const struct msg *request, cs_time now,
			   struct http_call *call, char *path)
{
	const struct task_control *t = &request->u.task_control;
	const struct control_op *op = &control_ops[t->op];

	call->method = op->method;
	call->group = GROUP_CONTROL;
	call->address = t->address;
	call->deadline = now + op->timeout;
	append(path, "/tasks/");
	append_escaped(path, t->task_id);
	append(path, "/%s", op->name);
	if (t->op == TASK_RENEW)
		append(path, "?lease_ms=%" PRId64, t->lease_ms);
	else if (t->op == TASK_THROTTLE)
		append(path, "?percent=%d", t->percent);
}

/* The JSON object in a response, or NULL. The caller releases it. */
static json_t *decode_object(GBytes *body)
{
	json_t *root = json_from_bytes(body, 0, NULL);

	if (json_is_object(root))
		return root;
	json_decref(root);
	return NULL;
}

/* Returns false for a name that is not a state. */
static bool state_parse(const char *name, enum task_state *state)
{
	static const char *const names[] = {
		[TASK_STATE_RUNNING] = "running",
		[TASK_STATE_DONE] = "done",
		[TASK_STATE_FAILED] = "failed",
		[TASK_STATE_STOPPED] = "stopped",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (!strcmp(names[i], name)) {
			*state = (enum task_state)i;
			return true;
		}
	}
	return false;
}

/* Decodes the task's state. Returns false if the response is malformed. */
static bool control_decode(struct task_control_done *d, GBytes *body)
{
	json_t *root = decode_object(body);
	const char *state = NULL, *checkpoint = NULL;
	bool is_valid = false;

	if (!root)
		return false;
	is_valid = !json_unpack(root, "{s:s, s:i, s?:s}", "state", &state,
				"progress", &d->progress, "checkpoint",
				&checkpoint) &&
		   state_parse(state, &d->state) && d->progress >= 0 &&
		   d->progress <= 100;
	/* A truncated checkpoint would resume the task at the wrong place. */
	if (checkpoint && strlen(checkpoint) >= sizeof(d->checkpoint))
		is_valid = false;
	cs_copy(d->checkpoint, sizeof(d->checkpoint), checkpoint);
	json_decref(root);
	return is_valid;
}

/* Writes a failed call to the log and counts it. */
static void report_failure(struct worker_client *client, const char *call,
			   const struct cs_error *err)
{
	struct msg *m = msg_new(MSG_EVENT);
	struct event_line *e = &m->u.event;
	char labels[96];

	e->level = LOG_WARN;
	cs_copy(e->step, sizeof(e->step), err->step);
	cs_copy(e->peer, sizeof(e->peer), err->peer);
	e->pairs = g_string_new(NULL);
	log_pair(e->pairs, "event", "worker_call_failed");
	log_pair(e->pairs, "call", call);
	log_pair(e->pairs, "code", cs_code_name(err->code));
	log_pair(e->pairs, "message", err->message);
	bus_post(client->bus, BUS_WORKER, m);
	snprintf(labels, sizeof(labels), "call=\"%s\",step=\"%s\"", call,
		 err->step);
	counters_add(client->counters, "camphorshed_worker_failures_total",
		     labels, 1);
}

static void report_status(struct worker_client *client, const char *call,
			  const char *address, int status, const char *message)
{
	struct cs_error err;

	cs_error_set(&err, CS_ERR_IO, "receive", address, "%s, status %d",
		     message, status);
	report_failure(client, call, &err);
}

/*
 * Status 404 means that the worker does not know the task (missing). Any other
 * status but success is an I/O error.
 */
static void control_finish(struct worker_client *client,
			   struct worker_call *call,
			   const struct http_client_response *response)
{
	const struct task_control *t = &call->request->u.task_control;
	struct msg *m = msg_new(MSG_TASK_CONTROL_DONE);
	struct task_control_done *d = &m->u.task_control_done;
	const struct control_op *op = &control_ops[t->op];

	d->part = t->part;
	d->attempt = t->attempt;
	d->op = t->op;
	d->code = CS_OK;
	if (response->result != HTTP_ANSWERED) {
		d->code = response->error.code == CS_ERR_TIMEOUT ?
				  CS_ERR_TIMEOUT :
				  CS_ERR_IO;
	} else if (response->status == 404) {
		d->state = TASK_STATE_MISSING;
	} else if (response->status != 200 && response->status != 202) {
		d->code = CS_ERR_IO;
		report_status(client, op->name, t->address, response->status,
			      "unexpected status");
	} else if (op->is_json && !control_decode(d, response->body)) {
		d->code = CS_ERR_IO;
		d->checkpoint[0] = '\0';
		report_status(client, op->name, t->address, response->status,
			      "malformed response");
	} else if (t->op == TASK_RESULT) {
		d->state = TASK_STATE_DONE;
		cs_copy(d->content_type, sizeof(d->content_type),
			response->content_type);
		d->body = g_bytes_ref(response->body);
	}
	bus_post(client->bus, BUS_WORKER, m);
}

static void usage_encode(const struct msg *request, cs_time now,
			 struct http_call *call, char *path)
{
	call->method = HTTP_CALL_GET;
	call->group = GROUP_CONTROL;
	call->address = request->u.usage_poll.address;
	call->deadline = now + CONTROL_TIMEOUT_US;
	append(path, "/usage");
}

/* Slots and running are 0 unless the response is complete and valid. */
static void usage_finish(struct worker_client *client, struct worker_call *call,
			 const struct http_client_response *response)
{
	const struct usage_poll *poll = &call->request->u.usage_poll;
	struct msg *m = msg_new(MSG_USAGE);
	struct usage *u = &m->u.usage;
	json_int_t age = 0;
	json_t *root;

	u->worker = poll->worker;
	u->code = CS_ERR_IO;
	if (response->result != HTTP_ANSWERED) {
		if (response->error.code == CS_ERR_TIMEOUT)
			u->code = CS_ERR_TIMEOUT;
		goto post;
	}
	root = decode_object(response->body);
	if (response->status == 200 && root &&
	    !json_unpack(root, "{s:i, s:i, s:I}", "slots", &u->slots, "running",
			 &u->running, "age_ms", &age) &&
	    u->slots >= 0 && u->running >= 0 && age >= 0) {
		u->code = CS_OK;
		u->age_ms = age;
	} else {
		u->slots = 0;
		u->running = 0;
		report_status(client, "usage", poll->address, response->status,
			      "malformed response");
	}
	json_decref(root);
post:
	bus_post(client->bus, BUS_WORKER, m);
}

static const struct call_ops start_ops = { "start", start_encode,
					   start_finish };
static const struct call_ops control_call_ops = { "control", control_encode,
						  control_finish };
static const struct call_ops usage_ops = { "usage", usage_encode,
					   usage_finish };

static const struct call_ops *const ops_by_type[MSG_TYPE_NR] = {
	[MSG_TASK_START] = &start_ops,
	[MSG_TASK_CONTROL] = &control_call_ops,
	[MSG_USAGE_POLL] = &usage_ops,
};

/* Ends a call: reports the response to the core and frees the request. */
static void on_done(void *ctx, uint64_t ref,
		    const struct http_client_response *response)
{
	struct worker_client *client = ctx;
	struct worker_call *call = slots_get(client->calls, ref);

	if (response->result != HTTP_ANSWERED)
		report_failure(client, call->ops->name, &response->error);
	call->ops->finish(client, call, response);
	msg_free(call->request);
	slots_free(client->calls, ref);
}

/* Ends a call of which nothing was sent; takes over the message. */
static void refuse(struct worker_client *client, const struct call_ops *ops,
		   struct msg *m, int code, const char *message)
{
	struct worker_call call = { .ops = ops, .request = m };
	struct http_client_response response = { .result = HTTP_NOT_SENT };

	call.start = task_now();
	cs_error_set(&response.error, code, "connect", NULL, "%s", message);
	report_failure(client, ops->name, &response.error);
	ops->finish(client, &call, &response);
	msg_free(m);
}

/* Sends a call; takes over the message. */
static void send_call(struct worker_client *client, const struct call_ops *ops,
		      struct msg *m)
{
	char path[PATH_SIZE] = "";
	struct http_call out = { .trace = NULL };
	struct worker_call *call;
	cs_handle h;

	if (m->type == MSG_TASK_START &&
	    task_now() - m->u.task_start.decided > DECISION_MAX_AGE) {
		refuse(client, ops, m, CS_ERR_STALE, "the decision is too old");
		return;
	}
	h = slots_alloc(client->calls, (void **)&call);
	if (!h) {
		refuse(client, ops, m, CS_ERR_FULL, "too many calls");
		return;
	}
	call->ops = ops;
	call->request = m;
	call->start = task_now();
	if (m->type == MSG_TASK_START && m->u.task_start.trace.span) {
		call->trace = trace_child(&m->u.task_start.trace, client->rng);
		out.trace = &call->trace;
	}
	ops->encode(m, call->start, &out, path);
	out.path = path;
	http_client_call(client->http, &out, on_done, client, h);
}

static void answer_metrics(struct worker_client *client, cs_handle caller)
{
	counters_set(client->counters, "camphorshed_worker_calls_open", "",
		     slots_count(client->calls));
	bus_post(client->bus, BUS_WORKER,
		 msg_metrics_reply(caller, BUS_WORKER, client->counters));
}

/* A call is kept until its response; any other message is freed here. */
static void on_msg(void *state, struct task *task, void *msg)
{
	struct worker_client *client = state;
	struct msg *m = msg;
	const struct call_ops *ops = ops_by_type[m->type];

	(void)task;
	if (ops) {
		send_call(client, ops, m);
		return;
	}
	if (m->type == MSG_METRICS_CALL)
		answer_metrics(client, m->u.metrics_call.caller);
	msg_free(m);
}

/*
 * Splits the connections of a worker into two groups, so that control calls do
 * not wait behind work. Each group gets at least one, so a limit of 1 results
 * in two connections.
 */
static int start(void *state, struct task *task, struct cs_error *err)
{
	struct worker_client *client = state;
	int max = client->options.connections_max;
	int control = max > CONTROL_CONNECTIONS ? CONTROL_CONNECTIONS : 1;
	struct http_client_options options = {
		.connections_max = { [GROUP_WORK] =
					     max > control ? max - control : 1,
				     [GROUP_CONTROL] = control },
		.connect_timeout_ms = client->options.connect_timeout_ms,
		.response_max = RESPONSE_MAX,
	};

	client->http = http_client_create(task_event_base(task), &options);
	if (!client->http)
		return cs_error_set(err, CS_ERR_NOMEM, "worker_client", NULL,
				    "out of memory");
	return CS_OK;
}

static void stop(void *state, struct task *task)
{
	struct worker_client *client = state;

	(void)task;
	http_client_destroy(client->http);
	client->http = NULL;
}

static const struct task_ops task_ops = {
	.name = "worker",
	.start = start,
	.on_msg = on_msg,
	.stop = stop,
};

struct worker_client *worker_client_create(
	const struct worker_client_options *options, struct bus *bus,
	struct cs_error *err)
{
	struct worker_client *client = g_new0(struct worker_client, 1);

	client->options = *options;
	client->bus = bus;
	client->counters = counters_create();
	client->rng = g_rand_new();
	client->calls = slots_create(sizeof(struct worker_call), CALLS_MAX);
	if (!client->calls)
		cs_error_set(err, CS_ERR_NOMEM, "worker_client", NULL,
			     "out of memory");
	else
		client->task = task_create(&task_ops, client,
					   bus_mailbox(bus, BUS_WORKER), err);
	if (!client->task) {
		worker_client_destroy(client);
		return NULL;
	}
	return client;
}

/* Open calls fail; their results are still posted to the core. */
void worker_client_destroy(struct worker_client *client)
{
	if (!client)
		return;
	task_destroy(client->task);
	slots_destroy(client->calls);
	counters_destroy(client->counters);
	g_rand_free(client->rng);
	g_free(client);
}
