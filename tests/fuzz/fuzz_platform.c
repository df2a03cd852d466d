#include <string.h>

#include "../../platform/wire.h"
#include "../../platform/wire_order.h"
#include "../../platform/wire_store.h"
#include "../../src/base/error.h"
#include "../../src/base/http_client.h"
#include "../../src/batch/batch_codec.h"
#include "../../src/relay/relay_codec.h"
#include "fuzz.h"

/*
 * What an entry on a shared platform reads: records of servers and operators,
 * replies of the store and of servers, callers' jobs, stored jobs, and messages
 * of other entries.
 */

static void run_server_record(GBytes *input)
{
	struct server_info info = { 0 };
	char host[CS_ADDRESS_MAX];
	uint16_t port;

	if (!wire_formats.read_server("i-1", input, &info, NULL))
		return;
	fuzz_require(!http_address_split(info.address, host, &port),
		     "an accepted server has an address with a port");
	fuzz_require(info.capacity.cpu > 0 && info.capacity.memory_mb >= 0 &&
			     info.capacity.accelerators >= 0,
		     "an accepted server has a capacity");
	fuzz_require(info.remaining_ms >= 0, "a time left is not negative");
}

static void server_record_seeds(GPtrArray *seeds)
{
	fuzz_add_text(seeds, "{\"service\":\"p\",\"address\":\"10.0.0.9:80\","
			     "\"zone\":\"z\",\"version\":\"v1\",\"capacity\":8,"
			     "\"state\":\"draining\",\"remainingMs\":900,"
			     "\"freeCapacity\":{\"cpu\":16000,\"memMb\":5},"
			     "\"labels\":[\"a\",\"r1-3\"],\"born\":12}");
	fuzz_add_text(seeds, "[[[[[[[[[[[[[[[[{\"service\":");
}

const struct fuzz_target fuzz_server_record = { "server-record",
						run_server_record,
						server_record_seeds };

static void run_operator_record(GBytes *input)
{
	struct cs_error err = { 0 };
	struct wave_info wave = { 0 };

	site_unref(wire_formats.read_site(input, &err));
	if (!wire_formats.read_wave(input, &wave))
		return;
	fuzz_require(wave.duration_ms >= 0, "a wave's time is not negative");
	g_ptr_array_free(wave.hosts, TRUE);
}

static void operator_record_seeds(GPtrArray *seeds)
{
	fuzz_add_text(
		seeds,
		"{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
		"\"prefix\":\"/a/\",\"service\":\"p\",\"stretch\":1.5}],"
		"\"services\":[{\"name\":\"p\",\"standby\":true}],"
		"\"tenants\":[{\"name\":\"t\",\"apiKeys\":[\"k\"],"
		"\"maximum\":{\"cpu\":5}}]}");
	fuzz_add_text(seeds, "{\"rolloutWave\":3,\"machines\":[\"m1\"],"
			     "\"durationS\":20.5,\"maximum\":2}");
}

const struct fuzz_target fuzz_operator_record = { "operator-record",
						  run_operator_record,
						  operator_record_seeds };

static void run_order_reply(GBytes *input)
{
	const struct http_client_response response = {
		.result = HTTP_ANSWERED,
		.status = 200,
		.body = input,
	};
	const struct order order = { .type = ORDER_HOLD };
	struct order_reply *d = wire_order_decode(&order, &response, 1, 2);
	guint i;

	for (i = 0; i < d->runs->len; i++) {
		const struct order_run *r = g_ptr_array_index(d->runs, i);

		fuzz_require(r->percent >= 0 && r->percent <= 100,
			     "progress is a percentage");
	}
	order_reply_free(d);
}

static void order_reply_seeds(GPtrArray *seeds)
{
	fuzz_add_text(seeds, "{\"clockMs\":482113,\"born\":9,\"running\":"
			     "[[\"5c0e7a21d94b36f8.0.1.17\",2,\"c\",41,7]],"
			     "\"finished\":[[58,\"5c0e7a21d94b36f8.0.1.9\",1,"
			     "\"done\",\"\"]],\"machines\":[{\"machine\":\"m\","
			     "\"state\":\"up\"}],\"allowed\":[[\"i\",\"t\"]]}");
}

const struct fuzz_target fuzz_order_reply = { "order-reply", run_order_reply,
					      order_reply_seeds };

static void run_store_reply(GBytes *input)
{
	static const enum store_op ops[] = { STORE_GET, STORE_LIST, STORE_WATCH,
					     STORE_TXN, STORE_LEASE };
	const struct http_client_response response = {
		.result = HTTP_ANSWERED,
		.status = 200,
		.body = input,
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(ops); i++) {
		struct store_call *c = store_call_new(ops[i], "servers/", 100);

		store_reply_free(wire_store_decode(c, &response));
		store_call_free(c);
	}
}

static void store_reply_seeds(GPtrArray *seeds)
{
	fuzz_add_text(seeds, "{\"at\":9,\"items\":[{\"key\":\"servers/a\","
			     "\"value\":\"e30=\",\"revision\":4,\"created\":3,"
			     "\"lease\":2}],\"hasMore\":true}");
	fuzz_add_text(seeds, "{\"at\":9,\"events\":[{\"key\":\"servers/a\","
			     "\"revision\":5,\"deleted\":true}]}");
}

const struct fuzz_target fuzz_store_reply = { "store-reply", run_store_reply,
					      store_reply_seeds };

static void run_job(GBytes *input)
{
	struct cs_error err = { 0 };
	struct batch_spec *spec = wire_read_job(input, &err);
	struct batch *b, *copy;
	GBytes *bytes, *again;
	const void *data;
	gsize size;

	if (!spec)
		return;
	b = batch_create("0123456789abcdef", "q", "w", 5, spec);
	bytes = batch_encode_submission(b);
	data = g_bytes_get_data(bytes, &size);
	copy = batch_decode_submission(data, size);
	fuzz_require(copy != NULL, "an accepted job can be read back");
	again = batch_encode_submission(copy);
	fuzz_require_same(bytes, again, "stored jobs are stable");
	g_bytes_unref(bytes);
	g_bytes_unref(again);
	batch_destroy(b);
	batch_destroy(copy);
}

static void job_seeds(GPtrArray *seeds)
{
	fuzz_add_text(
		seeds,
		"{\"spec\":\"work\",\"steps\":["
		"{\"count\":4,\"cpu\":500,\"memMb\":256,\"estimatedMs\":9,"
		"\"affinity\":\"r1-3\"},{\"count\":2,\"gpu\":1,"
		"\"after\":[0],\"longRunning\":true,\"targetMs\":80,"
		"\"maxUnavailable\":1,\"antiAffinity\":2}],"
		"\"repeatCount\":3,\"startAtMs\":1000,\"intervalMs\":5}");
}

const struct fuzz_target fuzz_job = { "job", run_job, job_seeds };

static void run_relay(GBytes *input)
{
	struct relay_msg first, second;
	struct cs_error err = { 0 };
	GBytes *frame, *again;
	gsize len;
	const uint8_t *data = g_bytes_get_data(input, &len);

	if (relay_decode(data, len, &first, &err))
		return;
	frame = relay_encode(&first);
	data = g_bytes_get_data(frame, &len);
	fuzz_require(!relay_decode(data, len, &second, &err),
		     "an encoded message is valid");
	again = relay_encode(&second);
	fuzz_require_same(frame, again, "encodings are stable");
	g_bytes_unref(frame);
	g_bytes_unref(again);
	order_free(first.order);
	order_reply_free(first.reply);
	submission_free(first.submission);
	order_free(second.order);
	order_reply_free(second.reply);
	submission_free(second.submission);
}

static void relay_seeds(GPtrArray *seeds)
{
	struct order order = { .type = ORDER_START,
			       .timeout_ms = 1000,
			       .payload = (char *)"work" };
	struct relay_msg m = { .sent = 5, .cpu_share = 250, .call = 9 };
	GBytes *job = g_bytes_new_static("a job", 5);
	int kind;

	m.order = &order;
	m.reply = order_reply_new(&order);
	m.submission = submission_new("0123456789abcdef", 7, 3, job);
	for (kind = RELAY_OFFER; kind <= RELAY_KIND_MAX; kind++) {
		m.kind = (enum relay_kind)kind;
		g_ptr_array_add(seeds, relay_encode(&m));
	}
	order_reply_free(m.reply);
	submission_free(m.submission);
	g_bytes_unref(job);
}

const struct fuzz_target fuzz_relay = { "relay", run_relay, relay_seeds };
