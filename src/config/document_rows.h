#ifndef CONFIG_DOCUMENT_ROWS_H
#define CONFIG_DOCUMENT_ROWS_H

#include "document.h"

/*
 * The tables behind struct document, for the files that hold its rules and
 * its encodings. Nothing outside config/ includes this.
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

/* Rows of one size; each begins with its name. */
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

/* Bytes of one row of that table. */
size_t doc_row_size(enum doc_table table);

/* The row of that name, or NULL; the table must be sorted. */
void *doc_find(const struct document *doc, enum doc_table table,
	       const char *name);

/* The row at that position. */
void *doc_row(const struct document *doc, enum doc_table table, size_t i);

/*
 * Adds a copy of row in its sorted place, or overwrites the row of the same
 * name. Keys of a team row pass to the document.
 */
void doc_put(struct document *doc, enum doc_table table, const void *row);

/* Removes the row of that name, if there is one. */
void doc_remove(struct document *doc, enum doc_table table, const char *name);

/*
 * Adds a zeroed row of that name at the end and returns it; the pointer holds
 * until the next row is added. For decoders, which call doc_sort() when they
 * have all rows: keeping the order with each row would take quadratic time
 * for an unsorted input.
 */
void *doc_append(struct document *doc, enum doc_table table, const char *name);
void doc_sort(struct document *doc);

/* Adds a key at the end, or overwrites the one with the same label. */
void doc_team_put_key(struct doc_team *team, const char *label,
		      const uint8_t digest[CS_DIGEST_LEN]);

/* The key of that label, or of that digest; NULL if there is none. */
struct doc_key *doc_team_key(const struct doc_team *team, const char *label);
struct doc_key *doc_team_key_by_digest(const struct doc_team *team,
				       const uint8_t digest[CS_DIGEST_LEN]);
void doc_team_remove_key(struct doc_team *team, const struct doc_key *key);

#endif
