#include "accepted_work.h"

#include <glib.h>

#include "../../base/error.h"
#include "../../site/site.h"

/*
 * Share of the machine's memory. Callers' buffers have half as much, and as
 * long as one workspace floods the owner, it uses half of this.
 */
#define MEMORY_SHARE 0.4
/* That share of the smallest usual machine, which has 160 MB. */
#define SIZE_MAX_BYTES ((size_t)64 << 20)
/*
 * Up to this part of the budget a workspace may use what others leave. The rest
 * is for the others' parts, and for what is submitted before all entries know
 * of the refusal.
 */
#define SHARED_PART 2

struct row {
	char workspace[SITE_NAME_MAX];
	double weight;
	size_t bytes;
	bool was_full; /* in the last report */
};

struct accepted_work {
	size_t max;
	size_t bytes; /* of all rows */
	double weights; /* of all rows */
	bool is_report_due;
	GArray *rows; /* struct row */
	GHashTable *row_by_workspace; /* -> index in rows */
};

size_t accepted_work_size(size_t configured, size_t memory)
{
	return configured ? configured :
			    MIN((size_t)((double)memory * MEMORY_SHARE),
				SIZE_MAX_BYTES);
}

struct accepted_work *accepted_work_create(size_t max)
{
	struct accepted_work *w = g_new0(struct accepted_work, 1);

	w->max = max;
	w->rows = g_array_new(FALSE, TRUE, sizeof(struct row));
	w->row_by_workspace =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return w;
}

void accepted_work_destroy(struct accepted_work *w)
{
	if (!w)
		return;
	g_hash_table_destroy(w->row_by_workspace);
	g_array_free(w->rows, TRUE);
	g_free(w);
}

static struct row *row_at(const struct accepted_work *w, int i)
{
	return &g_array_index(w->rows, struct row, i);
}

int accepted_work_row(struct accepted_work *w, const char *workspace)
{
	struct row row = { 0 };
	void *index;

	if (g_hash_table_lookup_extended(w->row_by_workspace, workspace, NULL,
					 &index))
		return GPOINTER_TO_INT(index);
	cs_copy(row.workspace, sizeof(row.workspace), workspace);
	g_array_append_val(w->rows, row);
	g_hash_table_insert(w->row_by_workspace, g_strdup(workspace),
			    GINT_TO_POINTER((int)w->rows->len - 1));
	return (int)w->rows->len - 1;
}

void accepted_work_clear_weights(struct accepted_work *w)
{
	guint i;

	for (i = 0; i < w->rows->len; i++)
		row_at(w, (int)i)->weight = 0;
	w->weights = 0;
}

void accepted_work_set_weight(struct accepted_work *w, const char *workspace,
			      int64_t weight)
{
	struct row *row = row_at(w, accepted_work_row(w, workspace));

	w->weights -= row->weight;
	row->weight = (double)MAX(weight, 1);
	w->weights += row->weight;
}

static size_t part_of(const struct accepted_work *w, const struct row *r)
{
	return w->weights > 0 ?
		       (size_t)((double)w->max * r->weight / w->weights) :
		       0;
}

static bool is_full(const struct accepted_work *w, const struct row *r)
{
	return w->max && w->bytes >= w->max / SHARED_PART &&
	       r->bytes >= part_of(w, r);
}

void accepted_work_charge(struct accepted_work *w, int row, size_t from,
			  size_t to)
{
	struct row *r = row_at(w, row);

	r->bytes = r->bytes - from + to;
	w->bytes = w->bytes - from + to;
	w->is_report_due |= is_full(w, r) && !r->was_full;
}

size_t accepted_work_bytes(const struct accepted_work *w)
{
	return w->bytes;
}

bool accepted_work_is_report_due(const struct accepted_work *w)
{
	return w->is_report_due;
}

bool accepted_work_is_full(const struct accepted_work *w, int row)
{
	return is_full(w, row_at(w, row));
}

void accepted_work_report(struct accepted_work *w, accepted_work_fn fn,
			  void *ctx)
{
	guint i;

	w->is_report_due = false;
	for (i = 0; i < w->rows->len; i++) {
		struct row *r = row_at(w, (int)i);
		struct accepted_work_state state = {
			.workspace = r->workspace,
			.bytes = r->bytes,
			.part = part_of(w, r),
			.is_full = is_full(w, r),
		};

		state.is_new = state.is_full != r->was_full;
		r->was_full = state.is_full;
		fn(ctx, &state);
	}
}
