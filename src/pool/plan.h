#ifndef POOL_PLAN_H
#define POOL_PLAN_H

#include <glib.h>

#include "../config/document.h"
#include "budget.h"

/*
 * The decision which hosts to move, to maintain and to put back in service,
 * on plain tables: no message, no document, no clock. Pools, racks and data
 * centres are indices into the tables of the caller.
 *
 * A move is drain -> empty -> assigned. The host reboots while it is empty
 * in its old pool and changes its pool in the step that puts it back in
 * service, so it never counts as down in the pool that waits for it.
 */

/* Why a host is out of service. */
enum plan_purpose {
	PURPOSE_NONE, /* in service, or stopped by an operator */
	PURPOSE_MOVE,
	PURPOSE_MAINTAIN
};

/* What is kept of a pool from one round to the next; zero at first. */
struct pool_history {
	cs_time updated; /* of the last round, 0: none yet */
	double peak_demand; /* demand, decaying */
	cs_time shortage_since; /* 0: not short of slots */
	cs_time surplus_since; /* 0: no host to spare */
};

struct plan_pool {
	int demand; /* tasks queued and running, in slots */
	int budget_percent;
	bool is_spare;
	struct pool_history history; /* updated by plan_decide() */
};

/*
 * The pace of maintenance: one host for each credit, and credit grows by one
 * host every period / hosts. Late hosts do not wait for credit but use it
 * up, so that the mean pace stays. Zero at first.
 */
struct plan_pace {
	cs_time updated;
	double credit;
};

struct plan_host {
	struct budget_location location;
	enum host_state state;
	bool is_failed; /* unreachable, ejected or gone */
	int slots;
	int running; /* tasks, -1: not known */
	int home; /* pool it returns to after a burst */
	enum plan_purpose purpose;
	int target; /* pool a move goes to */
	bool is_backed_off; /* the document refused its last step: leave it
			       alone */
	bool is_absent; /* empty, and not in the host list at present */
	bool is_rebooted; /* seen to leave and come back while empty */
	cs_time in_state_for; /* how long it has been in its state */
	cs_time age; /* since its last maintenance */
};

/* How eager the planner is; there is a row for each preset. */
struct plan_policy {
	cs_time shortage_delay; /* a shortage must last this long */
	cs_time surplus_delay; /* a surplus must last this long */
	cs_time peak_half_life; /* how long a peak of demand is remembered */
	double donor_margin; /* a donor keeps its peak demand times this */
	double gain_factor; /* gain of a move must exceed cost times this */
	int burst_min_percent; /* least shortage, of the pool's slots */
	cs_time period; /* each host is maintained once in it; 0: never */
	int maintain_percent; /* hosts in maintenance at once, fleet-wide */
};

const struct plan_policy *plan_policy(enum preset preset);

/* Removes what keeps the planner from moving at every change of demand. */
void plan_policy_drop_hysteresis(struct plan_policy *policy);

struct plan_input {
	cs_time now;
	struct plan_policy policy;
	bool ignores_budget; /* only for a test that must see it fail */
	struct plan_pace pace; /* updated by plan_decide() */
	struct plan_pool *pools;
	size_t pools_nr;
	const struct plan_host *hosts;
	size_t hosts_nr;
	size_t racks_nr;
	const bool *is_out; /* for each data centre */
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

/* "lend_spare", "no_rack_budget", ... */
const char *plan_reason_name(enum plan_reason reason);

enum plan_op {
	PLAN_DRAIN,
	PLAN_EMPTY, /* nothing runs there any more */
	PLAN_ASSIGN, /* in service again, in the pool named */
	PLAN_REFUSED
};

struct plan_step {
	enum plan_op op;
	enum plan_purpose purpose;
	int host; /* -1: a refusal for a pool as a whole */
	int pool; /* the host's next pool, or the pool refused */
	enum plan_reason reason;
};

/* Steps in the order in which they are to be taken, and refusals. */
struct plan {
	GArray *steps; /* struct plan_step */
	GArray *refusals;
};

struct plan *plan_create(void);
void plan_destroy(struct plan *plan);

/*
 * Replaces the content of plan by what is to be done now. Only one state
 * step for a host. O(n log n) in hosts plus O(p log p) in pools.
 */
void plan_decide(struct plan *plan, struct plan_input *in);

/*
 * Counts again, without tokens, whether no group that a drain of the plan
 * touches has more hosts down than its budget. O(n).
 */
bool plan_respects_budgets(const struct plan *plan,
			   const struct plan_input *in);

#endif
