#ifndef SETTINGS_VALUE_H
#define SETTINGS_VALUE_H

#include <glib.h>

#include "../camphorshed.h"

/*
 * Types of values in a settings file: how a value is parsed, and how a fault
 * describes what was expected.
 */
struct settings_key;

struct settings_type {
	/* Stores value in field; false if it is not valid for the key. */
	bool (*parse)(const struct settings_key *key, const char *value,
		      void *field);
	/* Appends what is expected, such as "a number from 1 to 64". */
	void (*describe)(const struct settings_key *key, GString *out);
	bool is_secret; /* the value is never shown */
};

/* One key of a section. */
struct settings_key {
	const char *name;
	const struct settings_type *type;
	size_t offset; /* of the field in the struct of its section */
	/*
	 * Bounds of the field's value, in the unit in which the field is
	 * stored (ms, bytes, thousandths); for a text, of its length.
	 */
	int64_t min, max;
	const char *unit; /* only documents the value; may be "" */
	const char *default_value; /* if the key is missing; NULL: required */
};

/* The types, each with the type of the field that it fills. */
extern const struct settings_type settings_name; /* char[CS_NAME_MAX] */
extern const struct settings_type settings_address; /* char[CS_ADDRESS_MAX] */
extern const struct settings_type settings_duration; /* int64_t, ms */
extern const struct settings_type settings_size; /* int64_t, bytes */
extern const struct settings_type settings_count; /* int */
extern const struct settings_type settings_thousandths; /* int, thousandths */
extern const struct settings_type settings_log_level; /* enum log_level */
extern const struct settings_type settings_isolated; /* enum isolated_mode */
extern const struct settings_type settings_switch; /* bool */
extern const struct settings_type settings_token; /* char[CS_NAME_MAX] */
extern const struct settings_type settings_secret; /* uint8_t[CS_DIGEST_LEN] */

#endif
