#ifndef SCHED_PLACE_HEALTH_H
#define SCHED_PLACE_HEALTH_H

#include "../runs/server.h"

struct sched;

/* Suspends starts on a server after several failed runs in a row. */
void health_on_end(struct sched *s, struct server *v, enum batch_end how,
		   cs_time now);

#endif
