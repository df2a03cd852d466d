#ifndef BASE_PROCESS_H
#define BASE_PROCESS_H

#include "../camphorshed.h"

/* Signals and waiting, for the main thread of a process with tasks. */

/*
 * Blocks SIGTERM and SIGINT, and SIGHUP if with_hangup, and returns a
 * descriptor to read them from; negative on failure. SIGPIPE is ignored. Must
 * be called before any thread starts, so that all threads inherit the mask.
 */
int process_open_signal_fd(bool with_hangup, struct cs_error *err);

/* Waits for the next signal of that descriptor. Returns 0 on an error. */
int process_next_signal(int fd);

/*
 * Waits until the descriptor is readable. Returns false after timeout_ms; -1
 * waits for ever.
 */
bool process_wait(int fd, int64_t timeout_ms);

#endif
