#include "explain.h"

#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum { EXIT_FOUND = 0, EXIT_NOT_FOUND = 1, EXIT_USAGE = 2 };

/*
 * Events that are not about one job but can explain its delays: changes of the
 * owner and lost dependencies.
 */
static const char *const context_events[] = {
	"event=owner_taken",	    "event=owner_lost",
	"event=owner_released",	    "event=term_loaded",
	"event=commit_failed",	    "event=dependency_lost",
	"event=dependency_regained"
};

struct line {
	double time;
	size_t order; /* position in the input, for equal times */
	char *text;
};

/* The lines found so far and the time span of those that name the job. */
struct log_scan {
	const char *id;
	GArray *lines; /* struct line */
	size_t lines_read;
	double first, last;
	bool is_found;
};

/* True if the line has the word "KEY=ID", or "KEY=ID." as in a task id. */
static bool mentions_job(const char *line, const char *key, const char *id)
{
	char *word = g_strconcat(key, "=", id, NULL);
	const char *found = strstr(line, word);
	size_t len = strlen(word);

	g_free(word);
	return found && (found == line || found[-1] == ' ') &&
	       !g_ascii_isalnum(found[len]);
}

static bool is_context(const char *line)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(context_events); i++)
		if (strstr(line, context_events[i]))
			return true;
	return false;
}

/* Parses "time=", in seconds since 1970. Returns false if there is none. */
static bool parse_time(const char *line, double *time)
{
	const char *found = strstr(line, "time=");
	char *end;

	if (!found)
		return false;
	*time = g_ascii_strtod(found + strlen("time="), &end);
	return end > found + strlen("time=");
}

/* Adds a line that names the job or is context. Skips lines without a time. */
static void add_line(struct log_scan *scan, const char *text)
{
	struct line line = { .order = scan->lines_read++ };
	bool is_job_line = mentions_job(text, "job", scan->id) ||
			   mentions_job(text, "task", scan->id);

	if ((!is_job_line && !is_context(text)) ||
	    !parse_time(text, &line.time))
		return;
	if (is_job_line && (!scan->is_found || line.time < scan->first))
		scan->first = line.time;
	if (is_job_line && (!scan->is_found || line.time > scan->last))
		scan->last = line.time;
	scan->is_found |= is_job_line;
	line.text = g_strchomp(g_strdup(text));
	g_array_append_val(scan->lines, line);
}

static void scan_stream(struct log_scan *scan, FILE *in)
{
	char *buf = NULL;
	size_t size = 0;

	while (getline(&buf, &size, in) >= 0)
		add_line(scan, buf);
	free(buf);
}

static gint compare_lines(const void *a, const void *b)
{
	const struct line *x = a, *y = b;

	if (x->time != y->time)
		return x->time < y->time ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

/* Prints the lines by time, with context only from the span of the job. */
static void print_lines(const struct log_scan *scan)
{
	guint i;

	g_array_sort(scan->lines, compare_lines);
	for (i = 0; i < scan->lines->len; i++) {
		const struct line *l =
			&g_array_index(scan->lines, struct line, i);

		if (l->time >= scan->first && l->time <= scan->last)
			printf("%+9.3f s  %s\n", l->time - scan->first,
			       l->text);
	}
}

void explain_help(FILE *out)
{
	fputs("usage: camphorshed explain JOB [FILE...]\n\n"
	      "Prints the lines about a job from the logs of the entries, ordered by\n"
	      "time, with changes of the owner and lost dependencies in between.\n"
	      "Without FILE it reads standard input. Exit code 1: not found.\n",
	      out);
}

int explain_main(int argc, char **argv)
{
	struct log_scan scan = { 0 };
	int code = EXIT_NOT_FOUND, i;
	guint k;

	if (argc < 2) {
		explain_help(stderr);
		return EXIT_USAGE;
	}
	scan.id = argv[1];
	scan.lines = g_array_new(FALSE, FALSE, sizeof(struct line));
	for (i = 2; i < argc; i++) {
		FILE *in = fopen(argv[i], "re");

		if (!in) {
			fprintf(stderr, "camphorshed explain: open %s: %s\n",
				argv[i], g_strerror(errno));
			code = EXIT_USAGE;
			goto out;
		}
		scan_stream(&scan, in);
		fclose(in);
	}
	if (argc == 2)
		scan_stream(&scan, stdin);
	if (scan.is_found) {
		print_lines(&scan);
		code = EXIT_FOUND;
	} else {
		fprintf(stderr, "camphorshed explain: job %s not found\n",
			scan.id);
	}
out:
	for (k = 0; k < scan.lines->len; k++)
		g_free(g_array_index(scan.lines, struct line, k).text);
	g_array_free(scan.lines, TRUE);
	return code;
}
