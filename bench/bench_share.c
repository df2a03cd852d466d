#include <math.h>
#include <stdio.h>
#include <string.h>

#include "../tests/soak/world.h"
#include "bench.h"

/*
 * Distance of teams from their shares in a full pool, the usable part of an
 * upper limit, and work while a data centre leaves and returns: the model of
 * the seeded driver without faults, in virtual time.
 */

#define SEED 11
#define ENTRIES 6
#define PLACES 3
#define WARM_UP (30 * CS_SEC)
#define WINDOW (10 * CS_SEC)
#define WINDOWS 18

/* Samples of one window. */
#define SAMPLES 1000.0

/* Two workers of four slots in each data centre serve queue "qa". */
#define SLOTS (PLACES * 2 * 4)

/* Requests a second; the pool takes 240 of 100 ms. */
#define RATE 720

struct run {
	struct world *w;
	int teams; /* that send */
	cs_time interval;
	bool is_over;
	double used[TEAMS_MAX], total; /* slot time of a window */
	double place_used[PLACES_MAX];
};

static struct world *create(uint32_t seed, int teams, int limit_share,
			    const char *mutant)
{
	struct world_options o = { .seed = seed,
				   .mutant = mutant,
				   .entries = ENTRIES,
				   .places = PLACES,
				   .teams = teams,
				   .workers = 2,
				   .no_faults = true,
				   .no_load = true,
				   .limit_share = limit_share };

	return world_create(&o);
}

/* The first entry gets half of all requests, the next a quarter and so on. */
static int choose_entry(struct world *w)
{
	int i = 0;

	while (i < ENTRIES - 1 && world_percent(w, 50))
		i++;
	return i;
}

static void on_arrival(void *ctx, uint64_t unused, cs_time now)
{
	struct run *r = ctx;
	struct world *w = r->w;
	struct model_job *job;
	int index;

	(void)unused;
	(void)now;
	if (r->is_over)
		return;
	index = callers_new_job(w, world_chance(w, 0, r->teams - 1), false);
	job = &g_array_index(w->jobs, struct model_job, index);
	g_strlcpy(job->queue, "qa", sizeof(job->queue));
	job->run_time = world_chance(w, 50, 150) * CS_MSEC;
	job->is_idempotent = true;
	job->is_urgent = false;
	callers_submit(w, index, choose_entry(w));
	world_after(w, r->interval, on_arrival, r, 0);
}

static void on_sample(void *ctx, uint64_t unused, cs_time now)
{
	struct run *r = ctx;
	struct world *w = r->w;
	int i;

	(void)unused;
	(void)now;
	for (i = 0; i < w->opt.teams; i++) {
		r->used[i] += w->teams[i].running;
		r->total += w->teams[i].running;
	}
	for (i = 0; i < w->workers_nr; i++)
		r->place_used[w->workers[i].place] += w->workers[i].running;
	world_after(w, WINDOW / (cs_time)SAMPLES, on_sample, r, 0);
}

static void begin(struct run *r, double rate)
{
	r->interval = (cs_time)(1e6 / rate);
	world_after(r->w, 5 * CS_SEC, on_arrival, r, 0);
	world_after(r->w, 5 * CS_SEC, on_sample, r, 0);
	world_run_until(r->w, r->w->now + WARM_UP);
}

static void next_window(struct run *r)
{
	memset(r->used, 0, sizeof(r->used));
	memset(r->place_used, 0, sizeof(r->place_used));
	r->total = 0;
	world_run_until(r->w, r->w->now + WINDOW);
}

/* Slot time of a window if all slots are in use, in samples. */
#define FULL ((double)SLOTS * SAMPLES)

static int measure_distance(const char *name, const char *mutant)
{
	struct run r = { .w = create(SEED, 6, 50, mutant), .teams = 6 };
	double mean = 0, most = 0, busy = 0, weights = 0, d;
	int i, k, failed;

	for (k = 0; k < r.teams; k++)
		weights += r.w->teams[k].share;
	begin(&r, RATE);
	for (i = 0; i < WINDOWS; i++) {
		next_window(&r);
		busy += r.total / FULL;
		for (k = 0; k < r.teams; k++) {
			d = fabs(r.used[k] / r.total -
				 r.w->teams[k].share / weights);
			mean += d;
			most = MAX(most, d);
		}
	}
	printf("share.%s.distance_mean_percent=%.2f\n", name,
	       100 * mean / (WINDOWS * r.teams));
	printf("share.%s.distance_max_percent=%.2f\n", name, 100 * most);
	printf("share.%s.slots_busy_percent=%.1f\n", name,
	       100 * busy / WINDOWS);
	printf("share.%s.violations=%llu\n", name,
	       (unsigned long long)r.w->violations);
	failed = r.w->violations != 0;
	world_destroy(r.w);
	return failed;
}

/* One team asks for more than its limit, which is below the slots. */
static int measure_limit(int limit_share)
{
	struct run r = { .w = create(SEED, 1, limit_share, NULL), .teams = 1 };
	double sum = 0, least = 1, part;
	int i, failed;

	begin(&r, RATE);
	for (i = 0; i < WINDOWS; i++) {
		next_window(&r);
		part = r.total / ((double)r.w->teams[0].limit * SAMPLES);
		sum += part;
		least = MIN(least, part);
	}
	printf("limit.%d.usable_mean_percent=%.1f\n", r.w->teams[0].limit,
	       100 * sum / WINDOWS);
	printf("limit.%d.usable_least_percent=%.1f\n", r.w->teams[0].limit,
	       100 * least);
	failed = r.w->violations != 0;
	world_destroy(r.w);
	return failed;
}

int bench_share(void)
{
	int faults = 0;

	printf("share.seed=%d\n", SEED);
	faults += measure_distance("fleet_wide", NULL);
#ifdef CS_SOAK
	faults += measure_distance("first_come", "share-fcfs");
	faults += measure_distance("inside_each_entry", "share-local");
	faults += measure_distance("no_quota", "share-no-quota");
#endif
	faults += measure_limit(10);
	faults += measure_limit(20);
	faults += measure_limit(40);
	return faults != 0;
}
