#include "../sched_private.h"

#include <string.h>

#include "../../base/error.h"

/*
 * Fencing tokens of the orders to servers. A server does nothing for a token
 * below the highest one that it has seen. All orders of an owner could have the
 * same token, but an order that was left unanswered may be carried out seconds
 * later, by the next incarnation of the server. A hold then prolongs a lease by
 * a clock that has started anew, or acknowledges ends that were never listed.
 * So each incarnation gets a higher token than the one before, and is used only
 * after it has answered under that token.
 */

/* A server without a row, to which orders may still be on their way. */
struct removed_server {
	char id[SITE_NAME_MAX];
	uint64_t token; /* of its last orders */
	cs_time at;
};

struct fence {
	uint64_t token; /* the highest that this owner may use */
	uint64_t needed_token; /* for all incarnations that are known */
	GQueue removed; /* struct removed_server, the first to be removed first
			 */
};

struct fence *fence_create(uint64_t token)
{
	struct fence *f = g_new0(struct fence, 1);

	f->token = f->needed_token = token;
	return f;
}

void fence_destroy(struct fence *f)
{
	g_queue_clear_full(&f->removed, g_free);
	g_free(f);
}

/* Requires a token above the given one for the present incarnation. */
static void require_token_above(struct fence *f, struct server *v,
				uint64_t token)
{
	v->token_min = token + 1;
	if (f->token >= v->token_min)
		v->token = f->token;
	f->needed_token = MAX(f->needed_token, v->token_min);
}

static void drop_old(struct fence *f, cs_time now)
{
	const struct removed_server *r;

	while ((r = g_queue_peek_head(&f->removed)) &&
	       now - r->at > LATE_ORDER_US)
		g_free(g_queue_pop_head(&f->removed));
}

/* The last row of a server that was removed; NULL: none. */
static const struct removed_server *find_removed(const struct fence *f,
						 const char *id)
{
	const GList *l;

	for (l = f->removed.tail; l; l = l->prev) {
		const struct removed_server *r = l->data;

		if (!strcmp(r->id, id))
			return r;
	}
	return NULL;
}

void fence_add_server(struct sched *s, struct server *v, cs_time now)
{
	const struct removed_server *r;

	/* It may have seen this one before it left the registry. */
	v->token = s->fence->token;
	v->token_min = s->options.token;
	drop_old(s->fence, now);
	r = find_removed(s->fence, v->info.id);
	if (!r)
		return;
	v->late_orders_until = r->at + LATE_ORDER_US;
	require_token_above(s->fence, v, r->token);
}

void fence_next_incarnation(struct sched *s, struct server *v)
{
	require_token_above(s->fence, v, v->token);
}

void fence_remove_server(struct sched *s, const struct server *v, cs_time now)
{
	struct removed_server *r = g_new0(struct removed_server, 1);

	drop_old(s->fence, now);
	cs_copy(r->id, sizeof(r->id), v->info.id);
	r->token = v->token;
	r->at = now;
	g_queue_push_tail(&s->fence->removed, r);
}

bool fence_is_effective(const struct server *v, const struct order_reply *d)
{
	return d->token >= v->token_min;
}

bool fence_is_of_successor(const struct server *v, const struct order_reply *d)
{
	return d->token >= v->token;
}

bool sched_needs_token(const struct sched *s)
{
	return s->fence->needed_token > s->fence->token;
}

void sched_set_token(struct sched *s, uint64_t token, cs_time now)
{
	cs_handle h;

	s->fence->token = token;
	for (h = slots_next(s->servers, 0); h; h = slots_next(s->servers, h)) {
		struct server *v = server_row(s, h);

		if (v->token >= v->token_min || token < v->token_min)
			continue;
		v->token = token;
		servers_schedule_hold(s, v, now);
	}
}
