#include "load_heap.h"

/*
 * Most nodes in the frontier of load_heap_best(). It begins with one and grows
 * by at most one for each excluded worker, of which there are at most
 * FLEET_EXCLUDE_MAX, 8.
 */
#define FRONTIER_MAX 32

bool load_key_is_before(const struct heap_node *a, const struct heap_node *b)
{
	const struct load_key *x = (const struct load_key *)a;
	const struct load_key *y = (const struct load_key *)b;

	if (x->load != y->load)
		return x->load < y->load;
	if (x->last_used != y->last_used)
		return x->last_used < y->last_used;
	return x->tie_breaker < y->tie_breaker;
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
 * Best-first search from the root. The frontier holds nodes all of whose
 * ancestors are excluded, so its first node in heap order is the first of all
 * nodes not yet examined.
 */
struct load_key *load_heap_best(const struct heap *h, const cs_handle *exclude,
				size_t exclude_nr)
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
			if (load_key_is_before(h->nodes[frontier[i]],
					       h->nodes[frontier[best]]))
				best = i;
		key = (struct load_key *)h->nodes[frontier[best]];
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
