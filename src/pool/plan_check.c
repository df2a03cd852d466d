#include "plan.h"

/*
 * An independent check of a plan against the budgets. It shares only
 * budget_limit() with the token counts of budget.c, so that it detects errors
 * there.
 */

/*
 * The required limits (invariant I1), repeated from budget.c so that a wrong
 * value there is detected.
 */
#define DATA_CENTRE_PERCENT 20
#define RACK_LIMIT 1

struct down_counts {
	int *rack_down;
	int *pool_down, *pool_hosts;
	int *dc_down, *dc_hosts;
};

static void add_down(struct down_counts *counts, const struct plan_host *h,
		     int down)
{
	counts->rack_down[h->location.rack] += down;
	counts->pool_down[h->location.pool] += down;
	counts->dc_down[h->location.data_centre] += down;
}

/* True if the host's rack, pool and data centre are within their budgets. */
static bool is_within_budgets(const struct down_counts *counts,
			      const struct plan_input *in,
			      const struct plan_host *h)
{
	int pool = h->location.pool, dc = h->location.data_centre;

	return counts->rack_down[h->location.rack] <= RACK_LIMIT &&
	       counts->pool_down[pool] <=
		       budget_limit(counts->pool_hosts[pool],
				    in->pools[pool].budget_percent) &&
	       counts->dc_down[dc] <=
		       budget_limit(counts->dc_hosts[dc], DATA_CENTRE_PERCENT);
}

bool plan_respects_budgets(const struct plan *plan, const struct plan_input *in)
{
	struct down_counts counts = {
		.rack_down = g_new0(int, in->racks_nr + 1),
		.pool_down = g_new0(int, in->pools_nr + 1),
		.pool_hosts = g_new0(int, in->pools_nr + 1),
		.dc_down = g_new0(int, in->data_centres_nr + 1),
		.dc_hosts = g_new0(int, in->data_centres_nr + 1),
	};
	const struct plan_step *s;
	const struct plan_host *h;
	bool is_valid = true;
	size_t i;
	guint k;

	for (i = 0; i < in->hosts_nr; i++) {
		h = &in->hosts[i];
		if (in->is_out[h->location.data_centre])
			continue;
		counts.pool_hosts[h->location.pool]++;
		counts.dc_hosts[h->location.data_centre]++;
		add_down(&counts, h, h->is_failed || h->state != HOST_ASSIGNED);
	}
	for (k = 0; k < plan->steps->len; k++) {
		s = &g_array_index(plan->steps, struct plan_step, k);
		if (s->op == PLAN_DRAIN)
			add_down(&counts, &in->hosts[s->host], 1);
	}
	for (k = 0; k < plan->steps->len && is_valid; k++) {
		s = &g_array_index(plan->steps, struct plan_step, k);
		h = &in->hosts[s->host];
		if (s->op == PLAN_DRAIN && !in->is_out[h->location.data_centre])
			is_valid = is_within_budgets(&counts, in, h);
	}
	g_free(counts.rack_down);
	g_free(counts.pool_down);
	g_free(counts.pool_hosts);
	g_free(counts.dc_down);
	g_free(counts.dc_hosts);
	return is_valid;
}
