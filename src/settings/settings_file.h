#ifndef SETTINGS_FILE_H
#define SETTINGS_FILE_H

#include "settings_value.h"

/*
 * Reads an INI file by a schema: sections and keys as tables. Every fault of
 * the file is reported, not only the first.
 */

/* Keys of one section. */
#define SETTINGS_KEYS_MAX 12

/* A section: its keys are fields of the schema's struct, or of an entry_peer.
 */
struct settings_section {
	const char *name;
	const struct settings_key *keys;
	size_t keys_nr;
	bool is_named_peer; /* [peer NAME], one for each other entry */
};

struct settings_reader;

struct settings_schema {
	const struct settings_section *sections;
	size_t sections_nr;
	const char *expected; /* the sections' names, for a fault */
	bool holds_secrets; /* nobody but the owner may read the file */
	/* Checks what no single key can show; may be NULL. */
	void (*check)(struct settings_reader *reading, void *fields);
};

/*
 * Fills fields, and others (struct entry_peer) for sections [peer NAME].
 * Returns false after appending one line "FILE:LINE: key: what was expected"
 * for every fault.
 */
bool settings_file_read(const char *path, const struct settings_schema *schema,
			void *fields, GArray *peers, GString *faults);

/* For check(): calls fn for every section; line 0: the file lacks it. */
typedef void (*settings_section_fn)(void *ctx,
				    const struct settings_section *def,
				    const char *name, int line,
				    const void *fields);
void settings_for_each_section(struct settings_reader *reading,
			       settings_section_fn fn, void *ctx);
/* For check(): reports a fault, "got MESSAGE". */
void settings_add_fault(struct settings_reader *reading, int line,
			const char *what, const char *message);

#endif
