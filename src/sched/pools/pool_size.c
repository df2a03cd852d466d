#include "../sched_private.h"

#include <math.h>

/*
 * Computes the number of servers that a pool needs. The expected load is
 * bursty: one queue after another demands several times the capacity of its
 * pool for some seconds, and almost nothing in between. The demand is the sum
 * of the CPU of long-running tasks, the forecast for arriving work at the time
 * when hosts that are moved now are ready, and the backlog.
 */

/* Time from a decision until the moved host runs tasks; a move takes 1.5 s. */
#define LEAD_US (2500 * CS_MSEC)
/*
 * Target time for clearing the backlog. When hosts are scarce, work that can
 * still be on time takes precedence over work that can't.
 */
static const double clear_time_ms[RANK_CLASSES] = {
	[RANK_LONG_RUNNING] = 1000,
	[RANK_ON_TIME] = 1000,
	[RANK_LATE] = 2000,
	[RANK_OVERDUE] = 8000,
};
/* Spare capacity beyond the expected demand, as a factor. */
#define SIZE_MARGIN 1.05
/* Share of the error of a forecast by which a pool is made larger. */
#define ERROR_SHARE 0.5
/* A forecast that exceeds the present need by this factor is a rise. */
#define RISE 1.25
/* Minimum size of a pool, even without any demand. */
#define SERVERS_MIN 2
/* A pool has been busy once its demand exceeded this share of its capacity. */
#define FIRST_DEMAND_SHARE 0.5

/* How the demand of arriving work is found. */
struct size_policy {
	void (*add)(struct pool *p, double work, double duration_ms,
		    cs_time now);
	/* CPU that arriving work needs at now + LEAD_US. */
	struct forecast_value (*arriving)(struct pool *p, cs_time now);
	/* Name of the method that made the last forecast. */
	const char *(*method)(const struct pool *p);
	/* Share of a decrease in demand that takes effect in each pass. */
	double decay;
	int spare_servers; /* beyond the expected demand */
	/*
	 * Spare servers are counted beyond those of the widest long-running
	 * step that bounds its tasks on one server. It fills all servers of a
	 * pool in silence, and a task that loses its server has no other there.
	 */
	bool counts_spread;
	/*
	 * Arriving work counts up to this multiple of what runs and waits; 0:
	 * all of it. A turn shows there too, while jobs that become known late
	 * and all at once, after the store was slow, only look like a rise and
	 * took hosts from pools with work.
	 */
	double rise_max;
};

static void add_to_demand(struct pool *p, double work, double duration_ms,
			  cs_time now)
{
	demand_add(p->arrivals, work, duration_ms, now);
}

static struct forecast_value demand_arriving(struct pool *p, cs_time now)
{
	return (struct forecast_value){
		.expected = demand_forecast(p->arrivals, LEAD_US, now),
	};
}

static const char *demand_method(const struct pool *p)
{
	(void)p;
	return "demand";
}

static void add_to_forecast(struct pool *p, double work, double duration_ms,
			    cs_time now)
{
	forecast_add(p->forecast, work, duration_ms, now);
	demand_add(p->arrivals, work, duration_ms, now);
}

static struct forecast_value forecast_arriving(struct pool *p, cs_time now)
{
	struct forecast_value v = forecast_at(p->forecast, LEAD_US, now);

	/*
	 * While the number of jobs rises, work is extended as well: in a burst
	 * the jobs that come first are often the large ones.
	 */
	if (v.expected > v.present * RISE)
		v.expected = fmax(v.expected,
				  demand_forecast(p->arrivals, LEAD_US, now));
	return v;
}

static const char *method_of_forecast(const struct pool *p)
{
	return forecast_method_name(forecast_method(p->forecast));
}

static const struct size_policy by_demand = {
	.add = add_to_demand,
	.arriving = demand_arriving,
	.method = demand_method,
	.decay = 0.2,
	.spare_servers = 1,
};

/* A forecast with less variation does not need to be held for so long. */
static const struct size_policy by_forecast = {
	.add = add_to_forecast,
	.arriving = forecast_arriving,
	.method = method_of_forecast,
	.decay = 0.4,
	.spare_servers = 2,
	.counts_spread = true,
	.rise_max = 2,
};

static const struct size_policy *policy_of(const struct sched *s)
{
	return s->options.policy.has_demand_forecast ? &by_forecast :
						       &by_demand;
}

void pool_size_add_arrival(struct sched *s, struct pool *p, double work,
			   double duration_ms, cs_time now)
{
	policy_of(s)->add(p, work, duration_ms, now);
}

const char *pool_size_method(const struct sched *s, const struct pool *p)
{
	return policy_of(s)->method(p);
}

void pool_size_begin(struct sched *s)
{
	g_hash_table_remove_all(s->allowed_cpu_left);
}

/* CPU of tasks that could start if there were room, thousandths of a core. */
struct backlog {
	double long_running;
	double finite; /* to finish the other tasks within clear_time_ms */
};

double pool_size_allowed_cpu(struct sched *s, const struct job *j, double cpu)
{
	GHashTable *left_of_workspaces = s->allowed_cpu_left;
	const char *workspace = j->batch->workspace;
	double *remaining = g_hash_table_lookup(left_of_workspaces, workspace);

	if (!remaining) {
		remaining = g_new(double, 1);
		*remaining = MAX((double)place_headroom(s, j).cpu, 0);
		g_hash_table_insert(left_of_workspaces, g_strdup(workspace),
				    remaining);
	}
	cpu = MIN(cpu, *remaining);
	*remaining -= cpu;
	return cpu;
}

/* Adds waiting tasks of a step, up to the limit of the job's workspace. */
static void add_step(struct sched *s, const struct job *j,
		     const struct batch_step *st, double tasks, cs_time now,
		     struct backlog *sum)
{
	double cpu = pool_size_allowed_cpu(s, j, tasks * (double)st->need.cpu);

	if (st->is_long_running)
		sum->long_running += cpu;
	else
		sum->finite += cpu * (double)st->expected_ms /
			       clear_time_ms[rank_class_of(j, now)];
}

/* Adds the ready steps of a job. */
static void add_job(struct sched *s, const struct job *j, cs_time now,
		    struct backlog *sum)
{
	const struct batch *b = j->batch;
	int end = batch_occurrences_end(b), occurrence, step, unopened = 0;

	/* Those that are due and will be opened as others begin. */
	if (end)
		unopened = MAX(batch_due_nr(b, s->unix_ms) - end, 0);

	for (occurrence = j->first_open_occurrence; occurrence < end;
	     occurrence++)
		for (step = 0; step < b->spec->steps_nr; step++) {
			const struct batch_step *st = &b->spec->steps[step];

			if (st->is_best_effort ||
			    !batch_step_is_ready(b, occurrence, step))
				continue;
			add_step(s, j, st,
				 batch_count_waiting(b, occurrence, step), now,
				 sum);
		}
	for (step = 0; unopened && step < b->spec->steps_nr; step++) {
		const struct batch_step *st = &b->spec->steps[step];

		if (!st->after_nr && !st->is_best_effort)
			add_step(s, j, st, (double)unopened * st->count, now,
				 sum);
	}
}

static struct backlog find_backlog(struct sched *s, const struct pool *p,
				   cs_time now)
{
	struct backlog sum = { 0 };
	guint i;

	for (i = 0; i < p->waiting->len; i++) {
		const struct job *j = g_ptr_array_index(p->waiting, i);

		/*
		 * A job that may have unknown runs can't be started yet, but
		 * its tasks need room in any case: where they run, or anew.
		 */
		if (!j->final_at)
			add_job(s, j, now, &sum);
	}
	return sum;
}

/*
 * Servers that the long-running tasks of one step need because the step bounds
 * its tasks on one server: the most of all steps, as they may share servers.
 */
static int count_spread_servers(const struct pool *p)
{
	int servers = 0, step;
	guint i;

	for (i = 0; i < p->jobs->len; i++) {
		const struct job *j = g_ptr_array_index(p->jobs, i);
		const struct batch_spec *spec = j->batch->spec;

		if (!j->is_long_running || j->final_at)
			continue;
		for (step = 0; step < spec->steps_nr; step++) {
			const struct batch_step *st = &spec->steps[step];

			if (st->is_long_running && st->per_server_max)
				servers = MAX(servers,
					      (st->count + st->per_server_max -
					       1) / st->per_server_max);
		}
	}
	return servers;
}

/*
 * Returns the number of servers that the pool's demand needs. A decrease in
 * demand takes effect gradually, an increase at once.
 */
int pool_size_target(struct sched *s, struct pool *p, cs_time now)
{
	double used = 0, capacity = 0, long_running = 0, arriving, demand;
	struct backlog waiting = find_backlog(s, p, now);
	int servers = 0, spread;
	guint i;

	for (i = 0; i < p->servers->len; i++) {
		const struct server *v = g_ptr_array_index(p->servers, i);

		if (!v->is_listed || v->is_dead)
			continue;
		used += (double)v->used.cpu;
		long_running += (double)v->long_running_cpu;
		capacity += (double)v->info.capacity.cpu;
		servers++;
	}
	if (servers)
		p->server_cpu = capacity / servers;
	p->arriving = policy_of(s)->arriving(p, now);
	if (p->arriving.expected > p->arriving.present * RISE)
		p->rising_at = now;
	arriving = p->arriving.expected + p->arriving.error * ERROR_SHARE;
	p->backlog = waiting.long_running + waiting.finite;
	if (policy_of(s)->rise_max > 0)
		arriving = MIN(arriving,
			       (used + p->backlog) * policy_of(s)->rise_max);
	demand = long_running + waiting.long_running +
		 MAX(arriving, used - long_running) + waiting.finite;
	if (demand >= p->demand)
		p->demand = demand;
	else
		p->demand -= (p->demand - demand) * policy_of(s)->decay;
	if (p->demand > capacity * FIRST_DEMAND_SHARE)
		p->has_seen_demand = true;
	servers = SERVERS_MIN;
	p->needed_now = 0;
	if (p->server_cpu > 0)
		p->needed_now = (int)ceil((used + p->backlog) / p->server_cpu);
	if (p->server_cpu > 0)
		servers = (int)ceil(p->demand * SIZE_MARGIN / p->server_cpu) +
			  policy_of(s)->spare_servers;
	spread = policy_of(s)->counts_spread ? count_spread_servers(p) : 0;
	if (spread)
		servers = MAX(servers, spread + policy_of(s)->spare_servers);
	return MAX(servers, SERVERS_MIN);
}
