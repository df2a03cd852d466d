#ifndef SCHED_RUNS_LATE_STARTS_H
#define SCHED_RUNS_LATE_STARTS_H

#include "server.h"

struct sched;
struct task_ref;

struct late_starts *late_starts_create(void);
void late_starts_destroy(struct late_starts *late_starts);
/* Remembers a start without an answer, which counts as lost. */
void late_starts_add(struct sched *s, const struct run *r, cs_time now);
/*
 * True if such a start of the task may still be carried out by an incarnation
 * that has not rejected it, so that the task must not be started.
 */
bool late_starts_hold(struct sched *s, const struct task_ref *ref, cs_time now);
/* Has a new incarnation of the server reject such starts. */
void late_starts_reject(struct sched *s, struct server *v, cs_time now);

#endif
