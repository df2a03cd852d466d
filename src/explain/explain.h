#ifndef EXPLAIN_EXPLAIN_H
#define EXPLAIN_EXPLAIN_H

#include <stdio.h>

/*
 * The command "explain JOB [FILE...]": prints the history of a job from the
 * logs of all entries, ordered by time. argv[0] is the command. Returns an exit
 * code: 0 if the job was found, 1 if not, 2 on wrong usage or if a file can't
 * be opened.
 */
int explain_main(int argc, char **argv);
void explain_help(FILE *out);

#endif
