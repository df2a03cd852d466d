#include "../sched_private.h"

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
/* Per ms that the task would end later: its end goes before packing. */
#define LATE_MS_COST ((int64_t)1000)
/* Servers looked at beyond the first that can take the task. */
#define SLOW_EXAMINED_MAX 32
#define SAME_SERVER_COST 50000 /* per task of the step on the server */
#define SAME_RACK_COST 100000 /* per task of the step in the rack */
/* A server that stays without runs can move to the standby pool. */
#define EMPTY_SERVER_COST 150000
#define SERVING_COST 50000 /* per pair of a serving and a best-effort task */
#define FAILED_THERE_COST 5000000 /* the last failed run was there */

/* True if the record in the registry is of the present incarnation. */
static bool is_described(const struct server *v)
{
	return !v->described_unix_ms || !v->info.started_unix_ms ||
	       v->described_unix_ms == v->info.started_unix_ms;
}

/*
 * Age of the last answer up to which an owner that may have a successor starts
 * tasks: more than the wait of a hold, so that servers that answer stay in use.
 */
#define RECENT_ANSWER_US (1 * CS_SEC)

/*
 * True if the server would refuse the start in case a successor has taken it
 * over. Once it has started again it knows no token, and an owner that was
 * paused has not heard of that.
 */
static bool is_fencing(const struct sched *s, const struct server *v,
		       cs_time now)
{
	return !sched_may_have_successor(s, now) ||
	       now - v->answer_sent_at < RECENT_ANSWER_US;
}

/* True if tasks can be started on the server now. */
bool place_is_usable(const struct sched *s, const struct server *v, cs_time now)
{
	return v->is_listed && v->is_taken_over && v->is_granted &&
	       !v->is_grant_bounded && grants_tell_leases(s, v) &&
	       !v->is_dead && !v->cordons && !v->info.is_draining &&
	       !v->unanswered_orders && v->clock_ms >= 0 && is_described(v) &&
	       !v->is_incarnation_doubtful && is_fencing(s, v, now) &&
	       health_admits(s, v, now) && now >= v->refused_until &&
	       !(g_hash_table_size(s->evacuated) &&
		 g_hash_table_contains(s->evacuated, v->info.data_centre));
}

bool place_has_label(const struct server *v, const char *label)
{
	int i;

	if (!label)
		return true;

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

/* A task to place, with what its step and its queue ask for. */
struct placement {
	const struct sched *sched;
	const struct job *job;
	int occurrence, step;
	const struct batch_task *task;
	const struct batch_step *spec;
	const struct site_terms *terms;
	const GPtrArray *members; /* see place_choose() */
	cs_time now;
	struct place_search *search;
};

static bool has_room(const struct placement *p, const struct server *v)
{
	const struct batch_step *st = p->spec;

	return site_resources_fit(place_need(st),
				  site_resources_sub(v->info.capacity,
						     v->used)) &&
	       place_is_usable(p->sched, v, p->now) &&
	       place_has_label(v, st->label);
}

/* Number of members of the task's gang for which the server is reserved. */
static int count_members(const struct placement *p, const struct server *v)
{
	int n = 0;
	guint i;

	for (i = 0; p->members && i < p->members->len; i++)
		n += g_ptr_array_index(p->members, i) == v;
	return n;
}

/* True if the spread of the step and the advisor allow the server. */
static bool is_allowed(const struct placement *p, const struct server *v)
{
	const struct batch_step *st = p->spec;

	return (!st->per_server_max ||
		runs_of_step(p->sched, v, p->job, p->occurrence, p->step) +
				count_members(p, v) <
			st->per_server_max) &&
	       (!p->terms->advice.validity_ms ||
		advice_ticket(p->sched, p->job, p->occurrence, p->step, v,
			      p->now));
}

static bool can_take(const struct placement *p, const struct server *v)
{
	if (!has_room(p, v))
		return false;
	p->search->has_room = true;
	return is_allowed(p, v);
}

static bool is_remote(const struct placement *p, const struct server *v)
{
	return p->spec->rack && strcmp(p->spec->rack, v->info.rack);
}

/* Cost of the time that the task would take longer than on a good server. */
static int64_t late_cost(const struct placement *p, const struct server *v)
{
	double speed =
		server_score_speed(&v->score, &p->sched->all_scores, p->now);

	return LATE_MS_COST * server_score_extra_ms(speed, is_remote(p, v),
						    p->spec->expected_ms);
}

/* The part of the cost that does not depend on the server's other tasks. */
static int64_t own_cost(const struct placement *p, const struct server *v)
{
	int64_t cost = 0;

	if (p->sched->options.policy.has_server_scores)
		cost += late_cost(p, v);
	else if (is_remote(p, v))
		cost += REMOTE_COST;
	if (p->task->last_failed_server == v->self)
		cost += FAILED_THERE_COST;
	return cost;
}

/* Where the tasks of a step run: servers, each as often as it has a task. */
static GPtrArray *servers_of_step(const struct placement *p)
{
	GPtrArray *list = g_ptr_array_new();
	int i;

	for (i = 0; i < p->spec->count; i++) {
		const struct batch_task *t = batch_find_task(
			p->job->batch, p->occurrence, p->step, i);
		const struct run *r = t ? run_row(p->sched, t->run_row) : NULL;

		if (r)
			g_ptr_array_add(list, server_row(p->sched, r->server));
	}
	if (p->members)
		g_ptr_array_extend(list, (GPtrArray *)p->members, NULL, NULL);
	return list;
}

/* Cost of a server for a long-running or best-effort task. */
static int64_t spread_cost(const struct placement *p, const struct server *v,
			   const GPtrArray *others)
{
	int64_t left = v->info.capacity.cpu - v->used.cpu;
	int64_t cost = own_cost(p, v);
	guint i;

	if (p->spec->is_best_effort)
		return cost - left + (int64_t)SERVING_COST * v->serving_runs +
		       (int64_t)SAME_SERVER_COST * v->best_effort_runs;
	for (i = 0; i < others->len; i++) {
		const struct server *other = g_ptr_array_index(others, i);

		if (other == v)
			cost += SAME_SERVER_COST;
		if (!strcmp(other->info.rack, v->info.rack))
			cost += SAME_RACK_COST;
	}
	/* Long-running tasks of all jobs share servers, so others get empty. */
	return cost + left + (v->runs->len ? 0 : EMPTY_SERVER_COST) +
	       (int64_t)SERVING_COST * v->best_effort_runs;
}

/* Looks at all servers, as the cost depends on their other tasks. */
static struct server *choose_spread(const struct placement *p)
{
	const GPtrArray *servers = p->job->pool->servers;
	GPtrArray *others = servers_of_step(p);
	struct server *best = NULL;
	int64_t best_cost = 0, cost;
	guint i;

	p->search->examined += servers->len;
	for (i = 0; i < servers->len; i++) {
		struct server *v = g_ptr_array_index(servers, i);

		if (!can_take(p, v))
			continue;
		cost = spread_cost(p, v, others);
		if (best && cost >= best_cost)
			continue;
		best = v;
		best_cost = cost;
	}
	g_ptr_array_free(others, TRUE);
	return best;
}

/*
 * The cost is the free CPU and what own_cost() adds, so the search ends at the
 * first server whose free CPU alone exceeds the lowest cost.
 */
static struct server *choose_best_fit(const struct placement *p)
{
	const struct room_index *room = p->job->pool->room;
	guint i = room_index_first(room, p->spec->need.cpu);
	struct server *best = NULL;
	int64_t best_cost = INT64_MAX, cost;
	const struct room_row *row;
	int beyond = 0;

	for (; (row = room_index_at(room, i)) && row->free_cpu < best_cost &&
	       (beyond < SLOW_EXAMINED_MAX || p->spec->rack);
	     i++) {
		struct server *v = server_row(p->sched, row->server);

		p->search->examined++;
		beyond += best && p->sched->options.policy.has_server_scores;
		if (!can_take(p, v))
			continue;
		cost = row->free_cpu + own_cost(p, v);
		if (cost >= best_cost)
			continue;
		best = v;
		best_cost = cost;
	}
	return best;
}

static struct placement placement_of(const struct sched *s,
				     const struct task_ref *ref, cs_time now)
{
	return (struct placement){
		.sched = s,
		.job = ref->job,
		.occurrence = ref->occurrence,
		.step = ref->step,
		.task = batch_find_task(ref->job->batch, ref->occurrence,
					ref->step, ref->index),
		.spec = &ref->job->batch->spec->steps[ref->step],
		.terms = sched_terms_of(s, ref->job),
		.now = now,
	};
}

bool place_allows(const struct sched *s, const struct task_ref *ref,
		  const struct server *v, cs_time now)
{
	const struct placement p = placement_of(s, ref, now);

	return place_is_usable(s, v, now) &&
	       place_has_label(v, p.spec->label) && is_allowed(&p, v);
}

struct server *place_choose(const struct sched *s, const struct task_ref *ref,
			    const GPtrArray *members, cs_time now,
			    struct place_search *search)
{
	struct placement p = placement_of(s, ref, now);

	p.members = members;
	p.search = search;
	*search = (struct place_search){ 0 };
	if (p.spec->is_long_running || p.spec->is_best_effort)
		return choose_spread(&p);
	return choose_best_fit(&p);
}

/* What is left of one dimension of a limit; a limit of 0 means none. */
static int64_t remaining_of(int64_t limit, int64_t used)
{
	return limit ? limit - used : INT64_MAX;
}

/*
 * The limit of the job's workspace: the configured one, or, once the workspace
 * is removed, the one that held when the job was accepted.
 */
static struct site_resources limit_of(const struct sched *s,
				      const struct job *j)
{
	const struct site_workspace *w =
		s->site ? site_find_workspace(s->site, j->batch->workspace) :
			  NULL;

	return w ? w->limit : j->batch->limit;
}

struct site_resources place_headroom(const struct sched *s, const struct job *j)
{
	const char *workspace = j->batch->workspace;
	struct site_resources left = { INT64_MAX, INT64_MAX, INT64_MAX };
	struct site_resources used = { 0 };
	const struct site_resources *counted;
	struct site_resources limit;

	if (!*workspace)
		return left;
	limit = limit_of(s, j);
	counted = g_hash_table_lookup(s->usage, workspace);
	if (counted)
		used = site_resources_add(used, *counted);
	counted = g_hash_table_lookup(s->reserve, workspace);
	if (counted)
		used = site_resources_add(used, *counted);
	left.cpu = remaining_of(limit.cpu, used.cpu);
	left.memory_mb = remaining_of(limit.memory_mb, used.memory_mb);
	left.accelerators = remaining_of(limit.accelerators, used.accelerators);
	return left;
}

/* True if need fits into what is left of the limit of the job's workspace. */
bool place_within_limit(const struct sched *s, const struct job *j,
			struct site_resources need)
{
	return site_resources_fit(need, place_headroom(s, j));
}
