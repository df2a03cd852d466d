#include "host_record.h"

#include <jansson.h>
#include <string.h>

#include "../base/error.h"
#include "../base/json.h"

#define STEP "host_record"

/* Number of parts of the period over which new hosts are spread; a prime. */
#define SPREAD_PARTS 10007

static const char *const purpose_names[] = {
	[PURPOSE_NONE] = "none",
	[PURPOSE_MOVE] = "move",
	[PURPOSE_MAINTAIN] = "maintain",
};

struct record_table *record_table_create(const char *data_centre, cs_time now)
{
	struct record_table *t = g_new0(struct record_table, 1);

	cs_copy(t->data_centre, sizeof(t->data_centre), data_centre);
	t->updated = now;
	t->by_host =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return t;
}

void record_table_destroy(struct record_table *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->by_host);
	g_free(t);
}

double record_table_clock(const struct record_table *t, cs_time now)
{
	return t->clock + (double)(now - t->updated) / (double)CS_SEC;
}

struct host_record *record_table_get(struct record_table *t, const char *host,
				     cs_time period, cs_time now, bool *is_new)
{
	struct host_record *row = g_hash_table_lookup(t->by_host, host);
	double fraction;

	if (is_new)
		*is_new = !row;
	if (row)
		return row;
	row = g_new0(struct host_record, 1);
	cs_copy(row->host, sizeof(row->host), host);
	fraction = (double)(g_str_hash(host) % SPREAD_PARTS) / SPREAD_PARTS;
	row->maintained = record_table_clock(t, now) -
			  fraction * (double)period / (double)CS_SEC;
	g_hash_table_insert(t->by_host, row->host, row);
	return row;
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/* Empty fields are left out, to keep the document short. */
static json_t *encode_row(const struct host_record *row)
{
	json_t *o = json_object();

	json_object_set_new(o, "host", json_string(row->host));
	/* Whole seconds: a finer time would only lengthen the document. */
	json_object_set_new(o, "maintained",
			    json_integer((json_int_t)row->maintained));
	if (*row->home)
		json_object_set_new(o, "home", json_string(row->home));
	if (row->purpose == PURPOSE_NONE)
		return o;
	json_object_set_new(o, "purpose",
			    json_string(purpose_names[row->purpose]));
	if (*row->target)
		json_object_set_new(o, "target", json_string(row->target));
	if (row->is_returning)
		json_object_set_new(o, "returning", json_true());
	return o;
}

GBytes *record_table_encode(const struct record_table *t, cs_time now)
{
	json_t *doc = json_object(), *hosts = json_array();
	guint nr, i;
	gpointer *names = g_hash_table_get_keys_as_array(t->by_host, &nr);

	qsort(names, nr, sizeof(*names), compare_names);
	for (i = 0; i < nr; i++)
		json_array_append_new(hosts, encode_row(g_hash_table_lookup(
						     t->by_host, names[i])));
	json_object_set_new(
		doc, "clock",
		json_integer((json_int_t)record_table_clock(t, now)));
	json_object_set_new(doc, "hosts", hosts);
	g_free(names);
	return json_to_bytes(doc, 0);
}

/* Copies an optional string. Returns false if it is no string or too long. */
static bool decode_name(const json_t *o, const char *key, char *out)
{
	const json_t *value = json_object_get(o, key);

	*out = '\0';
	if (!value)
		return true;
	if (!json_is_string(value) || json_string_length(value) >= CS_NAME_MAX)
		return false;
	cs_copy(out, CS_NAME_MAX, json_string_value(value));
	return true;
}

/*
 * Returns false for a record without a host or a time of maintenance, and for
 * one with an unknown purpose.
 */
static bool decode_row(const json_t *o, struct host_record *row)
{
	char purpose[CS_NAME_MAX];
	const json_t *maintained = json_object_get(o, "maintained");
	size_t i;

	if (!json_is_integer(maintained) ||
	    !decode_name(o, "host", row->host) || !*row->host ||
	    !decode_name(o, "home", row->home) ||
	    !decode_name(o, "target", row->target) ||
	    !decode_name(o, "purpose", purpose))
		return false;
	row->maintained = (double)json_integer_value(maintained);
	row->is_returning = json_is_true(json_object_get(o, "returning"));
	if (!*purpose)
		return true;
	for (i = 0; i < G_N_ELEMENTS(purpose_names); i++) {
		if (strcmp(purpose, purpose_names[i]) != 0)
			continue;
		row->purpose = (enum plan_purpose)i;
		return true;
	}
	return false;
}

int record_table_decode(struct record_table *t, GBytes *json, cs_time now,
			struct cs_error *err)
{
	json_t *doc = json_from_bytes(json, JSON_REJECT_DUPLICATES, NULL);
	const json_t *clock = json_object_get(doc, "clock");
	const json_t *hosts = json_object_get(doc, "hosts");
	struct record_table *decoded = record_table_create(t->data_centre, now);
	struct host_record *row;
	int ret = CS_ERR_INVALID;
	GHashTable *by_host;
	size_t i;

	if (!json_is_integer(clock) || !json_is_array(hosts))
		goto out;
	for (i = 0; i < json_array_size(hosts); i++) {
		row = g_new0(struct host_record, 1);
		if (!decode_row(json_array_get(hosts, i), row)) {
			g_free(row);
			goto out;
		}
		g_hash_table_replace(decoded->by_host, row->host, row);
	}
	t->clock = (double)json_integer_value(clock);
	t->updated = now;
	by_host = t->by_host;
	t->by_host = decoded->by_host;
	decoded->by_host = by_host;
	ret = CS_OK;
out:
	record_table_destroy(decoded);
	json_decref(doc);
	if (ret)
		cs_error_set(err, ret, STEP, NULL,
			     "maintenance record of %s is malformed",
			     t->data_centre);
	return ret;
}
