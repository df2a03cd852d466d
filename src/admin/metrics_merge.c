#include "metrics_merge.h"

#include <string.h>

/* A metric with the samples of all tasks. */
struct family {
	char *type; /* its TYPE line, NULL if no task gave one */
	GString *samples;
};

static gint compare_names(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static void family_free(gpointer data)
{
	struct family *f = data;

	g_free(f->type);
	g_string_free(f->samples, TRUE);
	g_free(f);
}

/* Finds or adds the family of that name. Takes ownership of name. */
static struct family *find_or_add_family(GTree *families, char *name)
{
	struct family *f = g_tree_lookup(families, name);

	if (f) {
		g_free(name);
		return f;
	}
	f = g_new0(struct family, 1);
	f->samples = g_string_new(NULL);
	g_tree_insert(families, name, f);
	return f;
}

/*
 * Adds a line to its family. Of several TYPE lines for a family the first is
 * kept; other comments are dropped.
 */
static void add_line(GTree *families, const char *line)
{
	static const char type[] = "# TYPE ";
	struct family *f;

	if (g_str_has_prefix(line, type)) {
		const char *name = line + sizeof(type) - 1;

		f = find_or_add_family(families,
				       g_strndup(name, strcspn(name, " ")));
		if (!f->type)
			f->type = g_strdup(line);
	} else if (*line && *line != '#') {
		f = find_or_add_family(families,
				       g_strndup(line, strcspn(line, "{ ")));
		g_string_append_printf(f->samples, "%s\n", line);
	}
}

static gboolean write_family(gpointer name, gpointer value, gpointer data)
{
	const struct family *f = value;
	GString *out = data;

	(void)name;
	if (f->type)
		g_string_append_printf(out, "%s\n", f->type);
	g_string_append(out, f->samples->str);
	return FALSE;
}

void metrics_merge(GBytes *const *texts, size_t nr, GString *out)
{
	GTree *families =
		g_tree_new_full(compare_names, NULL, g_free, family_free);
	size_t i, j, len;

	for (i = 0; i < nr; i++) {
		const char *data;
		char **lines, *text;

		if (!texts[i])
			continue;
		data = g_bytes_get_data(texts[i], &len);
		text = g_strndup(data ? data : "", len);
		lines = g_strsplit(text, "\n", -1);
		for (j = 0; lines[j]; j++)
			add_line(families, lines[j]);
		g_strfreev(lines);
		g_free(text);
	}
	g_tree_foreach(families, write_family, out);
	g_tree_destroy(families);
}
