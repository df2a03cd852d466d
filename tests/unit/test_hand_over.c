#include "unit.h"

#include "site_world.h"

/* Tests of what a new owner has to use again soon after it took over. */

/* Needs six servers for itself, of which the pool has four. */
static const struct world_job large_job = { .steps = 1,
					    .width = 6,
					    .work_ms = 200,
					    .cpu = 30000,
					    .is_long_running = true,
					    .unavailable_max = -1 };

/* Maintains the hosts of two pools, all at once. */
static struct world *maintain_all_at_once(void)
{
	struct world *w = make_world(2, 4, 0);

	world_start_wave(w, 1, 0, 8, 8, 20000);
	world_run(w, 12000);
	assert_true(world_store_has(w, "status/wave/1", "done"));
	return w;
}

/*
 * Guards against hosts that no pool gets any more: the last ones of a wave were
 * still down when it was done, and nobody looked for their return.
 */
static void last_hosts_of_a_wave_are_used_again(void **state)
{
	struct world *w = maintain_all_at_once();
	int job = world_submit(w, 0, &large_job);

	(void)state;
	world_run(w, 3000);
	assert_int_equal(world_job_running_tasks(w, job), 6);
	end_world(w);
}

/*
 * Guards against pools that stay too small for 3 s after a change of the owner,
 * the pause before it may order maintenance: until then it took the hosts of a
 * wave that was done for hosts under maintenance. Two hosts have to move, which
 * takes 1.5 s.
 */
static void hosts_of_a_wave_move_after_hand_over(void **state)
{
	struct world *w = maintain_all_at_once();
	int job;

	(void)state;
	/* The last order, so that only this host is left alone for a while. */
	world_start_wave(w, 2, 0, 1, 1, 20000);
	world_run(w, 8000);
	world_node_drain(w, world_owner(w));
	world_run(w, 500);
	job = world_submit(w, world_owner(w), &large_job);
	world_run(w, 2500);
	assert_int_equal(world_job_running_tasks(w, job), 6);
	end_world(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(last_hosts_of_a_wave_are_used_again),
		cmocka_unit_test(hosts_of_a_wave_move_after_hand_over),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
