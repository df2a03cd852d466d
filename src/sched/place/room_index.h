#ifndef SCHED_ROOM_INDEX_H
#define SCHED_ROOM_INDEX_H

#include <glib.h>

#include "../../camphorshed.h"

/*
 * The servers of a pool in the order of their free CPU, so that the fullest one
 * with room for a task is found without a look at all servers.
 */
struct room_index;

struct room_row {
	int64_t free_cpu; /* thousandths of a core */
	cs_handle server;
};

struct room_index *room_index_create(void);
void room_index_destroy(struct room_index *index);

/* Rows are identified by their server and its present free CPU. */
void room_index_add(struct room_index *index, struct room_row row);
void room_index_remove(struct room_index *index, struct room_row row);

/* Position of the first row with at least cpu. */
guint room_index_first(const struct room_index *index, int64_t cpu);
/* NULL past the last row. Valid until the next change. */
const struct room_row *room_index_at(const struct room_index *index, guint i);

#endif
