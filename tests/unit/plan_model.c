#include "plan_model.h"

#include <string.h>

#define HOST_SLOTS 8
#define RACK_HOSTS 4
#define BUDGET_PERCENT 20
#define TASK_TIME (2 * CS_SEC)

/* Most tasks that wait for a pool; others are refused. */
#define QUEUE_MAX 256

struct plan_model *plan_model_create(uint32_t seed, struct model_pool *pools,
				     size_t pools_nr, size_t data_centres,
				     const struct plan_policy *policy)
{
	struct plan_model *m = g_new0(struct plan_model, 1);
	size_t p, i, n = 0;
	int k;

	m->rng = g_rand_new_with_seed(seed);
	m->plan = plan_create();
	m->pools = pools;
	m->reboot_time = 60 * CS_SEC;
	m->in.now = CS_SEC;
	m->in.policy = *policy;
	m->in.pools_nr = pools_nr;
	m->in.pools = g_new0(struct plan_pool, pools_nr);
	m->in.data_centres_nr = data_centres;
	m->in.is_out = g_new0(bool, data_centres);
	for (p = 0; p < pools_nr; p++) {
		m->in.pools[p].is_spare = pools[p].is_spare;
		m->in.pools[p].budget_percent = BUDGET_PERCENT;
		m->in.hosts_nr += (size_t)pools[p].hosts;
	}
	n = m->in.hosts_nr;
	m->in.racks_nr = (n + RACK_HOSTS - 1) / RACK_HOSTS;
	m->in.hosts = m->hosts = g_new0(struct plan_host, n);
	m->since = g_new0(cs_time, n);
	m->failed_until = g_new0(cs_time, n);
	m->pool_before = g_new0(int, n);
	m->state_before = g_malloc0(n * sizeof(*m->state_before));
	/* The hosts of a pool are spread over racks, as operators do it. */
	for (p = 0, i = 0; p < pools_nr; p++)
		for (k = 0; k < pools[p].hosts; k++, i++) {
			struct plan_host *h = &m->hosts[i];

			h->location.pool = h->home = h->target = (int)p;
			h->location.rack = (int)(i % m->in.racks_nr);
			h->location.data_centre =
				h->location.rack % (int)data_centres;
			h->slots = HOST_SLOTS;
		}
	return m;
}

void plan_model_destroy(struct plan_model *m)
{
	g_rand_free(m->rng);
	plan_destroy(m->plan);
	g_free(m->in.pools);
	g_free((void *)m->in.is_out);
	g_free(m->hosts);
	g_free(m->since);
	g_free(m->failed_until);
	g_free(m->pool_before);
	g_free(m->state_before);
	g_free(m);
}

void plan_model_fail_rack(struct plan_model *m, int rack, cs_time until)
{
	size_t i;

	for (i = 0; i < m->in.hosts_nr; i++)
		if (m->hosts[i].location.rack == rack)
			m->failed_until[i] = until;
}

/* Returns the slots in service of each pool, to be freed with g_free(). */
static int *count_slots_in_service(const struct plan_model *m)
{
	int *in_service = g_new0(int, m->in.pools_nr);
	size_t i;

	for (i = 0; i < m->in.hosts_nr; i++)
		if (m->hosts[i].state == HOST_ASSIGNED &&
		    !m->hosts[i].is_failed)
			in_service[m->hosts[i].location.pool] +=
				m->hosts[i].slots;
	return in_service;
}

int plan_model_slots_in_service(const struct plan_model *m, int pool)
{
	int *in_service = count_slots_in_service(m), sum = in_service[pool];

	g_free(in_service);
	return sum;
}

/* Ends the tasks that had slots and adds the tasks that arrive. */
static void simulate_load(struct plan_model *m, cs_time dt)
{
	double task_times = (double)dt / (double)TASK_TIME;
	double arrived, done, max_tasks, slots;
	int *in_service = count_slots_in_service(m);
	struct model_pool *p;
	size_t i;

	for (i = 0; i < m->in.pools_nr; i++) {
		p = &m->pools[i];
		slots = in_service[i];
		arrived = p->load * task_times *
			  g_rand_double_range(m->rng, 0.8, 1.2);
		done = p->tasks < slots ? p->tasks * task_times :
					  slots * task_times;
		if (task_times > 1) {
			/* The step is long enough for the steady state. */
			p->tasks = p->load;
		} else {
			p->tasks += arrived - done;
		}
		p->arrived += arrived;
		max_tasks = slots + QUEUE_MAX;
		if (p->tasks > max_tasks) {
			p->refused += p->tasks - max_tasks;
			p->tasks = max_tasks;
		}
		m->in.pools[i].demand = (int)(p->tasks + 0.5);
	}
	g_free(in_service);
}

static void advance_host(struct plan_model *m, size_t i, cs_time dt)
{
	struct plan_host *h = &m->hosts[i];

	h->age += dt;
	h->time_in_state = m->in.now - m->since[i];
	h->is_failed = m->failed_until[i] > m->in.now;
	h->is_absent = h->state == HOST_EMPTY;
	h->is_rebooted = h->state == HOST_EMPTY &&
			 h->time_in_state >= m->reboot_time;
}

/* Sets how many tasks run on a host; in_service holds slots by pool. */
static void simulate_running(struct plan_model *m, struct plan_host *h,
			     const int *in_service, cs_time dt)
{
	int slots = in_service[h->location.pool];

	if (h->state == HOST_DRAINING) {
		h->running = dt >= TASK_TIME ? h->running / 2 : h->running - 1;
		if (h->running < 0 || h->is_failed)
			h->running = 0;
		return;
	}
	h->running = slots ? (int)(m->pools[h->location.pool].tasks * h->slots /
				   slots) :
			     0;
	if (h->running > h->slots)
		h->running = h->slots;
}

static void advance_hosts(struct plan_model *m, cs_time dt)
{
	int *in_service;
	size_t i;

	for (i = 0; i < m->in.hosts_nr; i++)
		advance_host(m, i, dt);
	in_service = count_slots_in_service(m);
	for (i = 0; i < m->in.hosts_nr; i++)
		simulate_running(m, &m->hosts[i], in_service, dt);
	g_free(in_service);
}

static void take_step(struct plan_model *m, const struct plan_step *s)
{
	struct plan_host *h = &m->hosts[s->host];

	m->since[s->host] = m->in.now;
	if (s->op == PLAN_DRAIN) {
		m->drains++;
		h->state = HOST_DRAINING;
		h->purpose = s->purpose;
		h->target = s->pool;
	} else if (s->op == PLAN_EMPTY) {
		h->state = HOST_EMPTY;
	} else {
		m->moves += h->location.pool != s->pool;
		if (h->purpose == PURPOSE_MAINTAIN) {
			m->maintained++;
			h->age = 0;
		}
		h->state = HOST_ASSIGNED;
		h->location.pool = s->pool;
		h->purpose = PURPOSE_NONE;
	}
}

void plan_model_step(struct plan_model *m, cs_time dt)
{
	size_t i;
	guint k;

	m->in.now += dt;
	simulate_load(m, dt);
	advance_hosts(m, dt);
	for (i = 0; i < m->in.hosts_nr; i++) {
		m->pool_before[i] = m->hosts[i].location.pool;
		m->state_before[i] = m->hosts[i].state;
	}
	plan_decide(m->plan, &m->in);
	for (k = 0; k < m->plan->steps->len && !m->skips_steps; k++)
		take_step(m,
			  &g_array_index(m->plan->steps, struct plan_step, k));
}

/* True if more hosts of the host's group are down than its budget allows. */
static bool exceeds_budget(const struct plan_model *m, size_t host,
			   bool with_failed, int group, int percent)
{
	const struct budget_location *at = &m->hosts[host].location, *x;
	const struct plan_host *h;
	int all = 0, down = 0, limit;
	size_t i;

	for (i = 0; i < m->in.hosts_nr; i++) {
		h = &m->hosts[i];
		x = &h->location;
		if (group == 0 ? x->rack != at->rack :
		    group == 1 ? x->pool != at->pool :
				 x->data_centre != at->data_centre)
			continue;
		all++;
		down += h->state != HOST_ASSIGNED ||
			(with_failed && h->is_failed);
	}
	limit = group == 0 ? 1 : all * percent / 100;
	if (limit < 1 && all > 1)
		limit = 1;
	return down > limit;
}

const char *plan_model_violation(const struct plan_model *m)
{
	static const char *const names[] = { "rack", "pool", "data_centre" };
	const struct plan_host *h;
	bool is_new;
	size_t i;
	int g;

	for (i = 0; i < m->in.hosts_nr; i++) {
		h = &m->hosts[i];
		is_new = h->state == HOST_DRAINING &&
			 m->state_before[i] == HOST_ASSIGNED;
		for (g = 0; g < 3 && h->state != HOST_ASSIGNED; g++)
			if (exceeds_budget(m, i, is_new, g, BUDGET_PERCENT))
				return names[g];
		if (h->location.pool < 0 ||
		    (size_t)h->location.pool >= m->in.pools_nr ||
		    (h->location.pool != m->pool_before[i] &&
		     (m->state_before[i] != HOST_EMPTY ||
		      h->state != HOST_ASSIGNED)))
			return "one_pool";
		if (m->state_before[i] == HOST_ASSIGNED &&
		    h->state == HOST_EMPTY)
			return "skipped_drain";
	}
	return NULL;
}
