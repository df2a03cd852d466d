#ifndef BASE_COUNTERS_H
#define BASE_COUNTERS_H

#include <glib.h>

#include "../camphorshed.h"

/*
 * Metrics of one task: named counters, gauges and histograms. Each task owns a
 * set of its own and renders it when the admin task asks for it.
 */
struct counters;

struct counters *counters_create(void);
void counters_destroy(struct counters *counters);

/*
 * Adds n to the counter of that name and labels, which is created at its first
 * use. name is a Prometheus metric name that ends in _total; labels is the text
 * between the braces ("reason=\"limit\"") or "". Both are copied.
 */
void counters_add(struct counters *counters, const char *name,
		  const char *labels, int64_t n);

/* Sets a gauge. */
void counters_set(struct counters *counters, const char *name,
		  const char *labels, int64_t value);

/*
 * Records a duration in the histogram of that name, which ends in _seconds, and
 * labels. Negative durations, which occur after a clock was set, count as 0.
 */
void counters_observe(struct counters *counters, const char *name,
		      const char *labels, cs_time duration);

/*
 * The current value, for a histogram its number of durations; 0 if there is no
 * such metric. For tests.
 */
int64_t counters_value(const struct counters *counters, const char *name,
		       const char *labels);

/* Appends all metrics in the Prometheus text format, sorted by name. */
void counters_render(const struct counters *counters, GString *out);

#endif
