#include <stdio.h>
#include <string.h>

#include "../tests/soak/world.h"
#include "bench.h"

/*
 * Time until urgent requests start in a pool that is full of short work of
 * other teams, and in one full of long work. Uses the simulation of the soak
 * test, in virtual time and without injected faults.
 */

#define SEED 11
#define ENTRIES 6
#define DATA_CENTRES 3
#define TEAMS 6
#define WARM_UP_TIME (30 * CS_SEC)
#define WINDOW (120 * CS_SEC)

/* Requests per second; the 24 slots of the pool can run 240 of 100 ms. */
#define RATE 720
#define URGENT_INTERVAL CS_SEC
#define LONG_JOBS 200

/*
 * Urgent requests must start within this time. Long work leaves slots free for
 * them, see fleet_has_slot_for_long_work().
 */
#define START_WAIT_MAX (2700 * CS_MSEC)

struct urgent_run {
	struct world *w;
	bool is_over;
	int urgent[(int)(WINDOW / URGENT_INTERVAL)]; /* job indexes */
	int urgent_nr;
};

static struct model_job *job_at(struct world *w, int i)
{
	return &g_array_index(w->jobs, struct model_job, i);
}

static int submit(struct world *w, int team, bool is_long, bool is_urgent)
{
	int index = callers_new_job(w, team, is_long);
	struct model_job *job = job_at(w, index);

	g_strlcpy(job->queue, "qa", sizeof(job->queue));
	job->is_idempotent = true;
	job->is_urgent = is_urgent;
	job->run_time = is_long ? 120 * CS_SEC :
				  world_random_int(w, 50, 150) * CS_MSEC;
	callers_submit(w, index, world_random_int(w, 0, ENTRIES - 1));
	return index;
}

static void on_short(void *ctx, uint64_t unused, cs_time now)
{
	struct urgent_run *r = ctx;

	(void)unused;
	(void)now;
	if (r->is_over)
		return;
	submit(r->w, world_random_int(r->w, 1, TEAMS - 1), false, false);
	world_after(r->w, CS_SEC / RATE, on_short, r, 0);
}

static void on_urgent(void *ctx, uint64_t unused, cs_time now)
{
	struct urgent_run *r = ctx;

	(void)unused;
	(void)now;
	if (r->is_over || r->urgent_nr == (int)G_N_ELEMENTS(r->urgent))
		return;
	r->urgent[r->urgent_nr++] = submit(r->w, 0, false, true);
	world_after(r->w, URGENT_INTERVAL, on_urgent, r, 0);
}

static void run(struct urgent_run *r, bool with_long)
{
	struct world_options o = { .seed = SEED,
				   .entries = ENTRIES,
				   .data_centres = DATA_CENTRES,
				   .teams = TEAMS,
				   .workers = 2,
				   .no_faults = true,
				   .no_load = true,
				   .limit_share = 100 };
	int i;

	r->w = world_create(&o);
	world_run_until(r->w, r->w->now + 5 * CS_SEC);
	for (i = 0; with_long && i < LONG_JOBS; i++)
		submit(r->w, 1 + i % (TEAMS - 1), true, false);
	if (!with_long)
		on_short(r, 0, r->w->now);
	world_run_until(r->w, r->w->now + WARM_UP_TIME);
	on_urgent(r, 0, r->w->now);
	world_run_until(r->w, r->w->now + WINDOW + 5 * CS_SEC);
	r->is_over = true;
}

/* Prints the result. Returns 1 if an urgent request did not start in time. */
static int print_result(const char *name, struct urgent_run *r)
{
	cs_time longest = 0, sum = 0, wait;
	int i, not_started = 0;

	for (i = 0; i < r->urgent_nr; i++) {
		const struct model_job *job = job_at(r->w, r->urgent[i]);

		if (!job->first_start) {
			not_started++;
			continue;
		}
		wait = job->first_start - job->submitted;
		sum += wait;
		longest = MAX(longest, wait);
	}
	printf("urgent pool=%s seed=%d requests=%d not_started=%d "
	       "start_ms_mean=%.1f start_ms_max=%.1f\n",
	       name, SEED, r->urgent_nr, not_started,
	       (double)sum / (double)CS_MSEC / MAX(1, r->urgent_nr),
	       (double)longest / (double)CS_MSEC);
	return not_started || longest > START_WAIT_MAX;
}

int bench_urgent(void)
{
	struct urgent_run *r = g_new0(struct urgent_run, 1);
	int failures;

	run(r, false);
	failures = print_result("short", r);
	world_destroy(r->w);
	memset(r, 0, sizeof(*r));
	run(r, true);
	failures += print_result("long", r);
	world_destroy(r->w);
	g_free(r);
	return failures;
}
