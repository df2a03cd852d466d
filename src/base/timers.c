#include "timers.h"

#include <stdlib.h>

#include "slots.h"

/* Far above what one entry subscribes: a few per request in flight. */
#define TIMERS_MAX (1u << 22)

struct timer_row {
	cs_time due;
	uint64_t sequence; /* order of subscription */
	timer_fn fn;
	void *ctx;
	uint64_t arg;
	size_t pos; /* place in the heap */
	cs_handle self;
};

struct timers {
	struct slots *rows;
	struct timer_row **heap;
	size_t nr, alloc;
	uint64_t sequence;
};

struct timers *timers_create(void)
{
	struct timers *t = calloc(1, sizeof(*t));

	if (!t)
		return NULL;
	t->rows = slots_create(sizeof(struct timer_row), TIMERS_MAX);
	if (!t->rows) {
		free(t);
		return NULL;
	}
	return t;
}

void timers_destroy(struct timers *t)
{
	if (!t)
		return;
	slots_destroy(t->rows);
	free(t->heap);
	free(t);
}

static bool is_before(const struct timer_row *a, const struct timer_row *b)
{
	if (a->due != b->due)
		return a->due < b->due;
	return a->sequence < b->sequence;
}

static void put(struct timers *t, size_t pos, struct timer_row *row)
{
	t->heap[pos] = row;
	row->pos = pos;
}

static void sift_up(struct timers *t, size_t pos)
{
	struct timer_row *row = t->heap[pos];

	while (pos && is_before(row, t->heap[(pos - 1) / 2])) {
		put(t, pos, t->heap[(pos - 1) / 2]);
		pos = (pos - 1) / 2;
	}
	put(t, pos, row);
}

static void sift_down(struct timers *t, size_t pos)
{
	struct timer_row *row = t->heap[pos];
	size_t child;

	while ((child = 2 * pos + 1) < t->nr) {
		if (child + 1 < t->nr &&
		    is_before(t->heap[child + 1], t->heap[child]))
			child++;
		if (!is_before(t->heap[child], row))
			break;
		put(t, pos, t->heap[child]);
		pos = child;
	}
	put(t, pos, row);
}

static void heap_remove(struct timers *t, size_t pos)
{
	struct timer_row *last = t->heap[--t->nr];

	if (pos == t->nr)
		return;
	put(t, pos, last);
	sift_down(t, pos);
	sift_up(t, last->pos);
}

cs_handle timers_subscribe(struct timers *t, cs_time due, timer_fn fn,
			   void *ctx, uint64_t arg)
{
	struct timer_row *row, **heap;
	cs_handle h;

	if (t->nr == t->alloc) {
		size_t alloc = t->alloc ? 2 * t->alloc : 64;

		heap = realloc(t->heap, alloc * sizeof(*heap));
		if (!heap)
			return 0;
		t->heap = heap;
		t->alloc = alloc;
	}
	h = slots_take(t->rows, (void **)&row);
	if (!h)
		return 0;
	row->due = due;
	row->sequence = t->sequence++;
	row->fn = fn;
	row->ctx = ctx;
	row->arg = arg;
	row->self = h;
	put(t, t->nr, row);
	sift_up(t, t->nr++);
	return h;
}

bool timers_cancel(struct timers *t, cs_handle h)
{
	struct timer_row *row = slots_get(t->rows, h);

	if (!row)
		return false;
	heap_remove(t, row->pos);
	return slots_free(t->rows, h);
}

bool timers_run_one(struct timers *t, cs_time now)
{
	struct timer_row row;

	if (!t->nr || t->heap[0]->due > now)
		return false;
	row = *t->heap[0];
	heap_remove(t, 0);
	slots_free(t->rows, row.self);
	row.fn(row.ctx, row.arg, now);
	return true;
}

void timers_advance(struct timers *t, cs_time now)
{
	uint64_t end = t->sequence;

	while (t->nr && t->heap[0]->sequence < end)
		if (!timers_run_one(t, now))
			break;
}

cs_time timers_next_due(const struct timers *t)
{
	return t->nr ? t->heap[0]->due : CS_TIME_NEVER;
}
