#include <math.h>
#include <stdio.h>
#include <string.h>

#include "../tests/soak/world.h"
#include "bench.h"

/*
 * How far the slot time of teams in a full pool deviates from their shares, and
 * how much of its limit a team can use. Uses the simulation of the soak test,
 * in virtual time and without injected faults.
 */

#define SEED 11
#define ENTRIES 6
#define DATA_CENTRES 3
#define WARM_UP_TIME (30 * CS_SEC)
#define WINDOW (10 * CS_SEC)
#define WINDOWS 18

/* Samples per window. */
#define SAMPLES_PER_WINDOW 1000.0

/* Two workers of four slots in each data centre serve queue "qa". */
#define SLOTS (DATA_CENTRES * 2 * 4)

/* Requests per second; the pool can run 240 of 100 ms. */
#define RATE 720

struct share_run {
	struct world *w;
	int teams; /* that send requests */
	cs_time interval;
	bool is_over;
	double used[TEAMS_MAX], total; /* slots in use, summed over samples */
	double data_centre_used[DATA_CENTRES_MAX];
};

static struct world *create(uint32_t seed, int teams, int limit_share,
			    const char *mutant)
{
	struct world_options o = { .seed = seed,
				   .mutant = mutant,
				   .entries = ENTRIES,
				   .data_centres = DATA_CENTRES,
				   .teams = teams,
				   .workers = 2,
				   .no_faults = true,
				   .no_load = true,
				   .limit_share = limit_share };

	return world_create(&o);
}

/* Skewed: half of all requests go to the first entry, a quarter to the next. */
static int choose_entry(struct world *w)
{
	int i = 0;

	while (i < ENTRIES - 1 && world_random_percent(w, 50))
		i++;
	return i;
}

static void on_arrival(void *ctx, uint64_t unused, cs_time now)
{
	struct share_run *r = ctx;
	struct world *w = r->w;
	struct model_job *job;
	int index;

	(void)unused;
	(void)now;
	if (r->is_over)
		return;
	index = callers_new_job(w, world_random_int(w, 0, r->teams - 1), false);
	job = &g_array_index(w->jobs, struct model_job, index);
	g_strlcpy(job->queue, "qa", sizeof(job->queue));
	job->run_time = world_random_int(w, 50, 150) * CS_MSEC;
	job->is_idempotent = true;
	job->is_urgent = false;
	callers_submit(w, index, choose_entry(w));
	world_after(w, r->interval, on_arrival, r, 0);
}

static void on_sample(void *ctx, uint64_t unused, cs_time now)
{
	struct share_run *r = ctx;
	struct world *w = r->w;
	int i;

	(void)unused;
	(void)now;
	for (i = 0; i < w->opt.teams; i++) {
		r->used[i] += w->teams[i].running;
		r->total += w->teams[i].running;
	}
	for (i = 0; i < w->workers_nr; i++)
		r->data_centre_used[w->workers[i].data_centre] +=
			w->workers[i].running;
	world_after(w, WINDOW / (cs_time)SAMPLES_PER_WINDOW, on_sample, r, 0);
}

static void start_load(struct share_run *r, double rate)
{
	r->interval = (cs_time)(1e6 / rate);
	world_after(r->w, 5 * CS_SEC, on_arrival, r, 0);
	world_after(r->w, 5 * CS_SEC, on_sample, r, 0);
	world_run_until(r->w, r->w->now + WARM_UP_TIME);
}

static void next_window(struct share_run *r)
{
	memset(r->used, 0, sizeof(r->used));
	memset(r->data_centre_used, 0, sizeof(r->data_centre_used));
	r->total = 0;
	world_run_until(r->w, r->w->now + WINDOW);
}

/* Value of total for a window in which all slots are always in use. */
#define FULL_WINDOW ((double)SLOTS * SAMPLES_PER_WINDOW)

static int measure_deviation(const char *name, const char *mutant)
{
	struct share_run r = { .w = create(SEED, 6, 50, mutant), .teams = 6 };
	double mean = 0, max = 0, busy = 0, weights = 0, deviation;
	int i, k, failed;

	for (k = 0; k < r.teams; k++)
		weights += r.w->teams[k].share;
	start_load(&r, RATE);
	for (i = 0; i < WINDOWS; i++) {
		next_window(&r);
		busy += r.total / FULL_WINDOW;
		for (k = 0; k < r.teams; k++) {
			deviation = fabs(r.used[k] / r.total -
					 r.w->teams[k].share / weights);
			mean += deviation;
			max = MAX(max, deviation);
		}
	}
	printf("share.%s.distance_mean_percent=%.2f\n", name,
	       100 * mean / (WINDOWS * r.teams));
	printf("share.%s.distance_max_percent=%.2f\n", name, 100 * max);
	printf("share.%s.slots_busy_percent=%.1f\n", name,
	       100 * busy / WINDOWS);
	printf("share.%s.violations=%llu\n", name,
	       (unsigned long long)r.w->violations);
	failed = r.w->violations != 0;
	world_destroy(r.w);
	return failed;
}

/* One team has demand above its limit, which is below the number of slots. */
static int measure_limit(int limit_share)
{
	struct share_run r = { .w = create(SEED, 1, limit_share, NULL),
			       .teams = 1 };
	double sum = 0, min = 1, usable;
	int i, failed;

	start_load(&r, RATE);
	for (i = 0; i < WINDOWS; i++) {
		next_window(&r);
		usable = r.total /
			 ((double)r.w->teams[0].limit * SAMPLES_PER_WINDOW);
		sum += usable;
		min = MIN(min, usable);
	}
	printf("limit.%d.usable_mean_percent=%.1f\n", r.w->teams[0].limit,
	       100 * sum / WINDOWS);
	printf("limit.%d.usable_least_percent=%.1f\n", r.w->teams[0].limit,
	       100 * min);
	failed = r.w->violations != 0;
	world_destroy(r.w);
	return failed;
}

int bench_share(void)
{
	int failures = 0;

	printf("share.seed=%d\n", SEED);
	failures += measure_deviation("fleet_wide", NULL);
#ifdef CS_SOAK
	failures += measure_deviation("first_come", "share-fcfs");
	failures += measure_deviation("inside_each_entry", "share-local");
	failures += measure_deviation("no_quota", "share-no-quota");
#endif
	failures += measure_limit(10);
	failures += measure_limit(20);
	failures += measure_limit(40);
	return failures != 0;
}
