#ifndef BASE_HEAP_H
#define BASE_HEAP_H

#include <stdbool.h>
#include <stddef.h>

/*
 * An intrusive binary heap. It holds pointers to nodes, each the first member
 * of the row that it orders. A node stores its position, so that the row can be
 * removed or updated in O(log n).
 */
struct heap_node {
	size_t pos; /* HEAP_POS_NONE if not in the heap */
};

#define HEAP_POS_NONE ((size_t)-1)

typedef bool (*heap_before_fn)(const struct heap_node *a,
			       const struct heap_node *b);

struct heap {
	heap_before_fn is_before; /* set by the owner */
	struct heap_node **nodes; /* nodes[0] is the first in order */
	size_t nr, alloc;
};

/* Returns false if out of memory; the node is then not in the heap. */
bool heap_insert(struct heap *heap, struct heap_node *node);
/* Does nothing if the node is not in the heap. */
void heap_remove(struct heap *heap, struct heap_node *node);
/* Restores the order after a change of the node's row. */
void heap_update(struct heap *heap, struct heap_node *node);
/* Releases the heap's own memory, not the nodes. */
void heap_clear(struct heap *heap);

#endif
