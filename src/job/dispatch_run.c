#include "dispatch_private.h"

#include <inttypes.h>
#include <string.h>

#include "../base/error.h"
#include "../base/log.h"
#include "long_work.h"

/* Backoff before a retry, in ms. Jitter spreads retries over time. */
#define BACKOFF_MIN_MS 10
#define BACKOFF_MAX_MS 200

/* Wait before a retry while no untried worker has a free slot. */
#define NO_WORKER_WAIT (20 * CS_MSEC)

/* A request that failed on this many hosts is itself taken as faulty. */
#define FAILED_HOSTS_MAX 3

/*
 * The end of a task with an unknown outcome is certain only when its lease,
 * which ends at the deadline, has expired. The margin covers the delay of the
 * message that started the task.
 */
#define HOLD_MARGIN (5 * CS_SEC)

/* Ends the accounting of an attempt, except for its permit. */
static void finish_attempt(struct part_ctx *ctx, struct request *r,
			   enum fleet_result result)
{
	timers_cancel(ctx->timers, r->probe_timer);
	fleet_finish(ctx, r->placement.worker, result);
	share_task_ended(ctx, r->team->share_row, ctx->now - r->started);
	r->team->totals->running--;
	dispatch_span(ctx, r, "attempt", r->placement.address, r->started,
		      result == FLEET_SUCCEEDED ? "answered" : "failed");
}

/* Releases a held permit once its task has certainly ended. */
static void on_hold_end(void *arg, uint64_t handle, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct held_permit *held =
		slots_get(ctx->parts.dispatch->held_permits, handle);

	ctx->now = now;
	if (!held)
		return;
	ledger_sync_release(ctx, held->team);
	g_hash_table_remove(ctx->parts.dispatch->held_by_attempt,
			    &held->attempt);
	slots_free(ctx->parts.dispatch->held_permits, handle);
}

/* Releases a held permit early, since its task has ended or never ran. */
static void end_hold(struct part_ctx *ctx, cs_handle handle)
{
	struct held_permit *held =
		slots_get(ctx->parts.dispatch->held_permits, handle);

	if (!held)
		return;
	timers_cancel(ctx->timers, held->timer);
	on_hold_end(ctx, handle, ctx->now);
}

/*
 * Keeps the permit of a task that may still run, and asks the worker to stop
 * it. If the table is full, the permit is never released: part of the limit is
 * lost, but the limit is not exceeded.
 */
static void hold_permit(struct part_ctx *ctx, const struct request *r)
{
	struct dispatch *d = ctx->parts.dispatch;
	struct held_permit *held;
	struct msg *msg;
	cs_handle h;

	if (MUTANT(ctx, "permit-no-hold")) {
		ledger_sync_release(ctx, r->team->team);
		return;
	}
	h = slots_alloc(d->held_permits, (void **)&held);
	if (!h) {
		counters_add(ctx->counters, "permits_lost_total", "", 1);
		return;
	}
	cs_copy(held->team, sizeof(held->team), r->team->team);
	held->attempt = r->self;
	g_hash_table_insert(d->held_by_attempt, &held->attempt,
			    (gpointer)(uintptr_t)h);
	held->timer = timers_subscribe(ctx->timers, r->deadline + HOLD_MARGIN,
				       on_hold_end, ctx, h);
	msg = msg_new(MSG_TASK_CONTROL);
	msg->u.task_control.part = PART_DISPATCH;
	msg->u.task_control.attempt = h;
	msg->u.task_control.op = TASK_STOP;
	cs_copy(msg->u.task_control.address,
		sizeof(msg->u.task_control.address), r->placement.address);
	cs_copy(msg->u.task_control.task_id,
		sizeof(msg->u.task_control.task_id), r->task_id);
	part_emit(ctx, msg);
}

/*
 * Handles the answers to probes and stops. A worker that does not know the task
 * does not prove that it has ended: the start may still be on its way.
 */
void dispatch_control_done(struct part_ctx *ctx,
			   const struct task_control_done *done)
{
	if (done->op == TASK_RENEW) {
		dispatch_probe_done(ctx, done);
		return;
	}
	if (done->code || done->op != TASK_STOP ||
	    done->state == TASK_STATE_RUNNING ||
	    done->state == TASK_STATE_MISSING)
		return;
	end_hold(ctx, done->attempt);
}

/*
 * Handles the result of an attempt that was given up. Any result but "unknown"
 * proves that the task has ended or never ran.
 */
static void on_late_result(struct part_ctx *ctx, const struct task_done *done)
{
	struct dispatch *d = ctx->parts.dispatch;
	gpointer held = g_hash_table_lookup(d->held_by_attempt, &done->attempt);

	counters_add(ctx->counters, "late_answers_total", "", 1);
	if (held && (done->result != TASK_UNKNOWN || done->is_lease_over))
		end_hold(ctx, (cs_handle)(uintptr_t)held);
}

/*
 * Starts an attempt on the chosen worker. The task id is unique across restarts
 * of this entry. The lease ends at the request's deadline.
 */
static void send_task(struct part_ctx *ctx, struct request *r)
{
	struct dispatch *d = ctx->parts.dispatch;
	struct msg *msg = msg_new(MSG_TASK_START);
	struct task_start *s = &msg->u.task_start;

	g_snprintf(r->task_id, sizeof(r->task_id), "%s-%" PRIx64 "-%" PRIx64,
		   ctx->options->id, ctx->options->incarnation, ++d->next_task);
	s->part = PART_DISPATCH;
	s->attempt = r->self;
	s->work = WORK_SHORT;
	s->lease_ms = (r->deadline - ctx->now) / CS_MSEC;
	s->needs_live_connection = !r->submit.is_idempotent;
	s->decided = ctx->now;
	s->deadline = r->deadline;
	s->trace = r->submit.trace;
	s->body = g_bytes_ref(r->submit.body);
	cs_copy(s->worker, sizeof(s->worker), r->placement.name);
	cs_copy(s->address, sizeof(s->address), r->placement.address);
	cs_copy(s->task_id, sizeof(s->task_id), r->task_id);
	cs_copy(s->content_type, sizeof(s->content_type),
		r->submit.content_type);
	part_emit(ctx, msg);
}

/*
 * Tries to start a queued request. Returns CS_OK, or an error of fleet_place()
 * or ledger_sync_acquire_for().
 */
static int start_attempt(struct part_ctx *ctx, struct request *r)
{
	struct dispatch *d = ctx->parts.dispatch;
	int code;

	code = fleet_place(ctx, r->pool->name, r->submit.is_urgent,
			   r->tried_workers, r->tried_nr, &r->placement);
	if (code)
		return code;
	/* The task ends with its lease at the deadline. */
	code = ledger_sync_acquire_for(
		ctx, r->team->team, MAX(1, (r->deadline - ctx->now) / CS_MSEC));
	if (code) {
		fleet_finish(ctx, r->placement.worker, FLEET_NEUTRAL);
		return code;
	}
	part_check_invariant(ctx, "at-most-once",
			     r->submit.is_idempotent || !r->may_have_run);
	request_dequeue(d->table, r);
	share_add_queued(ctx, r->team->share_row, -1);
	if (!r->team->totals->queued)
		dispatch_report_demand(ctx, r->team);
	share_task_started(ctx, r->team->share_row);
	r->team->totals->running++;
	dispatch_span(ctx, r, "queue", "", r->attempts ? ctx->now : r->arrived,
		      "started");
	r->state = REQUEST_RUNNING;
	r->started = ctx->now;
	r->attempts++;
	send_task(ctx, r);
	dispatch_probe_start(ctx, r);
	return CS_OK;
}

/* True if this entry may start tasks. */
static bool may_start(struct part_ctx *ctx)
{
	if (config_sync_is_data_centre_out(ctx, ctx->options->data_centre) &&
	    !MUTANT(ctx, "start-while-out"))
		return false;
	return config_sync_is_fresh(ctx) && fleet_is_fresh(ctx);
}

/* Queues a request again, at the head, after its backoff. */
static void on_backoff_end(void *arg, uint64_t handle, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct request *r = request_get(ctx->parts.dispatch->table, handle);
	struct pool_queue *pool;

	ctx->now = now;
	if (!r || r->state != REQUEST_BACKOFF)
		return;
	r->wait_timer = 0;
	pool = r->pool;
	if (dispatch_requeue(ctx, r, true))
		dispatch_schedule(ctx, pool);
}

static void back_off(struct part_ctx *ctx, struct request *r, cs_time wait)
{
	r->state = REQUEST_BACKOFF;
	r->wait_timer = timers_subscribe(ctx->timers, ctx->now + wait,
					 on_backoff_end, ctx, r->self);
}

static void dequeue(struct part_ctx *ctx, struct request *r)
{
	request_dequeue(ctx->parts.dispatch->table, r);
	share_add_queued(ctx, r->team->share_row, -1);
	if (!r->team->totals->queued)
		dispatch_report_demand(ctx, r->team);
}

/*
 * Skips the team's queue until the pool is processed again, at the next tick at
 * the latest, or until a permit of the team is released. Reports the demand to
 * the ledger.
 */
static void block_team(struct part_ctx *ctx, struct team_queue *q)
{
	q->is_blocked = true;
	share_block(ctx, q->share_row);
	dispatch_report_demand(ctx, q);
	counters_add(ctx->counters, "permit_waits_total", "", 1);
}

/*
 * Starts the request. If its team has no free permit or was removed, or if it
 * has tried some workers and no other is free, it is skipped, so that others
 * may start. Any result but CS_OK means that nothing more can start in the
 * pool.
 */
static int start_or_skip(struct part_ctx *ctx, struct request *r)
{
	int code = start_attempt(ctx, r);

	if (code == CS_ERR_LIMIT ||
	    (code == CS_ERR_MISSING && fleet_pool_slots(ctx, r->pool->name))) {
		block_team(ctx, r->team);
		return CS_OK;
	}
	if (code == CS_ERR_FULL && r->tried_nr) {
		dequeue(ctx, r);
		back_off(ctx, r, NO_WORKER_WAIT);
		return CS_OK;
	}
	return code;
}

/* The first urgent request of a team that is not blocked, or NULL. */
static struct request *next_urgent(const struct dispatch *d,
				   const struct pool_queue *p)
{
	struct request *r = request_first_urgent(d->table, p);

	while (r && r->team->is_blocked)
		r = request_next_urgent(d->table, r);
	return r;
}

/* The team that is next by the shares, or NULL. */
static struct team_queue *next_team(struct part_ctx *ctx,
				    const struct pool_queue *p)
{
	cs_handle row = share_next_row(ctx, p->name);

	if (!row)
		return NULL;
	return g_hash_table_lookup(p->teams, share_row_team(ctx, row));
}

/*
 * True if the team's next start is a long job. Short and long work of a team
 * alternate, so that neither starves the other.
 */
static bool is_long_turn(struct part_ctx *ctx, struct team_queue *q)
{
	bool is_long = q->long_waiting && (!q->list.nr || !q->last_was_long) &&
		       fleet_has_slot_for_long_work(ctx, q->pool->name);

	q->last_was_long = is_long;
	return is_long;
}

/*
 * Starts the next request or long job of the pool. Returns CS_ERR_MISSING when
 * none is left that could start.
 */
static int start_next(struct part_ctx *ctx, struct pool_queue *p)
{
	struct dispatch *d = ctx->parts.dispatch;
	struct request *r = next_urgent(d, p);
	struct team_queue *q = next_team(ctx, p);
	int code;

	/*
	 * Urgent requests go first, but not twice in a row while others wait,
	 * so that a team which marks all its work as urgent can't take over
	 * the pool.
	 */
	if (r && (!p->last_was_urgent || !q)) {
		p->last_was_urgent = true;
		return start_or_skip(ctx, r);
	}
	p->last_was_urgent = false;
	if (!q)
		return CS_ERR_MISSING;
	if (is_long_turn(ctx, q)) {
		code = long_work_start_one(ctx, p->name, q->team);
		if (code == CS_ERR_LIMIT)
			block_team(ctx, q);
		return code == CS_ERR_LIMIT ? CS_OK : code;
	}
	r = request_first(d->table, q);
	if (!r) {
		/* Only long work without room; other teams may start. */
		block_team(ctx, q);
		return CS_OK;
	}
	return start_or_skip(ctx, r);
}

void dispatch_schedule(struct part_ctx *ctx, struct pool_queue *p)
{
	if (!may_start(ctx))
		return;
	while (p->queued || p->long_waiting)
		if (start_next(ctx, p))
			break;
}

/*
 * Excludes the worker from further attempts. After FLEET_EXCLUDE_MAX workers,
 * further ones are not recorded and may be chosen again.
 */
static void record_tried_worker(struct request *r)
{
	size_t i = r->tried_nr;

	if (i == FLEET_EXCLUDE_MAX)
		return;
	r->tried_workers[i] = r->placement.worker;
	cs_copy(r->tried_hosts[i], sizeof(r->tried_hosts[i]),
		r->placement.host);
	r->tried_nr++;
}

/* The number of distinct hosts on which the request failed. */
static int failed_hosts(const struct request *r)
{
	size_t i, j;
	int n = 0;

	for (i = 0; i < r->tried_nr; i++) {
		for (j = 0; j < i; j++)
			if (!strcmp(r->tried_hosts[i], r->tried_hosts[j]))
				break;
		n += i == j;
	}
	return n;
}

/*
 * Removes the request's failures from the health records of the workers, since
 * the request itself is taken as faulty.
 */
static void revoke_worker_failures(struct part_ctx *ctx,
				   const struct request *r)
{
	size_t i;

	for (i = 0; i < r->tried_nr; i++)
		fleet_undo_failure(ctx, r->tried_workers[i]);
}

static void count_retry(struct part_ctx *ctx, const char *reason)
{
	char labels[48];

	g_snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	counters_add(ctx->counters, "retries_total", labels, 1);
}

/*
 * Retries after a random backoff between BACKOFF_MIN_MS and a bound that
 * doubles with each attempt: 20 ms after the first, BACKOFF_MAX_MS from the
 * fifth on.
 */
static void retry_later(struct part_ctx *ctx, struct request *r,
			const char *reason)
{
	int ms = BACKOFF_MIN_MS << (r->attempts < 5 ? r->attempts : 5);

	if (ms > BACKOFF_MAX_MS)
		ms = BACKOFF_MAX_MS;
	count_retry(ctx, reason);
	back_off(ctx, r,
		 g_rand_int_range(ctx->rng, BACKOFF_MIN_MS, ms + 1) * CS_MSEC);
}

/* Sends the worker's answer to the caller. */
static void answer(struct part_ctx *ctx, struct request *r,
		   struct task_done *done)
{
	struct reply reply = { .outcome = OUTCOME_ANSWERED,
			       .status = done->status };

	cs_copy(reply.peer, sizeof(reply.peer), r->placement.name);
	cs_copy(reply.content_type, sizeof(reply.content_type),
		done->content_type);
	reply.body = done->body;
	done->body = NULL;
	dispatch_answer(ctx, r, &reply);
}

/*
 * Handles an attempt that failed or may have run. Only idempotent requests are
 * retried, within the retry budgets, and not when the request itself is taken
 * as faulty.
 */
static void attempt_failed(struct part_ctx *ctx, struct request *r,
			   struct task_done *done)
{
	struct refusal lost = { OUTCOME_UNKNOWN,  502,	"worker_lost",
				done->error.step, NULL, 0 };
	/* The lease ends with the deadline, up to 1 ms before it. */
	bool is_over = done->is_lease_over || ctx->now >= r->deadline;
	char peer[CS_ADDRESS_MAX];

	r->failures++;
	record_tried_worker(r);
	if (r->tried_nr >= (size_t)fleet_pool_workers(ctx, r->pool->name)) {
		/* No worker is left that has not been tried. */
		counters_add(ctx->counters, "no_worker_left_total", "", 1);
	} else if (failed_hosts(r) >= FAILED_HOSTS_MAX) {
		revoke_worker_failures(ctx, r);
		counters_add(ctx->counters, "hopeless_total", "", 1);
	} else if ((r->submit.is_idempotent ||
		    MUTANT(ctx, "retry-non-idempotent")) &&
		   !is_over &&
		   retry_budget_withdraw(&r->pool->retry,
					 &r->team->totals->retry)) {
		retry_later(ctx, r,
			    done->result == TASK_ANSWERED ? "error" : "lost");
		return;
	}
	if (done->result == TASK_ANSWERED) {
		answer(ctx, r, done);
		return;
	}
	cs_copy(peer, sizeof(peer), r->placement.address);
	lost.peer = peer;
	if (is_over) {
		lost.status = 504;
		lost.reason = "deadline";
	}
	dispatch_refuse(ctx, r, &lost);
}

/*
 * Releases the permit of a task that has ended and unblocks its team, whose
 * next request can use the permit at once. Waiting for the tick would leave a
 * part of the limit unused after each task.
 */
static void release_permit(struct part_ctx *ctx, struct team_queue *q)
{
	ledger_sync_release(ctx, q->team);
	if (!q->is_blocked)
		return;
	q->is_blocked = false;
	share_unblock(ctx, q->share_row);
}

/*
 * Any status below 500 is the worker's answer and goes to the caller. A status
 * of 500 or above is a failed attempt that may have run.
 */
static void on_answered(struct part_ctx *ctx, struct request *r,
			struct task_done *done)
{
	release_permit(ctx, r->team);
	if (done->status < 500) {
		finish_attempt(ctx, r, FLEET_SUCCEEDED);
		r->state = REQUEST_BACKOFF; /* no attempt left to end */
		answer(ctx, r, done);
		return;
	}
	finish_attempt(ctx, r, FLEET_FAILED);
	r->state = REQUEST_BACKOFF;
	r->may_have_run = true;
	attempt_failed(ctx, r, done);
}

/*
 * Handles an attempt that may have run. It counts as a failure of the worker,
 * and the permit is held until the task has certainly ended (invariant I5),
 * which a worker says of a task whose lease is over.
 */
static void on_unknown(struct part_ctx *ctx, struct request *r,
		       struct task_done *done)
{
	finish_attempt(ctx, r, FLEET_FAILED);
	if (done->is_lease_over)
		release_permit(ctx, r->team);
	else
		hold_permit(ctx, r);
	r->state = REQUEST_BACKOFF;
	r->may_have_run = true;
	attempt_failed(ctx, r, done);
}

/*
 * Handles an attempt that did not run: the worker refused the task or it was
 * not sent. Non-idempotent requests may be tried again, too.
 */
static void on_not_run(struct part_ctx *ctx, struct request *r,
		       const struct task_done *done)
{
	static const struct refusal late = { OUTCOME_NOT_RUN, 504, "deadline",
					     "worker",	      "",  1000 };
	bool is_refused = done->result == TASK_REFUSED;

	release_permit(ctx, r->team);
	finish_attempt(ctx, r, is_refused ? FLEET_BUSY : FLEET_UNREACHABLE);
	r->state = REQUEST_BACKOFF;
	if (ctx->now >= r->deadline) {
		dispatch_refuse(ctx, r, &late);
		return;
	}
	if (!is_refused)
		record_tried_worker(r);
	count_retry(ctx, is_refused ? "busy" : "not_sent");
	dispatch_requeue(ctx, r, true);
}

void dispatch_task_done(struct part_ctx *ctx, struct task_done *done)
{
	static void (*const handlers[])(struct part_ctx *, struct request *,
					struct task_done *) = {
		[TASK_ANSWERED] = on_answered,
		[TASK_UNKNOWN] = on_unknown,
	};
	struct request *r =
		request_get(ctx->parts.dispatch->table, done->attempt);
	struct pool_queue *p;

	if (!r || r->state != REQUEST_RUNNING) {
		on_late_result(ctx, done);
		return;
	}
	p = r->pool;
	if (done->result == TASK_REFUSED || done->result == TASK_NOT_SENT)
		on_not_run(ctx, r, done);
	else
		handlers[done->result](ctx, r, done);
	dispatch_schedule(ctx, p);
}

void dispatch_abandon_attempt(struct part_ctx *ctx, struct request *r,
			      const char *step)
{
	struct task_done done = { .result = TASK_UNKNOWN };
	struct pool_queue *p = r->pool;

	cs_error_set(&done.error, CS_ERR_TIMEOUT, step, r->placement.address,
		     "the attempt was lost");
	on_unknown(ctx, r, &done);
	dispatch_schedule(ctx, p);
}

void dispatch_detach(struct part_ctx *ctx, struct request *r)
{
	switch (r->state) {
	case REQUEST_QUEUED:
		dequeue(ctx, r);
		break;
	case REQUEST_RUNNING:
		finish_attempt(ctx, r, FLEET_NEUTRAL);
		hold_permit(ctx, r);
		break;
	case REQUEST_BACKOFF:
		timers_cancel(ctx->timers, r->wait_timer);
		break;
	case REQUEST_FORWARDED:
		dispatch_forward_cancel(ctx, r);
		break;
	default:
		break;
	}
}
