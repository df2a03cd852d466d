#ifndef SCHED_DEMAND_H
#define SCHED_DEMAND_H

#include "../../camphorshed.h"

/*
 * Forecasts the CPU demand of a pool from the work that arrives there. The
 * demand of a queue can rise to several times its mean within seconds, and
 * hosts that are moved only when work already waits come two seconds late.
 */
struct demand;

struct demand *demand_create(void);
void demand_destroy(struct demand *demand);

/*
 * Records arriving work, in thousandths of a core times milliseconds.
 * duration_ms is its run time if it gets all the CPU that it can use.
 */
void demand_add(struct demand *demand, double work, double duration_ms,
		cs_time now);

/*
 * Forecasts the CPU that arriving work needs at now + ahead, in thousandths of
 * a core, by linear extrapolation.
 */
double demand_forecast(struct demand *demand, cs_time ahead, cs_time now);

#endif
