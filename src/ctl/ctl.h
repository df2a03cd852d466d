#ifndef CTL_H
#define CTL_H

#include <stdio.h>

/*
 * The operators' command line: "camphorshed ctl OPTIONS VERB ...". It talks
 * to the admin port of one entry. argv[0] is the command itself ("ctl").
 * Returns an exit code, enum ctl_exit.
 */
int ctl_main(int argc, char **argv);

/* Prints the options, the verbs and the exit codes. */
void ctl_help(FILE *out);

/* Exit codes. Scripts depend on them, so they never change. */
enum ctl_exit {
	CTL_DONE = 0, /* done, and in force if it was a change */
	CTL_REFUSED = 1, /* the entry refused, or a document has faults */
	CTL_USAGE = 2, /* wrong arguments, or a file can't be read */
	CTL_NOT_IN_FORCE = 3, /* accepted, not in force everywhere in time */
	CTL_UNREACHABLE = 4, /* no usable answer; a change may be accepted */
	CTL_CONFLICT = 5 /* another change came first */
};

#endif
