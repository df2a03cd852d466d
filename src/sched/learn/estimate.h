#ifndef SCHED_ESTIMATE_H
#define SCHED_ESTIMATE_H

#include <stdint.h>

/*
 * Estimates the run times of tasks of one queue from those that have ended.
 * The callers' hints are off by a factor of two and more, so the history of the
 * queue is often the better predictor; the weight of a hint is estimated too.
 */
struct estimate;

struct estimate *estimate_create(void);
void estimate_destroy(struct estimate *estimate);

/* Records the run time of a task with the caller's hint hint_ms (0: none). */
void estimate_record(struct estimate *estimate, int64_t hint_ms,
		     int64_t actual_ms);

/*
 * The median run time of tasks with this hint, ms. Until a task has ended, it
 * is the hint itself; 0: unknown.
 */
int64_t estimate_median_ms(const struct estimate *estimate, int64_t hint_ms);

/* The mean run time; above the median, as a few tasks take very long. */
int64_t estimate_mean_ms(const struct estimate *estimate, int64_t hint_ms);

#endif
