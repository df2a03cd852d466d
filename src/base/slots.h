#ifndef BASE_SLOTS_H
#define BASE_SLOTS_H

#include "../camphorshed.h"

/*
 * A table of rows of one size, named by generational handles. Rows do not
 * move while they are in use, so a pointer from slots_get() stays good until
 * the row is freed.
 */
struct slots;

/* max is the largest number of rows in use at once. NULL if out of memory. */
struct slots *slots_create(size_t row_size, uint32_t max);
void slots_destroy(struct slots *slots);

/*
 * Takes a zeroed row. Returns its handle, and its address through row if that
 * is not NULL; returns 0 when the table is full.
 */
cs_handle slots_take(struct slots *slots, void **row);

/* The row, or NULL for a handle that is zero, malformed or of a freed row. */
void *slots_get(const struct slots *slots, cs_handle handle);

/* Frees the row. Returns false if the handle names no row in use. */
bool slots_free(struct slots *slots, cs_handle handle);

/* Rows in use. */
uint32_t slots_count(const struct slots *slots);

/*
 * Walks the rows in use in index order: pass 0 first and the last result
 * after that; 0 means the end. The row passed in may have been freed.
 */
cs_handle slots_next(const struct slots *slots, cs_handle after);

#endif
