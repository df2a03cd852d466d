#include <string.h>

#include "../../src/base/error.h"
#include "../../src/claim/claim_codec.h"
#include "../../src/job/long_record.h"
#include "../../src/ledger/ledger_codec.h"
#include "../../src/pool/host_record.h"
#include "fuzz.h"

/* Documents that entries store in the platform's key-value service. */

static void run_ledger(GBytes *input)
{
	struct cs_error err = { 0 };
	struct ledger *l = ledger_decode(input, "dc1", &err);
	struct ledger *decoded;
	GBytes *first, *second;

	if (!l)
		return;
	fuzz_require(ledger_is_balanced(l), "a decoded ledger is balanced");
	first = ledger_encode(l);
	decoded = ledger_decode(first, "dc1", &err);
	fuzz_require(decoded != NULL, "an encoded ledger is valid");
	second = ledger_encode(decoded);
	fuzz_require_same(first, second, "encodings are stable");
	g_bytes_unref(first);
	g_bytes_unref(second);
	ledger_destroy(decoded);
	ledger_destroy(l);
}

static void ledger_seeds(GPtrArray *seeds)
{
	const struct ledger_limit limit = { "errata", 12 };
	struct ledger *reserve = ledger_create(LEDGER_RESERVE);
	struct ledger *l = ledger_create("dc1");
	struct ledger_holder *holder;

	ledger_set_limits(reserve, 1, &limit, 1);
	ledger_send(reserve, "errata", "dc1", 5);
	ledger_receive(l, reserve);
	holder = ledger_add_holder(l, "e1", 7);
	ledger_assign(l, holder, "errata", 3);
	ledger_set_wanted(holder, "errata", 2);
	ledger_send(l, "errata", "dc2", 1);
	g_ptr_array_add(seeds, ledger_encode(l));
	ledger_destroy(l);
	ledger_destroy(reserve);
	l = ledger_create("dc1");
	g_ptr_array_add(seeds, ledger_encode(l));
	ledger_destroy(l);
}

const struct fuzz_target fuzz_ledger = { "ledger", run_ledger, ledger_seeds };

static void run_claim_map(GBytes *input)
{
	struct claim_map *map = g_new0(struct claim_map, 1);
	struct claim_map *decoded = g_new0(struct claim_map, 1);
	struct cs_error err = { 0 };
	GBytes *first, *second;

	if (!claim_map_decode(input, map, &err)) {
		fuzz_require(claim_map_is_valid(map),
			     "a decoded claims map is valid");
		first = claim_map_encode(map);
		fuzz_require(!claim_map_decode(first, decoded, &err),
			     "an encoded claims map is valid");
		second = claim_map_encode(decoded);
		fuzz_require_same(first, second, "encodings are stable");
		g_bytes_unref(first);
		g_bytes_unref(second);
	}
	g_free(map);
	g_free(decoded);
}

static void claim_map_seeds(GPtrArray *seeds)
{
	const struct claim_member self = { "e1", 7 };
	struct claim_map *map = g_new0(struct claim_map, 1);

	claim_map_init(map, &self);
	g_ptr_array_add(seeds, claim_map_encode(map));
	g_free(map);
}

const struct fuzz_target fuzz_claim_map = { "claim_map", run_claim_map,
					    claim_map_seeds };

static void run_long_record(GBytes *input)
{
	struct long_record first, second;
	struct cs_error err = { 0 };
	GString *json = g_string_new(NULL);
	GBytes *text, *again, *body;

	if (!long_record_decode(input, &first, &err)) {
		long_record_describe(&first, json);
		text = long_record_encode(&first);
		fuzz_require(!long_record_decode(text, &second, &err),
			     "an encoded record is valid");
		again = long_record_encode(&second);
		fuzz_require_same(text, again, "encodings are stable");
		g_bytes_unref(text);
		g_bytes_unref(again);
	}
	body = long_body_decode(input);
	if (body)
		g_bytes_unref(body);
	g_string_free(json, TRUE);
}

static void long_record_seeds(GPtrArray *seeds)
{
	struct long_record r = { .id = "0af7",
				 .team = "errata",
				 .pool = "main",
				 .content_type = "text/plain",
				 .state = LONG_RUNNING,
				 .owner = "e1",
				 .incarnation = 7,
				 .attempt = 2,
				 .worker = "w1",
				 .address = "127.0.0.1:8001",
				 .task_id = "0af7-1",
				 .checkpoint = "40",
				 .progress = 40,
				 .change_id = "e1-1" };

	g_ptr_array_add(seeds, long_record_encode(&r));
	r.state = LONG_HELD;
	cs_copy(r.reason, sizeof(r.reason), "failed_on_workers");
	g_ptr_array_add(seeds, long_record_encode(&r));
	fuzz_add_text(seeds, "aGVsbG8=");
}

const struct fuzz_target fuzz_long_record = { "long_record", run_long_record,
					      long_record_seeds };

static void run_host_record(GBytes *input)
{
	struct record_table *table = record_table_create("dc1", 0);
	struct cs_error err = { 0 };
	GBytes *first, *second;

	if (!record_table_decode(table, input, 0, &err)) {
		first = record_table_encode(table, 0);
		fuzz_require(!record_table_decode(table, first, 0, &err),
			     "an encoded table is valid");
		second = record_table_encode(table, 0);
		fuzz_require_same(first, second, "encodings are stable");
		g_bytes_unref(first);
		g_bytes_unref(second);
	}
	record_table_destroy(table);
}

static void host_record_seeds(GPtrArray *seeds)
{
	struct record_table *table = record_table_create("dc1", 0);
	struct host_record *row;

	row = record_table_get(table, "h1", 1000 * CS_SEC, 0, NULL);
	row->purpose = PURPOSE_MOVE;
	cs_copy(row->target, sizeof(row->target), "main");
	cs_copy(row->home, sizeof(row->home), "spare");
	record_table_get(table, "h2", 1000 * CS_SEC, 0, NULL);
	g_ptr_array_add(seeds, record_table_encode(table, 0));
	record_table_destroy(table);
}

const struct fuzz_target fuzz_host_record = { "host_record", run_host_record,
					      host_record_seeds };
