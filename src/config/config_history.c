#include "config_state.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "../base/error.h"

/* The row added i rows before the newest one. */
static const struct config_history_row *history_row(const struct config_sync *s,
						    size_t i)
{
	return &s->history[(s->history_nr - 1 - i) % CONFIG_HISTORY_MAX];
}

static size_t history_len(const struct config_sync *s)
{
	return MIN(s->history_nr, CONFIG_HISTORY_MAX);
}

void config_history_add(struct part_ctx *ctx, const struct document *before,
			const struct document *after)
{
	struct config_sync *s = ctx->parts.config;
	struct config_history_row *row =
		&s->history[s->history_nr++ % CONFIG_HISTORY_MAX];
	GString *diff = g_string_new(NULL);

	document_diff(before, after, diff);
	g_free(row->diff);
	row->diff = g_string_free(diff, FALSE);
	row->revision = document_revision(after);
	row->at = ctx->now;
	cs_copy(row->change_id, sizeof(row->change_id),
		document_change_id(after));
}

void config_history_destroy(struct config_sync *s)
{
	size_t i;

	for (i = 0; i < CONFIG_HISTORY_MAX; i++)
		g_free(s->history[i].diff);
}

const char *config_history_change_id(const struct config_sync *s,
				     uint64_t revision)
{
	size_t i;

	for (i = 0; i < history_len(s); i++)
		if (history_row(s, i)->revision == revision)
			return history_row(s, i)->change_id;
	return NULL;
}

void config_history_since(const struct config_sync *s, uint64_t revision,
			  GString *out)
{
	size_t i;

	for (i = history_len(s); i-- > 0;)
		if (history_row(s, i)->revision > revision)
			g_string_append(out, history_row(s, i)->diff);
}

/* Splits a difference into a JSON array of its lines. */
static json_t *diff_lines(const char *diff)
{
	char **lines = g_strsplit(diff, "\n", -1);
	json_t *list = json_array();
	size_t i;

	for (i = 0; lines[i]; i++)
		if (*lines[i])
			json_array_append_new(list, json_string(lines[i]));
	g_strfreev(lines);
	return list;
}

void config_sync_history(const struct part_ctx *ctx, GString *json)
{
	const struct config_sync *s = ctx->parts.config;
	json_t *list = json_array();
	char *text;
	size_t i;

	for (i = 0; i < history_len(s); i++) {
		const struct config_history_row *row = history_row(s, i);
		json_t *item = json_object();

		json_object_set_new(item, "revision",
				    json_integer((json_int_t)row->revision));
		json_object_set_new(item, "change_id",
				    json_string(row->change_id));
		json_object_set_new(item, "time_us", json_integer(row->at));
		json_object_set_new(
			item, "age_ms",
			json_integer((ctx->now - row->at) / CS_MSEC));
		json_object_set_new(item, "diff", diff_lines(row->diff));
		json_array_append_new(list, item);
	}
	text = json_dumps(list, JSON_COMPACT);
	g_string_append(json, text ? text : "[]");
	free(text);
	json_decref(list);
}
