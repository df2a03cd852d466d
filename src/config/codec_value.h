#ifndef CONFIG_CODEC_VALUE_H
#define CONFIG_CODEC_VALUE_H

#include <jansson.h>

#include "schema.h"

/*
 * Reads a field from a JSON object into row. Returns false and appends the
 * reason if the member is missing, has the wrong type or an invalid value.
 */
bool codec_value_read(const struct field *field, json_t *object, void *row,
		      GString *reason);

/* Writes a field of row to a JSON object. */
void codec_value_write(const struct field *field, const void *row,
		       json_t *object);

/* Encodes root without white space, and releases it. */
GBytes *codec_value_dump(json_t *root);

#endif
