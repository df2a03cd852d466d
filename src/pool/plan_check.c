#include "plan.h"

/*
 * The audit of a plan. It shares no code with the tokens but the limit, so
 * that a fault in one is seen by the other.
 */

/* As in budget.c, from the requirements: I1. */
#define DATA_CENTRE_PERCENT 20
#define RACK_LIMIT 1

struct audit {
	int *rack_down;
	int *pool_down, *pool_all;
	int *dc_down, *dc_all;
};

static void count(struct audit *a, const struct plan_host *h, int down)
{
	a->rack_down[h->location.rack] += down;
	a->pool_down[h->location.pool] += down;
	a->dc_down[h->location.data_centre] += down;
}

/*
 * True if the host's rack, pool and data centre are all within their budgets.
 */
static bool holds_for(const struct audit *a, const struct plan_input *in,
		      const struct plan_host *h)
{
	int pool = h->location.pool, dc = h->location.data_centre;

	return a->rack_down[h->location.rack] <= RACK_LIMIT &&
	       a->pool_down[pool] <=
		       budget_limit(a->pool_all[pool],
				    in->pools[pool].budget_percent) &&
	       a->dc_down[dc] <=
		       budget_limit(a->dc_all[dc], DATA_CENTRE_PERCENT);
}

bool plan_respects_budgets(const struct plan *plan, const struct plan_input *in)
{
	struct audit a = {
		.rack_down = g_new0(int, in->racks_nr + 1),
		.pool_down = g_new0(int, in->pools_nr + 1),
		.pool_all = g_new0(int, in->pools_nr + 1),
		.dc_down = g_new0(int, in->data_centres_nr + 1),
		.dc_all = g_new0(int, in->data_centres_nr + 1),
	};
	const struct plan_step *s;
	const struct plan_host *h;
	bool holds = true;
	size_t i;
	guint k;

	for (i = 0; i < in->hosts_nr; i++) {
		h = &in->hosts[i];
		if (in->is_out[h->location.data_centre])
			continue;
		a.pool_all[h->location.pool]++;
		a.dc_all[h->location.data_centre]++;
		count(&a, h, h->is_failed || h->state != HOST_ASSIGNED);
	}
	for (k = 0; k < plan->steps->len; k++) {
		s = &g_array_index(plan->steps, struct plan_step, k);
		if (s->op == PLAN_DRAIN)
			count(&a, &in->hosts[s->host], 1);
	}
	for (k = 0; k < plan->steps->len && holds; k++) {
		s = &g_array_index(plan->steps, struct plan_step, k);
		h = &in->hosts[s->host];
		if (s->op == PLAN_DRAIN && !in->is_out[h->location.data_centre])
			holds = holds_for(&a, in, h);
	}
	g_free(a.rack_down);
	g_free(a.pool_down);
	g_free(a.pool_all);
	g_free(a.dc_down);
	g_free(a.dc_all);
	return holds;
}
