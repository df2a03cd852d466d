#ifndef EXPLAIN_EXPLAIN_H
#define EXPLAIN_EXPLAIN_H

#include <stdio.h>

/*
 * "camphorshed explain JOB [FILE...]": the life of a job from the logs of all
 * entries, in the order of time. Returns the exit code.
 */
int explain_main(int argc, char **argv);
void explain_help(FILE *out);

#endif
