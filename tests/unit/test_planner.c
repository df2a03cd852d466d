#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
#include <string.h>

#include "../../src/base/error.h"
#include "../../src/config/config_sync.h"
#include "../../src/fleet/fleet.h"
#include "../../src/pool/planner.h"
#include "../../src/team/share.h"

/*
 * The planner part against doubles of the parts around it: a document of one
 * data centre, and a platform that answers at once.
 */

#define HOSTS 4

struct document {
	uint64_t revision;
	struct doc_host hosts[HOSTS];
	struct doc_worker workers[HOSTS];
	struct doc_pool pools[2];
	struct doc_data_centre dc;
};

/* What the doubles report; the part under test has no other input. */
static struct {
	struct document doc;
	int demand; /* of pool "a" */
	bool is_platform_up, is_idle, has_conflict;
	GHashTable *kv; /* key -> GBytes */
	GQueue *out; /* messages of the part */
	GString *log; /* changes that were accepted */
} world;

uint64_t document_revision(const struct document *doc)
{
	return doc->revision;
}

enum preset document_preset(const struct document *doc)
{
	(void)doc;
	return PRESET_PEAK; /* moves alone, and quickly */
}

const char *preset_name(enum preset preset)
{
	(void)preset;
	return "peak";
}

const struct doc_data_centre *document_data_centres(const struct document *doc,
						    size_t *nr)
{
	*nr = 1;
	return &doc->dc;
}

const struct doc_host *document_hosts(const struct document *doc, size_t *nr)
{
	*nr = HOSTS;
	return doc->hosts;
}

const struct doc_worker *document_workers(const struct document *doc,
					  size_t *nr)
{
	*nr = HOSTS;
	return doc->workers;
}

const struct doc_pool *document_pools(const struct document *doc, size_t *nr)
{
	*nr = 2;
	return doc->pools;
}

const struct doc_data_centre *document_data_centre(const struct document *doc,
						   const char *name)
{
	return strcmp(doc->dc.name, name) ? NULL : &doc->dc;
}

const struct doc_host *document_host(const struct document *doc,
				     const char *name)
{
	int i;

	for (i = 0; i < HOSTS; i++)
		if (!strcmp(doc->hosts[i].name, name))
			return &doc->hosts[i];
	return NULL;
}

const struct doc_pool *document_pool(const struct document *doc,
				     const char *name)
{
	int i;

	for (i = 0; i < 2; i++)
		if (!strcmp(doc->pools[i].name, name))
			return &doc->pools[i];
	return NULL;
}

const struct document *config_sync_document(const struct part_ctx *ctx)
{
	(void)ctx;
	return &world.doc;
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

bool config_sync_platform_up(const struct part_ctx *ctx)
{
	(void)ctx;
	return world.is_platform_up;
}

void config_sync_change(struct part_ctx *ctx, uint64_t ref,
			const struct change *changes, size_t nr,
			uint64_t expected, bool is_dry_run,
			config_changed_fn fn)
{
	struct doc_host *h;
	size_t i;

	assert_false(is_dry_run);
	assert_int_equal(expected, world.doc.revision);
	if (world.has_conflict) {
		world.doc.revision++;
		fn(ctx, ref, CS_ERR_CONFLICT, 0, "other");
		return;
	}
	for (i = 0; i < nr; i++) {
		h = (struct doc_host *)document_host(&world.doc,
						     changes[i].name);
		g_string_append_printf(world.log, "%d:%s ", changes[i].op,
				       h->name);
		if (changes[i].op == CHANGE_HOST_DRAIN)
			h->state = HOST_DRAINING;
		else if (changes[i].op == CHANGE_HOST_EMPTY)
			h->state = HOST_EMPTY;
		else if (changes[i].op == CHANGE_HOST_RETURN)
			h->state = HOST_ASSIGNED;
		else
			cs_copy(h->pool, CS_NAME_MAX, changes[i].pool);
	}
	fn(ctx, ref, CS_OK, ++world.doc.revision, NULL);
}

bool fleet_is_entry_dropped(const struct part_ctx *ctx, const char *entry)
{
	(void)ctx;
	(void)entry;
	return false;
}

bool fleet_is_host_leaving(const struct part_ctx *ctx, const char *host)
{
	return fleet_is_entry_dropped(ctx, host);
}

bool fleet_is_host_away(const struct part_ctx *ctx, const char *host)
{
	return fleet_is_entry_dropped(ctx, host);
}

bool fleet_is_host_live(const struct part_ctx *ctx, const char *host)
{
	return !fleet_is_entry_dropped(ctx, host);
}

void fleet_for_each_load(const struct part_ctx *ctx,
			 void (*fn)(void *arg, const struct fleet_load *load),
			 void *arg)
{
	struct fleet_load load = { .is_idle = world.is_idle };
	int i;

	(void)ctx;
	for (i = 0; i < HOSTS; i++) {
		load.host = world.doc.hosts[i].name;
		fn(arg, &load);
	}
}

int share_pool_demand(const struct part_ctx *ctx, const char *pool,
		      const char *data_centre)
{
	(void)ctx;
	(void)data_centre;
	return strcmp(pool, "a") ? 0 : world.demand;
}

static void emit(void *arg, struct msg *msg)
{
	(void)arg;
	g_queue_push_tail(world.out, msg);
}

/* Answers one call of the platform; every write is accepted. */
static void answer(struct part_ctx *ctx, const struct kv_call *call)
{
	struct kv_done done = { .token = call->token,
				.op = call->op,
				.result = KV_OK };
	struct kv_row row = { .version = 1 };
	GBytes *value = g_hash_table_lookup(world.kv, "maintenance/dc1");

	cs_copy(done.key, sizeof(done.key), call->key);
	if (call->op == KV_CAS) {
		done.version = call->version + 1;
		g_hash_table_replace(world.kv, g_strdup(call->key),
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

/* Runs the part for that long, its messages answered at once. */
static void run(struct part_ctx *ctx, cs_time how_long)
{
	cs_time until = ctx->now + how_long;
	struct msg *msg;

	while (timers_next_due(ctx->timers) <= until) {
		ctx->now = timers_next_due(ctx->timers);
		timers_advance(ctx->timers, ctx->now);
		while ((msg = g_queue_pop_head(world.out))) {
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
	int i;

	(void)state;
	memset(&world, 0, sizeof(world));
	world.doc.revision = 1;
	cs_copy(world.doc.dc.name, CS_NAME_MAX, "dc1");
	cs_copy(world.doc.pools[0].name, CS_NAME_MAX, "a");
	cs_copy(world.doc.pools[1].name, CS_NAME_MAX, "spare");
	world.doc.pools[1].is_spare = true;
	for (i = 0; i < HOSTS; i++) {
		struct doc_host *h = &world.doc.hosts[i];

		g_snprintf(h->name, sizeof(h->name), "h%d", i);
		g_snprintf(h->rack, sizeof(h->rack), "r%d", i);
		cs_copy(h->data_centre, CS_NAME_MAX, "dc1");
		cs_copy(h->pool, CS_NAME_MAX, i < 2 ? "a" : "spare");
		cs_copy(world.doc.workers[i].host, CS_NAME_MAX, h->name);
		world.doc.workers[i].slots = 8;
	}
	world.is_platform_up = true;
	world.demand = 24;
	world.kv = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 (GDestroyNotify)g_bytes_unref);
	world.out = g_queue_new();
	world.log = g_string_new(NULL);
	return 0;
}

static int teardown(void **state)
{
	(void)state;
	g_hash_table_destroy(world.kv);
	g_queue_free_full(world.out, msg_free_item);
	g_string_free(world.log, TRUE);
	return 0;
}

/* A move must pass every state, and wait until nothing runs on the host. */
static void move_goes_step_by_step(void **state)
{
	struct part_ctx *ctx = start(CS_SEC);
	GString *text = g_string_new(NULL);
	char expected[64];

	(void)state;
	run(ctx, 60 * CS_SEC);
	g_snprintf(expected, sizeof(expected), "%d:h2 ", CHANGE_HOST_DRAIN);
	assert_string_equal(world.log->str, expected);
	planner_describe(ctx, text);
	assert_non_null(strstr(text->str, "still_running"));
	g_string_free(text, TRUE);
	world.is_idle = true;
	run(ctx, 60 * CS_SEC);
	g_snprintf(expected, sizeof(expected), "%d:h2 %d:h2 %d:h2 %d:h2 ",
		   CHANGE_HOST_DRAIN, CHANGE_HOST_EMPTY, CHANGE_HOST_MOVE,
		   CHANGE_HOST_RETURN);
	assert_string_equal(world.log->str, expected);
	assert_string_equal(world.doc.hosts[2].pool, "a");
	stop(ctx);
}

/* A planner that takes over must finish the move, and send the host home. */
static void next_planner_finishes_the_move(void **state)
{
	struct part_ctx *ctx = start(CS_SEC);

	(void)state;
	run(ctx, 30 * CS_SEC);
	assert_int_equal(world.doc.hosts[2].state, HOST_DRAINING);
	stop(ctx);
	world.is_idle = true;
	ctx = start(900 * CS_SEC);
	run(ctx, 60 * CS_SEC);
	assert_string_equal(world.doc.hosts[2].pool, "a");
	stop(ctx);
	world.demand = 1;
	ctx = start(5 * CS_SEC);
	run(ctx, 200 * CS_SEC);
	assert_string_equal(world.doc.hosts[2].pool, "spare");
	assert_int_equal(world.doc.hosts[2].state, HOST_ASSIGNED);
	stop(ctx);
}

/* A stale plan is refused, and a planner in doubt makes none. */
static void doubt_changes_nothing(void **state)
{
	struct part_ctx *ctx = start(CS_SEC);

	(void)state;
	world.is_platform_up = false;
	run(ctx, 60 * CS_SEC);
	world.is_platform_up = true;
	world.has_conflict = true;
	run(ctx, 60 * CS_SEC);
	assert_int_equal(world.log->len, 0);
	world.has_conflict = false;
	planner_part.on_jump(ctx);
	run(ctx, 9 * CS_SEC);
	assert_int_equal(world.log->len, 0);
	run(ctx, 30 * CS_SEC);
	assert_true(world.log->len > 0);
	stop(ctx);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(move_goes_step_by_step, setup,
						teardown),
		cmocka_unit_test_setup_teardown(next_planner_finishes_the_move,
						setup, teardown),
		cmocka_unit_test_setup_teardown(doubt_changes_nothing, setup,
						teardown),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
