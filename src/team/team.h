#ifndef TEAM_H
#define TEAM_H

#include "../config/document.h"

/*
 * Index of the teams of a fleet document by the digests of their keys. A new
 * index is made for each revision, so a withdrawn key is unknown from that
 * revision on.
 */
struct team_index;

struct team_index *team_index_create(const struct document *doc);
void team_index_destroy(struct team_index *index);

/*
 * Returns the name of the team with this key, or NULL. The digest is compared
 * in constant time with the one that the hash table finds.
 */
const char *team_index_by_key(const struct team_index *index,
			      const uint8_t digest[CS_DIGEST_LEN]);

/* Computes the digest of a key as a caller sends it. */
void team_key_digest(const char *key, size_t len,
		     uint8_t digest[CS_DIGEST_LEN]);

#endif
