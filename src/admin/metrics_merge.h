#ifndef METRICS_MERGE_H
#define METRICS_MERGE_H

#include <glib.h>

/*
 * Merges metrics of several tasks in the Prometheus text format and appends
 * them to out. Metrics are sorted by name; each has one TYPE line, followed by
 * the samples of all tasks. NULL texts are skipped.
 */
void metrics_merge(GBytes *const *texts, size_t nr, GString *out);

#endif
