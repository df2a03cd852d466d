#ifndef SCHED_RUNS_LATE_STARTS_H
#define SCHED_RUNS_LATE_STARTS_H

#include "server.h"

struct sched;

struct late_starts *late_starts_create(void);
void late_starts_destroy(struct late_starts *late_starts);
/* Remembers a start without an answer, which counts as lost. */
void late_starts_add(struct sched *s, const struct run *r, cs_time now);
/* Has a new incarnation of the server reject such starts. */
void late_starts_reject(struct sched *s, struct server *v, cs_time now);

#endif
