#ifndef FLEET_LOAD_HEAP_H
#define FLEET_LOAD_HEAP_H

#include "../base/heap.h"
#include "../camphorshed.h"

/* A worker's place in the order of load; it lives in the worker's row. */
struct load_key {
	struct heap_node node;
	double load; /* tasks per slot, known and estimated */
	uint32_t tie_breaker; /* differs between entries, so that they spread
				 out */
	cs_handle worker;
};

/* The order of a heap of struct load_key: the least loaded first. */
bool load_key_is_before(const struct heap_node *a, const struct heap_node *b);

/*
 * The least loaded worker that is not excluded, or NULL. Looks at no more
 * than a few nodes for each excluded worker.
 */
struct load_key *load_heap_best(const struct heap *heap,
				const cs_handle *exclude, size_t exclude_nr);

#endif
