#include "codec_value.h"

#include <stdlib.h>

#include "../base/json.h"

/* Converts a JSON value to text; false if it does not have the right type. */
static bool value_text(const struct field *field, const json_t *value,
		       char *text, size_t size)
{
	const char *string;

	switch (field->type->kind) {
	case FIELD_TEXT:
		string = json_string_value(value);
		return string && g_strlcpy(text, string, size) < size;
	case FIELD_INTEGER:
		g_snprintf(text, size, "%" JSON_INTEGER_FORMAT,
			   json_integer_value(value));
		return json_is_integer(value);
	case FIELD_BOOLEAN:
		g_strlcpy(text, json_is_true(value) ? "true" : "false", size);
		return json_is_boolean(value);
	}
	return false;
}

bool codec_value_read(const struct field *field, json_t *object, void *row,
		      GString *reason)
{
	const json_t *value = json_object_get(object, field->name);
	char text[128]; /* longer than any valid value */

	if (!value && field->is_optional)
		return true;
	if (!value) {
		g_string_append_printf(reason, "%s is missing", field->name);
		return false;
	}
	if (value_text(field, value, text, sizeof(text)) &&
	    field->type->parse(field, text, row))
		return true;
	g_string_append_printf(reason, "%s is not ", field->name);
	schema_describe(field, reason);
	return false;
}

void codec_value_write(const struct field *field, const void *row,
		       json_t *object)
{
	GString *text = g_string_new(NULL);
	json_t *value = NULL;

	field->type->format(field, row, text);
	switch (field->type->kind) {
	case FIELD_TEXT:
		value = json_string(text->str);
		break;
	case FIELD_INTEGER:
		value = json_integer(strtol(text->str, NULL, 10));
		break;
	case FIELD_BOOLEAN:
		value = json_boolean(*text->str == 't');
		break;
	}
	json_object_set_new(object, field->name, value);
	g_string_free(text, TRUE);
}

GBytes *codec_value_dump(json_t *root)
{
	GBytes *bytes = json_to_bytes(root, 0);

	return bytes ? bytes : g_bytes_new(NULL, 0);
}
