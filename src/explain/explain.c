#include "explain.h"

#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

enum { EXIT_FOUND = 0, EXIT_NOT_FOUND = 1, EXIT_USAGE = 2 };

/*
 * Events that belong to no job but explain its delays: changes of the owner,
 * and dependencies that were lost.
 */
static const char *const context_events[] = {
	"event=owner_taken",	    "event=owner_lost",
	"event=owner_released",	    "event=term_loaded",
	"event=commit_failed",	    "event=dependency_lost",
	"event=dependency_regained"
};

struct line {
	double time;
	size_t order; /* in the input, for equal times */
	char *text;
};

/* What has been read, and the span of the job's own lines. */
struct reading {
	const char *id;
	GArray *lines; /* struct line */
	size_t nr;
	double first, last;
	bool is_found;
};

/* True if the line has "KEY=ID" as a word, or "KEY=ID." of a task. */
static bool names_job(const char *line, const char *key, const char *id)
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

/* The time of a line in s since 1970; lines without one are passed over. */
static bool read_time(const char *line, double *time)
{
	const char *found = strstr(line, "time=");
	char *end;

	if (!found)
		return false;
	*time = g_ascii_strtod(found + strlen("time="), &end);
	return end > found + strlen("time=");
}

static void take_line(struct reading *r, const char *text)
{
	struct line line = { .order = r->nr++ };
	bool is_own = names_job(text, "job", r->id) ||
		      names_job(text, "task", r->id);

	if ((!is_own && !is_context(text)) || !read_time(text, &line.time))
		return;
	if (is_own && (!r->is_found || line.time < r->first))
		r->first = line.time;
	if (is_own && (!r->is_found || line.time > r->last))
		r->last = line.time;
	r->is_found |= is_own;
	line.text = g_strchomp(g_strdup(text));
	g_array_append_val(r->lines, line);
}

static void read_stream(struct reading *r, FILE *in)
{
	char *buf = NULL;
	size_t size = 0;

	while (getline(&buf, &size, in) >= 0)
		take_line(r, buf);
	free(buf);
}

static gint compare(const void *a, const void *b)
{
	const struct line *x = a, *y = b;

	if (x->time != y->time)
		return x->time < y->time ? -1 : 1;
	return x->order < y->order ? -1 : 1;
}

static void print(const struct reading *r)
{
	guint i;

	g_array_sort(r->lines, compare);
	for (i = 0; i < r->lines->len; i++) {
		const struct line *l = &g_array_index(r->lines, struct line, i);

		if (l->time >= r->first && l->time <= r->last)
			printf("%+9.3f s  %s\n", l->time - r->first, l->text);
	}
}

void explain_help(FILE *out)
{
	fputs("usage: camphorshed explain JOB [FILE...]\n\n"
	      "Prints what the logs of the entries say of a job, in the order of\n"
	      "time, with changes of the owner and lost dependencies in between.\n"
	      "Without FILE it reads standard input. Exit code 1: not found.\n",
	      out);
}

int explain_main(int argc, char **argv)
{
	struct reading r = { 0 };
	int code = EXIT_NOT_FOUND, i;
	guint k;

	if (argc < 2) {
		explain_help(stderr);
		return EXIT_USAGE;
	}
	r.id = argv[1];
	r.lines = g_array_new(FALSE, FALSE, sizeof(struct line));
	for (i = 2; i < argc; i++) {
		FILE *in = fopen(argv[i], "re");

		if (!in) {
			fprintf(stderr, "camphorshed explain: open %s: %s\n",
				argv[i], g_strerror(errno));
			code = EXIT_USAGE;
			goto out;
		}
		read_stream(&r, in);
		fclose(in);
	}
	if (argc == 2)
		read_stream(&r, stdin);
	if (r.is_found) {
		print(&r);
		code = EXIT_FOUND;
	} else {
		fprintf(stderr, "camphorshed explain: no line names job %s\n",
			r.id);
	}
out:
	for (k = 0; k < r.lines->len; k++)
		g_free(g_array_index(r.lines, struct line, k).text);
	g_array_free(r.lines, TRUE);
	return code;
}
