#include "platform_client.h"

#include <inttypes.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/counters.h"
#include "../base/error.h"
#include "../base/http_client.h"
#include "../base/json.h"
#include "../base/slots.h"
#include "../base/task.h"

/* A watch occupies its connection while it waits, so watches have their own. */
enum connection_group { GROUP_CALLS, GROUP_WATCHES };

/*
 * The service handles about 2,000 reads a second in all, in a few milliseconds
 * each, so 16 calls at once are enough for one entry.
 */
#define CALL_CONNECTIONS 16
#define WATCH_CONNECTIONS 16

/* A list can hold several values of 1 MB, and JSON escapes lengthen them. */
#define RESPONSE_MAX ((size_t)64 * 1024 * 1024)

/* Maximum open calls; rows are allocated as needed. */
#define CALLS_MAX (1u << 16)

struct platform_client {
	struct platform_client_options options;
	struct bus *bus;
	struct task *task;
	struct http_client *http;
	struct counters *counters;
	struct slots *calls;
};

struct platform_call {
	struct msg *request;
};

/* The input of a decode function of kv_ops. */
struct decoder {
	const struct kv_call *call;
	int status;
	json_t *root; /* NULL if the body is not a JSON object */
	struct kv_done *done;
};

/* How an operation of the service is encoded and decoded. */
struct kv_op_row {
	const char *name;
	enum http_call_method method;
	bool is_write;
	enum connection_group group;
	void (*path)(const struct kv_call *call, GString *path);
	/* Returns the body as a new JSON value; no function: no body. */
	json_t *(*body)(const struct kv_call *call);
	/* Fills in done. Returns false if the response is malformed. */
	bool (*decode)(const struct decoder *d);
};

static void append_key(GString *path, const char *key, const char *allowed)
{
	char *escaped =
		g_uri_escape_bytes((const guint8 *)key, strlen(key), allowed);

	g_string_append(path, escaped);
	g_free(escaped);
}

static void key_path(const struct kv_call *call, GString *path)
{
	g_string_append(path, "/kv/");
	append_key(path, call->key, "/");
}

static void cas_path(const struct kv_call *call, GString *path)
{
	key_path(call, path);
	g_string_append_printf(path,
			       "?version=%" PRIu64 "&change=", call->version);
	append_key(path, call->change_id, NULL);
	if (call->lease)
		g_string_append_printf(path, "&lease=%" PRIu64, call->lease);
}

static void delete_path(const struct kv_call *call, GString *path)
{
	key_path(call, path);
	g_string_append_printf(path, "?version=%" PRIu64, call->version);
}

static void list_path(const struct kv_call *call, GString *path)
{
	g_string_append(path, "/list?prefix=");
	append_key(path, call->key, NULL);
}

static void watch_path(const struct kv_call *call, GString *path)
{
	g_string_append(path, "/watch?prefix=");
	append_key(path, call->key, NULL);
	g_string_append_printf(path, "&since=%" PRIu64 "&wait_ms=%" PRId64,
			       call->version, call->wait_ms);
}

static void grant_path(const struct kv_call *call, GString *path)
{
	(void)call;
	g_string_append(path, "/leases");
}

static void renew_path(const struct kv_call *call, GString *path)
{
	g_string_append_printf(path, "/leases/%" PRIu64, call->lease);
}

static void hosts_path(const struct kv_call *call, GString *path)
{
	(void)call;
	g_string_append(path, "/hosts");
}

/* Returns NULL if the value is not UTF-8, which JSON can't hold. */
static json_t *cas_body(const struct kv_call *call)
{
	gsize len = 0;
	const char *data = call->value ? g_bytes_get_data(call->value, &len) :
					 NULL;
	json_t *value = json_stringn(data ? data : "", len);

	return value ? json_pack("{s:o}", "value", value) : NULL;
}

static json_t *grant_body(const struct kv_call *call)
{
	return json_pack("{s:I}", "ttl_ms", (json_int_t)call->ttl_ms);
}

/* Reads a non-negative integer. */
static bool read_number(const json_t *object, const char *name, uint64_t *out)
{
	const json_t *value = json_object_get(object, name);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return false;
	*out = (uint64_t)json_integer_value(value);
	return true;
}

/* Reads a string that fits into size and holds no NUL. */
static bool read_string(const json_t *object, const char *name, char *out,
			size_t size)
{
	const json_t *value = json_object_get(object, name);

	if (!json_is_string(value) || json_string_length(value) >= size ||
	    strlen(json_string_value(value)) != json_string_length(value))
		return false;
	cs_copy(out, size, json_string_value(value));
	return true;
}

/*
 * Reads "version" and "value" into row. Only a deletion, which has version 0,
 * may lack the value.
 */
static bool read_row(const json_t *object, struct kv_row *row)
{
	const json_t *value = json_object_get(object, "value");

	if (!read_number(object, "version", &row->version))
		return false;
	if (json_is_string(value)) {
		if (json_string_length(value) > (size_t)CS_VALUE_MAX)
			return false;
		row->value = g_bytes_new(json_string_value(value),
					 json_string_length(value));
		return true;
	}
	return !row->version && (!value || json_is_null(value));
}

/* Allocates nr zeroed rows; msg_free() releases them with the message. */
static struct kv_row *alloc_rows(struct kv_done *done, size_t nr)
{
	done->rows = nr ? g_new0(struct kv_row, nr) : NULL;
	done->rows_nr = nr;
	return done->rows;
}

/* Decodes the stored row, which a GET and a conflict return. */
static bool decode_current(const struct decoder *d)
{
	struct kv_row *row = alloc_rows(d->done, 1);

	cs_copy(row->key, sizeof(row->key), d->call->key);
	if (!read_row(d->root, row))
		return false;
	d->done->version = row->version;
	return true;
}

static bool decode_get(const struct decoder *d)
{
	if (d->status == 404) {
		d->done->result = KV_MISSING;
		return true;
	}
	return d->status == 200 && decode_current(d);
}

/* The response to a conflict carries the stored row. */
static bool decode_cas(const struct decoder *d)
{
	if (d->status == 409) {
		d->done->result = KV_CONFLICT;
		return decode_current(d);
	}
	if (d->status == 404) {
		d->done->result = KV_MISSING; /* the lease has ended */
		return true;
	}
	return d->status == 200 &&
	       read_number(d->root, "version", &d->done->version);
}

static bool decode_delete(const struct decoder *d)
{
	if (d->status == 200)
		return true;
	if (d->status == 404) {
		d->done->result = KV_MISSING;
		return true;
	}
	d->done->result = KV_CONFLICT;
	return d->status == 409 && decode_current(d);
}

/* Decodes the revision, and the rows in the array of that name. */
static bool decode_rows(const struct decoder *d, const char *name)
{
	const json_t *array = json_object_get(d->root, name);
	struct kv_row *rows;
	size_t i;

	if (d->status != 200 || !json_is_array(array) ||
	    !read_number(d->root, "revision", &d->done->revision))
		return false;
	rows = alloc_rows(d->done, json_array_size(array));
	for (i = 0; i < d->done->rows_nr; i++)
		if (!read_string(json_array_get(array, i), "key", rows[i].key,
				 sizeof(rows[i].key)) ||
		    !read_row(json_array_get(array, i), &rows[i]))
			return false;
	return true;
}

static bool decode_list(const struct decoder *d)
{
	return decode_rows(d, "rows");
}

static bool decode_watch(const struct decoder *d)
{
	return decode_rows(d, "changes");
}

static bool decode_grant(const struct decoder *d)
{
	return d->status == 200 &&
	       read_number(d->root, "lease", &d->done->lease) && d->done->lease;
}

/* Status 404: the lease has ended and can't be renewed. */
static bool decode_renew(const struct decoder *d)
{
	if (d->status == 404) {
		d->done->result = KV_MISSING;
		return true;
	}
	d->done->lease = d->call->lease;
	return d->status == 200;
}

/* Returns false if a field is malformed or the state is unknown. */
static bool read_host(const json_t *object, struct kv_host *host)
{
	char state[16];

	if (!read_string(object, "host", host->host, sizeof(host->host)) ||
	    !read_string(object, "address", host->address,
			 sizeof(host->address)) ||
	    !read_string(object, "data_centre", host->data_centre,
			 sizeof(host->data_centre)) ||
	    !read_string(object, "state", state, sizeof(state)))
		return false;
	host->is_leaving = !strcmp(state, "leaving");
	return host->is_leaving || !strcmp(state, "live");
}

/* The array is freed with the message, even after a failure. */
static bool decode_hosts(const struct decoder *d)
{
	const json_t *array = json_object_get(d->root, "hosts");
	size_t i;

	if (d->status != 200 || !json_is_array(array))
		return false;
	d->done->hosts_nr = json_array_size(array);
	d->done->hosts = g_new0(struct kv_host, d->done->hosts_nr);
	for (i = 0; i < d->done->hosts_nr; i++)
		if (!read_host(json_array_get(array, i), &d->done->hosts[i]))
			return false;
	return true;
}

static const struct kv_op_row kv_ops[] = {
	[KV_GET] = { "get", HTTP_CALL_GET, false, GROUP_CALLS, key_path, NULL,
		     decode_get },
	[KV_CAS] = { "cas", HTTP_CALL_PUT, true, GROUP_CALLS, cas_path,
		     cas_body, decode_cas },
	[KV_DELETE] = { "delete", HTTP_CALL_DELETE, true, GROUP_CALLS,
			delete_path, NULL, decode_delete },
	[KV_LIST] = { "list", HTTP_CALL_GET, false, GROUP_CALLS, list_path,
		      NULL, decode_list },
	[KV_WATCH] = { "watch", HTTP_CALL_GET, false, GROUP_WATCHES, watch_path,
		       NULL, decode_watch },
	[KV_LEASE_GRANT] = { "lease_grant", HTTP_CALL_POST, true, GROUP_CALLS,
			     grant_path, grant_body, decode_grant },
	[KV_LEASE_RENEW] = { "lease_renew", HTTP_CALL_PUT, true, GROUP_CALLS,
			     renew_path, NULL, decode_renew },
	[KV_HOSTS] = { "hosts", HTTP_CALL_GET, false, GROUP_CALLS, hosts_path,
		       NULL, decode_hosts },
};

/* Counts the result of a call and posts it to the core. */
static void finish(struct platform_client *client, struct msg *m)
{
	static const char *const results[] = { "ok", "conflict", "missing",
					       "unknown", "unavailable" };
	const struct kv_done *d = &m->u.kv_done;
	char labels[64];

	snprintf(labels, sizeof(labels), "op=\"%s\",result=\"%s\"",
		 kv_ops[d->op].name, results[d->result]);
	counters_add(client->counters, "camphorshed_platform_calls_total",
		     labels, 1);
	bus_post(client->bus, BUS_PLATFORM, m);
}

/* Writes a failed call to the log and counts it. */
static void report_failure(struct platform_client *client,
			   const struct kv_call *call,
			   const struct cs_error *err)
{
	struct msg *m = msg_new(MSG_EVENT);
	struct event_line *e = &m->u.event;
	char labels[96];

	e->level = LOG_WARN;
	cs_copy(e->step, sizeof(e->step), err->step);
	cs_copy(e->peer, sizeof(e->peer), err->peer);
	e->pairs = g_string_new(NULL);
	log_pair(e->pairs, "event", "platform_call_failed");
	log_pair(e->pairs, "op", kv_ops[call->op].name);
	log_pair(e->pairs, "key", call->key);
	log_pair(e->pairs, "code", cs_code_name(err->code));
	log_pair(e->pairs, "message", err->message);
	bus_post(client->bus, BUS_PLATFORM, m);
	snprintf(labels, sizeof(labels), "op=\"%s\",step=\"%s\",code=\"%s\"",
		 kv_ops[call->op].name, err->step, cs_code_name(err->code));
	counters_add(client->counters, "camphorshed_platform_failures_total",
		     labels, 1);
}

/* Decodes a complete response. Returns false if it is malformed. */
static bool decode(const struct kv_call *call,
		   const struct http_client_response *response,
		   struct kv_done *done)
{
	struct decoder d = { call, response->status, NULL, done };
	bool is_valid;

	d.root = json_from_bytes(response->body,
				 JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, NULL);
	is_valid = json_is_object(d.root) && kv_ops[call->op].decode(&d);
	json_decref(d.root);
	return is_valid;
}

/*
 * Derives the call's result from the response. A write without a valid response
 * is unknown, since it may have taken effect; a read, or a write that was not
 * sent, is unavailable.
 */
static void on_done(void *ctx, uint64_t ref,
		    const struct http_client_response *response)
{
	struct platform_client *client = ctx;
	struct platform_call *row = slots_get(client->calls, ref);
	const struct kv_call *call = &row->request->u.kv_call;
	bool is_write = kv_ops[call->op].is_write;
	struct msg *m = msg_kv_done(call, KV_OK);
	struct cs_error err;

	if (response->result != HTTP_ANSWERED) {
		m->u.kv_done.result = is_write && response->result ==
							      HTTP_UNKNOWN ?
					      KV_UNKNOWN :
					      KV_UNAVAILABLE;
		report_failure(client, call, &response->error);
	} else if (!decode(call, response, &m->u.kv_done)) {
		/* Rows that were decoded before the error must not be used. */
		msg_free(m);
		m = msg_kv_done(call, is_write ? KV_UNKNOWN : KV_UNAVAILABLE);
		cs_error_set(&err, CS_ERR_INVALID, "decode",
			     client->options.address,
			     "malformed or unexpected response, status %d",
			     response->status);
		report_failure(client, call, &err);
	}
	finish(client, m);
	msg_free(row->request);
	slots_free(client->calls, ref);
}

/* Ends a call of which nothing was sent; takes over the message. */
static void refuse(struct platform_client *client, struct msg *request,
		   int code, const char *message)
{
	struct msg *m = msg_kv_done(&request->u.kv_call, KV_UNAVAILABLE);
	struct cs_error err;

	cs_error_set(&err, code, "encode", client->options.address, "%s",
		     message);
	report_failure(client, &request->u.kv_call, &err);
	finish(client, m);
	msg_free(request);
}

/* Encodes the request body. Returns CS_OK with NULL if there is none. */
static int encode_body(const struct kv_call *call, GBytes **body,
		       const char **message)
{
	const struct kv_op_row *op = &kv_ops[call->op];

	*body = NULL;
	if (!op->body)
		return CS_OK;
	if (call->value &&
	    g_bytes_get_size(call->value) > (size_t)CS_VALUE_MAX) {
		*message = "value over 1 MB";
		return CS_ERR_TOO_LARGE;
	}
	*body = json_to_bytes(op->body(call), 0);
	if (!*body) {
		*message = "value is not UTF-8 text";
		return CS_ERR_INVALID;
	}
	return CS_OK;
}

/*
 * Sends a call; takes over the message. The deadline of a watch is extended by
 * the time that it waits.
 */
static void send_call(struct platform_client *client, struct msg *m)
{
	const struct kv_call *call = &m->u.kv_call;
	const struct kv_op_row *op = &kv_ops[call->op];
	struct http_call out = { .method = op->method, .group = op->group };
	struct platform_call *row;
	const char *message = NULL;
	GString *path;
	GBytes *body;
	cs_handle h;
	int code = encode_body(call, &body, &message);

	if (code) {
		refuse(client, m, code, message);
		return;
	}
	h = slots_alloc(client->calls, (void **)&row);
	if (!h) {
		if (body)
			g_bytes_unref(body);
		refuse(client, m, CS_ERR_FULL, "too many calls");
		return;
	}
	row->request = m;
	path = g_string_new(NULL);
	op->path(call, path);
	out.address = client->options.address;
	out.path = path->str;
	out.body = body;
	out.content_type = body ? "application/json" : NULL;
	out.deadline = task_now() + client->options.timeout_ms * CS_MSEC;
	if (call->op == KV_WATCH)
		out.deadline += call->wait_ms * CS_MSEC;
	http_client_call(client->http, &out, on_done, client, h);
	g_string_free(path, TRUE);
	if (body)
		g_bytes_unref(body);
}

static void answer_metrics(struct platform_client *client, cs_handle caller)
{
	counters_set(client->counters, "camphorshed_platform_calls_open", "",
		     slots_count(client->calls));
	bus_post(client->bus, BUS_PLATFORM,
		 msg_metrics_reply(caller, BUS_PLATFORM, client->counters));
}

/* A call is kept until its response; any other message is freed here. */
static void on_msg(void *state, struct task *task, void *msg)
{
	struct platform_client *client = state;
	struct msg *m = msg;

	(void)task;
	if (m->type == MSG_KV_CALL) {
		send_call(client, m);
		return;
	}
	if (m->type == MSG_METRICS_CALL)
		answer_metrics(client, m->u.metrics_call.caller);
	msg_free(m);
}

static int start(void *state, struct task *task, struct cs_error *err)
{
	struct platform_client *client = state;
	struct http_client_options options = {
		.connections_max = { [GROUP_CALLS] = CALL_CONNECTIONS,
				     [GROUP_WATCHES] = WATCH_CONNECTIONS },
		.connect_timeout_ms = client->options.timeout_ms,
		.response_max = RESPONSE_MAX,
	};

	client->http = http_client_create(task_event_base(task), &options);
	if (!client->http)
		return cs_error_set(err, CS_ERR_NOMEM, "platform_client", NULL,
				    "out of memory");
	return CS_OK;
}

static void stop(void *state, struct task *task)
{
	struct platform_client *client = state;

	(void)task;
	http_client_destroy(client->http);
	client->http = NULL;
}

static const struct task_ops task_ops = {
	.name = "platform",
	.start = start,
	.on_msg = on_msg,
	.stop = stop,
};

struct platform_client *platform_client_create(
	const struct platform_client_options *options, struct bus *bus,
	struct cs_error *err)
{
	struct platform_client *client = g_new0(struct platform_client, 1);

	client->options = *options;
	client->bus = bus;
	client->counters = counters_create();
	client->calls = slots_create(sizeof(struct platform_call), CALLS_MAX);
	if (!client->calls)
		cs_error_set(err, CS_ERR_NOMEM, "platform_client", NULL,
			     "out of memory");
	else
		client->task = task_create(&task_ops, client,
					   bus_mailbox(bus, BUS_PLATFORM), err);
	if (!client->task) {
		platform_client_destroy(client);
		return NULL;
	}
	return client;
}

/* Open calls fail; their results are still posted to the core. */
void platform_client_destroy(struct platform_client *client)
{
	if (!client)
		return;
	task_destroy(client->task);
	slots_destroy(client->calls);
	counters_destroy(client->counters);
	g_free(client);
}
