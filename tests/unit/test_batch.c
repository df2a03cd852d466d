#include "unit.h"

#include <string.h>

#include "../../src/batch/batch.h"
#include "../../src/batch/batch_codec.h"

/* A batch of two steps with two tasks each; the second depends on the first. */
static struct batch *make_batch(void)
{
	struct batch_spec *spec = batch_spec_create(2);
	struct batch *b;
	int i;

	for (i = 0; i < 2; i++) {
		spec->steps[i].count = 2;
		spec->steps[i].need.cpu = 500;
		spec->steps[i].estimate_ms = 100;
	}
	spec->steps[1].after = g_new0(int, 1);
	spec->steps[1].after_nr = 1;
	spec->payload = g_strdup("work");
	assert_int_equal(batch_spec_check(spec, NULL), CS_OK);
	b = batch_create("0123456789abcdef", "queue", "desk", 1000, spec);
	batch_open_occurrence(b, 0);
	return b;
}

static void finish(struct batch *b, int step, int index)
{
	struct batch_task *t = batch_task_row(b, 0, step, index);

	batch_task_started(b, t, t->run + 1);
	batch_task_ended(b, 0, step, t, t->run, BATCH_END_DONE, NULL, 3);
}

/* A step must not be ready before all tasks of its predecessor are done. */
static void steps_wait_for_each_other(void **state)
{
	struct batch *b = make_batch();

	(void)state;
	assert_true(batch_step_is_ready(b, 0, 0));
	finish(b, 0, 0);
	assert_false(batch_step_is_ready(b, 0, 1));
	finish(b, 0, 1);
	assert_true(batch_step_is_ready(b, 0, 1));
	finish(b, 1, 0);
	assert_int_equal(b->state, BATCH_RUNNING);
	finish(b, 1, 1);
	assert_int_equal(b->state, BATCH_DONE);
	batch_destroy(b);
}

/*
 * A new owner learns of ends from servers in any order. The failure of an
 * earlier run that was reported after that of a later one used not to be
 * counted, so the task was started once more than allowed.
 */
static void failures_count_in_any_order(void **state)
{
	struct batch *b = make_batch();
	struct batch_task *t = batch_task_row(b, 0, 0, 0);

	(void)state;
	assert_true(batch_task_ended(b, 0, 0, t, 2, BATCH_END_FAILED, "", 2));
	assert_int_equal(b->state, BATCH_RUNNING);
	assert_true(batch_task_ended(b, 0, 0, t, 1, BATCH_END_FAILED, "", 2));
	assert_int_equal(b->state, BATCH_FAILED);
	batch_destroy(b);
}

/* Servers report an end until it is acknowledged; it must count once. */
static void repeated_end_counts_once(void **state)
{
	struct batch *b = make_batch();
	struct batch_task *t = batch_task_row(b, 0, 0, 0);
	int i;

	(void)state;
	batch_task_started(b, t, 1);
	for (i = 0; i < 5; i++)
		batch_task_ended(b, 0, 0, t, 1, BATCH_END_FAILED, "", 2);
	assert_int_equal(b->state, BATCH_RUNNING);
	assert_int_equal(t->failures, 1);
	batch_destroy(b);
}

/* The end of an earlier run must not end a later one that is running. */
static void earlier_end_does_not_end_the_current_run(void **state)
{
	struct batch *b = make_batch();
	struct batch_task *t = batch_task_row(b, 0, 0, 0);

	(void)state;
	batch_task_started(b, t, 1);
	batch_task_ended(b, 0, 0, t, 1, BATCH_END_LOST, NULL, 3);
	batch_task_started(b, t, 2);
	batch_task_ended(b, 0, 0, t, 1, BATCH_END_STOPPED, "x", 3);
	assert_int_equal(t->state, BATCH_TASK_RUNNING);
	assert_int_equal(b->running, 1);
	batch_task_ended(b, 0, 0, t, 1, BATCH_END_DONE, NULL, 3);
	assert_int_equal(t->state, BATCH_TASK_DONE);
	assert_int_equal(b->running, 0);
	batch_destroy(b);
}

/* When the first member of a gang is done, all its members must be. */
static void gang_ends_together(void **state)
{
	struct batch_spec *spec = batch_spec_create(1);
	struct batch *b;

	(void)state;
	spec->steps[0].count = 3;
	spec->steps[0].is_gang = true;
	b = batch_create("0123456789abcdef", "queue", "", 0, spec);
	batch_open_occurrence(b, 0);
	batch_task_started(b, batch_task_row(b, 0, 0, 0), 1);
	batch_task_started(b, batch_task_row(b, 0, 0, 1), 1);
	batch_task_started(b, batch_task_row(b, 0, 0, 2), 1);
	batch_task_ended(b, 0, 0, batch_task_row(b, 0, 0, 1), 1, BATCH_END_DONE,
			 NULL, 3);
	assert_int_equal(b->state, BATCH_DONE);
	assert_int_equal(b->running, 0);
	batch_destroy(b);
}

/*
 * Guards against members of a gang that start from different checkpoints: the
 * ends of their last runs reported different ones, or none.
 */
static void gang_starts_from_one_checkpoint(void **state)
{
	struct batch_spec *spec = batch_spec_create(1);
	struct batch *b;
	int i;

	(void)state;
	spec->steps[0].count = 3;
	spec->steps[0].is_gang = true;
	b = batch_create("0123456789abcdef", "queue", "", 0, spec);
	batch_open_occurrence(b, 0);
	batch_share_gang_checkpoint(b, 0, 0);
	assert_null(batch_find_task(b, 0, 0, 0)->checkpoint);
	for (i = 0; i < 3; i++)
		batch_task_row(b, 0, 0, i)->run = i == 1 ? 9 : 8;
	batch_task_set_checkpoint(b, batch_task_row(b, 0, 0, 0), "earlier");
	batch_task_set_checkpoint(b, batch_task_row(b, 0, 0, 1), "later");
	batch_share_gang_checkpoint(b, 0, 0);
	for (i = 0; i < 3; i++)
		assert_string_equal(batch_find_task(b, 0, 0, i)->checkpoint,
				    "later");
	batch_destroy(b);
}

/*
 * Guards against a job that is shown as running, and not counted as pending,
 * after its first start was refused.
 */
static void refused_start_leaves_the_job_queued(void **state)
{
	struct batch *b = make_batch();
	struct batch_task *t = batch_task_row(b, 0, 0, 0);
	struct batch_task *other = batch_task_row(b, 0, 0, 1);
	uint32_t version;

	(void)state;
	batch_task_started(b, t, 1);
	batch_task_started(b, other, 1);
	assert_int_equal(b->state, BATCH_RUNNING);
	batch_task_undo_start(b, t);
	assert_int_equal(b->state, BATCH_RUNNING);
	version = b->version;
	batch_task_undo_start(b, other);
	assert_int_equal(b->state, BATCH_QUEUED);
	assert_int_not_equal(b->version, version);
	assert_int_equal(t->run, 1);
	/* Once a run has ended, a refused start changes nothing. */
	batch_task_started(b, t, 2);
	batch_task_ended(b, 0, 0, t, 2, BATCH_END_LOST, NULL, 3);
	batch_task_started(b, t, 3);
	batch_task_undo_start(b, t);
	assert_int_equal(b->state, BATCH_RUNNING);
	assert_int_equal(b->running, 0);
	batch_destroy(b);
}

/* Steps in a cycle would never start. Counts and numbers must be in range. */
static void invalid_jobs_are_refused(void **state)
{
	struct batch_spec *spec = batch_spec_create(2);
	struct cs_error err;

	(void)state;
	spec->steps[0].count = spec->steps[1].count = 1;
	spec->steps[0].after = g_new0(int, 1);
	spec->steps[0].after[0] = 1;
	spec->steps[0].after_nr = 1;
	spec->steps[1].after = g_new0(int, 1);
	spec->steps[1].after_nr = 1;
	assert_int_equal(batch_spec_check(spec, &err), CS_ERR_INVALID);
	assert_non_null(strstr(err.message, "cycle"));
	spec->steps[0].after_nr = 0;
	assert_int_equal(batch_spec_check(spec, &err), CS_OK);
	spec->steps[1].after[0] = 7;
	assert_int_equal(batch_spec_check(spec, &err), CS_ERR_INVALID);
	spec->steps[1].after_nr = 0;
	spec->steps[1].count = 0;
	assert_int_equal(batch_spec_check(spec, &err), CS_ERR_INVALID);
	batch_spec_destroy(spec);
	assert_false(batch_id_is_valid("0123456789abcde"));
	assert_false(batch_id_is_valid("0123456789abcdefa"));
	assert_false(batch_id_is_valid("0123456789abcdeg"));
}

/* A new owner must decode all the state that its predecessor stored. */
static void stored_encoding_is_complete(void **state)
{
	struct batch *b = make_batch(), *c;
	struct batch_task *t;
	enum batch_state decoded_state;
	char workspace[SITE_NAME_MAX];
	GBytes *submission, *progress;

	(void)state;
	finish(b, 0, 0);
	t = batch_task_row(b, 0, 0, 1);
	batch_task_started(b, t, 4);
	batch_task_ended(b, 0, 0, t, 4, BATCH_END_FAILED, "saved", 3);
	b->terms = (struct site_terms){ .pool = "old",
					.priority = -1,
					.attempts_max = 4,
					.stretch = 1.6,
					.target_ms = 600,
					.advice = { 5, 6, 7 } };
	b->limit = (struct site_resources){ 8000, 9, 1 };
	assert_true(batch_begin(b, "old"));
	assert_true(batch_begin(b, "new"));
	assert_false(batch_begin(b, "old"));
	submission = batch_encode_submission(b);
	progress = batch_encode_progress(b);
	c = batch_decode_submission(g_bytes_get_data(submission, NULL),
				    g_bytes_get_size(submission));
	assert_non_null(c);
	assert_string_equal(c->id, b->id);
	assert_string_equal(c->workspace, "desk");
	assert_string_equal(c->spec->payload, "work");
	assert_int_equal(c->spec->steps[1].after_nr, 1);
	assert_int_equal(batch_decode_progress(c,
					       g_bytes_get_data(progress, NULL),
					       g_bytes_get_size(progress)),
			 CS_OK);
	assert_int_equal(batch_find_task(c, 0, 0, 0)->state, BATCH_TASK_DONE);
	t = batch_task_row(c, 0, 0, 1);
	assert_int_equal(t->run, 4);
	assert_int_equal(t->failures, 1);
	assert_string_equal(t->checkpoint, "saved");
	assert_true(c->has_terms);
	assert_memory_equal(&c->terms, &b->terms, sizeof(b->terms));
	assert_memory_equal(&c->limit, &b->limit, sizeof(b->limit));
	assert_true(batch_may_run_in(c, "old"));
	assert_true(batch_may_run_in(c, "new"));
	assert_false(batch_may_run_in(c, "other"));
	/* The same failure, reported again to the new owner, counts once. */
	assert_false(batch_task_ended(c, 0, 0, t, 4, BATCH_END_FAILED, "", 3));
	assert_int_equal(batch_decode_state(g_bytes_get_data(progress, NULL),
					    g_bytes_get_size(progress),
					    &decoded_state, workspace),
			 CS_OK);
	assert_int_equal(decoded_state, BATCH_RUNNING);
	assert_string_equal(workspace, "desk");
	g_bytes_unref(submission);
	g_bytes_unref(progress);
	batch_destroy(b);
	batch_destroy(c);
}

/*
 * Decoding must not crash on truncated or changed bytes. Both decoders get all
 * prefixes of both encodings. The decoder of submissions also gets every single
 * bit flip, that of progress one change of each byte.
 */
static void damaged_bytes_never_crash(void **state)
{
	struct batch *b = make_batch();
	GBytes *encodings[2];
	int which;

	(void)state;
	finish(b, 0, 0);
	encodings[0] = batch_encode_submission(b);
	encodings[1] = batch_encode_progress(b);
	for (which = 0; which < 2; which++) {
		gsize size, i;
		const guint8 *data = g_bytes_get_data(encodings[which], &size);
		guint8 *copy = g_memdup2(data, size);

		for (i = 0; i < size; i++) {
			struct batch *c = make_batch();
			int bit;

			for (bit = 0; bit < 8; bit++) {
				copy[i] = data[i] ^ (guint8)(1 << bit);
				batch_destroy(
					batch_decode_submission(copy, size));
			}
			copy[i] ^= 0x55;
			(void)batch_decode_progress(c, copy, size);
			copy[i] = data[i];
			batch_destroy(c);
			c = make_batch();
			(void)batch_decode_progress(c, data, i);
			batch_destroy(c);
			batch_destroy(batch_decode_submission(data, i));
		}
		g_free(copy);
		g_bytes_unref(encodings[which]);
	}
	batch_destroy(b);
}

/*
 * Progress of an earlier version names no pools: tasks may run in any. Guards
 * against an upgrade that loses jobs.
 */
static void progress_without_pools_is_read(void **state)
{
	struct batch *b = make_batch(), *c = make_batch();
	GBytes *progress;
	uint8_t *data;
	gsize size;

	(void)state;
	finish(b, 0, 0);
	progress = batch_encode_progress(b);
	data = g_bytes_unref_to_data(progress, &size);
	/* An array of five, of which only three are taken. */
	assert_int_equal(data[0], 0x95);
	data[0] = 0x93;
	assert_int_equal(batch_decode_progress(c, data, size), CS_OK);
	assert_int_equal(batch_find_task(c, 0, 0, 0)->state, BATCH_TASK_DONE);
	assert_null(c->pools);
	g_free(data);
	batch_destroy(b);
	batch_destroy(c);
}

/*
 * Guards against a job whose first start waits for a record that was stored
 * with its submission.
 */
static void submission_keeps_its_pools(void **state)
{
	struct batch *b = make_batch(), *c;
	GBytes *submission;

	(void)state;
	batch_begin(b, "north");
	b->begun_owner = 12;
	submission = batch_encode_submission(b);
	c = batch_decode_submission(g_bytes_get_data(submission, NULL),
				    g_bytes_get_size(submission));
	assert_non_null(c->pools);
	assert_int_equal(c->pools->len, 1);
	assert_int_equal(c->begun_owner, 12);
	assert_true(batch_may_run_in(c, "north"));
	assert_false(batch_may_run_in(c, "south"));
	g_bytes_unref(submission);
	batch_destroy(b);
	batch_destroy(c);
}

/*
 * The same for a submission without terms or without a limit, and for damaged
 * ones.
 */
static void submission_without_terms_is_read(void **state)
{
	/*
	 * The terms end with a 0, the limit is an array of three, the one of
	 * the pools is empty, and no owner is named.
	 */
	static const uint8_t tail[] = { 0, 0x93, 3, 0, 0, 0x90, 0 };
	struct batch *b = make_batch(), *c;
	GBytes *submission;
	uint8_t *data, *end;
	gsize size;

	(void)state;
	b->limit.cpu = 3;
	submission = batch_encode_submission(b);
	data = g_bytes_unref_to_data(submission, &size);
	end = data + size - sizeof(tail);
	c = batch_decode_submission(data, size);
	assert_true(c->has_terms);
	assert_int_equal(c->limit.cpu, 3);
	batch_destroy(c);
	assert_memory_equal(end, tail, sizeof(tail));
	end[3] = 0xc0; /* nil */
	c = batch_decode_submission(data, size);
	assert_true(c->has_terms);
	assert_int_equal(c->limit.cpu, 0);
	batch_destroy(c);
	end[3] = 0;
	end[0] = 0xc0;
	c = batch_decode_submission(data, size);
	assert_false(c->has_terms);
	assert_int_equal(c->limit.cpu, 3);
	assert_string_equal(c->spec->payload, "work");
	batch_destroy(c);
	end[0] = 0;
	/* Arrays of 12, 11 and 10 elements instead of 14. */
	data[0] -= 2;
	c = batch_decode_submission(data, size);
	assert_true(c->has_terms);
	assert_int_equal(c->limit.cpu, 3);
	batch_destroy(c);
	assert_int_equal(data[0], 0x9c);
	data[0] = 0x9b;
	c = batch_decode_submission(data, size);
	assert_true(c->has_terms);
	assert_int_equal(c->limit.cpu, 0);
	batch_destroy(c);
	data[0] = 0x9a;
	c = batch_decode_submission(data, size);
	assert_false(c->has_terms);
	assert_int_equal(c->limit.cpu, 0);
	batch_destroy(c);
	g_free(data);
	batch_destroy(b);
}

/* Random text of printable characters; the caller frees it. */
static char *random_text(GRand *rng, int len)
{
	char *text = g_malloc((gsize)len + 1);
	int i;

	for (i = 0; i < len; i++)
		text[i] = (char)g_rand_int_range(rng, ' ', '~');
	text[len] = '\0';
	return text;
}

static void check_same_task(const struct batch_task *a,
			    const struct batch_task *b)
{
	int i;

	assert_int_equal(a->state, b->state);
	assert_int_equal(a->run, b->run);
	assert_int_equal(a->ended_run, b->ended_run);
	assert_int_equal(a->failures, b->failures);
	for (i = 0; i < a->failures; i++)
		assert_int_equal(a->failed_runs[i], b->failed_runs[i]);
	assert_true(!g_strcmp0(a->checkpoint, b->checkpoint));
}

/*
 * Whatever progress is accepted can be read again. Guards against a job that is
 * lost with its owner, as its progress was written and can't be read: a
 * checkpoint of more than 4,000 bytes was one.
 */
static void accepted_progress_can_be_read(void **state)
{
	static const int lengths[] = { 0,
				       1,
				       31,
				       32,
				       255,
				       256,
				       3999,
				       4000,
				       4001,
				       65535,
				       BATCH_CHECKPOINT_MAX };
	GRand *rng = g_rand_new_with_seed(5);
	int round, i;

	(void)state;
	for (round = 0; round < 200; round++) {
		struct batch *b = make_batch(), *c = make_batch();
		GBytes *progress;

		for (i = 0; i < b->spec->steps[0].count; i++) {
			struct batch_task *t = batch_task_row(b, 0, 0, i);
			int len = lengths[g_rand_int_range(
				rng, 0, G_N_ELEMENTS(lengths))];
			char *text = random_text(rng, len);
			uint32_t run = g_rand_int(rng);

			t->run = run ? run : UINT32_MAX;
			t->ended_run = g_rand_boolean(rng) ? t->run : 0;
			if (g_rand_boolean(rng))
				batch_task_add_failure(b, t, UINT32_MAX);
			assert_true(batch_task_set_checkpoint(b, t, text));
			g_free(text);
		}
		progress = batch_encode_progress(b);
		assert_int_equal(batch_decode_progress(
					 c, g_bytes_get_data(progress, NULL),
					 g_bytes_get_size(progress)),
				 CS_OK);
		for (i = 0; i < b->spec->steps[0].count; i++)
			check_same_task(batch_find_task(b, 0, 0, i),
					batch_find_task(c, 0, 0, i));
		g_bytes_unref(progress);
		batch_destroy(b);
		batch_destroy(c);
	}
	g_rand_free(rng);
}

/* A checkpoint that is too long is refused; the last one is kept. */
static void long_checkpoint_is_refused(void **state)
{
	struct batch *b = make_batch();
	struct batch_task *t = batch_task_row(b, 0, 0, 0);
	GRand *rng = g_rand_new_with_seed(6);
	char *text = random_text(rng, BATCH_CHECKPOINT_MAX + 1);

	(void)state;
	assert_true(batch_task_set_checkpoint(b, t, "good"));
	assert_false(batch_task_set_checkpoint(b, t, text));
	assert_string_equal(t->checkpoint, "good");
	batch_task_started(b, t, 1);
	batch_task_ended(b, 0, 0, t, 1, BATCH_END_STOPPED, text, 3);
	assert_string_equal(t->checkpoint, "good");
	g_free(text);
	g_rand_free(rng);
	batch_destroy(b);
}

/*
 * The progress of a job fits into one value of the store, whatever its tasks
 * saved. Guards against progress that is written again and again for ever.
 */
static void large_progress_is_bounded(void **state)
{
	struct batch_spec *spec = batch_spec_create(1);
	GRand *rng = g_rand_new_with_seed(7);
	char *text = random_text(rng, 4000);
	struct batch *b, *c;
	GBytes *progress;
	int i;

	(void)state;
	spec->steps[0].count = BATCH_TASKS_MAX;
	spec->payload = g_strdup("");
	b = batch_create("0123456789abcdef", "queue", "", 0, spec);
	batch_open_occurrence(b, 0);
	for (i = 0; i < BATCH_TASKS_MAX; i++) {
		struct batch_task *t = batch_task_row(b, 0, 0, i);

		t->run = t->ended_run = UINT32_MAX - 1;
		batch_task_set_checkpoint(b, t, text);
	}
	progress = batch_encode_progress(b);
	assert_in_range(g_bytes_get_size(progress), 0, 1048576);
	spec = batch_spec_create(1);
	spec->steps[0].count = BATCH_TASKS_MAX;
	c = batch_create("0123456789abcdef", "queue", "", 0, spec);
	assert_int_equal(batch_decode_progress(c,
					       g_bytes_get_data(progress, NULL),
					       g_bytes_get_size(progress)),
			 CS_OK);
	assert_string_equal(batch_find_task(c, 0, 0, 0)->checkpoint, text);
	assert_int_equal(batch_find_task(c, 0, 0, BATCH_TASKS_MAX - 1)->run,
			 UINT32_MAX - 1);
	g_bytes_unref(progress);
	g_free(text);
	g_rand_free(rng);
	batch_destroy(b);
	batch_destroy(c);
}

/* A job of as many tasks and occurrences as are allowed, all due at once. */
static struct batch *make_large_batch(void)
{
	struct batch_spec *spec = batch_spec_create(1);

	spec->steps[0].count = BATCH_TASKS_MAX;
	spec->repeats = BATCH_TASKS_MAX;
	spec->payload = g_strdup("");
	assert_int_equal(batch_spec_check(spec, NULL), CS_OK);
	return batch_create("0123456789abcdef", "queue", "", 0, spec);
}

static int count_rows(const struct batch *b)
{
	int occurrence, i, n = 0;

	for (occurrence = 0; occurrence < b->occurrences_nr; occurrence++)
		for (i = -1; batch_next_row(b, occurrence, &i);)
			n++;
	return n;
}

/*
 * Guards against an owner that holds a row for each task that waits: one small
 * job took 3 GB.
 */
static void waiting_tasks_have_no_rows(void **state)
{
	struct batch *b = make_large_batch();
	struct batch_task *t;
	int i;

	(void)state;
	assert_null(b->occurrences);
	for (i = 0; i < 100; i++)
		batch_open_occurrence(b, i);
	assert_int_equal(batch_occurrences_end(b), 100);
	assert_int_equal(batch_count_waiting(b, 99, 0), BATCH_TASKS_MAX);
	assert_int_equal(batch_count_waiting(b, 100, 0), 0);
	assert_int_equal(batch_find_task(b, 99, 0, 5)->state,
			 BATCH_TASK_WAITING);
	assert_null(batch_find_task(b, 100, 0, 5));
	assert_int_equal(count_rows(b), 0);
	t = batch_task_row(b, 99, 0, 5);
	batch_task_started(b, t, 1);
	assert_int_equal(count_rows(b), BATCH_BLOCK_TASKS);
	assert_int_equal(batch_count_waiting(b, 99, 0), BATCH_TASKS_MAX - 1);
	batch_task_undo_start(b, t);
	assert_int_equal(batch_count_waiting(b, 99, 0), BATCH_TASKS_MAX);
	batch_task_started(b, t, 2);
	batch_task_ended(b, 99, 0, t, 2, BATCH_END_DONE, NULL, 3);
	assert_int_equal(batch_count_waiting(b, 99, 0), BATCH_TASKS_MAX - 1);
	assert_int_equal(batch_count_left(b, 99, 0), BATCH_TASKS_MAX - 1);
	batch_destroy(b);
}

/* Guards against progress whose size grows with occurrences that only wait. */
static void waiting_occurrences_are_not_stored(void **state)
{
	struct batch *b = make_large_batch();
	GBytes *progress = batch_encode_progress(b);

	(void)state;
	assert_in_range(g_bytes_get_size(progress), 1, 64);
	g_bytes_unref(progress);
	batch_destroy(b);
}

static void finish_occurrence(struct batch *b, int occurrence)
{
	int step, i;

	batch_open_occurrence(b, occurrence);
	for (step = 0; step < 2; step++)
		for (i = 0; i < 2; i++) {
			struct batch_task *t =
				batch_task_row(b, occurrence, step, i);

			batch_task_started(b, t, 1);
			batch_task_ended(b, occurrence, step, t, 1,
					 BATCH_END_DONE, NULL, 3);
		}
}

/*
 * Guards against occurrences that are lost or run again when they end in
 * another order than that of their numbers, also with a new owner.
 */
static void occurrences_end_in_any_order(void **state)
{
	static const int order[] = { 1, 3, 0, 2 };
	struct batch *b = make_batch(), *c;
	GBytes *progress;
	int i, k;

	(void)state;
	b->spec->repeats = b->occurrences_nr = 4;
	for (i = 0; i < 4; i++) {
		finish_occurrence(b, order[i]);
		assert_int_equal(b->occurrences_done, i + 1);
		if (i == 3)
			break;
		progress = batch_encode_progress(b);
		c = make_batch();
		c->spec->repeats = c->occurrences_nr = 4;
		assert_int_equal(batch_decode_progress(
					 c, g_bytes_get_data(progress, NULL),
					 g_bytes_get_size(progress)),
				 CS_OK);
		assert_int_equal(c->first_occurrence, b->first_occurrence);
		for (k = 0; k < 4; k++)
			assert_int_equal(batch_occurrence_is_done(c, k),
					 batch_occurrence_is_done(b, k));
		g_bytes_unref(progress);
		batch_destroy(c);
	}
	assert_int_equal(b->state, BATCH_DONE);
	assert_int_equal(b->first_occurrence, 4);
	assert_null(batch_find_task(b, 3, 0, 0));
	batch_destroy(b);
}

/* Guards against due times that are counted beyond the last occurrence. */
static void due_occurrences_are_counted(void **state)
{
	struct batch *b = make_large_batch();

	(void)state;
	b->spec->start_unix_ms = 1000;
	assert_int_equal(batch_due_nr(b, 999), 0);
	assert_int_equal(batch_due_nr(b, 1000), BATCH_TASKS_MAX);
	b->spec->interval_ms = 10;
	assert_int_equal(batch_due_nr(b, 1000), 1);
	assert_int_equal(batch_due_nr(b, 1029), 3);
	assert_int_equal(batch_due_nr(b, INT64_MAX), BATCH_TASKS_MAX);
	batch_destroy(b);
}

/* Guards against a due time that overflows, so that the job is due at once. */
static void due_times_do_not_overflow(void **state)
{
	struct batch *b = make_large_batch();

	(void)state;
	b->spec->start_unix_ms = 1000;
	b->spec->interval_ms = INT64_MAX;
	assert_int_equal(batch_due_unix_ms(b, 0), 1000);
	assert_int_equal(batch_due_unix_ms(b, 1), BATCH_DUE_MAX_MS);
	assert_int_equal(batch_due_unix_ms(b, 9999), BATCH_DUE_MAX_MS);
	assert_int_equal(batch_due_nr(b, 2000), 1);
	b->spec->start_unix_ms = INT64_MAX;
	assert_int_equal(batch_due_unix_ms(b, 0), BATCH_DUE_MAX_MS);
	assert_int_equal(batch_due_nr(b, 2000), 0);
	b->spec->start_unix_ms = INT64_MIN;
	assert_int_equal(batch_due_nr(b, 2000), 1);
	batch_destroy(b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(steps_wait_for_each_other),
		cmocka_unit_test(failures_count_in_any_order),
		cmocka_unit_test(repeated_end_counts_once),
		cmocka_unit_test(waiting_tasks_have_no_rows),
		cmocka_unit_test(waiting_occurrences_are_not_stored),
		cmocka_unit_test(occurrences_end_in_any_order),
		cmocka_unit_test(due_occurrences_are_counted),
		cmocka_unit_test(due_times_do_not_overflow),
		cmocka_unit_test(earlier_end_does_not_end_the_current_run),
		cmocka_unit_test(gang_ends_together),
		cmocka_unit_test(gang_starts_from_one_checkpoint),
		cmocka_unit_test(refused_start_leaves_the_job_queued),
		cmocka_unit_test(invalid_jobs_are_refused),
		cmocka_unit_test(stored_encoding_is_complete),
		cmocka_unit_test(damaged_bytes_never_crash),
		cmocka_unit_test(progress_without_pools_is_read),
		cmocka_unit_test(submission_without_terms_is_read),
		cmocka_unit_test(submission_keeps_its_pools),
		cmocka_unit_test(accepted_progress_can_be_read),
		cmocka_unit_test(long_checkpoint_is_refused),
		cmocka_unit_test(large_progress_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
