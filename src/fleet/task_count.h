#ifndef FLEET_TASK_COUNT_H
#define FLEET_TASK_COUNT_H

#include "../camphorshed.h"

/* Changes that are remembered. */
#define TASK_COUNT_CHANGES 8

/* A number of running tasks, and what it was shortly before. */
struct task_count {
	int tasks;
	struct {
		cs_time at;
		int tasks; /* after the change */
	} changes[TASK_COUNT_CHANGES]; /* a ring */
	uint64_t changes_nr; /* all so far */
};

/* A count of all zeros is valid and empty. */
void task_count_add(struct task_count *count, int delta, cs_time now);
/*
 * The count at a time in the past. If more changes came since then than are
 * remembered, the count after the oldest of these.
 */
int task_count_at(const struct task_count *count, cs_time at);

#endif
