#ifndef CONFIG_DOCUMENT_ROWS_H
#define CONFIG_DOCUMENT_ROWS_H

#include "document.h"

/*
 * The tables of struct document, for the files that implement its rules and
 * encodings. Not included outside config/.
 */

enum doc_table {
	DOC_DATA_CENTRES,
	DOC_POOLS,
	DOC_HOSTS,
	DOC_WORKERS,
	DOC_TEAMS,
	DOC_QUEUES,
	DOC_TABLE_NR
};

/* An array of rows of the same size; each row begins with its name. */
struct doc_rows {
	void *rows;
	size_t nr, alloc;
};

struct document {
	uint64_t revision;
	enum preset preset;
	char change_id[DOCUMENT_CHANGE_ID_MAX];
	struct doc_rows tables[DOC_TABLE_NR];
};

/* Size in bytes of a row of that table. */
size_t doc_row_size(enum doc_table table);

/* Finds a row by name in a sorted table; NULL if there is none. */
void *doc_find(const struct document *doc, enum doc_table table,
	       const char *name);

/* The row at that position. */
void *doc_row(const struct document *doc, enum doc_table table, size_t i);

/*
 * Inserts a copy of row at its sorted position, or overwrites the row of the
 * same name. The document takes ownership of the keys of a team.
 */
void doc_put(struct document *doc, enum doc_table table, const void *row);

/* Removes the row of that name, if there is one. */
void doc_remove(struct document *doc, enum doc_table table, const char *name);

/*
 * Appends a zeroed row of that name and returns it; the pointer is valid until
 * the next row is added. For decoders, which call doc_sort() after the last
 * row: sorted insertion would take quadratic time for unsorted input.
 */
void *doc_append(struct document *doc, enum doc_table table, const char *name);
void doc_sort(struct document *doc);

/* Adds a key, or replaces the digest of the one with the same label. */
void doc_team_put_key(struct doc_team *team, const char *label,
		      const uint8_t digest[CS_DIGEST_LEN]);

/* Find a key of a team by label or digest; NULL if there is none. */
struct doc_key *doc_team_key(const struct doc_team *team, const char *label);
struct doc_key *doc_team_key_by_digest(const struct doc_team *team,
				       const uint8_t digest[CS_DIGEST_LEN]);
void doc_team_remove_key(struct doc_team *team, const struct doc_key *key);

#endif
