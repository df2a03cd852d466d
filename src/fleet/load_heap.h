#ifndef FLEET_LOAD_HEAP_H
#define FLEET_LOAD_HEAP_H

#include "../base/heap.h"
#include "../camphorshed.h"

/* A worker's key in the heap of a pool; part of the worker's row. */
struct load_key {
	struct heap_node node;
	double load; /* tasks per slot, counted and estimated */
	uint64_t last_used; /* number of the last task that ended; 0: none */
	uint32_t tie_breaker; /* differs between entries */
	cs_handle worker;
};

/*
 * Orders a heap of struct load_key: the least loaded worker first, and of those
 * the one whose last task ended first.
 */
bool load_key_is_before(const struct heap_node *a, const struct heap_node *b);

/*
 * Returns the least loaded worker that is not excluded, or NULL. Examines only
 * a few nodes for each excluded worker.
 */
struct load_key *load_heap_best(const struct heap *heap,
				const cs_handle *exclude, size_t exclude_nr);

#endif
