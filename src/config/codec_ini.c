#include "codec.h"

#include <ini.h>
#include <string.h>

#include "schema.h"

#define KEY_PREFIX "key."

/* State of decoding one document. */
struct decoder {
	const char *source;
	GString *faults;
	size_t faults_nr;
	struct document *doc;
	GHashTable *seen_sections; /* "KIND NAME" */
	const char *next, *end; /* text not yet passed to inih */
	int line; /* number of the line passed last, from 1 */
	bool expects_value; /* that line must hold a name and a value */
	bool is_skipping; /* in an invalid section */
	int header_line; /* of the current section; 0: none yet */
	int table; /* of the current section, or one of the values below */
	size_t row; /* index in that table */
	unsigned seen_fields; /* one bit per field that was set */
	bool has_preset;
};

#define TABLE_PRESET (-1)
#define TABLE_NONE (-2)

static void add_fault(struct decoder *d, int line, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Appends a line "SOURCE:LINE: ..." to the faults. */
static void add_fault(struct decoder *d, int line, const char *fmt, ...)
{
	va_list args;

	g_string_append_printf(d->faults, "%s:%d: ", d->source, line);
	va_start(args, fmt);
	g_string_append_vprintf(d->faults, fmt, args);
	va_end(args);
	g_string_append_c(d->faults, '\n');
	d->faults_nr++;
}

/* Ends the current section: reports required fields that were not set. */
static void end_section(struct decoder *d)
{
	const struct row_schema *schema;
	size_t i;

	if (d->table == TABLE_PRESET && !d->has_preset)
		add_fault(d, d->header_line, "name is missing");
	if (d->table < 0 || d->is_skipping)
		return;
	schema = &row_schemas[d->table];
	for (i = 0; i < schema->fields_nr; i++)
		if (!schema->fields[i].is_optional &&
		    !(d->seen_fields & 1u << i))
			add_fault(d, d->header_line, "%s is missing",
				  schema->fields[i].name);
}

/* Finds the table of a section kind such as "data-centre", or TABLE_NONE. */
static int find_table(const char *label, size_t len)
{
	int i;

	for (i = 0; i < DOC_TABLE_NR; i++)
		if (strlen(row_schemas[i].label) == len &&
		    !memcmp(row_schemas[i].label, label, len))
			return i;
	return TABLE_NONE;
}

/* Begins a section; section_header is given without the brackets. */
static void begin_section(struct decoder *d, const char *section_header)
{
	const char *space = strchr(section_header, ' ');
	const char *name = space ? space + strspn(space, " \t") : "";
	size_t len = space ? (size_t)(space - section_header) :
			     strlen(section_header);
	bool is_preset = !strcmp(section_header, "preset");
	char key[256]; /* kind and name, separated by a single space */

	g_snprintf(key, sizeof(key), "%.*s %s", (int)len, section_header, name);
	end_section(d);
	d->header_line = d->line;
	d->seen_fields = 0;
	d->is_skipping = true;
	d->table = is_preset ? TABLE_PRESET : find_table(section_header, len);
	if (d->table == TABLE_NONE) {
		add_fault(d, d->line, "unknown section [%.100s]",
			  section_header);
	} else if (!g_hash_table_add(d->seen_sections, g_strdup(key))) {
		add_fault(d, d->line, "duplicate section [%.100s]",
			  section_header);
		d->table = TABLE_NONE;
	} else if (!is_preset && !schema_is_name(name)) {
		add_fault(d, d->line, "the section needs %s",
			  field_name.expected);
		d->table = TABLE_NONE;
	} else {
		d->is_skipping = false;
	}
	if (d->table >= 0) {
		d->row = d->doc->tables[d->table].nr;
		doc_append(d->doc, d->table, name);
	}
}

/*
 * Parses a line that begins with "[". Section headers are parsed here, since
 * inih truncates section names to 49 characters. Returns false if the line is
 * malformed.
 */
static bool parse_section_header(struct decoder *d, const char *line)
{
	const char *end = strchr(line, ']');
	const char *rest = end ? end + 1 + strspn(end + 1, " \t\r\n") : "";
	char *section_header;

	if (!end || (*rest && !strchr(INI_START_COMMENT_PREFIXES, *rest))) {
		end_section(d);
		d->table = TABLE_NONE;
		d->is_skipping = true;
		add_fault(d, d->line, "a section is written [KIND NAME]");
		return false;
	}
	section_header = g_strndup(line + 1, (gsize)(end - line - 1));
	begin_section(d, section_header);
	g_free(section_header);
	return true;
}

/* Reports the previous line if inih found no name and value in it. */
static void check_line_parsed(struct decoder *d)
{
	if (d->expects_value)
		add_fault(d, d->line, "NAME = VALUE was expected");
	d->expects_value = false;
}

/*
 * Line reader for inih. Strips the indentation, which inih would take for the
 * continuation of a value. A line that inih must not get is passed as empty.
 */
static char *read_line(char *out, int size, void *stream)
{
	struct decoder *d = stream;
	const char *newline;
	size_t len;

	check_line_parsed(d);
	if (d->next == d->end)
		return NULL;
	newline = memchr(d->next, '\n', (size_t)(d->end - d->next));
	len = (size_t)((newline ? newline : d->end) - d->next);
	d->line++;
	while (len && (*d->next == ' ' || *d->next == '\t')) {
		d->next++;
		len--;
	}
	out[0] = '\0';
	if (len + 2 > (size_t)size) {
		add_fault(d, d->line, "the line is too long");
	} else if (memchr(d->next, '\0', len)) {
		add_fault(d, d->line, "the line holds a zero byte");
	} else {
		memcpy(out, d->next, len);
		out[len] = '\0';
		g_strchomp(out);
	}
	if (*out == '[' && !parse_section_header(d, out))
		out[0] = '\0';
	else if (*out && *out != '[' &&
		 !strchr(INI_START_COMMENT_PREFIXES, *out))
		d->expects_value = true;
	g_strlcat(out, "\n", (gsize)size);
	d->next = newline ? newline + 1 : d->end;
	return out;
}

/* Parses "key.LABEL = DIGEST" in the section of a team. */
static void parse_key(struct decoder *d, const char *label, const char *value)
{
	struct doc_team *team = doc_row(d->doc, DOC_TEAMS, d->row);
	uint8_t digest[CS_DIGEST_LEN];

	if (!schema_is_name(label))
		add_fault(d, d->line, "the key label is not %s",
			  field_name.expected);
	else if (doc_team_key(team, label))
		add_fault(d, d->line, "duplicate key.%s", label);
	else if (!schema_digest_parse(value, digest))
		add_fault(d, d->line, "key.%s is not %s", label,
			  field_digest.expected);
	else
		doc_team_put_key(team, label, digest);
}

static void parse_preset(struct decoder *d, const char *name, const char *value)
{
	if (strcmp(name, "name") != 0)
		add_fault(d, d->line, "unknown name \"%.64s\"", name);
	else if (d->has_preset)
		add_fault(d, d->line, "duplicate name");
	else if (preset_parse(&d->doc->preset, value))
		add_fault(d, d->line,
			  "name is not ordinary, peak or "
			  "maintenance");
	d->has_preset = true;
}

/*
 * Stores a field in the current row. An unknown, repeated or invalid field is
 * reported and decoding continues.
 */
static void parse_field(struct decoder *d, const char *name, const char *value)
{
	const struct row_schema *schema = &row_schemas[d->table];
	const struct field *field;
	GString *expected;
	size_t i;

	field = schema_field(schema->fields, schema->fields_nr, name, &i);
	if (!field) {
		add_fault(d, d->line, "unknown name \"%.64s\"", name);
		return;
	}
	if (d->seen_fields & 1u << i) {
		add_fault(d, d->line, "duplicate %s", name);
		return;
	}
	d->seen_fields |= 1u << i;
	if (field->type->parse(field, value, doc_row(d->doc, d->table, d->row)))
		return;
	expected = g_string_new(NULL);
	schema_describe(field, expected);
	add_fault(d, d->line, "%s is not %s", name, expected->str);
	g_string_free(expected, TRUE);
}

/* Value handler for inih. Always returns 1: faults are reported here. */
static int handle_value(void *user, const char *section, const char *name,
			const char *value)
{
	struct decoder *d = user;

	(void)section; /* truncated, see parse_section_header() */
	d->expects_value = false;
	if (!d->header_line)
		add_fault(d, d->line, "a section was expected before \"%.64s\"",
			  name);
	else if (d->is_skipping)
		return 1;
	else if (d->table == TABLE_PRESET)
		parse_preset(d, name, value);
	else if (d->table == DOC_TEAMS && g_str_has_prefix(name, KEY_PREFIX))
		parse_key(d, name + strlen(KEY_PREFIX), value);
	else
		parse_field(d, name, value);
	return 1;
}

/*
 * Decodes a fleet document; NULL if there is any fault. All faults are listed,
 * each with its line.
 */
static struct document *decode(GBytes *bytes, const char *source,
			       GString *faults)
{
	struct decoder d = { .source = source,
			     .faults = faults,
			     .table = TABLE_NONE };
	gsize len;

	d.next = g_bytes_get_data(bytes, &len);
	if (!d.next)
		d.next = ""; /* GBytes returns NULL for empty data */
	if (len > (gsize)CS_VALUE_MAX) {
		add_fault(&d, 1, "longer than %zu bytes", CS_VALUE_MAX);
		return NULL;
	}
	d.end = d.next + len;
	d.doc = document_create();
	d.seen_sections =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ini_parse_stream(read_line, &d, handle_value, &d);
	check_line_parsed(&d);
	end_section(&d);
	if (!g_hash_table_contains(d.seen_sections, "preset "))
		add_fault(&d, d.line ? d.line : 1, "[preset] is missing");
	g_hash_table_destroy(d.seen_sections);
	if (d.faults_nr) {
		document_destroy(d.doc);
		return NULL;
	}
	doc_sort(d.doc);
	return d.doc;
}

static void encode_keys(const struct doc_team *team, GString *out)
{
	size_t i;

	for (i = 0; i < team->keys_nr; i++) {
		g_string_append_printf(out,
				       KEY_PREFIX "%s = ", team->keys[i].label);
		schema_digest_format(team->keys[i].digest, out);
		g_string_append_c(out, '\n');
	}
}

/* The revision is left out: a file that is applied gets the next one. */
static GBytes *encode(const struct document *doc)
{
	GString *out = g_string_new(NULL);
	size_t table, i, k;

	g_string_append_printf(out, "[preset]\nname = %s\n",
			       preset_name(doc->preset));
	for (table = 0; table < DOC_TABLE_NR; table++) {
		const struct row_schema *schema = &row_schemas[table];

		for (i = 0; i < doc->tables[table].nr; i++) {
			const char *row = doc_row(doc, table, i);

			g_string_append_printf(out, "\n[%s %s]\n",
					       schema->label, row);
			for (k = 0; k < schema->fields_nr; k++) {
				g_string_append_printf(
					out, "%s = ", schema->fields[k].name);
				schema->fields[k].type->format(
					&schema->fields[k], row, out);
				g_string_append_c(out, '\n');
			}
			if (table == DOC_TEAMS)
				encode_keys(doc_row(doc, table, i), out);
		}
	}
	return g_string_free_to_bytes(out);
}

const struct document_codec document_codec_ini = { "ini", decode, encode };
