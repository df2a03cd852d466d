#ifndef SCHED_DEMAND_H
#define SCHED_DEMAND_H

#include "../camphorshed.h"

/*
 * The work that arrives at a pool, and the processor that it will need a
 * little later. Answers queues whose demand climbs to several times the mean
 * within seconds: hosts that are ordered when work already waits come two
 * seconds late.
 */
struct demand;

struct demand *demand_create(void);
void demand_destroy(struct demand *demand);

/*
 * Work has arrived: thousandths of a core times milliseconds. duration_ms is
 * how long it takes if it gets all that it can use at once.
 */
void demand_add(struct demand *demand, double work, double duration_ms,
		cs_time now);

/*
 * Thousandths of a core that arriving work will need at a time ahead of now,
 * if it goes on to rise as it does.
 */
double demand_forecast(struct demand *demand, cs_time ahead, cs_time now);

#endif
