#include "../sched_private.h"

#include <string.h>

#include "../../base/error.h"
#include "../../base/log.h"

/*
 * Starts without an answer that were ruled out. A server rejects such a start
 * if it comes late, but its next incarnation does not, so that one is told
 * again.
 */

struct late_start {
	char server[SITE_NAME_MAX];
	char task[BATCH_TASK_NAME_MAX];
	uint32_t number;
	cs_time sent_at;
};

struct late_starts {
	GQueue rows; /* struct late_start */
};

struct late_starts *late_starts_create(void)
{
	return g_new0(struct late_starts, 1);
}

void late_starts_destroy(struct late_starts *l)
{
	g_queue_clear_full(&l->rows, g_free);
	g_free(l);
}

/* Drops the rows that are too old, as far as they are in order. */
static void drop_old(struct late_starts *l, cs_time now)
{
	const struct late_start *row;

	while ((row = g_queue_peek_head(&l->rows)) &&
	       now - row->sent_at > LATE_ORDER_US)
		g_free(g_queue_pop_head(&l->rows));
}

void late_starts_add(struct sched *s, const struct run *r, cs_time now)
{
	const struct job *j = slots_get(s->jobs, r->job);
	struct late_start *row;

	drop_old(s->late_starts, now);
	if (now - r->sent_at > LATE_ORDER_US)
		return;
	row = g_new0(struct late_start, 1);
	cs_copy(row->server, sizeof(row->server),
		server_row(s, r->server)->info.id);
	batch_task_name(j->batch, r->occurrence, r->step, r->index, row->task);
	row->number = r->number;
	row->sent_at = r->sent_at;
	g_queue_push_tail(&s->late_starts->rows, row);
}

void late_starts_reject(struct sched *s, struct server *v, cs_time now)
{
	const GList *l;
	int n = 0;

	drop_old(s->late_starts, now);
	for (l = s->late_starts->rows.head; l; l = l->next) {
		const struct late_start *row = l->data;

		if (strcmp(row->server, v->info.id))
			continue;
		runs_order_stop(s, v, row->task, row->number);
		n++;
	}
	if (n) {
		GString *pairs = g_string_new(NULL);

		log_pair(pairs, "server", v->info.id);
		log_pair_int(pairs, "starts", n);
		sched_log(s, "late_starts_rejected", pairs);
	}
}
