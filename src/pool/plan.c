#include "plan.h"

#include <string.h>

#include "plan_round.h"

/*
 * An empty host is returned to service after this long even if the host list
 * never showed it as absent: the list lags, and a quick reboot can fall between
 * two replies.
 */
#define REBOOT_TIME_MAX (900 * CS_SEC)

/*
 * A moving host that is still in the host list after this long is assumed not
 * to reboot. The list lags by a few seconds.
 */
#define MOVE_REBOOT_WAIT (30 * CS_SEC)

/* A move whose drain takes longer than this comes too late for a burst. */
#define MOVE_DRAIN_MAX (600 * CS_SEC)

#define DAY (86400 * CS_SEC)

/*
 * Hosts must be maintained once in 14 days. A period of 12 days leaves two days
 * for failures, outages of the platform and busy pools.
 */
static const struct plan_policy policies[PRESET_NR] = {
	[PRESET_ORDINARY] = {
		.shortage_delay = 10 * CS_SEC,
		.surplus_delay = 60 * CS_SEC,
		.peak_half_life = 60 * CS_SEC,
		.donor_margin = 1.25,
		.gain_factor = 1.0,
		.burst_min_percent = 0,
		.period = 12 * DAY,
		.maintain_percent = 2,
	},
	[PRESET_PEAK] = {
		.shortage_delay = 4 * CS_SEC,
		.surplus_delay = 20 * CS_SEC,
		.peak_half_life = 20 * CS_SEC,
		.donor_margin = 1.25,
		.gain_factor = 0.5,
		.burst_min_percent = 0,
		.period = 0,
		.maintain_percent = 0,
	},
	[PRESET_MAINTENANCE] = {
		.shortage_delay = 10 * CS_SEC,
		.surplus_delay = 60 * CS_SEC,
		.peak_half_life = 60 * CS_SEC,
		.donor_margin = 1.25,
		.gain_factor = 1.0,
		.burst_min_percent = 50,
		.period = 3 * DAY,
		.maintain_percent = 10,
	},
};

static const char *const reason_names[REASON_NR] = {
	[REASON_LEND_SPARE] = "lend_spare",
	[REASON_LEND_IDLE] = "lend_idle",
	[REASON_GO_HOME] = "go_home",
	[REASON_COVER_SINGLE_HOST] = "cover_single_host",
	[REASON_MAINTENANCE_DUE] = "maintenance_due",
	[REASON_MAINTENANCE_LATE] = "maintenance_late",
	[REASON_NOTHING_RUNS] = "nothing_runs",
	[REASON_REBOOTED] = "rebooted",
	[REASON_REBOOT_TIME_OVER] = "reboot_time_over",
	[REASON_NO_REBOOT_SEEN] = "no_reboot_seen",
	[REASON_DRAIN_TOO_LONG] = "drain_too_long",
	[REASON_NO_RACK_BUDGET] = "no_rack_budget",
	[REASON_NO_POOL_BUDGET] = "no_pool_budget",
	[REASON_NO_DATA_CENTRE_BUDGET] = "no_data_centre_budget",
	[REASON_SHORTAGE_TOO_NEW] = "shortage_too_new",
	[REASON_DEMAND_FALLING] = "demand_falling",
	[REASON_COST_EXCEEDS_GAIN] = "cost_exceeds_gain",
	[REASON_NOT_A_BURST] = "not_a_burst",
	[REASON_NO_HOST_TO_SPARE] = "no_host_to_spare",
	[REASON_SLOTS_NEEDED] = "slots_needed",
	[REASON_MAINTENANCE_FULL] = "maintenance_full",
	[REASON_STILL_RUNNING] = "still_running",
	[REASON_REBOOTING] = "rebooting",
	[REASON_HOST_FAILED] = "host_failed",
};

const struct plan_policy *plan_policy_of(enum preset preset)
{
	return &policies[preset];
}

void plan_policy_disable_hysteresis(struct plan_policy *policy)
{
	policy->shortage_delay = 0;
	policy->surplus_delay = 0;
	policy->peak_half_life = 0;
	policy->donor_margin = 1.0;
	policy->gain_factor = 0;
	policy->burst_min_percent = 0;
}

const char *plan_reason_name(enum plan_reason reason)
{
	return reason_names[reason];
}

struct plan *plan_create(void)
{
	struct plan *p = g_new0(struct plan, 1);

	p->steps = g_array_new(FALSE, FALSE, sizeof(struct plan_step));
	p->refusals = g_array_new(FALSE, FALSE, sizeof(struct plan_step));
	return p;
}

void plan_destroy(struct plan *p)
{
	if (!p)
		return;
	g_array_free(p->steps, TRUE);
	g_array_free(p->refusals, TRUE);
	g_free(p);
}

int plan_pool_slots(const struct plan_round *r, int pool)
{
	return r->slots_in_service[pool] + r->slots_arriving[pool];
}

bool plan_can_stop(const struct plan_round *r, int host)
{
	const struct plan_host *h = &r->in->hosts[host];

	return h->state == HOST_ASSIGNED && !h->is_failed &&
	       !h->is_backed_off && !r->has_step[host];
}

void plan_add_refusal(struct plan_round *r, enum plan_purpose purpose, int host,
		      int pool, enum plan_reason reason)
{
	struct plan_step s = { PLAN_REFUSED, purpose, host, pool, reason };

	g_array_append_val(r->plan->refusals, s);
}

/* A host gets at most one step per plan. */
static void add_step(struct plan_round *r, enum plan_op op, int host, int pool,
		     enum plan_reason reason)
{
	struct plan_step s = { op, r->in->hosts[host].purpose, host, pool,
			       reason };

	r->has_step[host] = true;
	g_array_append_val(r->plan->steps, s);
}

bool plan_add_drain(struct plan_round *r, int host, enum plan_purpose purpose,
		    int pool, enum plan_reason reason)
{
	static const enum plan_reason refusals[] = {
		[BUDGET_NO_RACK] = REASON_NO_RACK_BUDGET,
		[BUDGET_NO_POOL] = REASON_NO_POOL_BUDGET,
		[BUDGET_NO_DATA_CENTRE] = REASON_NO_DATA_CENTRE_BUDGET,
	};
	const struct plan_host *h = &r->in->hosts[host];
	struct plan_step s = { PLAN_DRAIN, purpose, host, pool, reason };
	enum budget_result result = budget_take(r->budget, &h->location);

	if (result != BUDGET_GRANTED && !r->in->ignores_budget) {
		plan_add_refusal(r, purpose, host, pool, refusals[result]);
		return false;
	}
	r->has_step[host] = true;
	if (!r->in->is_out[h->location.data_centre]) {
		r->slots_in_service[h->location.pool] -= h->slots;
		r->hosts_in_service[h->location.pool]--;
		r->slots_arriving[pool] += h->slots;
	}
	g_array_append_val(r->plan->steps, s);
	return true;
}

/* Counts tokens, slots and hosts before the first step of the round. */
static void count_hosts(struct plan_round *r)
{
	const struct plan_input *in = r->in;
	const struct plan_host *h;
	size_t i;

	for (i = 0; i < in->pools_nr; i++)
		budget_set_pool(r->budget, (int)i, in->pools[i].budget_percent);
	for (i = 0; i < in->data_centres_nr; i++)
		if (in->is_out[i])
			budget_exclude_data_centre(r->budget, (int)i);
	for (i = 0; i < in->hosts_nr; i++) {
		h = &in->hosts[i];
		budget_add(r->budget, &h->location,
			   h->is_failed || h->state != HOST_ASSIGNED);
		if (in->is_out[h->location.data_centre])
			continue;
		r->hosts_total[h->location.pool]++;
		if (h->is_failed)
			continue;
		if (h->state == HOST_ASSIGNED) {
			r->slots_in_service[h->location.pool] += h->slots;
			r->hosts_in_service[h->location.pool]++;
		} else if (h->purpose == PURPOSE_MOVE) {
			r->slots_arriving[h->target] += h->slots;
		} else if (h->purpose == PURPOSE_MAINTAIN) {
			r->slots_arriving[h->location.pool] += h->slots;
		}
	}
}

/*
 * Ends the drain of a host on which no task runs, and cancels the drain of a
 * move that takes too long.
 */
static void continue_drain(struct plan_round *r, int host, int pool)
{
	const struct plan_host *h = &r->in->hosts[host];

	if (h->running == 0)
		add_step(r, PLAN_EMPTY, host, pool, REASON_NOTHING_RUNS);
	else if (h->purpose == PURPOSE_MOVE &&
		 h->time_in_state > MOVE_DRAIN_MAX)
		add_step(r, PLAN_ASSIGN, host, h->location.pool,
			 REASON_DRAIN_TOO_LONG);
	else
		plan_add_refusal(r, h->purpose, host, pool,
				 REASON_STILL_RUNNING);
}

/*
 * A failed host would take a budget token of its new pool, so it waits, and
 * returns to its old pool if it does not recover in time.
 */
static void continue_failed_move(struct plan_round *r, int host)
{
	const struct plan_host *h = &r->in->hosts[host];

	if (h->time_in_state >= REBOOT_TIME_MAX)
		add_step(r, PLAN_ASSIGN, host, h->location.pool,
			 REASON_REBOOT_TIME_OVER);
	else
		plan_add_refusal(r, h->purpose, host, h->target,
				 REASON_HOST_FAILED);
}

/*
 * Adds the next step of a host that is out of service. A host that an operator
 * drained is marked empty here, but only an operator returns it to service.
 */
static void continue_stop(struct plan_round *r, int host)
{
	const struct plan_host *h = &r->in->hosts[host];
	int pool = h->purpose == PURPOSE_MOVE ? h->target : h->location.pool;

	if (h->is_backed_off)
		return;
	if (h->state == HOST_DRAINING)
		continue_drain(r, host, pool);
	else if (h->purpose == PURPOSE_NONE)
		return;
	else if (h->purpose == PURPOSE_MOVE && h->is_failed)
		continue_failed_move(r, host);
	else if (h->is_rebooted)
		add_step(r, PLAN_ASSIGN, host, pool, REASON_REBOOTED);
	else if (h->time_in_state >= REBOOT_TIME_MAX)
		add_step(r, PLAN_ASSIGN, host, pool, REASON_REBOOT_TIME_OVER);
	else if (h->purpose == PURPOSE_MOVE && !h->is_absent &&
		 h->time_in_state >= MOVE_REBOOT_WAIT)
		add_step(r, PLAN_ASSIGN, host, pool, REASON_NO_REBOOT_SEEN);
	else
		plan_add_refusal(r, h->purpose, host, pool, REASON_REBOOTING);
}

void plan_decide(struct plan *plan, struct plan_input *in)
{
	struct plan_round r = { .in = in, .plan = plan };
	size_t i;

	g_array_set_size(plan->steps, 0);
	g_array_set_size(plan->refusals, 0);
	r.budget =
		budget_create(in->racks_nr, in->pools_nr, in->data_centres_nr);
	r.slots_in_service = g_new0(int, in->pools_nr + 1);
	r.slots_arriving = g_new0(int, in->pools_nr + 1);
	r.hosts_in_service = g_new0(int, in->pools_nr + 1);
	r.hosts_total = g_new0(int, in->pools_nr + 1);
	r.has_step = g_new0(bool, in->hosts_nr + 1);
	count_hosts(&r);
	for (i = 0; i < in->hosts_nr; i++)
		if (in->hosts[i].state != HOST_ASSIGNED)
			continue_stop(&r, (int)i);
	plan_decide_moves(&r);
	if (in->policy.period)
		plan_decide_maintenance(&r);
	budget_destroy(r.budget);
	g_free(r.slots_in_service);
	g_free(r.slots_arriving);
	g_free(r.hosts_in_service);
	g_free(r.hosts_total);
	g_free(r.has_step);
}
