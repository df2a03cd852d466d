#ifndef POOL_PLAN_ROUND_H
#define POOL_PLAN_ROUND_H

#include "plan.h"

/*
 * The working state of one call of plan_decide(), shared by the files that
 * decide on moves and on maintenance. Private to them.
 */
struct plan_round {
	struct plan_input *in;
	struct plan *plan;
	struct budget *budget;
	int *slots_in_service; /* slots in service, for each pool */
	int *slots_arriving; /* slots on their way into each pool */
	int *hosts_in_service; /* hosts in service, for each pool */
	int *hosts_total; /* hosts in any state, for each pool */
	bool *has_step; /* hosts with a step in this round */
};

/* Slots that the pool has, or will have when what was begun is done. */
int plan_pool_slots(const struct plan_round *round, int pool);

/* True if a stop of this host may be planned at all. */
bool plan_can_stop(const struct plan_round *round, int host);

/*
 * Takes the tokens and adds the drain. If the budgets refuse, adds a refusal
 * and returns false.
 */
bool plan_add_drain(struct plan_round *round, int host,
		    enum plan_purpose purpose, int pool,
		    enum plan_reason reason);

void plan_add_refusal(struct plan_round *round, enum plan_purpose purpose,
		      int host, int pool, enum plan_reason reason);

/* Lends hosts to pools in a burst and sends them home afterwards. */
void plan_decide_moves(struct plan_round *round);

/* Begins maintenance of the hosts that are due. */
void plan_decide_maintenance(struct plan_round *round);

#endif
