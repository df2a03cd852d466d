#include "room_index.h"

/*
 * A sorted array: a change moves the rows between the old and the new position,
 * which are few, as the free CPU of a server changes by one task at a time.
 */

struct room_index {
	GArray *rows; /* struct room_row, sorted by free CPU, then server */
};

struct room_index *room_index_create(void)
{
	struct room_index *index = g_new(struct room_index, 1);

	index->rows = g_array_new(FALSE, FALSE, sizeof(struct room_row));
	return index;
}

void room_index_destroy(struct room_index *index)
{
	if (!index)
		return;
	g_array_free(index->rows, TRUE);
	g_free(index);
}

static bool is_before(const struct room_row *a, const struct room_row *b)
{
	if (a->free_cpu != b->free_cpu)
		return a->free_cpu < b->free_cpu;
	return a->server < b->server;
}

/* Position of the first row that is not before the given one. */
static guint lower_bound(const struct room_index *index,
			 const struct room_row *row)
{
	guint low = 0, high = index->rows->len;

	while (low < high) {
		guint middle = low + (high - low) / 2;

		if (is_before(room_index_at(index, middle), row))
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

void room_index_add(struct room_index *index, struct room_row row)
{
	g_array_insert_val(index->rows, lower_bound(index, &row), row);
}

void room_index_remove(struct room_index *index, struct room_row row)
{
	guint i = lower_bound(index, &row);
	const struct room_row *found = room_index_at(index, i);

	if (found && found->server == row.server)
		g_array_remove_index(index->rows, i);
}

guint room_index_first(const struct room_index *index, int64_t cpu)
{
	const struct room_row row = { .free_cpu = cpu };

	return lower_bound(index, &row);
}

const struct room_row *room_index_at(const struct room_index *index, guint i)
{
	return i < index->rows->len ?
		       &g_array_index(index->rows, struct room_row, i) :
		       NULL;
}
