#include "log.h"

#include <fcntl.h>
#include <inttypes.h>
#include <log4c.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "error.h"

struct log {
	log4c_category_t *category;
	log4c_appender_t *appender;
	log4c_layout_t *layout;
	enum log_level level;
	int fd; /* -1: standard error, blocking */
	int lines_max; /* per second; 0: no limit */
	pthread_mutex_t lock; /* protects the fields below */
	gint64 second; /* in which lines were counted */
	int lines;
	/* Lines not yet reported as dropped, and the frequent ones of them. */
	int64_t dropped, dropped_frequent;
};

static const char *const level_names[] = { "debug", "info", "warn", "error",
					   "fatal" };

static const int priorities[] = { LOG4C_PRIORITY_DEBUG, LOG4C_PRIORITY_INFO,
				  LOG4C_PRIORITY_WARN, LOG4C_PRIORITY_ERROR,
				  LOG4C_PRIORITY_FATAL };

/* The message is a complete line already, with its line end. */
static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event)
{
	(void)layout;
	return event->evt_msg;
}

/* Starts the count of lines anew in each second. Needs the lock. */
static void update_second(struct log *log)
{
	gint64 second = g_get_monotonic_time() / G_USEC_PER_SEC;

	if (second == log->second)
		return;
	log->second = second;
	log->lines = 0;
}

/* Counts a line; true if it exceeds this second's limit. Needs the lock. */
static bool is_over_limit(struct log *log)
{
	update_second(log);
	return log->lines_max && log->lines++ >= log->lines_max;
}

bool log_admits_frequent(struct log *log)
{
	bool is_admitted;

	if (!log->lines_max)
		return true;
	pthread_mutex_lock(&log->lock);
	update_second(log);
	is_admitted = log->lines < log->lines_max * 3 / 4;
	log->dropped += !is_admitted;
	log->dropped_frequent += !is_admitted;
	pthread_mutex_unlock(&log->lock);
	return is_admitted;
}

/*
 * Writes a line with one write(), so that lines of several threads do not mix,
 * and drops it if the descriptor is full.
 */
static int append_bounded(struct log *log, const char *line)
{
	char note[80];
	size_t len = strlen(line);
	int n, code = -1;

	pthread_mutex_lock(&log->lock);
	if (is_over_limit(log)) {
		log->dropped++;
		goto out;
	}
	if (log->dropped) {
		n = snprintf(note, sizeof(note),
			     "event=log_dropped lines=%" PRId64
			     " frequent=%" PRId64 "\n",
			     log->dropped, log->dropped_frequent);
		if (write(log->fd, note, (size_t)n) == n)
			log->dropped = log->dropped_frequent = 0;
	}
	if (write(log->fd, line, len) == (ssize_t)len)
		code = 0;
	else
		log->dropped++;
out:
	pthread_mutex_unlock(&log->lock);
	return code;
}

/* Writes the line as it is; log4c's own appender would prepend its name. */
static int append_line(log4c_appender_t *appender,
		       const log4c_logging_event_t *event)
{
	struct log *log = log4c_appender_get_udata(appender);

	if (log->fd >= 0)
		return append_bounded(log, event->evt_rendered_msg);
	return fputs(event->evt_rendered_msg, stderr) < 0 ? -1 : 0;
}

static const log4c_appender_type_t line_appender = {
	.name = "camphorshed.stderr",
	.append = append_line
};

static const log4c_layout_type_t line_layout = { "camphorshed.line",
						 format_line };

int log_level_parse(enum log_level *level, const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(level_names); i++) {
		if (!strcmp(name, level_names[i])) {
			*level = (enum log_level)i;
			return CS_OK;
		}
	}
	return CS_ERR_INVALID;
}

struct log *log_create(enum log_level level, struct cs_error *err)
{
	return log_create_bounded(level, -1, 0, err);
}

struct log *log_create_bounded(enum log_level level, int fd, int lines_max,
			       struct cs_error *err)
{
	struct log *log = g_new0(struct log, 1);

	log->fd = fd;
	log->lines_max = lines_max;
	pthread_mutex_init(&log->lock, NULL);
	if (fd >= 0)
		fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);

	if (log4c_init())
		goto fail;
	log->level = level;
	log->category = log4c_category_get("camphorshed");
	log->appender = log4c_appender_get("camphorshed.stderr");
	log->layout = log4c_layout_get("camphorshed.line");
	if (!log->category || !log->appender || !log->layout)
		goto fail;
	log4c_appender_set_type(log->appender, &line_appender);
	log4c_layout_set_type(log->layout, &line_layout);
	log4c_appender_set_layout(log->appender, log->layout);
	log4c_appender_set_udata(log->appender, log);
	log4c_category_set_appender(log->category, log->appender);
	log4c_category_set_additivity(log->category, 0);
	log4c_category_set_priority(log->category, priorities[level]);
	return log;
fail:
	cs_error_set(err, CS_ERR_IO, "log_create", NULL,
		     "cannot initialize log4c");
	pthread_mutex_destroy(&log->lock);
	g_free(log);
	return NULL;
}

void log_destroy(struct log *log)
{
	if (!log)
		return;
	log4c_fini();
	pthread_mutex_destroy(&log->lock);
	g_free(log);
}

bool log_enabled(const struct log *log, enum log_level level)
{
	return level >= log->level;
}

static bool needs_quotes(const char *s)
{
	if (!*s)
		return true;
	for (; *s; s++)
		if ((unsigned char)*s <= ' ' || *s == '"' || *s == '=' ||
		    *s == '\\' || (unsigned char)*s == 0x7f)
			return true;
	return false;
}

void log_pair(GString *out, const char *key, const char *value)
{
	const char *s;

	g_string_append_printf(out, "%s%s=", out->len ? " " : "", key);
	if (!needs_quotes(value)) {
		g_string_append(out, value);
		return;
	}
	g_string_append_c(out, '"');
	for (s = value; *s; s++) {
		if (*s == '"' || *s == '\\')
			g_string_append_printf(out, "\\%c", *s);
		else if ((unsigned char)*s < ' ' || (unsigned char)*s == 0x7f)
			g_string_append_printf(out, "\\x%02x",
					       (unsigned char)*s);
		else
			g_string_append_c(out, *s);
	}
	g_string_append_c(out, '"');
}

void log_pair_int(GString *out, const char *key, int64_t value)
{
	g_string_append_printf(out, "%s%s=%" PRId64, out->len ? " " : "", key,
			       value);
}

void log_write(struct log *log, enum log_level level, const char *task,
	       const char *step, const char *peer, const struct trace *trace,
	       const char *pairs)
{
	GString *line;
	char id[33];
	gint64 now;

	if (!log_enabled(log, level))
		return;
	line = g_string_sized_new(256);
	now = g_get_real_time();
	g_string_append_printf(line, "time=%" PRId64 ".%06" PRId64,
			       now / G_USEC_PER_SEC, now % G_USEC_PER_SEC);
	log_pair(line, "level", level_names[level]);
	if (task)
		log_pair(line, "task", task);
	if (step && *step)
		log_pair(line, "step", step);
	if (peer && *peer)
		log_pair(line, "peer", peer);
	if (trace && trace->span) {
		trace_id_format(trace, id);
		log_pair(line, "trace", id);
	}
	if (pairs && *pairs) {
		g_string_append_c(line, ' ');
		g_string_append(line, pairs);
	}
	g_string_append_c(line, '\n');
	log4c_category_log(log->category, priorities[level], "%s", line->str);
	g_string_free(line, TRUE);
}

void log_error(struct log *log, const char *task, const struct cs_error *err)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "event", "error");
	log_pair(pairs, "code", cs_code_name(err->code));
	log_pair(pairs, "message", err->message);
	log_write(log, LOG_ERROR, task, err->step, err->peer, NULL, pairs->str);
	g_string_free(pairs, TRUE);
}
