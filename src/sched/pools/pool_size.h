#ifndef SCHED_POOLS_POOL_SIZE_H
#define SCHED_POOLS_POOL_SIZE_H

#include "pool.h"

struct sched;

/* Begins a rebalancing pass: what is left of limits is computed again. */
void pool_size_begin(struct sched *s);
/* Records work that arrives in the pool; units as in demand.h. */
void pool_size_add_arrival(struct sched *s, struct pool *p, double work,
			   double duration_ms, cs_time now);
/* Name of the method that forecasts the pool's arriving work. */
const char *pool_size_method(const struct sched *s, const struct pool *p);
/* Number of servers that the pool needs; it decreases gradually. */
int pool_size_target(struct sched *s, struct pool *p, cs_time now);
/*
 * Allocates CPU, in thousandths of a core, to a job from what is left of its
 * workspace's limit since pool_size_begin(). Returns the amount allocated, at
 * most cpu.
 */
double pool_size_allowed_cpu(struct sched *s, const struct job *j, double cpu);

#endif
