#ifndef CONFIG_SCHEMA_H
#define CONFIG_SCHEMA_H

#include "document_rows.h"

/*
 * Descriptions of the fields of rows and changes, shared by the encodings, the
 * checks and the differences. A field type is a table of functions.
 */

struct field;

/* The JSON type of a value; in INI every value is text. */
enum field_kind { FIELD_TEXT, FIELD_INTEGER, FIELD_BOOLEAN };

struct field_type {
	enum field_kind kind;
	const char *expected; /* what a valid value is, for faults */
	/* Stores the value in row; false if text is not valid. */
	bool (*parse)(const struct field *field, const char *text, void *row);
	/* Appends the value in the form that parse() reads. */
	void (*format)(const struct field *field, const void *row,
		       GString *out);
};

struct field {
	const char *name;
	const struct field_type *type;
	size_t offset;
	int min, max; /* of an integer */
	bool is_optional; /* if missing: zero, false or "" */
};

/* One table of the document. */
struct row_schema {
	const char *label; /* in INI sections, faults and differences */
	const char *json_name; /* of the array in JSON */
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

/* Bounds of integers. A worker's slots are explained in schema.c. */
#define TEAM_SHARE_MIN 1
#define TEAM_SHARE_MAX 1000
#define TEAM_LIMIT_MAX 1000000
#define WORKER_SLOTS_MAX 10000

/* True for 1 to 63 characters of a-z, 0-9 and "-". */
bool schema_is_name(const char *name);

/* Appends what a value must be, such as "an integer from 1 to 10". */
void schema_describe(const struct field *field, GString *out);

/* Finds a field by name and sets i to its index; NULL if there is none. */
const struct field *schema_field(const struct field *fields, size_t nr,
				 const char *name, size_t *i);

/* The first field of row with an invalid value, or NULL. */
const struct field *schema_invalid_field(const struct field *fields, size_t nr,
					 const void *row);

/* Digests as 64 hexadecimal digits. */
void schema_digest_format(const uint8_t digest[CS_DIGEST_LEN], GString *out);
bool schema_digest_parse(const char *text, uint8_t digest[CS_DIGEST_LEN]);

#endif
