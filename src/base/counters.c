#include "counters.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* Upper bounds of histogram buckets; the last bucket has no bound. */
static const cs_time bounds[] = {
	1 * CS_MSEC,	 2 * CS_MSEC,	 5 * CS_MSEC,	 10 * CS_MSEC,
	20 * CS_MSEC,	 50 * CS_MSEC,	 100 * CS_MSEC,	 200 * CS_MSEC,
	500 * CS_MSEC,	 1000 * CS_MSEC, 2000 * CS_MSEC, 5000 * CS_MSEC,
	10000 * CS_MSEC,
};

#define BUCKETS (G_N_ELEMENTS(bounds) + 1)

enum counter_kind { KIND_COUNTER, KIND_GAUGE, KIND_HISTOGRAM };

struct counter_row {
	enum counter_kind kind;
	int64_t value; /* of a histogram: number of durations */
	cs_time sum;
	int64_t *buckets; /* of a histogram; not cumulative */
};

struct counters {
	GTree *rows; /* "name{labels}" -> struct counter_row, sorted */
	GString *key; /* buffer for lookups */
};

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static void row_free(void *data)
{
	struct counter_row *row = data;

	g_free(row->buckets);
	g_free(row);
}

struct counters *counters_create(void)
{
	struct counters *c = g_new0(struct counters, 1);

	c->rows = g_tree_new_full(compare_keys, NULL, g_free, row_free);
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

static struct counter_row *find_or_create(struct counters *c, const char *name,
					  const char *labels,
					  enum counter_kind kind)
{
	const char *key = make_key(c->key, name, labels);
	struct counter_row *row = g_tree_lookup(c->rows, key);

	if (!row) {
		row = g_new0(struct counter_row, 1);
		row->kind = kind;
		if (kind == KIND_HISTOGRAM)
			row->buckets = g_new0(int64_t, BUCKETS);
		g_tree_insert(c->rows, g_strdup(key), row);
	}
	return row;
}

void counters_add(struct counters *c, const char *name, const char *labels,
		  int64_t n)
{
	find_or_create(c, name, labels, KIND_COUNTER)->value += n;
}

void counters_set(struct counters *c, const char *name, const char *labels,
		  int64_t value)
{
	find_or_create(c, name, labels, KIND_GAUGE)->value = value;
}

void counters_observe(struct counters *c, const char *name, const char *labels,
		      cs_time duration)
{
	struct counter_row *row =
		find_or_create(c, name, labels, KIND_HISTOGRAM);
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(bounds) && duration > bounds[i]; i++)
		;
	row->buckets[i]++;
	row->value++;
	row->sum += MAX(duration, 0);
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
	char last[128]; /* name in the last TYPE line */
};

/* Prometheus expects cumulative buckets, with bounds in seconds. */
static void render_histogram(const char *key, size_t len,
			     const struct counter_row *row, GString *out)
{
	const char *labels = key[len] ? key + len + 1 : "";
	int labels_len = (int)(key[len] ? strlen(labels) - 1 : 0);
	const char *comma = labels_len ? "," : "";
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < BUCKETS; i++) {
		sum += row->buckets[i];
		g_string_append_printf(out, "%.*s_bucket{%.*s%sle=\"", (int)len,
				       key, labels_len, labels, comma);
		if (i < G_N_ELEMENTS(bounds))
			g_string_append_printf(out, "%g",
					       (double)bounds[i] / CS_SEC);
		else
			g_string_append(out, "+Inf");
		g_string_append_printf(out, "\"} %" PRId64 "\n", sum);
	}
	g_string_append_printf(out, "%.*s_sum%s %g\n", (int)len, key, key + len,
			       (double)row->sum / CS_SEC);
	g_string_append_printf(out, "%.*s_count%s %" PRId64 "\n", (int)len, key,
			       key + len, row->value);
}

/*
 * Rows are visited in the order of their names, so a TYPE line is written
 * whenever the name before the labels changes.
 */
static gboolean render_row(gpointer key, gpointer value, gpointer data)
{
	static const char *const types[] = { "counter", "gauge", "histogram" };
	const struct counter_row *row = value;
	struct render_state *st = data;
	size_t len = strcspn(key, "{");

	if (strlen(st->last) != len || strncmp(st->last, key, len)) {
		g_snprintf(st->last, sizeof(st->last), "%.*s", (int)len,
			   (char *)key);
		g_string_append_printf(st->out, "# TYPE %s %s\n", st->last,
				       types[row->kind]);
	}
	if (row->kind == KIND_HISTOGRAM) {
		render_histogram(key, len, row, st->out);
		return FALSE;
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
