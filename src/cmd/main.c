#include <glib.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include "../camphorshed.h"
#include "../../platform/node_run.h"
#include "../ctl/ctl.h"
#include "../entry/entry_run.h"
#include "../explain/explain.h"
#include "../settings/check_config.h"

/* Exit codes of all commands except ctl, which has its own. */
enum { EXIT_OK = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

struct command {
	const char *name;
	const char *arguments;
	const char *summary;
	int (*run)(int argc, char **argv);
	void (*help)(FILE *out); /* NULL: print arguments and summary */
};

static int entry_main(int argc, char **argv);
static int node_main(int argc, char **argv);

static const struct command commands[] = {
	{ "entry", "-c FILE", "run an entry until SIGTERM", entry_main, NULL },
	{ "node", "[-c FILE]", "run an entry on a shared platform", node_main,
	  NULL },
	{ "explain", "JOB [FILE...]",
	  "print the history of a job from the logs", explain_main,
	  explain_help },
	{ "check-config", "FILE", "check a settings file or fleet document",
	  check_config_main, NULL },
	{ "ctl", "VERB ...", "operate a site through one of its entries",
	  ctl_main, ctl_help },
};

static void print_usage(FILE *out)
{
	size_t i;

	fputs("usage: camphorshed COMMAND [ARGUMENTS]\n"
	      "       camphorshed [COMMAND] --help | --version\n\ncommands:\n",
	      out);
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-13s %-9s %s\n", commands[i].name,
			commands[i].arguments, commands[i].summary);
}

/*
 * Parses "-c FILE", the only option of the commands that run an entry. The
 * caller frees *file. Prints an error and returns false for other options; an
 * unexpected argument only makes it return false.
 */
static bool parse_file_option(const char *command, int argc, char **argv,
			      char **file)
{
	const GOptionEntry options[] = { { "config", 'c', 0,
					   G_OPTION_ARG_FILENAME, file,
					   "settings file", "FILE" },
					 G_OPTION_ENTRY_NULL };
	GOptionContext *parser = g_option_context_new(NULL);
	GError *error = NULL;
	bool is_parsed;

	g_option_context_set_help_enabled(parser, FALSE);
	g_option_context_add_main_entries(parser, options, NULL);
	is_parsed = g_option_context_parse(parser, &argc, &argv, &error) &&
		    argc == 1;
	if (error)
		fprintf(stderr, "camphorshed %s: %s\n", command,
			error->message);
	g_clear_error(&error);
	g_option_context_free(parser);
	return is_parsed;
}

static void print_error(const char *command, const struct cs_error *err)
{
	fprintf(stderr, "camphorshed %s: %s %s: %s\n", command, err->step,
		err->peer, err->message);
}

/* Runs an entry until SIGTERM and drains it. Returns an exit code. */
static int entry_main(int argc, char **argv)
{
	GString *faults = g_string_new(NULL);
	struct settings *settings = NULL;
	struct cs_error err = { 0 };
	char *file = NULL;
	int code = EXIT_USAGE;

	if (!parse_file_option("entry", argc, argv, &file) || !file) {
		fputs("usage: camphorshed entry -c FILE\n", stderr);
		goto out;
	}
	settings = settings_read(file, faults);
	if (!settings) {
		fputs(faults->str, stderr);
		goto out;
	}
	code = EXIT_OK;
	if (entry_run(settings, &err)) {
		print_error("entry", &err);
		code = EXIT_FAILED;
	}
out:
	settings_destroy(settings);
	g_string_free(faults, TRUE);
	g_free(file);
	return code;
}

/* Set by the platform to the path of the settings file; -c overrides it. */
#define SETTINGS_FILE_VARIABLE "CAMPHORSHED_BOOT"

/* Runs an entry on a shared platform until SIGTERM. Returns an exit code. */
static int node_main(int argc, char **argv)
{
	GString *faults = g_string_new(NULL);
	struct node_settings *settings = NULL;
	struct cs_error err = { 0 };
	char *file = NULL;
	int code = EXIT_USAGE;
	bool is_parsed = parse_file_option("node", argc, argv, &file);

	if (!file)
		file = g_strdup(g_getenv(SETTINGS_FILE_VARIABLE));
	if (!is_parsed || !file) {
		fputs("usage: camphorshed node [-c FILE]\n"
		      "Without -c, " SETTINGS_FILE_VARIABLE
		      " names the file.\n",
		      stderr);
		goto out;
	}
	settings = node_settings_read(file, faults);
	if (!settings) {
		fputs(faults->str, stderr);
		goto out;
	}
	code = EXIT_OK;
	if (node_run(settings, file, &err)) {
		print_error("node", &err);
		code = EXIT_FAILED;
	}
out:
	node_settings_destroy(settings);
	g_string_free(faults, TRUE);
	g_free(file);
	return code;
}

static bool matches_option(const char *arg, const char *a, const char *b)
{
	return arg && (!strcmp(arg, a) || (b && !strcmp(arg, b)));
}

/* Handles "COMMAND --help" and "COMMAND --version" for all commands. */
static int run_command(const struct command *c, int argc, char **argv)
{
	const char *first = argc > 1 ? argv[1] : NULL;

	if (matches_option(first, "--version", NULL)) {
		puts("camphorshed " CAMPHORSHED_VERSION);
		return EXIT_OK;
	}
	if (!matches_option(first, "--help", "-h"))
		return c->run(argc, argv);
	if (c->help)
		c->help(stdout);
	else
		printf("usage: camphorshed %s %s\n\n%s\n", c->name,
		       c->arguments, c->summary);
	return EXIT_OK;
}

/*
 * --help and --version are only recognized as the first argument; all others
 * belong to the command.
 */
int main(int argc, char **argv)
{
	const char *first = argc > 1 ? argv[1] : NULL;
	size_t i;

	if (matches_option(first, "--version", NULL)) {
		puts("camphorshed " CAMPHORSHED_VERSION);
		return EXIT_OK;
	}
	if (matches_option(first, "--help", "-h")) {
		print_usage(stdout);
		return EXIT_OK;
	}
	for (i = 0; first && i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(first, commands[i].name))
			return run_command(&commands[i], argc - 1, argv + 1);
	if (first)
		fprintf(stderr, "camphorshed: unknown command \"%s\"\n", first);
	print_usage(stderr);
	return EXIT_USAGE;
}
