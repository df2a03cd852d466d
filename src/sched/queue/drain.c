#include "drain.h"

#include <string.h>

#include "../sched_private.h"

/* CPU of the servers of a pool, thousandths of a core. */
struct pool_cpu {
	double for_short_work; /* what long-running tasks leave of it */
	double free;
	int64_t free_on_one; /* on the server with the most */
};

static struct pool_cpu sum_pool_cpu(const struct sched *s, const struct pool *p)
{
	struct pool_cpu sum = { 0 };
	guint i;

	for (i = 0; i < p->servers->len; i++) {
		const struct server *v = g_ptr_array_index(p->servers, i);
		int64_t left = v->info.capacity.cpu - v->used.cpu;

		if (!place_is_usable(s, v, s->unix_at))
			continue;
		sum.for_short_work +=
			(double)(v->info.capacity.cpu - v->long_running_cpu);
		sum.free += (double)MAX(left, 0);
		sum.free_on_one = MAX(sum.free_on_one, left);
	}
	return sum;
}

/* Hosts of standby pools, which any pool can get. */
static int count_standby_hosts(const struct sched *s)
{
	GHashTableIter it;
	void *row;
	int n = 0;

	g_hash_table_iter_init(&it, hosts_table(s));
	while (g_hash_table_iter_next(&it, NULL, &row)) {
		const struct order_host *h = row;
		const struct site_pool *p = site_find_pool(s->site, h->pool);

		n += p && p->is_standby && h->state == ORDER_HOST_UP;
	}
	return n;
}

/*
 * The CPU that the pool could have for short work at most: its own, what is
 * free in other pools, and standby hosts. An upper bound, so that the time of
 * the work ahead is a lower one.
 */
static double reachable_cpu(const struct sched *s, const struct pool *p,
			    int standby_hosts)
{
	double cpu = sum_pool_cpu(s, p).for_short_work +
		     standby_hosts * p->server_cpu;
	guint i;

	for (i = 0; i < s->pool_list->len; i++) {
		const struct pool *other = g_ptr_array_index(s->pool_list, i);

		if (other != p)
			cpu += sum_pool_cpu(s, other).free;
	}
	return cpu;
}

/* Work left of jobs that go before a new one of that priority, or with it. */
static double work_ahead(const struct sched *s, const struct pool *p,
			 int priority)
{
	double work = 0;
	guint i;

	for (i = 0; i < p->jobs->len; i++) {
		const struct job *j = g_ptr_array_index(p->jobs, i);
		enum rank_class class = rank_class_of(j, s->unix_at);

		if (j->priority <= priority &&
		    (class == RANK_ON_TIME || class == RANK_LATE))
			work += sched_work_left(j);
	}
	return work;
}

void drain_for_each_queue(const struct sched *s, drain_queue_fn fn, void *ctx)
{
	const struct site_queue *q;
	int standby_hosts;
	guint i;

	if (!s->site)
		return;
	standby_hosts = count_standby_hosts(s);
	for (i = 0; (q = site_queue_at(s->site, i)); i++) {
		const struct pool *p =
			g_hash_table_lookup(s->pools, q->terms.pool);
		struct drain_summary summary;
		double cpu, work;

		if (!p || !p->jobs->len)
			continue;
		cpu = reachable_cpu(s, p, standby_hosts);
		work = work_ahead(s, p, q->terms.priority);
		if (cpu <= 0 || work <= 0)
			continue;
		summary.ahead_ms = (int64_t)(work / cpu);
		summary.free_cpu = sum_pool_cpu(s, p).free_on_one;
		fn(ctx, q->name, &summary);
	}
}
