#include "standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * An open-loop client: requests are due at fixed times, whether or not earlier
 * ones were answered. Latency is measured from the due time, so that the delay
 * of requests that a stalled server holds up is not left out.
 */

/* Interval at which due requests are sent. */
#define TICK_US 1000

/* Longest wait for the answers after the last request was due. */
#define LAST_ANSWERS_US (5 * CS_SEC)

/* Largest accepted answer, in bytes. */
#define ANSWER_MAX ((size_t)16 * 1024 * 1024)

struct load {
	char *target, *key, *queue, *body;
	double rate;
	int seconds, concurrency, deadline_ms;
	gboolean is_direct, is_idempotent;
	struct event_base *base;
	struct event *tick;
	struct http_client *http;
	cs_time start;
	int64_t total; /* number of requests to send */
	int64_t sent, in_flight;
	int64_t answered, unknown, mismatched;
	GHashTable *refused; /* reason -> count */
	GArray *latencies; /* int64_t, us; of answered requests */
	char id_prefix[32]; /* of the request identifiers */
};

static cs_time due_time(const struct load *l, int64_t i)
{
	return l->start + (cs_time)((double)i * 1e6 / l->rate);
}

static void request_id(const struct load *l, int64_t i, char *out, size_t size)
{
	snprintf(out, size, "%s-%" PRId64, l->id_prefix, i);
}

static void count_refusal(struct load *l, const char *reason)
{
	gpointer n = g_hash_table_lookup(l->refused, reason);

	g_hash_table_insert(l->refused, g_strdup(reason),
			    GSIZE_TO_POINTER(GPOINTER_TO_SIZE(n) + 1));
}

/* Counts an answer with an error status by its reason. */
static void count_failure(struct load *l,
			  const struct http_client_response *answer)
{
	gsize len;
	const char *data = g_bytes_get_data(answer->body, &len);
	json_t *root = data ? json_loadb(data, len, 0, NULL) : NULL;
	const char *reason = json_string_value(json_object_get(root, "error"));
	const char *outcome =
		json_string_value(json_object_get(root, "outcome"));
	char status[16];

	snprintf(status, sizeof(status), "status_%d", answer->status);
	if (outcome && !strcmp(outcome, "unknown"))
		l->unknown++;
	else
		count_refusal(l, reason ? reason : status);
	json_decref(root);
}

/* Counts an answer as mismatched if it lacks the identifier of its request. */
static void check_echo(struct load *l, int64_t i, GBytes *body)
{
	char id[64];
	gsize len;
	const char *data = g_bytes_get_data(body, &len);

	request_id(l, i, id, sizeof(id));
	if (strstr(l->body, "echo={id}") &&
	    !g_strstr_len(data ? data : "", (gssize)len, id))
		l->mismatched++;
}

static void on_done(void *ctx, uint64_t ref,
		    const struct http_client_response *answer)
{
	struct load *l = ctx;
	int64_t latency = task_now() - due_time(l, (int64_t)ref);

	l->in_flight--;
	if (answer->result == HTTP_NOT_SENT) {
		count_refusal(l, "not_sent");
	} else if (answer->result == HTTP_UNKNOWN) {
		l->unknown++;
	} else if (answer->status / 100 == 2) {
		l->answered++;
		g_array_append_val(l->latencies, latency);
		check_echo(l, (int64_t)ref, answer->body);
	} else {
		count_failure(l, answer);
	}
	if (!l->in_flight && l->sent == l->total)
		event_base_loopbreak(l->base);
}

static void send_request(struct load *l, int64_t i)
{
	char id[64], deadline[16];
	char *authorization =
		g_strdup_printf("Bearer %s", l->key ? l->key : "");
	struct http_call_header headers[] = {
		{ "Request-Id", id },
		{ "Idempotent", l->is_idempotent ? "yes" : "no" },
		{ "Deadline-Ms", deadline },
		{ "Authorization", authorization },
	};
	struct http_call call = { .method = HTTP_CALL_POST };
	char **parts = g_strsplit(l->body, "{id}", -1);
	char *path, *body;

	request_id(l, i, id, sizeof(id));
	snprintf(deadline, sizeof(deadline), "%d", l->deadline_ms);
	body = g_strjoinv(id, parts);
	path = l->is_direct ?
		       g_strdup_printf("/tasks/%s?lease_ms=60000&mode=short",
				       id) :
		       g_strdup_printf("/v1/queues/%s/jobs", l->queue);
	call.address = l->target;
	call.path = path;
	call.content_type = "text/plain";
	call.headers = headers;
	call.headers_nr = G_N_ELEMENTS(headers) - !l->key;
	call.body = g_bytes_new(body, strlen(body));
	call.deadline = task_now() + l->deadline_ms * CS_MSEC;
	l->sent++;
	l->in_flight++;
	http_client_call(l->http, &call, on_done, l, (uint64_t)i);
	g_bytes_unref(call.body);
	g_strfreev(parts);
	g_free(path);
	g_free(body);
	g_free(authorization);
}

static void on_tick(evutil_socket_t fd, short what, void *arg)
{
	struct load *l = arg;
	cs_time now = task_now();

	(void)fd;
	(void)what;
	while (l->sent < l->total && due_time(l, l->sent) <= now)
		send_request(l, l->sent);
	if (l->sent == l->total &&
	    (!l->in_flight || now > due_time(l, l->total) + LAST_ANSWERS_US))
		event_base_loopbreak(l->base);
}

static gint compare_latency(gconstpointer a, gconstpointer b)
{
	int64_t x = *(const int64_t *)a, y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static int64_t percentile(const struct load *l, int percent)
{
	guint n = l->latencies->len;

	if (!n)
		return 0;
	return g_array_index(l->latencies, int64_t,
			     (guint)((uint64_t)(n - 1) * percent / 100));
}

static void print_report(struct load *l, cs_time elapsed)
{
	GHashTableIter iter;
	gpointer key, value;

	g_array_sort(l->latencies, compare_latency);
	printf("sent=%" PRId64 "\nanswered=%" PRId64 "\nunknown=%" PRId64
	       "\nmismatched=%" PRId64 "\n",
	       l->sent, l->answered, l->unknown, l->mismatched);
	g_hash_table_iter_init(&iter, l->refused);
	while (g_hash_table_iter_next(&iter, &key, &value))
		printf("refused_%s=%zu\n", (char *)key,
		       GPOINTER_TO_SIZE(value));
	printf("p50_us=%" PRId64 "\np90_us=%" PRId64 "\np99_us=%" PRId64
	       "\nelapsed_us=%" PRId64 "\n",
	       percentile(l, 50), percentile(l, 90), percentile(l, 99),
	       elapsed);
}

static void run_load(struct load *l)
{
	struct http_client_options options = {
		.connections_max = { l->concurrency, 1 },
		.connect_timeout_ms = 1000,
		.response_max = ANSWER_MAX,
	};
	struct timeval tv = { 0, TICK_US };

	snprintf(l->id_prefix, sizeof(l->id_prefix), "load-%08x",
		 g_random_int());
	l->total = (int64_t)(l->rate * l->seconds);
	l->base = base_create();
	l->refused =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	l->latencies = g_array_new(FALSE, FALSE, sizeof(int64_t));
	l->http = http_client_create(l->base, &options);
	l->tick = event_new(l->base, -1, EV_PERSIST, on_tick, l);
	event_add(l->tick, &tv);
	l->start = task_now();
	server_run(l->base);
	http_client_destroy(l->http);
	print_report(l, task_now() - l->start);
	event_free(l->tick);
	g_array_free(l->latencies, TRUE);
	g_hash_table_destroy(l->refused);
	event_base_free(l->base);
}

int load_main(int argc, char **argv)
{
	struct load l = { .rate = 100,
			  .seconds = 1,
			  .concurrency = 64,
			  .deadline_ms = 30000 };
	const GOptionEntry entries[] = {
		{ "target", 0, 0, G_OPTION_ARG_STRING, &l.target,
		  "entry or worker", "ADDR" },
		{ "key", 0, 0, G_OPTION_ARG_STRING, &l.key, "team's key",
		  "KEY" },
		{ "queue", 0, 0, G_OPTION_ARG_STRING, &l.queue, "queue", "Q" },
		{ "rate", 0, 0, G_OPTION_ARG_DOUBLE, &l.rate,
		  "requests a second", "R" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &l.seconds, "duration",
		  "S" },
		{ "body", 0, 0, G_OPTION_ARG_STRING, &l.body,
		  "work; {id} stands for the request identifier", "TEXT" },
		{ "concurrency", 0, 0, G_OPTION_ARG_INT, &l.concurrency,
		  "connections", "N" },
		{ "deadline-ms", 0, 0, G_OPTION_ARG_INT, &l.deadline_ms,
		  "deadline of a request", "N" },
		{ "idempotent", 0, 0, G_OPTION_ARG_NONE, &l.is_idempotent,
		  "mark requests idempotent", NULL },
		{ "direct", 0, 0, G_OPTION_ARG_NONE, &l.is_direct,
		  "send to a worker", NULL },
		{ NULL },
	};

	if (!parse_options(&argc, &argv, entries) || !l.target ||
	    (!l.queue && !l.is_direct) || l.rate <= 0 || l.seconds < 0 ||
	    l.concurrency < 1 || l.deadline_ms < 1)
		return 2;
	if (!l.body)
		l.body = g_strdup("run_ms=5 echo={id} id={id}");
	run_load(&l);
	g_free(l.target);
	g_free(l.key);
	g_free(l.queue);
	g_free(l.body);
	return 0;
}
