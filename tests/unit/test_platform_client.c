#include "http_client.h"

#include <inttypes.h>

#include "../../src/base/error.h"
#include "../../src/base/task.h"
#include "../../src/platform/platform_client.h"
#include "scripted_server.h"

#define SHORT_MS 200 /* a timeout that is exceeded */
#define LONG_MS 5000 /* a timeout that is not */
/* Long enough for a call on a busy machine, short enough to wait for. */
#define WATCH_TEST_MS 1000

struct fixture {
	struct bus *bus;
	struct platform_client *client;
	struct scripted *server;
};

static void begin(struct fixture *f, void **state, script_fn script,
		  int64_t timeout_ms)
{
	struct platform_client_options options = { .timeout_ms = timeout_ms };
	struct cs_error err;

	f->server = script ? scripted_start(script) : NULL;
	client_free_address(options.address);
	if (script)
		cs_copy(options.address, sizeof(options.address),
			scripted_address(f->server));
	f->bus = bus_create(*state, &err);
	f->client = platform_client_create(&options, f->bus, &err);
	assert_non_null(f->client);
}

static void end(struct fixture *f)
{
	platform_client_destroy(f->client);
	if (f->server)
		scripted_stop(f->server);
	bus_destroy(f->bus);
}

static struct msg *take_done(const struct fixture *f)
{
	return client_take(f->bus, BUS_CORE, MSG_KV_DONE);
}

static void post(struct fixture *f, enum kv_op op, uint64_t token,
		 const char *key, GBytes *value)
{
	struct msg *m = msg_new(MSG_KV_CALL);
	struct kv_call *c = &m->u.kv_call;

	c->part = 2;
	c->token = token;
	c->op = op;
	c->version = 4;
	c->lease = op == KV_LEASE_RENEW ? 6 : 0;
	c->ttl_ms = 1000;
	c->wait_ms = op == KV_WATCH ? 60000 : 0;
	c->value = value;
	cs_copy(c->key, sizeof(c->key), key);
	cs_copy(c->change_id, sizeof(c->change_id), "e1-7");
	assert_int_equal(bus_post(f->bus, BUS_CORE, m), CS_OK);
}

static void expect_reply_to(const struct msg *m, enum kv_op op, const char *key)
{
	assert_int_equal(m->u.kv_done.part, 2);
	assert_int_equal(m->u.kv_done.token, 5);
	assert_int_equal(m->u.kv_done.op, op);
	assert_string_equal(m->u.kv_done.key, key);
}

static struct msg *call(struct fixture *f, enum kv_op op, const char *key)
{
	struct msg *m;

	post(f, op, 5, key, op == KV_CAS ? g_bytes_new("v", 1) : NULL);
	m = take_done(f);
	expect_reply_to(m, op, key);
	return m;
}

static void expect_result(const struct msg *m, enum kv_result result)
{
	assert_int_equal(m->u.kv_done.result, result);
	if (result == KV_UNKNOWN || result == KV_UNAVAILABLE) {
		assert_int_equal(m->u.kv_done.rows_nr, 0);
		assert_int_equal(m->u.kv_done.hosts_nr, 0);
	}
}

static void expect(struct fixture *f, enum kv_op op, const char *key,
		   enum kv_result result)
{
	struct msg *m = call(f, op, key);

	expect_result(m, result);
	msg_free(m);
}

/* Runs all operations at once against a script; expects the given results. */
static void expect_all(void **state, script_fn script, int64_t timeout_ms,
		       enum kv_result write, enum kv_result read)
{
	static const struct {
		enum kv_op op;
		bool is_write;
	} ops[] = {
		{ KV_CAS, true },	  { KV_DELETE, true },
		{ KV_LEASE_GRANT, true }, { KV_LEASE_RENEW, true },
		{ KV_GET, false },	  { KV_LIST, false },
		{ KV_HOSTS, false },
	};
	bool seen[G_N_ELEMENTS(ops)] = { false };
	struct fixture f;
	size_t i, k;

	begin(&f, state, script, timeout_ms);
	for (i = 0; i < G_N_ELEMENTS(ops); i++)
		post(&f, ops[i].op, 5, "k",
		     ops[i].op == KV_CAS ? g_bytes_new("v", 1) : NULL);
	for (i = 0; i < G_N_ELEMENTS(ops); i++) {
		struct msg *m = take_done(&f);

		for (k = 0; k < G_N_ELEMENTS(ops); k++)
			if (ops[k].op == m->u.kv_done.op && !seen[k])
				break;
		assert_in_range(k, 0, G_N_ELEMENTS(ops) - 1);
		seen[k] = true;
		expect_reply_to(m, ops[k].op, "k");
		expect_result(m, ops[k].is_write ? write : read);
		msg_free(m);
	}
	if (script)
		assert_int_equal(scripted_requests(f.server),
				 G_N_ELEMENTS(ops));
	end(&f);
}

/*
 * Nothing was sent, so a write must not be reported as unknown: it may be tried
 * again at once.
 */
static void refused_connection_is_unavailable(void **state)
{
	expect_all(state, NULL, LONG_MS, KV_UNAVAILABLE, KV_UNAVAILABLE);
}

static void silent(struct scripted *s, int fd)
{
	g_free(scripted_read(s, fd));
	scripted_is_closed_by_client(fd);
}

/* A write to a service that hangs may still take effect. */
static void silent_service_leaves_writes_unknown(void **state)
{
	expect_all(state, silent, SHORT_MS, KV_UNKNOWN, KV_UNAVAILABLE);
}

static void lose_answer(struct scripted *s, int fd)
{
	g_free(scripted_read(s, fd));
}

/* A lost answer must not be hidden by sending the write again. */
static void lost_answer_leaves_writes_unknown(void **state)
{
	expect_all(state, lose_answer, LONG_MS, KV_UNKNOWN, KV_UNAVAILABLE);
}

static void reset_in_answer(struct scripted *s, int fd)
{
	g_free(scripted_read(s, fd));
	scripted_write(fd, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{");
	g_usleep(10000);
	scripted_reset(fd);
}

static void reset_in_answer_leaves_writes_unknown(void **state)
{
	expect_all(state, reset_in_answer, LONG_MS, KV_UNKNOWN, KV_UNAVAILABLE);
}

static void truncated(struct scripted *s, int fd)
{
	g_free(scripted_read(s, fd));
	scripted_write(fd, "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n"
			   "{\"version\":5,\"lease\":5}");
}

static void truncated_answer_leaves_writes_unknown(void **state)
{
	expect_all(state, truncated, LONG_MS, KV_UNKNOWN, KV_UNAVAILABLE);
}

static void late(struct scripted *s, int fd)
{
	g_free(scripted_read(s, fd));
	g_usleep((gulong)2 * SHORT_MS * 1000);
	scripted_answer(fd, 200, "{\"version\":5,\"lease\":5}");
}

/* A late answer must not end the call a second time. */
static void late_answer_leaves_writes_unknown(void **state)
{
	expect_all(state, late, SHORT_MS, KV_UNKNOWN, KV_UNAVAILABLE);
}

static void outage(struct scripted *s, int fd)
{
	char *request;

	while ((request = scripted_read(s, fd))) {
		scripted_answer(fd, 503, "{}");
		g_free(request);
	}
}

/* A 503 may come from a load balancer while the service does the write. */
static void status_503_leaves_writes_unknown(void **state)
{
	expect_all(state, outage, LONG_MS, KV_UNKNOWN, KV_UNAVAILABLE);
}

/* Answers a request for key "badN" with bodies[N]. */
static void wrong_json(struct scripted *s, int fd)
{
	static const char *const bodies[] = {
		"",
		"{\"version\":",
		"[5]",
		"{\"version\":\"5\",\"lease\":\"5\",\"value\":1}",
		"{\"version\":-1,\"lease\":-1,\"value\":\"v\"}",
		"{\"revision\":1,\"rows\":[1],\"hosts\":[1]}",
		("{\"revision\":1,\"rows\":[{\"key\":\"k\",\"version\":1}],"
		 "\"hosts\":[{\"host\":\"h\"}]}"),
	};
	char *request;
	const char *n;

	while ((request = scripted_read(s, fd))) {
		n = strstr(request, "bad");
		scripted_answer(fd, 200, bodies[n ? n[3] - '0' : 0]);
		g_free(request);
	}
}

/* A malformed answer must neither crash nor be taken for a result. */
static void wrong_json_is_no_result(void **state)
{
	struct fixture f;
	char key[] = "bad0";

	begin(&f, state, wrong_json, LONG_MS);
	for (; key[3] <= '6'; key[3]++) {
		expect(&f, KV_CAS, key, KV_UNKNOWN);
		expect(&f, KV_GET, key, KV_UNAVAILABLE);
		expect(&f, KV_LIST, key, KV_UNAVAILABLE);
	}
	expect(&f, KV_LEASE_GRANT, "k", KV_UNKNOWN);
	expect(&f, KV_HOSTS, "k", KV_UNAVAILABLE);
	end(&f);
}

static void accept_write(struct scripted *s, int fd)
{
	char *request;

	while ((request = scripted_read(s, fd))) {
		scripted_answer(fd, 200, "{\"version\":5}");
		g_free(request);
	}
}

/* The service would refuse such a value, but only after 1 MB was sent. */
static void value_over_limit_is_not_sent(void **state)
{
	struct fixture f;
	struct msg *m;
	char *text = g_strnfill(CS_VALUE_MAX + 1, 'x');

	begin(&f, state, accept_write, LONG_MS);
	post(&f, KV_CAS, 1, "k", g_bytes_new(text, CS_VALUE_MAX + 1));
	m = take_done(&f);
	assert_int_equal(m->u.kv_done.result, KV_UNAVAILABLE);
	msg_free(m);
	assert_int_equal(scripted_connections(f.server), 0);
	post(&f, KV_CAS, 1, "k", g_bytes_new(text, (gsize)CS_VALUE_MAX));
	m = take_done(&f);
	assert_int_equal(m->u.kv_done.result, KV_OK);
	assert_int_equal(m->u.kv_done.version, 5);
	msg_free(m);
	/* JSON can't hold a value that is not UTF-8. */
	post(&f, KV_CAS, 1, "k", g_bytes_new("\xff\xfe", 2));
	m = take_done(&f);
	assert_int_equal(m->u.kv_done.result, KV_UNAVAILABLE);
	msg_free(m);
	assert_int_equal(scripted_requests(f.server), 1);
	end(&f);
	g_free(text);
}

/* A request line and the answer that it gets; first match. */
static const struct {
	const char *line;
	int status;
	const char *body;
} service_rows[] = {
	{ "GET /kv/a/b%20c HTTP", 200,
	  "{\"key\":\"a/b c\",\"version\":9,\"value\":\"x\\u0000y\"}" },
	{ "GET /kv/none HTTP", 404, "{\"error\":\"missing\"}" },
	{ "PUT /kv/a?version=4&change=e1-7 HTTP", 200, "{\"version\":10}" },
	{ "PUT /kv/old?", 409, "{\"version\":11,\"value\":\"new\"}" },
	{ "PUT /kv/gone?", 409, "{\"version\":0,\"value\":null}" },
	{ "DELETE /kv/a?version=4 HTTP", 200, "{}" },
	{ "GET /list?prefix=p%2F HTTP", 200,
	  "{\"revision\":3,\"rows\":[{\"key\":\"p/1\",\"version\":1,"
	  "\"value\":\"v\"}]}" },
	{ "GET /watch?prefix=p%2F&since=4&wait_ms=60000 HTTP", 200,
	  "{\"revision\":8,\"changes\":[{\"key\":\"p/1\",\"version\":0,"
	  "\"value\":null}]}" },
	{ "POST /leases HTTP", 200, "{\"lease\":6}" },
	{ "PUT /leases/6 HTTP", 404, "{}" },
	{ "GET /hosts HTTP", 200,
	  "{\"hosts\":[{\"host\":\"h\",\"address\":\"127.0.0.1:1\","
	  "\"state\":\"leaving\",\"data_centre\":\"d\"}]}" },
};

static void service(struct scripted *s, int fd)
{
	char *request;
	size_t i;

	while ((request = scripted_read(s, fd))) {
		for (i = 0; i < G_N_ELEMENTS(service_rows); i++)
			if (g_str_has_prefix(request, service_rows[i].line))
				break;
		if (i < G_N_ELEMENTS(service_rows))
			scripted_answer(fd, service_rows[i].status,
					service_rows[i].body);
		else
			scripted_answer(fd, 400, "{}");
		g_free(request);
	}
}

/* Guards against deviations from the API of the service (design 2.5). */
static void operations_match_the_service_api(void **state)
{
	struct fixture f;
	struct msg *m;
	const struct kv_done *d;

	begin(&f, state, service, LONG_MS);
	m = call(&f, KV_GET, "a/b c");
	d = &m->u.kv_done;
	assert_int_equal(d->result, KV_OK);
	assert_int_equal(d->version, 9);
	assert_int_equal(g_bytes_get_size(d->rows[0].value), 3);
	msg_free(m);
	expect(&f, KV_GET, "none", KV_MISSING);
	m = call(&f, KV_CAS, "a");
	assert_int_equal(m->u.kv_done.result, KV_OK);
	assert_int_equal(m->u.kv_done.version, 10);
	msg_free(m);
	m = call(&f, KV_CAS, "old");
	d = &m->u.kv_done;
	assert_int_equal(d->result, KV_CONFLICT);
	assert_int_equal(d->rows_nr, 1);
	assert_int_equal(d->rows[0].version, 11);
	assert_string_equal(d->rows[0].key, "old");
	assert_memory_equal(g_bytes_get_data(d->rows[0].value, NULL), "new", 3);
	msg_free(m);
	expect(&f, KV_CAS, "gone", KV_CONFLICT);
	expect(&f, KV_DELETE, "a", KV_OK);
	m = call(&f, KV_LIST, "p/");
	d = &m->u.kv_done;
	assert_int_equal(d->result, KV_OK);
	assert_int_equal(d->revision, 3);
	assert_int_equal(d->rows_nr, 1);
	assert_string_equal(d->rows[0].key, "p/1");
	msg_free(m);
	m = call(&f, KV_WATCH, "p/");
	d = &m->u.kv_done;
	assert_int_equal(d->result, KV_OK);
	assert_int_equal(d->revision, 8);
	assert_int_equal(d->rows[0].version, 0);
	assert_null(d->rows[0].value);
	msg_free(m);
	m = call(&f, KV_LEASE_GRANT, "");
	assert_int_equal(m->u.kv_done.result, KV_OK);
	assert_int_equal(m->u.kv_done.lease, 6);
	msg_free(m);
	expect(&f, KV_LEASE_RENEW, "", KV_MISSING);
	m = call(&f, KV_HOSTS, "");
	d = &m->u.kv_done;
	assert_int_equal(d->result, KV_OK);
	assert_int_equal(d->hosts_nr, 1);
	assert_true(d->hosts[0].is_leaving);
	assert_string_equal(d->hosts[0].address, "127.0.0.1:1");
	msg_free(m);
	end(&f);
}

static void watches_wait(struct scripted *s, int fd)
{
	char *request;

	while ((request = scripted_read(s, fd))) {
		if (g_str_has_prefix(request, "GET /watch"))
			scripted_is_closed_by_client(fd);
		else
			scripted_answer(fd, 404, "{}");
		g_free(request);
	}
}

/* A waiting watch must neither delay calls nor end with their timeout. */
static void watches_do_not_block_calls(void **state)
{
	struct fixture f;
	struct msg *m;
	int i;

	begin(&f, state, watches_wait, WATCH_TEST_MS);
	for (i = 0; i < 40; i++)
		post(&f, KV_WATCH, 100, "p", NULL);
	expect(&f, KV_GET, "k", KV_MISSING);
	g_usleep((gulong)2 * WATCH_TEST_MS * 1000);
	expect(&f, KV_GET, "k", KV_MISSING);
	platform_client_destroy(f.client);
	f.client = NULL;
	for (i = 0; i < 40; i++) {
		m = take_done(&f);
		assert_int_equal(m->u.kv_done.op, KV_WATCH);
		assert_int_equal(m->u.kv_done.result, KV_UNAVAILABLE);
		msg_free(m);
	}
	end(&f);
}

static void shuffled(struct scripted *s, int fd)
{
	char *request, body[64];
	uint64_t n;

	while ((request = scripted_read(s, fd))) {
		n = g_ascii_strtoull(request + strlen("GET /kv/"), NULL, 10);
		g_usleep((n * 7919 % 13) * 1000);
		snprintf(body, sizeof(body),
			 "{\"version\":%" PRIu64 ",\"value\":\"v\"}", n);
		scripted_answer(fd, 200, body);
		g_free(request);
	}
}

/* Answers that arrive out of order must reach their own calls. */
static void answers_out_of_order_match_their_calls(void **state)
{
	enum { CALLS = 200 };
	struct fixture f;
	char key[16];
	uint64_t i;
	bool is_shuffled = false;
	struct msg *m;

	begin(&f, state, shuffled, LONG_MS);
	for (i = 1; i <= CALLS; i++) {
		snprintf(key, sizeof(key), "%" PRIu64, i);
		post(&f, KV_GET, i, key, NULL);
	}
	for (i = 1; i <= CALLS; i++) {
		m = take_done(&f);
		assert_int_equal(m->u.kv_done.result, KV_OK);
		assert_int_equal(m->u.kv_done.version, m->u.kv_done.token);
		is_shuffled |= m->u.kv_done.token != i;
		msg_free(m);
	}
	assert_true(is_shuffled);
	end(&f);
}

/* Operators must see which calls fail and how. */
static void metrics_count_operations_and_results(void **state)
{
	struct fixture f;
	char *text;

	begin(&f, state, outage, LONG_MS);
	expect(&f, KV_CAS, "k", KV_UNKNOWN);
	text = client_metrics(f.bus, BUS_PLATFORM);
	assert_non_null(strstr(text, "camphorshed_platform_calls_total{"
				     "op=\"cas\",result=\"unknown\"} 1\n"));
	assert_non_null(strstr(text, "camphorshed_platform_failures_total{"
				     "op=\"cas\",step=\"decode\","
				     "code=\"invalid\"} 1\n"));
	g_free(text);
	end(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(refused_connection_is_unavailable),
		cmocka_unit_test(silent_service_leaves_writes_unknown),
		cmocka_unit_test(lost_answer_leaves_writes_unknown),
		cmocka_unit_test(reset_in_answer_leaves_writes_unknown),
		cmocka_unit_test(truncated_answer_leaves_writes_unknown),
		cmocka_unit_test(late_answer_leaves_writes_unknown),
		cmocka_unit_test(status_503_leaves_writes_unknown),
		cmocka_unit_test(wrong_json_is_no_result),
		cmocka_unit_test(value_over_limit_is_not_sent),
		cmocka_unit_test(operations_match_the_service_api),
		cmocka_unit_test(watches_do_not_block_calls),
		cmocka_unit_test(answers_out_of_order_match_their_calls),
		cmocka_unit_test(metrics_count_operations_and_results),
	};

	return cmocka_run_group_tests(tests, client_open_log, client_close_log);
}
