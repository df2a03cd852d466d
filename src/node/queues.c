#include "node_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../base/log.h"

/*
 * The owner publishes the backlog of each queue to all entries: the jobs that
 * have not started, and the time that a new job would wait. The value has a
 * line "NAME PENDING WAIT_MS" for each queue. For admission, lines follow whose
 * first word tells their version, which readers that do not know it ignore: one
 * with the time, then one for each queue with work ahead of a new job. A line
 * for each workspace follows whose submissions are refused. In names, white
 * space, control characters, "@" and "%" are escaped as in a URI.
 */

#define ADMISSION_LINE "@1 "
/* Characters of names that stay as they are, beside letters and digits. */
#define PLAIN_CHARS "!\"#$&'()*+,/:;<=>?[\\]^`{|}"
#define FULL_LINE "@2 full="
/* Values beyond this are not from an owner: ten days, ten thousand cores. */
#define AHEAD_MAX_MS (INT64_C(10) * 86400 * 1000)
#define FREE_CPU_MAX INT64_C(10000000)
/* Lines for admission in one value, of which each takes 128 bytes at most. */
#define ADMISSION_LINES_MAX 1024

/*
 * Interval of publishing. Callers may get counts that are up to 2 s old, of
 * which writing and watching the key take some ms.
 */
#define PUBLISH_US (800 * CS_MSEC)
/*
 * The same when a workspace has become full: until all entries know, it may add
 * tens of megabytes in a second.
 */
#define PUBLISH_FULL_US (100 * CS_MSEC)

static void append_name(GString *text, const char *name)
{
	g_string_append_uri_escaped(text, name, PLAIN_CHARS, TRUE);
}

/* The name that was written; NULL if it can't be read. Frees text. */
static char *take_name(char *text)
{
	char *name = text ? g_uri_unescape_string(text, NULL) : NULL;

	free(text); /* allocated by sscanf() */
	return name;
}

static void add_line(void *ctx, const char *queue, int pending, int64_t wait_ms)
{
	append_name(ctx, queue);
	g_string_append_printf(ctx, " %d %" PRId64 "\n", pending, wait_ms);
}

struct admission_lines {
	GString *text;
	int64_t unix_ms;
	int lines_nr;
};

/* The time only stands there with a queue: it changes the value each time. */
static void add_admission_line(void *ctx, const char *queue,
			       const struct drain_summary *summary)
{
	struct admission_lines *a = ctx;

	if (a->lines_nr >= ADMISSION_LINES_MAX)
		return;
	if (!a->lines_nr++)
		g_string_append_printf(
			a->text, ADMISSION_LINE "at=%" PRId64 "\n", a->unix_ms);
	g_string_append(a->text, ADMISSION_LINE "queue=");
	append_name(a->text, queue);
	g_string_append_printf(a->text,
			       " ahead_ms=%" PRId64 " free_cpu=%" PRId64 "\n",
			       summary->ahead_ms, summary->free_cpu);
}

static void add_full_line(void *ctx, const char *workspace)
{
	g_string_append(ctx, FULL_LINE);
	append_name(ctx, workspace);
	g_string_append_c(ctx, '\n');
}

static void on_published(void *ctx, uint64_t arg, const struct store_reply *d,
			 cs_time now)
{
	struct node *n = ctx;

	(void)arg;
	(void)now;
	if (d->result == STORE_OK) {
		n->queues_revision = MAX(n->queues_revision, d->revision);
		owner_confirm(n, d->sent);
		return;
	}
	n->queues_revision =
		store_revision_after(d, KEY_QUEUES, n->queues_revision);
	g_free(n->published_queues); /* so that the next turn writes again */
	n->published_queues = NULL;
}

void queues_publish(struct node *n, cs_time now)
{
	struct store_call *call;
	GString *text;

	cs_time due = n->next_publish_at;

	if (n->owner.state != OWNER_ACTIVE)
		return;
	if (sched_has_new_full_workspace(n->sched))
		due -= PUBLISH_US - PUBLISH_FULL_US;
	if (now < due)
		return;
	n->next_publish_at = now + PUBLISH_US;
	text = g_string_new(NULL);
	sched_for_each_queue(n->sched, add_line, text);
	if (n->options.policy.has_admission) {
		struct admission_lines lines = { text, node_unix_ms(n, now),
						 0 };

		drain_for_each_queue(n->sched, add_admission_line, &lines);
	}
	sched_for_each_full_workspace(n->sched, add_full_line, text);
	if (n->published_queues && !strcmp(n->published_queues, text->str)) {
		g_string_free(text, TRUE);
		return;
	}
	call = store_call_new(STORE_TXN, NULL, STORE_TIMEOUT_MS);
	store_call_expect(call, KEY_OWNER, n->owner.key_revision);
	/* A write without a reply must not be carried out after a later one. */
	store_call_expect(call, KEY_QUEUES, n->queues_revision);
	store_call_write(call, KEY_QUEUES, g_bytes_new(text->str, text->len),
			 0);
	g_free(n->published_queues);
	n->published_queues = g_string_free(text, FALSE);
	store_calls_send(n->calls, call, on_published, n, 0);
}

/* When the owner published what the lines say; 0: they do not tell. */
static int64_t published_unix_ms(char *const *lines)
{
	int64_t at;

	for (; *lines; lines++)
		if (sscanf(*lines, ADMISSION_LINE "at=%" SCNd64, &at) == 1)
			return at;
	return 0;
}

/* Returns false if the line can't be read or a value is out of range. */
static bool read_admission_line(struct node *n, const char *line)
{
	struct drain_summary summary;
	char *text = NULL, *queue;
	bool is_valid;

	if (g_str_has_prefix(line, ADMISSION_LINE "at="))
		return true;
	is_valid = sscanf(line,
			  ADMISSION_LINE "queue=%ms ahead_ms=%" SCNd64
					 " free_cpu=%" SCNd64,
			  &text, &summary.ahead_ms, &summary.free_cpu) == 3 &&
		   summary.ahead_ms >= 0 && summary.ahead_ms <= AHEAD_MAX_MS &&
		   summary.free_cpu >= 0 && summary.free_cpu <= FREE_CPU_MAX;
	queue = take_name(text);
	is_valid &= queue != NULL;
	if (is_valid)
		admission_add(n->admission, queue, &summary);
	g_free(queue);
	return is_valid;
}

static bool read_full_line(struct node *n, const char *line)
{
	char *workspace = g_uri_unescape_string(line + strlen(FULL_LINE), NULL);

	if (!workspace)
		return false;
	admission_add_full(n->admission, workspace);
	g_free(workspace);
	return true;
}

static bool read_queue_line(struct node *n, const char *line)
{
	int64_t pending, wait_ms;
	char *text = NULL, *name;
	struct queue_load *load;
	int fields = sscanf(line, "%ms %" SCNd64 " %" SCNd64, &text, &pending,
			    &wait_ms);

	name = take_name(text);
	if (fields != 3 || !name) {
		g_free(name);
		return false;
	}
	load = g_new(struct queue_load, 1);
	load->pending = pending;
	load->wait_ms = wait_ms;
	g_hash_table_insert(n->queue_loads, name, load);
	return true;
}

/*
 * Returns false if the line can't be read. A line of a later version, which
 * starts with "@", is ignored.
 */
static bool read_line(struct node *n, const char *line)
{
	if (!*line)
		return true;
	if (g_str_has_prefix(line, ADMISSION_LINE))
		return read_admission_line(n, line);
	if (g_str_has_prefix(line, FULL_LINE))
		return read_full_line(n, line);
	return *line == '@' || read_queue_line(n, line);
}

static void log_unreadable_lines(struct node *n, const struct store_item *item,
				 int lines)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "key", item->key);
	log_pair_int(pairs, "revision", (int64_t)item->revision);
	log_pair_int(pairs, "lines", lines);
	node_log(n, "queues_unreadable", pairs);
}

void queues_read(struct node *n, const struct store_item *item)
{
	char *text = store_text(item->value);
	char **lines = g_strsplit(text, "\n", 0);
	int i, unreadable = 0;

	n->queues_revision = MAX(n->queues_revision, item->revision);
	g_hash_table_remove_all(n->queue_loads);
	admission_begin(n->admission, published_unix_ms(lines));
	for (i = 0; lines[i]; i++)
		unreadable += !read_line(n, lines[i]);
	if (unreadable)
		log_unreadable_lines(n, item, unreadable);
	g_strfreev(lines);
	g_free(text);
}
