#include "load_heap.h"

#include <glib.h>

/* Nodes that wait to be looked at in one search; see load_heap_best(). */
#define FRONTIER_MAX 32

static bool is_less(const struct load_key *a, const struct load_key *b)
{
	if (a->load != b->load)
		return a->load < b->load;
	return a->tie < b->tie;
}

static void put(struct load_heap *h, size_t pos, struct load_key *key)
{
	h->keys[pos] = key;
	key->pos = pos;
}

static void sift_up(struct load_heap *h, size_t pos)
{
	struct load_key *key = h->keys[pos];

	while (pos && is_less(key, h->keys[(pos - 1) / 2])) {
		put(h, pos, h->keys[(pos - 1) / 2]);
		pos = (pos - 1) / 2;
	}
	put(h, pos, key);
}

static void sift_down(struct load_heap *h, size_t pos)
{
	struct load_key *key = h->keys[pos];
	size_t child;

	while ((child = 2 * pos + 1) < h->nr) {
		if (child + 1 < h->nr &&
		    is_less(h->keys[child + 1], h->keys[child]))
			child++;
		if (!is_less(h->keys[child], key))
			break;
		put(h, pos, h->keys[child]);
		pos = child;
	}
	put(h, pos, key);
}

void load_heap_insert(struct load_heap *h, struct load_key *key)
{
	if (h->nr == h->alloc) {
		h->alloc = h->alloc ? 2 * h->alloc : 16;
		h->keys = g_renew(struct load_key *, h->keys, h->alloc);
	}
	put(h, h->nr, key);
	sift_up(h, h->nr++);
}

void load_heap_remove(struct load_heap *h, struct load_key *key)
{
	size_t pos = key->pos;
	struct load_key *last;

	if (pos == LOAD_HEAP_OUT)
		return;
	last = h->keys[--h->nr];
	key->pos = LOAD_HEAP_OUT;
	if (last == key)
		return;
	put(h, pos, last);
	load_heap_update(h, last);
}

void load_heap_update(struct load_heap *h, struct load_key *key)
{
	if (key->pos == LOAD_HEAP_OUT)
		return;
	sift_up(h, key->pos);
	sift_down(h, key->pos);
}

void load_heap_clear(struct load_heap *h)
{
	g_free(h->keys);
	h->keys = NULL;
	h->nr = h->alloc = 0;
}

static bool is_excluded(const struct load_key *key, const cs_handle *exclude,
			size_t nr)
{
	size_t i;

	for (i = 0; i < nr; i++)
		if (exclude[i] == key->worker)
			return true;
	return false;
}

/*
 * Best-first search from the root: the frontier holds nodes whose parents
 * are all excluded, so its least node is the least of all that remain.
 */
struct load_key *load_heap_best(const struct load_heap *h,
				const cs_handle *exclude, size_t exclude_nr)
{
	size_t frontier[FRONTIER_MAX];
	size_t n = 0, i, best, child;
	struct load_key *key;

	if (!h->nr)
		return NULL;
	frontier[n++] = 0;
	while (n) {
		best = 0;
		for (i = 1; i < n; i++)
			if (is_less(h->keys[frontier[i]],
				    h->keys[frontier[best]]))
				best = i;
		key = h->keys[frontier[best]];
		if (!is_excluded(key, exclude, exclude_nr))
			return key;
		child = 2 * frontier[best] + 1;
		frontier[best] = frontier[--n];
		for (i = child; i < child + 2 && i < h->nr; i++)
			if (n < FRONTIER_MAX)
				frontier[n++] = i;
	}
	return NULL;
}
