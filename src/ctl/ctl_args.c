#include "ctl_args.h"

#include <inttypes.h>
#include <limits.h>
#include <stddef.h>
#include <string.h>

#include "../base/error.h"
#include "../settings/settings_value.h"

/* A change must be in force everywhere within 7 s; the rest is margin. */
#define TIMEOUT_DEFAULT_S 10
#define TIMEOUT_MAX_S 3600

/* Value of an integer option that was not given. */
#define OPTION_UNSET INT_MIN

/* Upper bound of the options of one verb, with the terminating entry. */
#define VERB_OPTIONS_MAX 16

/* Options specific to verbs, as bits of the masks in struct verb. */
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

/* Storage that GLib fills when it parses an option. */
union option_value {
	gint number;
	gboolean flag;
	gchar *text;
};

/* An option: its syntax, the accepted values and the field it sets. */
struct verb_option {
	const char *name;
	const char *metavar;
	size_t offset; /* of the field in struct change */
	const struct settings_type *value_type; /* text; NULL: no field */
	GOptionArg type;
	unsigned bit;
	int min, max; /* number options */
	int default_value; /* optional number options */
};

#define CHANGE_FIELD(name) offsetof(struct change, name)
#define TEXT_OPTION(bit, name, field, value_type, metavar)                     \
	{                                                                      \
		name, metavar, CHANGE_FIELD(field), value_type,                \
			G_OPTION_ARG_STRING, bit, 0, 0, 0                      \
	}
#define NUMBER_OPTION(bit, name, field, min, max, default_value)               \
	{                                                                      \
		name, "N", CHANGE_FIELD(field), NULL, G_OPTION_ARG_INT, bit,   \
			min, max, default_value                                \
	}
#define FLAG_OPTION(bit, name, field)                                          \
	{                                                                      \
		name, NULL, CHANGE_FIELD(field), NULL, G_OPTION_ARG_NONE, bit, \
			0, 0, 0                                                \
	}

static const struct verb_option verb_options[] = {
	NUMBER_OPTION(OPT_SHARE, "share", share, 1, 1000, 0),
	NUMBER_OPTION(OPT_LIMIT, "limit", limit, 0, 1000000, 0),
	TEXT_OPTION(OPT_LABEL, "label", label, &settings_name, "L"),
	{ "key-file", "F", 0, NULL, G_OPTION_ARG_FILENAME, OPT_KEY_FILE, 0, 0,
	  0 },
	FLAG_OPTION(OPT_SPARE, "spare", is_spare),
	/* One host of ten: the smallest pools have 8 to 12 workers. */
	NUMBER_OPTION(OPT_BUDGET, "budget-percent", budget_percent, 0, 100, 10),
	TEXT_OPTION(OPT_POOL, "pool", pool, &settings_name, "P"),
	FLAG_OPTION(OPT_OPEN, "open", is_open),
	TEXT_OPTION(OPT_TEAM, "team", team, &settings_name, "T"),
	TEXT_OPTION(OPT_RACK, "rack", rack, &settings_name, "R"),
	TEXT_OPTION(OPT_DATA_CENTRE, "data-centre", data_centre, &settings_name,
		    "D"),
	TEXT_OPTION(OPT_HOST, "host", host, &settings_name, "H"),
	TEXT_OPTION(OPT_ADDRESS, "address", address, &settings_address, "A"),
	NUMBER_OPTION(OPT_SLOTS, "slots", slots, 1, 4096, 0),
};

#define VERB_OPTIONS_NR G_N_ELEMENTS(verb_options)

/* Parses the argument of a verb. On failure, appends a message. */
typedef bool (*parse_argument_fn)(struct ctl_request *rq, const char *value,
				  GString *message);

struct verb {
	const char *group; /* "team" */
	const char *name; /* "set"; NULL if the verb is a single word */
	const char *argument; /* name in the usage text; NULL: none */
	parse_argument_fn parse_argument;
	unsigned required, optional; /* OPT_* masks */
	enum ctl_action action;
	enum change_op op;
	/* Validates combinations of options; NULL: none. */
	bool (*check)(const struct ctl_request *rq, GString *message);
};

static const struct settings_key name_key = {
	"", &settings_name, 0, 1, CS_NAME_MAX - 1, "characters", NULL
};

/* Parses value as a settings file's value of that type. */
static bool parse_text(const struct settings_type *type, const char *title,
		       const char *value, void *field, GString *message)
{
	if (type->parse(&name_key, value, field))
		return true;
	g_string_append_printf(message, "%s: got \"%s\", expected ", title,
			       value);
	type->describe(&name_key, message);
	return false;
}

static bool parse_name(struct ctl_request *rq, const char *value,
		       GString *message)
{
	return parse_text(&settings_name, "name", value, rq->change.name,
			  message);
}

static bool parse_file(struct ctl_request *rq, const char *value,
		       GString *message)
{
	(void)message;
	rq->file = g_strdup(value);
	return true;
}

/* Revisions start at 1. */
static bool parse_revision(struct ctl_request *rq, const char *value,
			   GString *message)
{
	guint64 n;

	if (!g_ascii_string_to_unsigned(value, 10, 1, G_MAXINT64, &n, NULL)) {
		g_string_append_printf(message,
				       "revision: got \"%s\", expected a "
				       "number from 1",
				       value);
		return false;
	}
	rq->revision = n;
	return true;
}

/*
 * Requests to an open queue carry no key, so the queue names the team that is
 * charged for them.
 */
static bool check_queue(const struct ctl_request *rq, GString *message)
{
	if (rq->change.is_open == (*rq->change.team != '\0'))
		return true;
	g_string_append(message, "--open and --team go together");
	return false;
}

#define CHANGE_VERB(group, name, required, optional, op)                       \
	{                                                                      \
		group, name, "NAME", parse_name, required, optional,           \
			CTL_CHANGE, op, NULL                                   \
	}
#define SIMPLE_VERB(name, action)                                              \
	{                                                                      \
		name, NULL, NULL, NULL, 0, 0, action, CHANGE_OP_NR, NULL       \
	}

static const struct verb verbs[] = {
	SIMPLE_VERB("status", CTL_STATUS),
	CHANGE_VERB("team", "set", OPT_SHARE | OPT_LIMIT, 0, CHANGE_TEAM_SET),
	CHANGE_VERB("team", "remove", 0, 0, CHANGE_TEAM_REMOVE),
	{ "key", "grant", "TEAM", parse_name, OPT_LABEL, OPT_KEY_FILE,
	  CTL_KEY_GRANT, CHANGE_KEY_GRANT, NULL },
	{ "key", "withdraw", "TEAM", parse_name, OPT_LABEL, 0, CTL_CHANGE,
	  CHANGE_KEY_WITHDRAW, NULL },
	CHANGE_VERB("pool", "set", 0, OPT_SPARE | OPT_BUDGET, CHANGE_POOL_SET),
	{ "queue", "set", "NAME", parse_name, OPT_POOL, OPT_OPEN | OPT_TEAM,
	  CTL_CHANGE, CHANGE_QUEUE_SET, check_queue },
	CHANGE_VERB("host", "set", OPT_RACK | OPT_DATA_CENTRE | OPT_POOL, 0,
		    CHANGE_HOST_SET),
	CHANGE_VERB("host", "drain", 0, 0, CHANGE_HOST_DRAIN),
	CHANGE_VERB("host", "return", 0, 0, CHANGE_HOST_RETURN),
	CHANGE_VERB("host", "move", OPT_POOL, 0, CHANGE_HOST_MOVE),
	CHANGE_VERB("worker", "set", OPT_HOST | OPT_ADDRESS | OPT_SLOTS, 0,
		    CHANGE_WORKER_SET),
	CHANGE_VERB("data-centre", "out", 0, 0, CHANGE_DATA_CENTRE_OUT),
	CHANGE_VERB("data-centre", "in", 0, 0, CHANGE_DATA_CENTRE_IN),
	CHANGE_VERB("preset", NULL, 0, 0, CHANGE_PRESET),
	{ "document", "get", NULL, NULL, 0, 0, CTL_DOCUMENT_GET, CHANGE_OP_NR,
	  NULL },
	{ "document", "check", "FILE", parse_file, 0, 0, CTL_DOCUMENT_CHECK,
	  CHANGE_OP_NR, NULL },
	{ "document", "apply", "FILE", parse_file, 0, 0, CTL_DOCUMENT_APPLY,
	  CHANGE_OP_NR, NULL },
	SIMPLE_VERB("plan", CTL_PLAN),
	SIMPLE_VERB("history", CTL_HISTORY),
	{ "diff", NULL, "FILE", parse_file, 0, 0, CTL_DOCUMENT_DIFF,
	  CHANGE_OP_NR, NULL },
	{ "wait", NULL, "REVISION", parse_revision, 0, 0, CTL_WAIT,
	  CHANGE_OP_NR, NULL },
	SIMPLE_VERB("help", CTL_HELP),
};

/* Options accepted by every verb, before or after it. */
static void fill_common_options(struct ctl_request *rq, GOptionEntry *e)
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

#define COMMON_OPTIONS_NR 7

/*
 * Parses options with GLib and removes them from args. GLib's own --help is
 * turned off because it prints and exits the process.
 */
static bool parse_options(const GOptionEntry *options, bool stop_at_verb,
			  char ***args, GString *message)
{
	GOptionContext *ctx = g_option_context_new(NULL);
	GError *error = NULL;
	bool is_valid;

	g_option_context_set_help_enabled(ctx, FALSE);
	g_option_context_set_strict_posix(ctx, stop_at_verb);
	g_option_context_add_main_entries(ctx, options, NULL);
	is_valid = g_option_context_parse_strv(ctx, args, &error);
	if (!is_valid) {
		g_string_append(message, error->message);
		g_error_free(error);
	}
	g_option_context_free(ctx);
	return is_valid;
}

/* Returns the verb at the start of args and its number of words, or NULL. */
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

/* Validates an option parsed by GLib and stores it in the change. */
static bool store_option(const struct verb_option *o,
			 const union option_value *v, bool is_required,
			 struct ctl_request *rq, GString *message)
{
	char *field = (char *)&rq->change + o->offset;

	if (o->type == G_OPTION_ARG_NONE) {
		*(bool *)field = v->flag;
		return true;
	}
	if (o->type == G_OPTION_ARG_INT) {
		if (v->number == OPTION_UNSET && !is_required) {
			*(int *)field = o->default_value;
			return true;
		}
		if (v->number != OPTION_UNSET && v->number >= o->min &&
		    v->number <= o->max) {
			*(int *)field = v->number;
			return true;
		}
		if (v->number == OPTION_UNSET)
			g_string_append_printf(message, "--%s is missing",
					       o->name);
		else
			g_string_append_printf(message,
					       "--%s: got \"%d\", expected a "
					       "number from %d to %d",
					       o->name, v->number, o->min,
					       o->max);
		return false;
	}
	if (v->text)
		return !o->value_type || parse_text(o->value_type, o->name,
						    v->text, field, message);
	if (is_required)
		g_string_append_printf(message, "--%s is missing", o->name);
	return !is_required;
}

/* Parses the options of the verb and removes them from args. */
static bool parse_verb_options(const struct verb *verb, char ***args,
			       struct ctl_request *rq, GString *message)
{
	union option_value values[VERB_OPTIONS_NR] = { 0 };
	GOptionEntry options[VERB_OPTIONS_MAX + COMMON_OPTIONS_NR] = { 0 };
	unsigned accepted = verb->required | verb->optional;
	bool is_valid;
	size_t i, n = COMMON_OPTIONS_NR;

	fill_common_options(rq, options);
	for (i = 0; i < VERB_OPTIONS_NR; i++) {
		if (!(accepted & verb_options[i].bit))
			continue;
		if (verb_options[i].type == G_OPTION_ARG_INT)
			values[i].number = OPTION_UNSET;
		options[n].long_name = verb_options[i].name;
		options[n].arg = verb_options[i].type;
		options[n++].arg_data = &values[i];
	}
	is_valid = parse_options(options, false, args, message);
	for (i = 0; i < VERB_OPTIONS_NR && is_valid; i++)
		if (accepted & verb_options[i].bit)
			is_valid = store_option(&verb_options[i], &values[i],
						verb->required &
							verb_options[i].bit,
						rq, message);
	for (i = 0; i < VERB_OPTIONS_NR; i++) {
		if (verb_options[i].bit == OPT_KEY_FILE)
			rq->key_file = g_strdup(values[i].text);
		if (verb_options[i].type != G_OPTION_ARG_INT &&
		    verb_options[i].type != G_OPTION_ARG_NONE)
			g_free(values[i].text);
	}
	return is_valid;
}

/* Validates the common options against what the action requires. */
static bool check_common_options(const struct ctl_request *rq, GString *message)
{
	bool is_change = rq->action == CTL_CHANGE ||
			 rq->action == CTL_KEY_GRANT ||
			 rq->action == CTL_DOCUMENT_APPLY;
	bool is_local = rq->action == CTL_DOCUMENT_CHECK ||
			rq->action == CTL_HELP;
	char address[CS_ADDRESS_MAX];

	if (!rq->entry && !is_local) {
		g_string_append(message, "--entry is missing");
		return false;
	}
	if (rq->entry && !parse_text(&settings_address, "entry", rq->entry,
				     address, message))
		return false;
	if (is_change && !rq->token_file) {
		g_string_append(message, "--token-file is missing");
		return false;
	}
	if (rq->timeout_s < 1 || rq->timeout_s > TIMEOUT_MAX_S) {
		g_string_append_printf(message,
				       "--timeout: got \"%d\", expected a "
				       "number of seconds from 1 to %d",
				       rq->timeout_s, TIMEOUT_MAX_S);
		return false;
	}
	if (rq->expected < 0) {
		g_string_append(message, "--expected must not be negative");
		return false;
	}
	return true;
}

/* Parses the verb, its options and its argument. */
static bool parse_verb(char ***args, struct ctl_request *rq, GString *message)
{
	const struct verb *verb;
	int words, arguments_nr;
	char **rest;
	bool is_valid;

	if (!(*args)[1]) {
		g_string_append(message, "missing verb; see \"ctl help\"");
		return false;
	}
	verb = find_verb(*args + 1, &words);
	if (!verb) {
		g_string_append_printf(message,
				       "unknown verb \"%s%s%s\"; see "
				       "\"ctl help\"",
				       (*args)[1], (*args)[2] ? " " : "",
				       (*args)[2] ? (*args)[2] : "");
		return false;
	}
	rq->action = verb->action;
	rq->change.op = verb->op;
	/* GLib skips the first word, which is normally the program name. */
	rest = g_strdupv(*args + words);
	is_valid = parse_verb_options(verb, &rest, rq, message);
	arguments_nr = (int)g_strv_length(rest) - 1;
	if (is_valid && arguments_nr != (verb->argument ? 1 : 0)) {
		g_string_append_printf(
			message, "got %d arguments, expected %s", arguments_nr,
			verb->argument ? verb->argument : "none");
		is_valid = false;
	}
	if (is_valid && verb->argument)
		is_valid = verb->parse_argument(rq, rest[1], message);
	if (is_valid && verb->check)
		is_valid = verb->check(rq, message);
	g_strfreev(rest);
	return is_valid;
}

int ctl_parse(int argc, char **argv, struct ctl_request *rq, GString *message)
{
	GOptionEntry options[COMMON_OPTIONS_NR + 1] = { 0 };
	char **args = g_new0(char *, (size_t)argc + 1);
	bool is_valid;
	int i;

	memset(rq, 0, sizeof(*rq));
	rq->timeout_s = TIMEOUT_DEFAULT_S;
	for (i = 0; i < argc; i++)
		args[i] = g_strdup(argv[i]);
	fill_common_options(rq, options);
	is_valid = parse_options(options, true, &args, message) &&
		   parse_verb(&args, rq, message) &&
		   check_common_options(rq, message);
	g_strfreev(args);
	return is_valid ? CS_OK : CS_ERR_INVALID;
}

void ctl_request_clear(struct ctl_request *rq)
{
	g_free(rq->entry);
	g_free(rq->token_file);
	g_free(rq->key_file);
	g_free(rq->file);
	memset(rq, 0, sizeof(*rq));
}

/* Appends " --share N" if the verb requires it, else " [--share N]". */
static void append_option_usage(GString *out, const struct verb *verb,
				const struct verb_option *o)
{
	bool is_required = verb->required & o->bit;

	if (!((verb->required | verb->optional) & o->bit))
		return;
	g_string_append_printf(out, " %s--%s%s%s%s", is_required ? "" : "[",
			       o->name, o->metavar ? " " : "",
			       o->metavar ? o->metavar : "",
			       is_required ? "" : "]");
}

void ctl_append_usage(GString *out)
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
		for (j = 0; j < VERB_OPTIONS_NR; j++)
			append_option_usage(out, v, &verb_options[j]);
		g_string_append_c(out, '\n');
	}
	g_string_append(out,
			"\nexit codes: 0 done and in force, 1 refused, 2 wrong "
			"usage,\n3 accepted but not in force everywhere in "
			"time, 4 entry not reachable,\n5 another change came "
			"first\n");
}
