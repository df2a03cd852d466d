#ifndef UNIT_PLAN_MODEL_H
#define UNIT_PLAN_MODEL_H

#include "../../src/pool/plan.h"

/*
 * A small model of hosts that obeys a plan: drains and reboots take time,
 * racks fail, pools have a load. For tests and measurements of plans.
 */

struct model_pool {
	double load; /* offered, in slots */
	double tasks; /* queued and running */
	double arrived, refused; /* sums; refused by the full queue */
	int hosts;
	bool is_spare;
};

struct plan_model {
	struct plan_input in;
	struct plan *plan;
	GRand *rng;
	struct plan_host *hosts; /* in.hosts */
	struct model_pool *pools;
	cs_time *since; /* of each host's state */
	cs_time *failed_until;
	int *pool_before; /* of each host, one step ago */
	enum host_state *state_before;
	cs_time reboot_time;
	bool is_static; /* plans are made and not obeyed */
	long moves, maintained, drains;
};

/* Hosts of 8 slots, four to a rack, racks spread over the data centres. */
struct plan_model *plan_model_create(uint32_t seed, struct model_pool *pools,
				     size_t pools_nr, size_t data_centres,
				     const struct plan_policy *policy);
void plan_model_destroy(struct plan_model *m);

/* Passes dt, decides once and takes all steps. */
void plan_model_step(struct plan_model *m, cs_time dt);

/* Fails every host of the rack until then. */
void plan_model_fail_rack(struct plan_model *m, int rack, cs_time until);

/* Slots that serve the pool now. */
int plan_model_service(const struct plan_model *m, int pool);

/*
 * The rule that the last step broke, or NULL: planned stops within budgets
 * together with failures when they begin, and without them at all times; no
 * host changes its pool but from empty to assigned, or skips a state.
 */
const char *plan_model_fault(const struct plan_model *m);

#endif
