#include "../sched_private.h"

#include <stdlib.h>
#include <string.h>

#include "../../base/error.h"
#include "../../base/log.h"
#include "preempt.h"

/*
 * Until then after a stop the job waits for the room to become free. A server
 * that has not answered by then may not answer at all.
 */
#define PREEMPT_PAUSE_US (1 * CS_SEC)
/* Time after a search that found nothing, in which other jobs can search. */
#define SEARCH_PAUSE_US (200 * CS_MSEC)
/* A run with less left than this ends about as early by itself. */
#define LEFT_MIN_MS 300
/* Work since the last checkpoint, and the time to load it, at most. */
#define CHECKPOINT_AGE_MS 600

static int compare_runs(const void *a, const void *b)
{
	const struct preempt_run *x = a, *y = b;

	if (x->server != y->server)
		return x->server < y->server ? -1 : 1;
	if (x->has_checkpoint != y->has_checkpoint)
		return x->has_checkpoint ? -1 : 1;
	if (x->lost_ms != y->lost_ms)
		return x->lost_ms < y->lost_ms ? -1 : 1;
	if (x->priority != y->priority)
		return x->priority > y->priority ? -1 : 1;
	return x->self < y->self ? -1 : x->self > y->self;
}

/* True if the chosen ones and one more stay within the budget of its job. */
static bool is_within_budget(const struct preempt_run *const *chosen, int nr,
			     const struct preempt_run *r)
{
	int i, stops = 1;

	for (i = 0; i < nr; i++)
		stops += chosen[i]->job == r->job;
	return stops <= r->stops_left;
}

/* Adds up a choice; runs that turn out not to be needed are left out. */
static struct preempt_choice sum_up(const struct preempt_run *const *chosen,
				    int nr, int server,
				    struct site_resources need,
				    struct site_resources room)
{
	struct preempt_choice c = { .server = server };
	int i;

	/* The last ones lose the most work. */
	for (i = nr; i-- > 0;) {
		struct site_resources less =
			site_resources_sub(room, chosen[i]->need);

		if (site_resources_fit(need, less)) {
			room = less;
			continue;
		}
		c.runs[c.runs_nr++] = chosen[i]->self;
		c.without_checkpoint += !chosen[i]->has_checkpoint;
		c.lost_ms += chosen[i]->lost_ms;
	}
	return c;
}

/* The runs to stop on one server, of which these are the rows. */
static struct preempt_choice choose_on(const struct preempt_run *runs,
				       int runs_nr, int server,
				       struct site_resources room,
				       struct site_resources need, int priority)
{
	const struct preempt_run *chosen[PREEMPT_RUNS_MAX];
	int nr = 0, i;

	for (i = 0; i < runs_nr && nr < PREEMPT_RUNS_MAX &&
		    !site_resources_fit(need, room);
	     i++) {
		if (runs[i].priority <= priority ||
		    !is_within_budget(chosen, nr, &runs[i]))
			continue;
		chosen[nr++] = &runs[i];
		room = site_resources_add(room, runs[i].need);
	}
	if (!nr || !site_resources_fit(need, room))
		return (struct preempt_choice){ .server = -1 };
	return sum_up(chosen, nr, server, need, room);
}

static bool is_better(const struct preempt_choice *a,
		      const struct preempt_choice *b)
{
	if (b->server < 0)
		return true;
	if (a->without_checkpoint != b->without_checkpoint)
		return a->without_checkpoint < b->without_checkpoint;
	return a->lost_ms < b->lost_ms;
}

struct preempt_choice preempt_choose(const struct preempt_server *servers,
				     int servers_nr, struct preempt_run *runs,
				     int runs_nr, struct site_resources need,
				     int priority)
{
	struct preempt_choice best = { .server = -1 };
	int at = 0, server;

	if (!runs_nr)
		return best;
	qsort(runs, (size_t)runs_nr, sizeof(*runs), compare_runs);
	for (server = 0; server < servers_nr; server++) {
		struct preempt_choice c;
		int first = at;

		while (at < runs_nr && runs[at].server == server)
			at++;
		c = choose_on(runs + first, at - first, server,
			      servers[server].room, need, priority);
		if (c.server >= 0 && is_better(&c, &best))
			best = c;
	}
	return best;
}

bool preempt_is_due(const struct job *j, cs_time now)
{
	/* A start of the job since then has ended the wait for that room. */
	bool waits_for_stops = j->preempted_at >= j->lacking_since &&
			       now - j->preempted_at < PREEMPT_PAUSE_US;

	return room_hold_is_due(j, now) && !waits_for_stops &&
	       now >= j->preempt_search_at;
}

/*
 * True if the run may be stopped: a gang would end with its member, a
 * long-running task is lost service, and a best-effort task holds no processor.
 */
static bool may_stop(const struct job *j, const struct run *r, cs_time now)
{
	const struct batch_step *st = &j->batch->spec->steps[r->step];
	int64_t ran_ms = (now - r->sent_at) / CS_MSEC;

	if (st->is_gang || st->is_long_running || st->is_best_effort ||
	    r->state != RUN_ACTIVE || r->stop_at || batch_is_final(j->batch))
		return false;
	/* By its progress, or where there is none, by what is expected. */
	if (r->percent > 0)
		return ran_ms * (100 - r->percent) / r->percent >= LEFT_MIN_MS;
	return st->expected_ms - ran_ms >= LEFT_MIN_MS;
}

static void add_run(const struct sched *s, GArray *rows, const struct run *r,
		    int server, cs_time now)
{
	const struct job *j = slots_get(s->jobs, r->job);
	const struct batch_task *t =
		batch_find_task(j->batch, r->occurrence, r->step, r->index);
	struct preempt_run row = { .self = r->self,
				   .server = server,
				   .need = r->need,
				   .priority = j->priority,
				   .job = r->job };

	if (!t || t->run_row != r->self || !may_stop(j, r, now) ||
	    j->preempted_runs >= PREEMPT_STOPS_MAX)
		return;
	row.stops_left = PREEMPT_STOPS_MAX - j->preempted_runs;
	row.has_checkpoint = t->checkpoint != NULL;
	row.lost_ms = (now - r->sent_at) / CS_MSEC;
	if (row.has_checkpoint)
		row.lost_ms = MIN(row.lost_ms, CHECKPOINT_AGE_MS);
	g_array_append_val(rows, row);
}

static void log_preemption(struct sched *s, const struct job *j,
			   const struct job *stopped, const struct run *r)
{
	GString *pairs = g_string_new(NULL);
	char task[BATCH_TASK_NAME_MAX];

	batch_task_name(stopped->batch, r->occurrence, r->step, r->index, task);
	log_pair(pairs, "job", j->batch->id);
	log_pair_int(pairs, "priority", j->priority);
	log_pair(pairs, "stopped_job", stopped->batch->id);
	log_pair_int(pairs, "stopped_priority", stopped->priority);
	log_pair(pairs, "task", task);
	log_pair_int(pairs, "run", r->number);
	log_pair(pairs, "server", server_row(s, r->server)->info.id);
	log_pair_int(pairs, "percent", r->percent);
	log_pair_int(pairs, "stops_of_job", stopped->preempted_runs);
	sched_log(s, "preempted", pairs);
	counters_add(s->counters, "camphorshed_preemptions_total", "", 1);
}

/* Stops the chosen runs. */
static void stop_runs(struct sched *s, const struct job *j,
		      const struct preempt_choice *choice, cs_time now)
{
	int i;

	for (i = 0; i < choice->runs_nr; i++) {
		struct run *r = run_row(s, choice->runs[i]);
		struct job *stopped = slots_get(s->jobs, r->job);

		stopped->preempted_runs++;
		log_preemption(s, j, stopped, r);
		runs_stop(s, r, "preempted", now);
	}
}

void preempt_for_job(struct sched *s, struct pool *p, struct job *j,
		     cs_time now)
{
	struct task_ref ref = { .job = j };
	GArray *servers, *runs;
	GPtrArray *rows;
	struct preempt_choice choice;
	guint i, k;

	j->preempt_search_at = now + SEARCH_PAUSE_US;
	/* Without a hold others would take the room of the stopped runs. */
	if (!room_holds_may_keep(p, j) || !room_hold_find_task(j, &ref))
		return;
	room_holds_release(s, p, j);
	servers = g_array_new(FALSE, FALSE, sizeof(struct preempt_server));
	runs = g_array_new(FALSE, FALSE, sizeof(struct preempt_run));
	rows = g_ptr_array_new();
	for (i = 0; i < p->servers->len; i++) {
		struct server *v = g_ptr_array_index(p->servers, i);
		const struct preempt_server row = { site_resources_sub(
			v->info.capacity, v->used) };

		if (!place_allows(s, &ref, v, now) || room_holds_has(p, v, j))
			continue;
		for (k = 0; k < v->runs->len; k++)
			add_run(s, runs,
				run_row(s,
					g_array_index(v->runs, cs_handle, k)),
				(int)servers->len, now);
		g_array_append_val(servers, row);
		g_ptr_array_add(rows, v);
	}
	choice = preempt_choose(
		(struct preempt_server *)servers->data, (int)servers->len,
		(struct preempt_run *)runs->data, (int)runs->len,
		place_need(&j->batch->spec->steps[ref.step]), j->priority);
	if (choice.server >= 0) {
		j->preempted_at = now;
		stop_runs(s, j, &choice, now);
	}
	room_holds_keep(s, p, j,
			choice.server < 0 ?
				NULL :
				g_ptr_array_index(rows, choice.server));
	g_array_free(servers, TRUE);
	g_array_free(runs, TRUE);
	g_ptr_array_free(rows, TRUE);
}
