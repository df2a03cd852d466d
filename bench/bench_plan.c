#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../tests/unit/plan_model.h"
#include "bench.h"

/*
 * Compares strategies of planning under the same load. Five pools in turn have
 * a burst of five times their mean load, which exceeds the pool, and a
 * twentieth of the mean otherwise.
 */

#define SEED 20
#define SERVING_POOLS 5
#define POOLS (SERVING_POOLS + 1)
#define DATA_CENTRES 3

/* Time between two decisions of the planner. */
#define ROUND_TIME (2 * CS_SEC)

#define BURST_TIME (600 * CS_SEC)
#define BURSTS 20

/* Mean load as a fraction of the slots of a pool; bursts need 150 %. */
#define MEAN_LOAD_FRACTION 0.30

static const int pool_hosts[POOLS] = { 8, 9, 10, 11, 12, 8 };

enum strategy {
	STRATEGY_STATIC,
	STRATEGY_PLANNER,
	STRATEGY_PLANNER_PEAK,
	STRATEGY_NO_HYSTERESIS,
	STRATEGY_NR
};

static const char *const strategy_names[STRATEGY_NR] = {
	[STRATEGY_STATIC] = "static",
	[STRATEGY_PLANNER] = "planner",
	[STRATEGY_PLANNER_PEAK] = "planner_peak",
	[STRATEGY_NO_HYSTERESIS] = "planner_no_hysteresis",
};

struct burst_stats {
	double idle; /* fraction of idle slots while tasks wait, summed */
	double waiting; /* waiting tasks, summed over rounds */
	long rounds, wait_rounds;
	double slots_time; /* until bursts have enough slots, summed, s */
	double slots_time_max;
	int bursts_served;
};

static void make_pools(struct model_pool *pools)
{
	int i;

	memset(pools, 0, POOLS * sizeof(*pools));
	for (i = 0; i < POOLS; i++)
		pools[i].hosts = pool_hosts[i];
	pools[SERVING_POOLS].is_spare = true;
}

/* Counts waiting tasks, and the slots that are idle while any task waits. */
static void measure_round(const struct plan_model *m, struct burst_stats *f)
{
	double idle = 0, waiting = 0, all = 0, excess;
	size_t i;
	int slots;

	for (i = 0; i < m->in.hosts_nr; i++)
		all += m->hosts[i].slots;
	for (i = 0; i < m->in.pools_nr; i++) {
		slots = plan_model_slots_in_service(m, (int)i);
		excess = m->pools[i].tasks - slots;
		if (excess > 0.5)
			waiting += excess;
		else if (excess < 0)
			idle -= excess;
	}
	f->rounds++;
	f->waiting += waiting;
	if (waiting <= 0)
		return;
	f->wait_rounds++;
	f->idle += idle / all;
}

static void run_burst(struct plan_model *m, struct model_pool *pools, int pool,
		      struct burst_stats *f)
{
	cs_time start = m->in.now, served_at = 0;
	double seconds;
	int i;

	for (i = 0; i < SERVING_POOLS; i++)
		pools[i].load = pool_hosts[i] * 8 * MEAN_LOAD_FRACTION *
				(i == pool ? 5.0 : 0.05);
	while (m->in.now - start < BURST_TIME) {
		plan_model_step(m, ROUND_TIME);
		measure_round(m, f);
		if (!served_at &&
		    plan_model_slots_in_service(m, pool) >= pools[pool].load)
			served_at = m->in.now;
	}
	if (!served_at)
		return;
	seconds = (double)(served_at - start) / (double)CS_SEC;
	f->bursts_served++;
	f->slots_time += seconds;
	if (seconds > f->slots_time_max)
		f->slots_time_max = seconds;
}

static int measure_bursts(enum strategy strategy)
{
	const struct plan_policy *base = plan_policy_of(
		strategy == STRATEGY_PLANNER_PEAK ? PRESET_PEAK :
						    PRESET_ORDINARY);
	struct plan_policy policy = *base;
	struct model_pool pools[POOLS];
	struct burst_stats f = { 0 };
	double arrived = 0, refused = 0;
	struct plan_model *m;
	const char *name = strategy_names[strategy], *violation = NULL;
	int i;

	make_pools(pools);
	policy.period = 0; /* maintenance is measured separately */
	if (strategy == STRATEGY_NO_HYSTERESIS)
		plan_policy_disable_hysteresis(&policy);
	m = plan_model_create(SEED, pools, POOLS, DATA_CENTRES, &policy);
	m->skips_steps = strategy == STRATEGY_STATIC;
	for (i = 0; i < BURSTS && !violation; i++) {
		run_burst(m, pools, i % SERVING_POOLS, &f);
		violation = plan_model_violation(m);
	}
	printf("plan.%s.buffer_cost=%.4f\n", name, f.idle / (double)f.rounds);
	printf("plan.%s.rounds_with_waiting=%.4f\n", name,
	       (double)f.wait_rounds / (double)f.rounds);
	printf("plan.%s.waiting_tasks_mean=%.1f\n", name,
	       f.waiting / (double)f.rounds);
	for (i = 0; i < SERVING_POOLS; i++) {
		arrived += pools[i].arrived;
		refused += pools[i].refused;
	}
	printf("plan.%s.refused_share=%.4f\n", name, refused / arrived);
	printf("plan.%s.bursts_served=%d/%d\n", name, f.bursts_served, BURSTS);
	if (f.bursts_served) {
		printf("plan.%s.burst_slots_mean_s=%.1f\n", name,
		       f.slots_time / f.bursts_served);
		printf("plan.%s.burst_slots_max_s=%.1f\n", name,
		       f.slots_time_max);
	}
	printf("plan.%s.moves=%ld\n", name, m->moves);
	plan_model_destroy(m);
	if (violation)
		printf("plan.%s.fault=%s\n", name, violation);
	return violation != NULL;
}

/* Measures the time until every host was maintained once, at steady load. */
static int measure_roll_out(enum preset preset)
{
	const cs_time day = 86400 * CS_SEC;
	struct model_pool pools[POOLS];
	struct plan_model *m;
	const char *violation = NULL;
	cs_time start, oldest;
	size_t i;
	int k;

	make_pools(pools);
	for (k = 0; k < SERVING_POOLS; k++)
		pools[k].load = pool_hosts[k] * 8 * MEAN_LOAD_FRACTION;
	m = plan_model_create(SEED, pools, POOLS, DATA_CENTRES,
			      plan_policy_of(preset));
	m->reboot_time = 600 * CS_SEC;
	for (i = 0; i < m->in.hosts_nr; i++)
		m->hosts[i].age =
			(cs_time)(g_rand_double(m->rng) * (double)(12 * day));
	start = m->in.now;
	do {
		plan_model_step(m, 60 * CS_SEC);
		violation = plan_model_violation(m);
		oldest = 0;
		for (i = 0; i < m->in.hosts_nr; i++)
			if (m->hosts[i].age > oldest)
				oldest = m->hosts[i].age;
	} while (oldest >= m->in.now - start && !violation &&
		 m->in.now - start < 28 * day);
	printf("plan.roll_out.%s_hours=%.1f\n",
	       preset == PRESET_ORDINARY ? "ordinary" : "maintenance",
	       (double)(m->in.now - start) / (3600.0 * (double)CS_SEC));
	plan_model_destroy(m);
	return violation != NULL;
}

/* Measures the time of one decision at a given number of hosts. */
static void measure_decision(int hosts)
{
	enum { ROUNDS = 200 };
	int pools_nr = hosts / 5, i;
	struct model_pool *pools = g_new0(struct model_pool, pools_nr);
	struct timespec a, b;
	struct plan_model *m;
	double us;

	for (i = 0; i < pools_nr; i++) {
		pools[i].hosts = 5;
		pools[i].load = i % 10 ? 4 : 80;
	}
	pools[pools_nr - 1].is_spare = true;
	m = plan_model_create(SEED, pools, (size_t)pools_nr, 11,
			      plan_policy_of(PRESET_ORDINARY));
	for (i = 0; i < hosts; i++)
		m->hosts[i].age = g_rand_int_range(m->rng, 0, 1000000) * CS_SEC;
	plan_model_step(m, ROUND_TIME);
	m->in.now += 60 * CS_SEC;
	clock_gettime(CLOCK_MONOTONIC, &a);
	for (i = 0; i < ROUNDS; i++)
		plan_decide(m->plan, &m->in);
	clock_gettime(CLOCK_MONOTONIC, &b);
	us = ((double)(b.tv_sec - a.tv_sec) * 1e6 +
	      (double)(b.tv_nsec - a.tv_nsec) / 1e3) /
	     ROUNDS;
	printf("plan.decision_us.%d_hosts=%.1f\n", hosts, us);
	plan_model_destroy(m);
	g_free(pools);
}

int bench_plan(void)
{
	int failures = 0, strategy, hosts;

	printf("plan.seed=%d\n", SEED);
	for (strategy = 0; strategy < STRATEGY_NR; strategy++)
		failures += measure_bursts((enum strategy)strategy);
	failures += measure_roll_out(PRESET_ORDINARY);
	failures += measure_roll_out(PRESET_MAINTENANCE);
	for (hosts = 550; hosts <= 8800; hosts *= 2)
		measure_decision(hosts);
	return failures;
}
