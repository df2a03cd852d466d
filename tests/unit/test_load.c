#include "unit.h"

#include "../../src/sched/queue/no_room.h"
#include "../../src/sched/place/room_index.h"
#include "../../src/sched/runs/start_window.h"
#include "../world/world.h"

/*
 * Load at its worst: entries with a limited processor, replayed in virtual
 * time. The work of a decision must not grow with the work that waits, or a
 * short lack of processor feeds itself.
 */

#define SERVERS 500 /* per pool */
#define POOLS 1
#define STEP_MS 20

/* Submits jobs of 8 tasks at a constant rate for some time, all pools alike. */
static int submit(struct world *w, int jobs_per_s, int ms)
{
	struct world_job job = { .steps = 1,
				 .width = 4,
				 .work_ms = 800,
				 .cpu = 16000,
				 .unavailable_max = -1 };
	int at, sent = 0, last = -1;

	for (at = STEP_MS; at <= ms; at += STEP_MS) {
		for (; sent < jobs_per_s * at / 1000; sent++) {
			job.pool = sent % POOLS;
			last = world_submit(w, 1 + sent % 2, &job);
		}
		world_run(w, STEP_MS);
	}
	return last;
}

static struct world *make_world(void)
{
	const struct world_options options = { .seed = 21,
					       .nodes = 3,
					       .servers = SERVERS,
					       .pools = POOLS };
	struct world *w = world_create(&options);

	world_run(w, 4000);
	assert_in_range(world_owner(w), 0, 2);
	return w;
}

static void end_world(struct world *w)
{
	if (world_violation(w))
		fail_msg("%s", world_violation(w));
	world_destroy(w);
}

/*
 * A pool of 500 servers runs 1,000 tasks, and six times as many wait. Each turn
 * used to rank every job, and to look at every server for each task. Bounds: an
 * eighth of a core for ranking, at 0.25 us a job, and servers in the order of
 * the logarithm of the pool for each task.
 */
static void decisions_stay_cheap_with_a_backlog(void **state)
{
	const struct world_job job = { .steps = 1,
				       .width = 1,
				       .work_ms = 800,
				       .cpu = 16000,
				       .unavailable_max = -1 };
	struct world *w = make_world();
	int64_t ranked, examined, starts;
	int owner = world_owner(w), i;

	(void)state;
	for (i = 0; i < 7000; i++)
		world_submit(w, i % 3, &job);
	world_run(w, 1500);
	ranked = world_node_counter(w, owner, "camphorshed_ranked_jobs_total");
	examined = world_node_counter(w, owner,
				      "camphorshed_examined_servers_total");
	starts = world_node_counter(w, owner, "camphorshed_task_starts_total");
	world_run(w, 1000);
	ranked = world_node_counter(w, owner, "camphorshed_ranked_jobs_total") -
		 ranked;
	examined = world_node_counter(w, owner,
				      "camphorshed_examined_servers_total") -
		   examined;
	starts = world_node_counter(w, owner, "camphorshed_task_starts_total") -
		 starts;
	assert_in_range(starts, 1000, 1400);
	assert_in_range(ranked, 0, 500000);
	assert_in_range(examined, 0, 9 * starts);
	world_run(w, 6000);
	assert_int_equal(world_unfinished_jobs(w), 0);
	end_world(w);
}

/*
 * A new owner waits for a silent server, which may have a predecessor's runs of
 * a job with 200 occurrences under way, of which 50 tasks each wait for another
 * kind of server. Guards against an owner that looks at each of them in each
 * turn: with millions a turn takes longer than the ownership lasts.
 */
static void tasks_that_can_not_start_yet_are_not_looked_at(void **state)
{
	const struct world_options options = { .seed = 21,
					       .nodes = 3,
					       .servers = 3,
					       .pools = 1 };
	const struct world_job wide = { .steps = 2,
					.width = 50,
					.repeats = 200,
					.work_ms = 20,
					.cpu = 100,
					.label = "absent",
					.labelled_from = 1,
					.unavailable_max = -1 };
	struct world *w = world_create(&options);
	int64_t examined;
	int n, owner;

	(void)state;
	world_run(w, 4000);
	n = world_submit(w, 1, &wide);
	world_run(w, 10000);
	assert_int_equal(world_job_starts(w, n), 10000);
	for (n = 0; n < 3; n++)
		world_node_cut_server(w, n, 0, true);
	owner = world_owner(w);
	world_node_kill(w, owner);
	world_run(w, 3500);
	assert_true(world_owner(w) >= 0 && world_owner(w) != owner);
	owner = world_owner(w);
	examined = world_node_counter(w, owner,
				      "camphorshed_examined_tasks_total");
	world_run(w, 1000);
	examined = world_node_counter(w, owner,
				      "camphorshed_examined_tasks_total") -
		   examined;
	assert_in_range(examined, 0, 1000);
	end_world(w);
}

/*
 * Half of the fleet's capacity, then 4 s of twice its capacity, then a half
 * again. Guards against a backlog that slows the owner down and so never ends.
 * When the backlog is gone, a job of 0.8 s must take at most 0.1 s longer than
 * it runs.
 */
static void owner_recovers_from_overload(void **state)
{
	struct world *w = make_world();
	int first, last, i, late = 0;

	(void)state;
	world_node_set_processor(w, world_owner(w), 200);
	submit(w, 130, 3000);
	submit(w, 500, 4000);
	submit(w, 130, 9000);
	first = world_job_count(w);
	last = submit(w, 130, 2000);
	world_run(w, 2000);
	for (i = first; i <= last; i++)
		late += world_job_duration_ms(w, i) < 0 ||
			world_job_duration_ms(w, i) > 900;
	assert_in_range(late, 0, (last - first) / 20);
	end_world(w);
}

/*
 * The owner can't start all that four pools could run. Guards against pools
 * that get no starts, as those before them in the owner's tables take all that
 * it can store and order at a time: each must get half of its fair share at
 * least.
 */
static void pools_share_the_starts(void **state)
{
	const struct world_options options = { .seed = 23,
					       .nodes = 3,
					       .servers = 40,
					       .pools = 4 };
	struct world *w = world_create(&options);
	struct world_job job = { .steps = 1,
				 .width = 1,
				 .work_ms = 300,
				 .cpu = 4000,
				 .unavailable_max = -1 };
	const int jobs = UNIT_ROUNDS(8000, 4000);
	int starts[4] = { 0 }, all = 0, i;

	(void)state;
	world_run(w, 4000);
	world_node_set_processor(w, world_owner(w), 120);
	for (i = 0; i < jobs; i++) {
		job.pool = i % 4;
		world_submit(w, i % 3, &job);
	}
	/* Long enough for some of the work, and too short for all of it. */
	world_run(w, 600 + jobs / 2);
	for (i = 0; i < jobs; i++) {
		starts[i % 4] += world_job_starts(w, i);
		all += world_job_starts(w, i);
	}
	assert_in_range(all, jobs / 20, jobs - jobs / 20);
	for (i = 0; i < 4; i++)
		assert_in_range(starts[i], all / 8, all);
	end_world(w);
}

/*
 * Tasks at least as large as one without room are covered, others are not: a
 * smaller one, one with more of one resource and less of another, and one
 * without the label that was lacking.
 */
static void no_room_covers_larger_tasks_only(void **state)
{
	const struct site_resources need = { 4000, 1024, 0 };
	const struct site_resources larger = { 4000, 2048, 1 };
	const struct site_resources smaller = { 3999, 1024, 0 };
	const struct site_resources mixed = { 8000, 512, 0 };
	struct no_room set = { 0 };
	int i;

	(void)state;
	assert_false(no_room_covers(&set, NULL, need));
	no_room_add(&set, "fast", need);
	assert_true(no_room_covers(&set, "fast", larger));
	assert_false(no_room_covers(&set, NULL, larger));
	assert_false(no_room_covers(&set, "large", larger));
	no_room_add(&set, NULL, need);
	assert_true(no_room_covers(&set, NULL, need));
	assert_true(no_room_covers(&set, "large", larger));
	assert_false(no_room_covers(&set, NULL, smaller));
	assert_false(no_room_covers(&set, NULL, mixed));
	/* The row without a label replaced the one that it covers. */
	assert_int_equal(set.rows_nr, 1);
	for (i = 0; i < 2 * NO_ROOM_ROWS; i++) {
		const struct site_resources row = { 3000 - i, 2048 + i, 0 };

		no_room_add(&set, NULL, row);
	}
	assert_int_equal(set.rows_nr, NO_ROOM_ROWS);
	assert_false(no_room_covers(&set, NULL, smaller));
}

/* Rows stay sorted, and the first one with enough CPU is found. */
static void room_index_finds_the_fullest_server(void **state)
{
	struct room_index *index = room_index_create();
	GRand *rng = g_rand_new_with_seed(3);
	int64_t free_cpu[200], cpu;
	const struct room_row *row;
	int i, k, expected;
	guint first;

	(void)state;
	for (i = 0; i < 200; i++) {
		free_cpu[i] = g_rand_int_range(rng, 0, 50);
		room_index_add(index, (struct room_row){ free_cpu[i],
							 (cs_handle)i + 1 });
	}
	for (i = 0; i < 2000; i++) {
		k = g_rand_int_range(rng, 0, 200);
		room_index_remove(index, (struct room_row){ free_cpu[k],
							    (cs_handle)k + 1 });
		free_cpu[k] = g_rand_int_range(rng, 0, 50);
		room_index_add(index, (struct room_row){ free_cpu[k],
							 (cs_handle)k + 1 });
		cpu = g_rand_int_range(rng, 0, 51);
		for (k = expected = 0; k < 200; k++)
			expected += free_cpu[k] >= cpu;
		first = room_index_first(index, cpu);
		assert_int_equal(200 - first, expected);
		row = room_index_at(index, first);
		assert_true(!row || row->free_cpu >= cpu);
	}
	assert_null(room_index_at(index, 200));
	g_rand_free(rng);
	room_index_destroy(index);
}

/*
 * A link that carries 200 starts a second, offered all the time. Without a
 * window the queue grew until renewals of leases, which may take 0.5 s, waited
 * in it. With a twentieth of the starts unanswered nothing must change.
 */
static void start_window_bounds_the_queue(void **state)
{
	struct start_window w;
	double queue = 0, unanswered = 0, worst = 0, carried = 0;
	cs_time now;
	int i;

	(void)state;
	start_window_init(&w);
	for (now = CS_SEC; now < 31 * CS_SEC; now += 5 * CS_MSEC) {
		/* One start leaves the queue in 5 ms; its delay is its place.
		 */
		if (queue >= 1) {
			carried++;
			queue--;
			unanswered--;
			start_window_on_reply(
				&w, (cs_time)(queue * 5.0 * CS_MSEC) + 10000,
				now);
		}
		for (i = 0; i < 64 && unanswered < start_window_size(&w); i++) {
			queue++;
			unanswered++;
		}
		if (now > 11 * CS_SEC)
			worst = MAX(worst, queue * 5);
	}
	assert_true(worst < 400);
	assert_true(carried > 0.95 * 200 * 30);
	start_window_init(&w);
	for (i = 0; i < 10000; i++)
		start_window_on_reply(&w, (i % 20 ? 10 : 400) * CS_MSEC,
				      i * CS_MSEC);
	assert_in_range(start_window_size(&w), 256, 1024);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(decisions_stay_cheap_with_a_backlog),
		cmocka_unit_test(
			tasks_that_can_not_start_yet_are_not_looked_at),
		cmocka_unit_test(owner_recovers_from_overload),
		cmocka_unit_test(start_window_bounds_the_queue),
		cmocka_unit_test(pools_share_the_starts),
		cmocka_unit_test(room_index_finds_the_fullest_server),
		cmocka_unit_test(no_room_covers_larger_tasks_only),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
