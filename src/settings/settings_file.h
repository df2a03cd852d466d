#ifndef SETTINGS_FILE_H
#define SETTINGS_FILE_H

#include "settings_value.h"

/*
 * Reads an INI file according to a schema, which lists sections and keys in
 * tables. All faults of the file are reported, not only the first.
 */

/* Limit of keys per section. */
#define SETTINGS_KEYS_MAX 12

/*
 * Definition of a section. Its keys fill the struct that the schema describes;
 * those of a named peer fill a struct entry_peer.
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
	const char *expected; /* list of the section names, for faults */
	bool holds_secrets; /* only the owner may have access to the file */
	/* Checks that involve several keys; may be NULL. */
	void (*check)(struct settings_reader *reader, void *fields);
};

/*
 * Fills fields, and appends a struct entry_peer to peers for each section
 * [peer NAME]. Returns false if there are faults, after appending one line
 * "FILE:LINE: key: got ..., expected ..." for each.
 */
bool settings_file_read(const char *path, const struct settings_schema *schema,
			void *fields, GArray *peers, GString *faults);

/* For check(): calls fn for each section; line is 0 if the file lacks it. */
typedef void (*settings_section_fn)(void *ctx,
				    const struct settings_section *def,
				    const char *name, int line,
				    const void *fields);
void settings_for_each_section(struct settings_reader *reader,
			       settings_section_fn fn, void *ctx);

/* For check(): reports a fault as "FILE:LINE: what: got MESSAGE". */
void settings_add_fault(struct settings_reader *reader, int line,
			const char *what, const char *message);

#endif
