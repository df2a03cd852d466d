#include "../sched_private.h"

#include "../../base/error.h"
#include "../../base/log.h"

/*
 * Starts without an answer that were ruled out, or whose server does not answer
 * any more. A server rejects such a start if it comes late, but its next
 * incarnation does not, until it has answered under a higher token. So that one
 * is told to reject it, and meanwhile the task is not started elsewhere.
 */

struct late_start {
	char server[SITE_NAME_MAX];
	char task[BATCH_TASK_NAME_MAX];
	cs_handle job;
	uint32_t number;
	cs_time sent_at;
	bool has_held; /* that it holds its task back was logged */
};

struct late_starts {
	GQueue rows; /* struct late_start, oldest first */
	/* Name or identifier -> GPtrArray of struct late_start. */
	GHashTable *by_task, *by_server;
};

static void free_array(void *array)
{
	g_ptr_array_free(array, TRUE);
}

static GHashTable *create_index(void)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				     free_array);
}

static void index_add(GHashTable *index, const char *key,
		      struct late_start *row)
{
	GPtrArray *rows = g_hash_table_lookup(index, key);

	if (!rows) {
		rows = g_ptr_array_new();
		g_hash_table_insert(index, g_strdup(key), rows);
	}
	g_ptr_array_add(rows, row);
}

static void index_remove(GHashTable *index, const char *key,
			 struct late_start *row)
{
	GPtrArray *rows = g_hash_table_lookup(index, key);

	g_ptr_array_remove(rows, row);
	if (!rows->len)
		g_hash_table_remove(index, key);
}

struct late_starts *late_starts_create(void)
{
	struct late_starts *l = g_new0(struct late_starts, 1);

	l->by_task = create_index();
	l->by_server = create_index();
	return l;
}

void late_starts_destroy(struct late_starts *l)
{
	g_hash_table_destroy(l->by_task);
	g_hash_table_destroy(l->by_server);
	g_queue_clear_full(&l->rows, g_free);
	g_free(l);
}

/*
 * How long after a start was sent a run of it may last: it may be carried out
 * late by a next incarnation, with the longest lease.
 */
static cs_time hold_us(const struct sched *s)
{
	return LATE_ORDER_US + incarnation_longest_lease_us(s);
}

static void remove_row(struct sched *s, struct late_start *row)
{
	struct late_starts *l = s->late_starts;
	struct job *j = slots_get(s->jobs, row->job);

	index_remove(l->by_task, row->task, row);
	index_remove(l->by_server, row->server, row);
	if (j)
		j->late_starts--;
	g_free(row);
}

/* Drops the rows that are too old, as far as they are in order. */
static void drop_old(struct sched *s, cs_time now)
{
	struct late_starts *l = s->late_starts;
	const struct late_start *row;

	while ((row = g_queue_peek_head(&l->rows)) &&
	       now - row->sent_at > hold_us(s))
		remove_row(s, g_queue_pop_head(&l->rows));
}

void late_starts_add(struct sched *s, const struct run *r, cs_time now)
{
	struct late_starts *l = s->late_starts;
	struct job *j = slots_get(s->jobs, r->job);
	struct late_start *row;

	drop_old(s, now);
	if (now - r->sent_at > LATE_ORDER_US)
		return;
	row = g_new0(struct late_start, 1);
	cs_copy(row->server, sizeof(row->server),
		server_row(s, r->server)->info.id);
	batch_task_name(j->batch, r->occurrence, r->step, r->index, row->task);
	row->job = j->self;
	row->number = r->number;
	row->sent_at = r->sent_at;
	g_queue_push_tail(&l->rows, row);
	index_add(l->by_task, row->task, row);
	index_add(l->by_server, row->server, row);
	j->late_starts++;
}

void late_starts_reject(struct sched *s, struct server *v, cs_time now)
{
	const GPtrArray *rows;
	guint i;
	int n = 0;

	drop_old(s, now);
	rows = g_hash_table_lookup(s->late_starts->by_server, v->info.id);
	for (i = 0; rows && i < rows->len; i++) {
		const struct late_start *row = g_ptr_array_index(rows, i);

		if (now - row->sent_at > LATE_ORDER_US)
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

/*
 * Why the present incarnation of a server, or one that is not known yet, may
 * carry out a late start unnoticed; NULL: it would not. A server that has left
 * the registry may be lost for good, so tasks don't wait for it: those that
 * last would be away for too long, and a job at the end of its time as well.
 */
static const char *find_hold(const struct sched *s,
			     const struct late_start *row)
{
	const struct server *v =
		g_hash_table_lookup(s->server_by_id, row->server);

	if (!v)
		return NULL;
	if (v->next_started_unix_ms ||
	    (!v->is_dead && (!v->is_taken_over || v->is_incarnation_doubtful)))
		return "incarnation";
	return v->unanswered_orders && v->is_listed ? "silent" : NULL;
}

static void log_hold(struct sched *s, struct late_start *row, const char *why,
		     cs_time now)
{
	GString *pairs;

	if (row->has_held)
		return;
	row->has_held = true;
	pairs = g_string_new(NULL);
	log_pair(pairs, "task", row->task);
	log_pair_int(pairs, "run", row->number);
	log_pair(pairs, "server", row->server);
	log_pair(pairs, "why", why);
	log_pair_int(pairs, "age_ms", (now - row->sent_at) / CS_MSEC);
	sched_log(s, "task_held", pairs);
	counters_add(s->counters, "camphorshed_held_tasks_total", "", 1);
}

bool late_starts_hold(struct sched *s, const struct task_ref *ref, cs_time now)
{
	char task[BATCH_TASK_NAME_MAX];
	const GPtrArray *of_task;
	guint i;

	if (!ref->job->late_starts)
		return false;
	drop_old(s, now);
	batch_task_name(ref->job->batch, ref->occurrence, ref->step, ref->index,
			task);
	of_task = g_hash_table_lookup(s->late_starts->by_task, task);
	for (i = 0; of_task && i < of_task->len; i++) {
		struct late_start *row = g_ptr_array_index(of_task, i);
		const char *why = find_hold(s, row);

		if (!why)
			continue;
		log_hold(s, row, why, now);
		return true;
	}
	return false;
}
