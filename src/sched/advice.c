#include "sched_private.h"

#include <string.h>

#include "../base/error.h"
#include "../base/log.h"

/*
 * Tickets of the placement advisor. It serves one question at a time for each
 * caller, so questions wait in a queue here, and one is open at any time.
 */

/* Beyond the time that the advisor says it needs, until an answer is late. */
#define ADVICE_SLACK_MS 1500
/* A step is asked about again this long after a failure. */
#define ADVICE_RETRY_US (300 * CS_MSEC)
/* A ticket is not used in its last part, as the start takes time as well. */
#define TICKET_MARGIN_US (300 * CS_MSEC)

struct ticket {
	char *text;
	cs_time until;
};

/* What is known of one step. */
struct step_advice {
	char step[BATCH_TASK_NAME_MAX];
	cs_handle job;
	GHashTable *tickets; /* server id -> struct ticket */
	bool is_pending; /* in the queue, or asked */
	cs_time not_before;
};

struct advice {
	GHashTable *steps; /* name -> struct question */
	GQueue waiting; /* struct question */
	struct step_advice *in_flight;
	cs_time sent_at;
};

static void ticket_free(void *row)
{
	struct ticket *t = row;

	g_free(t->text);
	g_free(t);
}

static void step_advice_free(void *row)
{
	struct step_advice *q = row;

	g_hash_table_destroy(q->tickets);
	g_free(q);
}

struct advice *advice_create(void)
{
	struct advice *a = g_new0(struct advice, 1);

	a->steps = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					 step_advice_free);
	return a;
}

void advice_destroy(struct advice *a)
{
	g_queue_clear(&a->waiting);
	g_hash_table_destroy(a->steps);
	g_free(a);
}

static void step_name(const struct job *j, int round, int step, char *out)
{
	g_snprintf(out, BATCH_TASK_NAME_MAX, "%s.%d.%d", j->batch->id, round,
		   step);
}

const char *advice_ticket(const struct sched *s, const struct job *j, int round,
			  int step, const struct server *v, cs_time now)
{
	char name[BATCH_TASK_NAME_MAX];
	const struct step_advice *q;
	const struct ticket *t;

	if (!g_hash_table_size(s->advice->steps))
		return NULL;
	step_name(j, round, step, name);
	q = g_hash_table_lookup(s->advice->steps, name);
	t = q ? g_hash_table_lookup(q->tickets, v->info.id) : NULL;
	return t && now + TICKET_MARGIN_US < t->until ? t->text : NULL;
}

void advice_drop_ticket(struct sched *s, const struct job *j, int round,
			int step, const struct server *v)
{
	char name[BATCH_TASK_NAME_MAX];
	struct step_advice *q;

	step_name(j, round, step, name);
	q = g_hash_table_lookup(s->advice->steps, name);
	if (q)
		g_hash_table_remove(q->tickets, v->info.id);
}

/* Forgets the steps of jobs that are over; none is waiting by then. */
static gboolean is_finished(void *key, void *row, void *ctx)
{
	const struct sched *s = ctx;
	const struct step_advice *q = row;
	const struct job *j = slots_get(s->jobs, q->job);

	(void)key;
	return !q->is_pending && (!j || batch_is_final(j->batch));
}

/* Sends the oldest question that still matters. */
static void send_next_request(struct sched *s, cs_time now)
{
	struct advice *a = s->advice;
	const struct site_queue *sq = NULL;
	const struct job *j = NULL;
	struct step_advice *q;
	struct order *o;
	guint i;

	g_hash_table_foreach_remove(a->steps, is_finished, s);
	while ((q = g_queue_pop_head(&a->waiting))) {
		j = slots_get(s->jobs, q->job);
		sq = j ? sched_queue_of(s, j) : NULL;
		if (sq && !batch_is_final(j->batch))
			break;
		q->is_pending = false;
	}
	if (!q)
		return;
	o = order_new(ORDER_ADVISE);
	o->servers = g_ptr_array_new_with_free_func(g_free);
	cs_copy(o->step, sizeof(o->step), q->step);
	for (i = 0; i < j->pool->servers->len; i++) {
		const struct server *v = g_ptr_array_index(j->pool->servers, i);

		if (o->servers->len < ORDER_ADVICE_MAX &&
		    place_is_usable(s, v, now))
			g_ptr_array_add(o->servers, g_strdup(v->info.id));
	}
	o->timeout_ms = sq->advice.decision_ms +
			sq->advice.per_worker_ms * o->servers->len +
			ADVICE_SLACK_MS;
	a->in_flight = q;
	a->sent_at = now;
	s->ops->send(s->ctx, o);
}

void advice_request(struct sched *s, const struct job *j, int round, int step,
		    cs_time now)
{
	char name[BATCH_TASK_NAME_MAX];
	struct step_advice *q;
	GHashTableIter it;
	void *row;

	step_name(j, round, step, name);
	q = g_hash_table_lookup(s->advice->steps, name);
	if (!q) {
		q = g_new0(struct step_advice, 1);
		cs_copy(q->step, sizeof(q->step), name);
		q->job = j->self;
		q->tickets = g_hash_table_new_full(g_str_hash, g_str_equal,
						   g_free, ticket_free);
		g_hash_table_insert(s->advice->steps, q->step, q);
	}
	if (q->is_pending || now < q->not_before)
		return;
	/* Servers without room have tickets too: that is no reason to ask. */
	g_hash_table_iter_init(&it, q->tickets);
	while (g_hash_table_iter_next(&it, NULL, &row))
		if (now + TICKET_MARGIN_US < ((struct ticket *)row)->until)
			return;
	q->is_pending = true;
	g_queue_push_tail(&s->advice->waiting, q);
	if (!s->advice->in_flight)
		send_next_request(s, now);
}

static void take_tickets(struct step_advice *q, const struct order_done *d)
{
	guint i;

	g_hash_table_remove_all(q->tickets);
	for (i = 0; i < d->tickets->len; i++) {
		const struct order_ticket *row =
			g_ptr_array_index(d->tickets, i);
		struct ticket *t = g_new0(struct ticket, 1);

		t->text = g_strdup(row->ticket);
		/* Validity begins when the advisor answers, after sent. */
		t->until = d->received + d->validity_ms * CS_MSEC -
			   (d->received - d->sent) / 2;
		g_hash_table_insert(q->tickets, g_strdup(row->server), t);
	}
}

void advice_on_done(struct sched *s, const struct order_done *d, cs_time now)
{
	struct step_advice *q = s->advice->in_flight;
	GString *pairs;

	if (!q)
		return;
	s->advice->in_flight = NULL;
	q->is_pending = false;
	if (d->result == ORDER_DONE)
		take_tickets(q, d);
	if (d->result != ORDER_DONE || !d->tickets->len)
		q->not_before = now + ADVICE_RETRY_US;
	pairs = g_string_new(NULL);
	log_pair(pairs, "step", q->step);
	log_pair(pairs, "result", order_result_name(d->result));
	log_pair_int(pairs, "tickets", d->tickets->len);
	log_pair_int(pairs, "took_ms", (now - s->advice->sent_at) / CS_MSEC);
	sched_log(s, "advice", pairs);
	send_next_request(s, now);
}
