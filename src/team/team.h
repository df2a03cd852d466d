#ifndef TEAM_H
#define TEAM_H

#include "../config/document.h"

/*
 * Teams as the fleet document names them, with an index from key digests.
 * Rebuilt for each revision; a key that the document no longer holds is
 * unknown from then on.
 */
struct team_index;

struct team_index *team_index_create(const struct document *doc);
void team_index_destroy(struct team_index *index);

/*
 * The name of the team that holds this key, or NULL. The digest is compared
 * in constant time with the one that the hash table finds.
 */
const char *team_index_by_key(const struct team_index *index,
			      const uint8_t digest[CS_DIGEST_LEN]);

/* Makes the digest of a key as a caller presents it. */
void team_key_digest(const char *key, size_t len,
		     uint8_t digest[CS_DIGEST_LEN]);

#endif
