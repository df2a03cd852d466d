#include "dispatch_private.h"

#include <string.h>

#include "../base/error.h"

/* A request waits this long before it is forwarded to another data centre. */
#define FORWARD_AFTER (100 * CS_MSEC)

/* The same for a request without a permit while the platform is down. */
#define PERMIT_FORWARD_AFTER (500 * CS_MSEC)

/*
 * Requests of one pool that are forwarded in one tick of 20 ms. The load of the
 * other data centre is known with a delay of a second, so it is filled slowly.
 */
#define FORWARD_PER_TICK 4

/*
 * The deadline passed to the other entry is this much earlier, so that its
 * answer, which may be "not run", arrives before the deadline here.
 */
#define FORWARD_MARGIN_MS 20

/* The index of a random entry of the data centre that is up, or -1. */
static int choose_entry(struct part_ctx *ctx, const char *data_centre)
{
	const struct entry_options *o = ctx->options;
	int chosen = -1, candidates = 0;
	size_t i;

	for (i = 0; i < o->peers_nr; i++) {
		if (!ctx->peers[i].is_up ||
		    strcmp(o->peers[i].data_centre, data_centre))
			continue;
		if (g_rand_int_range(ctx->rng, 0, ++candidates) == 0)
			chosen = (int)i;
	}
	return chosen;
}

bool dispatch_forward(struct part_ctx *ctx, struct request *r,
		      const char *data_centre)
{
	int64_t left = (r->deadline - ctx->now) / CS_MSEC - FORWARD_MARGIN_MS;
	int i = choose_entry(ctx, data_centre);
	struct submit *copy;
	struct msg *msg;

	if (i < 0 || left <= 0 || *r->origin || r->is_forward_refused)
		return false;
	if (!r->submit.is_idempotent && r->may_have_run)
		return false;
	msg = part_peer_msg(PEER_FORWARD, ctx->options->peers[i].id);
	msg->u.peer.ref = r->self;
	copy = &msg->u.peer.u.forward;
	*copy = r->submit;
	copy->body = g_bytes_ref(r->submit.body);
	copy->deadline_ms = left;
	copy->hops++;
	copy->caller = 0;
	r->state = REQUEST_FORWARDED;
	r->started = ctx->now;
	cs_copy(r->forwarded_to, sizeof(r->forwarded_to),
		ctx->options->peers[i].id);
	counters_add(ctx->counters, "forwards_total", "", 1);
	part_emit(ctx, msg);
	return true;
}

void dispatch_forward_cancel(struct part_ctx *ctx, struct request *r)
{
	struct msg *msg = part_peer_msg(PEER_FORWARD_CANCEL, r->forwarded_to);

	msg->u.peer.ref = r->self;
	part_emit(ctx, msg);
}

/*
 * The data centre to which waiting requests of the pool can go, or NULL.
 * is_forced is set if none of them can be served here.
 */
static const char *pool_target(struct part_ctx *ctx, const struct pool_queue *p,
			       bool *is_forced)
{
	*is_forced =
		!fleet_pool_slots(ctx, p->name) ||
		config_sync_is_data_centre_out(ctx, ctx->options->data_centre);
	return share_spare_data_centre(ctx, p->name);
}

/*
 * The data centre to which a waiting request should go now, or NULL. A request
 * that lacks a permit would wait as long elsewhere. But while the platform is
 * down this entry gets no permits, and another entry of this data centre may
 * hold some.
 */
static const char *request_target(struct part_ctx *ctx, const struct request *r,
				  const char *spare, bool is_forced)
{
	cs_time waited = ctx->now - r->arrived;

	if (is_forced)
		return spare;
	if (!r->team->is_blocked)
		return waited >= FORWARD_AFTER ? spare : NULL;
	if (config_sync_is_platform_up(ctx) || waited < PERMIT_FORWARD_AFTER)
		return NULL;
	return ctx->options->data_centre;
}

void dispatch_forward_waiting(struct part_ctx *ctx, struct pool_queue *p)
{
	struct dispatch *d = ctx->parts.dispatch;
	const char *spare, *target;
	struct request *r;
	cs_handle h, next;
	bool is_forced;
	int n = 0;

	spare = pool_target(ctx, p, &is_forced);
	for (h = request_next(d->table, 0); h; h = next) {
		next = request_next(d->table, h);
		r = request_get(d->table, h);
		if (r->pool != p || r->state != REQUEST_QUEUED ||
		    r->is_forward_refused ||
		    (!is_forced && n >= FORWARD_PER_TICK))
			continue;
		target = request_target(ctx, r, spare, is_forced);
		if (!target)
			continue;
		request_dequeue(d->table, r);
		share_add_queued(ctx, r->team->share_row, -1);
		if (!dispatch_forward(ctx, r, target)) {
			dispatch_enqueue(ctx, r, true);
			continue;
		}
		n++;
		/* Otherwise the ledger keeps permits for forwarded work. */
		if (!r->team->totals->queued)
			dispatch_report_demand(ctx, r->team);
	}
}

/*
 * Sends the other entry's answer to the caller. A request that did not run
 * there is queued here again.
 */
static void on_forward_reply(struct part_ctx *ctx, struct peer_msg *peer)
{
	struct request *r = request_get(ctx->parts.dispatch->table, peer->ref);
	struct reply reply = peer->u.forward_reply;
	struct pool_queue *pool;

	if (!r || r->state != REQUEST_FORWARDED ||
	    strcmp(r->forwarded_to, peer->peer)) {
		counters_add(ctx->counters, "late_answers_total", "", 1);
		return;
	}
	dispatch_span(ctx, r, "peer_relay", peer->peer, r->started,
		      reply.outcome == OUTCOME_NOT_RUN ? "not_run" :
							 "answered");
	r->state = REQUEST_BACKOFF; /* the forward has ended */
	if (reply.outcome == OUTCOME_NOT_RUN && ctx->now < r->deadline) {
		r->is_forward_refused = true;
		pool = r->pool;
		if (dispatch_requeue(ctx, r, true))
			dispatch_schedule(ctx, pool);
		return;
	}
	if (reply.outcome == OUTCOME_UNKNOWN)
		r->may_have_run = true;
	if (reply.outcome == OUTCOME_NOT_RUN) {
		struct refusal refusal = { OUTCOME_NOT_RUN, reply.status,
					   reply.reason,    "peer_relay",
					   peer->peer,	    1000 };

		dispatch_refuse(ctx, r, &refusal);
		return;
	}
	peer->u.forward_reply.body = NULL; /* passed on */
	dispatch_answer(ctx, r, &reply);
}

void dispatch_on_peer(struct part_ctx *ctx, struct peer_msg *peer)
{
	struct request *r;

	switch (peer->kind) {
	case PEER_FORWARD:
		dispatch_submit(ctx, &peer->u.forward, peer->peer, peer->ref);
		break;
	case PEER_FORWARD_REPLY:
		on_forward_reply(ctx, peer);
		break;
	case PEER_FORWARD_CANCEL:
		r = request_by_origin(ctx->parts.dispatch->table, peer->peer,
				      peer->ref);
		if (r)
			dispatch_drop(ctx, r);
		break;
	default:
		break;
	}
}

/*
 * Handles the loss of the connection to the entry that a request was forwarded
 * to. The request may have run there.
 */
static void on_forward_lost(struct part_ctx *ctx, struct request *r)
{
	const struct refusal lost = { OUTCOME_UNKNOWN, 502,
				      "peer_lost",     "peer_relay",
				      r->forwarded_to, 0 };
	struct pool_queue *pool = r->pool;

	r->state = REQUEST_BACKOFF;
	r->may_have_run = true;
	if (!r->submit.is_idempotent ||
	    !retry_budget_withdraw(&r->pool->retry, &r->team->totals->retry)) {
		dispatch_refuse(ctx, r, &lost);
		return;
	}
	r->is_forward_refused = true;
	if (dispatch_requeue(ctx, r, true))
		dispatch_schedule(ctx, pool);
}

void dispatch_peer_lost(struct part_ctx *ctx, const char *peer)
{
	struct dispatch *d = ctx->parts.dispatch;
	struct request *r;
	cs_handle h, next;

	for (h = request_next(d->table, 0); h; h = next) {
		next = request_next(d->table, h);
		r = request_get(d->table, h);
		if (r->state == REQUEST_FORWARDED &&
		    !strcmp(r->forwarded_to, peer))
			on_forward_lost(ctx, r);
		else if (!strcmp(r->origin, peer))
			dispatch_drop(ctx, r);
	}
}
