#ifndef BASE_JSON_H
#define BASE_JSON_H

#include <glib.h>
#include <jansson.h>

/*
 * Encodes a JSON value as compact text and releases the value. flags are those
 * of json_dumps(). Returns NULL if root is NULL or can't be encoded.
 */
GBytes *json_to_bytes(json_t *root, size_t flags);

/* Appends the compact text of a JSON value and releases the value. */
void json_append(GString *out, json_t *root, size_t flags);

/* Parses bytes, which may be NULL. Returns NULL if they are not valid JSON. */
json_t *json_from_bytes(GBytes *bytes, size_t flags, json_error_t *error);

#endif
