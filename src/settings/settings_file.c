#include "settings_file.h"

#include <errno.h>
#include <ini.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "../base/error.h"

#define PEER_FIELD(name) offsetof(struct entry_peer, name)
#define NAME(name, offset)                                                     \
	{                                                                      \
		name, &settings_name, offset, 1, CS_NAME_MAX - 1,              \
			"characters", NULL                                     \
	}

/* A section of the file, or a missing one (line 0). */
struct section {
	const struct settings_section *def;
	char *name;
	int line;
	size_t peer; /* index in peers, of a named peer */
	int key_lines[SETTINGS_KEYS_MAX]; /* line that set the key, or 0 */
};

/* State while reading one file. */
struct settings_reader {
	const char *path;
	const struct settings_schema *schema;
	FILE *file;
	GString *faults;
	bool has_fault;
	int line;
	char *buf; /* the current line */
	size_t buf_size;
	void *fields; /* the struct to be filled */
	GArray *peers; /* struct entry_peer */
	GPtrArray *sections; /* struct section */
	struct section *current; /* NULL: none yet, or an invalid one */
	bool has_header; /* there was a section header */
};

/* Appends "FILE:LINE: section.key: got ..., expected ...". */
static void G_GNUC_PRINTF(4, 5)
	add_fault(struct settings_reader *r, int line, const char *what,
		  const char *fmt, ...)
{
	va_list args;

	r->has_fault = true;
	g_string_append_printf(r->faults, "%s:%d: %s: got ", r->path, line,
			       what);
	va_start(args, fmt);
	g_string_append_vprintf(r->faults, fmt, args);
	va_end(args);
	g_string_append_c(r->faults, '\n');
}

/* Returns a key's full name for faults, "entry.id"; the caller frees it. */
static char *key_path(const struct section *s, const struct settings_key *key)
{
	return g_strdup_printf("%s.%s", s->name, key->name);
}

/*
 * Reports a missing key (value is NULL) or an invalid value. The value of a
 * secret is not shown.
 */
static void add_key_fault(struct settings_reader *r, int line,
			  const struct section *s,
			  const struct settings_key *key, const char *value)
{
	char *key_name = key_path(s, key);
	GString *expected = g_string_new(NULL);

	key->type->describe(key, expected);
	if (!value)
		add_fault(r, line, key_name, "nothing, expected %s",
			  expected->str);
	else
		add_fault(r, line, key_name, "\"%s\", expected %s",
			  key->type->is_secret ? "(hidden)" : value,
			  expected->str);
	g_string_free(expected, TRUE);
	g_free(key_name);
}

static void *section_base(struct settings_reader *r, const struct section *s)
{
	if (s->def->is_named_peer)
		return &g_array_index(r->peers, struct entry_peer, s->peer);
	return r->fields;
}

static bool parse_key(struct settings_reader *r, const struct section *s,
		      const struct settings_key *key, const char *value)
{
	return key->type->parse(key, value,
				(char *)section_base(r, s) + key->offset);
}

static struct section *find_section(struct settings_reader *r, const char *name)
{
	struct section *s;
	guint i;

	for (i = 0; i < r->sections->len; i++) {
		s = g_ptr_array_index(r->sections, i);
		if (!strcmp(s->name, name))
			return s;
	}
	return NULL;
}

/*
 * Adds a section. A named peer also gets an element of peers, to which the
 * section refers by index because the array may be reallocated.
 */
static struct section *add_section(struct settings_reader *r, const char *name,
				   const struct settings_section *def, int line)
{
	struct section *s = g_new0(struct section, 1);
	struct entry_peer peer = { 0 };

	s->def = def;
	s->name = g_strdup(name);
	s->line = line;
	if (def->is_named_peer) {
		s->peer = r->peers->len;
		cs_copy(peer.id, sizeof(peer.id), name + strlen("peer "));
		g_array_append_val(r->peers, peer);
	}
	g_ptr_array_add(r->sections, s);
	return s;
}

/* All sections "peer NAME" share one definition. */
static const struct settings_section *find_section_def(
	const struct settings_schema *schema, const char *name)
{
	bool is_named_peer = g_str_has_prefix(name, "peer ");
	size_t i;

	for (i = 0; i < schema->sections_nr; i++)
		if (schema->sections[i].is_named_peer ?
			    is_named_peer :
			    !strcmp(schema->sections[i].name, name))
			return &schema->sections[i];
	return NULL;
}

/* Starts a section. Keys of an invalid section are skipped. */
static void start_section(struct settings_reader *r, const char *name)
{
	static const struct settings_key peer_name =
		NAME("NAME", PEER_FIELD(id));
	const struct settings_section *def = find_section_def(r->schema, name);
	char id[CS_NAME_MAX];
	struct section *s;

	r->has_header = true;
	r->current = NULL;
	if (!def) {
		add_fault(r, r->line, name, "\"[%s]\", expected one of %s",
			  name, r->schema->expected);
		return;
	}
	s = find_section(r, name);
	if (s) {
		add_fault(r, r->line, name,
			  "\"[%s]\" again, expected it once (see line %d)",
			  name, s->line);
		return;
	}
	s = add_section(r, name, def, r->line);
	if (def->is_named_peer &&
	    !peer_name.type->parse(&peer_name, name + strlen("peer "), id))
		add_key_fault(r, r->line, s, &peer_name,
			      name + strlen("peer "));
	r->current = s;
}

/* Cuts off a comment: ";" or "#" at the start, or ";" after white space. */
static void strip_comment(char *line)
{
	char *p = line;

	if (*line == ';' || *line == '#')
		*line = '\0';
	while ((p = strchr(p, ';'))) {
		if (p > line && g_ascii_isspace(p[-1])) {
			*p = '\0';
			return;
		}
		p++;
	}
}

/*
 * Checks the syntax of a line before inih gets it, and parses section headers.
 * inih reports neither line numbers nor empty sections, and only the first
 * error. Returns false if inih must not get the line.
 */
static bool check_line(struct settings_reader *r, char *line, size_t max)
{
	char *close;

	if (strlen(line) + 3 > max) {
		add_fault(r, r->line, "line",
			  "%zu characters, expected at most %zu", strlen(line),
			  max - 3);
		return false;
	}
	strip_comment(line);
	g_strchomp(line);
	if (!*line)
		return false;
	if (*line != '[') {
		if (strpbrk(line, "=:"))
			return true;
		add_fault(r, r->line, "line",
			  "no \"=\", expected [section] or key = value");
		return false;
	}
	close = strchr(line, ']');
	if (!close) {
		r->current = NULL;
		r->has_header = true;
		add_fault(r, r->line, "line",
			  "\"[\" without \"]\", expected "
			  "[section]");
		return false;
	}
	*close = '\0';
	start_section(r, g_strstrip(line + 1));
	return false;
}

/* Line reader for inih. Lines that inih must not get are passed as empty. */
static char *read_line(char *out, int size, void *stream)
{
	struct settings_reader *r = stream;
	char *line;

	if (getline(&r->buf, &r->buf_size, r->file) < 0)
		return NULL;
	r->line++;
	line = r->buf;
	if (r->line == 1 && g_str_has_prefix(line, "\xef\xbb\xbf"))
		line += 3; /* byte order mark */
	while (g_ascii_isspace(*line))
		line++;
	if (!check_line(r, line, (size_t)size))
		line = "";
	g_snprintf(out, (gulong)size, "%s\n", line);
	return out;
}

/* Lists all keys of a section, for the fault of an unknown one. */
static char *list_keys(const struct settings_section *def)
{
	GString *out = g_string_new(NULL);
	size_t i;

	for (i = 0; i < def->keys_nr; i++)
		g_string_append_printf(out, "%s%s", i ? ", " : "",
				       def->keys[i].name);
	return g_string_free(out, FALSE);
}

/*
 * Value handler for inih. The value of an unknown key is not shown: it may be
 * a secret under a misspelled name.
 */
static int handle_key(void *user, const char *unused, const char *name,
		      const char *value)
{
	struct settings_reader *r = user;
	struct section *s = r->current;
	const struct settings_key *key;
	char *key_name, *keys;
	size_t i;

	(void)unused; /* inih truncates section names to 49 characters */
	if (!s) {
		if (!r->has_header)
			add_fault(r, r->line, name,
				  "\"%s\", expected a "
				  "[section] before it",
				  name);
		return 1;
	}
	for (i = 0; i < s->def->keys_nr; i++)
		if (!strcmp(s->def->keys[i].name, name))
			break;
	key_name = g_strdup_printf("%s.%s", s->name, name);
	if (i == s->def->keys_nr) {
		keys = list_keys(s->def);
		add_fault(r, r->line, key_name, "\"%s\", expected one of %s",
			  name, keys);
		g_free(keys);
		g_free(key_name);
		return 1;
	}
	key = &s->def->keys[i];
	if (s->key_lines[i])
		add_fault(r, r->line, key_name,
			  "\"%s\" again, expected it once (see line %d)", name,
			  s->key_lines[i]);
	else if (!parse_key(r, s, key, value))
		add_key_fault(r, r->line, s, key, value);
	if (!s->key_lines[i])
		s->key_lines[i] = r->line;
	g_free(key_name);
	return 1;
}

/* Sets missing keys to their defaults, or reports required ones. */
static void complete_section(struct settings_reader *r, const struct section *s)
{
	const struct settings_key *key;
	size_t i;

	for (i = 0; i < s->def->keys_nr; i++) {
		key = &s->def->keys[i];
		if (s->key_lines[i])
			continue;
		if (!key->default_value)
			add_key_fault(r, s->line ? s->line : r->line, s, key,
				      NULL);
		else if (*key->default_value)
			parse_key(r, s, key, key->default_value);
	}
}

/*
 * Adds the sections that the file lacks, so that their defaults apply and their
 * required keys are reported.
 */
static void complete_sections(struct settings_reader *r)
{
	size_t i;

	for (i = 0; i < r->schema->sections_nr; i++) {
		const struct settings_section *def = &r->schema->sections[i];

		if (!def->is_named_peer && !find_section(r, def->name))
			add_section(r, def->name, def, 0);
	}
	for (i = 0; i < r->sections->len; i++)
		complete_section(r, g_ptr_array_index(r->sections, i));
}

void settings_for_each_section(struct settings_reader *r,
			       settings_section_fn fn, void *ctx)
{
	guint i;

	for (i = 0; i < r->sections->len; i++) {
		const struct section *s = g_ptr_array_index(r->sections, i);

		fn(ctx, s->def, s->name, s->line, section_base(r, s));
	}
}

void settings_add_fault(struct settings_reader *r, int line, const char *what,
			const char *message)
{
	add_fault(r, line, what, "%s", message);
}

/*
 * Opens the file and checks its type and permissions. They are those of the
 * open file, so that it can't be replaced between check and use.
 */
static bool open_file(struct settings_reader *r)
{
	struct stat st;

	r->file = fopen(r->path, "re");
	if (!r->file || fstat(fileno(r->file), &st)) {
		add_fault(r, 0, "file", "\"%s\", expected a readable file",
			  g_strerror(errno));
		return false;
	}
	if (!S_ISREG(st.st_mode)) {
		add_fault(r, 0, "file", "no regular file, expected one");
		return false;
	}
	if (r->schema->holds_secrets && (st.st_mode & 077))
		add_fault(r, 0, "file",
			  "mode %04o, expected 0600, since it holds secrets",
			  st.st_mode & 07777);
	return true;
}

static void free_section(void *item)
{
	struct section *s = item;

	g_free(s->name);
	g_free(s);
}

/*
 * Releases the reader; false if there were faults. The buffer is cleared since
 * it may hold a secret.
 */
static bool close_reader(struct settings_reader *r)
{
	if (r->file)
		fclose(r->file);
	if (r->buf)
		sodium_memzero(r->buf, r->buf_size);
	free(r->buf);
	g_ptr_array_free(r->sections, TRUE);
	return !r->has_fault;
}

bool settings_file_read(const char *path, const struct settings_schema *schema,
			void *fields, GArray *peers, GString *faults)
{
	struct settings_reader r = { .path = path,
				     .schema = schema,
				     .fields = fields,
				     .peers = peers,
				     .faults = faults };
	int line;

	r.sections = g_ptr_array_new_with_free_func(free_section);
	if (sodium_init() < 0) {
		add_fault(&r, 0, "file",
			  "an error of libsodium, expected it to initialize");
		return close_reader(&r);
	}
	if (!open_file(&r))
		return close_reader(&r);
	line = ini_parse_stream(read_line, &r, handle_key, &r);
	if (line && !r.has_fault)
		add_fault(&r, MAX(line, 0), "line",
			  "a line without key and value, expected key = value");
	complete_sections(&r);
	if (schema->check)
		schema->check(&r, fields);
	return close_reader(&r);
}
