#include "sched_private.h"

#include <string.h>

/*
 * Placement: selects the server for a task. Short tasks are packed on full
 * servers (best fit), so that large tasks find room elsewhere. Long-running
 * tasks are spread over racks, so that the loss of a rack affects few of them.
 * Best-effort tasks, which use only CPU that others leave unused, go to the
 * server with the most unused CPU and the fewest serving tasks to disturb.
 */

/* Costs of a placement, in thousandths of a core; the lowest sum is best. */
#define REMOTE_COST 10000000 /* not in the rack that holds the data */
#define SAME_SERVER_COST 50000 /* per task of the step on the server */
#define SAME_RACK_COST 100000 /* per task of the step in the rack */
/* A server that stays without runs can move to the standby pool. */
#define EMPTY_SERVER_COST 150000
#define SERVING_COST 50000 /* per pair of a serving and a best-effort task */
#define FAILED_THERE_COST 5000000 /* the last failed run was there */

/* True if tasks can be started on the server now. */
bool place_is_usable(const struct sched *s, const struct server *v, cs_time now)
{
	return v->is_listed && v->is_taken_over && v->is_granted &&
	       !v->is_dead && !v->is_cordoned && !v->info.is_draining &&
	       !v->unanswered_orders && v->clock_ms >= 0 &&
	       now >= v->suspect_until && now >= v->refused_until &&
	       !g_hash_table_contains(s->evacuated, v->info.data_centre);
}

static bool has_label(const struct server *v, const char *label)
{
	int i;

	for (i = 0; i < v->info.labels_nr; i++)
		if (!strcmp(v->info.labels[i], label))
			return true;
	return false;
}

/* What a task reserves on a server; best-effort tasks reserve no CPU. */
struct site_resources place_need(const struct batch_step *st)
{
	struct site_resources need = st->need;

	if (st->is_best_effort)
		need.cpu = 0;
	return need;
}

/* Numbers of runs on a server: of the same step, and of certain kinds. */
struct neighbors {
	int same_step, serving, best_effort;
};

static struct neighbors count_neighbors(const struct sched *s,
					const struct server *v,
					const struct job *j, int occurrence,
					int step)
{
	struct neighbors n = { 0 };
	guint i;

	for (i = 0; i < v->runs->len; i++) {
		const struct run *r =
			run_row(s, g_array_index(v->runs, cs_handle, i));
		const struct job *other = slots_get(s->jobs, r->job);
		const struct batch_step *st =
			&other->batch->spec->steps[r->step];

		n.same_step += r->job == j->self &&
			       r->occurrence == occurrence && r->step == step;
		n.serving += st->tail_target_ms > 0;
		n.best_effort += st->is_best_effort;
	}
	return n;
}

/* Number of runs of a step in a rack. */
static int runs_in_rack(const struct sched *s, const struct pool *p,
			const char *rack, const struct job *j, int occurrence,
			int step)
{
	int n = 0;
	guint i;

	for (i = 0; i < p->servers->len; i++) {
		const struct server *v = g_ptr_array_index(p->servers, i);

		if (!strcmp(v->info.rack, rack))
			n += runs_of_step(s, v, j, occurrence, step);
	}
	return n;
}

static int64_t score(const struct sched *s, const struct server *v,
		     const struct job *j, int occurrence, int step,
		     const struct batch_task *t, const struct neighbors *n)
{
	const struct batch_step *st = &j->batch->spec->steps[step];
	int64_t left = v->info.capacity.cpu - v->used.cpu;
	int64_t cost = 0;

	if (*st->rack && strcmp(st->rack, v->info.rack))
		cost += REMOTE_COST;
	if (t->last_failed_server == v->self)
		cost += FAILED_THERE_COST;
	if (st->is_best_effort)
		return cost - left + (int64_t)SERVING_COST * n->serving +
		       (int64_t)SAME_SERVER_COST * n->best_effort;
	/* Long-running tasks of all jobs share servers, so others get empty. */
	if (st->is_long_running)
		return cost + left + (v->runs->len ? 0 : EMPTY_SERVER_COST) +
		       (int64_t)SAME_SERVER_COST * n->same_step +
		       (int64_t)SAME_RACK_COST *
			       runs_in_rack(s, j->pool, v->info.rack, j,
					    occurrence, step) +
		       (int64_t)SERVING_COST * n->best_effort;
	return cost + left;
}

/* The server with the lowest score, or NULL if none can take the task. */
struct server *place_choose(const struct sched *s, const struct job *j,
			    int occurrence, int step,
			    const struct batch_task *t, cs_time now)
{
	const struct batch_step *st = &j->batch->spec->steps[step];
	const struct site_queue *q = sched_queue_of(s, j);
	struct server *best = NULL;
	int64_t best_score = 0, candidate_score;
	guint i;

	for (i = 0; i < j->pool->servers->len; i++) {
		struct server *v = g_ptr_array_index(j->pool->servers, i);
		struct neighbors n;

		if (!place_is_usable(s, v, now) ||
		    !site_resources_fit(place_need(st),
					site_resources_sub(v->info.capacity,
							   v->used)) ||
		    (*st->label && !has_label(v, st->label)))
			continue;
		n = count_neighbors(s, v, j, occurrence, step);
		if (st->per_server_max && n.same_step >= st->per_server_max)
			continue;
		if (q && q->advice.validity_ms &&
		    !advice_ticket(s, j, occurrence, step, v, now))
			continue;
		candidate_score = score(s, v, j, occurrence, step, t, &n);
		if (best && candidate_score >= best_score)
			continue;
		best = v;
		best_score = candidate_score;
	}
	return best;
}

/* What is left of one dimension of a limit; a limit of 0 means none. */
static int64_t remaining_of(int64_t limit, int64_t used)
{
	return limit ? limit - used : INT64_MAX;
}

struct site_resources place_headroom(const struct sched *s, const struct job *j)
{
	const struct site_workspace *w =
		s->site && *j->batch->workspace ?
			site_find_workspace(s->site, j->batch->workspace) :
			NULL;
	struct site_resources left = { INT64_MAX, INT64_MAX, INT64_MAX };
	struct site_resources used = { 0 };
	const struct site_resources *counted;

	if (!w)
		return left;
	counted = g_hash_table_lookup(s->usage, w->name);
	if (counted)
		used = site_resources_add(used, *counted);
	counted = g_hash_table_lookup(s->reserve, w->name);
	if (counted)
		used = site_resources_add(used, *counted);
	left.cpu = remaining_of(w->limit.cpu, used.cpu);
	left.memory_mb = remaining_of(w->limit.memory_mb, used.memory_mb);
	left.accelerators =
		remaining_of(w->limit.accelerators, used.accelerators);
	return left;
}

/* True if need fits into what is left of the limit of the job's workspace. */
bool place_within_limit(const struct sched *s, const struct job *j,
			struct site_resources need)
{
	return site_resources_fit(need, place_headroom(s, j));
}
