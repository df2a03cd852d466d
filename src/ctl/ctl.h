#ifndef CTL_H
#define CTL_H

#include <stdio.h>

/*
 * The operators' command line: "camphorshed ctl OPTIONS VERB ...". It talks
 * to the admin port of one entry. argv[0] is "ctl". Returns an exit code,
 * enum ctl_exit.
 */
int ctl_main(int argc, char **argv);

/* Prints the options, the verbs and the exit codes. */
void ctl_help(FILE *out);

/* Exit codes. Scripts rely on these values, so they must not change. */
enum ctl_exit {
	CTL_EXIT_OK = 0, /* done; a change that was waited for is in force */
	CTL_EXIT_REFUSED = 1, /* refused by the entry, or an invalid document */
	CTL_EXIT_USAGE = 2, /* invalid arguments or an unreadable file */
	CTL_EXIT_NOT_IN_FORCE = 3, /* accepted; timed out before in force */
	CTL_EXIT_UNREACHABLE = 4, /* no valid response; may be accepted */
	CTL_EXIT_CONFLICT = 5 /* another change was accepted first */
};

#endif
