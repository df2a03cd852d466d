#include "unit.h"

#include "site_world.h"

/* Tests of queues whose tasks need tickets of the placement advisor. */

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
		cmocka_unit_test(servers_beyond_one_request_are_asked_for),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
