#ifndef UNIT_PLAN_MODEL_H
#define UNIT_PLAN_MODEL_H

#include "../../src/pool/plan.h"

/*
 * A simulation of hosts that carries out plans: drains and reboots take time,
 * racks fail, and pools have a load. For tests and benchmarks of plans.
 */

struct model_pool {
	double load; /* offered load, in slots */
	double tasks; /* queued and running */
	double arrived, refused; /* totals; refused when the queue is full */
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
	int *pool_before; /* of each host, before the last step */
	enum host_state *state_before;
	cs_time reboot_time;
	bool skips_steps; /* plans are made but not carried out */
	long moves, maintained, drains;
};

/* Hosts of 8 slots in racks of four, which are spread over data centres. */
struct plan_model *plan_model_create(uint32_t seed, struct model_pool *pools,
				     size_t pools_nr, size_t data_centres,
				     const struct plan_policy *policy);
void plan_model_destroy(struct plan_model *m);

/* Advances the time by dt, makes one plan and carries out all its steps. */
void plan_model_step(struct plan_model *m, cs_time dt);

/* Lets all hosts of the rack fail until that time. */
void plan_model_fail_rack(struct plan_model *m, int rack, cs_time until);

/* Slots of the pool in service. */
int plan_model_slots_in_service(const struct plan_model *m, int pool);

/*
 * Returns the name of the rule that the last step broke, or NULL. Stopped hosts
 * must be within the budgets at all times, and when a stop begins, stopped and
 * failed hosts together. A host may change its pool only from empty to
 * assigned, and must not skip a state.
 */
const char *plan_model_violation(const struct plan_model *m);

#endif
