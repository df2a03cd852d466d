#include "timers.h"

#include <stdlib.h>

#include "heap.h"
#include "slots.h"

/* Far more than one entry needs, which is a few per open request. */
#define TIMERS_MAX (1u << 22)

struct timer_row {
	struct heap_node node;
	cs_time due;
	uint64_t sequence; /* order of subscription */
	timer_fn fn;
	void *ctx;
	uint64_t arg;
	cs_handle self;
};

struct timers {
	struct slots *rows;
	struct heap heap; /* struct timer_row */
	uint64_t sequence;
};

/*
 * Timers due at the same time run in the order of subscription, which keeps
 * seeded runs repeatable.
 */
static bool is_before(const struct heap_node *a, const struct heap_node *b)
{
	const struct timer_row *x = (const struct timer_row *)a;
	const struct timer_row *y = (const struct timer_row *)b;

	if (x->due != y->due)
		return x->due < y->due;
	return x->sequence < y->sequence;
}

/* The row with the earliest due time, or NULL. */
static struct timer_row *first_row(const struct timers *t)
{
	return t->heap.nr ? (struct timer_row *)t->heap.nodes[0] : NULL;
}

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
	t->heap.is_before = is_before;
	return t;
}

void timers_destroy(struct timers *t)
{
	if (!t)
		return;
	slots_destroy(t->rows);
	heap_clear(&t->heap);
	free(t);
}

cs_handle timers_subscribe(struct timers *t, cs_time due, timer_fn fn,
			   void *ctx, uint64_t arg)
{
	struct timer_row *row;
	cs_handle h = slots_alloc(t->rows, (void **)&row);

	if (!h)
		return 0;
	row->due = due;
	row->sequence = t->sequence++;
	row->fn = fn;
	row->ctx = ctx;
	row->arg = arg;
	row->self = h;
	if (!heap_insert(&t->heap, &row->node)) {
		slots_free(t->rows, h);
		return 0;
	}
	return h;
}

bool timers_cancel(struct timers *t, cs_handle h)
{
	struct timer_row *row = slots_get(t->rows, h);

	if (!row)
		return false;
	heap_remove(&t->heap, &row->node);
	return slots_free(t->rows, h);
}

bool timers_run_one(struct timers *t, cs_time now)
{
	struct timer_row *first = first_row(t), row;

	if (!first || first->due > now)
		return false;
	row = *first;
	heap_remove(&t->heap, &first->node);
	slots_free(t->rows, row.self);
	row.fn(row.ctx, row.arg, now);
	return true;
}

void timers_advance(struct timers *t, cs_time now)
{
	uint64_t end = t->sequence;
	const struct timer_row *first;

	while ((first = first_row(t)) && first->sequence < end)
		if (!timers_run_one(t, now))
			break;
}

cs_time timers_next_due(const struct timers *t)
{
	const struct timer_row *first = first_row(t);

	return first ? first->due : CS_TIME_NEVER;
}
