#ifndef SCHED_UPKEEP_PACING_H
#define SCHED_UPKEEP_PACING_H

#include "../runs/server.h"

struct sched;

/* Adjusts the pace to the tail latencies that the reply to a hold reported. */
void pacing_on_hold(struct sched *s, struct server *v, cs_time now);
/* A run was adopted: the pace that it has is not known. */
void pacing_on_adopt(struct server *v, struct run *r);
void pacing_on_reply(struct sched *s, const struct order_reply *d);

#endif
