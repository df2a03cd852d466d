#include "../sched_private.h"

#include "../../base/error.h"
#include "../../base/log.h"

/*
 * Pacing of best-effort tasks. They slow down the serving tasks on the same
 * server, those with a target for their tail latency, by amounts that depend on
 * the image and change within seconds. The pace of all best-effort tasks on a
 * server is controlled by the tail latency that it reports for its serving
 * tasks: the pace is halved when a tail latency is near its target, and raised
 * in steps while all of them are well below (additive increase, multiplicative
 * decrease).
 */

/* Thresholds of the tail latency, percent of its target. */
#define TAIL_HIGH 80 /* halve the pace above this */
#define TAIL_LOW 55 /* raise the pace below this */
/* A lower pace is set to 0, as the work done would be negligible. */
#define PACE_MIN 12
#define PACE_STEP 12
/* Tail latencies cover half a second, so a change shows only after that. */
#define PACE_INTERVAL_US (600 * CS_MSEC)
/* Interval at which a pace is repeated after an order without a reply. */
#define PACE_REPEAT_US (1 * CS_SEC)

/* The highest tail latency, as percent of its target; -1: no serving task. */
static int64_t worst_tail_latency(const struct sched *s, const struct server *v)
{
	int64_t worst = -1, share;
	guint i;

	for (i = 0; i < v->runs->len; i++) {
		const struct run *r =
			run_row(s, g_array_index(v->runs, cs_handle, i));
		const struct job *j = slots_get(s->jobs, r->job);
		const struct batch_step *st = &j->batch->spec->steps[r->step];

		if (!st->tail_target_ms || st->is_best_effort ||
		    r->percent < 100)
			continue;
		share = r->tail_ms_or_cpu * 100 / st->tail_target_ms;
		if (share > worst)
			worst = share;
	}
	return worst;
}

static void order_pace(struct sched *s, const struct server *v, struct run *r,
		       cs_time now)
{
	const struct job *j = slots_get(s->jobs, r->job);
	struct order *o = servers_new_order(v, ORDER_PACE);

	o->ref = r->self;
	o->run = r->number;
	o->percent = v->best_effort_pace;
	batch_task_name(j->batch, r->occurrence, r->step, r->index, o->task);
	r->pace = v->best_effort_pace;
	r->is_pace_pending = true;
	r->pace_ordered_at = now;
	s->ops->send(s->ctx, o);
}

/*
 * True if a task has another pace than its server, or may have: an order
 * without a reply can be carried out after later ones, so the pace is repeated
 * until that is over.
 */
static bool is_pace_due(const struct server *v, const struct run *r,
			cs_time now)
{
	return r->pace != v->best_effort_pace ||
	       (r->pace_ordered_at < r->pace_uncertain_until &&
		now - r->pace_ordered_at >= PACE_REPEAT_US);
}

/* Orders the server's pace for each best-effort task that needs it. */
static void apply_pace(struct sched *s, const struct server *v, cs_time now)
{
	guint i;

	for (i = 0; i < v->runs->len; i++) {
		struct run *r =
			run_row(s, g_array_index(v->runs, cs_handle, i));
		const struct job *j = slots_get(s->jobs, r->job);

		if (j->batch->spec->steps[r->step].is_best_effort &&
		    r->state == RUN_ACTIVE && !r->is_pace_pending &&
		    is_pace_due(v, r, now))
			order_pace(s, v, r, now);
	}
}

void pacing_on_hold(struct sched *s, struct server *v, cs_time now)
{
	int64_t tail = worst_tail_latency(s, v);
	int pace = v->best_effort_pace;
	GString *pairs;

	if (now - v->pace_changed_at >= PACE_INTERVAL_US) {
		if (tail > TAIL_HIGH)
			pace = pace / 2 < PACE_MIN ? 0 : pace / 2;
		else if (tail < TAIL_LOW)
			pace = pace + PACE_STEP > 100 ? 100 : pace + PACE_STEP;
	}
	if (pace != v->best_effort_pace) {
		v->best_effort_pace = pace;
		v->pace_changed_at = now;
		pairs = g_string_new(NULL);
		log_pair(pairs, "server", v->info.id);
		log_pair_int(pairs, "tail_percent_of_target", tail);
		log_pair_int(pairs, "pace", pace);
		sched_log(s, "fill_pace", pairs);
	}
	apply_pace(s, v, now);
}

void pacing_on_adopt(struct server *v, struct run *r)
{
	r->pace = -1;
	/* It may have been lowered for serving tasks, so it is raised in steps.
	 */
	if (v->best_effort_runs && v->serving_runs)
		v->best_effort_pace = 0;
}

/* A pace that was refused, or may not have taken effect, is ordered again. */
void pacing_on_reply(struct sched *s, const struct order_reply *d)
{
	struct run *r = run_row(s, d->ref);

	if (!r)
		return;
	r->is_pace_pending = false;
	if (d->result != ORDER_DONE)
		r->pace = -1;
	if (d->result == ORDER_UNKNOWN)
		r->pace_uncertain_until = d->sent + LATE_ORDER_US;
}
