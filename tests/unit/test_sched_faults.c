#include "unit.h"

#include <stdio.h>

#include "site_world.h"

/*
 * Tests of the scheduler against faults that once broke a promise to callers,
 * each in the simulated site. docs/incidents/ has the postmortems.
 */

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

static const struct world_job short_job = { .steps = 1,
					    .width = 6,
					    .work_ms = 800,
					    .cpu = 1600,
					    .unavailable_max = -1 };

/* Submits n jobs, and short ones after them, which must not wait for them. */
static void check_short_jobs_pass(struct world *w, int n,
				  const struct world_job *blocked)
{
	int i, job;

	for (i = 0; i < n; i++)
		world_submit(w, i % 3, blocked);
	world_run(w, 500);
	for (i = 0; i < 3; i++) {
		job = world_submit(w, 0, &short_job);
		world_run(w, 1500);
		assert_true(world_job_is_done(w, job));
	}
	end_world(w);
}

/*
 * Guards against a pool that starts nothing: a server was lost, so that 26
 * long-running jobs missed one task each, which had to be on a server of its
 * own, and all jobs behind them waited.
 */
static void jobs_short_of_a_server_block_no_others(void **state)
{
	const struct world_job lasting = { .steps = 1,
					   .width = 8,
					   .work_ms = 200,
					   .cpu = 400,
					   .is_long_running = true,
					   .per_server_max = 1,
					   .unavailable_max = -1 };
	struct world *w = make_world(1, 8, 0);
	int i;

	(void)state;
	for (i = 0; i < 26; i++)
		world_submit(w, i % 3, &lasting);
	world_run(w, 2000);
	world_server_crash(w, 1, 600000);
	world_run(w, 10000);
	check_short_jobs_pass(w, 0, NULL);
}

/* The same for jobs that need a label which no server has. */
static void jobs_without_a_labelled_server_block_no_others(void **state)
{
	struct world_job job = short_job;

	(void)state;
	job.label = "nowhere";
	check_short_jobs_pass(make_world(1, 4, 0), 40, &job);
}

/* The same for tasks that are larger than any server. */
static void jobs_larger_than_a_server_block_no_others(void **state)
{
	struct world_job job = short_job;

	(void)state;
	job.cpu = 33000;
	check_short_jobs_pass(make_world(1, 4, 0), 40, &job);
}

/* The same for gangs whose members do not fit at the same time. */
static void gangs_larger_than_the_pool_block_no_others(void **state)
{
	struct world_job job = short_job;

	(void)state;
	job.is_gang = true;
	job.cpu = 30000;
	check_short_jobs_pass(make_world(1, 4, 0), 40, &job);
}

/*
 * More jobs miss a server of their own than one pass tries. Guards against
 * those at the end that are never tried: all run soon after the server is back.
 */
static void blocked_jobs_take_turns(void **state)
{
	const struct world_job lasting = { .steps = 1,
					   .width = 5,
					   .work_ms = 200,
					   .cpu = 50,
					   .is_long_running = true,
					   .per_server_max = 1,
					   .unavailable_max = -1 };
	struct world *w = make_world(1, 5, 0);
	int i, missing = 0;

	(void)state;
	for (i = 0; i < 300; i++)
		world_submit(w, i % 3, &lasting);
	world_run(w, 5000);
	world_server_crash(w, 1, 12000);
	world_run(w, 12000 + 3000);
	for (i = 0; i < 300; i++)
		missing += 5 - world_job_running_tasks(w, i);
	assert_int_equal(missing, 0);
	end_world(w);
}

/* 600 tasks that run for 6 s on one server, all started. */
static int submit_600_tasks(struct world *w)
{
	const struct world_job job = { .steps = 1,
				       .width = 24,
				       .work_ms = 6000,
				       .cpu = 50,
				       .unavailable_max = -1 };
	int i, starts = 0;

	for (i = 0; i < 25; i++)
		world_submit(w, i % 3, &job);
	world_run(w, 4000);
	for (i = 0; i < 25; i++)
		starts += world_job_starts(w, i);
	return starts;
}

/* Each of the 600 tasks has run exactly once and its job is done. */
static void check_600_tasks_ran_once(struct world *w)
{
	int i, starts = 0;

	for (i = 0; i < 25; i++)
		starts += world_job_starts(w, i);
	assert_int_equal(world_unfinished_jobs(w), 0);
	assert_int_equal(starts, 600);
	end_world(w);
}

/*
 * Guards against done tasks that run again: a server lists 500 ends at a time.
 * While the store was down more waited, and the runs of the others counted as
 * lost, being neither listed as running nor as ended.
 */
static void ends_beyond_one_list_are_not_lost(void **state)
{
	struct world *w = make_world(1, 2, 0);

	(void)state;
	assert_int_equal(submit_600_tasks(w), 600);
	world_store_set_down(w, true, false);
	world_run(w, 4500);
	world_store_set_down(w, false, false);
	world_run(w, 10000);
	check_600_tasks_ran_once(w);
}

/*
 * The same for a new owner, which finds more ends than one list holds. The
 * store is so slow that its predecessor's last lease ends meanwhile.
 */
static void new_owner_waits_for_all_ends(void **state)
{
	struct world *w = make_world(1, 2, 0);
	int owner = world_owner(w);

	(void)state;
	assert_int_equal(submit_600_tasks(w), 600);
	world_store_set_down(w, true, true);
	world_run(w, 4500);
	world_node_kill(w, owner);
	world_store_set_down(w, false, false);
	world_store_set_latency(w, 300);
	world_run(w, 10000);
	world_store_set_latency(w, 0);
	world_run(w, 15000);
	check_600_tasks_ran_once(w);
}

static const struct world_job long_task = { .steps = 1,
					    .width = 2,
					    .work_ms = 14000,
					    .cpu = 2000,
					    .unavailable_max = -1 };

/*
 * Cuts the owner off from the store, and the other entries from a server that
 * the owner still reaches; for 5.5 s, after which they are connected again.
 */
static void partition_owner_with_server(struct world *w, int server)
{
	int owner = world_owner(w), n;

	world_node_cut_store(w, owner, true);
	for (n = 0; n < 3; n++)
		world_node_cut_server(w, n, server, n != owner);
	world_run(w, 5500);
	world_node_cut_store(w, owner, false);
	for (n = 0; n < 3; n++)
		world_node_cut_server(w, n, server, false);
}

/*
 * Guards against two runs of a task: its queue went to another pool, and a new
 * owner did not know that a server of the old pool, which only its predecessor
 * reached, ran it.
 */
static void moved_queue_runs_no_task_twice(void **state)
{
	struct world *w = make_world(2, 1, 0);
	int job = world_submit(w, 0, &long_task);

	(void)state;
	world_run(w, 1000);
	assert_int_equal(world_job_starts(w, job), 2);
	world_set_queue_pool(w, 0, 1);
	world_run(w, 2500);
	partition_owner_with_server(w, 0);
	world_run(w, 30000);
	assert_true(world_job_is_done(w, job));
	end_world(w);
}

/*
 * The same for the limit of a workspace: what may run in the old pool counts
 * against it.
 */
static void moved_queue_counts_against_the_limit(void **state)
{
	struct world_job other = long_task;
	struct world *w = make_world(2, 1, 0);
	int job;

	(void)state;
	other.pool = 1;
	world_set_limit(w, 5000);
	world_run(w, 3000);
	job = world_submit(w, 0, &long_task);
	world_run(w, 1000);
	assert_int_equal(world_job_starts(w, job), 2);
	world_set_queue_pool(w, 0, 1);
	world_run(w, 2500);
	world_submit(w, 0, &other);
	partition_owner_with_server(w, 0);
	world_run(w, 60000);
	assert_int_equal(world_unfinished_jobs(w), 0);
	end_world(w);
}

/*
 * Guards against a job that fails for good after its first failed run: its
 * queue was removed for 4 s, and with it the number of its attempts.
 */
static void removed_queue_fails_no_job(void **state)
{
	const struct world_job failing = { .steps = 1,
					   .width = 2,
					   .work_ms = 4000,
					   .cpu = 2000,
					   .failures = 1,
					   .unavailable_max = -1 };
	struct world *w = make_world(1, 2, 0);
	int job = world_submit(w, 0, &failing);

	(void)state;
	world_run(w, 2000);
	world_set_queue_pool(w, 0, -1);
	world_run(w, 4000);
	world_set_queue_pool(w, 0, 0);
	world_run(w, 10000);
	assert_true(world_job_is_done(w, job));
	end_world(w);
}

/* The same while the queue stays away: the job goes on with a new owner. */
static void job_of_a_removed_queue_survives_its_owner(void **state)
{
	const struct world_job failing = { .steps = 2,
					   .width = 2,
					   .work_ms = 4000,
					   .cpu = 2000,
					   .failures = 1,
					   .unavailable_max = -1 };
	struct world *w = make_world(1, 2, 0);
	int job = world_submit(w, 0, &failing);

	(void)state;
	world_run(w, 2000);
	world_set_queue_pool(w, 0, -1);
	world_run(w, 1000);
	world_node_kill(w, world_owner(w));
	world_run(w, 30000);
	assert_true(world_job_is_done(w, job));
	end_world(w);
}

/*
 * The same while the queue is configured with fewer attempts than when the job
 * was accepted, as an operator does who withdraws a mistake after 4 s.
 */
static void fewer_attempts_fail_no_accepted_job(void **state)
{
	const struct world_job failing = { .steps = 1,
					   .width = 2,
					   .work_ms = 4000,
					   .cpu = 2000,
					   .failures = 1,
					   .unavailable_max = -1 };
	struct world *w = make_world(1, 2, 0);
	int job = world_submit(w, 0, &failing);

	(void)state;
	world_run(w, 2000);
	world_set_attempts(w, 1);
	world_run(w, 4000);
	world_set_attempts(w, 3);
	world_run(w, 10000);
	assert_true(world_job_is_done(w, job));
	end_world(w);
}

/*
 * Guards against jobs that run beyond the limit of their workspace, because the
 * workspace is not configured any more; also with a new owner.
 */
static void removed_workspace_keeps_its_limit(void **state)
{
	struct world_job job = { .steps = 1,
				 .width = 8,
				 .work_ms = 1500,
				 .cpu = 2000,
				 .unavailable_max = -1 };
	struct world *w = make_world(1, 2, 0);

	(void)state;
	world_set_limit(w, 4000);
	world_run(w, 3000);
	world_submit(w, 0, &job);
	world_submit(w, 0, &job);
	world_run(w, 1000);
	world_set_workspaces_removed(w, true);
	world_run(w, 6000);
	world_node_kill(w, world_owner(w));
	world_run(w, 30000);
	assert_int_equal(world_unfinished_jobs(w), 0);
	end_world(w);
}

/*
 * Guards against work on the wrong kind of server: one returned under its
 * identifier as another kind and kept the labels of its former life.
 */
static void returned_server_has_its_new_kind(void **state)
{
	struct world_job old_kind = short_job, new_kind = short_job;
	struct world *w = make_world(1, 2, 0);
	int job;

	(void)state;
	old_kind.label = "a";
	new_kind.label = "b";
	world_server_return_as(w, 0, 300, "b", 0);
	world_run(w, 3000);
	job = world_submit(w, 0, &new_kind);
	world_run(w, 3000);
	assert_true(world_job_is_done(w, job));
	world_server_return_as(w, 1, 300, "b", 0);
	job = world_submit(w, 0, &old_kind);
	world_run(w, 3000);
	assert_int_equal(world_job_starts(w, job), 0);
	end_world(w);
}

/*
 * The same for its pool: it gets work of its new one only, and a new owner
 * knows that tasks may run there.
 */
static void returned_server_has_its_new_pool(void **state)
{
	struct world_job job = long_task;
	struct world *w = make_world(2, 1, 0);
	int in_old, in_new;

	(void)state;
	world_server_return_as(w, 0, 300, "a", 1);
	world_run(w, 3000);
	in_old = world_submit(w, 0, &job);
	job.pool = 1;
	job.cpu = 20000;
	in_new = world_submit(w, 0, &job);
	world_run(w, 3000);
	assert_int_equal(world_job_starts(w, in_old), 0);
	assert_int_equal(world_job_starts(w, in_new), 2);
	partition_owner_with_server(w, 0);
	world_run(w, 30000);
	assert_true(world_job_is_done(w, in_new));
	end_world(w);
}

/*
 * Guards against members of a gang that share a server beyond the limit of the
 * step: room was reserved for them, but they counted only once they ran.
 */
static void gang_keeps_its_spread(void **state)
{
	const struct world_job gang = { .steps = 1,
					.width = 4,
					.work_ms = 500,
					.cpu = 1000,
					.is_gang = true,
					.per_server_max = 1,
					.unavailable_max = -1 };
	struct world_job wide = gang;
	struct world *w = make_world(1, 4, 0);
	int job = world_submit(w, 0, &gang), never;

	(void)state;
	wide.width = 5;
	never = world_submit(w, 0, &wide);
	world_run(w, 3000);
	assert_int_equal(world_job_starts(w, job), 4);
	assert_int_equal(world_job_starts(w, never), 0);
	end_world(w);
}

/*
 * Guards against an owner that no longer sees new servers: large entries of
 * another writer made the answer to its watch too large to be read, and it
 * asked for the same one until the store had dropped that history.
 */
static void watch_that_is_too_large_is_replaced_by_a_list(void **state)
{
	struct world *w = make_world(1, 2, 0);
	char *large = g_strnfill(60000, 'x');
	int job;

	(void)state;
	world_store_set_watch_max(w, 100000);
	world_store_put(w, "servers/odd-1", large);
	world_store_put(w, "servers/odd-2", large);
	world_store_put(w, "servers/odd-3", large);
	g_free(large);
	world_server_crash(w, 0, 500);
	world_server_crash(w, 1, 500);
	/* The new servers are listed after 0.5 s; 1 s to see and use them. */
	world_run(w, 1500);
	job = world_submit(w, 0, &short_job);
	world_run(w, 2000);
	assert_true(world_job_is_done(w, job));
	end_world(w);
}

/*
 * Guards against a workspace that sees or cancels the job of another one with
 * the same identifier, or is told that its own was accepted, which never runs.
 */
static void identifier_of_another_workspace_is_unknown(void **state)
{
	struct world *w = make_world(1, 2, 0);
	int job = world_submit(w, 0, &long_task), node;

	(void)state;
	world_run(w, 1000);
	for (node = 0; node < 3; node++) {
		world_request_as_other(w, node, job, API_SUBMIT);
		world_run(w, 200);
		assert_int_equal(world_other_result(w), API_UNAVAILABLE);
		world_request_as_other(w, node, job, API_STATE);
		world_run(w, 200);
		assert_int_equal(world_other_result(w), API_NO_JOB);
		world_request_as_other(w, node, job, API_CANCEL);
		world_run(w, 200);
		assert_int_equal(world_other_result(w), API_NO_JOB);
		world_query_job(w, node, job);
		world_run(w, 200);
		assert_int_equal(world_job_state(w, job), BATCH_RUNNING);
	}
	world_run(w, 15000);
	for (node = 0; node < 3; node++) {
		world_request_as_other(w, node, job, API_STATE);
		world_run(w, 200);
		assert_int_equal(world_other_result(w), API_NO_JOB);
	}
	assert_true(world_job_is_done(w, job));
	end_world(w);
}

/*
 * Guards against a submission that is answered as accepted and not stored: its
 * identifier has an ended job of another workspace, whose key does not tell.
 */
static void identifier_of_an_ended_foreign_job_is_refused(void **state)
{
	struct world *w = make_world(1, 2, 0);
	int job = world_submit(w, 0, &long_task), node;

	(void)state;
	world_run(w, 16000);
	assert_true(world_job_is_done(w, job));
	for (node = 0; node < 3; node++) {
		world_request_as_other(w, node, job, API_SUBMIT);
		world_run(w, 200);
		assert_int_equal(world_other_result(w), API_UNAVAILABLE);
		world_resubmit(w, node, job);
		world_run(w, 200);
		assert_int_equal(world_answer(w, job), WORLD_ACCEPTED);
	}
	assert_int_equal(world_retry_after_ms(w, job), 0);
	end_world(w);
}

/*
 * Guards against a running wave whose list of hosts is changed by the operator:
 * the hosts that were added got no maintenance, the removed ones did.
 */
static void changed_wave_is_followed(void **state)
{
	struct world *w = make_world(1, 6, 0);
	int i;

	(void)state;
	world_start_wave(w, 1, 0, 3, 1, 20000);
	world_run(w, 1500);
	assert_int_equal(world_server_maintenances(w, 0), 1);
	world_start_wave(w, 1, 2, 4, 1, 20000);
	world_run(w, 20000);
	assert_int_equal(world_server_maintenances(w, 1), 0);
	for (i = 2; i < 6; i++)
		assert_int_equal(world_server_maintenances(w, i), 1);
	/* It was done; a further host makes it run again. */
	world_start_wave(w, 1, 0, 2, 1, 20000);
	world_run(w, 5000);
	assert_int_equal(world_server_maintenances(w, 0), 1);
	assert_int_equal(world_server_maintenances(w, 1), 1);
	end_world(w);
}

/*
 * Guards against the only servers of a kind moving to the standby pool, and
 * staying there, while jobs that need the kind wait: the sizes of pools count
 * CPU of any kind.
 */
static void servers_of_a_kind_come_to_its_jobs(void **state)
{
	const struct world_job burst = { .steps = 1,
					 .width = 4,
					 .work_ms = 1500,
					 .cpu = 30000,
					 .unavailable_max = -1 };
	struct world_job job = short_job;
	struct world *w = make_world(1, 4, 2);
	int i, sent;

	(void)state;
	job.label = "b";
	for (i = 0; i < 2; i++)
		world_server_return_as(w, i, 300, "b", 0);
	world_run(w, 3000);
	/* Demand rises and falls, so that hosts move to the standby pool. */
	world_submit(w, 0, &burst);
	world_run(w, 12000);
	for (sent = 0; sent < 3; sent++) {
		int last = world_submit(w, 0, &job);

		world_run(w, 6000);
		assert_true(world_job_is_done(w, last));
	}
	end_world(w);
}

/*
 * Guards against a wave that is shown as running after it was done: a write
 * that got no reply was carried out after a later one.
 */
static void late_write_does_not_undo_a_wave(void **state)
{
	uint64_t number;

	(void)state;
	for (number = 1; number <= 5; number++) {
		struct world *w = make_world(1, 6, 0);
		char key[32];

		world_store_set_lost_replies(w, 400, true);
		world_start_wave(w, number, 0, 6, 3, 8000);
		world_run(w, 12000);
		world_store_set_lost_replies(w, 0, false);
		world_run(w, 10000);
		snprintf(key, sizeof(key), "status/wave/%d", (int)number);
		assert_true(world_store_has(w, key, "done"));
		end_world(w);
	}
}

/*
 * Guards against a site without an owner: on a slow link the reply with all
 * jobs took longer than its timeout, was asked for again as a whole, and no new
 * owner ever had read it.
 */
static void slow_link_delays_the_owner_only(void **state)
{
	struct world_job waiting = short_job;
	struct world *w = make_world(1, 4, 0);
	int i;

	(void)state;
	waiting.cpu = 30000;
	waiting.work_ms = 100;
	for (i = 0; i < 100; i++)
		world_submit(w, i % 3, &waiting);
	world_run(w, 1000);
	world_set_store_bandwidth(w, 10000);
	world_node_kill(w, world_owner(w));
	assert_true(world_unfinished_jobs(w) > 80);
	world_run(w, 50000);
	assert_int_equal(world_unfinished_jobs(w), 0);
	end_world(w);
}

/*
 * Guards against an owner that starts nothing or loses its lease while its link
 * is full: replies to renewals came later than their timeout.
 */
static void late_replies_renew_the_lease(void **state)
{
	struct world *w = make_world(1, 4, 0);
	int job, owner = world_owner(w);

	(void)state;
	world_set_renewal_delay(w, 900);
	world_run(w, 8000);
	job = world_submit(w, 0, &short_job);
	world_run(w, 3000);
	assert_true(world_job_is_done(w, job));
	assert_int_equal(world_owner(w), owner);
	end_world(w);
}

/*
 * Guards against a pool that loses its hosts just after a change of the owner:
 * while a server of it is silent, its long-running tasks can't be started
 * again, and their demand did not count.
 */
static void unsettled_pool_keeps_its_hosts(void **state)
{
	const struct world_job lasting = { .steps = 1,
					   .width = 12,
					   .work_ms = 200,
					   .cpu = 8000,
					   .is_long_running = true,
					   .unavailable_max = -1 };
	const struct world_job backlog = { .pool = 1,
					   .steps = 1,
					   .width = 200,
					   .work_ms = 3000,
					   .cpu = 16000,
					   .unavailable_max = -1 };
	struct world *w = make_world(2, 4, 0);
	int i, servers = 0, job = world_submit(w, 0, &lasting);

	(void)state;
	world_run(w, 4000);
	assert_int_equal(world_job_running_tasks(w, job), 12);
	for (i = 0; i < 3; i++)
		world_node_kill(w, i);
	world_run(w, 15000);
	/* All leases have lapsed, and one server is silent. */
	assert_int_equal(world_job_running_tasks(w, job), 0);
	world_server_set_silent(w, 0, true);
	for (i = 0; i < 3; i++)
		world_node_start(w, i);
	world_run(w, 1500);
	world_submit(w, 0, &backlog);
	world_run(w, 2500);
	for (i = 0; i < world_server_count(w); i++)
		servers += world_server_pool(w, i) == 0;
	assert_true(servers >= 3);
	end_world(w);
}

/*
 * Guards against long-running tasks that end with their host's maintenance
 * without their budget being asked: a new owner that did not reach the server
 * took it for one without runs.
 */
static void unknown_server_is_not_maintained(void **state)
{
	const struct world_job lasting = { .steps = 1,
					   .width = 4,
					   .work_ms = 200,
					   .cpu = 8000,
					   .is_long_running = true,
					   .unavailable_max = 1 };
	struct world *w = make_world(1, 2, 0);
	int n, owner, job = world_submit(w, 0, &lasting);

	(void)state;
	world_run(w, 4000);
	assert_int_equal(world_job_running_tasks(w, job), 4);
	assert_int_equal(world_server_runs(w, 0), 2);
	owner = world_owner(w);
	world_node_cut_store(w, owner, true);
	for (n = 0; n < 3; n++)
		world_node_cut_server(w, n, 0, n != owner);
	world_start_wave(w, 1, 0, 1, 1, 15000);
	world_run(w, 6000);
	end_world(w);
}

/*
 * Guards against a workspace that has more running than its limit after a
 * change of the owner: runs of a job that is done, which are being stopped, did
 * not count.
 */
static void stray_runs_count_against_the_limit(void **state)
{
	const struct world_job wide = { .steps = 1,
					.width = 3,
					.work_ms = 2500,
					.cpu = 4000,
					.unavailable_max = -1 };
	int i, first, second, server, owner;

	(void)state;
	for (i = 0; i < 20; i++) {
		struct world *w = make_world(1, 2, 0);

		owner = world_owner(w);
		world_set_limit(w, 12000);
		world_run(w, 3000 + 37 * (int64_t)i);
		first = world_submit(w, 0, &wide);
		world_run(w, 300);
		server = world_server_runs(w, 0) ? 0 : 1;
		assert_int_equal(world_server_runs(w, server), 3);
		world_node_cut_server(w, owner, server, true);
		second = world_submit(w, 0, &wide);
		while (!world_server_runs(w, 1 - server))
			world_run(w, 50);
		world_run(w, 100);
		/* The new owner sees the ends at the first server. */
		world_node_kill(w, owner);
		world_run(w, 20000);
		assert_true(world_job_is_done(w, first));
		assert_true(world_job_is_done(w, second));
		end_world(w);
	}
}

/*
 * Guards against an owner that crashes: a server that was stuck listed a run of
 * a job that was done elsewhere for longer than ended jobs are kept.
 */
static void run_of_an_ended_job_may_hang(void **state)
{
	const struct world_job job = { .steps = 1,
				       .width = 1,
				       .work_ms = 2500,
				       .cpu = 4000,
				       .unavailable_max = -1 };
	struct world *w = make_world(1, 2, 0);
	int number = world_submit(w, 0, &job), server, owner = world_owner(w);

	(void)state;
	world_run(w, 300);
	server = world_server_runs(w, 0) ? 0 : 1;
	world_server_set_stuck(w, 1 - server, true);
	world_node_cut_server(w, owner, server, true);
	while (!world_server_runs(w, 1 - server))
		world_run(w, 50);
	world_node_cut_server(w, owner, server, false);
	world_run(w, 150000);
	assert_true(world_job_is_done(w, number));
	assert_int_equal(world_server_runs(w, 1 - server), 1);
	world_server_set_stuck(w, 1 - server, false);
	assert_int_equal(world_owner(w), owner);
	end_world(w);
}

/*
 * Guards against an exceeded budget: a start without a reply was carried out
 * late, and a repeated stop, which was to rule it out, ended it at work while
 * another task of the step was away.
 */
static void late_start_at_work_is_not_stopped(void **state)
{
	const struct world_job keepers = { .steps = 1,
					   .width = 8,
					   .work_ms = 500,
					   .cpu = 4000,
					   .is_long_running = true,
					   .unavailable_max = 1 };
	int i, k;

	(void)state;
	for (i = 0; i < 8; i++) {
		struct world *w = make_world(1, 8, 0);

		world_run(w, 100 * (int64_t)i);
		for (k = 0; k < 4; k++)
			world_submit(w, 0, &keepers);
		world_set_late_orders(w, 500);
		world_run(w, 35000);
		world_set_late_orders(w, 0);
		world_run(w, 15000);
		end_world(w);
	}
}

/*
 * Guards against leases that end though the servers are sound: all orders of
 * 2 s got lost, and the renewals that followed came too late.
 */
static void lost_renewals_end_no_lease(void **state)
{
	const struct world_job keepers = { .steps = 1,
					   .width = 8,
					   .work_ms = 200,
					   .cpu = 4000,
					   .is_long_running = true,
					   .unavailable_max = -1 };
	int i, job;

	(void)state;
	for (i = 0; i < 10; i++) {
		struct world *w = make_world(1, 4, 0);

		job = world_submit(w, 0, &keepers);
		world_run(w, 5000 + 130 * (int64_t)i);
		assert_int_equal(world_job_starts(w, job), 8);
		world_set_late_orders(w, 1000);
		world_run(w, 2000);
		world_set_late_orders(w, 0);
		world_run(w, 10000);
		assert_int_equal(world_job_starts(w, job), 8);
		end_world(w);
	}
}

/*
 * Guards against servers that get no work and jobs that never start, as a name
 * is longer than 63 bytes: of a server, a host or a label, also with the next
 * owner, which finds the servers by their grants.
 */
static void long_names_are_served(void **state)
{
	const struct world_options options = { .seed = 11,
					       .nodes = 3,
					       .servers = 2,
					       .pools = 2,
					       .standby = 4,
					       .has_long_names = true };
	struct world *w = world_create(&options);
	struct world_job wide = { .steps = 2,
				  .width = 8,
				  .work_ms = 3000,
				  .cpu = 16000,
				  .unavailable_max = -1 };
	int first, second, server;

	(void)state;
	world_run(w, 3000);
	wide.label = world_label(w);
	first = world_submit(w, 0, &wide);
	world_run(w, 1000);
	assert_true(world_job_starts(w, first) > 0);
	world_node_kill(w, world_owner(w));
	world_run(w, 500);
	second = world_submit(w, 1, &wide);
	world_run(w, 20000);
	assert_true(world_job_is_done(w, first));
	assert_true(world_job_is_done(w, second));
	assert_true(world_host_orders(w) > 0);
	for (server = 0; server < world_server_count(w); server++)
		world_server_crash(w, server, 100);
	world_run(w, 15000);
	assert_int_equal(world_store_count(w, "camphorshed-grants/"), 4);
	end_world(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(servers_are_used_after_unanswered_moves),
		cmocka_unit_test(servers_are_used_after_withdrawn_wave),
		cmocka_unit_test(jobs_short_of_a_server_block_no_others),
		cmocka_unit_test(
			jobs_without_a_labelled_server_block_no_others),
		cmocka_unit_test(jobs_larger_than_a_server_block_no_others),
		cmocka_unit_test(gangs_larger_than_the_pool_block_no_others),
		cmocka_unit_test(blocked_jobs_take_turns),
		cmocka_unit_test(ends_beyond_one_list_are_not_lost),
		cmocka_unit_test(new_owner_waits_for_all_ends),
		cmocka_unit_test(moved_queue_runs_no_task_twice),
		cmocka_unit_test(moved_queue_counts_against_the_limit),
		cmocka_unit_test(removed_queue_fails_no_job),
		cmocka_unit_test(job_of_a_removed_queue_survives_its_owner),
		cmocka_unit_test(fewer_attempts_fail_no_accepted_job),
		cmocka_unit_test(removed_workspace_keeps_its_limit),
		cmocka_unit_test(returned_server_has_its_new_kind),
		cmocka_unit_test(returned_server_has_its_new_pool),
		cmocka_unit_test(gang_keeps_its_spread),
		cmocka_unit_test(watch_that_is_too_large_is_replaced_by_a_list),
		cmocka_unit_test(identifier_of_another_workspace_is_unknown),
		cmocka_unit_test(identifier_of_an_ended_foreign_job_is_refused),
		cmocka_unit_test(changed_wave_is_followed),
		cmocka_unit_test(servers_of_a_kind_come_to_its_jobs),
		cmocka_unit_test(late_write_does_not_undo_a_wave),
		cmocka_unit_test(slow_link_delays_the_owner_only),
		cmocka_unit_test(late_replies_renew_the_lease),
		cmocka_unit_test(unsettled_pool_keeps_its_hosts),
		cmocka_unit_test(unknown_server_is_not_maintained),
		cmocka_unit_test(stray_runs_count_against_the_limit),
		cmocka_unit_test(run_of_an_ended_job_may_hang),
		cmocka_unit_test(late_start_at_work_is_not_stopped),
		cmocka_unit_test(lost_renewals_end_no_lease),
		cmocka_unit_test(long_names_are_served),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
