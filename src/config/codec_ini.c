#include "codec.h"

#include <ini.h>
#include <string.h>

#include "schema.h"

#define KEY_PREFIX "key."

/* One run of the decoder over the text. */
struct decode_state {
	const char *source;
	GString *faults;
	size_t nr;
	struct document *doc;
	GHashTable *headings; /* "KIND NAME" seen so far */
	const char *next, *end; /* text that inih has not had yet */
	int line; /* of the text that inih has, from 1 */
	bool wants_value; /* that line must hold a name and a value */
	bool is_skipping; /* in a section that is refused */
	int heading_line;
	int table; /* of the present section; -1: preset; -2: none */
	size_t row; /* position in that table */
	unsigned seen; /* bits of the fields that were set */
	bool has_preset;
};

#define TABLE_PRESET (-1)
#define TABLE_NONE (-2)

static void fault(struct decode_state *st, int line, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* Appends "SOURCE:LINE: ..." as one line. */
static void fault(struct decode_state *st, int line, const char *fmt, ...)
{
	va_list args;

	g_string_append_printf(st->faults, "%s:%d: ", st->source, line);
	va_start(args, fmt);
	g_string_append_vprintf(st->faults, fmt, args);
	va_end(args);
	g_string_append_c(st->faults, '\n');
	st->nr++;
}

/* Ends the present section: every required field must have been set. */
static void end_section(struct decode_state *st)
{
	const struct row_schema *schema;
	size_t i;

	if (st->table == TABLE_PRESET && !st->has_preset)
		fault(st, st->heading_line, "name is missing");
	if (st->table < 0 || st->is_skipping)
		return;
	schema = &row_schemas[st->table];
	for (i = 0; i < schema->fields_nr; i++)
		if (!schema->fields[i].is_optional && !(st->seen & 1u << i))
			fault(st, st->heading_line, "%s is missing",
			      schema->fields[i].name);
}

/* The table of a section such as "data-centre", or TABLE_NONE. */
static int find_table(const char *label, size_t len)
{
	int i;

	for (i = 0; i < DOC_TABLE_NR; i++)
		if (strlen(row_schemas[i].label) == len &&
		    !memcmp(row_schemas[i].label, label, len))
			return i;
	return TABLE_NONE;
}

/* Begins the section of a heading, given without its brackets. */
static void begin_section(struct decode_state *st, const char *heading)
{
	const char *space = strchr(heading, ' ');
	const char *name = space ? space + strspn(space, " \t") : "";
	size_t len = space ? (size_t)(space - heading) : strlen(heading);
	bool is_preset = !strcmp(heading, "preset");
	char key[256]; /* one space between kind and name */

	g_snprintf(key, sizeof(key), "%.*s %s", (int)len, heading, name);
	end_section(st);
	st->heading_line = st->line;
	st->seen = 0;
	st->is_skipping = true;
	st->table = is_preset ? TABLE_PRESET : find_table(heading, len);
	if (st->table == TABLE_NONE) {
		fault(st, st->line, "unknown section [%.100s]", heading);
	} else if (!g_hash_table_add(st->headings, g_strdup(key))) {
		fault(st, st->line, "duplicate section [%.100s]", heading);
		st->table = TABLE_NONE;
	} else if (!is_preset && !schema_is_name(name)) {
		fault(st, st->line, "the section needs %s",
		      field_name.expected);
		st->table = TABLE_NONE;
	} else {
		st->is_skipping = false;
	}
	if (st->table >= 0) {
		st->row = st->doc->tables[st->table].nr;
		doc_append(st->doc, st->table, name);
	}
}

/*
 * Takes a line that begins with "[". inih cuts section names after 49
 * characters, so headings are read here. Returns false if it is malformed.
 */
static bool take_heading(struct decode_state *st, const char *line)
{
	const char *end = strchr(line, ']');
	const char *rest = end ? end + 1 + strspn(end + 1, " \t\r\n") : "";
	char *heading;

	if (!end || (*rest && !strchr(INI_START_COMMENT_PREFIXES, *rest))) {
		end_section(st);
		st->table = TABLE_NONE;
		st->is_skipping = true;
		fault(st, st->line, "a section is written [KIND NAME]");
		return false;
	}
	heading = g_strndup(line + 1, (gsize)(end - line - 1));
	begin_section(st, heading);
	g_free(heading);
	return true;
}

/* The line before must have been understood as a name and a value. */
static void end_line(struct decode_state *st)
{
	if (st->wants_value)
		fault(st, st->line, "NAME = VALUE was expected");
	st->wants_value = false;
}

/*
 * The reader of inih: the next line without its indentation, which inih would
 * take for the continuation of a value. A line that must not reach inih is
 * passed as an empty one.
 */
static char *read_line(char *out, int size, void *stream)
{
	struct decode_state *st = stream;
	const char *newline;
	size_t len;

	end_line(st);
	if (st->next == st->end)
		return NULL;
	newline = memchr(st->next, '\n', (size_t)(st->end - st->next));
	len = (size_t)((newline ? newline : st->end) - st->next);
	st->line++;
	while (len && (*st->next == ' ' || *st->next == '\t')) {
		st->next++;
		len--;
	}
	out[0] = '\0';
	if (len + 2 > (size_t)size) {
		fault(st, st->line, "the line is too long");
	} else if (memchr(st->next, '\0', len)) {
		fault(st, st->line, "the line holds a zero byte");
	} else {
		memcpy(out, st->next, len);
		out[len] = '\0';
		g_strchomp(out);
	}
	if (*out == '[' && !take_heading(st, out))
		out[0] = '\0';
	else if (*out && *out != '[' &&
		 !strchr(INI_START_COMMENT_PREFIXES, *out))
		st->wants_value = true;
	g_strlcat(out, "\n", (gsize)size);
	st->next = newline ? newline + 1 : st->end;
	return out;
}

/* key.LABEL = DIGEST of the present team. */
static void take_key(struct decode_state *st, const char *label,
		     const char *value)
{
	struct doc_team *team = doc_row(st->doc, DOC_TEAMS, st->row);
	uint8_t digest[CS_DIGEST_LEN];

	if (!schema_is_name(label))
		fault(st, st->line, "the key label is not %s",
		      field_name.expected);
	else if (doc_team_key(team, label))
		fault(st, st->line, "duplicate key.%s", label);
	else if (!schema_digest_parse(value, digest))
		fault(st, st->line, "key.%s is not %s", label,
		      field_digest.expected);
	else
		doc_team_put_key(team, label, digest);
}

static void take_preset(struct decode_state *st, const char *name,
			const char *value)
{
	if (strcmp(name, "name") != 0)
		fault(st, st->line, "unknown name \"%.64s\"", name);
	else if (st->has_preset)
		fault(st, st->line, "duplicate name");
	else if (preset_parse(&st->doc->preset, value))
		fault(st, st->line,
		      "name is not ordinary, peak or "
		      "maintenance");
	st->has_preset = true;
}

/*
 * Stores a field in the current row. An unknown, repeated or invalid one is
 * added to the faults, and reading goes on.
 */
static void take_field(struct decode_state *st, const char *name,
		       const char *value)
{
	const struct row_schema *schema = &row_schemas[st->table];
	const struct field *field;
	GString *expected;
	size_t i;

	field = schema_field(schema->fields, schema->fields_nr, name, &i);
	if (!field) {
		fault(st, st->line, "unknown name \"%.64s\"", name);
		return;
	}
	if (st->seen & 1u << i) {
		fault(st, st->line, "duplicate %s", name);
		return;
	}
	st->seen |= 1u << i;
	if (field->type->parse(field, value,
			       doc_row(st->doc, st->table, st->row)))
		return;
	expected = g_string_new(NULL);
	schema_describe(field, expected);
	fault(st, st->line, "%s is not %s", name, expected->str);
	g_string_free(expected, TRUE);
}

/* The handler of inih. Always 1: faults are listed, not counted by inih. */
static int take_value(void *user, const char *section, const char *name,
		      const char *value)
{
	struct decode_state *st = user;

	(void)section; /* cut after 49 characters, see take_heading() */
	st->wants_value = false;
	if (!st->heading_line)
		fault(st, st->line, "a section was expected before \"%.64s\"",
		      name);
	else if (st->is_skipping)
		return 1;
	else if (st->table == TABLE_PRESET)
		take_preset(st, name, value);
	else if (st->table == DOC_TEAMS && g_str_has_prefix(name, KEY_PREFIX))
		take_key(st, name + strlen(KEY_PREFIX), value);
	else
		take_field(st, name, value);
	return 1;
}

/*
 * Reads a whole fleet document; NULL if there is any fault. All faults are
 * listed, each with its line.
 */
static struct document *decode(GBytes *bytes, const char *source,
			       GString *faults)
{
	struct decode_state st = { .source = source,
				   .faults = faults,
				   .table = TABLE_NONE };
	gsize len;

	st.next = g_bytes_get_data(bytes, &len);
	if (!st.next)
		st.next = ""; /* no bytes */
	if (len > (gsize)CS_VALUE_MAX) {
		fault(&st, 1, "longer than %zu bytes", CS_VALUE_MAX);
		return NULL;
	}
	st.end = st.next + len;
	st.doc = document_create();
	st.headings =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	ini_parse_stream(read_line, &st, take_value, &st);
	end_line(&st);
	end_section(&st);
	if (!g_hash_table_contains(st.headings, "preset "))
		fault(&st, st.line ? st.line : 1, "[preset] is missing");
	g_hash_table_destroy(st.headings);
	if (st.nr) {
		document_destroy(st.doc);
		return NULL;
	}
	doc_sort(st.doc);
	return st.doc;
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

/* The revision is not written: a file that is applied gets the next one. */
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
