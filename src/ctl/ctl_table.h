#ifndef CTL_TABLE_H
#define CTL_TABLE_H

#include <glib.h>
#include <jansson.h>

/*
 * Appends any JSON value for people: simple values as aligned lines, an
 * object as a section, an array of objects as an aligned table. The order
 * depends on the content only: name and id first, other keys by the
 * alphabet, rows with a name by their names, other rows as they came.
 */
void ctl_table_append(GString *out, const json_t *value);

#endif
