#include "claim_table.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

#include "../base/slots.h"

struct claim_row {
	uint8_t digest[16];
	const char *holder; /* in names, shared: there are few entries */
	cs_time added_at;
	bool is_released; /* no longer in by_digest */
	cs_handle next; /* of the partition, in the order they were added */
};

struct claim_queue {
	cs_handle first, last;
};

struct claim_table {
	struct slots *rows;
	GHashTable *by_digest; /* digest in the row -> row */
	GStringChunk *names;
	struct claim_queue queues[CLAIM_PARTITIONS];
};

static guint hash_digest(gconstpointer digest)
{
	guint hash;

	/* The first byte is the same for many rows: it gives the partition. */
	memcpy(&hash, (const uint8_t *)digest + 8, sizeof(hash));
	return hash;
}

static gboolean digests_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, 16);
}

struct claim_table *claim_table_create(uint32_t max)
{
	struct claim_table *t = g_new0(struct claim_table, 1);

	t->rows = slots_create(sizeof(struct claim_row), max);
	if (!t->rows) {
		g_free(t);
		return NULL;
	}
	t->names = g_string_chunk_new(1024);
	t->by_digest = g_hash_table_new(hash_digest, digests_equal);
	return t;
}

void claim_table_destroy(struct claim_table *t)
{
	if (!t)
		return;
	g_hash_table_unref(t->by_digest);
	g_string_chunk_free(t->names);
	slots_destroy(t->rows);
	g_free(t);
}

void claim_digest(const char *request_id, uint8_t digest[16])
{
	XXH128_canonical_t canonical;

	XXH128_canonicalFromHash(&canonical,
				 XXH3_128bits(request_id, strlen(request_id)));
	memcpy(digest, canonical.digest, 16);
}

/* Removes the oldest claim of a partition. */
static void remove_oldest(struct claim_table *t, struct claim_queue *q)
{
	struct claim_row *row = slots_get(t->rows, q->first);
	cs_handle first = q->first;

	q->first = row->next;
	if (!q->first)
		q->last = 0;
	if (!row->is_released)
		g_hash_table_remove(t->by_digest, row->digest);
	slots_free(t->rows, first);
}

/*
 * Claims are in the order in which they were added, so the first one that is
 * still in its window ends the loop.
 */
static void expire_queue(struct claim_table *t, struct claim_queue *q,
			 cs_time now)
{
	while (q->first) {
		struct claim_row *row = slots_get(t->rows, q->first);

		if (now - row->added_at < CLAIM_WINDOW)
			return;
		remove_oldest(t, q);
	}
}

void claim_table_expire(struct claim_table *t, cs_time now)
{
	size_t i;

	for (i = 0; i < CLAIM_PARTITIONS; i++)
		expire_queue(t, &t->queues[i], now);
}

const char *claim_table_find(struct claim_table *t, const uint8_t digest[16],
			     cs_time now)
{
	const struct claim_row *row;

	expire_queue(t, &t->queues[claim_partition_of(digest)], now);
	row = g_hash_table_lookup(t->by_digest, digest);
	return row ? row->holder : NULL;
}

int claim_table_add(struct claim_table *t, const uint8_t digest[16],
		    const char *holder, cs_time now)
{
	struct claim_queue *q = &t->queues[claim_partition_of(digest)];
	struct claim_row *row, *last;
	cs_handle h;

	if (claim_table_find(t, digest, now))
		return CS_ERR_CONFLICT;
	h = slots_alloc(t->rows, (void **)&row);
	if (!h)
		return CS_ERR_FULL;
	memcpy(row->digest, digest, 16);
	row->holder = g_string_chunk_insert_const(t->names, holder);
	row->added_at = now;
	last = slots_get(t->rows, q->last);
	if (last)
		last->next = h;
	else
		q->first = h;
	q->last = h;
	g_hash_table_insert(t->by_digest, row->digest, row);
	return CS_OK;
}

bool claim_table_remove(struct claim_table *t, const uint8_t digest[16],
			const char *holder)
{
	struct claim_row *row = g_hash_table_lookup(t->by_digest, digest);

	if (!row || strcmp(row->holder, holder))
		return false;
	/* The row stays in the queue, which is in order of time. */
	g_hash_table_remove(t->by_digest, row->digest);
	row->is_released = true;
	return true;
}

cs_handle claim_table_next(const struct claim_table *t, uint32_t partition,
			   cs_handle after, uint8_t digest[16],
			   const char **holder)
{
	const struct claim_row *row = slots_get(t->rows, after);
	cs_handle h = after ? (row ? row->next : 0) :
			      t->queues[partition].first;

	row = slots_get(t->rows, h);
	while (row && row->is_released) {
		h = row->next;
		row = slots_get(t->rows, h);
	}
	if (!row)
		return 0;
	memcpy(digest, row->digest, 16);
	*holder = row->holder;
	return h;
}

uint32_t claim_table_count(const struct claim_table *t)
{
	return slots_count(t->rows);
}
