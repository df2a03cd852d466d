#ifndef CTL_TABLE_H
#define CTL_TABLE_H

#include <glib.h>
#include <jansson.h>

/*
 * Appends a JSON value in human-readable form: simple values as aligned lines,
 * an object as a section, an array of objects as an aligned table. The order
 * depends only on the content: keys are sorted, with name and id first; rows
 * are sorted by name or id, and rows that have neither keep their order.
 */
void ctl_table_append(GString *out, const json_t *value);

#endif
