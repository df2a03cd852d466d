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

/* Runs an entry until it has drained; returns the exit code. */
static int entry_main(int argc, char **argv)
{
	char *file = NULL;
	const GOptionEntry options[] = { { "config", 'c', 0,
					   G_OPTION_ARG_FILENAME, &file,
					   "settings file", "FILE" },
					 G_OPTION_ENTRY_NULL };
	GOptionContext *parser = g_option_context_new(NULL);
	struct settings *settings = NULL;
	struct cs_error err = { 0 };
	GString *faults = g_string_new(NULL);
	GError *error = NULL;
	int code = EXIT_USAGE;

	g_option_context_set_help_enabled(parser, FALSE);
	g_option_context_add_main_entries(parser, options, NULL);
	if (!g_option_context_parse(parser, &argc, &argv, &error)) {
		fprintf(stderr,
			"camphorshed entry: %s\n"
			"usage: camphorshed entry -c FILE\n",
			error->message);
		g_error_free(error);
		goto out;
	}
	if (!file || argc != 1) {
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
		fprintf(stderr, "camphorshed entry: %s %s: %s\n", err.step,
			err.peer, err.message);
		code = EXIT_FAILED;
	}
out:
	settings_destroy(settings);
	g_string_free(faults, TRUE);
	g_option_context_free(parser);
	g_free(file);
	return code;
}

/* Where a platform puts the settings file, unless -c names one. */
#define BOOT_VARIABLE "CAMPHORSHED_BOOT"

/* Runs an entry on a shared platform until SIGTERM; returns the exit code. */
static int node_main(int argc, char **argv)
{
	char *file = NULL;
	const GOptionEntry options[] = { { "config", 'c', 0,
					   G_OPTION_ARG_FILENAME, &file,
					   "settings file", "FILE" },
					 G_OPTION_ENTRY_NULL };
	GOptionContext *parser = g_option_context_new(NULL);
	struct node_settings *settings = NULL;
	struct cs_error err = { 0 };
	GString *faults = g_string_new(NULL);
	GError *error = NULL;
	int code = EXIT_USAGE;

	g_option_context_set_help_enabled(parser, FALSE);
	g_option_context_add_main_entries(parser, options, NULL);
	if (!g_option_context_parse(parser, &argc, &argv, &error)) {
		fprintf(stderr, "camphorshed node: %s\n", error->message);
		g_error_free(error);
		goto out;
	}
	if (!file)
		file = g_strdup(g_getenv(BOOT_VARIABLE));
	if (!file || argc != 1) {
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
		fprintf(stderr, "camphorshed node: %s %s: %s\n", err.step,
			err.peer, err.message);
		code = EXIT_FAILED;
	}
out:
	node_settings_destroy(settings);
	g_string_free(faults, TRUE);
	g_option_context_free(parser);
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
