#include "unit.h"

#include <glib.h>
#include <math.h>

#include "../../src/sched/pools/demand.h"
#include "../../src/sched/learn/estimate.h"

/* Forecasts of demand and estimates of run times, without servers or clocks. */

#define STEP_US (10 * CS_MSEC)
#define LEAD_US (2 * CS_SEC)

/* Adds jobs that arrive at random times with the given rate. */
static void arrive(struct demand *d, GRand *rng, double per_s, cs_time now)
{
	double chance = per_s * (double)STEP_US / (double)CS_SEC;

	while (chance > 0) {
		if (g_rand_double(rng) < chance)
			demand_add(d, 1000.0 * 1000.0, 1000, now);
		chance -= 1;
	}
}

/* The rate of a demand peak that rises linearly from 0 and falls again. */
static double peak_rate(cs_time now, double peak)
{
	double height = 1.0 - fabs((double)(now - 4500 * CS_MSEC) /
				   (double)(4500 * CS_MSEC));

	return height > 0 ? peak * height : 0;
}

/*
 * Hosts moved for the present demand arrive two seconds later, when it has
 * grown. While demand rises, the forecast must not fall short of the demand
 * two seconds ahead by more than a quarter.
 */
static void rising_demand_is_forecast(void **state)
{
	GRand *rng = g_rand_new_with_seed(5);
	struct demand *d = demand_create();
	double sum = 0, needed = 0;
	cs_time now;

	(void)state;
	for (now = 0; now < 2500 * CS_MSEC; now += STEP_US) {
		arrive(d, rng, peak_rate(now, 120), now);
		if (now < 1000 * CS_MSEC)
			continue;
		sum += demand_forecast(d, LEAD_US, now);
		needed += 1000.0 * peak_rate(now + LEAD_US, 120);
	}
	assert_true(sum > 0.75 * needed);
	demand_destroy(d);
	g_rand_free(rng);
}

/*
 * Guards against taking random variation of a constant rate for a rise, which
 * would move hosts all the time, and each move costs money.
 */
static void random_variation_is_not_a_rise(void **state)
{
	GRand *rng = g_rand_new_with_seed(6);
	struct demand *d = demand_create();
	double sum = 0;
	cs_time now;
	int samples = 0;

	(void)state;
	for (now = 0; now < 60 * CS_SEC; now += STEP_US) {
		arrive(d, rng, 8, now);
		if (now < 2 * CS_SEC)
			continue;
		sum += demand_forecast(d, LEAD_US, now);
		samples++;
	}
	/* 8,000 are needed; at most half as much again is affordable. */
	assert_true(sum / samples < 12000);
	assert_true(sum / samples > 7000);
	demand_destroy(d);
	g_rand_free(rng);
}

/* Guards against forecasting work after arrivals have ended. */
static void forecast_ends_with_arrivals(void **state)
{
	struct demand *d = demand_create();
	int i;

	(void)state;
	for (i = 0; i < 100; i++)
		demand_add(d, 1e6, 1000, (cs_time)i * 10 * CS_MSEC);
	assert_true(demand_forecast(d, LEAD_US, CS_SEC) > 0);
	assert_true(demand_forecast(d, LEAD_US, 3 * CS_SEC) == 0);
	assert_true(demand_forecast(d, LEAD_US, 3600 * CS_SEC) == 0);
	demand_destroy(d);
}

/* A log-normal random value with the given median and deviation. */
static double random_time(GRand *rng, double median, double deviation)
{
	double u = 1.0 - g_rand_double(rng), v = g_rand_double(rng);

	return median *
	       exp(deviation * sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v));
}

/*
 * Callers' hints are off by factors. Without correction, jobs with a hint that
 * was too short counted as late at once and lost their rank.
 */
static void wrong_hints_are_corrected(void **state)
{
	GRand *rng = g_rand_new_with_seed(7);
	struct estimate *e = estimate_create();
	double hint_error = 0, error = 0;
	int i;

	(void)state;
	for (i = 0; i < 1000; i++) {
		double actual = random_time(rng, 800, 0.5);
		double hint = random_time(rng, actual, 0.9);
		int64_t median = estimate_median_ms(e, (int64_t)hint);

		if (i >= 100) {
			hint_error += fabs(log(hint / actual));
			error += fabs(log((double)median / actual));
		}
		estimate_record(e, (int64_t)hint, (int64_t)actual);
	}
	assert_true(error < 0.7 * hint_error);
	estimate_destroy(e);
	g_rand_free(rng);
}

/* Accurate hints must not be pulled towards the queue's median. */
static void accurate_hints_are_kept(void **state)
{
	GRand *rng = g_rand_new_with_seed(8);
	struct estimate *e = estimate_create();
	int i;

	(void)state;
	assert_int_equal(estimate_median_ms(e, 700), 700);
	for (i = 0; i < 300; i++) {
		int64_t actual = (int64_t)random_time(rng, 800, 0.8);

		estimate_record(e, actual, actual);
	}
	assert_in_range(estimate_median_ms(e, 200), 190, 210);
	assert_in_range(estimate_median_ms(e, 3000), 2850, 3150);
	estimate_destroy(e);
	g_rand_free(rng);
}

/* A step without a hint gets the run time of other tasks of its queue. */
static void missing_hints_are_filled_in(void **state)
{
	struct estimate *e = estimate_create();
	int i;

	(void)state;
	assert_int_equal(estimate_median_ms(e, 0), 0);
	assert_int_equal(estimate_mean_ms(e, 0), 0);
	for (i = 0; i < 100; i++)
		estimate_record(e, 0, 500);
	assert_in_range(estimate_median_ms(e, 0), 495, 505);
	assert_in_range(estimate_mean_ms(e, 0), 495, 530);
	estimate_destroy(e);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(rising_demand_is_forecast),
		cmocka_unit_test(random_variation_is_not_a_rise),
		cmocka_unit_test(forecast_ends_with_arrivals),
		cmocka_unit_test(wrong_hints_are_corrected),
		cmocka_unit_test(accurate_hints_are_kept),
		cmocka_unit_test(missing_hints_are_filled_in),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
