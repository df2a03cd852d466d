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
	for (i = 0; i < spec->steps_nr; i++)
		g_free(spec->steps[i].after);
	g_free(spec->steps);
	g_free(spec->payload);
	g_free(spec);
}

size_t batch_spec_bytes(const struct batch_spec *spec)
{
	size_t bytes;
	int i;

	if (!spec)
		return 0;
	bytes = sizeof(*spec) + (size_t)spec->steps_nr * sizeof(*spec->steps);
	for (i = 0; i < spec->steps_nr; i++)
		bytes += (size_t)spec->steps[i].after_nr * sizeof(int);
	return bytes + (spec->payload ? strlen(spec->payload) + 1 : 0);
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
	cs_copy(b->queue, sizeof(b->queue), queue);
	cs_copy(b->workspace, sizeof(b->workspace), workspace);
	b->submitted_unix_ms = submitted_unix_ms;
	b->spec = spec;
	b->offsets = g_new(int, spec->steps_nr);
	for (i = 0; i < spec->steps_nr; i++) {
		b->offsets[i] = b->occurrence_tasks;
		b->occurrence_tasks += spec->steps[i].count;
		spec->steps[i].expected_ms = spec->steps[i].estimate_ms;
	}
	b->occurrences_nr = spec->repeats > 0 ? spec->repeats : 1;
	b->occurrences = g_new0(struct batch_occurrence, b->occurrences_nr);
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

/* Releases the tasks of an occurrence; is_done stays. */
static void release_occurrence(struct batch *b, struct batch_occurrence *r)
{
	int i;

	for (i = 0; r->tasks && i < b->occurrence_tasks; i++) {
		g_free(r->tasks[i].checkpoint);
		g_free(r->tasks[i].failed_runs);
	}
	g_free(r->tasks);
	g_free(r->left);
	r->tasks = NULL;
	r->left = NULL;
}

void batch_destroy(struct batch *b)
{
	int i;

	if (!b)
		return;
	for (i = 0; i < b->occurrences_nr; i++)
		release_occurrence(b, &b->occurrences[i]);
	if (b->pools)
		g_ptr_array_free(b->pools, TRUE);
	g_free(b->occurrences);
	g_free(b->offsets);
	batch_spec_destroy(b->spec);
	g_free(b);
}

int64_t batch_due_unix_ms(const struct batch *b, int occurrence)
{
	if (b->spec->repeats <= 0)
		return b->spec->start_unix_ms;
	return b->spec->start_unix_ms + occurrence * b->spec->interval_ms;
}

void batch_open_occurrence(struct batch *b, int occurrence)
{
	struct batch_occurrence *r = &b->occurrences[occurrence];
	int i;

	if (r->is_done || r->tasks)
		return;
	r->tasks = g_new0(struct batch_task, b->occurrence_tasks);
	r->left = g_new(int, b->spec->steps_nr);
	for (i = 0; i < b->spec->steps_nr; i++)
		r->left[i] = b->spec->steps[i].count;
	r->steps_left = b->spec->steps_nr;
}

struct batch_task *batch_find_task(struct batch *b, int occurrence, int step,
				   int index)
{
	if (occurrence < 0 || occurrence >= b->occurrences_nr || step < 0 ||
	    step >= b->spec->steps_nr || index < 0 ||
	    index >= b->spec->steps[step].count ||
	    !b->occurrences[occurrence].tasks)
		return NULL;
	return &b->occurrences[occurrence].tasks[b->offsets[step] + index];
}

bool batch_step_is_ready(const struct batch *b, int occurrence, int step)
{
	const struct batch_occurrence *r = &b->occurrences[occurrence];
	const struct batch_step *s = &b->spec->steps[step];
	int i;

	if (!r->tasks || !r->left[step])
		return false;
	for (i = 0; i < s->after_nr; i++)
		if (r->left[s->after[i]])
			return false;
	return true;
}

int batch_count_waiting(struct batch *b, int occurrence, int step)
{
	int i, n = 0;

	for (i = 0; i < b->spec->steps[step].count; i++)
		n += batch_find_task(b, occurrence, step, i)->state ==
		     BATCH_TASK_WAITING;
	return n;
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
	t->state = BATCH_TASK_RUNNING;
	t->run = run;
	if (b->state == BATCH_QUEUED) {
		b->state = BATCH_RUNNING;
		b->version++;
	}
}

/* True if a run of a task is under way or has ended. */
static bool has_run(const struct batch *b)
{
	int occurrence, i;

	if (b->running || b->occurrences_done)
		return true;
	for (occurrence = 0; occurrence < b->occurrences_nr; occurrence++) {
		const struct batch_task *tasks =
			b->occurrences[occurrence].tasks;

		for (i = 0; tasks && i < b->occurrence_tasks; i++)
			if (tasks[i].ended_run ||
			    tasks[i].state != BATCH_TASK_WAITING)
				return true;
	}
	return false;
}

void batch_task_undo_start(struct batch *b, struct batch_task *t)
{
	if (t->state != BATCH_TASK_RUNNING)
		return;
	t->state = BATCH_TASK_WAITING;
	b->running--;
	if (b->state != BATCH_RUNNING || has_run(b))
		return;
	b->state = BATCH_QUEUED;
	b->version++;
}

/* Marks the task as done, and its occurrence and batch if it was the last. */
static void finish_task(struct batch *b, int occurrence, int step,
			struct batch_task *t)
{
	struct batch_occurrence *r = &b->occurrences[occurrence];

	t->state = BATCH_TASK_DONE;
	g_free(t->checkpoint);
	t->checkpoint = NULL;
	if (--r->left[step])
		return;
	if (--r->steps_left)
		return;
	r->is_done = true;
	if (++b->occurrences_done == b->occurrences_nr && !batch_is_final(b))
		b->state = BATCH_DONE;
}

/* The first member of a gang that is done ends all others as done. */
static void finish_gang(struct batch *b, int occurrence, int step)
{
	int i;

	for (i = 0; i < b->spec->steps[step].count; i++) {
		struct batch_task *t = batch_find_task(b, occurrence, step, i);

		if (t->state == BATCH_TASK_DONE)
			continue;
		if (t->state == BATCH_TASK_RUNNING)
			b->running--;
		finish_task(b, occurrence, step, t);
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

bool batch_task_add_failure(struct batch_task *t, uint32_t run)
{
	if (has_failed(t, run))
		return false;
	t->failed_runs = g_renew(uint32_t, t->failed_runs, t->failures + 1);
	t->failed_runs[t->failures++] = run;
	return true;
}

bool batch_task_set_checkpoint(struct batch_task *t, const char *checkpoint)
{
	if (strlen(checkpoint) > BATCH_CHECKPOINT_MAX)
		return false;
	g_free(t->checkpoint);
	t->checkpoint = *checkpoint ? g_strdup(checkpoint) : NULL;
	return true;
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
			batch_find_task(b, occurrence, step, i), checkpoint);
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
		t = batch_find_task(b, occurrence, step, 0);
	batch_task_add_failure(t, run);
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
		t->state = BATCH_TASK_WAITING;
	}
	if (b->state == BATCH_QUEUED)
		b->state = BATCH_RUNNING;
	b->version++;
	if (how == BATCH_END_DONE) {
		t->ended_run = MAX(t->ended_run, run);
		if (s->is_long_running)
			return true;
		finish_task(b, occurrence, step, t);
		if (s->is_gang)
			finish_gang(b, occurrence, step);
		if (b->occurrences[occurrence].is_done)
			release_occurrence(b, &b->occurrences[occurrence]);
		return true;
	}
	if (checkpoint && *checkpoint && run >= t->ended_run)
		batch_task_set_checkpoint(t, checkpoint);
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
		p.left = b->occurrences[occurrence].left;
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
