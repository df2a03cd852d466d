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

/* Exit codes of all commands but ctl, which has more. */
enum { EXIT_OK = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

struct command {
	const char *name;
	const char *arguments;
	const char *summary;
	int (*run)(int argc, char **argv);
	void (*help)(FILE *out); /* NULL: the usage line says it all */
};

static int entry_main(int argc, char **argv);
static int node_main(int argc, char **argv);

static const struct command commands[] = {
	{ "entry", "-c FILE", "run an entry until SIGTERM", entry_main, NULL },
	{ "node", "[-c FILE]", "run an entry on a shared platform", node_main,
	  NULL },
	{ "explain", "JOB [FILE...]", "tell a job's life from the logs",
	  explain_main, explain_help },
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
 * Reads the only option of the commands that run an entry: "-c FILE", to be
 * freed. Returns false for any other argument, after saying so.
 */
static bool read_file_option(const char *command, int argc, char **argv,
			     char **file)
{
	const GOptionEntry options[] = { { "config", 'c', 0,
					   G_OPTION_ARG_FILENAME, file,
					   "settings file", "FILE" },
					 G_OPTION_ENTRY_NULL };
	GOptionContext *parser = g_option_context_new(NULL);
	GError *error = NULL;
	bool is_read;

	g_option_context_set_help_enabled(parser, FALSE);
	g_option_context_add_main_entries(parser, options, NULL);
	is_read = g_option_context_parse(parser, &argc, &argv, &error) &&
		  argc == 1;
	if (error)
		fprintf(stderr, "camphorshed %s: %s\n", command,
			error->message);
	g_clear_error(&error);
	g_option_context_free(parser);
	return is_read;
}

static void print_error(const char *command, const struct cs_error *err)
{
	fprintf(stderr, "camphorshed %s: %s %s: %s\n", command, err->step,
		err->peer, err->message);
}

/* Runs an entry until it has drained; returns the exit code. */
static int entry_main(int argc, char **argv)
{
	GString *faults = g_string_new(NULL);
	struct settings *settings = NULL;
	struct cs_error err = { 0 };
	char *file = NULL;
	int code = EXIT_USAGE;

	if (!read_file_option("entry", argc, argv, &file) || !file) {
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

/* Where a platform puts the settings file, unless -c names one. */
#define BOOT_VARIABLE "CAMPHORSHED_BOOT"

/* Runs an entry on a shared platform until SIGTERM; returns the exit code. */
static int node_main(int argc, char **argv)
{
	GString *faults = g_string_new(NULL);
	struct node_settings *settings = NULL;
	struct cs_error err = { 0 };
	char *file = NULL;
	int code = EXIT_USAGE;
	bool is_read = read_file_option("node", argc, argv, &file);

	if (!file)
		file = g_strdup(g_getenv(BOOT_VARIABLE));
	if (!is_read || !file) {
		fputs("usage: camphorshed node [-c FILE]\n"
		      "Without -c, " BOOT_VARIABLE " names the file.\n",
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

static bool is_word(const char *arg, const char *a, const char *b)
{
	return arg && (!strcmp(arg, a) || (b && !strcmp(arg, b)));
}

/* "camphorshed COMMAND --help" and "--version", alike for all commands. */
static int run_command(const struct command *c, int argc, char **argv)
{
	const char *first = argc > 1 ? argv[1] : NULL;

	if (is_word(first, "--version", NULL)) {
		puts("camphorshed " CAMPHORSHED_VERSION);
		return EXIT_OK;
	}
	if (!is_word(first, "--help", "-h"))
		return c->run(argc, argv);
	if (c->help)
		c->help(stdout);
	else
		printf("usage: camphorshed %s %s\n\n%s\n", c->name,
		       c->arguments, c->summary);
	return EXIT_OK;
}

/*
 * Options are recognised only as the first word; the rest belongs to the
 * command.
 */
int main(int argc, char **argv)
{
	const char *first = argc > 1 ? argv[1] : NULL;
	size_t i;

	if (is_word(first, "--version", NULL)) {
		puts("camphorshed " CAMPHORSHED_VERSION);
		return EXIT_OK;
	}
	if (is_word(first, "--help", "-h")) {
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
