#include "unit.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "../../src/sched/pools/demand.h"
#include "../../src/sched/pools/forecast.h"
#include "../world/world.h"

/*
 * Replays loads on a pool whose size follows a forecast, without servers or
 * clocks, and compares what callers wait and what servers cost.
 */

#define STEP_US (50 * CS_MSEC)
#define LENGTH_US (80 * CS_SEC)
#define STEPS ((int)(LENGTH_US / STEP_US))
#define PASS_STEPS 3 /* a pass of balance.c */
#define MOVE_STEPS 34 /* until a moved host runs tasks: 1.7 s */
#define LEAD_US (2500 * CS_MSEC)
#define SERVER_CPU 32000.0
#define LATE_MS 300.0 /* a wait that uses up half of a short objective */
/* Not fewer with a sanitizer: means over 3 seeds differ by chance. */
#define SEEDS 12

/* A forecaster; the first one is the baseline. */
struct forecaster {
	const char *name;
	void *(*create)(void);
	void (*add)(void *f, double work, double duration_ms, cs_time now);
	double (*at)(void *f, cs_time now);
	void (*destroy)(void *f);
};

static void *create_demand(void)
{
	return demand_create();
}

static void add_demand(void *f, double work, double duration_ms, cs_time now)
{
	demand_add(f, work, duration_ms, now);
}

static double demand_at(void *f, cs_time now)
{
	return demand_forecast(f, LEAD_US, now);
}

static void destroy_demand(void *f)
{
	demand_destroy(f);
}

static void *create_forecast(void)
{
	return forecast_create();
}

static void add_forecast(void *f, double work, double duration_ms, cs_time now)
{
	forecast_add(f, work, duration_ms, now);
}

static double margin_at(void *f, cs_time now)
{
	struct forecast_value v = forecast_at(f, LEAD_US, now);

	return v.expected + v.error / 2;
}

static void destroy_forecast(void *f)
{
	forecast_destroy(f);
}

enum { BASELINE, FORECAST, FORECASTERS };
static const struct forecaster forecasters[FORECASTERS] = {
	{ "demand", create_demand, add_demand, demand_at, destroy_demand },
	{ "forecast", create_forecast, add_forecast, margin_at,
	  destroy_forecast },
};

/* Jobs a second at a time, for turns that begin at start and last length. */
struct turn {
	cs_time start, length;
	double peak;
};

/* The rate of a turn that climbs and falls as half a wave. */
static double turn_rate(const struct turn *t, cs_time now)
{
	double x = (double)(now - t->start) / (double)t->length;

	return x > 0 && x < 1 ? t->peak * pow(sin(G_PI * x), 2) : 0;
}

/* A load sets the rate of jobs in each step. */
typedef void (*load_fn)(GRand *rng, double *per_s);

static void add_turn(double *per_s, const struct turn *t)
{
	int i;

	for (i = 0; i < STEPS; i++)
		per_s[i] += turn_rate(t, i * STEP_US);
}

static void steady_load(GRand *rng, double *per_s)
{
	int i;

	(void)rng;
	for (i = 0; i < STEPS; i++)
		per_s[i] = 5;
}

/* Turns of 4 to 9 s at five times the mean, after pauses of random length. */
static void load_by_turns(GRand *rng, double *per_s)
{
	struct turn t = { .start = 5 * CS_SEC, .peak = 25 };

	while (t.start < LENGTH_US) {
		t.length = (cs_time)(g_rand_double_range(rng, 4, 9) * CS_SEC);
		add_turn(per_s, &t);
		t.start += t.length +
			   (cs_time)(g_rand_double_range(rng, 5, 15) * CS_SEC);
	}
}

static void single_burst(GRand *rng, double *per_s)
{
	const struct turn t = { 40 * CS_SEC, 6 * CS_SEC, 25 };
	int i;

	(void)rng;
	for (i = 0; i < STEPS; i++)
		per_s[i] = 1;
	add_turn(per_s, &t);
}

/* What a load cost; means over seeds. */
struct outcome {
	double late; /* share of jobs that wait longer than LATE_MS */
	double wait_ms; /* mean */
	double server_s; /* in the pool */
	double moves;
};

struct pool_model {
	double cpu; /* of servers that run tasks */
	int servers; /* the same, and those on their way */
	int arriving[MOVE_STEPS]; /* servers, by step modulo MOVE_STEPS */
	double backlog; /* CPU times seconds */
	double demand; /* smoothed as in pool_size.c */
	struct outcome sum;
	int jobs;
};

/* Size of a job's work: 8 tasks of 6.7 cores for 2 s, off by factors. */
static double random_factor(GRand *rng)
{
	double u = 1.0 - g_rand_double(rng), v = g_rand_double(rng);

	return exp(0.8 * sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v) - 0.32);
}

/* Sets the size of the pool; only servers without work leave it. */
static void resize(struct pool_model *m, double forecast, double used, int step)
{
	double demand = fmax(forecast, used) + m->backlog;
	int target, change;

	m->demand = fmax(demand, m->demand - (m->demand - demand) * 0.3);
	target = (int)ceil(m->demand * 1.05 / SERVER_CPU) + 2;
	change = CLAMP(target - m->servers, -9, 25);
	if (change < 0)
		change = -(int)CLAMP(m->cpu / SERVER_CPU -
					     used / SERVER_CPU / 0.8 - 1,
				     0, -change);
	m->servers += change;
	m->sum.moves += abs(change);
	if (change > 0)
		m->arriving[step % MOVE_STEPS] += change;
	else
		m->cpu += change * SERVER_CPU;
}

/* Plays a load on a pool; the same seed gives the same jobs. */
static struct outcome play(const struct forecaster *by, load_fn load, int seed)
{
	static double per_s[STEPS], need[STEPS + 400];
	GRand *rng = g_rand_new_with_seed((guint32)seed);
	struct pool_model m = { .cpu = 4 * SERVER_CPU, .servers = 4 };
	void *f = by->create();
	int i, k;

	memset(per_s, 0, sizeof(per_s));
	memset(need, 0, sizeof(need));
	load(rng, per_s);
	for (i = 0; i < STEPS; i++) {
		double chance = per_s[i] * (double)STEP_US / CS_SEC, used, wait;
		cs_time now = i * STEP_US;

		m.cpu += m.arriving[i % MOVE_STEPS] * SERVER_CPU;
		m.arriving[i % MOVE_STEPS] = 0;
		wait = m.backlog / m.cpu * 1000;
		while (chance > 0) {
			double cpu = 8 * 6700 * random_factor(rng);

			chance -= 1;
			if (g_rand_double(rng) >= chance + 1)
				continue;
			by->add(f, cpu * 2000, 2000, now);
			for (k = 0; k < 2 * CS_SEC / STEP_US; k++)
				need[i + k] += cpu;
			m.jobs++;
			m.sum.wait_ms += wait;
			m.sum.late += wait > LATE_MS;
		}
		used = fmin(m.cpu, need[i] + m.backlog);
		m.backlog =
			fmax(0, m.backlog + (need[i] - used) * (double)STEP_US /
						    CS_SEC);
		if (i % PASS_STEPS == 0)
			resize(&m, by->at(f, now), used, i);
		m.sum.server_s += m.servers * (double)STEP_US / CS_SEC;
	}
	m.sum.late /= MAX(m.jobs, 1);
	m.sum.wait_ms /= MAX(m.jobs, 1);
	by->destroy(f);
	g_rand_free(rng);
	return m.sum;
}

static struct outcome play_all(const struct forecaster *by, load_fn load,
			       const char *name)
{
	struct outcome sum = { 0 };
	int seed;

	for (seed = 1; seed <= SEEDS; seed++) {
		struct outcome o = play(by, load, seed);

		sum.late += o.late / SEEDS;
		sum.wait_ms += o.wait_ms / SEEDS;
		sum.server_s += o.server_s / SEEDS;
		sum.moves += o.moves / SEEDS;
	}
	print_message("%-10s %-8s late %.3f wait %.0f ms, %.0f server-seconds, "
		      "%.0f moves\n",
		      name, by->name, sum.late, sum.wait_ms, sum.server_s,
		      sum.moves);
	return sum;
}

/*
 * Guards against a gain in servers that callers pay for: on each load fewer
 * jobs wait than with the baseline, for no more server-seconds.
 */
static void compare(load_fn load, const char *name)
{
	struct outcome before = play_all(&forecasters[BASELINE], load, name);
	struct outcome after = play_all(&forecasters[FORECAST], load, name);

	assert_true(after.late <= before.late);
	assert_true(after.wait_ms <= before.wait_ms);
	assert_true(after.server_s <= before.server_s);
}

static void turns_of_random_periods_wait_less(void **state)
{
	(void)state;
	compare(load_by_turns, "turns");
}

static void single_burst_waits_less(void **state)
{
	(void)state;
	compare(single_burst, "burst");
}

/* Random variation of a steady load must not cost more than before. */
static void steady_load_waits_less(void **state)
{
	(void)state;
	compare(steady_load, "steady");
}

/* Guards against keeping servers for work that has ended. */
static void silence_is_forecast_as_silence(void **state)
{
	struct forecast *f = forecast_create();
	cs_time now;

	(void)state;
	assert_true(forecast_at(f, LEAD_US, 0).expected == 0);
	for (now = 0; now < 5 * CS_SEC; now += STEP_US)
		forecast_add(f, 1e8, 1000, now);
	assert_true(forecast_at(f, LEAD_US, now).expected > 0);
	now += 3 * CS_SEC;
	assert_true(forecast_at(f, LEAD_US, now).expected == 0);
	/* A gap of days takes no longer than one of seconds. */
	now += (cs_time)20 * 24 * 3600 * CS_SEC;
	assert_true(forecast_at(f, LEAD_US, now).expected == 0);
	forecast_destroy(f);
}

/*
 * In a falling turn the forecast must not stay above the present rate by more
 * than the lag of the last value, as surplus servers leave by it.
 */
static void fall_is_not_extended_upwards(void **state)
{
	struct forecast *f = forecast_create();
	cs_time now;
	int rate, jobs;

	(void)state;
	for (rate = 40; rate > 0; rate--) {
		now = (cs_time)(40 - rate) * 100 * CS_MSEC;
		for (jobs = 0; jobs < rate; jobs++)
			forecast_add(f, 1e6, 1000, now);
		/* The window of the last value began 1.6 s ago at most. */
		if (rate <= 20)
			assert_true(forecast_at(f, LEAD_US, now).expected <=
				    (rate + 16.0) * 1e4);
	}
	forecast_destroy(f);
}

/*
 * A load whose every rise is over before a move could end: the trend is worse
 * than the last value, so it switches itself off; in turns it comes back.
 */
static void trend_is_used_only_where_it_is_better(void **state)
{
	struct forecast *f = forecast_create();
	const struct turn turn = { 120 * CS_SEC, 20 * CS_SEC, 40 };
	cs_time now;
	int jobs;

	(void)state;
	for (now = 0; now < 120 * CS_SEC; now += 100 * CS_MSEC)
		for (jobs = 0; jobs < 10; jobs++)
			if (now % (2500 * CS_MSEC) < 1000 * CS_MSEC)
				forecast_add(f, 1e6, 1000, now);
	assert_int_equal(forecast_method(f), FORECAST_LAST);
	for (; now < 130 * CS_SEC; now += 100 * CS_MSEC)
		for (jobs = 0; jobs < turn_rate(&turn, now); jobs++)
			forecast_add(f, 1e6, 1000, now);
	assert_int_equal(forecast_method(f), FORECAST_TREND);
	forecast_destroy(f);
}

/* The error is that of the method in use: none on an even load. */
static void error_is_what_was_missed(void **state)
{
	struct forecast *f = forecast_create();
	struct forecast_value v;
	cs_time now;

	(void)state;
	for (now = 0; now < 60 * CS_SEC; now += 10 * CS_MSEC)
		forecast_add(f, 1e6, 1000, now);
	v = forecast_at(f, LEAD_US, now);
	assert_true(fabs(v.expected - 1e5) < 1.5e4);
	assert_true(v.error < 1e4);
	for (; now < 62 * CS_SEC; now += 1 * CS_MSEC)
		forecast_add(f, 1e6, 1000, now);
	assert_true(forecast_at(f, LEAD_US, now).error > v.error);
	forecast_destroy(f);
}

/*
 * Guards against a pool that shrinks to the servers with long-running tasks: a
 * task of a step that allows one on a server then has no other one to go to.
 * Two more stay, and no initial server beyond them.
 */
static void spread_tasks_keep_spare_servers(void **state)
{
	const struct world_options options = {
		.seed = 21,
		.nodes = 3,
		.servers = 12,
		.pools = 1,
		.standby = 4,
		.policy = { .has_demand_forecast = true },
	};
	const struct world_job wide = { .steps = 1,
					.width = 6,
					.work_ms = 200,
					.cpu = 500,
					.per_server_max = 1,
					.is_long_running = true,
					.unavailable_max = -1 };
	struct world *w = world_create(&options);
	int64_t paid;

	(void)state;
	world_run(w, 4000);
	world_submit(w, 0, &wide);
	world_run(w, 40000);
	paid = world_pool_host_ms(w);
	world_run(w, 5000);
	assert_int_equal((world_pool_host_ms(w) - paid) / 5000, 6 + 2);
	assert_null(world_violation(w));
	world_destroy(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(turns_of_random_periods_wait_less),
		cmocka_unit_test(single_burst_waits_less),
		cmocka_unit_test(steady_load_waits_less),
		cmocka_unit_test(silence_is_forecast_as_silence),
		cmocka_unit_test(fall_is_not_extended_upwards),
		cmocka_unit_test(trend_is_used_only_where_it_is_better),
		cmocka_unit_test(error_is_what_was_missed),
		cmocka_unit_test(spread_tasks_keep_spare_servers),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
