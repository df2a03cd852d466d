#include "ctl_table.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define COLUMN_GAP 2

/* Keys that identify a row; they are printed first and sort the rows. */
static const char *const id_keys[] = { "name", "id" };

/* Index of the key in id_keys, or their number if it is another key. */
static size_t key_rank(const char *key)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(id_keys); i++)
		if (!strcmp(key, id_keys[i]))
			break;
	return i;
}

static gint compare_keys(gconstpointer a, gconstpointer b)
{
	const char *x = *(const char *const *)a, *y = *(const char *const *)b;
	size_t i = key_rank(x), j = key_rank(y);

	if (i != j)
		return i < j ? -1 : 1;
	return strcmp(x, y);
}

/* Adds the keys of object that are not in keys yet. */
static void collect_keys(GPtrArray *keys, const json_t *object)
{
	const char *key;
	json_t *value;

	json_object_foreach(
		(json_t *)object, key,
		value) if (!g_ptr_array_find_with_equal_func(keys, key,
							     g_str_equal, NULL))
		g_ptr_array_add(keys, (gpointer)key);
}

/* True for an array that is not empty and holds only objects. */
static bool is_table(const json_t *value)
{
	size_t i;

	if (!json_is_array(value) || !json_array_size(value))
		return false;
	for (i = 0; i < json_array_size(value); i++)
		if (!json_is_object(json_array_get(value, i)))
			return false;
	return true;
}

/*
 * Returns a value as one line of text. Control characters are replaced, so
 * that a name cannot send escape sequences to the terminal.
 */
static char *cell_text(const json_t *value)
{
	char *text, *p, *dumped;

	if (!value || json_is_null(value)) {
		text = g_strdup("-");
	} else if (json_is_string(value)) {
		text = g_strdup(json_string_value(value));
	} else if (json_is_boolean(value)) {
		text = g_strdup(json_is_true(value) ? "yes" : "no");
	} else {
		dumped = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT |
						   JSON_SORT_KEYS);
		text = g_strdup(dumped ? dumped : "?");
		free(dumped);
	}
	for (p = text; *p; p++)
		if (g_ascii_iscntrl(*p))
			*p = '?';
	return text;
}

static void append_padded(GString *out, const char *text, size_t width,
			  bool is_last)
{
	size_t len = (size_t)g_utf8_strlen(text, -1);

	g_string_append(out, text);
	if (is_last)
		return;
	for (; len < width + COLUMN_GAP; len++)
		g_string_append_c(out, ' ');
}

/* Orders objects by the first of id_keys that both have. */
static gint compare_rows(gconstpointer a, gconstpointer b)
{
	const json_t *x = *(json_t *const *)a, *y = *(json_t *const *)b;
	const char *name_x, *name_y;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(id_keys); i++) {
		name_x = json_string_value(json_object_get(x, id_keys[i]));
		name_y = json_string_value(json_object_get(y, id_keys[i]));
		if (name_x && name_y)
			return strcmp(name_x, name_y);
	}
	return 0;
}

/* Sorts the rows of an array; g_ptr_array_sort() is stable. */
static GPtrArray *sorted_rows(const json_t *array)
{
	GPtrArray *rows = g_ptr_array_new();
	size_t i;

	for (i = 0; i < json_array_size(array); i++)
		g_ptr_array_add(rows, json_array_get(array, i));
	g_ptr_array_sort(rows, compare_rows);
	return rows;
}

/*
 * Appends an array of objects as columns with a heading. A key that an object
 * does not have is shown as "-".
 */
static void append_table(GString *out, const json_t *array)
{
	GPtrArray *rows = sorted_rows(array);
	GPtrArray *keys = g_ptr_array_new();
	guint r, k, columns;
	size_t *widths;
	char **cells;

	for (r = 0; r < rows->len; r++)
		collect_keys(keys, rows->pdata[r]);
	g_ptr_array_sort(keys, compare_keys);
	columns = keys->len;
	widths = g_new0(size_t, columns + 1);
	cells = g_new0(char *, (size_t)(rows->len + 1) * columns + 1);
	for (r = 0; r <= rows->len; r++) {
		for (k = 0; k < columns; k++) {
			char *text;

			if (r)
				text = cell_text(json_object_get(
					rows->pdata[r - 1], keys->pdata[k]));
			else
				text = g_ascii_strup(keys->pdata[k], -1);
			cells[r * columns + k] = text;
			widths[k] =
				MAX(widths[k], (size_t)g_utf8_strlen(text, -1));
		}
	}
	for (r = 0; r <= rows->len; r++) {
		for (k = 0; k < columns; k++)
			append_padded(out, cells[r * columns + k], widths[k],
				      k + 1 == columns);
		g_string_append_c(out, '\n');
	}
	g_strfreev(cells);
	g_free(widths);
	g_ptr_array_free(keys, TRUE);
	g_ptr_array_free(rows, TRUE);
}

static void append_object(GString *out, const json_t *object, const char *path);

/* Appends an object or a table under its heading. */
static void append_section(GString *out, const json_t *value, const char *path)
{
	if (json_is_object(value)) {
		append_object(out, value, path);
		return;
	}
	g_string_append_printf(out, "%s%s:\n", out->len ? "\n" : "", path);
	append_table(out, value);
}

static bool is_section(const json_t *value)
{
	return json_is_object(value) || is_table(value);
}

/* Appends simple values first, then sections, both sorted by key. */
static void append_object(GString *out, const json_t *object, const char *path)
{
	GPtrArray *keys = g_ptr_array_new();
	size_t width = 0;
	json_t *value;
	char *text;
	guint i;

	collect_keys(keys, object);
	g_ptr_array_sort(keys, compare_keys);
	for (i = 0; i < keys->len; i++)
		if (!is_section(json_object_get(object, keys->pdata[i])))
			width = MAX(width,
				    (size_t)g_utf8_strlen(keys->pdata[i], -1));
	if (*path && width)
		g_string_append_printf(out, "%s%s:\n", out->len ? "\n" : "",
				       path);
	for (i = 0; i < keys->len; i++) {
		value = json_object_get(object, keys->pdata[i]);
		if (is_section(value))
			continue;
		text = cell_text(value);
		append_padded(out, keys->pdata[i], width, false);
		g_string_append_printf(out, "%s\n", text);
		g_free(text);
	}
	for (i = 0; i < keys->len; i++) {
		value = json_object_get(object, keys->pdata[i]);
		if (!is_section(value))
			continue;
		text = g_strconcat(path, *path ? "." : "", keys->pdata[i],
				   NULL);
		append_section(out, value, text);
		g_free(text);
	}
	g_ptr_array_free(keys, TRUE);
}

void ctl_table_append(GString *out, const json_t *value)
{
	char *text;

	if (json_is_object(value)) {
		append_object(out, value, "");
	} else if (is_table(value)) {
		append_table(out, value);
	} else {
		text = cell_text(value);
		g_string_append_printf(out, "%s\n", text);
		g_free(text);
	}
}
