#include "ctl.h"

#include <stdio.h>

#include "ctl_run.h"

int ctl_main(int argc, char **argv)
{
	struct ctl_request request;
	GString *fault = g_string_new(NULL);
	int code = CTL_USAGE;

	if (ctl_parse(argc, argv, &request, fault))
		fprintf(stderr, "ctl: %s\n", fault->str);
	else
		code = ctl_run(&request, stdout, stderr);
	ctl_request_clear(&request);
	g_string_free(fault, TRUE);
	return code;
}
