#include <stdio.h>

#include "../src/base/error.h"
#include "../src/config/config_sync.h"
#include "../src/fleet/fleet.h"
#include "../src/team/share.h"
#include "bench.h"
#include "site.h"

/*
 * Processor time of a placement decision: choosing the next team and a worker,
 * and updating the counts of both. All workers are in one pool of one data
 * centre and all teams wait there, which is the worst case of each size.
 */

#define SEED 3
#define BATCH 64
#define ROUNDS 4000

/* Target of the design page. */
#define DECISION_US_MAX 3.0

static void discard(void *ctx, struct msg *msg)
{
	(void)ctx;
	msg_free(msg);
}

static const struct outbox_ops outbox = { discard };

/* Creates only the parts of an entry that a decision needs. */
static void create_parts(struct part_ctx *ctx, struct entry_options *options,
			 const struct site_size *size)
{
	struct document *doc = site_document(size);

	cs_copy(options->id, sizeof(options->id), "entry-01");
	cs_copy(options->data_centre, sizeof(options->data_centre), "dc01");
	ctx->options = options;
	ctx->outbox = &outbox;
	ctx->counters = counters_create();
	ctx->rng = g_rand_new_with_seed(SEED);
	ctx->timers = timers_create();
	ctx->now = CS_SEC;
	if (config_sync_part.create(ctx, NULL) ||
	    fleet_part.create(ctx, NULL) || share_part.create(ctx, NULL))
		g_error("parts: out of memory");
	fleet_part.on_config(ctx, doc);
	document_destroy(doc);
}

static void destroy_parts(struct part_ctx *ctx)
{
	share_part.destroy(ctx);
	fleet_part.destroy(ctx);
	config_sync_part.destroy(ctx);
	timers_destroy(ctx->timers);
	counters_destroy(ctx->counters);
	g_rand_free(ctx->rng);
}

/* Returns the mean processor time of a decision, in us. */
static double measure(int workers, int teams)
{
	struct site_size size = { workers, 2, teams, 1 };
	struct entry_options options = { 0 };
	struct part_ctx ctx = { 0 };
	struct placement placements[BATCH];
	cs_handle rows[BATCH], row;
	double us = 0, start_us;
	char team[32];
	int round, i, code = CS_OK;

	create_parts(&ctx, &options, &size);
	for (i = 0; i < teams; i++) {
		g_snprintf(team, sizeof(team), "team-%03d", i);
		row = share_find_or_add_row(&ctx, "pool-000", team, 1 + i % 10);
		share_add_queued(&ctx, row, 1000000);
	}
	for (round = 0; round < ROUNDS && !code; round++) {
		start_us = site_cpu_us();
		for (i = 0; i < BATCH; i++) {
			rows[i] = share_next_row(&ctx, "pool-000");
			code = fleet_place(&ctx, "pool-000", false, NULL, 0,
					   &placements[i]);
			if (code)
				break;
			share_add_queued(&ctx, rows[i], -1);
			share_task_started(&ctx, rows[i]);
		}
		us += site_cpu_us() - start_us;
		ctx.now += 5 * CS_MSEC;
		while (i--) {
			fleet_finish(&ctx, placements[i].worker,
				     FLEET_SUCCEEDED);
			share_task_ended(&ctx, rows[i], 5 * CS_MSEC);
		}
	}
	destroy_parts(&ctx);
	if (code)
		printf("place.fault=%d\n", code);
	return us / ((double)ROUNDS * BATCH);
}

int bench_place(void)
{
	static const int sizes[][2] = { { 220, 37 },
					{ 733, 123 },
					{ 2200, 370 },
					{ 4400, 740 } };
	double us, target_size_us = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(sizes); i++) {
		us = measure(sizes[i][0], sizes[i][1]);
		printf("place.%d_workers_%d_teams.decision_us=%.3f\n",
		       sizes[i][0], sizes[i][1], us);
		if (sizes[i][0] == 2200)
			target_size_us = us;
	}
	printf("place.target_us=%.1f\nplace.is_met=%s\n", DECISION_US_MAX,
	       target_size_us < DECISION_US_MAX ? "yes" : "no");
	return 0;
}
