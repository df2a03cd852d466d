#include "ctl_args.h"

#include <inttypes.h>
#include <limits.h>
#include <stddef.h>
#include <string.h>

#include "../base/error.h"
#include "../settings/settings_value.h"

/* A change must be in force everywhere within 7 s; a little more is waited. */
#define TIMEOUT_DEFAULT_S 10
#define TIMEOUT_MAX_S 3600

/* An integer option that was not given. */
#define NOT_GIVEN INT_MIN

/* Room for the options of one verb and those of every verb. */
#define ENTRIES_MAX 16

/* The options that verbs take; a verb names them as bits. */
enum {
	OPT_SHARE = 1 << 0,
	OPT_LIMIT = 1 << 1,
	OPT_LABEL = 1 << 2,
	OPT_KEY_FILE = 1 << 3,
	OPT_SPARE = 1 << 4,
	OPT_BUDGET = 1 << 5,
	OPT_POOL = 1 << 6,
	OPT_OPEN = 1 << 7,
	OPT_TEAM = 1 << 8,
	OPT_RACK = 1 << 9,
	OPT_DATA_CENTRE = 1 << 10,
	OPT_HOST = 1 << 11,
	OPT_ADDRESS = 1 << 12,
	OPT_SLOTS = 1 << 13,
};

/* Where GLib stores an option before it is checked. */
union option_value {
	gint number;
	gboolean flag;
	gchar *text;
};

/* One option: how it is written, checked, and where it goes. */
struct verb_option {
	const char *name;
	const char *metavar;
	size_t offset; /* of the field in struct change */
	const struct settings_kind *kind; /* of a text; NULL: not a field */
	GOptionArg type;
	unsigned bit;
	int min, max; /* of a number */
	int fallback; /* of a number that may be left out */
};

#define FIELD(name) offsetof(struct change, name)
#define TEXT(bit, name, field, kind, metavar)                                  \
	{                                                                      \
		name, metavar, FIELD(field), kind, G_OPTION_ARG_STRING, bit,   \
			0, 0, 0                                                \
	}
#define NUMBER(bit, name, field, min, max, fallback)                           \
	{                                                                      \
		name, "N", FIELD(field), NULL, G_OPTION_ARG_INT, bit, min,     \
			max, fallback                                          \
	}
#define FLAG(bit, name, field)                                                 \
	{                                                                      \
		name, NULL, FIELD(field), NULL, G_OPTION_ARG_NONE, bit, 0, 0,  \
			0                                                      \
	}

static const struct verb_option verb_options[] = {
	NUMBER(OPT_SHARE, "share", share, 1, 1000, 0),
	NUMBER(OPT_LIMIT, "limit", limit, 0, 1000000, 0),
	TEXT(OPT_LABEL, "label", label, &settings_name, "L"),
	{ "key-file", "F", 0, NULL, G_OPTION_ARG_FILENAME, OPT_KEY_FILE, 0, 0,
	  0 },
	FLAG(OPT_SPARE, "spare", is_spare),
	/* One host of ten: the smallest pools today have 8 to 12 workers. */
	NUMBER(OPT_BUDGET, "budget-percent", budget_percent, 0, 100, 10),
	TEXT(OPT_POOL, "pool", pool, &settings_name, "P"),
	FLAG(OPT_OPEN, "open", is_open),
	TEXT(OPT_TEAM, "team", team, &settings_name, "T"),
	TEXT(OPT_RACK, "rack", rack, &settings_name, "R"),
	TEXT(OPT_DATA_CENTRE, "data-centre", data_centre, &settings_name, "D"),
	TEXT(OPT_HOST, "host", host, &settings_name, "H"),
	TEXT(OPT_ADDRESS, "address", address, &settings_address, "A"),
	NUMBER(OPT_SLOTS, "slots", slots, 1, 4096, 0),
};

#define OPTIONS_NR G_N_ELEMENTS(verb_options)

/* How a verb reads its argument. False with the fault appended. */
typedef bool (*argument_fn)(struct ctl_request *rq, const char *value,
			    GString *fault);

struct verb {
	const char *group; /* "team" */
	const char *name; /* "set"; NULL: the verb is one word */
	const char *argument; /* "NAME"; NULL: none */
	argument_fn take_argument;
	unsigned needs, takes; /* options that must, and that may be given */
	enum ctl_action action;
	enum change_op op;
	/* What no single option shows; NULL: nothing. */
	bool (*check)(const struct ctl_request *rq, GString *fault);
};

static const struct settings_key name_rule = {
	"", &settings_name, 0, 1, CS_NAME_MAX - 1, "characters", NULL
};

/* Reads text as a value of that kind, as the settings do. */
static bool take_text(const struct settings_kind *kind, const char *title,
		      const char *value, void *field, GString *fault)
{
	if (kind->parse(&name_rule, value, field))
		return true;
	g_string_append_printf(fault, "%s: got \"%s\", expected ", title,
			       value);
	kind->describe(&name_rule, fault);
	return false;
}

static bool take_name(struct ctl_request *rq, const char *value, GString *fault)
{
	return take_text(&settings_name, "name", value, rq->change.name, fault);
}

static bool take_file(struct ctl_request *rq, const char *value, GString *fault)
{
	(void)fault;
	rq->file = g_strdup(value);
	return true;
}

/* The revision to wait for; revisions start at 1. */
static bool take_revision(struct ctl_request *rq, const char *value,
			  GString *fault)
{
	guint64 n;

	if (!g_ascii_string_to_unsigned(value, 10, 1, G_MAXINT64, &n, NULL)) {
		g_string_append_printf(fault,
				       "revision: got \"%s\", expected a "
				       "number from 1",
				       value);
		return false;
	}
	rq->revision = n;
	return true;
}

/* Open work has no key, so the queue says which team is charged for it. */
static bool check_queue(const struct ctl_request *rq, GString *fault)
{
	if (rq->change.is_open == (*rq->change.team != '\0'))
		return true;
	g_string_append(fault, "--open and --team go together");
	return false;
}

#define CHANGE(group, name, needs, takes, op)                                  \
	{                                                                      \
		group, name, "NAME", take_name, needs, takes, CTL_CHANGE, op,  \
			NULL                                                   \
	}
#define PLAIN(name, action)                                                    \
	{                                                                      \
		name, NULL, NULL, NULL, 0, 0, action, CHANGE_OP_NR, NULL       \
	}

static const struct verb verbs[] = {
	PLAIN("status", CTL_STATUS),
	CHANGE("team", "set", OPT_SHARE | OPT_LIMIT, 0, CHANGE_TEAM_SET),
	CHANGE("team", "remove", 0, 0, CHANGE_TEAM_REMOVE),
	{ "key", "grant", "TEAM", take_name, OPT_LABEL, OPT_KEY_FILE,
	  CTL_KEY_GRANT, CHANGE_KEY_GRANT, NULL },
	{ "key", "withdraw", "TEAM", take_name, OPT_LABEL, 0, CTL_CHANGE,
	  CHANGE_KEY_WITHDRAW, NULL },
	CHANGE("pool", "set", 0, OPT_SPARE | OPT_BUDGET, CHANGE_POOL_SET),
	{ "queue", "set", "NAME", take_name, OPT_POOL, OPT_OPEN | OPT_TEAM,
	  CTL_CHANGE, CHANGE_QUEUE_SET, check_queue },
	CHANGE("host", "set", OPT_RACK | OPT_DATA_CENTRE | OPT_POOL, 0,
	       CHANGE_HOST_SET),
	CHANGE("host", "drain", 0, 0, CHANGE_HOST_DRAIN),
	CHANGE("host", "return", 0, 0, CHANGE_HOST_RETURN),
	CHANGE("host", "move", OPT_POOL, 0, CHANGE_HOST_MOVE),
	CHANGE("worker", "set", OPT_HOST | OPT_ADDRESS | OPT_SLOTS, 0,
	       CHANGE_WORKER_SET),
	CHANGE("data-centre", "out", 0, 0, CHANGE_DATA_CENTRE_OUT),
	CHANGE("data-centre", "in", 0, 0, CHANGE_DATA_CENTRE_IN),
	CHANGE("preset", NULL, 0, 0, CHANGE_PRESET),
	{ "document", "get", NULL, NULL, 0, 0, CTL_DOCUMENT_GET, CHANGE_OP_NR,
	  NULL },
	{ "document", "check", "FILE", take_file, 0, 0, CTL_DOCUMENT_CHECK,
	  CHANGE_OP_NR, NULL },
	{ "document", "apply", "FILE", take_file, 0, 0, CTL_DOCUMENT_APPLY,
	  CHANGE_OP_NR, NULL },
	PLAIN("plan", CTL_PLAN),
	PLAIN("history", CTL_HISTORY),
	{ "diff", NULL, "FILE", take_file, 0, 0, CTL_DOCUMENT_DIFF,
	  CHANGE_OP_NR, NULL },
	{ "wait", NULL, "REVISION", take_revision, 0, 0, CTL_WAIT, CHANGE_OP_NR,
	  NULL },
	PLAIN("help", CTL_HELP),
};

/* Options of every verb, before or after it. */
static void common_entries(struct ctl_request *rq, GOptionEntry *e)
{
	const GOptionEntry all[] = {
		{ "entry", 0, 0, G_OPTION_ARG_STRING, &rq->entry, NULL, NULL },
		{ "token-file", 0, 0, G_OPTION_ARG_FILENAME, &rq->token_file,
		  NULL, NULL },
		{ "json", 0, 0, G_OPTION_ARG_NONE, &rq->as_json, NULL, NULL },
		{ "dry-run", 0, 0, G_OPTION_ARG_NONE, &rq->is_dry_run, NULL,
		  NULL },
		{ "no-wait", 0, 0, G_OPTION_ARG_NONE, &rq->is_no_wait, NULL,
		  NULL },
		{ "timeout", 0, 0, G_OPTION_ARG_INT, &rq->timeout_s, NULL,
		  NULL },
		{ "expected", 0, 0, G_OPTION_ARG_INT64, &rq->expected, NULL,
		  NULL },
	};

	memcpy(e, all, sizeof(all));
}

#define COMMON_NR 7

/*
 * Parses the options of args in place with GLib, which must neither print
 * nor exit, hence no help of its own.
 */
static bool parse_options(const GOptionEntry *entries, bool stop_at_verb,
			  char ***args, GString *fault)
{
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *error = NULL;
	bool is_good;

	g_option_context_set_help_enabled(ctx, FALSE);
	g_option_context_set_strict_posix(ctx, stop_at_verb);
	g_option_context_add_main_entries(ctx, entries, NULL);
	is_good = g_option_context_parse_strv(ctx, args, &error);
	if (!is_good) {
		g_string_append(fault, error->message);
		g_error_free(error);
	}
	g_option_context_free(ctx);
	return is_good;
}

/* The verb that args begin with, and how many words it took. */
static const struct verb *find_verb(char **args, int *words)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(verbs); i++) {
		if (strcmp(verbs[i].group, args[0]))
			continue;
		*words = verbs[i].name ? 2 : 1;
		if (!verbs[i].name ||
		    (args[1] && !strcmp(verbs[i].name, args[1])))
			return &verbs[i];
	}
	return NULL;
}

/* Checks one option that GLib has read, and puts it into the change. */
static bool take_option(const struct verb_option *o,
			const union option_value *v, bool is_needed,
			struct ctl_request *rq, GString *fault)
{
	char *field = (char *)&rq->change + o->offset;

	if (o->type == G_OPTION_ARG_NONE) {
		*(bool *)field = v->flag;
		return true;
	}
	if (o->type == G_OPTION_ARG_INT) {
		if (v->number == NOT_GIVEN && !is_needed) {
			*(int *)field = o->fallback;
			return true;
		}
		if (v->number != NOT_GIVEN && v->number >= o->min &&
		    v->number <= o->max) {
			*(int *)field = v->number;
			return true;
		}
		if (v->number == NOT_GIVEN)
			g_string_append_printf(fault, "--%s is missing",
					       o->name);
		else
			g_string_append_printf(fault,
					       "--%s: got \"%d\", expected a "
					       "number from %d to %d",
					       o->name, v->number, o->min,
					       o->max);
		return false;
	}
	if (v->text)
		return !o->kind ||
		       take_text(o->kind, o->name, v->text, field, fault);
	if (is_needed)
		g_string_append_printf(fault, "--%s is missing", o->name);
	return !is_needed;
}

/* Reads the options of the verb, and takes them out of args. */
static bool take_options(const struct verb *verb, char ***args,
			 struct ctl_request *rq, GString *fault)
{
	union option_value values[OPTIONS_NR] = { 0 };
	GOptionEntry entries[ENTRIES_MAX + COMMON_NR] = { 0 };
	unsigned bits = verb->needs | verb->takes;
	bool is_good;
	size_t i, n = COMMON_NR;

	common_entries(rq, entries);
	for (i = 0; i < OPTIONS_NR; i++) {
		if (!(bits & verb_options[i].bit))
			continue;
		if (verb_options[i].type == G_OPTION_ARG_INT)
			values[i].number = NOT_GIVEN;
		entries[n].long_name = verb_options[i].name;
		entries[n].arg = verb_options[i].type;
		entries[n++].arg_data = &values[i];
	}
	is_good = parse_options(entries, false, args, fault);
	for (i = 0; i < OPTIONS_NR && is_good; i++)
		if (bits & verb_options[i].bit)
			is_good = take_option(&verb_options[i], &values[i],
					      verb->needs & verb_options[i].bit,
					      rq, fault);
	for (i = 0; i < OPTIONS_NR; i++) {
		if (verb_options[i].bit == OPT_KEY_FILE)
			rq->key_file = g_strdup(values[i].text);
		if (verb_options[i].type != G_OPTION_ARG_INT &&
		    verb_options[i].type != G_OPTION_ARG_NONE)
			g_free(values[i].text);
	}
	return is_good;
}

/* What every verb needs: where the entry is, and the right to change it. */
static bool check_common(const struct ctl_request *rq, GString *fault)
{
	bool is_change = rq->action == CTL_CHANGE ||
			 rq->action == CTL_KEY_GRANT ||
			 rq->action == CTL_DOCUMENT_APPLY;
	bool is_local = rq->action == CTL_DOCUMENT_CHECK ||
			rq->action == CTL_HELP;
	char address[CS_ADDRESS_MAX];

	if (!rq->entry && !is_local) {
		g_string_append(fault, "--entry is missing");
		return false;
	}
	if (rq->entry &&
	    !take_text(&settings_address, "entry", rq->entry, address, fault))
		return false;
	if (is_change && !rq->token_file) {
		g_string_append(fault, "--token-file is missing");
		return false;
	}
	if (rq->timeout_s < 1 || rq->timeout_s > TIMEOUT_MAX_S) {
		g_string_append_printf(fault,
				       "--timeout: got \"%d\", expected a "
				       "number of seconds from 1 to %d",
				       rq->timeout_s, TIMEOUT_MAX_S);
		return false;
	}
	if (rq->expected < 0) {
		g_string_append(fault, "--expected must not be negative");
		return false;
	}
	return true;
}

/*
 * Reads the verb, its options and its argument. Returns false with the fault
 * filled.
 */
static bool parse_verb(char ***args, struct ctl_request *rq, GString *fault)
{
	const struct verb *verb;
	int words, left;
	char **rest;
	bool is_good;

	if (!(*args)[1]) {
		g_string_append(fault, "no verb; see \"ctl help\"");
		return false;
	}
	verb = find_verb(*args + 1, &words);
	if (!verb) {
		g_string_append_printf(fault,
				       "\"%s%s%s\" is no verb; see "
				       "\"ctl help\"",
				       (*args)[1], (*args)[2] ? " " : "",
				       (*args)[2] ? (*args)[2] : "");
		return false;
	}
	rq->action = verb->action;
	rq->change.op = verb->op;
	/* GLib passes over the first word, as it does for a program's name. */
	rest = g_strdupv(*args + words);
	is_good = take_options(verb, &rest, rq, fault);
	left = (int)g_strv_length(rest) - 1;
	if (is_good && left != (verb->argument ? 1 : 0)) {
		g_string_append_printf(
			fault, "got %d arguments, expected %s", left,
			verb->argument ? verb->argument : "none");
		is_good = false;
	}
	if (is_good && verb->argument)
		is_good = verb->take_argument(rq, rest[1], fault);
	if (is_good && verb->check)
		is_good = verb->check(rq, fault);
	g_strfreev(rest);
	return is_good;
}

int ctl_parse(int argc, char **argv, struct ctl_request *rq, GString *fault)
{
	GOptionEntry entries[COMMON_NR + 1] = { 0 };
	char **args = g_new0(char *, (size_t)argc + 1);
	bool is_good;
	int i;

	memset(rq, 0, sizeof(*rq));
	rq->timeout_s = TIMEOUT_DEFAULT_S;
	for (i = 0; i < argc; i++)
		args[i] = g_strdup(argv[i]);
	common_entries(rq, entries);
	is_good = parse_options(entries, true, &args, fault) &&
		  parse_verb(&args, rq, fault) && check_common(rq, fault);
	g_strfreev(args);
	return is_good ? CS_OK : CS_ERR_INVALID;
}

void ctl_request_clear(struct ctl_request *rq)
{
	g_free(rq->entry);
	g_free(rq->token_file);
	g_free(rq->key_file);
	g_free(rq->file);
	memset(rq, 0, sizeof(*rq));
}

/* Appends " --share N" for a needed option, " [--share N]" for another. */
static void append_option(GString *out, const struct verb *verb,
			  const struct verb_option *o)
{
	bool is_needed = verb->needs & o->bit;

	if (!((verb->needs | verb->takes) & o->bit))
		return;
	g_string_append_printf(out, " %s--%s%s%s%s", is_needed ? "" : "[",
			       o->name, o->metavar ? " " : "",
			       o->metavar ? o->metavar : "",
			       is_needed ? "" : "]");
}

void ctl_usage(GString *out)
{
	size_t i, j;

	g_string_append(
		out,
		"usage: camphorshed ctl --entry ADDRESS [--token-file FILE] "
		"[--json]\n"
		"       [--dry-run] [--no-wait] [--timeout SECONDS] "
		"[--expected REVISION] VERB\n\n");
	for (i = 0; i < G_N_ELEMENTS(verbs); i++) {
		const struct verb *v = &verbs[i];

		g_string_append_printf(out, "  %s%s%s%s%s", v->group,
				       v->name ? " " : "",
				       v->name ? v->name : "",
				       v->argument ? " " : "",
				       v->argument ? v->argument : "");
		for (j = 0; j < OPTIONS_NR; j++)
			append_option(out, v, &verb_options[j]);
		g_string_append_c(out, '\n');
	}
	g_string_append(out,
			"\nexit codes: 0 done and in force, 1 refused, 2 wrong "
			"usage,\n3 accepted but not in force everywhere in "
			"time, 4 entry not reachable,\n5 another change came "
			"first\n");
}
