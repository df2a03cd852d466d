#ifndef CONFIG_CODEC_VALUE_H
#define CONFIG_CODEC_VALUE_H

#include <jansson.h>

#include "schema.h"

/*
 * Reads the field from a JSON object into row. Returns false and appends the
 * reason to why if it is missing, has the wrong type or breaks its rule.
 */
bool codec_value_read(const struct field *field, json_t *object, void *row,
		      GString *reason);

/* Sets the field of row in a JSON object. */
void codec_value_write(const struct field *field, const void *row,
		       json_t *object);

/* The compact text of root, which is released. */
GBytes *codec_value_dump(json_t *root);

#endif
