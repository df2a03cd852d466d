#ifndef SCHED_ESTIMATE_H
#define SCHED_ESTIMATE_H

#include <stdint.h>

/*
 * How long tasks of one queue take, learnt from those that have ended. What
 * callers tell is off by a factor of two and more, so it says less about a
 * task than the queue's past does; how much less is learnt as well.
 */
struct estimate;

struct estimate *estimate_create(void);
void estimate_destroy(struct estimate *estimate);

/* A task that was told to take hint_ms (0: not told) took actual_ms. */
void estimate_record(struct estimate *estimate, int64_t hint_ms,
		     int64_t actual_ms);

/* The usual time of a task that is told to take hint_ms, ms. */
int64_t estimate_median_ms(const struct estimate *estimate, int64_t hint_ms);

/* The mean time; above the usual one, as a few tasks take very long. */
int64_t estimate_mean_ms(const struct estimate *estimate, int64_t hint_ms);

#endif
