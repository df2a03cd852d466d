#ifndef SCHED_QUEUE_RESERVE_H
#define SCHED_QUEUE_RESERVE_H

struct sched;

/* Computes what is reserved in the limits of workspaces again. */
void reserve_update(struct sched *s);

#endif
