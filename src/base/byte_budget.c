#include "byte_budget.h"

#include <glib.h>

/*
 * Reading stops at this share of the budget. The rest is for callers with small
 * requests, and for what has been read before a caller is told to wait.
 */
#define READ_NUM 3
#define READ_DEN 4

/* What a caller may always hold: the largest head, and a small body. */
#define SHARE_MIN ((size_t)32 * 1024)

/* Share of a machine's memory that callers may fill. */
#define MEMORY_SHARE 5

/* Largest requests that always fit. */
#define REQUESTS_MIN 4

struct byte_budget {
	size_t max;
	size_t used;
};

struct byte_account {
	struct byte_budget *budget;
	size_t bytes;
};

size_t byte_budget_size(size_t configured, size_t memory, size_t request_max)
{
	if (configured)
		return configured;
	return MAX(memory / MEMORY_SHARE, REQUESTS_MIN * request_max);
}

struct byte_budget *byte_budget_create(size_t max)
{
	struct byte_budget *b = g_new0(struct byte_budget, 1);

	b->max = max;
	return b;
}

void byte_budget_destroy(struct byte_budget *b)
{
	g_free(b);
}

size_t byte_budget_used(const struct byte_budget *b)
{
	return b->used;
}

bool byte_budget_has_room(const struct byte_budget *b, size_t n)
{
	return b->used <= b->max && n <= b->max - b->used;
}

size_t byte_budget_readable(const struct byte_budget *b)
{
	size_t limit = b->max / READ_DEN * READ_NUM;

	return b->used < limit ? limit - b->used : 0;
}

struct byte_account *byte_account_create(struct byte_budget *budget)
{
	struct byte_account *a = g_new0(struct byte_account, 1);

	a->budget = budget;
	return a;
}

void byte_account_destroy(struct byte_account *a)
{
	if (!a)
		return;
	a->budget->used -= a->bytes;
	g_free(a);
}

void byte_account_charge(struct byte_account *a, size_t n)
{
	a->bytes += n;
	a->budget->used += n;
}

void byte_account_release(struct byte_account *a, size_t n)
{
	n = MIN(n, a->bytes);
	a->bytes -= n;
	a->budget->used -= n;
}

size_t byte_account_bytes(const struct byte_account *a)
{
	return a->bytes;
}

bool byte_account_must_wait(const struct byte_account *a)
{
	return a->bytes > SHARE_MIN && !byte_budget_readable(a->budget);
}

bool byte_account_ends_first(const struct byte_account *a, cs_time since,
			     const struct byte_account *other,
			     cs_time other_since)
{
	if (a->bytes != other->bytes)
		return a->bytes > other->bytes;
	return since < other_since;
}
