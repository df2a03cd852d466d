#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "../camphorshed.h"
#include "../ctl/ctl.h"
#include "../entry/entry_run.h"
#include "../settings/check_config.h"

/* Exit codes of all commands but ctl, which has more. */
enum { EXIT_OK = 0, EXIT_FAILED = 1, EXIT_USAGE = 2 };

struct command {
	const char *name;
	const char *arguments;
	const char *summary;
	int (*run)(int argc, char **argv);
};

static int entry_main(int argc, char **argv);

static const struct command commands[] = {
	{ "entry", "-c FILE", "run an entry until SIGTERM", entry_main },
	{ "check-config", "FILE", "check a settings file or fleet document",
	  check_config_main },
	{ "ctl", "VERB ...", "operate a site through one of its entries",
	  ctl_main },
};

static void print_usage(FILE *out)
{
	size_t i;

	fputs("usage: camphorshed COMMAND [ARGUMENTS]\n"
	      "       camphorshed --help | --version\n\ncommands:\n",
	      out);
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(out, "  %-13s %-9s %s\n", commands[i].name,
			commands[i].arguments, commands[i].summary);
}

static int entry_main(int argc, char **argv)
{
	char *file = NULL;
	gboolean show_version = FALSE;
	const GOptionEntry options[] = {
		{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &file,
		  "settings file", "FILE" },
		{ "version", 0, 0, G_OPTION_ARG_NONE, &show_version,
		  "print the version", NULL },
		G_OPTION_ENTRY_NULL
	};
	GOptionContext *parser = g_option_context_new("- run an entry");
	struct settings *settings = NULL;
	struct cs_error err = { 0 };
	GString *faults = g_string_new(NULL);
	GError *error = NULL;
	int code = EXIT_USAGE;

	g_option_context_add_main_entries(parser, options, NULL);
	if (!g_option_context_parse(parser, &argc, &argv, &error)) {
		fprintf(stderr, "camphorshed entry: %s\n", error->message);
		g_error_free(error);
		goto out;
	}
	if (show_version) {
		puts("camphorshed " CAMPHORSHED_VERSION);
		code = EXIT_OK;
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

int main(int argc, char **argv)
{
	size_t i;

	if (argc > 1 && !strcmp(argv[1], "--version")) {
		puts("camphorshed " CAMPHORSHED_VERSION);
		return EXIT_OK;
	}
	if (argc > 1 &&
	    (!strcmp(argv[1], "--help") || !strcmp(argv[1], "-h"))) {
		print_usage(stdout);
		return EXIT_OK;
	}
	for (i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	if (argc > 1)
		fprintf(stderr, "camphorshed: unknown command \"%s\"\n",
			argv[1]);
	print_usage(stderr);
	return EXIT_USAGE;
}
