#include "json.h"

#include <stdlib.h>
#include <string.h>

GBytes *json_to_bytes(json_t *root, size_t flags)
{
	char *text = root ? json_dumps(root, JSON_COMPACT | flags) : NULL;

	json_decref(root);
	if (!text)
		return NULL;
	return g_bytes_new_with_free_func(text, strlen(text), free, text);
}

void json_append(GString *out, json_t *root, size_t flags)
{
	char *text = json_dumps(root, JSON_COMPACT | flags);

	json_decref(root);
	if (text)
		g_string_append(out, text);
	free(text);
}

json_t *json_from_bytes(GBytes *bytes, size_t flags, json_error_t *error)
{
	gsize len = 0;
	const char *data = bytes ? g_bytes_get_data(bytes, &len) : NULL;

	return json_loadb(data ? data : "", len, flags, error);
}
