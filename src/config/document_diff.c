#include "document.h"

#include <string.h>

#include "document_rows.h"
#include "schema.h"

/* Appends " name=value" for each field. */
static void format_row(const struct row_schema *schema, const void *row,
		       GString *out)
{
	size_t i;

	for (i = 0; i < schema->fields_nr; i++) {
		g_string_append_printf(out, " %s=", schema->fields[i].name);
		schema->fields[i].type->format(&schema->fields[i], row, out);
	}
}

/* Appends "~ host h1: pool news -> spare" if any field differs. */
static void diff_fields(const struct row_schema *schema, const char *a,
			const char *b, GString *out)
{
	GString *before = g_string_new(NULL), *after = g_string_new(NULL);
	const char *separator = ":";
	size_t i;

	for (i = 0; i < schema->fields_nr; i++) {
		const struct field *field = &schema->fields[i];

		g_string_truncate(before, 0);
		g_string_truncate(after, 0);
		field->type->format(field, a, before);
		field->type->format(field, b, after);
		if (g_string_equal(before, after))
			continue;
		if (*separator == ':')
			g_string_append_printf(out, "~ %s %s", schema->label,
					       a);
		g_string_append_printf(out, "%s %s %s -> %s", separator,
				       field->name, before->str, after->str);
		separator = ",";
	}
	if (*separator == ',')
		g_string_append_c(out, '\n');
	g_string_free(before, TRUE);
	g_string_free(after, TRUE);
}

/* Appends "+ key news/web 0123abcd..."; eight digits identify a digest. */
static void diff_key(char sign, const struct doc_team *team,
		     const struct doc_key *key, GString *out)
{
	GString *hex = g_string_new(NULL);

	schema_digest_format(key->digest, hex);
	g_string_append_printf(out, "%c key %s/%s %.8s...\n", sign, team->name,
			       key->label, hex->str);
	g_string_free(hex, TRUE);
}

/* Compares the keys of a team; a or b is NULL if it is new or removed. */
static void diff_keys(const struct doc_team *a, const struct doc_team *b,
		      GString *out)
{
	const struct doc_key *other;
	size_t i;

	for (i = 0; a && i < a->keys_nr; i++) {
		other = b ? doc_team_key(b, a->keys[i].label) : NULL;
		if (!other || memcmp(other->digest, a->keys[i].digest,
				     CS_DIGEST_LEN) != 0)
			diff_key('-', a, &a->keys[i], out);
	}
	for (i = 0; b && i < b->keys_nr; i++) {
		other = a ? doc_team_key(a, b->keys[i].label) : NULL;
		if (!other || memcmp(other->digest, b->keys[i].digest,
				     CS_DIGEST_LEN) != 0)
			diff_key('+', b, &b->keys[i], out);
	}
}

/* Compares one row; a or b is NULL if it is new or removed. */
static void diff_row(enum doc_table table, const void *a, const void *b,
		     GString *out)
{
	const struct row_schema *schema = &row_schemas[table];

	if (a && b) {
		diff_fields(schema, a, b, out);
	} else {
		g_string_append_printf(out, "%c %s %s", a ? '-' : '+',
				       schema->label,
				       (const char *)(a ? a : b));
		if (b)
			format_row(schema, b, out);
		g_string_append_c(out, '\n');
	}
	if (table == DOC_TEAMS)
		diff_keys(a, b, out);
}

/* Compares two tables. Both are sorted, so one merge pass is enough. */
static void diff_table(enum doc_table table, const struct document *a,
		       const struct document *b, GString *out)
{
	size_t i = 0, j = 0;
	size_t a_nr = a->tables[table].nr, b_nr = b->tables[table].nr;

	while (i < a_nr || j < b_nr) {
		const char *x = i < a_nr ? doc_row(a, table, i) : NULL;
		const char *y = j < b_nr ? doc_row(b, table, j) : NULL;
		int order = !x ? 1 : !y ? -1 : strcmp(x, y);

		diff_row(table, order <= 0 ? x : NULL, order >= 0 ? y : NULL,
			 out);
		i += order <= 0;
		j += order >= 0;
	}
}

void document_diff(const struct document *a, const struct document *b,
		   GString *out)
{
	size_t table;

	if (a->preset != b->preset)
		g_string_append_printf(out, "~ preset: %s -> %s\n",
				       preset_name(a->preset),
				       preset_name(b->preset));
	for (table = 0; table < DOC_TABLE_NR; table++)
		diff_table(table, a, b, out);
}
