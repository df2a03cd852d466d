#include "standin.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

static const struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} commands[] = {
	{ "platform", platform_main, "key-value service and host list" },
	{ "worker", worker_main, "one worker" },
	{ "load", load_main, "open-loop client" },
};

bool parse_options(int *argc, char ***argv, const GOptionEntry *entries)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool is_ok;

	g_option_context_add_main_entries(context, entries, NULL);
	is_ok = g_option_context_parse(context, argc, argv, &error);
	if (!is_ok) {
		fprintf(stderr, "camphorshed-standin: %s\n", error->message);
		g_error_free(error);
	} else if (*argc > 1) {
		fprintf(stderr, "camphorshed-standin: unexpected argument %s\n",
			(*argv)[1]);
		is_ok = false;
	}
	g_option_context_free(context);
	return is_ok;
}

int main(int argc, char **argv)
{
	size_t i;

	signal(SIGPIPE, SIG_IGN);
	for (i = 0; argc > 1 && i < G_N_ELEMENTS(commands); i++)
		if (!strcmp(argv[1], commands[i].name))
			return commands[i].run(argc - 1, argv + 1);
	fprintf(stderr, "usage: camphorshed-standin COMMAND [OPTIONS]\n");
	for (i = 0; i < G_N_ELEMENTS(commands); i++)
		fprintf(stderr, "  %-10s %s\n", commands[i].name,
			commands[i].help);
	return 2;
}
