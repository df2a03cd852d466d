#include "plan_round.h"

/*
 * The candidates are the quarter of the hosts that were maintained longest ago,
 * and all overdue hosts. Idle candidates come first. If all hosts were
 * candidates, idle ones would be maintained more often than needed.
 */
#define CANDIDATE_DIVISOR 4

/* Least time between two maintenances of a host. */
#define AGE_MIN (86400 * CS_SEC)

/* The remaining slots of a pool must be this much of its demand, in percent. */
#define DEMAND_MARGIN_PERCENT 110

/* Orders hosts by age, the highest first. */
static int compare_age(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct plan_input *in = arg;
	int i = *(const int *)a, j = *(const int *)b;

	if (in->hosts[i].age != in->hosts[j].age)
		return in->hosts[i].age > in->hosts[j].age ? -1 : 1;
	return i - j;
}

/* Orders overdue hosts first, then idle ones, then by age. */
static int compare_candidates(gconstpointer a, gconstpointer b, gpointer arg)
{
	const struct plan_input *in = arg;
	const struct plan_host *x = &in->hosts[*(const int *)a];
	const struct plan_host *y = &in->hosts[*(const int *)b];
	bool is_x_overdue = x->age >= in->policy.period;
	bool is_y_overdue = y->age >= in->policy.period;

	if (is_x_overdue != is_y_overdue)
		return is_x_overdue ? -1 : 1;
	if (!is_x_overdue && (x->running == 0) != (y->running == 0))
		return x->running == 0 ? -1 : 1;
	return compare_age(a, b, arg);
}

static bool is_in_maintenance(const struct plan_host *h)
{
	return h->state != HOST_ASSIGNED && h->purpose == PURPOSE_MAINTAIN;
}

/*
 * Adds the credit since the last call. Credit that budgets or demand did not
 * let the planner use accumulates up to max_credit; debt is at most one credit
 * for each host.
 */
static void update_pace(struct plan_input *in, int max_credit)
{
	struct plan_pace *pace = &in->pace;
	double nr = (double)in->hosts_nr;

	if (pace->updated)
		pace->credit += (double)(in->now - pace->updated) * nr /
				(double)in->policy.period;
	pace->updated = in->now;
	if (pace->credit > max_credit)
		pace->credit = max_credit;
	if (pace->credit < -nr)
		pace->credit = -nr;
}

/* True if the pool's remaining slots meet its demand and the margin. */
static bool can_spare(const struct plan_round *r, const struct plan_host *h)
{
	long remaining = r->slots_in_service[h->location.pool] - h->slots;

	return remaining * 100 >= (long)r->in->pools[h->location.pool].demand *
					  DEMAND_MARGIN_PERCENT;
}

/* Begins maintenance of the host, or adds a refusal. */
static bool begin_maintenance(struct plan_round *r, int host)
{
	const struct plan_host *h = &r->in->hosts[host];
	bool is_overdue = h->age >= r->in->policy.period;

	if (!plan_can_stop(r, host) || h->age < AGE_MIN)
		return false;
	if (!is_overdue && !can_spare(r, h)) {
		plan_add_refusal(r, PURPOSE_MAINTAIN, host, h->location.pool,
				 REASON_SLOTS_NEEDED);
		return false;
	}
	return plan_add_drain(r, host, PURPOSE_MAINTAIN, h->location.pool,
			      is_overdue ? REASON_MAINTENANCE_LATE :
					   REASON_MAINTENANCE_DUE);
}

void plan_decide_maintenance(struct plan_round *r)
{
	struct plan_input *in = r->in;
	int *hosts = g_new(int, in->hosts_nr + 1);
	size_t i, nr = 0, candidates_nr;
	int limit, free_places;
	bool is_overdue;

	for (i = 0; i < in->hosts_nr; i++)
		if (!is_in_maintenance(&in->hosts[i]))
			hosts[nr++] = (int)i;
	limit = budget_limit((int)in->hosts_nr, in->policy.maintain_percent);
	free_places = limit - (int)(in->hosts_nr - nr);
	update_pace(in, limit);
	g_qsort_with_data(hosts, (int)nr, sizeof(int), compare_age, in);
	candidates_nr = nr / CANDIDATE_DIVISOR + 1;
	while (candidates_nr < nr &&
	       in->hosts[hosts[candidates_nr]].age >= in->policy.period)
		candidates_nr++;
	if (candidates_nr > nr)
		candidates_nr = nr;
	g_qsort_with_data(hosts, (int)candidates_nr, sizeof(int),
			  compare_candidates, in);
	for (i = 0; i < candidates_nr; i++) {
		is_overdue = in->hosts[hosts[i]].age >= in->policy.period;
		if (!is_overdue && in->pace.credit < 1)
			break;
		if (free_places <= 0) {
			plan_add_refusal(r, PURPOSE_MAINTAIN, hosts[i],
					 in->hosts[hosts[i]].location.pool,
					 REASON_MAINTENANCE_FULL);
			break;
		}
		if (!begin_maintenance(r, hosts[i]))
			continue;
		in->pace.credit -= 1;
		free_places--;
	}
	g_free(hosts);
}
