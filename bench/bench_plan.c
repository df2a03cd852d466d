#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../tests/unit/plan_model.h"
#include "bench.h"

/*
 * Five pools take turns with bursts of five times their mean, which is more
 * than a pool can hold, and demand a twentieth of it in between. All ways of
 * planning see the same load.
 */

#define SEED 20
#define SERVICES 5
#define POOLS (SERVICES + 1)
#define DATA_CENTRES 3
#define ROUND (2 * CS_SEC)
#define BURST_TIME (600 * CS_SEC)
#define BURSTS 20

/* Mean demand as a part of a pool's slots; five times it exceeds the pool. */
#define MEAN_PART 0.30

static const int pool_hosts[POOLS] = { 8, 9, 10, 11, 12, 8 };

enum way { WAY_STATIC, WAY_ORDINARY, WAY_PEAK, WAY_NO_HYSTERESIS, WAY_NR };

static const char *const way_names[WAY_NR] = {
	[WAY_STATIC] = "static",
	[WAY_ORDINARY] = "planner",
	[WAY_PEAK] = "planner_peak",
	[WAY_NO_HYSTERESIS] = "planner_no_hysteresis",
};

struct figures {
	double idle; /* sum over rounds of the share of idle slots */
	double waiting; /* sum over rounds of waiting tasks */
	long rounds, wait_rounds;
	double slots_time; /* of bursts until they have their slots, s */
	double slots_time_max;
	int bursts_served;
};

static void make_pools(struct model_pool *pools)
{
	int i;

	memset(pools, 0, POOLS * sizeof(*pools));
	for (i = 0; i < POOLS; i++)
		pools[i].hosts = pool_hosts[i];
	pools[SERVICES].is_spare = true;
}

/* Slots idle anywhere while tasks wait for a pool that has none. */
static void measure_round(const struct plan_model *m, struct figures *f)
{
	double idle = 0, waiting = 0, all = 0, over;
	size_t i;
	int slots;

	for (i = 0; i < m->in.hosts_nr; i++)
		all += m->hosts[i].slots;
	for (i = 0; i < m->in.pools_nr; i++) {
		slots = plan_model_service(m, (int)i);
		over = m->pools[i].tasks - slots;
		if (over > 0.5)
			waiting += over;
		else if (over < 0)
			idle -= over;
	}
	f->rounds++;
	f->waiting += waiting;
	if (waiting <= 0)
		return;
	f->wait_rounds++;
	f->idle += idle / all;
}

static void run_burst(struct plan_model *m, struct model_pool *pools, int pool,
		      struct figures *f)
{
	cs_time start = m->in.now, got = 0;
	double seconds;
	int i;

	for (i = 0; i < SERVICES; i++)
		pools[i].load = pool_hosts[i] * 8 * MEAN_PART *
				(i == pool ? 5.0 : 0.05);
	while (m->in.now - start < BURST_TIME) {
		plan_model_step(m, ROUND);
		measure_round(m, f);
		if (!got && plan_model_service(m, pool) >= pools[pool].load)
			got = m->in.now;
	}
	if (!got)
		return;
	seconds = (double)(got - start) / (double)CS_SEC;
	f->bursts_served++;
	f->slots_time += seconds;
	if (seconds > f->slots_time_max)
		f->slots_time_max = seconds;
}

static int measure_bursts(enum way way)
{
	const struct plan_policy *base =
		plan_policy(way == WAY_PEAK ? PRESET_PEAK : PRESET_ORDINARY);
	struct plan_policy policy = *base;
	struct model_pool pools[POOLS];
	struct figures f = { 0 };
	double arrived = 0, refused = 0;
	struct plan_model *m;
	const char *name = way_names[way], *fault = NULL;
	int i;

	make_pools(pools);
	policy.period = 0; /* maintenance is measured by itself */
	if (way == WAY_NO_HYSTERESIS)
		plan_policy_disable_hysteresis(&policy);
	m = plan_model_create(SEED, pools, POOLS, DATA_CENTRES, &policy);
	m->skips_steps = way == WAY_STATIC;
	for (i = 0; i < BURSTS && !fault; i++) {
		run_burst(m, pools, i % SERVICES, &f);
		fault = plan_model_violation(m);
	}
	printf("plan.%s.buffer_cost=%.4f\n", name, f.idle / (double)f.rounds);
	printf("plan.%s.rounds_with_waiting=%.4f\n", name,
	       (double)f.wait_rounds / (double)f.rounds);
	printf("plan.%s.waiting_tasks_mean=%.1f\n", name,
	       f.waiting / (double)f.rounds);
	for (i = 0; i < SERVICES; i++) {
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
	if (fault)
		printf("plan.%s.fault=%s\n", name, fault);
	return fault != NULL;
}

/* Time until every host was maintained once, at an even load. */
static int measure_roll_out(enum preset preset)
{
	const cs_time day = 86400 * CS_SEC;
	struct model_pool pools[POOLS];
	struct plan_model *m;
	const char *fault = NULL;
	cs_time start, oldest;
	size_t i;
	int k;

	make_pools(pools);
	for (k = 0; k < SERVICES; k++)
		pools[k].load = pool_hosts[k] * 8 * MEAN_PART;
	m = plan_model_create(SEED, pools, POOLS, DATA_CENTRES,
			      plan_policy(preset));
	m->reboot_time = 600 * CS_SEC;
	for (i = 0; i < m->in.hosts_nr; i++)
		m->hosts[i].age =
			(cs_time)(g_rand_double(m->rng) * (double)(12 * day));
	start = m->in.now;
	do {
		plan_model_step(m, 60 * CS_SEC);
		fault = plan_model_violation(m);
		oldest = 0;
		for (i = 0; i < m->in.hosts_nr; i++)
			if (m->hosts[i].age > oldest)
				oldest = m->hosts[i].age;
	} while (oldest >= m->in.now - start && !fault &&
		 m->in.now - start < 28 * day);
	printf("plan.roll_out.%s_hours=%.1f\n",
	       preset == PRESET_ORDINARY ? "ordinary" : "maintenance",
	       (double)(m->in.now - start) / (3600.0 * (double)CS_SEC));
	plan_model_destroy(m);
	return fault != NULL;
}

/* Time of one decision, and how it grows with the hosts. */
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
			      plan_policy(PRESET_ORDINARY));
	for (i = 0; i < hosts; i++)
		m->hosts[i].age = g_rand_int_range(m->rng, 0, 1000000) * CS_SEC;
	plan_model_step(m, ROUND);
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
	int faults = 0, way, hosts;

	printf("plan.seed=%d\n", SEED);
	for (way = 0; way < WAY_NR; way++)
		faults += measure_bursts((enum way)way);
	faults += measure_roll_out(PRESET_ORDINARY);
	faults += measure_roll_out(PRESET_MAINTENANCE);
	for (hosts = 550; hosts <= 8800; hosts *= 2)
		measure_decision(hosts);
	return faults;
}
