#include "slots.h"

#include <stdlib.h>
#include <string.h>

/* Rows are allocated in chunks, so that rows in use never move. */
#define CHUNK_ROWS 256u

struct slots {
	size_t row_size;
	uint32_t max;
	uint32_t count; /* rows in use */
	uint32_t used_max; /* rows ever used; indexes below this are valid */
	uint32_t free_head; /* index + 1 of the first free row, 0 if none */
	uint32_t *generation; /* per row; odd while it is in use */
	uint32_t *free_next;
	unsigned char **chunks;
	uint32_t cap; /* rows allocated: length of generation and free_next */
};

static uint32_t handle_index(cs_handle h)
{
	return (uint32_t)h;
}

static uint32_t handle_generation(cs_handle h)
{
	return (uint32_t)(h >> 32);
}

static void *row_at(const struct slots *s, uint32_t i)
{
	return s->chunks[i / CHUNK_ROWS] + (i % CHUNK_ROWS) * s->row_size;
}

struct slots *slots_create(size_t row_size, uint32_t max)
{
	struct slots *s = calloc(1, sizeof(*s));

	if (!s)
		return NULL;
	s->row_size = (row_size + 15) & ~(size_t)15;
	s->max = max;
	return s;
}

void slots_destroy(struct slots *s)
{
	uint32_t i;

	if (!s)
		return;
	for (i = 0; i < s->cap / CHUNK_ROWS; i++)
		free(s->chunks[i]);
	free(s->chunks);
	free(s->generation);
	free(s->free_next);
	free(s);
}

/* Adds one chunk of rows. Returns false if out of memory. */
static bool slots_grow(struct slots *s)
{
	uint32_t cap = s->cap + CHUNK_ROWS;
	uint32_t n = s->cap / CHUNK_ROWS;
	unsigned char **chunks;
	uint32_t *p;

	p = realloc(s->generation, cap * sizeof(*p));
	if (!p)
		return false;
	s->generation = p;
	p = realloc(s->free_next, cap * sizeof(*p));
	if (!p)
		return false;
	s->free_next = p;
	chunks = realloc(s->chunks, (n + 1) * sizeof(*chunks));
	if (!chunks)
		return false;
	s->chunks = chunks;
	chunks[n] = malloc(CHUNK_ROWS * s->row_size);
	if (!chunks[n])
		return false;
	memset(s->generation + s->cap, 0, CHUNK_ROWS * sizeof(*p));
	s->cap = cap;
	return true;
}

cs_handle slots_alloc(struct slots *s, void **row)
{
	uint32_t i;

	if (s->free_head) {
		i = s->free_head - 1;
		s->free_head = s->free_next[i];
	} else {
		if (s->used_max >= s->max)
			return 0;
		if (s->used_max == s->cap && !slots_grow(s))
			return 0;
		i = s->used_max++;
	}
	s->generation[i]++;
	s->count++;
	memset(row_at(s, i), 0, s->row_size);
	if (row)
		*row = row_at(s, i);
	return ((cs_handle)s->generation[i] << 32) | i;
}

void *slots_get(const struct slots *s, cs_handle h)
{
	uint32_t i = handle_index(h);

	if (i >= s->used_max || !(handle_generation(h) & 1) ||
	    s->generation[i] != handle_generation(h))
		return NULL;
	return row_at(s, i);
}

bool slots_free(struct slots *s, cs_handle h)
{
	uint32_t i = handle_index(h);

	if (!slots_get(s, h))
		return false;
	s->generation[i]++;
	s->free_next[i] = s->free_head;
	s->free_head = i + 1;
	s->count--;
	return true;
}

uint32_t slots_count(const struct slots *s)
{
	return s->count;
}

cs_handle slots_next(const struct slots *s, cs_handle after)
{
	uint32_t i = after ? handle_index(after) + 1 : 0;

	for (; i < s->used_max; i++)
		if (s->generation[i] & 1)
			return ((cs_handle)s->generation[i] << 32) | i;
	return 0;
}
