#ifndef BASE_PROCESS_H
#define BASE_PROCESS_H

#include "../camphorshed.h"

/* Signals and waiting, for the main thread of a process with tasks. */

/*
 * Blocks SIGTERM and SIGINT, and SIGHUP if with_hangup, so that no thread dies
 * of them, and returns a descriptor to read them from. To be called before any
 * thread starts. Negative on failure.
 */
int process_signals(bool with_hangup, struct cs_error *err);

/* The next signal of that descriptor, waiting for it; 0 on an error. */
int process_next_signal(int fd);

/* Waits until the descriptor is readable; timeout_ms -1 waits for ever. */
bool process_wait(int fd, int64_t timeout_ms);

#endif
