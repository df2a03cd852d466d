#include "node_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/*
 * The owner publishes the backlog of each queue to all entries: the jobs that
 * have not started, and the time that a new job would wait. The value has a
 * line "NAME PENDING WAIT_MS" for each queue.
 */

/*
 * Interval of publishing. Callers may get counts that are up to 2 s old, of
 * which writing and watching the key take some ms.
 */
#define PUBLISH_US (800 * CS_MSEC)

static void add_line(void *ctx, const char *queue, int pending, int64_t wait_ms)
{
	g_string_append_printf(ctx, "%s %d %" PRId64 "\n", queue, pending,
			       wait_ms);
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

	if (n->owner.state != OWNER_ACTIVE || now < n->next_publish_at)
		return;
	n->next_publish_at = now + PUBLISH_US;
	text = g_string_new(NULL);
	sched_for_each_queue(n->sched, add_line, text);
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

void queues_read(struct node *n, const struct store_item *item)
{
	char *text = store_text(item->value);
	char **lines = g_strsplit(text, "\n", 0);
	char name[CS_NAME_MAX];
	int64_t pending, wait_ms;
	int i;

	n->queues_revision = MAX(n->queues_revision, item->revision);
	g_hash_table_remove_all(n->queue_loads);
	for (i = 0; lines[i]; i++) {
		struct queue_load *load;

		if (sscanf(lines[i], "%63s %" SCNd64 " %" SCNd64, name,
			   &pending, &wait_ms) != 3)
			continue;
		load = g_new(struct queue_load, 1);
		load->pending = pending;
		load->wait_ms = wait_ms;
		g_hash_table_insert(n->queue_loads, g_strdup(name), load);
	}
	g_strfreev(lines);
	g_free(text);
}
