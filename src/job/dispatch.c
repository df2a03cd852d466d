#include "dispatch_private.h"

#include <string.h>

#include "../base/error.h"
#include "../base/log.h"
#include "long_work.h"

/* Interval between attempts to start or forward waiting requests. */
#define TICK_INTERVAL (20 * CS_MSEC)

/*
 * A draining entry still accepts requests for this long, since the platform's
 * load balancer takes a while to see that the entry is no longer ready.
 */
#define DRAIN_GRACE (2 * CS_SEC)

/* Held permits of all teams of one entry. */
#define HELD_PERMITS_MAX 65536

/*
 * A full queue still takes urgent requests, up to its depth divided by this
 * number.
 */
#define URGENT_EXTRA_DIVISOR 4

/* Retry-After of requests that are refused for a temporary reason. */
#define RETRY_AFTER_MS 1000

void dispatch_span(struct part_ctx *ctx, const struct request *r,
		   const char *name, const char *peer, cs_time start,
		   const char *result)
{
	struct msg *msg = msg_new(MSG_SPAN);

	cs_copy(msg->u.span.name, sizeof(msg->u.span.name), name);
	cs_copy(msg->u.span.peer, sizeof(msg->u.span.peer), peer);
	cs_copy(msg->u.span.result, sizeof(msg->u.span.result), result);
	msg->u.span.trace = trace_child(&r->submit.trace, ctx->rng);
	msg->u.span.start = start;
	msg->u.span.end = ctx->now;
	part_emit(ctx, msg);
}

static void count_refusal(struct part_ctx *ctx, const char *reason,
			  enum outcome outcome)
{
	char labels[96];

	g_snprintf(labels, sizeof(labels), "reason=\"%s\",outcome=\"%s\"",
		   reason, outcome == OUTCOME_NOT_RUN ? "not_run" : "unknown");
	counters_add(ctx->counters, "refusals_total", labels, 1);
}

/*
 * Sends a reply to the caller or to the entry that forwarded the request. Takes
 * over the reference to the body.
 */
static void send_reply(struct part_ctx *ctx, cs_handle caller,
		       const char *origin, uint64_t ref,
		       const struct reply *reply)
{
	struct msg *msg;

	if (*origin) {
		msg = part_peer_msg(PEER_FORWARD_REPLY, origin);
		msg->u.peer.ref = ref;
		msg->u.peer.u.forward_reply = *reply;
	} else {
		msg = msg_new(MSG_REPLY);
		msg->u.reply = *reply;
		msg->u.reply.caller = caller;
	}
	part_emit(ctx, msg);
}

static void fill_refusal(struct reply *reply, const struct refusal *refusal,
			 const struct trace *trace)
{
	reply->outcome = refusal->outcome;
	reply->status = refusal->status;
	reply->retry_after_ms = refusal->retry_after_ms;
	reply->trace = *trace;
	cs_copy(reply->reason, sizeof(reply->reason), refusal->reason);
	cs_copy(reply->step, sizeof(reply->step), refusal->step);
	cs_copy(reply->peer, sizeof(reply->peer), refusal->peer);
}

static void free_request(struct part_ctx *ctx, struct request *r)
{
	dispatch_detach(ctx, r);
	timers_cancel(ctx->timers, r->deadline_timer);
	request_remove(ctx->parts.dispatch->table, r);
}

void dispatch_refuse(struct part_ctx *ctx, struct request *r,
		     const struct refusal *refusal)
{
	struct refusal adjusted = *refusal;
	struct reply reply = { 0 };

	if (adjusted.outcome == OUTCOME_NOT_RUN && !*r->origin &&
	    !MUTANT(ctx, "refuse-ignores-claim"))
		adjusted.outcome =
			submit_refusal_outcome(&r->submit, r->is_claimed);
	if (r->may_have_run && !MUTANT(ctx, "refuse-says-not-run"))
		adjusted.outcome = OUTCOME_UNKNOWN;
	if (adjusted.outcome == OUTCOME_NOT_RUN) {
		part_check_invariant(ctx, "not-run-is-true", !r->may_have_run);
		if (r->is_claimed)
			claim_sync_release(ctx, r->submit.request_id);
	}
	count_refusal(ctx, adjusted.reason, adjusted.outcome);
	fill_refusal(&reply, &adjusted, &r->submit.trace);
	dispatch_span(ctx, r, "entry", adjusted.peer, r->arrived,
		      adjusted.reason);
	send_reply(ctx, r->submit.caller, r->origin, r->origin_ref, &reply);
	free_request(ctx, r);
}

void dispatch_answer(struct part_ctx *ctx, struct request *r,
		     struct reply *reply)
{
	reply->trace = r->submit.trace;
	counters_add(ctx->counters, "answers_total", "", 1);
	dispatch_span(ctx, r, "entry", reply->peer, r->arrived, "answered");
	send_reply(ctx, r->submit.caller, r->origin, r->origin_ref, reply);
	free_request(ctx, r);
}

void dispatch_drop(struct part_ctx *ctx, struct request *r)
{
	counters_add(ctx->counters, "cancelled_total", "", 1);
	if (!r->may_have_run && r->state != REQUEST_RUNNING &&
	    r->state != REQUEST_FORWARDED && r->is_claimed)
		claim_sync_release(ctx, r->submit.request_id);
	free_request(ctx, r);
}

/* Refuses a submission for which there is no request. */
static void refuse_submit(struct part_ctx *ctx, const struct submit *submit,
			  const char *origin, uint64_t ref,
			  const struct refusal *refusal)
{
	struct reply reply = { 0 };

	count_refusal(ctx, refusal->reason, refusal->outcome);
	fill_refusal(&reply, refusal, &submit->trace);
	/* The entry that forwarded it holds the claim and sets the outcome. */
	if (reply.outcome == OUTCOME_NOT_RUN && !*origin &&
	    !MUTANT(ctx, "refuse-ignores-claim"))
		reply.outcome = submit_refusal_outcome(submit, false);
	send_reply(ctx, submit->caller, origin, ref, &reply);
}

static void on_tick(void *arg, uint64_t unused, cs_time now);

/* Starts the tick timer, which runs only while requests wait. */
static void start_tick(struct part_ctx *ctx)
{
	struct dispatch *d = ctx->parts.dispatch;

	if (!d->tick_timer)
		d->tick_timer = timers_subscribe(
			ctx->timers, ctx->now + TICK_INTERVAL, on_tick, ctx, 0);
}

void dispatch_report_demand(struct part_ctx *ctx, const struct team_queue *q)
{
	ledger_sync_set_demand(ctx, q->team,
			       q->totals->queued + q->totals->long_waiting);
}

void dispatch_enqueue(struct part_ctx *ctx, struct request *r, bool at_head)
{
	const struct document *doc = config_sync_document(ctx);
	const struct doc_team *team = document_team(doc, r->team->team);

	r->team->share_row = share_find_or_add_row(
		ctx, r->pool->name, r->team->team, team ? team->share : 1);
	request_enqueue(ctx->parts.dispatch->table, r, at_head);
	share_add_queued(ctx, r->team->share_row, 1);
	start_tick(ctx);
}

bool dispatch_requeue(struct part_ctx *ctx, struct request *r, bool at_head)
{
	struct refusal refusal = { OUTCOME_NOT_RUN, 0, NULL, "queue", "", 0 };
	struct admission adm;

	dispatch_admit(ctx, &r->submit, &adm);
	if (!adm.status) {
		dispatch_enqueue(ctx, r, at_head);
		return true;
	}
	refusal.status = adm.status;
	refusal.reason = adm.reason;
	dispatch_refuse(ctx, r, &refusal);
	return false;
}

void dispatch_add_long_waiting(struct part_ctx *ctx, const char *pool,
			       const char *team, int delta)
{
	struct dispatch *d = ctx->parts.dispatch;
	const struct doc_team *dt =
		document_team(config_sync_document(ctx), team);
	struct pool_queue *p = request_pool_queue(d->table, pool);
	struct team_queue *q = request_team_queue(d->table, p, team);

	q->share_row =
		share_find_or_add_row(ctx, pool, team, dt ? dt->share : 1);
	q->long_waiting += delta;
	p->long_waiting += delta;
	q->totals->long_waiting += delta;
	dispatch_report_demand(ctx, q);
	share_add_queued(ctx, q->share_row, delta);
	start_tick(ctx);
}

/*
 * Refuses a request at its deadline. The outcome of a forwarded request is
 * "unknown", since it may have run at the other entry.
 */
static void on_deadline(void *arg, uint64_t handle, cs_time now)
{
	static const struct refusal late = {
		OUTCOME_NOT_RUN, 504, "deadline", "queue", "", RETRY_AFTER_MS
	};
	struct part_ctx *ctx = arg;
	struct request *r = request_get(ctx->parts.dispatch->table, handle);

	ctx->now = now;
	if (!r)
		return;
	r->deadline_timer = 0;
	/* The worker client ends running attempts at the deadline. */
	if (r->state == REQUEST_RUNNING)
		return;
	if (r->state == REQUEST_FORWARDED)
		r->may_have_run = true;
	dispatch_refuse(ctx, r, &late);
}

/*
 * True if the queue of the pool has room for one more request. A full queue
 * still takes a limited number of urgent requests.
 */
static bool has_room(const struct part_ctx *ctx, const struct pool_queue *pool,
		     bool is_urgent)
{
	int depth = ctx->options->queue_depth;

	if (pool->queued < depth)
		return true;
	return is_urgent &&
	       pool->urgent.nr < MAX(1, depth / URGENT_EXTRA_DIVISOR);
}

/*
 * True for non-idempotent requests with an identifier, which must not run
 * twice. The entry that forwarded a request has claimed it already.
 */
static bool needs_claim(const struct part_ctx *ctx, const struct request *r)
{
	if (MUTANT(ctx, "dispatch-no-claim"))
		return false;
	return !r->submit.is_idempotent && *r->submit.request_id && !*r->origin;
}

/*
 * Requests the claim of an admitted request, or queues it if it needs none.
 * Each request adds to the retry budgets of its pool and team.
 */
static void begin_request(struct part_ctx *ctx, struct request *r)
{
	retry_budget_deposit(&r->pool->retry);
	retry_budget_deposit(&r->team->totals->retry);
	if (needs_claim(ctx, r)) {
		r->state = REQUEST_CLAIMING;
		claim_sync_request(ctx, r->self, r->submit.request_id);
		return;
	}
	dispatch_enqueue(ctx, r, false);
	dispatch_schedule(ctx, r->pool);
}

/*
 * Queues a request whose claim was granted. Any other is refused with
 * "unknown", because an earlier submission may have run. holder is the entry
 * that has the claim, NULL or "" if that is not known.
 */
static void on_claim(struct part_ctx *ctx, uint64_t ref,
		     enum claim_verdict verdict, const char *holder)
{
	static const struct refusal duplicate = {
		OUTCOME_UNKNOWN, 409, "duplicate", "claim", "", 0
	};
	static const struct refusal unavailable = {
		OUTCOME_UNKNOWN, 503, "claim_unavailable",
		"claim",	 "",  RETRY_AFTER_MS
	};
	struct request *r = request_get(ctx->parts.dispatch->table, ref);
	struct pool_queue *pool;
	struct refusal refusal;

	if (!r) /* refused or dropped meanwhile; the claim remains */
		return;
	if (r->state != REQUEST_CLAIMING)
		return;
	if (verdict == CLAIM_GRANTED) {
		r->is_claimed = true;
		pool = r->pool;
		if (dispatch_requeue(ctx, r, false))
			dispatch_schedule(ctx, pool);
		return;
	}
	refusal = verdict == CLAIM_DUPLICATE ? duplicate : unavailable;
	refusal.peer = holder ? holder : "";
	dispatch_refuse(ctx, r, &refusal);
}

static bool is_drain_grace_over(const struct part_ctx *ctx)
{
	const struct dispatch *d = ctx->parts.dispatch;

	return d->drain_began && ctx->now - d->drain_began > DRAIN_GRACE;
}

void dispatch_submit(struct part_ctx *ctx, const struct submit *submit,
		     const char *origin, uint64_t origin_ref)
{
	static const struct refusal draining = {
		OUTCOME_NOT_RUN, 503, "draining", "admission", "", 100
	};
	static const struct refusal out = {
		OUTCOME_NOT_RUN, 503, "data_centre_out",
		"admission",	 "",  RETRY_AFTER_MS
	};
	static const struct refusal stale = {
		OUTCOME_NOT_RUN, 503, "configuration_stale",
		"admission",	 "",  RETRY_AFTER_MS
	};
	static const struct refusal full = {
		OUTCOME_NOT_RUN, 429, "queue_full",
		"admission",	 "",  RETRY_AFTER_MS
	};
	struct dispatch *d = ctx->parts.dispatch;
	struct refusal refusal = {
		OUTCOME_NOT_RUN, 0, NULL, "admission", "", 0
	};
	struct admission adm;
	struct request *r;

	counters_add(ctx->counters, "submits_total", "", 1);
	if (is_drain_grace_over(ctx)) {
		refuse_submit(ctx, submit, origin, origin_ref, &draining);
		return;
	}
	/* Refused, since a forwarded request is not forwarded again. */
	if (*origin &&
	    config_sync_is_data_centre_out(ctx, ctx->options->data_centre)) {
		refuse_submit(ctx, submit, origin, origin_ref, &out);
		return;
	}
	dispatch_admit(ctx, submit, &adm);
	if (adm.status) {
		refusal.status = adm.status;
		refusal.reason = adm.reason;
		if (adm.status == 503)
			refusal.retry_after_ms = RETRY_AFTER_MS;
		refuse_submit(ctx, submit, origin, origin_ref, &refusal);
		return;
	}
	if (submit->work == WORK_LONG && !config_sync_is_fresh(ctx) &&
	    !MUTANT(ctx, "long-accept-stale")) {
		/* The key may have been withdrawn during a pause. */
		refuse_submit(ctx, submit, origin, origin_ref, &stale);
		return;
	}
	if (submit->work == WORK_LONG) {
		long_work_submit(ctx, submit, adm.team, adm.pool);
		return;
	}
	r = has_room(ctx, request_pool_queue(d->table, adm.pool),
		     submit->is_urgent) ?
		    request_add(d->table, submit, adm.pool, adm.team) :
		    NULL;
	if (!r) {
		refuse_submit(ctx, submit, origin, origin_ref, &full);
		return;
	}
	if (*origin)
		request_set_origin(d->table, r, origin, origin_ref);
	r->arrived = ctx->now;
	r->deadline = ctx->now + submit->deadline_ms * CS_MSEC;
	r->deadline_timer = timers_subscribe(ctx->timers, r->deadline,
					     on_deadline, ctx, r->self);
	begin_request(ctx, r);
}

/* Unblocks the teams of the pool and reports their demand for permits. */
static void retry_blocked(struct part_ctx *ctx, struct pool_queue *p)
{
	struct team_queue *q;
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, p->teams);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		q = value;
		if (!q->list.nr && !q->long_waiting)
			continue;
		if (q->is_blocked) {
			q->is_blocked = false;
			share_unblock(ctx, q->share_row);
		}
		dispatch_report_demand(ctx, q);
	}
}

static void process_pool(struct pool_queue *p, void *arg)
{
	struct part_ctx *ctx = arg;

	if (!p->queued && !p->long_waiting)
		return;
	retry_blocked(ctx, p);
	dispatch_schedule(ctx, p);
	dispatch_forward_waiting(ctx, p);
	if (p->queued || p->long_waiting)
		start_tick(ctx);
}

static void on_tick(void *arg, uint64_t unused, cs_time now)
{
	struct part_ctx *ctx = arg;

	(void)unused;
	ctx->now = now;
	ctx->parts.dispatch->tick_timer = 0;
	dispatch_process_all_pools(ctx);
}

void dispatch_process_pool(struct part_ctx *ctx, const char *pool)
{
	process_pool(request_pool_queue(ctx->parts.dispatch->table, pool), ctx);
}

void dispatch_process_all_pools(struct part_ctx *ctx)
{
	request_for_each_pool(ctx->parts.dispatch->table, process_pool, ctx);
}

struct dispatch_totals dispatch_team_totals(const struct part_ctx *ctx,
					    const char *team)
{
	struct team_totals *totals =
		request_team_totals(ctx->parts.dispatch->table, team);
	struct dispatch_totals out = { totals->queued, totals->running };

	return out;
}

/* Handles a caller that disconnected before its answer. */
static void on_caller_gone(struct part_ctx *ctx, cs_handle caller)
{
	struct request *r =
		request_by_caller(ctx->parts.dispatch->table, caller);

	if (r)
		dispatch_drop(ctx, r);
}

/*
 * Handles submissions of short and long work, and the results of tasks that
 * this part started: the core passes a result to the part named in it.
 */
static void dispatch_on_msg(struct part_ctx *ctx, struct msg *msg)
{
	switch (msg->type) {
	case MSG_SUBMIT:
		dispatch_submit(ctx, &msg->u.submit, "", 0);
		break;
	case MSG_CALLER_GONE:
		on_caller_gone(ctx, msg->u.caller);
		break;
	case MSG_TASK_DONE:
		dispatch_task_done(ctx, &msg->u.task_done);
		break;
	case MSG_TASK_CONTROL_DONE:
		dispatch_control_done(ctx, &msg->u.task_control_done);
		break;
	default:
		break;
	}
}

static void dispatch_on_peer_state(struct part_ctx *ctx,
				   const struct peer_state *state)
{
	if (!state->is_up)
		dispatch_peer_lost(ctx, state->peer);
}

/*
 * Refuses the waiting requests whose key was withdrawn, or whose team or queue
 * was removed.
 */
static void refuse_withdrawn(struct part_ctx *ctx)
{
	struct dispatch *d = ctx->parts.dispatch;
	struct refusal refusal = { OUTCOME_NOT_RUN, 0, NULL, "queue", "", 0 };
	struct admission adm;
	struct request *r;
	cs_handle h, next;

	for (h = request_next(d->table, 0); h; h = next) {
		next = request_next(d->table, h);
		r = request_get(d->table, h);
		if (r->state != REQUEST_QUEUED && r->state != REQUEST_BACKOFF)
			continue;
		dispatch_admit(ctx, &r->submit, &adm);
		if (!adm.status)
			continue;
		refusal.status = adm.status;
		refusal.reason = adm.reason;
		dispatch_refuse(ctx, r, &refusal);
	}
}

/*
 * Requests that wait are checked against the new document at once (invariant
 * I4), others when they are queued again.
 */
static void dispatch_on_config(struct part_ctx *ctx, const struct document *doc)
{
	struct dispatch *d = ctx->parts.dispatch;

	team_index_destroy(d->teams);
	d->teams = team_index_create(doc);
	refuse_withdrawn(ctx);
	dispatch_process_all_pools(ctx);
}

static void dispatch_drain(struct part_ctx *ctx)
{
	ctx->parts.dispatch->drain_began = ctx->now;
}

/*
 * False during the grace period, since the load balancer may still send
 * requests here.
 */
static bool dispatch_is_drained(struct part_ctx *ctx)
{
	struct dispatch *d = ctx->parts.dispatch;

	return is_drain_grace_over(ctx) && !request_count(d->table);
}

/* The team index starts empty and is replaced by the first configuration. */
static int dispatch_create(struct part_ctx *ctx, struct cs_error *err)
{
	struct dispatch *d = g_new0(struct dispatch, 1);
	struct document *empty = document_create();

	ctx->parts.dispatch = d;
	d->recently_used =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	d->teams = team_index_create(empty);
	document_destroy(empty);
	d->held_by_attempt = g_hash_table_new(g_int64_hash, g_int64_equal);
	d->table = request_table_create();
	d->held_permits =
		slots_create(sizeof(struct held_permit), HELD_PERMITS_MAX);
	if (!d->table || !d->held_permits)
		return cs_error_set(err, CS_ERR_NOMEM, "dispatch", NULL,
				    "out of memory");
	claim_sync_subscribe(ctx, on_claim);
	return CS_OK;
}

/*
 * Held permits are not released, since the ledger part is destroyed as well.
 */
static void dispatch_destroy(struct part_ctx *ctx)
{
	struct dispatch *d = ctx->parts.dispatch;

	if (!d)
		return;
	request_table_destroy(d->table);
	g_hash_table_destroy(d->held_by_attempt);
	slots_destroy(d->held_permits);
	team_index_destroy(d->teams);
	g_hash_table_destroy(d->recently_used);
	g_free(d);
	ctx->parts.dispatch = NULL;
}

const struct part_ops dispatch_part = {
	.name = "dispatch",
	.create = dispatch_create,
	.destroy = dispatch_destroy,
	.on_msg = dispatch_on_msg,
	.on_peer = dispatch_on_peer,
	.on_peer_state = dispatch_on_peer_state,
	.on_config = dispatch_on_config,
	.drain = dispatch_drain,
	.is_drained = dispatch_is_drained,
};
