#ifndef CLAIM_TABLE_H
#define CLAIM_TABLE_H

#include "claim_map.h"

/*
 * The request identifiers claimed in the last window, by partition, each with
 * the entry that holds the claim. Unless it is removed, a claim is kept until
 * its window has ended; a full table refuses new claims.
 */
struct claim_table;

/* Repeated requests are recognized for this long: 10 min. */
#define CLAIM_WINDOW (600 * CS_SEC)

/* A table for at most max claims. NULL if out of memory. */
struct claim_table *claim_table_create(uint32_t max);
void claim_table_destroy(struct claim_table *t);

/* Computes the digest of a request identifier. */
void claim_digest(const char *request_id, uint8_t digest[16]);

/* The holder of a claim that is still in its window, or NULL. */
const char *claim_table_find(struct claim_table *t, const uint8_t digest[16],
			     cs_time now);

/*
 * Adds a claim. CS_ERR_CONFLICT if it exists already, CS_ERR_FULL if the table
 * is full. now must not decrease from call to call.
 */
int claim_table_add(struct claim_table *t, const uint8_t digest[16],
		    const char *holder, cs_time now);

/*
 * Removes a claim that its holder releases. Returns false if there is none or
 * another entry holds it.
 */
bool claim_table_remove(struct claim_table *t, const uint8_t digest[16],
			const char *holder);

/*
 * Iterates over the claims of a partition in the order they were added: pass 0
 * first, then the last result; 0 means the end. The table must not change
 * during the iteration.
 */
cs_handle claim_table_next(const struct claim_table *t, uint32_t partition,
			   cs_handle after, uint8_t digest[16],
			   const char **holder);

/* Removes the claims whose window has ended. */
void claim_table_expire(struct claim_table *t, cs_time now);

uint32_t claim_table_count(const struct claim_table *t);

#endif
