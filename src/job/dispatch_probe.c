#include "dispatch_private.h"

#include "../base/error.h"

/*
 * An open connection can stop delivering data while new ones work; an attempt
 * on it would then last until the deadline of its request. So the worker is
 * asked for the state of the task on another connection. A timeout for attempts
 * would not do: run times differ widely from what is expected, so it would end
 * tasks that still make progress.
 */

/* Time before the first probe; most attempts are answered sooner. */
#define PROBE_DELAY CS_SEC

/* Interval between probes while the task runs. */
#define PROBE_INTERVAL (2 * CS_SEC)

/* Time for the answer to arrive after a probe has found the task ended. */
#define ANSWER_GRACE (500 * CS_MSEC)

static void send_probe(void *arg, uint64_t handle, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct request *r = request_get(ctx->parts.dispatch->table, handle);
	struct msg *msg;

	ctx->now = now;
	if (!r || r->state != REQUEST_RUNNING)
		return;
	r->probe_timer = 0;
	r->probes_pending++;
	msg = msg_new(MSG_TASK_CONTROL);
	msg->u.task_control.part = PART_DISPATCH;
	msg->u.task_control.attempt = r->self;
	msg->u.task_control.op = TASK_RENEW;
	msg->u.task_control.lease_ms = MAX(1, (r->deadline - now) / CS_MSEC);
	cs_copy(msg->u.task_control.address,
		sizeof(msg->u.task_control.address), r->placement.address);
	cs_copy(msg->u.task_control.task_id,
		sizeof(msg->u.task_control.task_id), r->task_id);
	part_emit(ctx, msg);
}

static void schedule_probe(struct part_ctx *ctx, struct request *r,
			   cs_time wait)
{
	r->probe_timer = timers_subscribe(ctx->timers, ctx->now + wait,
					  send_probe, ctx, r->self);
}

void dispatch_probe_start(struct part_ctx *ctx, struct request *r)
{
	/* Finding a lost attempt early is of no use if it can't be retried. */
	if (!r->submit.is_idempotent || MUTANT(ctx, "dispatch-no-probe"))
		return;
	r->probes_ended = 0;
	schedule_probe(ctx, r, PROBE_DELAY);
}

/*
 * Gives the attempt up if the worker does not answer the probe, or if the task
 * has ended and its answer has not arrived within ANSWER_GRACE.
 */
void dispatch_probe_done(struct part_ctx *ctx,
			 const struct task_control_done *done)
{
	struct request *r =
		request_get(ctx->parts.dispatch->table, done->attempt);

	if (!r)
		return;
	/* Ignores answers about earlier attempts of the request. */
	if (--r->probes_pending > 0 || r->state != REQUEST_RUNNING ||
	    r->probe_timer)
		return;
	if (!done->code && done->state == TASK_STATE_RUNNING) {
		schedule_probe(ctx, r, PROBE_INTERVAL);
		return;
	}
	if (!done->code && !r->probes_ended++) {
		schedule_probe(ctx, r, ANSWER_GRACE);
		return;
	}
	counters_add(ctx->counters, "lost_attempts_total", "", 1);
	dispatch_abandon_attempt(ctx, r, done->code ? "probe" : "answer");
}
