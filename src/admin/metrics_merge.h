#ifndef METRICS_MERGE_H
#define METRICS_MERGE_H

#include <glib.h>

/*
 * Joins metric texts of several tasks into one: all samples of a metric stand
 * together, sorted by its name, below one TYPE line. NULL texts are skipped.
 */
void metrics_merge(GBytes *const *texts, size_t nr, GString *out);

#endif
