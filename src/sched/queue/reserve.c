#include "../sched_private.h"

/*
 * Reserves a part of the limits of workspaces for runs that may exist without
 * being known here. After a change of owner, servers that have not answered yet
 * may run tasks of jobs that wait here. Until a pool is settled these tasks
 * count against the limit of their workspace, up to the capacity of the servers
 * that have not answered.
 */

static int64_t min_int64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* Above any capacity, and with room for a sum. */
#define AMOUNT_MAX (INT64_MAX / 2)

/* sum + n * amount, AMOUNT_MAX at most; callers choose any amount. */
static int64_t add_amount(int64_t sum, int64_t amount, int n)
{
	if (amount >= AMOUNT_MAX / n)
		return AMOUNT_MAX;
	return min_int64(sum + n * amount, AMOUNT_MAX);
}

/* Adds what n tasks need; n is above 0. */
static void add_need(GHashTable *table, const char *workspace,
		     struct site_resources need, int n)
{
	struct site_resources *r = g_hash_table_lookup(table, workspace);

	if (!r) {
		r = g_new0(struct site_resources, 1);
		g_hash_table_insert(table, g_strdup(workspace), r);
	}
	r->cpu = add_amount(r->cpu, need.cpu, n);
	r->memory_mb = add_amount(r->memory_mb, need.memory_mb, n);
	r->accelerators = add_amount(r->accelerators, need.accelerators, n);
}

/* Total capacity of the servers of a pool that may have unknown runs. */
static struct site_resources unconfirmed_capacity(const struct sched *s,
						  const struct pool *p)
{
	struct site_resources all = { 0 }, largest = { 0 };
	guint i;

	for (i = 0; i < p->servers->len; i++) {
		const struct server *v = g_ptr_array_index(p->servers, i);

		if (v->info.capacity.cpu > largest.cpu)
			largest = v->info.capacity;
		if (servers_may_have_unknown_runs(s, v))
			all = site_resources_add(all, v->info.capacity);
	}
	/* Of a server that is not in the registry only the pool is known. */
	for (i = grants_count_unlisted(s, p->name); i > 0; i--)
		all = site_resources_add(all, largest);
	return all;
}

/* Adds the tasks of a job's ready steps that have no known run. */
static void reserve_job(GHashTable *table, const struct job *j)
{
	struct batch *b = j->batch;
	int occurrence, step, waiting;

	for (occurrence = j->first_open_occurrence;
	     occurrence < batch_occurrences_end(b); occurrence++)
		for (step = 0; step < b->spec->steps_nr; step++) {
			if (!batch_step_is_ready(b, occurrence, step))
				continue;
			waiting = batch_count_waiting(b, occurrence, step);
			if (waiting)
				add_need(table, b->workspace,
					 b->spec->steps[step].need, waiting);
		}
}

/* Reserves, of what may wait for a pool, as much as may run there. */
static void reserve_pool(struct sched *s, const struct pool *p,
			 GHashTable *waiting)
{
	struct site_resources capacity = unconfirmed_capacity(s, p);
	void *workspace, *row;
	GHashTableIter it;

	g_hash_table_iter_init(&it, waiting);
	while (g_hash_table_iter_next(&it, &workspace, &row)) {
		struct site_resources *r = row;

		r->cpu = min_int64(r->cpu, capacity.cpu);
		r->memory_mb = min_int64(r->memory_mb, capacity.memory_mb);
		r->accelerators =
			min_int64(r->accelerators, capacity.accelerators);
		add_need(s->reserve, workspace, *r, 1);
	}
}

/*
 * Adds a job to what may run in unsettled pools. Its queue may have gone to
 * another pool since its tasks started.
 */
static void add_job(struct sched *s, const struct job *j, GPtrArray *waiting)
{
	guint i;

	if (!j->may_have_runs || !*j->batch->workspace)
		return;
	for (i = 0; i < s->unsettled_pools->len; i++)
		if (sched_job_may_have_runs_in(
			    j, g_ptr_array_index(s->unsettled_pools, i)))
			reserve_job(g_ptr_array_index(waiting, i), j);
}

static void table_free(void *table)
{
	g_hash_table_destroy(table);
}

void reserve_update(struct sched *s)
{
	GPtrArray *waiting; /* a table for each unsettled pool */
	GHashTableIter it;
	void *row;
	guint i;

	g_hash_table_remove_all(s->reserve);
	if (!s->unsettled_pools->len)
		return;
	waiting = g_ptr_array_new_with_free_func(table_free);
	for (i = 0; i < s->unsettled_pools->len; i++)
		g_ptr_array_add(waiting,
				g_hash_table_new_full(g_str_hash, g_str_equal,
						      g_free, g_free));
	g_hash_table_iter_init(&it, s->pools);
	while (g_hash_table_iter_next(&it, NULL, &row)) {
		const struct pool *p = row;

		for (i = 0; i < p->jobs->len; i++)
			add_job(s, g_ptr_array_index(p->jobs, i), waiting);
	}
	for (i = 0; i < s->unsettled_pools->len; i++)
		reserve_pool(s, g_ptr_array_index(s->unsettled_pools, i),
			     g_ptr_array_index(waiting, i));
	g_ptr_array_free(waiting, TRUE);
}
