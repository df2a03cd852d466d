#include "plan_round.h"

/*
 * Among this part of the hosts, the oldest by last maintenance, an idle one
 * is preferred. The rest would be maintained more often than needed.
 */
#define CANDIDATE_PART 4

/* A host is left alone for this long after its maintenance. */
#define AGE_MIN (24 * 3600 * CS_SEC)

/* What stays of a pool must hold this much of its demand, in percent. */
#define DEMAND_MARGIN_PERCENT 110

struct maintenance {
	struct plan_round *r;
	int *hosts; /* the oldest first */
	size_t nr;
};

static int compare_age(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct plan_input *in = arg;
	int i = *(const int *)a, j = *(const int *)b;

	if (in->hosts[i].age != in->hosts[j].age)
		return in->hosts[i].age > in->hosts[j].age ? -1 : 1;
	return i - j;
}

/* Late hosts first, then idle ones, then the oldest. */
static int compare_candidates(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct plan_input *in = arg;
	const struct plan_host *x = &in->hosts[*(const int *)a];
	const struct plan_host *y = &in->hosts[*(const int *)b];
	bool x_late = x->age >= in->policy.period;
	bool y_late = y->age >= in->policy.period;

	if (x_late != y_late)
		return x_late ? -1 : 1;
	if (!x_late && (x->running == 0) != (y->running == 0))
		return x->running == 0 ? -1 : 1;
	return compare_age(a, b, arg);
}

static bool is_begun(const struct plan_host *h)
{
	return h->state != HOST_ASSIGNED && h->purpose == PURPOSE_MAINTAIN;
}

/*
 * How many hosts must begin now. With one host every period / n, the k-th
 * oldest has its turn k intervals from now; as soon as it would then be older
 * than the period, the schedule is behind by the difference. This spreads
 * maintenance evenly whatever the ages are at first.
 */
static int count_due(const struct maintenance *m)
{
	const struct plan_input *in = m->r->in;
	cs_time interval = in->policy.period / (cs_time)m->nr;
	cs_time late, most = -1;
	size_t k;

	for (k = 0; k < m->nr; k++) {
		late = in->hosts[m->hosts[k]].age + (cs_time)k * interval -
		       in->policy.period;
		if (late > most)
			most = late;
	}
	if (most < 0)
		return 0;
	most = most / (interval ? interval : 1) + 1;
	return most < (cs_time)m->nr ? (int)most : (int)m->nr;
}

/* True if the pool can do its present work without the host. */
static bool can_spare(const struct plan_round *r, const struct plan_host *h)
{
	long left = r->service[h->place.pool] - h->slots;

	return left * 100 >=
	       (long)r->in->pools[h->place.pool].demand * DEMAND_MARGIN_PERCENT;
}

/* Begins the maintenance of that host, or says why not. */
static bool begin(struct plan_round *r, int host)
{
	const struct plan_host *h = &r->in->hosts[host];
	bool is_late = h->age >= r->in->policy.period;

	if (!plan_can_stop(r, host) || h->age < AGE_MIN)
		return false;
	if (!is_late && !can_spare(r, h)) {
		plan_refuse(r, PURPOSE_MAINTAIN, host, h->place.pool,
			    REASON_SLOTS_NEEDED);
		return false;
	}
	return plan_drain(r, host, PURPOSE_MAINTAIN, h->place.pool,
			  is_late ? REASON_MAINTENANCE_LATE :
				    REASON_MAINTENANCE_DUE);
}

void plan_maintenance(struct plan_round *r)
{
	const struct plan_input *in = r->in;
	struct maintenance m = { .r = r };
	size_t i, window;
	int due, room;

	m.hosts = g_new(int, in->hosts_nr + 1);
	for (i = 0; i < in->hosts_nr; i++)
		if (!is_begun(&in->hosts[i]))
			m.hosts[m.nr++] = (int)i;
	if (!m.nr) {
		g_free(m.hosts);
		return;
	}
	g_qsort_with_data(m.hosts, (int)m.nr, sizeof(int), compare_age, r->in);
	due = count_due(&m);
	room = budget_limit((int)in->hosts_nr, in->policy.maintain_percent) -
	       (int)(in->hosts_nr - m.nr);
	window = m.nr / CANDIDATE_PART + (size_t)due;
	if (window > m.nr)
		window = m.nr;
	g_qsort_with_data(m.hosts, (int)window, sizeof(int), compare_candidates,
			  r->in);
	for (i = 0; i < window && due > 0 && room > 0; i++) {
		if (!begin(r, m.hosts[i]))
			continue;
		due--;
		room--;
	}
	if (due > 0 && room <= 0)
		plan_refuse(r, PURPOSE_MAINTAIN, -1, -1,
			    REASON_MAINTENANCE_FULL);
	g_free(m.hosts);
}
