#include "counters.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

struct counter_row {
	bool is_gauge;
	int64_t value;
};

struct counters {
	GTree *rows; /* "name{labels}" -> struct counter_row, sorted */
	GString *key; /* scratch space for look-ups */
};

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

struct counters *counters_create(void)
{
	struct counters *c = g_new0(struct counters, 1);

	c->rows = g_tree_new_full(compare_keys, NULL, g_free, g_free);
	c->key = g_string_new(NULL);
	return c;
}

void counters_destroy(struct counters *c)
{
	if (!c)
		return;
	g_tree_destroy(c->rows);
	g_string_free(c->key, TRUE);
	g_free(c);
}

static const char *make_key(GString *key, const char *name, const char *labels)
{
	g_string_assign(key, name);
	if (*labels) {
		g_string_append_c(key, '{');
		g_string_append(key, labels);
		g_string_append_c(key, '}');
	}
	return key->str;
}

static struct counter_row *find_or_make(struct counters *c, const char *name,
					const char *labels, bool is_gauge)
{
	const char *key = make_key(c->key, name, labels);
	struct counter_row *row = g_tree_lookup(c->rows, key);

	if (!row) {
		row = g_new0(struct counter_row, 1);
		row->is_gauge = is_gauge;
		g_tree_insert(c->rows, g_strdup(key), row);
	}
	return row;
}

void counters_add(struct counters *c, const char *name, const char *labels,
		  int64_t n)
{
	find_or_make(c, name, labels, false)->value += n;
}

void counters_set(struct counters *c, const char *name, const char *labels,
		  int64_t value)
{
	find_or_make(c, name, labels, true)->value = value;
}

int64_t counters_value(const struct counters *c, const char *name,
		       const char *labels)
{
	GString *key = g_string_new(NULL);
	const struct counter_row *row;

	row = g_tree_lookup(c->rows, make_key(key, name, labels));
	g_string_free(key, TRUE);
	return row ? row->value : 0;
}

struct render_state {
	GString *out;
	char last[128]; /* metric whose TYPE line was written last */
};

/*
 * Rows come in the order of their names, so a type line is due whenever the
 * name before the labels changes.
 */
static gboolean render_row(gpointer key, gpointer value, gpointer data)
{
	const struct counter_row *row = value;
	struct render_state *st = data;
	size_t len = strcspn(key, "{");

	if (strlen(st->last) != len || strncmp(st->last, key, len)) {
		g_snprintf(st->last, sizeof(st->last), "%.*s", (int)len,
			   (char *)key);
		g_string_append_printf(st->out, "# TYPE %s %s\n", st->last,
				       row->is_gauge ? "gauge" : "counter");
	}
	g_string_append_printf(st->out, "%s %" PRId64 "\n", (char *)key,
			       row->value);
	return FALSE;
}

void counters_render(const struct counters *c, GString *out)
{
	struct render_state st = { .out = out };

	g_tree_foreach(c->rows, render_row, &st);
}
