#include "no_room.h"

#include <string.h>

static bool row_covers(const struct no_room_row *row, const char *label,
		       struct site_resources need)
{
	return site_resources_fit(row->need, need) &&
	       (!row->label || (label && !strcmp(row->label, label)));
}

bool no_room_covers(const struct no_room *set, const char *label,
		    struct site_resources need)
{
	int i;

	for (i = 0; i < set->rows_nr; i++)
		if (row_covers(&set->rows[i], label, need))
			return true;
	return false;
}

void no_room_add(struct no_room *set, const char *label,
		 struct site_resources need)
{
	const struct no_room_row added = { label, need };
	int i, kept = 0;

	if (no_room_covers(set, label, need))
		return;
	for (i = 0; i < set->rows_nr; i++)
		if (!row_covers(&added, set->rows[i].label, set->rows[i].need))
			set->rows[kept++] = set->rows[i];
	set->rows_nr = kept;
	if (kept < NO_ROOM_ROWS)
		set->rows[set->rows_nr++] = added;
}
