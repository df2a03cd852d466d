#include "sched_private.h"

#include <math.h>

/*
 * How many servers a pool wants. The load it answers: each queue in turn asks
 * for several times what its pool holds, for some seconds, and for almost
 * nothing in between. Demand is what lasting tasks hold, what arriving work is
 * expected to need when hosts that are ordered now have come, and what waits.
 */

/* From a look until a host that it orders works: 1.5 s for the move. */
#define LEAD_US (2500 * CS_MSEC)
/*
 * Work that waits already is to be done within about this time. While hosts
 * are short, work that can still be on time goes before work that can't.
 */
static const double backlog_clear_ms[RANK_CLASSES] = {
	[RANK_LASTING] = 1000,
	[RANK_ON_TIME] = 1000,
	[RANK_LATE] = 2000,
	[RANK_OVERDUE] = 8000,
};
/* Room beyond the expected demand, as a factor, and in servers. */
#define SIZE_MARGIN 1.05
#define SPARE_SERVERS 1
/* Servers that a pool keeps without any demand. */
#define SERVERS_MIN 2
/* A fall of the demand is believed by this share at each look. */
#define DEMAND_DECAY 0.2
/* A pool's turn has come once its demand was this share of its room. */
#define FIRST_DEMAND_SHARE 0.5

void pool_size_begin(struct sched *s)
{
	g_hash_table_remove_all(s->allowed_cpu_left);
}

/* Tasks that could start if there were room. */
struct backlog {
	double lasting; /* thousandths of a core */
	double finite; /* what others need to be done soon enough */
};

double pool_size_allowed_cpu(struct sched *s, const struct job *j, double cpu)
{
	GHashTable *remaining_by_workspace = s->allowed_cpu_left;
	const char *workspace = j->batch->workspace;
	double *remaining =
		g_hash_table_lookup(remaining_by_workspace, workspace);

	if (!remaining) {
		remaining = g_new(double, 1);
		*remaining = MAX((double)place_headroom(s, j).cpu, 0);
		g_hash_table_insert(remaining_by_workspace, g_strdup(workspace),
				    remaining);
	}
	cpu = MIN(cpu, *remaining);
	*remaining -= cpu;
	return cpu;
}

/* Adds a job's steps whose turn has come, as far as its limit allows. */
static void add_job(struct sched *s, const struct job *j, cs_time now,
		    struct backlog *sum)
{
	double clear = backlog_clear_ms[rank_class_of(j, now)], cpu;
	struct batch *b = j->batch;
	int round, step;

	for (round = j->first_open_round; round < b->rounds_nr; round++)
		for (step = 0; step < b->spec->steps_nr; step++) {
			const struct batch_step *st = &b->spec->steps[step];

			if (st->is_filling ||
			    !batch_step_is_ready(b, round, step))
				continue;
			cpu = pool_size_allowed_cpu(
				s, j,
				(double)batch_waiting(b, round, step) *
					(double)st->need.cpu);
			if (st->is_lasting)
				sum->lasting += cpu;
			else
				sum->finite +=
					cpu * (double)st->expected_ms / clear;
		}
}

static struct backlog find_backlog(struct sched *s, const struct pool *p,
				   cs_time now)
{
	struct backlog sum = { 0 };
	bool is_settled = servers_pool_settled(s, p);
	guint i;

	for (i = 0; i < p->jobs->len; i++) {
		const struct job *j = g_ptr_array_index(p->jobs, i);

		/* A job that may run unknown to us could not use room yet. */
		if (!j->may_have_runs || is_settled)
			add_job(s, j, now, &sum);
	}
	return sum;
}

/* Thousandths of a core that lasting tasks have on a server. */
static double lasting_cpu(const struct sched *s, const struct server *v)
{
	double cpu = 0;
	guint i;

	for (i = 0; i < v->runs->len; i++) {
		const struct run *r =
			run_row(s, g_array_index(v->runs, cs_handle, i));
		const struct job *j = slots_get(s->jobs, r->job);

		if (j->batch->spec->steps[r->step].is_lasting)
			cpu += (double)r->need.cpu;
	}
	return cpu;
}

/* Servers that the pool's demand needs; a fall is believed slowly. */
int pool_size_target(struct sched *s, struct pool *p, cs_time now)
{
	double used = 0, room = 0, lasting = 0, arriving, demand;
	struct backlog waiting = find_backlog(s, p, now);
	int servers = 0;
	guint i;

	for (i = 0; i < p->servers->len; i++) {
		const struct server *v = g_ptr_array_index(p->servers, i);

		if (!v->is_listed || v->is_dead)
			continue;
		used += (double)v->used.cpu;
		lasting += lasting_cpu(s, v);
		room += (double)v->info.room.cpu;
		servers++;
	}
	if (servers)
		p->server_cpu = room / servers;
	arriving = demand_forecast(p->arrivals, LEAD_US, now);
	demand = lasting + waiting.lasting + MAX(arriving, used - lasting) +
		 waiting.finite;
	if (demand >= p->demand)
		p->demand = demand;
	else
		p->demand -= (p->demand - demand) * DEMAND_DECAY;
	if (p->demand > room * FIRST_DEMAND_SHARE)
		p->has_seen_demand = true;
	servers = SERVERS_MIN;
	if (p->server_cpu > 0)
		servers = (int)ceil(p->demand * SIZE_MARGIN / p->server_cpu) +
			  SPARE_SERVERS;
	return MAX(servers, SERVERS_MIN);
}
