#ifndef SETTINGS_VALUE_H
#define SETTINGS_VALUE_H

#include <glib.h>

#include "../camphorshed.h"

/*
 * The kinds of values in a settings file: how each is read, and how an
 * operator is told what was expected.
 */
struct settings_key;

struct settings_kind {
	/* Reads value into field. False if it breaks a rule of the key. */
	bool (*parse)(const struct settings_key *key, const char *value,
		      void *field);
	/* Appends what is expected: "a number from 1 to 64". */
	void (*describe)(const struct settings_key *key, GString *out);
	bool is_secret; /* a secret: the value is never shown */
};

/* One key of a section. */
struct settings_key {
	const char *name;
	const struct settings_kind *type;
	size_t offset; /* of the field in the struct of its section */
	int64_t min, max; /* in the unit; characters for names and secrets */
	const char *unit; /* of min, max and the field */
	const char *default_value; /* when the key is missing; NULL: required */
};

/* Fields: char[CS_NAME_MAX], char[CS_ADDRESS_MAX], int64_t, int. */
extern const struct settings_kind settings_name;
extern const struct settings_kind settings_address;
extern const struct settings_kind settings_duration; /* int64_t, ms */
extern const struct settings_kind settings_size; /* int64_t, bytes */
extern const struct settings_kind settings_count; /* int */
extern const struct settings_kind settings_thousandths; /* int, thousandths */
extern const struct settings_kind settings_log_level; /* enum log_level */
extern const struct settings_kind settings_isolated; /* enum isolated_mode */
extern const struct settings_kind settings_token; /* char[CS_NAME_MAX] */
extern const struct settings_kind settings_secret; /* uint8_t[CS_DIGEST_LEN] */

#endif
