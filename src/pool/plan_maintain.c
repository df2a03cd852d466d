#include "plan_round.h"

/*
 * Among this part of the hosts, the oldest by last maintenance, an idle one
 * is preferred. The rest would be maintained more often than needed.
 */
#define CANDIDATE_PART 4

/* A host is left alone for this long after its maintenance. */
#define AGE_MIN (86400 * CS_SEC)

/* What stays of a pool must hold this much of its demand, in percent. */
#define DEMAND_MARGIN_PERCENT 110

/* The host whose last maintenance is longest ago comes first. */
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
 * Credit grows evenly. What could not be used, since budgets or demand were
 * against it, is kept up to most hosts; debt is bounded by one round of all.
 */
static void update_pace(struct plan_input *in, int most)
{
	struct plan_pace *pace = &in->pace;
	double nr = (double)in->hosts_nr;

	if (pace->updated)
		pace->credit += (double)(in->now - pace->updated) * nr /
				(double)in->policy.period;
	pace->updated = in->now;
	if (pace->credit > most)
		pace->credit = most;
	if (pace->credit < -nr)
		pace->credit = -nr;
}

/* True if the pool can do its present work without the host. */
static bool can_spare(const struct plan_round *r, const struct plan_host *h)
{
	long left = r->slots_in_service[h->location.pool] - h->slots;

	return left * 100 >= (long)r->in->pools[h->location.pool].demand *
				     DEMAND_MARGIN_PERCENT;
}

/* Begins the maintenance of that host, or says why not. */
static bool begin(struct plan_round *r, int host)
{
	const struct plan_host *h = &r->in->hosts[host];
	bool is_late = h->age >= r->in->policy.period;

	if (!plan_can_stop(r, host) || h->age < AGE_MIN)
		return false;
	if (!is_late && !can_spare(r, h)) {
		plan_add_refusal(r, PURPOSE_MAINTAIN, host, h->location.pool,
				 REASON_SLOTS_NEEDED);
		return false;
	}
	return plan_add_drain(r, host, PURPOSE_MAINTAIN, h->location.pool,
			      is_late ? REASON_MAINTENANCE_LATE :
					REASON_MAINTENANCE_DUE);
}

void plan_decide_maintenance(struct plan_round *r)
{
	struct plan_input *in = r->in;
	int *hosts = g_new(int, in->hosts_nr + 1);
	size_t i, nr = 0, window;
	int limit, room;
	bool is_late;

	for (i = 0; i < in->hosts_nr; i++)
		if (!is_begun(&in->hosts[i]))
			hosts[nr++] = (int)i;
	limit = budget_limit((int)in->hosts_nr, in->policy.maintain_percent);
	room = limit - (int)(in->hosts_nr - nr);
	update_pace(in, limit);
	g_qsort_with_data(hosts, (int)nr, sizeof(int), compare_age, in);
	window = nr / CANDIDATE_PART + 1;
	while (window < nr && in->hosts[hosts[window]].age >= in->policy.period)
		window++;
	if (window > nr)
		window = nr;
	g_qsort_with_data(hosts, (int)window, sizeof(int), compare_candidates,
			  in);
	for (i = 0; i < window; i++) {
		is_late = in->hosts[hosts[i]].age >= in->policy.period;
		if (!is_late && in->pace.credit < 1)
			break;
		if (room <= 0) {
			plan_add_refusal(r, PURPOSE_MAINTAIN, hosts[i],
					 in->hosts[hosts[i]].location.pool,
					 REASON_MAINTENANCE_FULL);
			break;
		}
		if (!begin(r, hosts[i]))
			continue;
		in->pace.credit -= 1;
		room--;
	}
	g_free(hosts);
}
