#ifndef POOL_PLAN_H
#define POOL_PLAN_H

#include <glib.h>

#include "../config/document.h"
#include "budget.h"

/*
 * Decides which hosts to move between pools, to maintain and to return to
 * service. It works on plain tables, without messages, documents or a clock.
 * Pools, racks and data centres are indices into the tables of the caller.
 *
 * A move takes the states draining -> empty -> assigned. The host reboots while
 * it is empty, still in its old pool. It changes its pool in the step that
 * returns it to service, so it never counts as down in the new pool.
 */

/* Why a host is out of service. */
enum plan_purpose {
	PURPOSE_NONE, /* in service, or stopped by an operator */
	PURPOSE_MOVE,
	PURPOSE_MAINTAIN
};

/* State of a pool that is kept between planning rounds; initially zero. */
struct pool_history {
	cs_time updated; /* time of the last round, 0: none yet */
	double peak_demand; /* decays with policy.peak_half_life */
	cs_time shortage_since; /* 0: not short of slots */
	cs_time surplus_since; /* 0: no slots to spare */
};

struct plan_pool {
	int demand; /* tasks queued and running, in slots */
	int budget_percent;
	bool is_spare;
	struct pool_history history; /* updated by plan_decide() */
};

/*
 * Limits the rate at which hosts enter maintenance. Each host costs one credit,
 * and one credit is added every period / number of hosts. Hosts that are
 * overdue do not wait for credit but still use it, so the mean rate stays the
 * same. Initially zero.
 */
struct plan_pace {
	cs_time updated;
	double credit;
};

struct plan_host {
	struct budget_location location;
	enum host_state state;
	bool is_failed; /* unreachable, ejected or removed */
	int slots;
	int running; /* tasks, -1: unknown */
	int home; /* pool that it returns to after a burst */
	enum plan_purpose purpose;
	int target; /* pool that it moves to, for PURPOSE_MOVE */
	bool is_backed_off; /* no steps for now, its last one was refused */
	bool is_absent; /* leaving, or missing from the host list */
	bool is_rebooted; /* left the host list and returned while empty */
	cs_time time_in_state;
	cs_time age; /* time since its last maintenance */
};

/* Thresholds of the planner. Each preset has its own. */
struct plan_policy {
	cs_time shortage_delay; /* how long a shortage must last */
	cs_time surplus_delay; /* how long a surplus must last */
	cs_time peak_half_life; /* of a pool's peak demand */
	double donor_margin; /* a donor keeps its peak demand times this */
	double gain_factor; /* gain of a move must exceed cost times this */
	int burst_min_percent; /* least shortage, of the pool's slots */
	cs_time period; /* of maintenance of each host; 0: none */
	int maintain_percent; /* most hosts in maintenance, fleet-wide */
};

const struct plan_policy *plan_policy_of(enum preset preset);

/*
 * Removes all delays and margins, so that the planner reacts to every change of
 * demand.
 */
void plan_policy_disable_hysteresis(struct plan_policy *policy);

struct plan_input {
	cs_time now;
	struct plan_policy policy;
	bool ignores_budget; /* only for tests that must detect it */
	struct plan_pace pace; /* updated by plan_decide() */
	struct plan_pool *pools;
	size_t pools_nr;
	const struct plan_host *hosts;
	size_t hosts_nr;
	size_t racks_nr;
	const bool *is_out; /* data centres that are out of service */
	size_t data_centres_nr;
};

enum plan_reason {
	/* of steps */
	REASON_LEND_SPARE,
	REASON_LEND_IDLE,
	REASON_GO_HOME,
	REASON_COVER_SINGLE_HOST,
	REASON_MAINTENANCE_DUE,
	REASON_MAINTENANCE_LATE,
	REASON_NOTHING_RUNS,
	REASON_REBOOTED,
	REASON_REBOOT_TIME_OVER,
	REASON_NO_REBOOT_SEEN,
	REASON_DRAIN_TOO_LONG,
	/* of refusals */
	REASON_NO_RACK_BUDGET,
	REASON_NO_POOL_BUDGET,
	REASON_NO_DATA_CENTRE_BUDGET,
	REASON_SHORTAGE_TOO_NEW,
	REASON_DEMAND_FALLING,
	REASON_COST_EXCEEDS_GAIN,
	REASON_NOT_A_BURST,
	REASON_NO_HOST_TO_SPARE,
	REASON_SLOTS_NEEDED,
	REASON_MAINTENANCE_FULL,
	REASON_STILL_RUNNING,
	REASON_REBOOTING,
	REASON_HOST_FAILED,
	REASON_NR
};

/* Returns "lend_spare", "no_rack_budget" and so on. */
const char *plan_reason_name(enum plan_reason reason);

enum plan_op {
	PLAN_DRAIN,
	PLAN_EMPTY, /* no task runs there any more */
	PLAN_ASSIGN, /* back in service, in the pool of the step */
	PLAN_REFUSED
};

struct plan_step {
	enum plan_op op;
	enum plan_purpose purpose;
	int host; /* -1: the refusal concerns a whole pool */
	int pool; /* the host's next pool, or the pool that is refused */
	enum plan_reason reason;
};

/* The steps, in the order in which to take them, and the refusals. */
struct plan {
	GArray *steps; /* struct plan_step */
	GArray *refusals;
};

struct plan *plan_create(void);
void plan_destroy(struct plan *plan);

/*
 * Replaces the content of plan by the steps to take now, at most one for each
 * host. O(n log n) in hosts plus O(p log p) in pools.
 */
void plan_decide(struct plan *plan, struct plan_input *in);

/*
 * Checks the plan independently of struct budget: returns true if no rack, pool
 * or data centre of a drained host has more hosts down than its budget. O(n).
 */
bool plan_respects_budgets(const struct plan *plan,
			   const struct plan_input *in);

#endif
