#ifndef BASE_LOG_H
#define BASE_LOG_H

#include <glib.h>

#include "trace.h"

/*
 * A log of one line of key=value pairs per event, written through log4c. Values
 * with spaces, quotes or "=" are quoted.
 */
struct log;

enum log_level { LOG_DEBUG, LOG_INFO, LOG_WARN, LOG_ERROR, LOG_FATAL };

/*
 * Opens the log, which writes to standard error. Only one log may be open in a
 * process, since log4c's categories are global. NULL on failure.
 */
struct log *log_create(enum log_level level, struct cs_error *err);

/*
 * The same for a descriptor, with at most lines_max lines a second; 0: no
 * limit. The descriptor is made non-blocking and a line that it does not take
 * at once is dropped, so that a reader that stopped never blocks the process.
 * The number of dropped lines is written with the next line.
 */
struct log *log_create_bounded(enum log_level level, int fd, int lines_max,
			       struct cs_error *err);
void log_destroy(struct log *log);

/* True if lines of that level are written. */
bool log_enabled(const struct log *log, enum log_level level);

/*
 * Writes one line: time, level, task, step, peer and trace, then the pairs. All
 * pointers but log may be NULL. Safe from any thread.
 */
void log_write(struct log *log, enum log_level level, const char *task,
	       const char *step, const char *peer, const struct trace *trace,
	       const char *pairs);

/*
 * True if a line that is written for each task or call is to be written now:
 * such lines get at most three quarters of a second's limit, so that rarer ones
 * are not dropped for them. False counts it as dropped. Asked before the line
 * is formatted, as under load most of these lines are dropped.
 */
bool log_admits_frequent(struct log *log);

/* Writes an error as an event, with its code, step, peer and message. */
void log_error(struct log *log, const char *task, const struct cs_error *err);

/* Appends " key=value" to out, with the value quoted when it needs to be. */
void log_pair(GString *out, const char *key, const char *value);
void log_pair_int(GString *out, const char *key, int64_t value);

/* Parses "debug" to "fatal". Returns CS_OK or CS_ERR_INVALID. */
int log_level_parse(enum log_level *level, const char *name);

#endif
