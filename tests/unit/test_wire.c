#include "unit.h"

#include <string.h>

#include "../../platform/wire.h"
#include "../../platform/wire_order.h"
#include "../../platform/wire_store.h"
#include "../../src/base/error.h"

/* Decoding of what the platform sends, and encoding of requests to it. */

static GBytes *text(const char *s)
{
	return g_bytes_new(s, strlen(s));
}

static struct http_client_response answered(int status, const char *body)
{
	struct http_client_response a = { .result = HTTP_ANSWERED,
					  .status = status };

	a.body = text(body);
	return a;
}

/* Guards against dropped fields, which would change what runs and where. */
static void job_is_read_whole(void **state)
{
	GBytes *body = text(
		"{\"spec\":\"work\",\"steps\":["
		"{\"count\":4,\"cpu\":500,\"memMb\":256,\"estimatedMs\":900,"
		"\"affinity\":\"r1-3\",\"new\":1},"
		"{\"count\":2,\"cpu\":2000,\"gpu\":1,\"after\":[0],"
		"\"checkpointing\":true,\"longRunning\":true,\"fills\":true,"
		"\"targetMs\":80,\"maxUnavailable\":1,\"antiAffinity\":2,"
		"\"requirements\":\"big\",\"image\":\"x\"}],"
		"\"repeatCount\":3,\"startAtMs\":1000,\"intervalMs\":500}");
	struct batch_spec *s = wire_read_job(body, NULL);

	(void)state;
	assert_non_null(s);
	assert_int_equal(s->steps_nr, 2);
	assert_int_equal(s->steps[0].count, 4);
	assert_int_equal(s->steps[0].need.cpu, 500);
	assert_int_equal(s->steps[0].estimate_ms, 900);
	assert_int_equal(s->steps[0].unavailable_max, -1);
	assert_string_equal(s->steps[0].rack, "r1-3");
	assert_int_equal(s->steps[1].need.accelerators, 1);
	assert_int_equal(s->steps[1].after[0], 0);
	assert_true(s->steps[1].is_checkpointing);
	assert_true(s->steps[1].is_long_running);
	assert_true(s->steps[1].is_best_effort);
	assert_int_equal(s->steps[1].tail_target_ms, 80);
	assert_int_equal(s->steps[1].unavailable_max, 1);
	assert_int_equal(s->steps[1].per_server_max, 2);
	assert_string_equal(s->steps[1].label, "big");
	assert_int_equal(s->repeats, 3);
	batch_spec_destroy(s);
	g_bytes_unref(body);
}

/* Malformed input must give an error with a message, and no job. */
static void unreadable_jobs_are_refused(void **state)
{
	static const char *const bodies[] = {
		"",
		"[]",
		"{}",
		"{\"steps\":{}}",
		"{\"steps\":[]}",
		"{\"steps\":[1]}",
		"{\"steps\":[{\"count\":0}]}",
		"{\"steps\":[{\"count\":1,\"after\":[0]}]}",
		"{\"steps\":[{\"count\":1,\"after\":[5]}]}",
		"{\"steps\":[{\"count\":1,\"after\":\"x\"}]}",
		"{\"steps\":[{\"count\":1,\"affinity\":7}]}",
		"{\"steps\":[{\"count\":1,\"cpu\":-5}]}",
		"{\"steps\":[{\"count\":99999999}]}",
		"\xff\xfe",
		"{\"steps\":[{\"count\":1}],\"repeatCount\":-1}",
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(bodies); i++) {
		struct cs_error err = { 0 };
		GBytes *body = text(bodies[i]);

		assert_null(wire_read_job(body, &err));
		assert_int_equal(err.code, CS_ERR_INVALID);
		assert_true(*err.message != '\0');
		g_bytes_unref(body);
	}
}

static const char configuration[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"a\",\"host\":\"h.example\",\"prefix\":\"/x/\","
	"\"service\":\"p\",\"maxAttempts\":2,\"stretch\":1.6,"
	"\"targetCompletionMs\":600,\"priority\":1,\"public\":false},"
	"{\"name\":\"b\",\"host\":\"h.example\",\"prefix\":\"/x/y/\","
	"\"service\":\"q\",\"public\":true,\"recommendation\":"
	"{\"decisionMs\":5,\"periodMs\":2,\"validityMs\":900}}],"
	"\"services\":[{\"name\":\"p\",\"admissionCheck\":true},"
	"{\"name\":\"q\",\"standby\":true}],"
	"\"limits\":{\"maxBodyBytes\":1000},"
	"\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k1\",\"k2\"],"
	"\"weight\":5,\"maximum\":{\"cpu\":4000}}]}";

/*
 * Guards against wrong routing, which goes by host and longest prefix, and
 * against keys that are assigned to the wrong workspace.
 */
static void configuration_is_read(void **state)
{
	GBytes *value = text(configuration);
	struct site *s = wire_formats.read_site(value, NULL);
	const char *rest;

	(void)state;
	assert_non_null(s);
	assert_int_equal(site_version(s), 7);
	assert_int_equal(site_body_max(s), 1000);
	assert_string_equal(site_route(s, "h.example", "/x/1", &rest)->name,
			    "a");
	assert_string_equal(rest, "1");
	assert_string_equal(site_route(s, "H.EXAMPLE", "/x/y/2", &rest)->name,
			    "b");
	assert_null(site_route(s, "other", "/x/1", &rest));
	assert_null(site_route(s, "h.example", "/z", &rest));
	assert_int_equal(site_find_queue(s, "a")->terms.attempts_max, 2);
	assert_int_equal(site_find_queue(s, "b")->terms.advice.validity_ms,
			 900);
	assert_true(site_find_queue(s, "b")->is_open);
	assert_true(site_find_pool(s, "p")->has_admission_check);
	assert_true(site_find_pool(s, "q")->is_standby);
	assert_string_equal(site_key_owner(s, "k2")->name, "t");
	assert_null(site_key_owner(s, "k3"));
	assert_int_equal(site_find_workspace(s, "t")->limit.cpu, 4000);
	site_unref(s);
	g_bytes_unref(value);
	value = text("{\"version\":8,\"routes\":[{\"name\":\"a\"}]}");
	assert_null(wire_formats.read_site(value, NULL));
	g_bytes_unref(value);
}

static void fill_name(char *name, size_t len)
{
	memset(name, 'n', len);
	name[len] = '\0';
}

static void configuration_has_name(const char *n)
{
	char *s = g_strdup_printf(
		"{\"version\":7,\"routes\":[{\"name\":\"%s\",\"host\":\"h\","
		"\"prefix\":\"/\",\"service\":\"%s\"}],\"services\":"
		"[{\"name\":\"%s\"}],\"tenants\":[{\"name\":\"%s\","
		"\"apiKeys\":[\"k\"]}]}",
		n, n, n, n);
	GBytes *value = text(s);
	struct site *site = wire_formats.read_site(value, NULL);

	assert_string_equal(site_find_queue(site, n)->terms.pool, n);
	assert_non_null(site_find_pool(site, n));
	assert_string_equal(site_key_owner(site, "k")->name, n);
	site_unref(site);
	g_bytes_unref(value);
	g_free(s);
}

static void server_has_name(const char *n)
{
	char *s = g_strdup_printf("{\"service\":\"%s\",\"address\":"
				  "\"10.0.0.9:80\",\"zone\":\"%s\","
				  "\"version\":\"%s\",\"state\":\"ready\","
				  "\"freeCapacity\":{\"cpu\":1},"
				  "\"labels\":[\"%s\"]}",
				  n, n, n, n);
	GBytes *value = text(s);
	struct server_info info = { 0 };

	assert_true(wire_formats.read_server(n, value, &info, NULL));
	assert_string_equal(info.id, n);
	assert_string_equal(info.pool, n);
	assert_string_equal(info.data_centre, n);
	assert_string_equal(info.version, n);
	assert_string_equal(info.labels[0], n);
	g_bytes_unref(value);
	g_free(s);
}

static void job_has_name(const char *n)
{
	char *s = g_strdup_printf("{\"steps\":[{\"count\":1,\"requirements\":"
				  "\"%s\",\"affinity\":\"%s\","
				  "\"image\":\"%s\"}]}",
				  n, n, n);
	GBytes *value = text(s);
	struct batch_spec *spec = wire_read_job(value, NULL);

	assert_string_equal(spec->steps[0].label, n);
	assert_string_equal(spec->steps[0].rack, n);
	assert_string_equal(spec->steps[0].image, n);
	batch_spec_destroy(spec);
	g_bytes_unref(value);
	g_free(s);
}

static void host_has_name(const char *n)
{
	char *s = g_strdup_printf("{\"machines\":[{\"machine\":\"%s\","
				  "\"pool\":\"%s\",\"zone\":\"%s\","
				  "\"id\":\"%s\",\"labels\":[\"%s\"],"
				  "\"state\":\"up\"}]}",
				  n, n, n, n, n);
	struct order *o = order_new(ORDER_LIST_HOSTS);
	struct http_client_response a = answered(200, s);
	struct order_reply *d = wire_order_decode(o, &a, 1, 2);
	const struct order_host *host = g_ptr_array_index(d->hosts, 0);

	assert_string_equal(host->name, n);
	assert_string_equal(host->server, n);
	assert_string_equal(host->labels[0], n);
	order_reply_free(d);
	order_free(o);
	g_bytes_unref(a.body);
	g_free(s);
}

static void ticket_has_name(const char *n)
{
	char *s = g_strdup_printf("{\"allowed\":[[\"%s\",\"t\"]]}", n);
	struct order *o = order_new(ORDER_ADVISE);
	struct http_client_response a = answered(200, s);
	struct order_reply *d = wire_order_decode(o, &a, 1, 2);
	const struct order_ticket *ticket = g_ptr_array_index(d->tickets, 0);

	assert_string_equal(ticket->server, n);
	order_reply_free(d);
	order_free(o);
	g_bytes_unref(a.body);
	g_free(s);
}

/*
 * Guards against names of up to 192 bytes, as long as the identifier of a
 * server can be, that are left out or cut off: of what a configuration, a
 * server, a job, a host or the advisor names.
 */
static void names_of_all_lengths_are_read(void **state)
{
	static const size_t lengths[] = { 1, 63, 64, 191, 192 };
	char n[SITE_NAME_MAX];
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(lengths); i++) {
		fill_name(n, lengths[i]);
		configuration_has_name(n);
		server_has_name(n);
		job_has_name(n);
		host_has_name(n);
		ticket_has_name(n);
	}
}

/* Whoever sent a name that is too long is told which, and what the limit is. */
static void names_that_are_too_long_are_named(void **state)
{
	char n[SITE_NAME_MAX + 1], *s;
	struct server_info info = { 0 };
	struct cs_error err = { 0 };
	GBytes *value;

	(void)state;
	fill_name(n, SITE_NAME_MAX);
	s = g_strdup_printf("{\"steps\":[{\"count\":1},{\"count\":1,"
			    "\"requirements\":\"%s\"}]}",
			    n);
	value = text(s);
	assert_null(wire_read_job(value, &err));
	assert_string_equal(err.message, "step 1: \"requirements\" is longer "
					 "than 192 bytes");
	g_bytes_unref(value);
	g_free(s);
	s = g_strdup_printf("{\"service\":\"%s\",\"address\":\"10.0.0.9:80\","
			    "\"zone\":\"z\",\"state\":\"ready\","
			    "\"freeCapacity\":{\"cpu\":1}}",
			    n);
	value = text(s);
	assert_false(wire_formats.read_server("i", value, &info, &err));
	assert_string_equal(err.message,
			    "\"service\" is longer than 192 bytes");
	g_bytes_unref(value);
	g_free(s);
}

/*
 * Guards against a configuration that is left out as a whole, and all later
 * ones, as one of its rows has a name that is too long: a key that it withdraws
 * went on being accepted, and after a restart no entry had any.
 */
static void long_name_costs_its_row_only(void **state)
{
	char name[SITE_NAME_MAX + 1], label[64], *document;
	struct cs_error err = { 0 };
	const char *rest;
	GBytes *value;
	struct site *s;

	(void)state;
	fill_name(name, SITE_NAME_MAX);
	fill_name(label, sizeof(label) - 1);
	document = g_strdup_printf(
		"{\"version\":7,\"routes\":["
		"{\"name\":\"%s\",\"host\":\"h\",\"prefix\":\"/1/\","
		"\"service\":\"p\"},"
		"{\"name\":\"a\",\"host\":\"%s.%s\",\"prefix\":\"/2/\","
		"\"service\":\"p\"}],"
		"\"services\":[{\"name\":\"%s\"},{\"name\":\"p\"}],"
		"\"tenants\":[{\"name\":\"%s\",\"apiKeys\":[\"k1\"]},"
		"{\"name\":\"t\",\"apiKeys\":[\"k2\"]}]}",
		name, label, label, name, name);
	value = text(document);
	s = wire_formats.read_site(value, &err);
	assert_non_null(s);
	assert_string_equal(err.message, "row 0 of \"tenants\": \"name\" is "
					 "longer than 192 bytes");
	assert_null(site_route(s, "h", "/1/x", &rest));
	g_free(document);
	document = g_strdup_printf("%s.%s", label, label);
	assert_string_equal(site_route(s, document, "/2/x", &rest)->name, "a");
	assert_non_null(site_find_pool(s, "p"));
	assert_null(site_key_owner(s, "k1"));
	assert_string_equal(site_key_owner(s, "k2")->name, "t");
	g_free(document);
	site_unref(s);
	g_bytes_unref(value);
}

/*
 * Another writer left one odd record among those of the servers. It must be
 * left out: its numbers would count in the size of its pool, and a call to an
 * address without a valid port fails forever.
 */
static void odd_server_record_is_left_out(void **state)
{
	static const char *const format =
		"{\"service\":\"p\",\"address\":\"%s\",\"zone\":\"z\","
		"\"state\":\"ready\",\"born\":%s,"
		"\"freeCapacity\":{\"cpu\":%s,\"memMb\":%s}}";
	static const struct {
		const char *address, *born, *cpu, *memory;
	} odd[] = {
		{ "10.0.0.9:65536", "5", "16000", "64" },
		{ "10.0.0.9:0", "5", "16000", "64" },
		{ "10.0.0.9:-1", "5", "16000", "64" },
		{ "10.0.0.9", "5", "16000", "64" },
		{ "host:80", "5", "16000", "64" },
		{ "10.0.0.9:80", "5", "9000000000000000000", "64" },
		{ "10.0.0.9:80", "5", "99999999999999999999999", "64" },
		{ "10.0.0.9:80", "5", "0", "64" },
		{ "10.0.0.9:80", "5", "-5", "64" },
		{ "10.0.0.9:80", "5", "16000", "1e300" },
		{ "10.0.0.9:80", "5", "16000", "-1" },
		{ "10.0.0.9:80", "5", "16000", "1e999" },
	};
	struct server_info info = { 0 };
	GString *deep = g_string_new("{\"service\":");
	GBytes *value;
	char *s;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(odd); i++) {
		s = g_strdup_printf(format, odd[i].address, odd[i].born,
				    odd[i].cpu, odd[i].memory);
		value = text(s);
		if (wire_formats.read_server("i-1", value, &info, NULL))
			fail_msg("accepted: %s", s);
		g_bytes_unref(value);
		g_free(s);
	}
	s = g_strdup_printf(format, "10.0.0.9:80", "-7", "16000", "64");
	value = text(s);
	assert_true(wire_formats.read_server("i-1", value, &info, NULL));
	assert_int_equal(info.started_unix_ms, 0);
	g_bytes_unref(value);
	g_free(s);
	for (i = 0; i < 300000; i++)
		g_string_append_c(deep, '[');
	value = text(deep->str);
	assert_false(wire_formats.read_server("i-1", value, &info, NULL));
	g_bytes_unref(value);
	g_string_free(deep, TRUE);
}

/*
 * One item of a list whose value is no text must not hide the others, nor stop
 * the list from being followed.
 */
static void odd_item_does_not_hide_others(void **state)
{
	struct store_call *c = store_call_new(STORE_LIST, "servers/", 100);
	struct http_client_response a = answered(
		200, "{\"at\":9,\"items\":["
		     "{\"key\":\"servers/a\",\"value\":[[1]],\"revision\":3},"
		     "{\"key\":\"servers/b\",\"value\":\"e30=\",\"revision\":4}"
		     "]}");
	struct store_reply *d = wire_store_decode(c, &a);
	const struct store_item *item;

	(void)state;
	assert_int_equal(d->result, STORE_OK);
	assert_int_equal(d->items->len, 2);
	item = g_ptr_array_index(d->items, 0);
	assert_int_equal(g_bytes_get_size(item->value), 0);
	item = g_ptr_array_index(d->items, 1);
	assert_int_equal(g_bytes_get_size(item->value), 2);
	store_reply_free(d);
	store_call_free(c);
	g_bytes_unref(a.body);
}

/* Numbers outside the range of a field must not become other numbers. */
static void numbers_out_of_range_are_refused(void **state)
{
	struct order *o = order_new(ORDER_HOLD);
	struct http_client_response a = answered(
		200, "{\"clockMs\":1e300,\"running\":"
		     "[[\"5c0e7a21d94b36f8.0.1.17\",4294967298,\"c\",41,7],"
		     "[\"5c0e7a21d94b36f8.0.1.18\",2,\"c\",1e300,-1e300]],"
		     "\"finished\":[[-1,\"5c0e7a21d94b36f8.0.1.9\",1,"
		     "\"done\",\"\"],[59,\"5c0e7a21d94b36f8.0.1.9\",-1,"
		     "\"done\",\"\"]]}");
	struct order_reply *d = wire_order_decode(o, &a, 1, 2);
	const struct order_run *r = g_ptr_array_index(d->runs, 0);

	(void)state;
	assert_int_equal(d->runs->len, 1);
	assert_int_equal(r->run, 2);
	assert_int_equal(r->percent, 100);
	assert_int_equal(d->ends->len, 0);
	order_reply_free(d);
	order_free(o);
	g_bytes_unref(a.body);
}

/* A malformed record in the store must not yield a server. */
static void server_records_are_checked(void **state)
{
	static const char *const bad[] = {
		"",
		"{}",
		"[1]",
		"{\"service\":\"p\",\"address\":\"a\",\"zone\":\"z\","
		"\"state\":\"odd\",\"freeCapacity\":{\"cpu\":1}}",
		"{\"service\":\"p\",\"address\":5,\"zone\":\"z\","
		"\"state\":\"ready\",\"freeCapacity\":{\"cpu\":1}}",
		"{\"service\":\"p\",\"address\":\"a\",\"zone\":\"z\","
		"\"state\":\"ready\"}",
	};
	GBytes *value = text("{\"service\":\"p\",\"address\":\"10.0.0.9:80\","
			     "\"zone\":\"z\",\"version\":\"v1\",\"capacity\":8,"
			     "\"state\":\"draining\",\"remainingMs\":900,"
			     "\"freeCapacity\":{\"cpu\":16000,\"memMb\":5},"
			     "\"labels\":[\"a\",\"r1-3\"],\"born\":12}");
	struct server_info info = { 0 };
	size_t i;

	(void)state;
	assert_true(wire_formats.read_server("i-1", value, &info, NULL));
	assert_string_equal(info.pool, "p");
	assert_string_equal(info.rack, "r1-3");
	assert_int_equal(info.labels_nr, 2);
	assert_int_equal(info.capacity.cpu, 16000);
	assert_int_equal(info.started_unix_ms, 12);
	assert_true(info.is_draining);
	g_bytes_unref(value);
	for (i = 0; i < G_N_ELEMENTS(bad); i++) {
		value = text(bad[i]);
		memset(&info, 0, sizeof(info));
		assert_false(
			wire_formats.read_server("i-1", value, &info, NULL));
		g_bytes_unref(value);
	}
}

/*
 * Guards against taking an unknown outcome for a refusal: the task would be
 * started again and could run twice.
 */
static void statuses_map_to_results(void **state)
{
	static const struct {
		int status;
		const char *body;
		enum order_result result;
		enum order_reason reason;
	} rows[] = {
		{ 200, "{\"clockMs\":5}", ORDER_DONE, ORDER_REASON_NONE },
		{ 409, "{\"reason\":\"fence\"}", ORDER_REFUSED,
		  ORDER_REASON_FENCED },
		{ 409, "{\"reason\":\"old\"}", ORDER_REFUSED,
		  ORDER_REASON_OLD_RUN },
		{ 409, "{\"reason\":\"room\"}", ORDER_REFUSED,
		  ORDER_REASON_NO_ROOM },
		{ 421, "", ORDER_REFUSED, ORDER_REASON_INSTANCE },
		{ 503, "", ORDER_REFUSED, ORDER_REASON_OVERLOADED },
		{ 500, "", ORDER_UNKNOWN, ORDER_REASON_NONE },
	};
	struct order *o = order_new(ORDER_START);
	struct http_client_response lost = { .result = HTTP_UNKNOWN };
	struct order_reply *d;
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		struct http_client_response a =
			answered(rows[i].status, rows[i].body);

		d = wire_order_decode(o, &a, 1, 2);
		assert_int_equal(d->result, rows[i].result);
		assert_int_equal(d->reason, rows[i].reason);
		order_reply_free(d);
		g_bytes_unref(a.body);
	}
	d = wire_order_decode(o, &lost, 1, 2);
	assert_int_equal(d->result, ORDER_UNKNOWN);
	order_reply_free(d);
	order_free(o);
}

/* A malformed list must not be taken for an empty one: "nothing runs here". */
static void holds_are_read(void **state)
{
	struct order *o = order_new(ORDER_HOLD);
	struct http_client_response a = answered(
		200, "{\"clockMs\":482113,\"born\":9,\"running\":"
		     "[[\"5c0e7a21d94b36f8.0.1.17\",2,\"c\",41,7],[1]],"
		     "\"finished\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,"
		     "\"done\",\"\"],[59,\"x\",1,\"odd\",\"\"]]}");
	struct order_reply *d = wire_order_decode(o, &a, 1, 2);
	const struct order_run *r = g_ptr_array_index(d->runs, 0);
	const struct order_ended_run *e = g_ptr_array_index(d->ends, 0);

	(void)state;
	assert_int_equal(d->clock_ms, 482113);
	assert_int_equal(d->started_unix_ms, 9);
	assert_int_equal(d->runs->len, 1);
	assert_int_equal(r->percent, 41);
	assert_int_equal(r->tail_ms_or_cpu, 7);
	assert_string_equal(r->checkpoint, "c");
	assert_int_equal(d->ends->len, 1);
	assert_int_equal(e->number, 58);
	assert_int_equal(e->how, BATCH_END_DONE);
	order_reply_free(d);
	g_bytes_unref(a.body);
	a = answered(200, "not an object");
	d = wire_order_decode(o, &a, 1, 2);
	assert_int_equal(d->result, ORDER_UNKNOWN);
	order_reply_free(d);
	g_bytes_unref(a.body);
	order_free(o);
}

/*
 * Guards against runs that count as gone because a list did not show them: it
 * was cut off at 500 ended runs, or a row could not be read.
 */
static void partial_lists_are_noted(void **state)
{
	static const struct {
		const char *lists;
		bool is_partial;
	} rows[] = {
		{ "", false },
		{ "\"running\":[],\"finished\":[]", false },
		{ "\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",2,\"\",4,7]]",
		  false },
		{ "\"running\":[[\"5c0e7a21d94b36f8.0.1.17\",-2,\"\",4,7]]",
		  true },
		{ "\"running\":{}", true },
		{ "\"finished\":null", true },
		{ "\"finished\":[[1,\"5c0e7a21d94b36f8.0.1.9\",1,\"odd\",\"\"]]",
		  true },
	};
	struct order *o = order_new(ORDER_LIST_RUNS);
	GString *many = g_string_new("{\"finished\":[");
	struct http_client_response a;
	struct order_reply *d;
	size_t i;
	int n;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(rows); i++) {
		char *body = g_strdup_printf("{%s}", rows[i].lists);

		a = answered(200, body);
		d = wire_order_decode(o, &a, 1, 2);
		assert_int_equal(d->result, ORDER_DONE);
		assert_int_equal(d->is_partial, rows[i].is_partial);
		order_reply_free(d);
		g_bytes_unref(a.body);
		g_free(body);
	}
	for (n = 1; n <= 500; n++) {
		char *body;

		g_string_append_printf(
			many,
			"%s[%d,\"5c0e7a21d94b36f8.0.1.%d\",1,\"done\",\"\"]",
			n > 1 ? "," : "", n, n);
		if (n < 499)
			continue;
		body = g_strdup_printf("%s]}", many->str);
		a = answered(200, body);
		d = wire_order_decode(o, &a, 1, 2);
		assert_int_equal(d->ends->len, n);
		assert_int_equal(d->is_partial, n == 500);
		order_reply_free(d);
		g_bytes_unref(a.body);
		g_free(body);
	}
	g_string_free(many, TRUE);
	order_free(o);
}

static bool body_holds(GBytes *body, const char *part)
{
	gsize size;
	const char *data = g_bytes_get_data(body, &size);

	return g_strstr_len(data, (gssize)size, part) != NULL;
}

/* Guards against wrong paths, headers and fields in requests to servers. */
static void orders_are_written(void **state)
{
	struct order *o = order_new(ORDER_START);
	struct wire_order w;

	(void)state;
	cs_copy(o->task, sizeof(o->task), "5c0e7a21d94b36f8.0.1.17");
	cs_copy(o->instance, sizeof(o->instance), "i-1");
	o->run = 2;
	o->token = 7;
	o->deadline_ms = 486000;
	o->payload = g_strdup("work");
	wire_order_encode(o, &w);
	assert_string_equal(w.path, "/-/run-start");
	assert_true(body_holds(w.body, "\"fencingToken\":7"));
	assert_true(body_holds(w.body, "\"deadlineMs\":486000"));
	assert_false(body_holds(w.body, "checkpoint"));
	assert_string_equal(w.headers[0].name, "Expected-Instance");
	wire_order_clear(&w);
	order_free(o);
	o = order_new(ORDER_MOVE_HOST);
	cs_copy(o->holder, sizeof(o->holder), "entry-1");
	o->token = 12;
	wire_order_encode(o, &w);
	assert_int_equal(w.headers_nr, 2);
	assert_string_equal(w.headers[1].value, "12");
	wire_order_clear(&w);
	order_free(o);
}

/* A lost answer must stay unknown; it must not become a refusal. */
static void store_answers_are_read(void **state)
{
	const struct http_client_response too_large = { .result = HTTP_UNKNOWN,
							.is_too_large = true };
	struct store_call *txn = store_call_new(STORE_TXN, NULL, 100);
	struct store_call *watch = store_call_new(STORE_WATCH, "op/", 100);
	struct http_client_response lost = { .result = HTTP_UNKNOWN };
	struct http_client_response unsent = { .result = HTTP_NOT_SENT };
	struct http_client_response a;
	struct store_reply *d;
	const struct store_item *item;

	(void)state;
	d = wire_store_decode(txn, &lost);
	assert_int_equal(d->result, STORE_UNKNOWN);
	store_reply_free(d);
	d = wire_store_decode(txn, &unsent);
	assert_int_equal(d->result, STORE_REFUSED);
	store_reply_free(d);
	a = answered(412, "{\"items\":[{\"key\":\"k\",\"value\":\"bm8=\","
			  "\"revision\":4,\"created\":3}]}");
	d = wire_store_decode(txn, &a);
	assert_int_equal(d->result, STORE_CONFLICT);
	item = g_ptr_array_index(d->items, 0);
	assert_int_equal(item->revision, 4);
	assert_int_equal(g_bytes_get_size(item->value), 2);
	store_reply_free(d);
	g_bytes_unref(a.body);
	a = answered(502, "");
	d = wire_store_decode(txn, &a);
	assert_int_equal(d->result, STORE_UNKNOWN);
	store_reply_free(d);
	g_bytes_unref(a.body);
	a = answered(200, "{\"events\":[{\"key\":\"op/x\",\"revision\":9,"
			  "\"deleted\":true}],\"at\":9}");
	d = wire_store_decode(watch, &a);
	assert_int_equal(d->result, STORE_OK);
	assert_int_equal(d->revision, 9);
	item = g_ptr_array_index(d->items, 0);
	assert_null(item->value);
	store_reply_free(d);
	g_bytes_unref(a.body);
	a = answered(410, "");
	d = wire_store_decode(watch, &a);
	assert_int_equal(d->result, STORE_COMPACTED);
	store_reply_free(d);
	g_bytes_unref(a.body);
	a = answered(200, "{\"events\":[{\"key\":5}],\"at\":9}");
	d = wire_store_decode(watch, &a);
	assert_int_equal(d->result, STORE_UNREADABLE);
	store_reply_free(d);
	d = wire_store_decode(txn, &a);
	assert_int_equal(d->result, STORE_UNKNOWN);
	store_reply_free(d);
	g_bytes_unref(a.body);
	/* Only the reply to a watch can be had in parts. */
	d = wire_store_decode(watch, &too_large);
	assert_int_equal(d->result, STORE_UNREADABLE);
	store_reply_free(d);
	d = wire_store_decode(txn, &too_large);
	assert_int_equal(d->result, STORE_UNKNOWN);
	store_reply_free(d);
	store_call_free(txn);
	store_call_free(watch);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(job_is_read_whole),
		cmocka_unit_test(unreadable_jobs_are_refused),
		cmocka_unit_test(configuration_is_read),
		cmocka_unit_test(names_of_all_lengths_are_read),
		cmocka_unit_test(names_that_are_too_long_are_named),
		cmocka_unit_test(long_name_costs_its_row_only),
		cmocka_unit_test(server_records_are_checked),
		cmocka_unit_test(odd_server_record_is_left_out),
		cmocka_unit_test(odd_item_does_not_hide_others),
		cmocka_unit_test(numbers_out_of_range_are_refused),
		cmocka_unit_test(statuses_map_to_results),
		cmocka_unit_test(holds_are_read),
		cmocka_unit_test(partial_lists_are_noted),
		cmocka_unit_test(orders_are_written),
		cmocka_unit_test(store_answers_are_read),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
