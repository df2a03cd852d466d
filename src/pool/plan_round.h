#ifndef POOL_PLAN_ROUND_H
#define POOL_PLAN_ROUND_H

#include "plan.h"

/*
 * The working state of one call of plan_decide(). Private to the plan_*.c
 * files.
 */
struct plan_round {
	struct plan_input *in;
	struct plan *plan;
	struct budget *budget;
	/* for each pool */
	int *slots_in_service;
	int *slots_arriving; /* of hosts that will join the pool */
	int *hosts_in_service;
	int *hosts_total; /* in any state */
	/* for each host */
	bool *has_step; /* a step was added in this round */
};

/* Slots of the pool in service, and of hosts that are about to join it. */
int plan_pool_slots(const struct plan_round *round, int pool);

/* True if the host is in service and may be drained, apart from budgets. */
bool plan_can_stop(const struct plan_round *round, int host);

/*
 * Takes the host's budget tokens and adds a drain step. Without tokens it adds
 * a refusal instead and returns false.
 */
bool plan_add_drain(struct plan_round *round, int host,
		    enum plan_purpose purpose, int pool,
		    enum plan_reason reason);

void plan_add_refusal(struct plan_round *round, enum plan_purpose purpose,
		      int host, int pool, enum plan_reason reason);

/*
 * Moves hosts to pools that are short of slots, and back to their home pools
 * afterwards.
 */
void plan_decide_moves(struct plan_round *round);

/* Begins maintenance of hosts that are due. */
void plan_decide_maintenance(struct plan_round *round);

#endif
