#ifndef CONFIG_SCHEMA_H
#define CONFIG_SCHEMA_H

#include "document_rows.h"

/*
 * The fields of rows and changes, described once for the encodings, the
 * checks and the differences. A field's type is a row of functions.
 */

struct field;

/* How a value is written in JSON; in INI every value is text. */
enum field_kind { FIELD_TEXT, FIELD_INTEGER, FIELD_BOOLEAN };

struct field_type {
	enum field_kind kind;
	const char *expected; /* for faults: "a name of ..." */
	/* Reads text into row; false if the text breaks the rule. */
	bool (*parse)(const struct field *field, const char *text, void *row);
	/* Appends the value in the form that parse reads. */
	void (*format)(const struct field *field, const void *row,
		       GString *out);
};

struct field {
	const char *name;
	const struct field_type *type;
	size_t offset;
	int min, max; /* integers */
	bool is_optional; /* may be left out: zero, false or "" */
};

/* One table of the document. */
struct row_schema {
	const char *label; /* INI section, and in faults and differences */
	const char *json_name; /* of the array */
	const struct field *fields; /* all but the name */
	size_t fields_nr;
};

extern const struct row_schema row_schemas[DOC_TABLE_NR];

extern const struct field_type field_name;
extern const struct field_type field_optional_name;
extern const struct field_type field_address;
extern const struct field_type field_integer;
extern const struct field_type field_boolean;
extern const struct field_type field_host_state;
extern const struct field_type field_digest;

/* Bounds of integers; reasons are in schema.c. */
#define TEAM_SHARE_MIN 1
#define TEAM_SHARE_MAX 1000
#define TEAM_LIMIT_MAX 1000000
#define WORKER_SLOTS_MAX 10000

/* True for 1 to 63 characters of a-z, 0-9 and "-". */
bool schema_is_name(const char *name);

/* Appends what a value of that field must be: "an integer from 1 to 10". */
void schema_describe(const struct field *field, GString *out);

/* The field of that name and its position through i; NULL if none. */
const struct field *schema_field(const struct field *fields, size_t nr,
				 const char *name, size_t *i);

/* The first field of row that breaks its rule, or NULL. */
const struct field *schema_invalid_field(const struct field *fields, size_t nr,
					 const void *row);

/* Digests as 64 hexadecimal digits. */
void schema_digest_format(const uint8_t digest[CS_DIGEST_LEN], GString *out);
bool schema_digest_parse(const char *text, uint8_t digest[CS_DIGEST_LEN]);

#endif
