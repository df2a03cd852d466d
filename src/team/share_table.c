#include "share_table.h"

#include <math.h>
#include <string.h>

#include "../base/error.h"

/* Half-life of slot time. */
#define HALF_LIFE (30 * CS_SEC)

/* Enough for 370 teams in each of 113 pools, 41,810 rows. */
#define ROWS_MAX 65536

/* Assumed length of a team's tasks before any has ended, in ms. */
#define TASK_MS_INITIAL 50.0

/* The scale is reset at 2^200, far below 2^1024, where a double overflows. */
#define RESCALE_HALF_LIVES 200

static void free_pool(gpointer data)
{
	struct share_pool *p = data;

	g_ptr_array_free(p->rows, TRUE);
	g_free(p->heap);
	g_free(p);
}

static void free_source(gpointer data)
{
	struct share_source *s = data;

	g_hash_table_destroy(s->rows);
	g_free(s);
}

bool share_table_init(struct share_table *t)
{
	t->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	t->sources = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   free_source);
	t->rows = slots_create(sizeof(struct share_row), ROWS_MAX);
	return t->rows != NULL;
}

void share_table_clear(struct share_table *t)
{
	g_hash_table_destroy(t->sources);
	g_hash_table_destroy(t->pools);
	slots_destroy(t->rows);
}

struct share_pool *share_table_find_pool(const struct share_table *t,
					 const char *pool)
{
	return g_hash_table_lookup(t->pools, pool);
}

struct share_row *share_table_find_row(const struct share_table *t,
				       const char *pool, const char *team)
{
	struct share_pool *p = share_table_find_pool(t, pool);
	struct share_row *row;
	guint i;

	if (!p)
		return NULL;
	for (i = 0; i < p->rows->len; i++) {
		row = g_ptr_array_index(p->rows, i);
		if (!strcmp(row->team, team))
			return row;
	}
	return NULL;
}

struct share_row *share_table_find_or_add_row(struct share_table *t,
					      const char *pool,
					      const char *team, double weight,
					      cs_time now)
{
	struct share_pool *p = share_table_find_pool(t, pool);
	struct share_row *row = share_table_find_row(t, pool, team);
	cs_handle h;

	if (row) {
		row->weight = weight;
		return row;
	}
	h = slots_alloc(t->rows, (void **)&row);
	if (!h)
		return NULL;
	if (!p) {
		p = g_new0(struct share_pool, 1);
		cs_copy(p->name, sizeof(p->name), pool);
		p->rows = g_ptr_array_new();
		p->quota = -1;
		g_hash_table_insert(t->pools, p->name, p);
	}
	row->pool = p;
	row->self = h;
	row->weight = weight;
	row->updated = now;
	row->task_ms = TASK_MS_INITIAL;
	row->heap_pos = SHARE_NOT_QUEUED;
	cs_copy(row->team, sizeof(row->team), team);
	g_ptr_array_add(p->rows, row);
	return row;
}

double share_table_scale(const struct share_table *t, cs_time now)
{
	return exp2((double)(now - t->scale_start) / (double)HALF_LIFE);
}

/* The heap's key: slot time per share, including that of running tasks. */
static double heap_key(const struct share_row *row, double scale)
{
	double running_ms = row->running * row->task_ms * scale;

	return (row->usage + row->remote_usage + running_ms) / row->weight;
}

static void set_heap_row(struct share_pool *p, size_t pos,
			 struct share_row *row)
{
	p->heap[pos] = row;
	row->heap_pos = pos;
}

static void sift_up(struct share_pool *p, size_t pos, double scale)
{
	struct share_row *row = p->heap[pos];
	double key = heap_key(row, scale);

	while (pos && key < heap_key(p->heap[(pos - 1) / 2], scale)) {
		set_heap_row(p, pos, p->heap[(pos - 1) / 2]);
		pos = (pos - 1) / 2;
	}
	set_heap_row(p, pos, row);
}

/* Moves a row towards the leaves. The root has the lowest key. */
static void sift_down(struct share_pool *p, size_t pos, double scale)
{
	struct share_row *row = p->heap[pos];
	double key = heap_key(row, scale);
	size_t child;

	while ((child = 2 * pos + 1) < p->heap_nr) {
		if (child + 1 < p->heap_nr &&
		    heap_key(p->heap[child + 1], scale) <
			    heap_key(p->heap[child], scale))
			child++;
		if (heap_key(p->heap[child], scale) >= key)
			break;
		set_heap_row(p, pos, p->heap[child]);
		pos = child;
	}
	set_heap_row(p, pos, row);
}

static void heap_insert(struct share_pool *p, struct share_row *row,
			double scale)
{
	if (p->heap_nr == p->heap_alloc) {
		p->heap_alloc = p->heap_alloc ? 2 * p->heap_alloc : 16;
		p->heap = g_renew(struct share_row *, p->heap, p->heap_alloc);
	}
	set_heap_row(p, p->heap_nr, row);
	sift_up(p, p->heap_nr++, scale);
}

/*
 * The last row replaces the removed one and may have to move up or down from
 * there.
 */
static void heap_remove(struct share_pool *p, struct share_row *row,
			double scale)
{
	struct share_row *last = p->heap[--p->heap_nr];
	size_t pos = row->heap_pos;

	row->heap_pos = SHARE_NOT_QUEUED;
	if (last == row)
		return;
	set_heap_row(p, pos, last);
	sift_up(p, pos, scale);
	sift_down(p, last->heap_pos, scale);
}

void share_row_update(struct share_table *t, struct share_row *row, cs_time now)
{
	double scale = share_table_scale(t, now);
	bool is_waiting = row->queued > 0 && !row->is_blocked;

	if (now > row->updated) {
		row->usage += row->running * (double)(now - row->updated) /
			      (double)CS_MSEC * scale;
		row->updated = now;
	}
	if (row->heap_pos == SHARE_NOT_QUEUED) {
		if (is_waiting)
			heap_insert(row->pool, row, scale);
	} else if (!is_waiting) {
		heap_remove(row->pool, row, scale);
	} else {
		sift_up(row->pool, row->heap_pos, scale);
		sift_down(row->pool, row->heap_pos, scale);
	}
}

void share_table_remove_row(struct share_table *t, struct share_row *row)
{
	struct share_source *s;
	GHashTableIter it;
	gpointer value;

	if (row->heap_pos != SHARE_NOT_QUEUED)
		heap_remove(row->pool, row, 1);
	g_hash_table_iter_init(&it, t->sources);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		g_hash_table_remove(s->rows, &row->self);
	}
	g_ptr_array_remove_fast(row->pool->rows, row);
	slots_free(t->rows, row->self);
}

double share_row_average_slots(const struct share_table *t,
			       const struct share_row *row, cs_time now)
{
	double ms =
		(row->usage + row->remote_usage) / share_table_scale(t, now);

	/* One slot in constant use adds up to half-life / ln 2. */
	return ms * M_LN2 / ((double)HALF_LIFE / (double)CS_MSEC);
}

struct share_source *share_table_find_or_add_source(struct share_table *t,
						    const char *name,
						    bool is_data_centre)
{
	struct share_source *s = g_hash_table_lookup(t->sources, name);

	if (s)
		return s;
	s = g_new0(struct share_source, 1);
	cs_copy(s->name, sizeof(s->name), name);
	s->is_data_centre = is_data_centre;
	s->rows = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					g_free);
	g_hash_table_insert(t->sources, s->name, s);
	return s;
}

void share_table_clear_demand(struct share_table *t, const char *name)
{
	struct share_source *s = g_hash_table_lookup(t->sources, name);
	struct share_report *remote;
	gpointer key, value;
	GHashTableIter it;

	if (!s)
		return;
	g_hash_table_iter_init(&it, s->rows);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		remote = value;
		remote->queued = 0;
		remote->running = 0;
	}
}

void share_source_set_report(struct share_table *t, struct share_source *s,
			     struct share_row *row, int queued, int running,
			     int64_t usage_ms, cs_time now)
{
	struct share_report *remote = g_hash_table_lookup(s->rows, &row->self);
	double usage = (double)usage_ms * share_table_scale(t, now);

	if (!remote) {
		remote = g_new0(struct share_report, 1);
		g_hash_table_insert(s->rows, &row->self, remote);
	}
	row->remote_usage += usage - remote->usage;
	if (row->remote_usage < 0)
		row->remote_usage = 0;
	remote->usage = usage;
	remote->queued = queued;
	remote->running = running;
	remote->time = now;
	share_row_update(t, row, now);
}

struct share_report share_source_get_report(const struct share_source *s,
					    const struct share_row *row,
					    cs_time now)
{
	const struct share_report *found =
		g_hash_table_lookup(s->rows, &row->self);
	struct share_report out = { 0 };

	if (!found)
		return out;
	out = *found;
	if (now - out.time > SHARE_REPORT_EXPIRY)
		out.queued = out.running = 0;
	return out;
}

void share_table_rescale(struct share_table *t, cs_time now)
{
	double factor = 1 / share_table_scale(t, now);
	struct share_row *row;
	gpointer value, r;
	GHashTableIter it, rows;
	cs_handle h;

	if (now - t->scale_start < RESCALE_HALF_LIVES * HALF_LIFE)
		return;
	for (h = slots_next(t->rows, 0); h; h = slots_next(t->rows, h)) {
		row = slots_get(t->rows, h);
		row->usage *= factor;
		row->remote_usage *= factor;
		row->sent[SCOPE_ENTRY].usage *= factor;
		row->sent[SCOPE_DATA_CENTRE].usage *= factor;
	}
	g_hash_table_iter_init(&it, t->sources);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		g_hash_table_iter_init(&rows,
				       ((struct share_source *)value)->rows);
		while (g_hash_table_iter_next(&rows, NULL, &r))
			((struct share_report *)r)->usage *= factor;
	}
	t->scale_start = now;
}
