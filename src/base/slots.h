#ifndef BASE_SLOTS_H
#define BASE_SLOTS_H

#include "../camphorshed.h"

/*
 * A table of rows of one size, addressed by generational handles. Rows do not
 * move while they are in use, so a pointer from slots_get() stays valid until
 * the row is freed.
 */
struct slots;

/* max is the largest number of rows in use at once. NULL if out of memory. */
struct slots *slots_create(size_t row_size, uint32_t max);
void slots_destroy(struct slots *slots);

/*
 * Allocates a zeroed row. Returns its handle, and its address in *row if row is
 * not NULL. Returns 0 if the table is full or memory is exhausted.
 */
cs_handle slots_alloc(struct slots *slots, void **row);

/* Returns the row, or NULL if the handle is zero, invalid or stale. */
void *slots_get(const struct slots *slots, cs_handle handle);

/* Frees the row. Returns false if the handle refers to no row in use. */
bool slots_free(struct slots *slots, cs_handle handle);

/* Number of rows in use. */
uint32_t slots_count(const struct slots *slots);

/*
 * Iterates over the rows in use, in index order: pass 0 first, then the
 * previous result, until 0 is returned. The row of after may have been freed.
 */
cs_handle slots_next(const struct slots *slots, cs_handle after);

#endif
