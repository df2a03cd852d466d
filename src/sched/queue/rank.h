#ifndef SCHED_QUEUE_RANK_H
#define SCHED_QUEUE_RANK_H

#include "fair_share.h"
#include "job.h"

/* The order of waiting jobs: decisions, without side effects. */

enum rank_class {
	/* Few tasks, and each second of downtime is lost service. */
	RANK_LONG_RUNNING,
	RANK_ON_TIME,
	RANK_LATE, /* will miss its objective, but still has some value */
	RANK_OVERDUE
};
#define RANK_CLASSES (RANK_OVERDUE + 1)
enum rank_class rank_class_of(const struct job *j, cs_time now);
int64_t rank_critical_path_ms(const struct job *j);
void rank_jobs(GPtrArray *jobs, struct fair_item *items, cs_time now);

#endif
