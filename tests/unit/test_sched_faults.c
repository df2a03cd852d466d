#include "unit.h"

#include <stdio.h>

#include "../world/world.h"

/*
 * Tests of the scheduler against faults that once broke a promise to callers,
 * each in the simulated site. docs/incidents/ has the postmortems.
 */

static struct world *make_world(int pools, int servers, int standby)
{
	const struct world_options options = { .seed = 11,
					       .nodes = 3,
					       .servers = servers,
					       .pools = pools,
					       .standby = standby };
	struct world *w = world_create(&options);

	world_run(w, 3000);
	return w;
}

static void end_world(struct world *w)
{
	if (world_violation(w))
		fail_msg("%s", world_violation(w));
	world_destroy(w);
}

/*
 * Guards against servers that stay out of use: an order to move a host got no
 * reply and was not carried out, and its server was never used again.
 */
static void servers_are_used_after_unanswered_moves(void **state)
{
	const struct world_job burst = { .steps = 1,
					 .width = 4,
					 .work_ms = 1500,
					 .cpu = 30000,
					 .unavailable_max = -1 };
	const struct world_job whole_pool = { .steps = 1,
					      .width = 5,
					      .work_ms = 200,
					      .cpu = 30000,
					      .is_long_running = true,
					      .unavailable_max = -1 };
	struct world *w = make_world(1, 4, 1);
	int job = world_submit(w, 0, &burst);

	(void)state;
	while (!world_job_is_done(w, job))
		world_run(w, 100);
	world_set_hosts_silent(w, true);
	world_run(w, 5000);
	world_set_hosts_silent(w, false);
	world_run(w, 15000);
	job = world_submit(w, 0, &whole_pool);
	world_run(w, 10000);
	assert_int_equal(world_job_running_tasks(w, job), 5);
	end_world(w);
}

/*
 * The same for an order of maintenance without a reply, whose wave the operator
 * withdraws.
 */
static void servers_are_used_after_withdrawn_wave(void **state)
{
	const struct world_job whole_pool = { .steps = 1,
					      .width = 4,
					      .work_ms = 200,
					      .cpu = 30000,
					      .is_long_running = true,
					      .unavailable_max = -1 };
	struct world *w = make_world(1, 4, 0);
	int job;

	(void)state;
	world_set_hosts_silent(w, true);
	world_start_wave(w, 1, 0, 4, 2, 20000);
	world_run(w, 3000);
	world_cancel_wave(w, 1);
	world_run(w, 1000);
	world_set_hosts_silent(w, false);
	job = world_submit(w, 0, &whole_pool);
	world_run(w, 5000);
	assert_int_equal(world_job_running_tasks(w, job), 4);
	end_world(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(servers_are_used_after_unanswered_moves),
		cmocka_unit_test(servers_are_used_after_withdrawn_wave),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
