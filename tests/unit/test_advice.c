#include "unit.h"

#include "site_world.h"

/* Tests of queues whose tasks need tickets of the placement advisor. */

/*
 * Guards against a long-running task that waits until the ticket for a server
 * that is gone runs out, though another server would be allowed.
 */
static void new_server_is_asked_for(void **state)
{
	const struct world_job lasting = { .steps = 1,
					   .width = 1,
					   .work_ms = 200,
					   .cpu = 1000,
					   .is_long_running = true,
					   .unavailable_max = -1 };
	struct world *w = make_world(1, 3, 0);
	int job;

	(void)state;
	world_set_advice(w, 2, 30000);
	world_run(w, 2000);
	job = world_submit(w, 0, &lasting);
	world_run(w, 3000);
	assert_int_equal(world_job_running_tasks(w, job), 1);
	assert_int_equal(world_server_runs(w, 2), 1);
	/* It comes back under another identifier. */
	world_server_crash(w, 2, 2000);
	world_run(w, 9000);
	assert_int_equal(world_job_running_tasks(w, job), 1);
	end_world(w);
}

/*
 * Guards against a job that never starts: the only server that is allowed lies
 * beyond the number that one request may name.
 */
static void servers_beyond_one_request_are_asked_for(void **state)
{
	const struct world_job short_job = { .steps = 1,
					     .width = 2,
					     .work_ms = 200,
					     .cpu = 1000,
					     .unavailable_max = -1 };
	struct world *w = make_world(1, 120, 0);
	int job;

	(void)state;
	/* The registry lists it last. */
	world_set_advice(w, 99, 3000);
	world_run(w, 2000);
	job = world_submit(w, 0, &short_job);
	world_run(w, 4000);
	assert_true(world_job_is_done(w, job));
	end_world(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(new_server_is_asked_for),
		cmocka_unit_test(servers_beyond_one_request_are_asked_for),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
