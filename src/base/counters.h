#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

#include <glib.h>

#include "../camphorshed.h"

/*
 * Named counters, gauges and histograms of one task. Each task owns its own
 * set, which is rendered by that task when the admin task asks for it.
 */
struct counters;

struct counters *counters_create(void);
void counters_destroy(struct counters *counters);

/*
 * Adds n to the counter of that name and labels, made at first use. name is
 * a Prometheus metric name that ends in _total; labels is the text between the
 * braces ("reason=\"limit\"") or "". Both are copied.
 */
void counters_add(struct counters *counters, const char *name,
		  const char *labels, int64_t n);

/* Sets a gauge. */
void counters_set(struct counters *counters, const char *name,
		  const char *labels, int64_t value);

/*
 * Notes a duration in the histogram of that name, which ends in _seconds, and
 * labels. Durations below 0, of a clock that was set, count as 0.
 */
void counters_observe(struct counters *counters, const char *name,
		      const char *labels, cs_time duration);

/*
 * The present value, of a histogram how many durations it holds; 0 if there is
 * none. For tests and status.
 */
int64_t counters_value(const struct counters *counters, const char *name,
		       const char *labels);

/* Appends all values in the Prometheus text format, sorted by name. */
void counters_render(const struct counters *counters, GString *out);

#endif
