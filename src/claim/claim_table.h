#ifndef CLAIM_TABLE_H
#define CLAIM_TABLE_H

#include "claim_map.h"

/*
 * The request identifiers that were seen in the last window, by partition,
 * each with the entry that holds the claim. A claim is forgotten only when
 * its window has ended; a full table refuses new ones instead.
 */
struct claim_table;

/* A repeated request can come until its window has ended: 10 min. */
#define CLAIM_WINDOW (600 * CS_SEC)

/* max is the largest number of claims. NULL if out of memory. */
struct claim_table *claim_table_create(uint32_t max);
void claim_table_destroy(struct claim_table *t);

/* Digest of a request identifier. */
void claim_digest(const char *request_id, uint8_t digest[16]);

/* The holder of a claim that is still in its window, or NULL. */
const char *claim_table_find(struct claim_table *t, const uint8_t digest[16],
			     cs_time now);

/*
 * Notes a claim. CS_ERR_CONFLICT if it is there already, CS_ERR_FULL if the
 * table has no room. Times must not fall.
 */
int claim_table_add(struct claim_table *t, const uint8_t digest[16],
		    const char *holder, cs_time now);

/*
 * Forgets a claim that its holder gives back. Returns false if there is none
 * or another entry holds it.
 */
bool claim_table_remove(struct claim_table *t, const uint8_t digest[16],
			const char *holder);

/*
 * Walks the claims of a partition in the order they came: pass 0 first, then
 * the last result; 0 means the end. The table must not change meanwhile.
 */
cs_handle claim_table_next(const struct claim_table *t, uint32_t partition,
			   cs_handle after, uint8_t digest[16],
			   const char **holder);

/* Forgets what is past its window. */
void claim_table_expire(struct claim_table *t, cs_time now);

uint32_t claim_table_count(const struct claim_table *t);

#endif
