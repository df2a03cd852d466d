#include <string.h>

#include "../../src/base/error.h"
#include "../../src/config/config_sync.h"
#include "../../src/fleet/fleet.h"
#include "../../src/pool/planner.h"
#include "../../src/team/share.h"
#include "sample_fleet.h"

/*
 * Tests the planner part with fakes of the other parts: a document of one data
 * centre, and a platform that answers at once.
 */

#define HOSTS 4

/* State of the fakes. */
static struct {
	struct document *doc;
	int demand; /* of pool "a" */
	bool is_platform_up, is_idle, has_conflict;
	GHashTable *kv; /* key -> GBytes */
	GQueue *out; /* messages of the part */
	GString *log; /* changes that were accepted */
} fakes;

const struct document *config_sync_document(const struct part_ctx *ctx)
{
	(void)ctx;
	return fakes.doc;
}

bool config_sync_is_isolated(const struct part_ctx *ctx)
{
	(void)ctx;
	return false;
}

bool config_sync_is_fresh(const struct part_ctx *ctx)
{
	(void)ctx;
	return true;
}

bool config_sync_is_platform_up(const struct part_ctx *ctx)
{
	(void)ctx;
	return fakes.is_platform_up;
}

void config_sync_change(struct part_ctx *ctx, uint64_t ref,
			const struct change *changes, size_t nr,
			uint64_t expected, bool is_dry_run,
			config_change_done_fn fn)
{
	uint64_t revision = document_revision(fakes.doc);
	size_t i;

	assert_false(is_dry_run);
	assert_int_equal(expected, revision);
	document_set_revision(fakes.doc, ++revision);
	if (fakes.has_conflict) {
		fn(ctx, ref, CS_ERR_CONFLICT, 0, "other");
		return;
	}
	for (i = 0; i < nr; i++) {
		sample_apply(fakes.doc, changes[i]);
		g_string_append_printf(fakes.log, "%d:%s ", changes[i].op,
				       changes[i].name);
	}
	fn(ctx, ref, CS_OK, revision, NULL);
}

bool fleet_is_host_gone(const struct part_ctx *ctx, const char *name)
{
	(void)ctx;
	(void)name;
	return false;
}

bool fleet_is_host_leaving(const struct part_ctx *ctx, const char *host)
{
	return fleet_is_host_gone(ctx, host);
}

bool fleet_is_host_absent(const struct part_ctx *ctx, const char *host)
{
	return fleet_is_host_gone(ctx, host);
}

bool fleet_is_host_live(const struct part_ctx *ctx, const char *host)
{
	return !fleet_is_host_gone(ctx, host);
}

void fleet_for_each_load(const struct part_ctx *ctx,
			 void (*fn)(void *arg, const struct fleet_load *load),
			 void *arg)
{
	struct fleet_load load = { .is_idle = fakes.is_idle };
	const struct doc_host *hosts;
	size_t i, nr;

	(void)ctx;
	hosts = document_hosts(fakes.doc, &nr);
	for (i = 0; i < nr; i++) {
		load.host = hosts[i].name;
		fn(arg, &load);
	}
}

int share_pool_demand(const struct part_ctx *ctx, const char *pool,
		      const char *data_centre)
{
	(void)ctx;
	(void)data_centre;
	return strcmp(pool, "a") ? 0 : fakes.demand;
}

static void emit(void *arg, struct msg *msg)
{
	(void)arg;
	g_queue_push_tail(fakes.out, msg);
}

/* Answers one call of the platform; every write is accepted. */
static void answer(struct part_ctx *ctx, const struct kv_call *call)
{
	struct kv_done done = { .token = call->token,
				.op = call->op,
				.result = KV_OK };
	struct kv_row row = { .version = 1 };
	GBytes *value = g_hash_table_lookup(fakes.kv, "maintenance/dc1");

	cs_copy(done.key, sizeof(done.key), call->key);
	if (call->op == KV_CAS) {
		done.version = call->version + 1;
		g_hash_table_replace(fakes.kv, g_strdup(call->key),
				     g_bytes_ref(call->value));
	} else if (call->op == KV_GET) {
		done.result = KV_MISSING;
	} else if (value && !strcmp(call->key, "maintenance/")) {
		cs_copy(row.key, sizeof(row.key), "maintenance/dc1");
		row.value = value;
		done.rows = &row;
		done.rows_nr = 1;
	}
	planner_part.on_kv(ctx, &done);
}

/* Runs the part for that time and answers its messages at once. */
static void run(struct part_ctx *ctx, cs_time duration)
{
	cs_time until = ctx->now + duration;
	struct msg *msg;

	while (timers_next_due(ctx->timers) <= until) {
		ctx->now = timers_next_due(ctx->timers);
		timers_advance(ctx->timers, ctx->now);
		while ((msg = g_queue_pop_head(fakes.out))) {
			if (msg->type == MSG_KV_CALL)
				answer(ctx, &msg->u.kv_call);
			msg_free(msg);
		}
	}
	ctx->now = until;
}

static struct part_ctx *start(cs_time now)
{
	static const struct outbox_ops outbox = { emit };
	static const struct entry_options options = { .id = "e1",
						      .data_centre = "dc1" };
	struct part_ctx *ctx = g_new0(struct part_ctx, 1);

	ctx->options = &options;
	ctx->outbox = &outbox;
	ctx->timers = timers_create();
	ctx->counters = counters_create();
	ctx->rng = g_rand_new_with_seed(1);
	ctx->now = now;
	planner_part.create(ctx, NULL);
	planner_part.start(ctx);
	return ctx;
}

static void stop(struct part_ctx *ctx)
{
	planner_part.destroy(ctx);
	timers_destroy(ctx->timers);
	counters_destroy(ctx->counters);
	g_rand_free(ctx->rng);
	g_free(ctx);
}

static int setup(void **state)
{
	static const struct change preset = { .op = CHANGE_PRESET,
					      .name = "peak" };
	char host[8], rack[8];
	int i;

	(void)state;
	memset(&fakes, 0, sizeof(fakes));
	fakes.doc = document_create();
	document_set_revision(fakes.doc, 1);
	sample_apply(fakes.doc, preset); /* quick moves, no maintenance */
	sample_pool(fakes.doc, "a", false, 0);
	sample_pool(fakes.doc, "spare", true, 0);
	for (i = 0; i < HOSTS; i++) {
		g_snprintf(host, sizeof(host), "h%d", i);
		g_snprintf(rack, sizeof(rack), "r%d", i);
		sample_host(fakes.doc, host, rack, "dc1",
			    i < 2 ? "a" : "spare");
		sample_worker(fakes.doc, host, host, "10.0.0.1:8000", 8);
	}
	fakes.is_platform_up = true;
	fakes.demand = 24;
	fakes.kv = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 (GDestroyNotify)g_bytes_unref);
	fakes.out = g_queue_new();
	fakes.log = g_string_new(NULL);
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	document_destroy(fakes.doc);
	g_hash_table_destroy(fakes.kv);
	g_queue_free_full(fakes.out, msg_free_item);
	g_string_free(fakes.log, TRUE);
	return 0;
}

/* A move must take every state, and wait until no task runs on the host. */
static void move_goes_step_by_step(void **state)
{
	struct part_ctx *ctx = start(CS_SEC);
	GString *text = g_string_new(NULL);
	char expected[64];

	(void)state;
	run(ctx, 60 * CS_SEC);
	g_snprintf(expected, sizeof(expected), "%d:h2 ", CHANGE_HOST_DRAIN);
	assert_string_equal(fakes.log->str, expected);
	planner_describe(ctx, text);
	assert_non_null(strstr(text->str, "still_running"));
	g_string_free(text, TRUE);
	fakes.is_idle = true;
	run(ctx, 60 * CS_SEC);
	g_snprintf(expected, sizeof(expected), "%d:h2 %d:h2 %d:h2 %d:h2 ",
		   CHANGE_HOST_DRAIN, CHANGE_HOST_EMPTY, CHANGE_HOST_MOVE,
		   CHANGE_HOST_RETURN);
	assert_string_equal(fakes.log->str, expected);
	assert_string_equal(document_host(fakes.doc, "h2")->pool, "a");
	stop(ctx);
}

/* A planner that takes over must finish the move and later return the host. */
static void next_planner_finishes_the_move(void **state)
{
	struct part_ctx *ctx = start(CS_SEC);

	(void)state;
	run(ctx, 30 * CS_SEC);
	assert_int_equal(document_host(fakes.doc, "h2")->state, HOST_DRAINING);
	stop(ctx);
	fakes.is_idle = true;
	ctx = start(900 * CS_SEC);
	run(ctx, 60 * CS_SEC);
	assert_string_equal(document_host(fakes.doc, "h2")->pool, "a");
	stop(ctx);
	fakes.demand = 1;
	ctx = start(5 * CS_SEC);
	run(ctx, 200 * CS_SEC);
	assert_string_equal(document_host(fakes.doc, "h2")->pool, "spare");
	assert_int_equal(document_host(fakes.doc, "h2")->state, HOST_ASSIGNED);
	stop(ctx);
}

/*
 * Without the platform or after a clock jump the planner must change nothing,
 * and a change on a stale document must be refused.
 */
static void unsafe_state_stops_planning(void **state)
{
	struct part_ctx *ctx = start(CS_SEC);

	(void)state;
	fakes.is_platform_up = false;
	run(ctx, 60 * CS_SEC);
	fakes.is_platform_up = true;
	fakes.has_conflict = true;
	run(ctx, 60 * CS_SEC);
	assert_int_equal(fakes.log->len, 0);
	fakes.has_conflict = false;
	planner_part.on_jump(ctx);
	run(ctx, 9 * CS_SEC);
	assert_int_equal(fakes.log->len, 0);
	run(ctx, 30 * CS_SEC);
	assert_true(fakes.log->len > 0);
	stop(ctx);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(move_goes_step_by_step, setup,
						teardown),
		cmocka_unit_test_setup_teardown(next_planner_finishes_the_move,
						setup, teardown),
		cmocka_unit_test_setup_teardown(unsafe_state_stops_planning,
						setup, teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
