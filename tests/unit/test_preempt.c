#include "unit.h"

#include "../../src/sched/queue/preempt.h"
#include "../world/world.h"
#include "site_world.h"

/* Which runs are stopped for urgent work, and what becomes of them. */

static const struct site_resources eight = { 8000, 8000, 0 };

static struct preempt_run run_of(cs_handle self, int server, int64_t cpu,
				 int64_t lost_ms)
{
	return (struct preempt_run){ .self = self,
				     .server = server,
				     .need = { cpu, cpu, 0 },
				     .priority = 1,
				     .job = self,
				     .stops_left = PREEMPT_STOPS_MAX,
				     .lost_ms = lost_ms };
}

/*
 * Guards against a stop that throws away more work than another one: a saved
 * checkpoint comes first, then the least work lost, and no run is stopped whose
 * room is not needed.
 */
static void least_work_is_lost(void **state)
{
	const struct preempt_server full[2] = { 0 };
	struct preempt_run runs[4] = { run_of(1, 0, 8000, 100),
				       run_of(2, 1, 2000, 400),
				       run_of(3, 1, 8000, 900),
				       run_of(4, 1, 8000, 500) };
	struct preempt_choice c = preempt_choose(full, 2, runs, 4, eight, 0);

	(void)state;
	assert_int_equal(c.server, 0);
	assert_int_equal(c.runs[0], 1);
	runs[0] = run_of(1, 0, 8000, 100);
	runs[1] = run_of(2, 1, 2000, 400);
	runs[2] = run_of(3, 1, 8000, 900);
	runs[3] = run_of(4, 1, 8000, 500);
	runs[2].has_checkpoint = true;
	c = preempt_choose(full, 2, runs, 4, eight, 0);
	assert_int_equal(c.server, 1);
	assert_int_equal(c.runs_nr, 1);
	assert_int_equal(c.runs[0], 3);
	/* The small one is stopped first, and then its room is not needed. */
	runs[0] = run_of(2, 0, 2000, 400);
	runs[1] = run_of(4, 0, 8000, 500);
	c = preempt_choose(full, 1, runs, 2, eight, 0);
	assert_int_equal(c.runs_nr, 1);
	assert_int_equal(c.runs[0], 4);
}

/*
 * Guards against work that is stopped for work of the same or a larger priority
 * number, beyond the budget of its job, or without making room.
 */
static void stops_stay_within_their_bounds(void **state)
{
	const struct preempt_server servers[1] = { { { 1000, 1000, 0 } } };
	struct preempt_run runs[2] = { run_of(1, 0, 4000, 100),
				       run_of(2, 0, 4000, 100) };

	(void)state;
	assert_int_equal(preempt_choose(servers, 1, runs, 2, eight, 0).runs_nr,
			 2);
	assert_int_equal(preempt_choose(servers, 1, runs, 2, eight, 1).server,
			 -1);
	runs[0].job = runs[1].job = 9;
	runs[0].stops_left = runs[1].stops_left = 1;
	assert_int_equal(preempt_choose(servers, 1, runs, 2, eight, 0).server,
			 -1);
	assert_int_equal(preempt_choose(servers, 1, runs, 1, eight, 0).server,
			 -1);
	assert_int_equal(preempt_choose(servers, 1, runs, 0, eight, 0).server,
			 -1);
}

/*
 * Guards against jobs for which nothing can be stopped that use up the searches
 * of each pass, so that those behind them never get one.
 */
static void search_without_result_lets_others_search(void **state)
{
	const struct world_options options = { .seed = 11,
					       .nodes = 3,
					       .servers = 1,
					       .pools = 2,
					       .policy = { .has_preemption =
								   true },
					       .has_priorities = true };
	struct world_job job = { .pool = 1,
				 .steps = 1,
				 .width = 1,
				 .work_ms = 20000,
				 .cpu = 20000,
				 .unavailable_max = -1 };
	struct world *w = world_create(&options);
	int i, small;

	(void)state;
	world_run(w, 3000);
	world_set_queue_pool(w, 1, 0);
	world_run(w, 1000);
	/* A long task of the largest number and one that nobody may stop. */
	world_submit(w, 0, &job);
	job.pool = 0;
	job.cpu = 12000;
	world_submit(w, 0, &job);
	world_run(w, 1000);
	job.cpu = 31000;
	for (i = 0; i < 2 * PREEMPT_SEARCHES_MAX; i++)
		world_submit(w, 0, &job);
	world_run(w, 500);
	job.cpu = 8000;
	small = world_submit(w, 0, &job);
	world_run(w, 2500);
	assert_true(world_job_starts(w, small) > 0);
	world_destroy(w);
}

static struct world *make_full_world(bool has_preemption, bool is_checkpointing,
				     int *less_urgent)
{
	const struct world_options options = {
		.seed = 11,
		.nodes = 3,
		.servers = 1,
		.pools = 2,
		.policy = { .has_preemption = has_preemption },
		.has_priorities = true
	};
	const struct world_job job = { .pool = 1,
				       .steps = 1,
				       .width = 1,
				       .work_ms = 6000,
				       .cpu = 30000,
				       .is_checkpointing = is_checkpointing,
				       .unavailable_max = -1 };
	struct world *w = world_create(&options);

	world_run(w, 3000);
	world_set_queue_pool(w, 1, 0);
	world_run(w, 1000);
	*less_urgent = world_submit(w, 0, &job);
	world_run(w, 3000);
	assert_int_equal(world_job_starts(w, *less_urgent), 1);
	return w;
}

static const struct world_job urgent = { .steps = 1,
					 .width = 1,
					 .work_ms = 300,
					 .cpu = 8000,
					 .unavailable_max = -1 };

/*
 * Guards against urgent work that waits for long work of a larger priority
 * number, and against a stopped run that counts as a failed attempt or starts
 * from the beginning: of 6 s, 3 are done, so that all ends within 5 s more.
 */
static void urgent_job_takes_room(void **state)
{
	int stopped, job;
	struct world *w = make_full_world(true, true, &stopped);

	(void)state;
	world_set_attempts(w, 1);
	job = world_submit(w, 0, &urgent);
	world_run(w, 2000);
	assert_true(world_job_is_done(w, job));
	world_run(w, 3500);
	assert_int_equal(world_job_starts(w, stopped), 2);
	assert_true(world_job_is_done(w, stopped));
	end_world(w);
}

/* Guards against a change while the switch is off. */
static void nothing_is_stopped_while_switched_off(void **state)
{
	int stopped, job;
	struct world *w = make_full_world(false, true, &stopped);

	(void)state;
	job = world_submit(w, 0, &urgent);
	world_run(w, 2000);
	assert_false(world_job_is_done(w, job));
	assert_int_equal(world_job_starts(w, stopped), 1);
	end_world(w);
}

/*
 * Guards against a start into room that is not free: the server answers the
 * stop, and the run goes on.
 */
static void unfinished_stop_frees_no_room(void **state)
{
	int stopped, job;
	struct world *w = make_full_world(true, true, &stopped);

	(void)state;
	world_server_set_stuck(w, 0, true);
	job = world_submit(w, 0, &urgent);
	world_run(w, 3000);
	assert_int_equal(world_job_starts(w, job), 0);
	assert_int_equal(world_job_starts(w, stopped), 1);
	world_server_set_stuck(w, 0, false);
	world_server_crash(w, 0, 1000);
	world_run(w, 20000);
	assert_true(world_job_is_done(w, job));
	assert_true(world_job_is_done(w, stopped));
	end_world(w);
}

/* Guards against a job that is stopped again and again by urgent ones. */
static void job_is_stopped_a_limited_number_of_times(void **state)
{
	int stopped, i;
	struct world *w = make_full_world(true, false, &stopped);

	(void)state;
	for (i = 0; i < 20; i++) {
		world_submit(w, 0, &urgent);
		world_run(w, 2000);
	}
	assert_true(world_job_is_done(w, stopped));
	assert_true(world_job_starts(w, stopped) <= 1 + PREEMPT_STOPS_MAX);
	end_world(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(least_work_is_lost),
		cmocka_unit_test(stops_stay_within_their_bounds),
		cmocka_unit_test(search_without_result_lets_others_search),
		cmocka_unit_test(urgent_job_takes_room),
		cmocka_unit_test(nothing_is_stopped_while_switched_off),
		cmocka_unit_test(unfinished_stop_frees_no_room),
		cmocka_unit_test(job_is_stopped_a_limited_number_of_times),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
