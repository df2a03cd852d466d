#include "../sched_private.h"

#include <string.h>

#include "../../base/error.h"
#include "../../base/log.h"

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

/*
 * A server that is not allowed is asked for again after this time. Which ones
 * are does not change, so this only corrects wrong answers.
 */
#define DENIAL_US (10 * CS_SEC)

/* What the advisor said of a server. */
struct answer {
	char *ticket; /* NULL: not allowed, or the request has no reply yet */
	cs_time until; /* until then it need not be asked for again */
	uint64_t started_unix_ms; /* of the incarnation that was asked for */
	bool is_pending; /* in the request that has no reply yet */
};

/* The answers and the request of one step. */
struct step_advice {
	char step[BATCH_TASK_NAME_MAX];
	cs_handle job;
	GHashTable *answers; /* server id -> struct answer */
	bool is_pending; /* queued or in flight */
	cs_time not_before;
};

struct advice {
	GHashTable *steps; /* name -> struct step_advice */
	GQueue waiting; /* struct step_advice */
	struct step_advice *in_flight;
	cs_time sent_at;
};

static void answer_free(void *row)
{
	struct answer *a = row;

	g_free(a->ticket);
	g_free(a);
}

static void step_advice_free(void *row)
{
	struct step_advice *sa = row;

	g_hash_table_destroy(sa->answers);
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

/* The answer for the present incarnation of a server, if it is still valid. */
static const struct answer *valid_answer(const struct step_advice *sa,
					 const struct server *v, cs_time now)
{
	const struct answer *a = g_hash_table_lookup(sa->answers, v->info.id);

	return a && a->started_unix_ms == v->info.started_unix_ms &&
			       now + TICKET_MARGIN_US < a->until ?
		       a :
		       NULL;
}

const char *advice_ticket(const struct sched *s, const struct job *j,
			  int occurrence, int step, const struct server *v,
			  cs_time now)
{
	char name[BATCH_TASK_NAME_MAX];
	const struct step_advice *sa;
	const struct answer *a;

	if (!g_hash_table_size(s->advice->steps))
		return NULL;
	step_name(j, occurrence, step, name);
	sa = g_hash_table_lookup(s->advice->steps, name);
	a = sa ? valid_answer(sa, v, now) : NULL;
	return a ? a->ticket : NULL;
}

void advice_drop_ticket(struct sched *s, const struct job *j, int occurrence,
			int step, const struct server *v)
{
	char name[BATCH_TASK_NAME_MAX];
	struct step_advice *sa;

	step_name(j, occurrence, step, name);
	sa = g_hash_table_lookup(s->advice->steps, name);
	if (sa)
		g_hash_table_remove(sa->answers, v->info.id);
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

/*
 * Adds the usable servers without a valid answer to a request, as many as it
 * may name; the others follow with the next one.
 */
static void name_servers(struct sched *s, struct step_advice *sa,
			 const struct job *j, struct order *o, cs_time now)
{
	guint i;

	for (i = 0;
	     i < j->pool->servers->len && o->servers->len < ORDER_ADVICE_MAX;
	     i++) {
		const struct server *v = g_ptr_array_index(j->pool->servers, i);
		struct answer *a;

		if (!place_is_usable(s, v, now) || valid_answer(sa, v, now))
			continue;
		a = g_new0(struct answer, 1);
		a->started_unix_ms = v->info.started_unix_ms;
		a->is_pending = true;
		g_hash_table_replace(sa->answers, g_strdup(v->info.id), a);
		g_ptr_array_add(o->servers, g_strdup(v->info.id));
	}
}

static gboolean is_outdated(void *key, void *row, void *ctx)
{
	(void)key;
	return ((struct answer *)row)->until <= *(const cs_time *)ctx;
}

/* The request for a step; NULL if there is no server to ask for. */
static struct order *new_request(struct sched *s, struct step_advice *sa,
				 const struct job *j, cs_time now)
{
	const struct site_terms *terms = sched_terms_of(s, j);
	struct order *o = order_new(ORDER_ADVISE);

	o->servers = g_ptr_array_new_with_free_func(g_free);
	cs_copy(o->step, sizeof(o->step), sa->step);
	g_hash_table_foreach_remove(sa->answers, is_outdated, &now);
	name_servers(s, sa, j, o, now);
	if (!o->servers->len) {
		order_free(o);
		return NULL;
	}
	o->timeout_ms = terms->advice.decision_ms +
			terms->advice.per_worker_ms * o->servers->len +
			ADVICE_SLACK_MS;
	return o;
}

/* Sends the oldest request whose job is not final and that names a server. */
static void send_next_request(struct sched *s, cs_time now)
{
	struct advice *a = s->advice;
	struct step_advice *sa;

	g_hash_table_foreach_remove(a->steps, is_finished, s);
	while ((sa = g_queue_pop_head(&a->waiting))) {
		const struct job *j = slots_get(s->jobs, sa->job);
		struct order *o = NULL;

		if (j && j->pool && !batch_is_final(j->batch))
			o = new_request(s, sa, j, now);
		if (o) {
			a->in_flight = sa;
			a->sent_at = now;
			s->ops->send(s->ctx, o);
			return;
		}
		sa->is_pending = false;
		sa->not_before = now + ADVICE_RETRY_US;
	}
}

static bool has_server_to_ask_for(const struct sched *s,
				  const struct step_advice *sa,
				  const struct job *j, cs_time now)
{
	guint i;

	for (i = 0; i < j->pool->servers->len; i++) {
		const struct server *v = g_ptr_array_index(j->pool->servers, i);

		if (place_is_usable(s, v, now) && !valid_answer(sa, v, now))
			return true;
	}
	return false;
}

void advice_request(struct sched *s, const struct job *j, int occurrence,
		    int step, cs_time now)
{
	char name[BATCH_TASK_NAME_MAX];
	struct step_advice *sa;

	step_name(j, occurrence, step, name);
	sa = g_hash_table_lookup(s->advice->steps, name);
	if (!sa) {
		sa = g_new0(struct step_advice, 1);
		cs_copy(sa->step, sizeof(sa->step), name);
		sa->job = j->self;
		sa->answers = g_hash_table_new_full(g_str_hash, g_str_equal,
						    g_free, answer_free);
		g_hash_table_insert(s->advice->steps, sa->step, sa);
	}
	if (sa->is_pending || now < sa->not_before)
		return;
	/* If all servers with tickets are full, only another one can help. */
	if (!has_server_to_ask_for(s, sa, j, now)) {
		sa->not_before = now + ADVICE_RETRY_US;
		return;
	}
	sa->is_pending = true;
	g_queue_push_tail(&s->advice->waiting, sa);
	if (!s->advice->in_flight)
		send_next_request(s, now);
}

/* Drops the answers of a request without a reply. */
static gboolean is_pending_answer(void *key, void *row, void *ctx)
{
	(void)key;
	(void)ctx;
	return ((struct answer *)row)->is_pending;
}

/* The servers that a reply does not allow are not asked for again soon. */
static void take_answers(struct step_advice *sa, const struct order_reply *d)
{
	GHashTableIter it;
	void *row;
	guint i;

	g_hash_table_iter_init(&it, sa->answers);
	while (g_hash_table_iter_next(&it, NULL, &row)) {
		struct answer *a = row;

		if (a->is_pending)
			a->until = d->received + DENIAL_US;
		a->is_pending = false;
	}
	for (i = 0; i < d->tickets->len; i++) {
		const struct order_ticket *t = g_ptr_array_index(d->tickets, i);
		struct answer *a = g_hash_table_lookup(sa->answers, t->server);

		if (!a)
			continue;
		g_free(a->ticket);
		a->ticket = g_strdup(t->ticket);
		/*
		 * Validity begins when the advisor replies; half of the round
		 * trip time is deducted.
		 */
		a->until = d->received + d->validity_ms * CS_MSEC -
			   (d->received - d->sent) / 2;
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
		take_answers(sa, d);
	else
		g_hash_table_foreach_remove(sa->answers, is_pending_answer,
					    NULL);
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
