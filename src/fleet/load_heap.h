#ifndef FLEET_LOAD_HEAP_H
#define FLEET_LOAD_HEAP_H

#include "../camphorshed.h"

/*
 * An indexed binary heap of workers, the least loaded first. It holds
 * pointers to keys that live in the workers' rows.
 */
struct load_key {
	double load; /* tasks per slot, known and estimated */
	uint32_t tie; /* differs between entries, so that they spread out */
	cs_handle worker;
	size_t pos; /* place in the heap, LOAD_HEAP_OUT if not in it */
};

#define LOAD_HEAP_OUT ((size_t)-1)

struct load_heap {
	struct load_key **keys;
	size_t nr, alloc;
};

void load_heap_insert(struct load_heap *heap, struct load_key *key);
void load_heap_remove(struct load_heap *heap, struct load_key *key);
/* The key's load changed. */
void load_heap_update(struct load_heap *heap, struct load_key *key);
void load_heap_clear(struct load_heap *heap);

/*
 * The least loaded worker that is not excluded, or NULL. Looks at no more
 * than a few nodes for each excluded worker.
 */
struct load_key *load_heap_best(const struct load_heap *heap,
				const cs_handle *exclude, size_t exclude_nr);

#endif
