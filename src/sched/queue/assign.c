#include "../sched_private.h"

#include <string.h>

#include "../../base/error.h"
#include "../../base/log.h"
#include "no_room.h"
#include "pass_order.h"
#include "preempt.h"

/*
 * Assigns waiting tasks to servers, pool by pool, the most urgent job first. A
 * task that does not fit on any server does not block smaller ones behind it.
 */

/* Maximum number of starts in one turn; the rest follows after the replies. */
#define STARTS_MAX 64
/*
 * Jobs in one pass for which placement rules exclude the servers with room. A
 * search for such a job may look at every server of the pool, so where there
 * are more of these jobs they take turns.
 */
#define RULES_JOBS_MAX 24
/*
 * Begins of jobs of a pool that may wait to be stored. The first ones by rank
 * get these places, and no pool takes all that the store can do.
 */
#define OPEN_BEGINS_MAX 256
/*
 * Occurrences that are due are opened until this many tasks wait for their
 * first start, twice what a turn may start: a job may have 10,000 occurrences
 * due at one time.
 */
#define OPEN_TASKS_MIN (2 * STARTS_MAX)
/* There is a pass over each pool at least this often. */
#define PASS_INTERVAL_US (50 * CS_MSEC)

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
	bool is_settled; /* all runs of a predecessor of it are known */
	struct no_room *no_room; /* of the pass */
	const struct pass_order *order; /* of the pass */
	bool has_hold; /* room is held back for it that others did not see */
	int starts_max;
	int started;
	enum job_block block; /* why a task could not start */
	bool is_waiting; /* a task is left that may start later */
	/* A task waits for something else than room. */
	bool waits_for_more_than_room;
	bool is_over_share; /* other workspaces come before the next start */
};

static void set_block(struct job_attempt *a, enum job_block block)
{
	a->block = block;
	a->waits_for_more_than_room |= block != BLOCK_ROOM;
}

static bool may_start(struct sched *s, const struct task_ref *ref,
		      const struct batch_task *t, struct job_attempt *a,
		      cs_time now)
{
	if (t->state != BATCH_TASK_WAITING || t->run_row)
		return false;
	if (now < t->not_before || late_starts_hold(s, ref, now)) {
		a->waits_for_more_than_room = true;
		return false;
	}
	return true;
}

/* Remembers what a step of the job did not find room for. */
static void note_lacking_room(struct job *j, const struct batch_step *st,
			      struct job_attempt *a)
{
	struct site_resources need = place_need(st);
	const char *label = st->label;

	no_room_add(a->no_room, label, need);
	set_block(a, BLOCK_ROOM);
	/* Needs of servers with different labels have no common bound. */
	if (j->lacks_room && g_strcmp0(j->lacking_label, label)) {
		a->waits_for_more_than_room = true;
		return;
	}
	if (j->lacks_room) {
		need.cpu = MIN(need.cpu, j->lacking_need.cpu);
		need.memory_mb = MIN(need.memory_mb, j->lacking_need.memory_mb);
		need.accelerators =
			MIN(need.accelerators, j->lacking_need.accelerators);
	}
	j->lacks_room = true;
	j->lacking_need = need;
	j->lacking_label = label;
}

/*
 * Finds a server for a task. Without one, sets has_room if some have room but
 * rules exclude them. members: see place_choose().
 */
static struct server *find_server(struct sched *s, const struct task_ref *ref,
				  const GPtrArray *members,
				  const struct job_attempt *a, cs_time now,
				  bool *has_room)
{
	const struct batch_step *st = &ref->job->batch->spec->steps[ref->step];
	struct place_search search = { 0 };
	struct server *v = NULL;

	if (a->has_hold ||
	    !no_room_covers(a->no_room, st->label, place_need(st)))
		v = place_choose(s, ref, members, now, &search);
	s->examined_servers += search.examined;
	*has_room = search.has_room;
	return v;
}

/* Notes that no server was found for a step, and why. */
static void note_unplaced(struct sched *s, const struct task_ref *ref,
			  bool has_room, struct job_attempt *a, cs_time now)
{
	struct job *j = ref->job;

	if (has_room)
		set_block(a, BLOCK_RULES);
	else
		note_lacking_room(j, &j->batch->spec->steps[ref->step], a);
	if (sched_terms_of(s, j)->advice.validity_ms)
		advice_request(s, j, ref->occurrence, ref->step, now);
}

/* True if a further task of the job may start in this attempt. */
static bool has_starts_left(const struct job *j, struct job_attempt *a)
{
	if (a->started >= a->starts_max)
		return false;
	if (a->started && pass_order_is_over_share(a->order, j))
		a->is_over_share = a->waits_for_more_than_room = true;
	return !a->is_over_share;
}

/* Starts the tasks of a step for which there is room. */
static void assign_step(struct sched *s, struct job *j, int occurrence,
			int step, cs_time now, struct job_attempt *a)
{
	const struct batch_step *st = &j->batch->spec->steps[step];
	int i;

	for (i = 0; i < st->count && has_starts_left(j, a); i++) {
		const struct task_ref ref = { j, occurrence, step, i };
		const struct batch_task *t =
			batch_find_task(j->batch, occurrence, step, i);
		struct server *v;
		struct run *r;
		bool has_room;

		s->examined_tasks++;
		if (!may_start(s, &ref, t, a, now))
			continue;
		if (!place_within_limit(s, j, st->need)) {
			set_block(a, BLOCK_LIMIT);
			break;
		}
		v = find_server(s, &ref, NULL, a, now, &has_room);
		if (!v) {
			note_unplaced(s, &ref, has_room, a, now);
			break;
		}
		r = runs_start(s, &ref, v, next_run_number(s, t),
			       advice_ticket(s, j, occurrence, step, v, now),
			       now);
		if (!r)
			break;
		room_holds_note_start(&j->pool->holds, r->need);
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
	GPtrArray *chosen = g_ptr_array_new();
	struct site_resources all = { 0 };
	uint32_t number = 0;
	bool has_room = false;
	int i;

	for (i = 0; i < st->count; i++) {
		const struct task_ref ref = { j, occurrence, step, i };
		const struct batch_task *t =
			batch_find_task(j->batch, occurrence, step, i);

		s->examined_tasks++;
		if (!may_start(s, &ref, t, a, now))
			goto out;
		all = site_resources_add(all, st->need);
		if (next_run_number(s, t) > number)
			number = next_run_number(s, t);
	}
	if (!place_within_limit(s, j, all)) {
		set_block(a, BLOCK_LIMIT);
		goto out;
	}
	for (i = 0; i < st->count; i++) {
		const struct task_ref ref = { j, occurrence, step, i };
		struct server *v =
			find_server(s, &ref, chosen, a, now, &has_room);

		if (!v)
			break;
		servers_reserve(v, place_need(st), 1);
		g_ptr_array_add(chosen, v);
	}
	for (i = 0; i < (int)chosen->len; i++)
		servers_reserve(g_ptr_array_index(chosen, i), place_need(st),
				-1);
	if ((int)chosen->len < st->count) {
		/* Room for some members only is no lack of room for a task. */
		note_unplaced(s, &(struct task_ref){ j, occurrence, step, 0 },
			      has_room || chosen->len, a, now);
		goto out;
	}
	batch_share_gang_checkpoint(j->batch, occurrence, step);
	for (i = 0; i < st->count; i++) {
		const struct task_ref ref = { j, occurrence, step, i };
		struct server *v = g_ptr_array_index(chosen, i);
		struct run *r = runs_start(
			s, &ref, v, number,
			advice_ticket(s, j, occurrence, step, v, now), now);

		if (r)
			log_start(s, j, r, v, now);
	}
	a->started += st->count;
out:
	g_ptr_array_free(chosen, TRUE);
}

/*
 * Opens the occurrences that are due, as long as few tasks of those that are
 * open wait for their start. Returns the first one not done.
 */
static int open_due_occurrences(struct sched *s, struct job *j, cs_time now)
{
	struct batch *b = j->batch;
	int first = MIN(b->first_occurrence, b->occurrences_nr - 1);
	int waiting = 0, k;

	if (j->first_open_occurrence != first) {
		j->first_open_occurrence = first;
		sched_set_objective(s, j);
	}
	for (k = first; k < b->occurrences_nr && waiting < OPEN_TASKS_MIN;
	     k++) {
		if (batch_due_unix_ms(b, k) > s->unix_ms)
			break;
		/* Jobs of a predecessor are not new demand. */
		if (!batch_occurrence_is_open(b, k) &&
		    !batch_occurrence_is_done(b, k) && !j->is_from_predecessor)
			sched_record_arrival(s, j, now);
		batch_open_occurrence(b, k);
		waiting += batch_count_first_waiting(b, k);
	}
	return first;
}

/*
 * True once it is stored that tasks of the job start in its pool. So a
 * successor knows that jobs without stored progress have no runs, and in which
 * pools the runs of the others may be, even while some servers do not answer.
 */
static bool is_begin_stored(struct sched *s, struct job *j, cs_time now)
{
	if (j->begun_pool != j->pool && j->pool->open_begins < OPEN_BEGINS_MAX)
		sched_begin_job(s, j, now);
	return j->begun_pool == j->pool && sched_job_begin_is_stored(j);
}

/* Starts as many tasks of a job as possible. */
static void assign_job(struct sched *s, struct job *j, cs_time now,
		       struct job_attempt *a)
{
	struct batch *b = j->batch;
	int occurrence, step, end;

	a->is_waiting = false;
	a->waits_for_more_than_room = false;
	a->is_over_share = false;
	j->lacks_room = false;
	occurrence = open_due_occurrences(s, j, now);
	end = batch_occurrences_end(b);
	if (end < b->occurrences_nr) {
		a->is_waiting = true;
		a->waits_for_more_than_room |= batch_due_unix_ms(b, end) >
					       s->unix_ms;
	}
	for (; occurrence < end; occurrence++) {
		if (!batch_occurrence_is_open(b, occurrence)) {
			bool is_done = batch_occurrence_is_done(b, occurrence);

			a->is_waiting |= !is_done;
			a->waits_for_more_than_room |= !is_done;
			continue;
		}
		for (step = 0; step < b->spec->steps_nr; step++) {
			if (!batch_step_is_ready(b, occurrence, step) ||
			    !batch_count_waiting(b, occurrence, step))
				continue;
			if (!has_starts_left(j, a)) {
				a->is_waiting = true;
				a->waits_for_more_than_room = true;
				return;
			}
			if (!is_begin_stored(s, j, now)) {
				set_block(a, BLOCK_STORE);
				a->is_waiting = true;
				return;
			}
			/*
			 * A server that does not answer may have runs of it. No
			 * task is looked at: there may be millions.
			 */
			if (!a->is_settled) {
				set_block(a, BLOCK_UNSETTLED);
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

/* Keeps the jobs that the pass found to wait still, or did not reach. */
static void drop_idle_jobs(struct pool *p)
{
	guint i, kept = 0;

	for (i = 0; i < p->waiting->len; i++) {
		struct job *j = g_ptr_array_index(p->waiting, i);

		if (j->is_waiting)
			p->waiting->pdata[kept++] = j;
	}
	g_ptr_array_set_size(p->waiting, (gint)kept);
}

/* A pass over the waiting jobs of a pool. */
struct pass {
	struct pass_order order;
	struct no_room no_room;
	/* Jobs that placement rules blocked, in the last pass and this one. */
	int rules_before, rules_tried;
	int preempt_searches;
};

/*
 * True if an attempt would fail as the last one did, or if it is the turn of
 * other jobs. block: the reason of the last attempt.
 */
static bool skips_job(const struct pass *pass, const struct job *j, cs_time now,
		      enum job_block *block)
{
	if (j->lacks_room) {
		*block = BLOCK_ROOM;
		return no_room_covers(&pass->no_room, j->lacking_label,
				      j->lacking_need);
	}
	*block = BLOCK_RULES;
	return j->next_attempt_at && (pass->rules_tried >= RULES_JOBS_MAX ||
				      (pass->rules_before > RULES_JOBS_MAX &&
				       now < j->next_attempt_at));
}

/*
 * Sets when to try a job again that placement rules block. All such jobs have
 * been tried by then, if there is a pass each PASS_INTERVAL_US.
 */
static void note_rules_block(struct pass *pass, struct job *j, cs_time now)
{
	int passes = 1 + pass->rules_before / RULES_JOBS_MAX;

	pass->rules_tried++;
	j->next_attempt_at = now + passes * PASS_INTERVAL_US;
}

static void note_lacking_label(struct pool *p, const struct job *j)
{
	int i;

	if (!j->lacks_room || !j->lacking_label)
		return;
	for (i = 0; i < p->lacking_labels_nr; i++)
		if (!strcmp(p->lacking_labels[i], j->lacking_label))
			return;
	if (i < LACKING_LABELS_MAX)
		cs_copy(p->lacking_labels[p->lacking_labels_nr++],
			SITE_NAME_MAX, j->lacking_label);
}

/*
 * Takes note of whether the job lacks room, and holds room back or stops less
 * urgent runs for it.
 */
static void note_room(struct sched *s, struct pool *p, struct pass *pass,
		      struct job *j, bool has_started, cs_time now)
{
	const struct sched_policy *policy = &s->options.policy;

	if (!policy->has_fair_shares && !policy->has_preemption)
		return;
	room_holds_settle(s, p, j, has_started, now);
	if (!policy->has_preemption || !preempt_is_due(j, now) ||
	    pass->preempt_searches >= PREEMPT_SEARCHES_MAX)
		return;
	pass->preempt_searches++;
	preempt_for_job(s, p, j, now);
}

/* Attempts to start the tasks of a job. Returns the number of starts. */
static int attempt_job(struct sched *s, struct pool *p, struct pass *pass,
		       struct job *j, struct job_attempt *a, cs_time now)
{
	a->is_settled = sched_job_is_settled(s, j);
	a->started = 0;
	a->block = BLOCK_NONE;
	assign_job(s, j, now, a);
	j->is_waiting = a->is_waiting;
	note_lacking_label(p, j);
	j->lacks_room &= !a->waits_for_more_than_room;
	j->next_attempt_at = 0;
	note_room(s, p, pass, j, a->started > 0, now);
	if (a->block == BLOCK_RULES && !a->started)
		note_rules_block(pass, j, now);
	if (a->is_over_share && a->is_waiting)
		pass_order_put_back(&pass->order);
	else
		p->blocked[a->block]++;
	return a->started;
}

static int assign_pool(struct sched *s, struct pool *p, cs_time now, int max)
{
	struct pass pass = { .rules_before = p->blocked[BLOCK_RULES] };
	struct job_attempt a = { .no_room = &pass.no_room,
				 .order = &pass.order };
	struct job *j;
	int started = 0;

	drop_final_jobs(p);
	if (p->waiting->len && p->servers->len)
		pass_order_begin(&pass.order, s, p, now);
	memset(p->blocked, 0, sizeof(p->blocked));
	p->lacking_labels_nr = 0;
	if (!p->waiting->len || !p->servers->len)
		return 0;
	room_holds_begin(s, p, now);
	while (started < max && (j = pass_order_next(&pass.order))) {
		a.has_hold = room_holds_release(s, p, j);
		if (!a.has_hold && skips_job(&pass, j, now, &a.block)) {
			if (a.block == BLOCK_ROOM)
				note_room(s, p, &pass, j, false, now);
			note_lacking_label(p, j);
			p->blocked[a.block]++;
			continue;
		}
		a.starts_max = max - started;
		started += attempt_job(s, p, &pass, j, &a, now);
	}
	room_holds_end(s, p);
	pass_order_end(&pass.order);
	drop_idle_jobs(p);
	return started;
}

/*
 * Each turn begins after the last pool that got starts, as the first pools may
 * use up what can be ordered at a time.
 */
void assign_tasks(struct sched *s, cs_time now)
{
	int room = start_window_size(&s->start_window) - s->unanswered_starts;
	int left = MIN(STARTS_MAX, room);
	guint first = s->first_pool, i;

	servers_update_settled(s);
	reserve_update(s);
	for (i = 0; left > 0 && i < s->pool_list->len; i++) {
		guint at = (first + i) % s->pool_list->len;
		struct pool *p = g_ptr_array_index(s->pool_list, at);
		int started;

		if (!p->is_due && !s->are_pools_due)
			continue;
		p->is_due = false;
		started = assign_pool(s, p, now, left);
		if (started)
			s->first_pool = at + 1;
		left -= started;
	}
	s->are_pools_due = left <= 0;
	/* If it is the window that is full, the next reply makes a turn due. */
	s->is_turn_due |= s->are_pools_due && room > STARTS_MAX;
}
