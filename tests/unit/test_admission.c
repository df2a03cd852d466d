#include "unit.h"

#include "../../src/node/admission.h"
#include "../world/world.h"

/* Tests of refusals by forecast: the decision, and the whole path to a refusal.
 */

/* Objective 2,600 ms, so a job of 1 s can wait 6,800 ms at most. */
static const struct site_terms terms = { .stretch = 2, .target_ms = 600 };
#define WAIT_MAX_MS 6800

struct fixture {
	struct admission *admission;
	struct batch_spec *spec; /* one step of tasks of 1 s on 4 cores */
	int64_t unix_ms;
};

static void setup(struct fixture *f)
{
	f->admission = admission_create(5);
	f->spec = batch_spec_create(1);
	f->spec->steps[0].count = 8;
	f->spec->steps[0].need.cpu = 4000;
	f->spec->steps[0].estimate_ms = 1000;
	f->unix_ms = 1000000;
}

static void teardown(struct fixture *f)
{
	admission_destroy(f->admission);
	batch_spec_destroy(f->spec);
}

static void publish(struct fixture *f, int64_t ahead_ms, int64_t free_cpu)
{
	const struct drain_summary summary = { ahead_ms, free_cpu };

	admission_begin(f->admission, f->unix_ms);
	admission_add(f->admission, "q", &summary);
}

static int64_t ask(struct fixture *f)
{
	return admission_refuse_ms(f->admission, "q", f->spec, &terms,
				   f->unix_ms);
}

/*
 * A pool gets five times the work that it can do for 20 s, in a fluid model
 * with a summary each 0.8 s. Guards against work that is accepted and never
 * useful: what waits stays below the bound and one interval's arrivals. Guards
 * against refusals that outlast the burst, too.
 */
static void overload_is_refused_until_it_ends(void **state)
{
	const double job_ms = 50; /* of the pool's time */
	const int interval_ms = 800;
	double ahead = 0, worst = 0;
	int accepted = 0, refused = 0, late_refusals = 0, at;
	struct fixture f;

	(void)state;
	setup(&f);
	for (at = 0; at < 40000; at += 10, f.unix_ms += 10) {
		ahead = MAX(ahead - 10, 0);
		if (at % interval_ms == 0)
			publish(&f, (int64_t)ahead, ahead > 0 ? 0 : 4000);
		if (at >= 20000 && at % 100)
			continue; /* then a tenth: half of what it can do */
		if (ask(&f)) {
			refused++;
			late_refusals += at > 24000;
			continue;
		}
		accepted++;
		ahead += job_ms;
		worst = MAX(worst, ahead);
	}
	assert_in_range(worst, WAIT_MAX_MS, WAIT_MAX_MS + 5 * interval_ms);
	assert_true(refused > 1000);
	assert_true(accepted > 400);
	assert_int_equal(late_refusals, 0);
	teardown(&f);
}

/* Guards against refusals by an owner that is gone, or a clock that differs. */
static void old_summary_refuses_nothing(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	publish(&f, 60000, 0);
	assert_true(ask(&f) > 0);
	f.unix_ms += 2600;
	assert_int_equal(ask(&f), 0);
	f.unix_ms -= 5300;
	assert_int_equal(ask(&f), 0);
	f.unix_ms += 2700;
	admission_begin(f.admission, f.unix_ms);
	assert_int_equal(ask(&f), 0);
	teardown(&f);
}

/* Guards against refused jobs that could start, or whose end is not known. */
static void useful_jobs_are_accepted(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	publish(&f, 60000, 4000);
	assert_int_equal(ask(&f), 0);
	publish(&f, WAIT_MAX_MS, 0);
	assert_int_equal(ask(&f), 0);
	publish(&f, 60000, 0);
	f.spec->steps[0].is_long_running = true;
	assert_int_equal(ask(&f), 0);
	f.spec->steps[0].is_long_running = false;
	f.spec->start_unix_ms = 1;
	assert_int_equal(ask(&f), 0);
	f.spec->start_unix_ms = 0;
	f.spec->steps[0].estimate_ms = 0;
	assert_int_equal(ask(&f), 0);
	teardown(&f);
}

/* Guards against entries that switch with each summary near the bound. */
static void refusals_have_hysteresis(void **state)
{
	struct fixture f;

	(void)state;
	setup(&f);
	publish(&f, WAIT_MAX_MS + 10, 0);
	assert_true(ask(&f) > 0);
	publish(&f, WAIT_MAX_MS - 10, 0);
	assert_true(ask(&f) > 0);
	publish(&f, WAIT_MAX_MS * 7 / 10, 0);
	assert_int_equal(ask(&f), 0);
	publish(&f, WAIT_MAX_MS - 10, 0);
	assert_int_equal(ask(&f), 0);
	teardown(&f);
}

/*
 * Guards against callers that come again all at once, or before there is room:
 * with 3 s too much ahead, from 3 to 6 s, equally many in each third.
 */
static void return_times_are_spread(void **state)
{
	int thirds[3] = { 0 }, i;
	struct fixture f;

	(void)state;
	setup(&f);
	publish(&f, WAIT_MAX_MS + 3000, 0);
	for (i = 0; i < 3000; i++) {
		int64_t ms = ask(&f);

		assert_in_range(ms, 3000, 6000);
		thirds[MIN((ms - 3000) / 1000, 2)]++;
	}
	for (i = 0; i < 3; i++)
		assert_in_range(thirds[i], 900, 1100);
	teardown(&f);
}

/* Two servers, which one job keeps busy for half a second. */
static const struct world_job job_4x8 = { .steps = 1,
					  .width = 8,
					  .work_ms = 1000,
					  .cpu = 4000,
					  .unavailable_max = -1 };

static struct world *make_world(bool has_admission)
{
	const struct world_options options = {
		.seed = 3,
		.nodes = 3,
		.servers = 2,
		.pools = 1,
		.policy = { .has_admission = has_admission }
	};
	struct world *w = world_create(&options);

	world_run(w, 3000);
	return w;
}

static void overload(struct world *w)
{
	int i;

	for (i = 0; i < 60; i++)
		world_submit(w, i % 3, &job_4x8);
	world_run(w, 1700);
}

static void end_world(struct world *w)
{
	if (world_violation(w))
		fail_msg("%s", world_violation(w));
	world_destroy(w);
}

/*
 * A refused job has not run, and runs once it is accepted later under the same
 * identifier. A job that is known is not refused. Without the setting, nothing
 * is.
 */
static void refused_job_runs_when_it_is_accepted(void **state)
{
	struct world *w = make_world(true);
	int job;

	(void)state;
	overload(w);
	world_resubmit(w, 1, 59);
	job = world_submit(w, 2, &job_4x8);
	world_run(w, 100);
	assert_int_equal(world_answer(w, 59), WORLD_ACCEPTED);
	assert_int_equal(world_retry_after_ms(w, 59), 0);
	assert_int_equal(world_answer(w, job), WORLD_REFUSED);
	assert_in_range(world_retry_after_ms(w, job), 1000, 10000);
	world_run(w, 40000);
	assert_int_equal(world_job_starts(w, job), 0);
	world_resubmit(w, 0, job);
	world_run(w, 3000);
	assert_int_equal(world_answer(w, job), WORLD_ACCEPTED);
	assert_true(world_job_is_done(w, job));
	assert_int_equal(world_job_starts(w, job), 8);
	end_world(w);
	w = make_world(false);
	overload(w);
	job = world_submit(w, 2, &job_4x8);
	world_run(w, 100);
	assert_int_equal(world_answer(w, job), WORLD_ACCEPTED);
	end_world(w);
}

/*
 * Guards against a job that runs after its refusal: the write of its first
 * submission got no reply and is carried out after the refusal.
 */
static void late_write_of_a_refused_job_does_not_run(void **state)
{
	int refused = 0, i;

	(void)state;
	for (i = 0; i < 10; i++) {
		struct world *w = make_world(true);
		int job;

		world_run(w, 37 * (int64_t)i);
		world_store_set_lost_replies(w, 1000, true);
		job = world_submit(w, 0, &job_4x8);
		world_run(w, 20);
		world_store_set_lost_replies(w, 0, false);
		overload(w);
		world_resubmit(w, 1, job);
		world_run(w, 500);
		if (world_retry_after_ms(w, job)) {
			refused++;
			world_run(w, 40000);
			assert_int_equal(world_job_starts(w, job), 0);
		}
		end_world(w);
	}
	assert_true(refused > 0);
}

/* Guards against an entry that ends, or refuses, by what another writer left.
 */
static void odd_summary_is_ignored(void **state)
{
	static const char *const values[] = {
		"@1 at=99999999999999999999\n@1 queue=queue0 ahead_ms=1e9 "
		"free_cpu=0\n",
		"@1 queue=queue0 ahead_ms=-5 free_cpu=0\n",
		"@1 at=1\n@1 queue=queue0 ahead_ms=99999999999999999999 "
		"free_cpu=99999999999999999999\n",
		"@1 queue=\n@1 at=\n@1 \n@2 queue=queue0 x=1\nqueue0 1 -1\n",
		"@1 queue=queue0\n\n\n \n",
	};
	guint i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(values); i++) {
		struct world *w = make_world(true);
		int job;

		world_store_put(w, "camphorshed/control/queues", values[i]);
		world_run(w, 100);
		job = world_submit(w, 1, &job_4x8);
		world_run(w, 4000);
		assert_int_equal(world_answer(w, job), WORLD_ACCEPTED);
		assert_true(world_job_is_done(w, job));
		end_world(w);
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(overload_is_refused_until_it_ends),
		cmocka_unit_test(old_summary_refuses_nothing),
		cmocka_unit_test(useful_jobs_are_accepted),
		cmocka_unit_test(refusals_have_hysteresis),
		cmocka_unit_test(return_times_are_spread),
		cmocka_unit_test(refused_job_runs_when_it_is_accepted),
		cmocka_unit_test(late_write_of_a_refused_job_does_not_run),
		cmocka_unit_test(odd_summary_is_ignored),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
