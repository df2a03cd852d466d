#include "batch.h"

#include <stdio.h>
#include <string.h>

#include "../base/error.h"

struct batch_spec *batch_spec_create(int steps_nr)
{
	struct batch_spec *spec = g_new0(struct batch_spec, 1);
	int i;

	spec->steps = g_new0(struct batch_step, steps_nr > 0 ? steps_nr : 1);
	spec->steps_nr = steps_nr;
	for (i = 0; i < steps_nr; i++)
		spec->steps[i].unavailable_max = -1;
	return spec;
}

void batch_spec_destroy(struct batch_spec *spec)
{
	int i;

	if (!spec)
		return;
	for (i = 0; i < spec->steps_nr; i++) {
		g_free(spec->steps[i].after);
		g_free(spec->steps[i].label);
		g_free(spec->steps[i].rack);
		g_free(spec->steps[i].image);
	}
	g_free(spec->steps);
	g_free(spec->payload);
	g_free(spec);
}

static size_t text_bytes(const char *text)
{
	return text ? strlen(text) + 1 : 0;
}

size_t batch_spec_bytes(const struct batch_spec *spec)
{
	size_t bytes;
	int i;

	if (!spec)
		return 0;
	bytes = sizeof(*spec) + (size_t)spec->steps_nr * sizeof(*spec->steps);
	for (i = 0; i < spec->steps_nr; i++) {
		const struct batch_step *s = &spec->steps[i];

		bytes += (size_t)s->after_nr * sizeof(int) +
			 text_bytes(s->label) + text_bytes(s->rack) +
			 text_bytes(s->image);
	}
	return bytes + text_bytes(spec->payload);
}

/*
 * Repeatedly marks the steps whose predecessors are all marked. Steps that stay
 * unmarked are in a cycle or depend on one.
 */
static bool has_cycle(const struct batch_spec *spec)
{
	bool is_marked[BATCH_STEPS_MAX] = { false };
	int marked = 0, before, i, k;

	do {
		before = marked;
		for (i = 0; i < spec->steps_nr; i++) {
			const struct batch_step *s = &spec->steps[i];

			if (is_marked[i])
				continue;
			for (k = 0; k < s->after_nr; k++)
				if (!is_marked[s->after[k]])
					break;
			if (k == s->after_nr) {
				is_marked[i] = true;
				marked++;
			}
		}
	} while (marked > before);
	return marked < spec->steps_nr;
}

static int check_step(const struct batch_spec *spec, int i,
		      struct cs_error *err)
{
	const struct batch_step *s = &spec->steps[i];
	int k;

	if (s->count < 1 || s->count > BATCH_TASKS_MAX)
		return cs_error_set(err, CS_ERR_INVALID, "batch_check", NULL,
				    "step %d: count %d must be 1 to %d", i,
				    s->count, BATCH_TASKS_MAX);
	if (s->need.cpu < 0 || s->need.memory_mb < 0 ||
	    s->need.accelerators < 0 || s->estimate_ms < 0 ||
	    s->per_server_max < 0)
		return cs_error_set(err, CS_ERR_INVALID, "batch_check", NULL,
				    "step %d: an amount is negative", i);
	for (k = 0; k < s->after_nr; k++)
		if (s->after[k] < 0 || s->after[k] >= spec->steps_nr)
			return cs_error_set(err, CS_ERR_INVALID, "batch_check",
					    NULL,
					    "step %d: there is no step %d", i,
					    s->after[k]);
	return CS_OK;
}

int batch_spec_check(const struct batch_spec *spec, struct cs_error *err)
{
	int64_t tasks = 0;
	int i, code;

	if (spec->steps_nr < 1 || spec->steps_nr > BATCH_STEPS_MAX)
		return cs_error_set(err, CS_ERR_INVALID, "batch_check", NULL,
				    "%d steps; there must be 1 to %d",
				    spec->steps_nr, BATCH_STEPS_MAX);
	if (spec->payload && strlen(spec->payload) > BATCH_PAYLOAD_MAX)
		return cs_error_set(err, CS_ERR_INVALID, "batch_check", NULL,
				    "the payload exceeds %d bytes",
				    BATCH_PAYLOAD_MAX);
	for (i = 0; i < spec->steps_nr; i++) {
		code = check_step(spec, i, err);
		if (code)
			return code;
		tasks += spec->steps[i].count;
	}
	if (tasks > BATCH_TASKS_MAX)
		return cs_error_set(err, CS_ERR_INVALID, "batch_check", NULL,
				    "more than %d tasks", BATCH_TASKS_MAX);
	if (spec->repeats < 0 || spec->repeats > BATCH_TASKS_MAX ||
	    spec->interval_ms < 0)
		return cs_error_set(err, CS_ERR_INVALID, "batch_check", NULL,
				    "repeats or interval out of range");
	if (has_cycle(spec))
		return cs_error_set(err, CS_ERR_INVALID, "batch_check", NULL,
				    "steps depend on each other in a cycle");
	return CS_OK;
}

bool batch_id_is_valid(const char *id)
{
	size_t i;

	for (i = 0; i < BATCH_ID_MAX - 1; i++)
		if (!g_ascii_isxdigit(id[i]))
			return false;
	return id[i] == '\0';
}

struct batch *batch_create(const char *id, const char *queue,
			   const char *workspace, int64_t submitted_unix_ms,
			   struct batch_spec *spec)
{
	struct batch *b = g_new0(struct batch, 1);
	int i;

	cs_copy(b->id, sizeof(b->id), id);
	b->queue = g_strdup(queue);
	b->workspace = g_strdup(workspace);
	b->submitted_unix_ms = submitted_unix_ms;
	b->spec = spec;
	b->offsets = g_new(int, spec->steps_nr);
	for (i = 0; i < spec->steps_nr; i++) {
		b->offsets[i] = b->occurrence_tasks;
		b->occurrence_tasks += spec->steps[i].count;
		spec->steps[i].expected_ms = spec->steps[i].estimate_ms;
	}
	b->occurrences_nr = spec->repeats > 0 ? spec->repeats : 1;
	b->spec_bytes = batch_spec_bytes(spec) +
			(size_t)spec->steps_nr * sizeof(*b->offsets) +
			text_bytes(queue) + text_bytes(workspace);
	return b;
}

struct batch *batch_create_ended(const char *id, const char *workspace,
				 enum batch_state state)
{
	struct batch *b =
		batch_create(id, "", workspace, 0, batch_spec_create(0));

	b->state = state;
	return b;
}

size_t batch_bytes(const struct batch *b)
{
	return sizeof(*b) + b->spec_bytes + b->row_bytes;
}

void batch_drop_payload(struct batch *b)
{
	if (!b->spec->payload)
		return;
	b->spec_bytes -= text_bytes(b->spec->payload);
	g_free(b->spec->payload);
	b->spec->payload = NULL;
}

static int blocks_nr(const struct batch *b)
{
	return (b->occurrence_tasks + BATCH_BLOCK_TASKS - 1) /
	       BATCH_BLOCK_TASKS;
}

static int occurrence_rows_nr(const struct batch *b)
{
	return b->occurrences ? (int)b->occurrences->len : 0;
}

static struct batch_occurrence *occurrence_at(const struct batch *b, int i)
{
	return &g_array_index(b->occurrences, struct batch_occurrence, i);
}

/* The row of an occurrence, or what stands for all those without one. */
static const struct batch_occurrence *find_occurrence(const struct batch *b,
						      int occurrence)
{
	static const struct batch_occurrence not_open,
		done = { .is_done = true };
	int i = occurrence - b->first_occurrence;

	if (i < 0)
		return &done;
	return i < occurrence_rows_nr(b) ? occurrence_at(b, i) : &not_open;
}

/* The row of an occurrence that is not done, which is created if needed. */
static struct batch_occurrence *occurrence_row(struct batch *b, int occurrence)
{
	int i = occurrence - b->first_occurrence;

	if (!b->occurrences)
		b->occurrences = g_array_new(FALSE, TRUE,
					     sizeof(struct batch_occurrence));
	if (i >= occurrence_rows_nr(b)) {
		b->row_bytes += (size_t)(i + 1 - occurrence_rows_nr(b)) *
				sizeof(struct batch_occurrence);
		g_array_set_size(b->occurrences, (guint)i + 1);
	}
	return occurrence_at(b, i);
}

/* Bytes of the counts of an occurrence and of its table of blocks. */
static size_t counts_bytes(const struct batch *b)
{
	return (size_t)blocks_nr(b) * sizeof(struct batch_task *) +
	       2 * (size_t)b->spec->steps_nr * sizeof(int);
}

/* The number of rows in a block; the last one of an occurrence has fewer. */
static int block_rows_nr(const struct batch *b, int block)
{
	return MIN(BATCH_BLOCK_TASKS,
		   b->occurrence_tasks - block * BATCH_BLOCK_TASKS);
}

static size_t checkpoint_bytes(const struct batch_task *t)
{
	return text_bytes(t->checkpoint);
}

static void release_block(struct batch *b, struct batch_task *rows, int rows_nr)
{
	int i;

	for (i = 0; i < rows_nr; i++) {
		b->row_bytes -= sizeof(*rows) + checkpoint_bytes(&rows[i]) +
				rows[i].failures * sizeof(uint32_t);
		g_free(rows[i].checkpoint);
		g_free(rows[i].failed_runs);
	}
	g_free(rows);
}

/* Frees the rows and counts of an occurrence. */
static void release_occurrence(struct batch *b, struct batch_occurrence *r)
{
	int i;

	for (i = 0; r->blocks && i < blocks_nr(b); i++)
		if (r->blocks[i])
			release_block(b, r->blocks[i], block_rows_nr(b, i));
	if (r->blocks)
		b->row_bytes -= counts_bytes(b);
	g_free(r->blocks);
	g_free(r->left);
	g_free(r->waiting);
	r->blocks = NULL;
	r->left = NULL;
	r->waiting = NULL;
}

/* Removes the rows of the first occurrences as far as they are done. */
static void drop_done_occurrences(struct batch *b)
{
	int n = 0;

	while (n < occurrence_rows_nr(b) && occurrence_at(b, n)->is_done)
		n++;
	if (n)
		g_array_remove_range(b->occurrences, 0, (guint)n);
	b->row_bytes -= (size_t)n * sizeof(struct batch_occurrence);
	b->first_occurrence += n;
}

void batch_destroy(struct batch *b)
{
	int i;

	if (!b)
		return;
	for (i = 0; i < occurrence_rows_nr(b); i++)
		release_occurrence(b, occurrence_at(b, i));
	if (b->occurrences)
		g_array_free(b->occurrences, TRUE);
	if (b->pools)
		g_ptr_array_free(b->pools, TRUE);
	g_free(b->queue);
	g_free(b->workspace);
	g_free(b->offsets);
	batch_spec_destroy(b->spec);
	g_free(b);
}

static int64_t clamp_due(int64_t unix_ms)
{
	return CLAMP(unix_ms, -BATCH_DUE_MAX_MS, BATCH_DUE_MAX_MS);
}

int64_t batch_due_unix_ms(const struct batch *b, int occurrence)
{
	int64_t after, due;

	if (b->spec->repeats <= 0 || !occurrence)
		return clamp_due(b->spec->start_unix_ms);
	if (__builtin_mul_overflow(occurrence, b->spec->interval_ms, &after) ||
	    __builtin_add_overflow(b->spec->start_unix_ms, after, &due))
		return BATCH_DUE_MAX_MS;
	return clamp_due(due);
}

int batch_due_nr(const struct batch *b, int64_t unix_ms)
{
	int64_t since = unix_ms - batch_due_unix_ms(b, 0);

	if (since < 0)
		return 0;
	if (!b->spec->interval_ms)
		return b->occurrences_nr;
	return (int)MIN(since / b->spec->interval_ms + 1, b->occurrences_nr);
}

void batch_open_occurrence(struct batch *b, int occurrence)
{
	struct batch_occurrence *r;

	if (batch_occurrence_is_done(b, occurrence))
		return;
	r = occurrence_row(b, occurrence);
	if (!r->is_open)
		r->steps_left = b->spec->steps_nr;
	r->is_open = true;
}

bool batch_occurrence_is_open(const struct batch *b, int occurrence)
{
	const struct batch_occurrence *r = find_occurrence(b, occurrence);

	return r->is_open && !r->is_done;
}

bool batch_occurrence_is_done(const struct batch *b, int occurrence)
{
	return find_occurrence(b, occurrence)->is_done;
}

int batch_occurrences_end(const struct batch *b)
{
	return b->first_occurrence + occurrence_rows_nr(b);
}

void batch_restore_done(struct batch *b, int occurrence)
{
	if (batch_occurrence_is_done(b, occurrence))
		return;
	occurrence_row(b, occurrence)->is_done = true;
	b->occurrences_done++;
	drop_done_occurrences(b);
}

static bool is_task(const struct batch *b, int occurrence, int step, int index)
{
	return occurrence >= 0 && occurrence < b->occurrences_nr && step >= 0 &&
	       step < b->spec->steps_nr && index >= 0 &&
	       index < b->spec->steps[step].count &&
	       batch_occurrence_is_open(b, occurrence);
}

const struct batch_task *batch_find_task(const struct batch *b, int occurrence,
					 int step, int index)
{
	static const struct batch_task waiting;
	const struct batch_occurrence *r;
	const struct batch_task *block = NULL;

	if (!is_task(b, occurrence, step, index))
		return NULL;
	index += b->offsets[step];
	r = find_occurrence(b, occurrence);
	if (r->blocks)
		block = r->blocks[index / BATCH_BLOCK_TASKS];
	return block ? &block[index % BATCH_BLOCK_TASKS] : &waiting;
}

/* Gives an occurrence its counts and an empty table of blocks. */
static void begin_occurrence(struct batch *b, struct batch_occurrence *r)
{
	int i;

	b->row_bytes += counts_bytes(b);
	r->blocks = g_new0(struct batch_task *, blocks_nr(b));
	r->left = g_new(int, b->spec->steps_nr);
	r->waiting = g_new(int, b->spec->steps_nr);
	for (i = 0; i < b->spec->steps_nr; i++)
		r->left[i] = r->waiting[i] = b->spec->steps[i].count;
}

/* Creates the rows of a block of tasks, which all wait. */
static struct batch_task *create_block(struct batch *b, int occurrence,
				       int block)
{
	int n = block_rows_nr(b, block), step = 0, i;
	struct batch_task *rows = g_new0(struct batch_task, n);

	b->row_bytes += (size_t)n * sizeof(*rows);
	for (i = 0; i < n; i++) {
		while (step < b->spec->steps_nr - 1 &&
		       b->offsets[step + 1] <= block * BATCH_BLOCK_TASKS + i)
			step++;
		rows[i].occurrence = (uint16_t)occurrence;
		rows[i].step = (uint8_t)step;
	}
	return rows;
}

struct batch_task *batch_task_row(struct batch *b, int occurrence, int step,
				  int index)
{
	struct batch_occurrence *r;
	struct batch_task **block;

	if (!is_task(b, occurrence, step, index))
		return NULL;
	index += b->offsets[step];
	r = occurrence_row(b, occurrence);
	if (!r->blocks)
		begin_occurrence(b, r);
	block = &r->blocks[index / BATCH_BLOCK_TASKS];
	if (!*block)
		*block = create_block(b, occurrence, index / BATCH_BLOCK_TASKS);
	return &(*block)[index % BATCH_BLOCK_TASKS];
}

struct batch_task *batch_next_row(const struct batch *b, int occurrence,
				  int *index)
{
	const struct batch_occurrence *r = find_occurrence(b, occurrence);
	int i = *index + 1;

	while (r->blocks && i < b->occurrence_tasks) {
		struct batch_task *block = r->blocks[i / BATCH_BLOCK_TASKS];

		if (block) {
			*index = i;
			return &block[i % BATCH_BLOCK_TASKS];
		}
		i += BATCH_BLOCK_TASKS - i % BATCH_BLOCK_TASKS;
	}
	return NULL;
}

int batch_count_left(const struct batch *b, int occurrence, int step)
{
	const struct batch_occurrence *r = find_occurrence(b, occurrence);

	if (r->is_done)
		return 0;
	return r->left ? r->left[step] : b->spec->steps[step].count;
}

int batch_count_waiting(const struct batch *b, int occurrence, int step)
{
	const struct batch_occurrence *r = find_occurrence(b, occurrence);

	if (!batch_occurrence_is_open(b, occurrence))
		return 0;
	return r->waiting ? r->waiting[step] : b->spec->steps[step].count;
}

int batch_count_first_waiting(const struct batch *b, int occurrence)
{
	int step, n = 0;

	for (step = 0; step < b->spec->steps_nr; step++)
		if (!b->spec->steps[step].after_nr)
			n += batch_count_waiting(b, occurrence, step);
	return n;
}

bool batch_step_is_ready(const struct batch *b, int occurrence, int step)
{
	const struct batch_step *s = &b->spec->steps[step];
	int i;

	if (!batch_occurrence_is_open(b, occurrence) ||
	    !batch_count_left(b, occurrence, step))
		return false;
	for (i = 0; i < s->after_nr; i++)
		if (batch_count_left(b, occurrence, s->after[i]))
			return false;
	return true;
}

/* Sets the state of a task, and keeps the count of those that wait. */
static void set_task_state(struct batch *b, struct batch_task *t,
			   enum batch_task_state state)
{
	struct batch_occurrence *r = occurrence_row(b, t->occurrence);

	r->waiting[t->step] += (state == BATCH_TASK_WAITING) -
			       (t->state == BATCH_TASK_WAITING);
	t->state = state;
}

/* Sets a task to done. True if it was the last one of its occurrence. */
static bool set_task_done(struct batch *b, struct batch_task *t)
{
	struct batch_occurrence *r = occurrence_row(b, t->occurrence);

	set_task_state(b, t, BATCH_TASK_DONE);
	return !--r->left[t->step] && !--r->steps_left;
}

void batch_task_restore_done(struct batch *b, struct batch_task *t)
{
	if (t->state != BATCH_TASK_DONE)
		set_task_done(b, t);
}

bool batch_is_final(const struct batch *b)
{
	return b->state >= BATCH_DONE;
}

bool batch_begin(struct batch *b, const char *pool)
{
	if (b->pools && batch_may_run_in(b, pool))
		return false;
	if (!b->pools)
		b->pools = g_ptr_array_new_with_free_func(g_free);
	g_ptr_array_add(b->pools, g_strdup(pool));
	b->version++;
	return true;
}

bool batch_may_run_in(const struct batch *b, const char *pool)
{
	guint i;

	for (i = 0; b->pools && i < b->pools->len; i++)
		if (!strcmp(g_ptr_array_index(b->pools, i), pool))
			return true;
	return false;
}

void batch_task_started(struct batch *b, struct batch_task *t, uint32_t run)
{
	if (t->state != BATCH_TASK_RUNNING)
		b->running++;
	set_task_state(b, t, BATCH_TASK_RUNNING);
	t->run = run;
	if (b->state == BATCH_QUEUED) {
		b->state = BATCH_RUNNING;
		b->version++;
	}
}

/* True if a run of a task is under way or has ended. */
static bool has_run(const struct batch *b)
{
	int end = batch_occurrences_end(b), occurrence, i;
	const struct batch_task *t;

	if (b->running || b->occurrences_done)
		return true;
	for (occurrence = b->first_occurrence; occurrence < end; occurrence++)
		for (i = -1; (t = batch_next_row(b, occurrence, &i));)
			if (t->ended_run || t->state != BATCH_TASK_WAITING)
				return true;
	return false;
}

void batch_task_undo_start(struct batch *b, struct batch_task *t)
{
	if (t->state != BATCH_TASK_RUNNING)
		return;
	set_task_state(b, t, BATCH_TASK_WAITING);
	b->running--;
	if (b->state != BATCH_RUNNING || has_run(b))
		return;
	b->state = BATCH_QUEUED;
	b->version++;
}

/* Takes over checkpoint; NULL: none. */
static void set_checkpoint(struct batch *b, struct batch_task *t,
			   char *checkpoint)
{
	b->row_bytes -= checkpoint_bytes(t);
	g_free(t->checkpoint);
	t->checkpoint = checkpoint;
	b->row_bytes += checkpoint_bytes(t);
}

/* Marks the task as done, and its occurrence and batch if it was the last. */
static void finish_task(struct batch *b, struct batch_task *t)
{
	set_checkpoint(b, t, NULL);
	if (!set_task_done(b, t))
		return;
	occurrence_row(b, t->occurrence)->is_done = true;
	if (++b->occurrences_done == b->occurrences_nr && !batch_is_final(b))
		b->state = BATCH_DONE;
}

/* The first member of a gang that is done ends all others as done. */
static void finish_gang(struct batch *b, int occurrence, int step)
{
	int i;

	for (i = 0; i < b->spec->steps[step].count; i++) {
		struct batch_task *t = batch_task_row(b, occurrence, step, i);

		if (!t)
			return; /* that was the last task of the occurrence */
		if (t->state == BATCH_TASK_DONE)
			continue;
		if (t->state == BATCH_TASK_RUNNING)
			b->running--;
		finish_task(b, t);
	}
}

static bool has_failed(const struct batch_task *t, uint32_t run)
{
	int i;

	for (i = 0; i < t->failures; i++)
		if (t->failed_runs[i] == run)
			return true;
	return false;
}

bool batch_task_add_failure(struct batch *b, struct batch_task *t, uint32_t run)
{
	if (has_failed(t, run))
		return false;
	b->row_bytes += sizeof(run);
	t->failed_runs = g_renew(uint32_t, t->failed_runs, t->failures + 1);
	t->failed_runs[t->failures++] = run;
	return true;
}

bool batch_task_set_checkpoint(struct batch *b, struct batch_task *t,
			       const char *checkpoint)
{
	if (strlen(checkpoint) > BATCH_CHECKPOINT_MAX)
		return false;
	set_checkpoint(b, t, *checkpoint ? g_strdup(checkpoint) : NULL);
	return true;
}

void batch_task_restore_checkpoint(struct batch *b, struct batch_task *t,
				   const char *checkpoint, size_t length)
{
	set_checkpoint(b, t, g_strndup(checkpoint, length));
}

void batch_share_gang_checkpoint(struct batch *b, int occurrence, int step)
{
	const struct batch_task *latest = NULL;
	char *checkpoint;
	int i;

	for (i = 0; i < b->spec->steps[step].count; i++) {
		const struct batch_task *t =
			batch_find_task(b, occurrence, step, i);

		if (t->checkpoint && (!latest || t->run > latest->run))
			latest = t;
	}
	if (!latest)
		return;
	checkpoint = g_strdup(latest->checkpoint);
	for (i = 0; i < b->spec->steps[step].count; i++)
		batch_task_set_checkpoint(
			b, batch_task_row(b, occurrence, step, i), checkpoint);
	g_free(checkpoint);
}

/* Counts a failed run. A gang's failures all count for its first task. */
static void count_failure(struct batch *b, int occurrence, int step,
			  struct batch_task *t, uint32_t run, int attempts_max)
{
	const struct batch_step *s = &b->spec->steps[step];

	if (s->is_long_running)
		return;
	if (s->is_gang)
		t = batch_task_row(b, occurrence, step, 0);
	batch_task_add_failure(b, t, run);
	if (t->failures >= attempts_max && !batch_is_final(b))
		b->state = BATCH_FAILED;
}

bool batch_task_ended(struct batch *b, int occurrence, int step,
		      struct batch_task *t, uint32_t run, enum batch_end how,
		      const char *checkpoint, int attempts_max)
{
	const struct batch_step *s = &b->spec->steps[step];
	bool is_current = t->state == BATCH_TASK_RUNNING && run >= t->run;

	if (run > t->run)
		t->run = run;
	if (t->state == BATCH_TASK_DONE)
		return false;
	/*
	 * A new owner may learn of the end of a later run first, from another
	 * server. So the end of an earlier run is ignored only if it changes
	 * nothing: neither done nor failed, or a failure that was counted.
	 */
	if (run <= t->ended_run && !is_current && how != BATCH_END_DONE &&
	    how != BATCH_END_FAILED)
		return false;
	if (how == BATCH_END_FAILED && !is_current &&
	    has_failed(s->is_gang ? batch_find_task(b, occurrence, step, 0) : t,
		       run))
		return false;
	/* An earlier run may be done while a later one is running. */
	if (is_current || (t->state == BATCH_TASK_RUNNING &&
			   how == BATCH_END_DONE && !s->is_long_running)) {
		b->running--;
		set_task_state(b, t, BATCH_TASK_WAITING);
	}
	if (b->state == BATCH_QUEUED)
		b->state = BATCH_RUNNING;
	b->version++;
	if (how == BATCH_END_DONE) {
		t->ended_run = MAX(t->ended_run, run);
		if (s->is_long_running)
			return true;
		finish_task(b, t);
		if (s->is_gang)
			finish_gang(b, occurrence, step);
		if (batch_occurrence_is_done(b, occurrence)) {
			release_occurrence(b, occurrence_row(b, occurrence));
			drop_done_occurrences(b);
		}
		return true;
	}
	if (checkpoint && *checkpoint && run >= t->ended_run)
		batch_task_set_checkpoint(b, t, checkpoint);
	if (how == BATCH_END_FAILED)
		count_failure(b, occurrence, step, t, run, attempts_max);
	t->ended_run = MAX(t->ended_run, run);
	return true;
}

bool batch_cancel(struct batch *b)
{
	if (batch_is_final(b))
		return false;
	b->state = BATCH_CANCELLED;
	b->version++;
	return true;
}

void batch_set_expected_ms(struct batch *b, int step, int64_t ms)
{
	b->spec->steps[step].expected_ms = ms;
}

/* A search for the longest path through the steps of a job. */
struct path_search {
	const struct batch_spec *spec;
	const int *left; /* tasks left of each step; NULL: all of them */
	bool uses_hints; /* of the caller, in place of expected times */
	int64_t known[BATCH_STEPS_MAX]; /* path that ends there; -1: not yet */
};

/* The longest path that ends with a step; the steps form no cycle. */
static int64_t longest_path_to(struct path_search *p, int step)
{
	const struct batch_step *s = &p->spec->steps[step];
	int64_t best = 0, ms;
	int i;

	if (p->known[step] >= 0)
		return p->known[step];
	for (i = 0; i < s->after_nr; i++) {
		ms = longest_path_to(p, s->after[i]);
		if (ms > best)
			best = ms;
	}
	if (!p->left || p->left[step])
		best += p->uses_hints ? s->estimate_ms : s->expected_ms;
	p->known[step] = best;
	return best;
}

static int64_t longest_path(struct path_search *p)
{
	int64_t best = 0, ms;
	int i;

	for (i = 0; i < p->spec->steps_nr; i++)
		p->known[i] = -1;
	for (i = 0; i < p->spec->steps_nr; i++) {
		ms = longest_path_to(p, i);
		if (ms > best)
			best = ms;
	}
	return best;
}

int64_t batch_critical_path_ms(const struct batch *b, int occurrence,
			       bool is_whole)
{
	struct path_search p = { .spec = b->spec };

	if (!is_whole)
		p.left = find_occurrence(b, occurrence)->left;
	return longest_path(&p);
}

int64_t batch_spec_hinted_path_ms(const struct batch_spec *spec)
{
	struct path_search p = { .spec = spec, .uses_hints = true };

	return longest_path(&p);
}

void batch_task_name(const struct batch *b, int occurrence, int step, int index,
		     char out[BATCH_TASK_NAME_MAX])
{
	snprintf(out, BATCH_TASK_NAME_MAX, "%s.%d.%d.%d", b->id, occurrence,
		 step, index);
}

/* Parses ".NUMBER" and moves *s past it. */
static bool read_number(const char **s, int *value)
{
	const char *p = *s;
	int64_t n = 0;

	if (*p++ != '.' || !g_ascii_isdigit(*p))
		return false;
	while (g_ascii_isdigit(*p) && n < INT32_MAX)
		n = 10 * n + (*p++ - '0');
	*value = (int)MIN(n, INT32_MAX);
	*s = p;
	return true;
}

int batch_task_name_parse(const char *name, char id[BATCH_ID_MAX],
			  int *occurrence, int *step, int *index)
{
	const char *rest = name;
	int i;

	for (i = 0; i < BATCH_ID_MAX - 1; i++)
		if (!g_ascii_isxdigit(*rest++))
			return CS_ERR_INVALID;
	memcpy(id, name, BATCH_ID_MAX - 1);
	id[BATCH_ID_MAX - 1] = '\0';
	if (!read_number(&rest, occurrence) || !read_number(&rest, step) ||
	    !read_number(&rest, index) || *rest)
		return CS_ERR_INVALID;
	return CS_OK;
}

const char *batch_state_name(enum batch_state state)
{
	static const char *const names[] = { "queued", "running", "done",
					     "failed", "cancelled" };

	return names[state];
}

const char *batch_end_name(enum batch_end how)
{
	static const char *const names[] = { "done",   "failed", "stopped",
					     "lapsed", "broken", "alone",
					     "lost" };

	return names[how];
}
