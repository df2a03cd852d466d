#ifndef SCHED_QUEUE_DRAIN_H
#define SCHED_QUEUE_DRAIN_H

#include "../sched.h"

/*
 * What waits ahead of a new job of a queue, and how fast it could be done at
 * most: what entries need to know to refuse a job that would end too late.
 */
struct drain_summary {
	/*
	 * Time that the work ahead takes with all CPU that the pool could get,
	 * ms: jobs of the same or a more urgent priority that are not overdue.
	 */
	int64_t ahead_ms;
	/* Most CPU that is free on one usable server, thousandths of a core. */
	int64_t free_cpu;
};

/* Calls fn for each queue whose pool has jobs and can get servers. */
typedef void (*drain_queue_fn)(void *ctx, const char *queue,
			       const struct drain_summary *summary);
void drain_for_each_queue(const struct sched *s, drain_queue_fn fn, void *ctx);

#endif
