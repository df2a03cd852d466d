#ifndef SCHED_NO_ROOM_H
#define SCHED_NO_ROOM_H

#include "../../site/site.h"

/*
 * Sizes of tasks for which no server of a pool had room in the present pass.
 * Room only shrinks during a pass, so a task that is at least as large needs no
 * search. A lack of servers with a label says nothing about tasks without it.
 */
#define NO_ROOM_ROWS 16

struct no_room_row {
	const char *label; /* that the server must have; NULL: none */
	struct site_resources need;
};

struct no_room {
	struct no_room_row rows[NO_ROOM_ROWS];
	int rows_nr;
};

/* True if no server with the label, or with any if it is NULL, has room. */
bool no_room_covers(const struct no_room *set, const char *label,
		    struct site_resources need);

/*
 * Records that no server with the label has room for need. label must stay
 * valid as long as the set is used. A full set ignores it, which costs searches
 * but hides no task.
 */
void no_room_add(struct no_room *set, const char *label,
		 struct site_resources need);

#endif
