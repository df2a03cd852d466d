#include "sched_private.h"

#include <string.h>

#include "../base/log.h"

/*
 * Assigns waiting tasks to servers, pool by pool, the most urgent job first. A
 * task that does not fit on any server does not block smaller ones behind it.
 */

/* Maximum number of starts in one turn; the rest follows after the replies. */
#define STARTS_MAX 64
/* After this many jobs without room in one pass the pool counts as full. */
#define NO_ROOM_JOBS_MAX 24

/* Size of the range of run numbers of each term, for each task. */
#define RUNS_PER_TERM 1024

/*
 * Returns a number above that of every run of the task that a predecessor can
 * have ordered: each term has its own range.
 */
static uint32_t next_run_number(const struct sched *s,
				const struct batch_task *t)
{
	uint64_t base = (s->options.token - 1) * RUNS_PER_TERM;

	return (t->run > base ? t->run : (uint32_t)base) + 1;
}

static void log_start(struct sched *s, const struct job *j, const struct run *r,
		      const struct server *v, cs_time now)
{
	char task[BATCH_TASK_NAME_MAX];
	GString *pairs;

	if (!s->ops->admits_frequent_log(s->ctx))
		return;
	pairs = g_string_new(NULL);
	batch_task_name(j->batch, r->occurrence, r->step, r->index, task);
	log_pair(pairs, "job", j->batch->id);
	log_pair(pairs, "task", task);
	log_pair_int(pairs, "run", r->number);
	log_pair(pairs, "server", v->info.id);
	log_pair(pairs, "data_centre", v->info.data_centre);
	log_pair_int(pairs, "cpu_left", v->info.capacity.cpu - v->used.cpu);
	log_pair_int(pairs, "slack_ms",
		     (j->objective_at - now) / CS_MSEC - j->critical_path_ms);
	log_pair_int(pairs, "server_age_ms", (now - v->answered_at) / CS_MSEC);
	sched_log(s, "task_start", pairs);
}

/* One attempt to start the tasks of a job: bounds and result. */
struct job_attempt {
	bool is_settled; /* all runs of a predecessor in the pool are known */
	int starts_max;
	int started;
	enum job_block block; /* why a task could not start */
	bool is_waiting; /* a task is left that may start later */
};

static bool may_start(const struct job *j, const struct batch_task *t,
		      struct job_attempt *a, cs_time now)
{
	if (t->state != BATCH_TASK_WAITING || now < t->not_before || t->run_row)
		return false;
	if (!j->may_have_runs || a->is_settled)
		return true;
	/* A server that does not answer may have a predecessor's run of it. */
	a->block = BLOCK_UNSETTLED;
	return false;
}

/* Starts the tasks of a step for which there is room. */
static void assign_step(struct sched *s, struct job *j, int occurrence,
			int step, cs_time now, struct job_attempt *a)
{
	const struct batch_step *st = &j->batch->spec->steps[step];
	const struct site_queue *q = sched_queue_of(s, j);
	int i;

	for (i = 0; i < st->count && a->started < a->starts_max; i++) {
		struct batch_task *t =
			batch_find_task(j->batch, occurrence, step, i);
		struct server *v;
		struct run *r;

		if (!may_start(j, t, a, now))
			continue;
		if (!place_within_limit(s, j, st->need)) {
			a->block = BLOCK_LIMIT;
			break;
		}
		v = place_choose(s, j, occurrence, step, t, now,
				 &s->examined_servers);
		if (!v) {
			a->block = BLOCK_ROOM;
			if (q && q->advice.validity_ms)
				advice_request(s, j, occurrence, step, now);
			break;
		}
		r = runs_start(s, &(struct task_ref){ j, occurrence, step, i },
			       v, next_run_number(s, t),
			       advice_ticket(s, j, occurrence, step, v, now),
			       now);
		if (!r)
			break;
		log_start(s, j, r, v, now);
		a->started++;
	}
}

/*
 * Starts all members of a gang or none. Room is reserved member by member to
 * check that all of them fit, and released again before the starts.
 */
static void assign_gang(struct sched *s, struct job *j, int occurrence,
			int step, cs_time now, struct job_attempt *a)
{
	const struct batch_step *st = &j->batch->spec->steps[step];
	struct server **chosen = g_new0(struct server *, st->count);
	struct site_resources all = { 0 };
	uint32_t number = 0;
	int i, placed = 0;

	for (i = 0; i < st->count; i++) {
		struct batch_task *t =
			batch_find_task(j->batch, occurrence, step, i);

		if (!may_start(j, t, a, now))
			goto out;
		all = site_resources_add(all, st->need);
		if (next_run_number(s, t) > number)
			number = next_run_number(s, t);
	}
	if (!place_within_limit(s, j, all)) {
		a->block = BLOCK_LIMIT;
		goto out;
	}
	for (i = 0; i < st->count; i++) {
		chosen[i] = place_choose(s, j, occurrence, step,
					 batch_find_task(j->batch, occurrence,
							 step, i),
					 now, &s->examined_servers);
		if (!chosen[i])
			break;
		servers_reserve(chosen[i], place_need(st), 1);
		placed++;
	}
	for (i = 0; i < placed; i++)
		servers_reserve(chosen[i], place_need(st), -1);
	if (placed < st->count) {
		const struct site_queue *q = sched_queue_of(s, j);

		if (q && q->advice.validity_ms)
			advice_request(s, j, occurrence, step, now);
		a->block = BLOCK_ROOM;
		goto out;
	}
	for (i = 0; i < st->count; i++) {
		struct run *r = runs_start(
			s, &(struct task_ref){ j, occurrence, step, i },
			chosen[i], number,
			advice_ticket(s, j, occurrence, step, chosen[i], now),
			now);

		if (r)
			log_start(s, j, r, chosen[i], now);
	}
	a->started += placed;
out:
	g_free(chosen);
}

/* Opens the occurrences that are due. Returns the first one not done. */
static int open_due_occurrences(struct sched *s, struct job *j, cs_time now)
{
	struct batch *b = j->batch;
	int before = j->first_open_occurrence, k;

	while (j->first_open_occurrence < b->occurrences_nr - 1 &&
	       b->occurrences[j->first_open_occurrence].is_done)
		j->first_open_occurrence++;
	if (j->first_open_occurrence != before)
		sched_set_objective(s, j);
	for (k = j->first_open_occurrence; k < b->occurrences_nr; k++) {
		if (batch_due_unix_ms(b, k) > s->unix_ms)
			break;
		/* Jobs of a predecessor are not new demand. */
		if (!b->occurrences[k].tasks && !b->occurrences[k].is_done &&
		    !j->is_from_predecessor)
			sched_record_arrival(s, j, now);
		batch_open_occurrence(b, k);
	}
	return j->first_open_occurrence;
}

/*
 * True once the begin of the job is stored. So a successor knows that jobs
 * without stored progress have no runs, and can start them at once, even while
 * some servers do not answer.
 */
static bool is_begin_stored(struct sched *s, struct job *j, cs_time now)
{
	if (j->stored_revision)
		return true;
	batch_begin(j->batch);
	sched_mark_changed(s, j, now);
	return false;
}

/* Starts as many tasks of a job as possible. */
static void assign_job(struct sched *s, struct job *j, cs_time now,
		       struct job_attempt *a)
{
	struct batch *b = j->batch;
	int occurrence, step;

	a->is_waiting = false;
	for (occurrence = open_due_occurrences(s, j, now);
	     occurrence < b->occurrences_nr; occurrence++) {
		const struct batch_occurrence *o = &b->occurrences[occurrence];

		if (!o->tasks) {
			a->is_waiting |= !o->is_done;
			continue;
		}
		for (step = 0; step < b->spec->steps_nr; step++) {
			if (!batch_step_is_ready(b, occurrence, step) ||
			    !batch_count_waiting(b, occurrence, step))
				continue;
			if (a->started >= a->starts_max) {
				a->is_waiting = true;
				return;
			}
			if (!is_begin_stored(s, j, now)) {
				a->block = BLOCK_STORE;
				a->is_waiting = true;
				return;
			}
			if (b->spec->steps[step].is_gang)
				assign_gang(s, j, occurrence, step, now, a);
			else
				assign_step(s, j, occurrence, step, now, a);
			a->is_waiting |=
				batch_count_waiting(b, occurrence, step) > 0;
		}
	}
}

/* Removes the jobs that have ended from the pool's waiting ones. */
static void drop_final_jobs(struct pool *p)
{
	guint i, kept = 0;

	for (i = 0; i < p->waiting->len; i++) {
		struct job *j = g_ptr_array_index(p->waiting, i);

		if (j->final_at)
			j->is_waiting = false;
		else
			p->waiting->pdata[kept++] = j;
	}
	g_ptr_array_set_size(p->waiting, (gint)kept);
}

static int assign_pool(struct sched *s, struct pool *p, cs_time now, int max)
{
	struct job_attempt a = { .is_settled = servers_pool_settled(s, p) };
	int started = 0, jobs_without_room = 0;
	guint i, kept = 0;

	memset(p->blocked, 0, sizeof(p->blocked));
	drop_final_jobs(p);
	if (!p->waiting->len || !p->servers->len)
		return 0;
	rank_jobs(p->waiting, s, now);
	s->ranked_jobs += p->waiting->len;
	for (i = 0; i < p->waiting->len && started < max &&
		    jobs_without_room < NO_ROOM_JOBS_MAX;
	     i++) {
		struct job *j = g_ptr_array_index(p->waiting, i);

		a.starts_max = max - started;
		a.started = 0;
		a.block = BLOCK_NONE;
		assign_job(s, j, now, &a);
		j->is_waiting = a.is_waiting;
		if (j->is_waiting)
			p->waiting->pdata[kept++] = j;
		started += a.started;
		p->blocked[a.block]++;
		/* Only a lack of room shows that the pool is full. */
		jobs_without_room += !a.started && a.block == BLOCK_ROOM;
	}
	if (kept < i)
		g_ptr_array_remove_range(p->waiting, kept, i - kept);
	return started;
}

void assign_tasks(struct sched *s, cs_time now)
{
	int room = start_window_size(&s->start_window) - s->unanswered_starts;
	int left = MIN(STARTS_MAX, room);
	GHashTableIter it;
	void *row;

	reserve_update(s);
	g_hash_table_iter_init(&it, s->pools);
	while (left > 0 && g_hash_table_iter_next(&it, NULL, &row)) {
		struct pool *p = row;

		if (!p->is_due && !s->are_pools_due)
			continue;
		p->is_due = false;
		left -= assign_pool(s, p, now, left);
	}
	s->are_pools_due = left <= 0;
	/* If it is the window that is full, the next reply makes a turn due. */
	s->is_turn_due |= s->are_pools_due && room > STARTS_MAX;
}
