#include "unit.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#include "../../src/base/error.h"
#include "../../src/sched/learn/run_time_model.h"
#include "../../src/sched/learn/run_times_codec.h"
#include "../world/world.h"

/* Predictions of run times, replayed from loads without servers or clocks. */

/* A log-normal random value with the given median and deviation. */
static double random_time(GRand *rng, double median, double deviation)
{
	double u = 1.0 - g_rand_double(rng), v = g_rand_double(rng);

	return median *
	       exp(deviation * sqrt(-2.0 * log(u)) * cos(2.0 * G_PI * v));
}

/* One run of a load. */
struct sample {
	struct run_times_key key;
	int64_t ran_ms;
	bool is_counted; /* its error is */
};

typedef struct sample (*load_fn)(GRand *rng, int i);

static const char *workspace_name(int i)
{
	static char names[20][8];

	g_snprintf(names[i], sizeof(names[i]), "w%d", i);
	return names[i];
}

static struct sample make_sample(const char *workspace, double hint, double ran)
{
	struct sample p = { .key = { .queue = "q",
				     .workspace = workspace,
				     .cpu = 1000,
				     .hint_ms = (int64_t)hint },
			    .ran_ms = (int64_t)ran + 1,
			    .is_counted = true };

	return p;
}

static struct sample off_by_ten(GRand *rng, int i)
{
	double ran = random_time(rng, 1000, 0.5);
	double factor = g_rand_boolean(rng) ? 10 : 0.1;

	return make_sample(workspace_name(i % 20), ran * factor, ran);
}

/* Each workspace is off by ten in its own direction. */
static struct sample off_by_workspace(GRand *rng, int i)
{
	double ran = random_time(rng, 1000, 0.8);

	return make_sample(workspace_name(i % 20),
			   ran * (i % 2 ? 10 : 0.1) * random_time(rng, 1, 0.2),
			   ran);
}

static struct sample two_sizes(GRand *rng, int i)
{
	bool is_large = g_rand_boolean(rng);
	struct sample p =
		make_sample(workspace_name(i % 20), random_time(rng, 1000, 0.3),
			    random_time(rng, is_large ? 5000 : 200, 0.2));

	p.key.cpu = is_large ? 16000 : 500;
	return p;
}

static struct sample two_steps(GRand *rng, int i)
{
	struct sample p =
		make_sample(workspace_name(i % 20), 0,
			    random_time(rng, i % 2 ? 4000 : 250, 0.3));

	p.key.step = i % 2;
	p.key.hint_ms = 1000;
	return p;
}

/* Jobs of 16 tasks that are alike, while hints and jobs vary. */
static struct sample alike_in_job(GRand *rng, int i)
{
	static double job_time, job_hint;
	static char id[17];
	struct sample p;

	if (i % 16 == 0) {
		job_time = random_time(rng, 1000, 0.5);
		job_hint = job_time * random_time(rng, 1, 0.9);
		g_snprintf(id, sizeof(id), "%016x", i);
	}
	p = make_sample(workspace_name(i / 16 % 20), job_hint,
			random_time(rng, job_time, 0.15));
	p.key.job = id;
	p.is_counted = i % 16 >= 4;
	return p;
}

static struct sample no_hints(GRand *rng, int i)
{
	return make_sample(workspace_name(i % 20), 0,
			   random_time(rng, i % 20 < 10 ? 200 : 3000, 0.3));
}

static int compare_doubles(gconstpointer a, gconstpointer b)
{
	const double *x = a, *y = b;

	return *x < *y ? -1 : *x > *y;
}

static double median_of(GArray *errors)
{
	g_array_sort(errors, compare_doubles);
	return g_array_index(errors, double, errors->len / 2);
}

#define RUNS 4000

/* Replays a load; returns the median error of the logarithm after warming up.
 */
static double replay(const struct run_time_model_ops *ops, load_fn load)
{
	struct run_time_model *m = run_time_model_create(ops);
	GArray *errors = g_array_new(FALSE, FALSE, sizeof(double));
	GRand *rng = g_rand_new_with_seed(11);
	double result;
	int i;

	for (i = 0; i < RUNS; i++) {
		struct sample p = load(rng, i);
		int64_t median = run_time_model_predict(m, &p.key).median_ms;
		double error = fabs(log((double)MAX(median, 1)) -
				    log((double)p.ran_ms));

		if (i >= RUNS / 4 && p.is_counted)
			g_array_append_val(errors, error);
		run_time_model_record(m, &p.key, p.ran_ms, false, 1);
	}
	result = median_of(errors);
	g_array_free(errors, TRUE);
	g_rand_free(rng);
	run_time_model_destroy(m);
	return result;
}

/*
 * The target: the median error is half of the hint's at most, and no worse
 * than that of one line for each queue.
 */
static void error_is_half_of_the_hints(void **state)
{
	static const struct {
		const char *name;
		load_fn load;
	} loads[] = { { "off by ten", off_by_ten },
		      { "off by ten by workspace", off_by_workspace },
		      { "two sizes", two_sizes },
		      { "two steps", two_steps },
		      { "alike in a job", alike_in_job },
		      { "no hints", no_hints } };
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(loads); i++) {
		double hint = replay(&run_time_model_hint, loads[i].load);
		double line = replay(&run_time_model_line, loads[i].load);
		double learned = replay(&run_time_model_learned, loads[i].load);

		print_message("%s: hint %.3f line %.3f learned %.3f\n",
			      loads[i].name, hint, line, learned);
		assert_true(learned <= hint / 2);
		assert_true(learned <= line * 1.02);
	}
}

enum lie { LIE_NONE, LIE_ZERO, LIE_HUGE, LIE_CONSTANT, LIE_RANDOM, LIES };

/* Hints of one workspace, which has two of five runs. */
static int64_t lie(enum lie lie, GRand *rng, double ran)
{
	switch (lie) {
	case LIE_ZERO:
		return 0;
	case LIE_HUGE:
		return INT64_MAX;
	case LIE_CONSTANT:
		return 1;
	case LIE_RANDOM:
		return (int64_t)exp(g_rand_double_range(rng, 0, 18));
	default:
		return (int64_t)ran;
	}
}

/* Median error of the other workspaces; *own_error: of the one that lies. */
static double error_beside(enum lie kind, double *own_error)
{
	struct run_times *t = run_times_create();
	GArray *errors = g_array_new(FALSE, FALSE, sizeof(double));
	GArray *own = g_array_new(FALSE, FALSE, sizeof(double));
	GRand *rng = g_rand_new_with_seed(12), *lies = g_rand_new_with_seed(13);
	double result;
	int i;

	for (i = 0; i < RUNS; i++) {
		double ran = random_time(rng, 1000, 0.8), error;
		bool is_liar = i % 5 < 2;
		struct sample p =
			make_sample(is_liar ? "liar" : workspace_name(i % 20),
				    ran * random_time(rng, 1, 0.3), ran);

		if (is_liar)
			p.key.hint_ms = lie(kind, lies, ran);
		error = fabs(
			log((double)run_times_predict(t, &p.key).median_ms +
			    0.5) -
			log((double)p.ran_ms));
		if (i >= RUNS / 4)
			g_array_append_val(is_liar ? own : errors, error);
		run_times_record(t, &p.key, p.ran_ms, false, 1);
	}
	result = median_of(errors);
	*own_error = median_of(own);
	g_array_free(errors, TRUE);
	g_array_free(own, TRUE);
	g_rand_free(rng);
	g_rand_free(lies);
	run_times_destroy(t);
	return result;
}

/* Guards against one workspace's hints spoiling the predictions of others. */
static void lies_stay_in_their_workspace(void **state)
{
	double own, honest = error_beside(LIE_NONE, &own);
	int kind;

	(void)state;
	for (kind = LIE_ZERO; kind < LIES; kind++) {
		double error = error_beside((enum lie)kind, &own);

		print_message("lie %d: others %.3f (%.3f), own %.3f\n", kind,
			      error, honest, own);
		assert_true(error <= honest * 1.1);
		/* Without a hint that says something, the spread is left: 0.67
		 * deviations, and a tenth for the fit. */
		assert_true(own <= 0.8 * 0.67 * 1.1 + 0.05);
	}
}

/* Guards against predictions that keep to what was true long ago. */
static void drift_is_followed(void **state)
{
	struct run_times *t = run_times_create();
	GRand *rng = g_rand_new_with_seed(14);
	struct run_times_prediction p;
	struct sample q = { 0 };
	int i;

	(void)state;
	for (i = 0; i < 3000; i++) {
		double ran = random_time(rng, i < 2000 ? 500 : 2000, 0.3);

		q = make_sample(workspace_name(i % 5), 500, ran);
		run_times_record(t, &q.key, q.ran_ms, false, 1);
		if (i == 1999 || i == 2600) {
			p = run_times_predict(t, &q.key);
			print_message("after %d: %d ms\n", i, (int)p.median_ms);
			assert_in_range(p.median_ms, i < 2000 ? 400 : 1600,
					i < 2000 ? 600 : 2400);
		}
	}
	run_times_destroy(t);
	g_rand_free(rng);
}

/*
 * Runs that are stopped at random times, more often the long ones, must not
 * make their tasks look short, and early stops must not change anything.
 */
static void censored_runs_are_lower_bounds(void **state)
{
	struct run_times *t = run_times_create();
	GRand *rng = g_rand_new_with_seed(15);
	struct run_times_prediction before, p;
	struct sample q = { 0 };
	int i;

	(void)state;
	for (i = 0; i < 3000; i++) {
		double ran = random_time(rng, 1000, 0.6);
		double stop = g_rand_double_range(rng, 0, 3000);

		q = make_sample("w", 1000, MIN(ran, stop));
		run_times_record(t, &q.key, q.ran_ms, stop < ran, 1);
	}
	before = run_times_predict(t, &q.key);
	print_message("censored: %d ms\n", (int)before.median_ms);
	assert_in_range(before.median_ms, 850, 1250);
	assert_true(before.p90_ms > before.mean_ms);
	assert_true(before.mean_ms > before.median_ms);
	for (i = 0; i < 1000; i++)
		run_times_record(t, &q.key, 50, true, 1);
	p = run_times_predict(t, &q.key);
	assert_int_equal(p.median_ms, before.median_ms);
	/* Runs that go on for longer than predicted say something. */
	for (i = 0; i < 100; i++)
		run_times_record(t, &q.key, 5000, true, 1);
	p = run_times_predict(t, &q.key);
	assert_true(p.median_ms > 3000);
	run_times_destroy(t);
	g_rand_free(rng);
}

/* A workspace without runs gets the wider groups' prediction. */
static void sparse_groups_fall_back(void **state)
{
	struct run_times *t = run_times_create();
	struct sample p = make_sample("w", 1000, 3000);
	struct run_times_key unknown = p.key;
	int64_t wide;
	int i;

	(void)state;
	assert_int_equal(run_times_predict(t, &unknown).median_ms, 1000);
	unknown.hint_ms = 0;
	assert_int_equal(run_times_predict(t, &unknown).median_ms, 0);
	unknown.hint_ms = 1000;
	unknown.workspace = "new";
	for (i = 0; i < 400; i++) {
		p.key.workspace = workspace_name(i % 20);
		run_times_record(t, &p.key, 3000, false, 1);
	}
	wide = run_times_predict(t, &unknown).median_ms;
	assert_in_range(wide, 2800, 3200);
	assert_true(run_times_predict(t, &unknown).weight == 0);
	/* One run of its own moves it, and by less than its weight's part. */
	run_times_record(t, &unknown, 4000, false, 1);
	assert_in_range(run_times_predict(t, &unknown).median_ms, wide + 1,
			3500);
	/* The same work on a server of half the speed. */
	run_times_record(t, &unknown, 6000, false, 0.5);
	assert_in_range(run_times_predict(t, &unknown).median_ms, wide - 1,
			3500);
	unknown.step = 3;
	assert_in_range(run_times_predict(t, &unknown).median_ms, 2700, 3300);
	run_times_destroy(t);
}

/* Guards against memory and a record that grow with the callers. */
static void groups_are_bounded(void **state)
{
	struct run_times *t = run_times_create();
	GBytes *bytes;
	char workspace[16], job[24];
	int i;

	(void)state;
	for (i = 0; i < 20000; i++) {
		struct sample p = make_sample(workspace, 1000, 2000);

		g_snprintf(workspace, sizeof(workspace), "w%d", i);
		g_snprintf(job, sizeof(job), "%016d", i);
		p.key.job = job;
		p.key.step = i % 40;
		run_times_record(t, &p.key, 2000, i % 3 == 0, 1);
	}
	assert_in_range(run_times_count(t), RUN_TIMES_GROUPS_MAX,
			RUN_TIMES_GROUPS_MAX + RUN_TIMES_JOBS_MAX);
	bytes = run_times_encode(t);
	assert_in_range(g_bytes_get_size(bytes), RUN_TIMES_BYTES_MAX / 2,
			RUN_TIMES_BYTES_MAX);
	g_bytes_unref(bytes);
	run_times_destroy(t);
}

/* A table with runs of 20 workspaces. */
static struct run_times *make_table(void)
{
	struct run_times *t = run_times_create();
	GRand *rng = g_rand_new_with_seed(16);
	int i;

	for (i = 0; i < 500; i++) {
		struct sample p = off_by_workspace(rng, i);

		p.key.step = i % 3;
		run_times_record(t, &p.key, p.ran_ms, i % 10 == 0, 1);
	}
	g_rand_free(rng);
	return t;
}

/* A new owner predicts as its predecessor did, but for rounding. */
static void new_owner_goes_on(void **state)
{
	struct run_times *t = make_table(), *next;
	GBytes *bytes = run_times_encode(t);
	GRand *rng = g_rand_new_with_seed(17);
	int i;

	(void)state;
	next = run_times_decode(g_bytes_get_data(bytes, NULL),
				g_bytes_get_size(bytes));
	assert_non_null(next);
	assert_int_equal(run_times_count(next), run_times_count(t));
	for (i = 0; i < 100; i++) {
		struct sample p = off_by_workspace(rng, i);
		double a, b;

		p.key.step = i % 3;
		a = (double)run_times_predict(t, &p.key).p90_ms;
		b = (double)run_times_predict(next, &p.key).p90_ms;
		assert_true(fabs(log(a / b)) < 0.01);
	}
	g_rand_free(rng);
	g_bytes_unref(bytes);
	run_times_destroy(t);
	run_times_destroy(next);
}

/* Decodes bytes, and uses what comes out. Returns true if something did. */
static bool survives(const void *data, size_t size)
{
	struct run_times *t = run_times_decode(data, size);
	struct sample p = make_sample("w3", 700, 900);
	struct run_times_prediction q;
	int i;

	for (i = 0; t && i < 3; i++) {
		q = run_times_predict(t, &p.key);
		assert_true(q.median_ms >= 0 && q.median_ms <= q.p90_ms);
		assert_true(q.mean_ms <= 24LL * 3600 * 1000 * 10);
		run_times_record(t, &p.key, 900, i == 1, 1);
	}
	run_times_destroy(t);
	return t != NULL;
}

/* Records that are cut, changed or foreign are refused or harmless. */
static void bad_records_are_harmless(void **state)
{
	struct run_times *t = make_table();
	GBytes *bytes = run_times_encode(t);
	size_t size = g_bytes_get_size(bytes), i;
	GRand *rng = g_rand_new_with_seed(18);
	uint8_t *data = g_malloc(size + 1);
	uint8_t deep[4000];

	(void)state;
	memcpy(data, g_bytes_get_data(bytes, NULL), size);
	assert_true(survives(data, size));
	assert_false(survives(data, size + 1));
	for (i = 0; i < size; i += UNIT_ROUNDS(1, 7))
		assert_false(survives(data, i));
	for (i = 0; i < (size_t)UNIT_ROUNDS(20000, 1000); i++) {
		size_t at = (size_t)g_rand_int_range(rng, 0, (gint32)size);
		uint8_t old = data[at];

		data[at] = (uint8_t)g_rand_int(rng);
		survives(data, size);
		data[at] = old;
	}
	/* Another name, another format, deep nesting, a huge count. */
	data[5] ^= 1;
	assert_false(survives(data, size));
	data[5] ^= 1;
	data[2 + strlen("camphorshed run times")] = 2;
	assert_false(survives(data, size));
	memset(deep, 0x91, sizeof(deep));
	assert_false(survives(deep, sizeof(deep)));
	/* Guards against 32 GB for elements that are not there. */
	assert_false(survives("\xdd\xff\xff\xff\xff", 5));
	assert_false(survives("\x91\xdf\xff\xff\xff\xff", 6));
	assert_false(survives("", 0));
	g_rand_free(rng);
	g_free(data);
	g_bytes_unref(bytes);
	run_times_destroy(t);
}

/* A tiny weight beside a sum that is not tiny is a mean far out of range. */
static void group_with_mean_out_of_range_is_refused(void **state)
{
	struct run_times *t = run_times_create();
	struct run_times_group g = { .queue = "q", .weight = 1e-20 };

	(void)state;
	g.y = 0.9;
	assert_false(run_times_add_group(t, &g));
	g.y = 0;
	g.xx = 0.9;
	assert_false(run_times_add_group(t, &g));
	g.weight = 1;
	assert_true(run_times_add_group(t, &g));
	run_times_destroy(t);
}

/* A model that keeps nothing refuses a record, and a bad one changes nothing.
 */
static void models_restore_whole_records_only(void **state)
{
	struct run_time_model *line =
		run_time_model_create(&run_time_model_line);
	struct run_time_model *m =
		run_time_model_create(&run_time_model_learned);
	struct sample p = make_sample("w", 1000, 3000);
	int64_t before;
	int i;

	(void)state;
	assert_null(run_time_model_encode(line));
	assert_int_equal(run_time_model_restore(line, "x", 1), CS_ERR_INVALID);
	for (i = 0; i < 50; i++)
		run_time_model_record(m, &p.key, 3000, false, 1);
	before = run_time_model_predict(m, &p.key).median_ms;
	assert_int_equal(run_time_model_restore(m, "x", 1), CS_ERR_INVALID);
	assert_int_equal(run_time_model_predict(m, &p.key).median_ms, before);
	run_time_model_destroy(line);
	run_time_model_destroy(m);
}

static void long_runs_are_told_apart(void **state)
{
	(void)state;
	assert_int_equal(run_time_tail_of(1000, 3000, 3000, 0), RUN_TIME_USUAL);
	assert_int_equal(run_time_tail_of(0, 90000, 90000, 0), RUN_TIME_USUAL);
	assert_int_equal(run_time_tail_of(1000, 4000, 500, 100),
			 RUN_TIME_UNDERESTIMATED);
	assert_int_equal(run_time_tail_of(1000, 5000, 4500, 100),
			 RUN_TIME_STUCK);
	assert_int_equal(run_time_tail_of(1000, 5000, 4500, 2500),
			 RUN_TIME_SILENT);
	assert_string_equal(run_time_ratio_name(100, 1000), "under_third");
	assert_string_equal(run_time_ratio_name(1000, 1000), "close");
	assert_string_equal(run_time_ratio_name(3000, 1000), "over_triple");
	assert_string_equal(run_time_ratio_name(1, 0), "close");
}

#define LEARNED_KEY "camphorshed-learned/run_times"

/* Three entries that learn; some jobs have ended, and a record is stored. */
static struct world *make_learning_world(bool is_on)
{
	const struct world_options options = {
		.seed = 19,
		.nodes = 3,
		.servers = 4,
		.pools = 1,
		.policy = { .has_learned_run_times = is_on }
	};
	const struct world_job job = { .steps = 2,
				       .width = 3,
				       .work_ms = 200,
				       .cpu = 1000,
				       .unavailable_max = -1 };
	struct world *w = world_create(&options);
	int i;

	world_run(w, 3000);
	for (i = 0; i < 20; i++) {
		world_submit(w, 1, &job);
		world_run(w, 300);
	}
	return w;
}

static void end_world(struct world *w)
{
	if (world_violation(w))
		fail_msg("%s", world_violation(w));
	world_destroy(w);
}

/* Kills the owner, and returns the next one. */
static int change_owner(struct world *w)
{
	int owner = world_owner(w);

	assert_in_range(owner, 0, 2);
	world_node_kill(w, owner);
	world_run(w, 4000);
	assert_true(world_owner(w) != owner);
	assert_in_range(world_owner(w), 0, 2);
	return world_owner(w);
}

static void record_outlives_its_owner(void **state)
{
	struct world *w = make_learning_world(true);
	int owner;

	(void)state;
	assert_true(world_store_bytes(w, LEARNED_KEY) > 100);
	owner = change_owner(w);
	assert_int_equal(world_node_counter(w, owner,
					    "camphorshed_learned_reads_total"),
			 1);
	/* A damaged one is ignored, and replaced. */
	world_store_put(w, LEARNED_KEY, "damaged");
	owner = change_owner(w);
	assert_int_equal(
		world_node_counter(w, owner,
				   "camphorshed_unreadable_learned_total"),
		1);
	world_run(w, 10000);
	assert_false(world_store_has(w, LEARNED_KEY, "damaged"));
	assert_in_range(world_store_bytes(w, LEARNED_KEY), 1,
			RUN_TIMES_BYTES_MAX);
	end_world(w);
}

static void nothing_is_stored_with_the_switch_off(void **state)
{
	struct world *w = make_learning_world(false);

	(void)state;
	world_run(w, 20000);
	assert_int_equal(world_store_count(w, LEARNED_KEY), 0);
	end_world(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(error_is_half_of_the_hints),
		cmocka_unit_test(lies_stay_in_their_workspace),
		cmocka_unit_test(drift_is_followed),
		cmocka_unit_test(censored_runs_are_lower_bounds),
		cmocka_unit_test(sparse_groups_fall_back),
		cmocka_unit_test(groups_are_bounded),
		cmocka_unit_test(new_owner_goes_on),
		cmocka_unit_test(bad_records_are_harmless),
		cmocka_unit_test(group_with_mean_out_of_range_is_refused),
		cmocka_unit_test(models_restore_whole_records_only),
		cmocka_unit_test(long_runs_are_told_apart),
		cmocka_unit_test(record_outlives_its_owner),
		cmocka_unit_test(nothing_is_stored_with_the_switch_off),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
