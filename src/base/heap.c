#include "heap.h"

#include <stdlib.h>

static void put(struct heap *h, size_t pos, struct heap_node *node)
{
	h->nodes[pos] = node;
	node->pos = pos;
}

static void sift_up(struct heap *h, size_t pos)
{
	struct heap_node *node = h->nodes[pos];

	while (pos && h->is_before(node, h->nodes[(pos - 1) / 2])) {
		put(h, pos, h->nodes[(pos - 1) / 2]);
		pos = (pos - 1) / 2;
	}
	put(h, pos, node);
}

/* Moves a node down until none of its children is before it. */
static void sift_down(struct heap *h, size_t pos)
{
	struct heap_node *node = h->nodes[pos];
	size_t child;

	while ((child = 2 * pos + 1) < h->nr) {
		if (child + 1 < h->nr &&
		    h->is_before(h->nodes[child + 1], h->nodes[child]))
			child++;
		if (!h->is_before(h->nodes[child], node))
			break;
		put(h, pos, h->nodes[child]);
		pos = child;
	}
	put(h, pos, node);
}

bool heap_insert(struct heap *h, struct heap_node *node)
{
	if (h->nr == h->alloc) {
		size_t alloc = h->alloc ? 2 * h->alloc : 16;
		struct heap_node **nodes =
			realloc(h->nodes, alloc * sizeof(*nodes));

		if (!nodes)
			return false;
		h->nodes = nodes;
		h->alloc = alloc;
	}
	put(h, h->nr, node);
	sift_up(h, h->nr++);
	return true;
}

void heap_remove(struct heap *h, struct heap_node *node)
{
	size_t pos = node->pos;
	struct heap_node *last;

	if (pos == HEAP_POS_NONE)
		return;
	last = h->nodes[--h->nr];
	node->pos = HEAP_POS_NONE;
	if (last == node)
		return;
	put(h, pos, last);
	heap_update(h, last);
}

void heap_update(struct heap *h, struct heap_node *node)
{
	if (node->pos == HEAP_POS_NONE)
		return;
	sift_up(h, node->pos);
	sift_down(h, node->pos);
}

void heap_clear(struct heap *h)
{
	free(h->nodes);
	h->nodes = NULL;
	h->nr = h->alloc = 0;
}
