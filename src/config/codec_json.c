#include "codec.h"

#include <inttypes.h>
#include <jansson.h>
#include <string.h>

#include "../base/error.h"
#include "codec_value.h"
#include "schema.h"

/* State of decoding one document. */
struct decoder {
	const char *source;
	GString *faults;
	size_t faults_nr;
	struct document *doc;
};

static void add_fault(struct decoder *d, const char *path, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Appends a line "SOURCE: PATH: ..." to the faults. */
static void add_fault(struct decoder *d, const char *path, const char *fmt, ...)
{
	va_list args;

	g_string_append_printf(d->faults, "%s: %s: ", d->source, path);
	va_start(args, fmt);
	g_string_append_vprintf(d->faults, fmt, args);
	va_end(args);
	g_string_append_c(d->faults, '\n');
	d->faults_nr++;
}

/* Reports every key of an object that is not in the list. */
static void check_known_fields(struct decoder *d, json_t *object,
			       const char *path, const char *const *known)
{
	const char *key;
	json_t *value;

	json_object_foreach(object, key, value)
	{
		if (!g_strv_contains(known, key))
			add_fault(d, path, "unknown field \"%.64s\"", key);
	}
}

/* Size of a path such as "teams[3].keys[0]". */
#define PATH_MAX_LEN 96

/* Decodes the keys of a team; their labels must be unique within it. */
static void decode_keys(struct decoder *d, json_t *list, struct doc_team *team,
			const char *path)
{
	static const char *const known[] = { "label", "digest", NULL };
	uint8_t digest[CS_DIGEST_LEN];
	char item_path[PATH_MAX_LEN];
	json_t *item;
	size_t i;

	if (!json_is_array(list)) {
		add_fault(d, path, "keys is not an array");
		return;
	}
	json_array_foreach(list, i, item)
	{
		const char *label, *hex;

		g_snprintf(item_path, sizeof(item_path), "%s.keys[%zu]", path,
			   i);
		if (!json_is_object(item)) {
			add_fault(d, item_path, "is not an object");
			continue;
		}
		check_known_fields(d, item, item_path, known);
		label = json_string_value(json_object_get(item, "label"));
		hex = json_string_value(json_object_get(item, "digest"));
		if (!label || !schema_is_name(label))
			add_fault(d, item_path, "label is not %s",
				  field_name.expected);
		else if (doc_team_key(team, label))
			add_fault(d, item_path, "duplicate label %s", label);
		else if (!hex || !schema_digest_parse(hex, digest))
			add_fault(d, item_path, "digest is not %s",
				  field_digest.expected);
		else
			doc_team_put_key(team, label, digest);
	}
}

/* Reports unknown fields of a row. */
static void check_known_row_fields(struct decoder *d, enum doc_table table,
				   json_t *item, const char *path)
{
	const struct row_schema *schema = &row_schemas[table];
	const char *known[8] = { "name" };
	size_t i, nr = 1;

	for (i = 0; i < schema->fields_nr; i++)
		known[nr++] = schema->fields[i].name;
	if (table == DOC_TEAMS)
		known[nr++] = "keys";
	known[nr] = NULL;
	check_known_fields(d, item, path, known);
}

/* Decodes one row. names holds the names already used in the table. */
static void decode_row(struct decoder *d, enum doc_table table, json_t *item,
		       const char *path, GHashTable *names)
{
	const struct row_schema *schema = &row_schemas[table];
	GString *reason;
	const char *name;
	json_t *keys;
	void *row;
	size_t i;

	if (!json_is_object(item)) {
		add_fault(d, path, "is not an object");
		return;
	}
	check_known_row_fields(d, table, item, path);
	name = json_string_value(json_object_get(item, "name"));
	if (!name || !schema_is_name(name)) {
		add_fault(d, path, "name is not %s", field_name.expected);
		name = "";
	} else if (!g_hash_table_add(names, (void *)name)) {
		add_fault(d, path, "duplicate name %s", name);
	}
	row = doc_append(d->doc, table, name);
	reason = g_string_new(NULL);
	for (i = 0; i < schema->fields_nr; i++) {
		g_string_truncate(reason, 0);
		if (!codec_value_read(&schema->fields[i], item, row, reason))
			add_fault(d, path, "%s", reason->str);
	}
	g_string_free(reason, TRUE);
	keys = table == DOC_TEAMS ? json_object_get(item, "keys") : NULL;
	if (keys)
		decode_keys(d, keys, row, path);
}

/* Decodes the rows of a table; a missing table is empty. */
static void decode_table(struct decoder *d, enum doc_table table, json_t *list)
{
	const char *name = row_schemas[table].json_name;
	GHashTable *names;
	char path[PATH_MAX_LEN];
	json_t *item;
	size_t i;

	if (!list)
		return;
	if (!json_is_array(list)) {
		add_fault(d, name, "is not an array");
		return;
	}
	names = g_hash_table_new(g_str_hash, g_str_equal);
	json_array_foreach(list, i, item)
	{
		g_snprintf(path, sizeof(path), "%s[%zu]", name, i);
		decode_row(d, table, item, path, names);
	}
	g_hash_table_destroy(names);
}

/* Decodes revision, change id and preset. */
static void decode_header(struct decoder *d, json_t *root)
{
	const json_t *revision = json_object_get(root, "revision");
	const json_t *change_id = json_object_get(root, "change_id");
	const json_t *preset = json_object_get(root, "preset");
	const char *text = json_string_value(preset);

	if (!json_is_integer(revision) || json_integer_value(revision) < 0)
		add_fault(d, "revision", "is not an integer of at least 0");
	else
		d->doc->revision = (uint64_t)json_integer_value(revision);
	if (change_id &&
	    (!json_is_string(change_id) ||
	     json_string_length(change_id) >= DOCUMENT_CHANGE_ID_MAX))
		add_fault(d, "change_id", "is not a string of at most %d bytes",
			  DOCUMENT_CHANGE_ID_MAX - 1);
	else
		document_set_change_id(d->doc, json_string_value(change_id));
	if (!text || preset_parse(&d->doc->preset, text))
		add_fault(d, "preset", "is not ordinary, peak or maintenance");
}

/*
 * Decodes the document. Unknown members are faults, so that a misspelled name
 * is not silently ignored.
 */
static void decode_root(struct decoder *d, json_t *root)
{
	const char *known[4 + DOC_TABLE_NR] = { "revision", "change_id",
						"preset" };
	size_t i;

	if (!json_is_object(root)) {
		add_fault(d, "document", "is not an object");
		return;
	}
	for (i = 0; i < DOC_TABLE_NR; i++)
		known[3 + i] = row_schemas[i].json_name;
	check_known_fields(d, root, "document", known);
	decode_header(d, root);
	for (i = 0; i < DOC_TABLE_NR; i++)
		decode_table(d, i,
			     json_object_get(root, row_schemas[i].json_name));
}

/* jansson stops at the first syntax error; all other faults are listed. */
static struct document *decode(GBytes *bytes, const char *source,
			       GString *faults)
{
	struct decoder d = { .source = source, .faults = faults };
	json_error_t error;
	gsize len;
	const char *data = g_bytes_get_data(bytes, &len);
	json_t *root;

	if (len > (gsize)CS_VALUE_MAX) {
		add_fault(&d, "document", "is longer than %zu bytes",
			  CS_VALUE_MAX);
		return NULL;
	}
	root = json_loadb(data ? data : "", len, JSON_REJECT_DUPLICATES,
			  &error);
	if (!root) {
		add_fault(&d, "document", "line %d: %s", error.line,
			  error.text);
		return NULL;
	}
	d.doc = document_create();
	decode_root(&d, root);
	json_decref(root);
	if (d.faults_nr) {
		document_destroy(d.doc);
		return NULL;
	}
	doc_sort(d.doc);
	return d.doc;
}

static json_t *encode_row(const struct document *doc, enum doc_table table,
			  size_t i)
{
	const struct row_schema *schema = &row_schemas[table];
	const void *row = doc_row(doc, table, i);
	json_t *object = json_object();
	size_t k;

	json_object_set_new(object, "name", json_string(row));
	for (k = 0; k < schema->fields_nr; k++)
		codec_value_write(&schema->fields[k], row, object);
	return object;
}

/* Encodes keys as label and digest; the keys themselves are never stored. */
static json_t *encode_keys(const struct doc_team *team)
{
	GString *hex = g_string_new(NULL);
	json_t *list = json_array();
	size_t i;

	for (i = 0; i < team->keys_nr; i++) {
		json_t *key = json_object();

		g_string_truncate(hex, 0);
		schema_digest_format(team->keys[i].digest, hex);
		json_object_set_new(key, "label",
				    json_string(team->keys[i].label));
		json_object_set_new(key, "digest", json_string(hex->str));
		json_array_append_new(list, key);
	}
	g_string_free(hex, TRUE);
	return list;
}

/* The tables are sorted, so equal documents have equal encodings. */
static GBytes *encode(const struct document *doc)
{
	json_t *root = json_object();
	size_t table, i;

	json_object_set_new(root, "revision",
			    json_integer((json_int_t)doc->revision));
	json_object_set_new(root, "change_id", json_string(doc->change_id));
	json_object_set_new(root, "preset",
			    json_string(preset_name(doc->preset)));
	for (table = 0; table < DOC_TABLE_NR; table++) {
		json_t *list = json_array();

		for (i = 0; i < doc->tables[table].nr; i++) {
			json_t *row = encode_row(doc, table, i);

			if (table == DOC_TEAMS)
				json_object_set_new(
					row, "keys",
					encode_keys(doc_row(doc, table, i)));
			json_array_append_new(list, row);
		}
		json_object_set_new(root, row_schemas[table].json_name, list);
	}
	return codec_value_dump(root);
}

const struct document_codec document_codec_json = { "json", decode, encode };
