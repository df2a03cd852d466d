#include "team.h"

#include <sodium.h>
#include <string.h>

/* One key and the team that holds it. */
struct index_row {
	uint8_t digest[CS_DIGEST_LEN];
	char team[CS_NAME_MAX];
};

struct team_index {
	GHashTable *rows; /* digest -> struct index_row, the same memory */
};

/* A digest is uniformly distributed, so its first bytes serve as the hash. */
static guint hash_digest(gconstpointer key)
{
	guint hash;

	memcpy(&hash, key, sizeof(hash));
	return hash;
}

/* In constant time, so that timing does not reveal a matching prefix. */
static gboolean equal_digests(gconstpointer a, gconstpointer b)
{
	return sodium_memcmp(a, b, CS_DIGEST_LEN) == 0;
}

struct team_index *team_index_create(const struct document *doc)
{
	struct team_index *index = g_new0(struct team_index, 1);
	const struct doc_team *teams;
	size_t i, k, nr;

	index->rows =
		g_hash_table_new_full(hash_digest, equal_digests, NULL, g_free);
	teams = document_teams(doc, &nr);
	for (i = 0; i < nr; i++) {
		for (k = 0; k < teams[i].keys_nr; k++) {
			struct index_row *row = g_new0(struct index_row, 1);

			memcpy(row->digest, teams[i].keys[k].digest,
			       CS_DIGEST_LEN);
			memcpy(row->team, teams[i].name, CS_NAME_MAX);
			g_hash_table_replace(index->rows, row->digest, row);
		}
	}
	return index;
}

void team_index_destroy(struct team_index *index)
{
	if (!index)
		return;
	g_hash_table_destroy(index->rows);
	g_free(index);
}

const char *team_index_by_key(const struct team_index *index,
			      const uint8_t digest[CS_DIGEST_LEN])
{
	const struct index_row *row = g_hash_table_lookup(index->rows, digest);

	return row ? row->team : NULL;
}
