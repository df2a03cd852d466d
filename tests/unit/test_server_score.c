#include "unit.h"

#include <glib.h>
#include <math.h>

#include "../../src/sched/place/server_score.h"
#include "../world/world.h"

/* What is learned of servers, and when one is suspected, without servers. */

#define NOW(i) ((cs_time)(i)*50 * CS_MSEC + CS_SEC)

struct fixture {
	struct server_score row, all;
	GRand *rng;
};

static int set_up(void **state)
{
	struct fixture *f = g_new0(struct fixture, 1);

	f->rng = g_rand_new_with_seed(21);
	*state = f;
	return 0;
}

static int tear_down(void **state)
{
	struct fixture *f = *state;

	g_rand_free(f->rng);
	g_free(f);
	return 0;
}

/* Other servers' events, some of them failures. */
static void others(struct fixture *f, double failing, int i)
{
	struct server_score row = { 0 };
	int k;

	for (k = 0; k < 10; k++)
		server_score_on_event(&row, &f->all,
				      g_rand_double(f->rng) < failing ?
					      SCORE_FAILED :
					      SCORE_DONE,
				      NOW(i), NOW(i));
}

static void slow_server_is_found_and_forgiven(void **state)
{
	struct fixture *f = *state;
	struct server_score other = { 0 };
	int i;

	for (i = 0; i < 20; i++) {
		server_score_on_run(&f->row, &f->all, 3000, 1000, 1500, NOW(i));
		server_score_on_run(&other, &f->all, 1000, 1000, 1500, NOW(i));
		server_score_on_run(&other, &f->all, 1000, 1000, 1500, NOW(i));
	}
	assert_true(server_score_speed(&f->row, &f->all, NOW(20)) < 0.6);
	assert_true(server_score_speed(&f->row, &f->all, NOW(20)) > 0.3);
	assert_true(server_score_extra_ms(0.5, false, 1000) == 1000);
	assert_true(server_score_extra_ms(1, true, 1000) == 1000);
	assert_true(server_score_extra_ms(0.001, true, 1000) <=
		    (int64_t)SCORE_SLOWDOWN_MAX * 1000);
	/* Nothing is known after a minute. */
	assert_true(server_score_speed(&f->row, &f->all, NOW(1220)) == 1);
}

/* Predictions that are wrong for all servers must not make one look slow. */
static void wrong_predictions_slow_no_server(void **state)
{
	struct fixture *f = *state;
	struct server_score other = { 0 };
	int i;

	for (i = 0; i < 200; i++)
		server_score_on_run(&f->row, &f->all, 4000, 1000, 1500, NOW(i));
	assert_true(server_score_speed(&f->row, &f->all, NOW(200)) == 1);
	/* One run that is not understood says little. */
	server_score_on_run(&other, &f->all, 20000, 1000, 3000, NOW(200));
	assert_true(server_score_speed(&other, &f->all, NOW(200)) > 0.5);
	server_score_on_run(&other, &f->all, 0, 0, 0, NOW(200));
}

/* A server that fails each other run never fails three in a row for long. */
static void half_failing_server_is_suspected(void **state)
{
	struct fixture *f = *state;
	int i, suspected_at = -1;

	for (i = 0; i < 40 && suspected_at < 0; i++) {
		others(f, 0.02, i);
		if (server_score_on_event(&f->row, &f->all,
					  i % 2 ? SCORE_FAILED : SCORE_DONE,
					  NOW(i), NOW(i)))
			suspected_at = i;
	}
	assert_in_range(suspected_at, 3, 10);
	assert_true(server_score_is_suspect(&f->row));
	assert_false(server_score_admits(&f->row, NOW(suspected_at)));
}

/* Guards against broken jobs, a third of all, that make all servers suspect. */
static void broken_jobs_suspect_no_server(void **state)
{
	struct fixture *f = *state;
	int i, changes = 0;

	for (i = 0; i < 400; i++) {
		others(f, 0.33, i);
		changes += server_score_on_event(&f->row, &f->all,
						 g_rand_double(f->rng) < 0.33 ?
							 SCORE_FAILED :
							 SCORE_DONE,
						 NOW(i), NOW(i));
	}
	assert_in_range(changes, 0, 2); /* at most one wrong suspicion */
	assert_false(server_score_is_suspect(&f->row));
}

/*
 * Servers on which all tasks fail at once get most of the tasks. Compared with
 * one another they were no worse than usual, and none was suspected.
 */
static void many_failing_servers_are_suspected(void **state)
{
	struct fixture *f = *state;
	int i, k;

	for (k = 0; k < 5; k++) {
		struct server_score row = { 0 };

		for (i = 0; i < 10; i++)
			server_score_on_event(&row, &f->all, SCORE_FAILED,
					      NOW(i), NOW(i));
		assert_true(server_score_is_suspect(&row));
	}
}

/* One probe at a time, less often while they fail; one that ends well clears.
 */
static void suspected_server_is_probed(void **state)
{
	struct fixture *f = *state;
	int i, starts = 0;
	cs_time now = CS_SEC;

	for (i = 0; i < 4; i++)
		server_score_on_event(&f->row, &f->all, SCORE_FAILED, now, now);
	assert_true(server_score_is_suspect(&f->row));
	/* What had started before proves nothing. */
	server_score_on_event(&f->row, &f->all, SCORE_DONE, now - 1, now);
	assert_true(server_score_is_suspect(&f->row));
	for (; now < 31 * CS_SEC; now += 10 * CS_MSEC) {
		if (!server_score_admits(&f->row, now))
			continue;
		starts++;
		server_score_on_start(&f->row, now);
		assert_false(server_score_admits(&f->row, now));
		server_score_on_event(&f->row, &f->all, SCORE_REFUSED, now,
				      now);
	}
	assert_in_range(starts, 3, 8); /* in 30 s, after 1, 2, 4, 8, 8 s */
	assert_true(
		server_score_on_event(&f->row, &f->all, SCORE_DONE, now, now));
	assert_true(server_score_admits(&f->row, now));
}

static void nothing_outlives_the_incarnation(void **state)
{
	struct fixture *f = *state;
	int i;

	for (i = 0; i < 10; i++) {
		server_score_on_event(&f->row, &f->all, SCORE_SILENT, NOW(i),
				      NOW(i));
		server_score_on_run(&f->row, &f->all, 9000, 1000, 1100, NOW(i));
	}
	server_score_reset(&f->row, &f->all, NOW(10));
	assert_false(server_score_is_suspect(&f->row));
	assert_true(server_score_admits(&f->row, NOW(10)));
	/* What it did counts no more in the comparison with all servers. */
	assert_true(f->all.bad < 0.001 && f->all.speed_weight < 0.001);
	assert_true(fabs(f->all.speed) < 0.001);
}

/*
 * Beside a server that fails half of its runs, the others have done next to
 * nothing: one old failure, or the rounding error of the sums, was a share of
 * 100% for them, and the server was never suspected.
 */
static void idle_others_protect_no_server(void **state)
{
	struct fixture *f = *state;
	struct server_score other = { 0 };
	int i, changes = 0;

	server_score_on_event(&other, &f->all, SCORE_FAILED, NOW(0), NOW(0));
	for (i = 200; i < 220; i++)
		changes += server_score_on_event(
			&f->row, &f->all, i % 2 ? SCORE_FAILED : SCORE_DONE, 0,
			NOW(i));
	assert_int_equal(changes, 1);
	assert_true(server_score_is_suspect(&f->row));
}

/* A job without a hint, in a queue without runs, still goes to its rack. */
static void unknown_run_time_keeps_the_rack(void **state)
{
	(void)state;
	assert_true(server_score_extra_ms(1, true, 0) > 0);
	assert_true(server_score_extra_ms(1, false, 0) == 0);
}

/* Submits jobs for some time; returns the most runs seen on the server. */
static int run_jobs(struct world *w, int server, int ms)
{
	const struct world_job job = { .steps = 1,
				       .width = 4,
				       .work_ms = 300,
				       .cpu = 14000,
				       .unavailable_max = -1 };
	int most = 0;

	for (; ms > 0; ms -= 50) {
		if (ms % 200 == 0)
			world_submit(w, 1, &job);
		world_run(w, 50);
		most = MAX(most, world_server_runs(w, server));
	}
	return most;
}

/* A failing server gets probes only, and is in use again once it is well. */
static void failing_server_is_left_and_used_again(void **state)
{
	const struct world_options options = { .seed = 23,
					       .nodes = 3,
					       .servers = 3,
					       .pools = 1,
					       .policy = { .has_server_scores =
								   true } };
	struct world *w = world_create(&options);

	(void)state;
	world_run(w, 3000);
	assert_true(run_jobs(w, 0, 3000) > 1);
	world_server_set_failing(w, 0, true);
	run_jobs(w, 0, 2000);
	assert_in_range(run_jobs(w, 0, 6000), 0, 1);
	world_server_set_failing(w, 0, false);
	run_jobs(w, 0, 10000);
	assert_true(run_jobs(w, 0, 3000) > 1);
	if (world_violation(w))
		fail_msg("%s", world_violation(w));
	world_destroy(w);
}

#define SCORE_TEST(fn) cmocka_unit_test_setup_teardown(fn, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		SCORE_TEST(slow_server_is_found_and_forgiven),
		SCORE_TEST(wrong_predictions_slow_no_server),
		SCORE_TEST(half_failing_server_is_suspected),
		SCORE_TEST(broken_jobs_suspect_no_server),
		SCORE_TEST(many_failing_servers_are_suspected),
		SCORE_TEST(suspected_server_is_probed),
		SCORE_TEST(nothing_outlives_the_incarnation),
		SCORE_TEST(idle_others_protect_no_server),
		cmocka_unit_test(unknown_run_time_keeps_the_rack),
		cmocka_unit_test(failing_server_is_left_and_used_again),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
