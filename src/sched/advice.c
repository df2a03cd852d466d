#include "sched_private.h"

#include <string.h>

#include "../base/error.h"
#include "../base/log.h"

/*
 * Tickets of the placement advisor. The advisor serves one request at a time
 * for each caller, so requests are queued and only one is in flight.
 */

/* Added to the advisor's nominal response time for the timeout. */
#define ADVICE_SLACK_MS 1500
/* Delay of the next request for a step after a failed one. */
#define ADVICE_RETRY_US (300 * CS_MSEC)
/* A ticket must be valid for this long, as the start order takes time. */
#define TICKET_MARGIN_US (300 * CS_MSEC)

struct ticket {
	char *text;
	cs_time until;
};

/* The tickets and the request of one step. */
struct step_advice {
	char step[BATCH_TASK_NAME_MAX];
	cs_handle job;
	GHashTable *tickets; /* server id -> struct ticket */
	bool is_pending; /* queued or in flight */
	cs_time not_before;
};

struct advice {
	GHashTable *steps; /* name -> struct step_advice */
	GQueue waiting; /* struct step_advice */
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
	struct step_advice *sa = row;

	g_hash_table_destroy(sa->tickets);
	g_free(sa);
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

static void step_name(const struct job *j, int occurrence, int step, char *out)
{
	g_snprintf(out, BATCH_TASK_NAME_MAX, "%s.%d.%d", j->batch->id,
		   occurrence, step);
}

const char *advice_ticket(const struct sched *s, const struct job *j,
			  int occurrence, int step, const struct server *v,
			  cs_time now)
{
	char name[BATCH_TASK_NAME_MAX];
	const struct step_advice *sa;
	const struct ticket *t;

	if (!g_hash_table_size(s->advice->steps))
		return NULL;
	step_name(j, occurrence, step, name);
	sa = g_hash_table_lookup(s->advice->steps, name);
	t = sa ? g_hash_table_lookup(sa->tickets, v->info.id) : NULL;
	return t && now + TICKET_MARGIN_US < t->until ? t->text : NULL;
}

void advice_drop_ticket(struct sched *s, const struct job *j, int occurrence,
			int step, const struct server *v)
{
	char name[BATCH_TASK_NAME_MAX];
	struct step_advice *sa;

	step_name(j, occurrence, step, name);
	sa = g_hash_table_lookup(s->advice->steps, name);
	if (sa)
		g_hash_table_remove(sa->tickets, v->info.id);
}

/* True if the job of a step is final and no request is pending. */
static gboolean is_finished(void *key, void *row, void *ctx)
{
	const struct sched *s = ctx;
	const struct step_advice *sa = row;
	const struct job *j = slots_get(s->jobs, sa->job);

	(void)key;
	return !sa->is_pending && (!j || batch_is_final(j->batch));
}

/* Sends the oldest request whose job is not final. */
static void send_next_request(struct sched *s, cs_time now)
{
	struct advice *a = s->advice;
	const struct site_terms *terms;
	const struct job *j = NULL;
	struct step_advice *sa;
	struct order *o;
	guint i;

	g_hash_table_foreach_remove(a->steps, is_finished, s);
	while ((sa = g_queue_pop_head(&a->waiting))) {
		j = slots_get(s->jobs, sa->job);
		if (j && j->pool && !batch_is_final(j->batch))
			break;
		sa->is_pending = false;
	}
	if (!sa)
		return;
	o = order_new(ORDER_ADVISE);
	o->servers = g_ptr_array_new_with_free_func(g_free);
	cs_copy(o->step, sizeof(o->step), sa->step);
	for (i = 0; i < j->pool->servers->len; i++) {
		const struct server *v = g_ptr_array_index(j->pool->servers, i);

		if (o->servers->len < ORDER_ADVICE_MAX &&
		    place_is_usable(s, v, now))
			g_ptr_array_add(o->servers, g_strdup(v->info.id));
	}
	terms = sched_terms_of(s, j);
	o->timeout_ms = terms->advice.decision_ms +
			terms->advice.per_worker_ms * o->servers->len +
			ADVICE_SLACK_MS;
	a->in_flight = sa;
	a->sent_at = now;
	s->ops->send(s->ctx, o);
}

void advice_request(struct sched *s, const struct job *j, int occurrence,
		    int step, cs_time now)
{
	char name[BATCH_TASK_NAME_MAX];
	struct step_advice *sa;
	GHashTableIter it;
	void *row;

	step_name(j, occurrence, step, name);
	sa = g_hash_table_lookup(s->advice->steps, name);
	if (!sa) {
		sa = g_new0(struct step_advice, 1);
		cs_copy(sa->step, sizeof(sa->step), name);
		sa->job = j->self;
		sa->tickets = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, ticket_free);
		g_hash_table_insert(s->advice->steps, sa->step, sa);
	}
	if (sa->is_pending || now < sa->not_before)
		return;
	/*
	 * One valid ticket shows that the last reply is still current. If the
	 * servers with tickets have no room, a new request would not help.
	 */
	g_hash_table_iter_init(&it, sa->tickets);
	while (g_hash_table_iter_next(&it, NULL, &row))
		if (now + TICKET_MARGIN_US < ((struct ticket *)row)->until)
			return;
	sa->is_pending = true;
	g_queue_push_tail(&s->advice->waiting, sa);
	if (!s->advice->in_flight)
		send_next_request(s, now);
}

static void take_tickets(struct step_advice *sa, const struct order_reply *d)
{
	guint i;

	g_hash_table_remove_all(sa->tickets);
	for (i = 0; i < d->tickets->len; i++) {
		const struct order_ticket *row =
			g_ptr_array_index(d->tickets, i);
		struct ticket *t = g_new0(struct ticket, 1);

		t->text = g_strdup(row->ticket);
		/*
		 * Validity begins when the advisor replies; half of the round
		 * trip time is deducted.
		 */
		t->until = d->received + d->validity_ms * CS_MSEC -
			   (d->received - d->sent) / 2;
		g_hash_table_insert(sa->tickets, g_strdup(row->server), t);
	}
}

void advice_on_reply(struct sched *s, const struct order_reply *d, cs_time now)
{
	struct step_advice *sa = s->advice->in_flight;
	GString *pairs;

	if (!sa)
		return;
	s->advice->in_flight = NULL;
	sa->is_pending = false;
	if (d->result == ORDER_DONE)
		take_tickets(sa, d);
	if (d->result != ORDER_DONE || !d->tickets->len)
		sa->not_before = now + ADVICE_RETRY_US;
	pairs = g_string_new(NULL);
	log_pair(pairs, "step", sa->step);
	log_pair(pairs, "result", order_result_name(d->result));
	log_pair_int(pairs, "tickets", d->tickets->len);
	log_pair_int(pairs, "took_ms", (now - s->advice->sent_at) / CS_MSEC);
	sched_log(s, "advice", pairs);
	send_next_request(s, now);
}
