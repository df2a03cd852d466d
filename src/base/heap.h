#ifndef BASE_HEAP_H
#define BASE_HEAP_H

#include <stdbool.h>
#include <stddef.h>

/*
 * An indexed binary heap. It holds pointers to nodes that are the first
 * member of the rows it orders; a node knows its place, so that its row can
 * be removed or moved in O(log n).
 */
struct heap_node {
	size_t pos; /* HEAP_OUT if not in the heap */
};

#define HEAP_OUT ((size_t)-1)

typedef bool (*heap_before_fn)(const struct heap_node *a,
			       const struct heap_node *b);

struct heap {
	heap_before_fn is_before; /* set by the owner */
	struct heap_node **nodes; /* the first one is at 0 */
	size_t nr, alloc;
};

/* Returns false without memory; the node is then not in the heap. */
bool heap_insert(struct heap *heap, struct heap_node *node);
/* A node that is not in the heap is left as it is. */
void heap_remove(struct heap *heap, struct heap_node *node);
/* The order of the node changed. */
void heap_update(struct heap *heap, struct heap_node *node);
/* Releases the heap's own memory. */
void heap_clear(struct heap *heap);

#endif
