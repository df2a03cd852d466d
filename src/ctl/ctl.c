#include "ctl.h"

#include <string.h>

#include "ctl_run.h"

void ctl_help(FILE *out)
{
	GString *text = g_string_new(NULL);

	ctl_append_usage(text);
	fputs(text->str, out);
	g_string_free(text, TRUE);
}

/* Finds --help anywhere, so that "ctl VERB --help" needs no other option. */
static bool wants_help(int argc, char **argv)
{
	int i;

	for (i = 1; i < argc && strcmp(argv[i], "--"); i++)
		if (!strcmp(argv[i], "--help") || !strcmp(argv[i], "-h"))
			return true;
	return false;
}

int ctl_main(int argc, char **argv)
{
	struct ctl_request request;
	GString *message = g_string_new(NULL);
	int code = CTL_EXIT_USAGE;

	if (wants_help(argc, argv)) {
		ctl_help(stdout);
		g_string_free(message, TRUE);
		return CTL_EXIT_OK;
	}
	if (ctl_parse(argc, argv, &request, message))
		fprintf(stderr,
			"ctl: %s\n"
			"usage: camphorshed ctl --entry ADDRESS [OPTION ...] "
			"VERB; see \"camphorshed ctl --help\"\n",
			message->str);
	else
		code = ctl_run(&request, stdout, stderr);
	ctl_request_clear(&request);
	g_string_free(message, TRUE);
	return code;
}
