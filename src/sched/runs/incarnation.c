#include "../sched_private.h"

#include "../../base/log.h"

/*
 * Servers that start again under their identifier. The new incarnation has no
 * runs, ends, fencing token and clock of the former one, and it carries out
 * orders that were meant for that one, until it has seen a higher token
 * (fence.h). So an order tells only by its reply which of the two has carried
 * it out: by the start time that a list of runs reports, or by a reading of the
 * server's clock.
 */

/*
 * An owner hears of a new incarnation within this time: the long poll at an
 * idle server waits 2 s for its reply and times out 0.9 s later.
 */
#define NOTICE_US (3 * CS_SEC)
/*
 * A server that has started this long before a term has been taken over by the
 * predecessor, unless that one could not reach it: NOTICE_US, and the time
 * without an owner.
 */
#define TAKEN_OVER_US (5 * CS_SEC)

static void log_incarnation(struct sched *s, const char *event,
			    const struct server *v, const char *why)
{
	GString *pairs = servers_describe(v, why);

	log_pair_int(pairs, "next_started_unix_ms",
		     (int64_t)v->next_started_unix_ms);
	sched_log(s, event, pairs);
}

void incarnation_note_next(struct sched *s, struct server *v,
			   uint64_t started_unix_ms, const char *why,
			   cs_time now)
{
	if (v->next_started_unix_ms >= started_unix_ms)
		return;
	v->next_started_unix_ms = started_unix_ms;
	v->late_orders_until = now + LATE_ORDER_US;
	fence_next_incarnation(s, v);
	grants_wake(s);
	log_incarnation(s, "server_reborn", v, why);
	servers_end_incarnation(s, v, now);
	late_starts_reject(s, v, now);
}

bool incarnation_is_certain(const struct server *v)
{
	return !v->unanswered_orders && !v->is_incarnation_doubtful;
}

bool incarnation_is_stale(const struct server *v, const struct order_reply *d)
{
	return d->sent < v->incarnation_since;
}

cs_time incarnation_longest_lease_us(const struct sched *s)
{
	cs_time longest = s->options.limits.server_lease_max_ms * CS_MSEC;

	return longest + (cs_time)((double)longest * CLOCK_ERROR) +
	       LEASE_SLACK_US;
}

/*
 * When a lease that was given at a time by the clock of another incarnation has
 * ended: it may last for the longest time that servers allow.
 */
static cs_time longest_lease_end(const struct sched *s, cs_time given)
{
	return given + incarnation_longest_lease_us(s);
}

cs_time incarnation_inherited_lease_end(const struct sched *s,
					const struct server *v)
{
	return v->late_orders_until ?
		       longest_lease_end(s, v->late_orders_until) :
		       v->inherited_lease_end;
}

/*
 * When the server has started by the clock of this entry; CS_TIME_NEVER if that
 * is not known. A record may name any start time.
 */
static cs_time start_of(const struct sched *s, const struct server *v)
{
	if (!v->info.started_unix_ms || !s->unix_ms)
		return CS_TIME_NEVER;
	return s->unix_at +
	       ((int64_t)v->info.started_unix_ms - s->unix_ms) * CS_MSEC;
}

cs_time incarnation_predecessor_end(const struct sched *s,
				    const struct server *v)
{
	cs_time started_at = start_of(s, v), end = v->predecessor_lease_end;
	cs_time given;

	/* From then on it rejects the orders of predecessors. */
	if (!end || v->is_taken_over || started_at == CS_TIME_NEVER)
		return end;
	/* Predecessors knew of no other one. */
	if (v->predecessor_started_unix_ms == v->info.started_unix_ms)
		return end;
	/*
	 * Unless a predecessor has taken the incarnation over, it carries out
	 * that one's last orders late.
	 */
	given = started_at < s->started_at - TAKEN_OVER_US ?
			started_at + NOTICE_US :
			s->started_at + LATE_ORDER_US;
	return MAX(end, longest_lease_end(s, given));
}

/*
 * True if a predecessor's order to a former incarnation may have been carried
 * out by the present one until now. The predecessor may have removed the grant
 * since, as the server was gone.
 */
static bool may_have_late_orders(const struct sched *s, const struct server *v,
				 cs_time now)
{
	cs_time started_at = start_of(s, v);

	return s->options.predecessor_end && started_at != CS_TIME_NEVER &&
	       now < s->options.predecessor_end + LATE_ORDER_US &&
	       now < started_at + NOTICE_US + LATE_ORDER_US;
}

void incarnation_taken_over(struct sched *s, struct server *v, cs_time now)
{
	if (v->late_orders_until || may_have_late_orders(s, v, now))
		v->inherited_lease_end = longest_lease_end(s, now);
	v->late_orders_until = 0;
	grants_wake(s);
}

/* How far a server's clock may have advanced in a time, which may be < 0. */
static double clock_min(cs_time elapsed)
{
	return (double)elapsed *
	       (elapsed > 0 ? 1 - CLOCK_ERROR : 1 + CLOCK_ERROR);
}

static double clock_max(cs_time elapsed)
{
	return (double)elapsed *
	       (elapsed > 0 ? 1 + CLOCK_ERROR : 1 - CLOCK_ERROR);
}

/* True if the reading can be of the same clock as the last one. */
static bool fits_clock(const struct server *v, const struct order_reply *d)
{
	double step = (double)((d->clock_ms - v->clock_ms) * CS_MSEC);

	return step >= clock_min(d->sent - v->clock_received) -
			       LEASE_SLACK_US &&
	       step <= clock_max(d->received - v->clock_sent) + LEASE_SLACK_US;
}

static bool is_list(const struct order_reply *d)
{
	return d->result == ORDER_DONE &&
	       (d->type == ORDER_HOLD || d->type == ORDER_LIST_RUNS);
}

static void doubt_incarnation(struct sched *s, struct server *v, cs_time now)
{
	v->inherited_lease_end = longest_lease_end(s, now);
	v->late_orders_until = now + LATE_ORDER_US;
	v->doubted_at = now;
	grants_wake(s);
	if (v->is_incarnation_doubtful)
		return;
	v->is_incarnation_doubtful = true;
	log_incarnation(s, "server_clock_jump", v, "a reply has another clock");
	servers_list_runs(s, v, now);
}

/* It is the same incarnation still. */
static void end_doubt(struct server *v)
{
	v->is_incarnation_doubtful = false;
	if (v->is_taken_over)
		v->late_orders_until = 0;
}

void incarnation_read_clock(struct sched *s, struct server *v,
			    const struct order_reply *d, cs_time now)
{
	if (d->clock_ms < 0)
		return;
	if (is_list(d)) {
		/* handle_lists() sees that another one has answered. */
		if (d->started_unix_ms && v->info.started_unix_ms &&
		    d->started_unix_ms != v->info.started_unix_ms)
			return;
		if (v->is_incarnation_doubtful && d->sent >= v->doubted_at)
			end_doubt(v);
	} else if (v->clock_ms >= 0 && !fits_clock(v, d)) {
		doubt_incarnation(s, v, now);
	}
	/* Replies can arrive out of order; older readings are ignored. */
	if (v->is_incarnation_doubtful || d->sent < v->clock_sent)
		return;
	v->clock_ms = d->clock_ms;
	v->clock_sent = d->sent;
	v->clock_received = d->received;
}

/*
 * Ends the runs that the former incarnation listed. The others may have been
 * started by either one: they stay until the new one has listed its runs, and
 * a start without a reply until the new one has rejected it.
 */
static void end_former_runs(struct sched *s, struct server *v, cs_time now)
{
	guint i;

	for (i = v->runs->len; i-- > 0;) {
		struct run *r =
			run_row(s, g_array_index(v->runs, cs_handle, i));

		if (r->listed_at) {
			runs_ended(s, r, BATCH_END_LOST, NULL, now);
			i = v->runs->len; /* more than one may be removed */
			continue;
		}
		/* What the former incarnation rejected, the new one accepts. */
		r->is_stop_answered = false;
	}
}

void incarnation_start_next(struct sched *s, struct server *v, cs_time now)
{
	cs_time predecessor_end;

	end_former_runs(s, v, now);
	v->info.started_unix_ms = v->next_started_unix_ms;
	v->next_started_unix_ms = 0;
	v->incarnation_since = now;
	v->incarnation++;
	v->is_dead = false;
	v->clock_ms = -1;
	v->clock_sent = v->clock_received = 0;
	v->is_incarnation_doubtful = false;
	v->is_taken_over = v->is_given_up = false;
	v->is_hold_open = false;
	v->unanswered_orders = 0;
	v->last_end = 0;
	v->is_list_partial = false;
	g_array_set_size(v->unstored, 0);
	v->failed_in_row = 0;
	v->suspect_until = 0;
	server_score_reset(&v->score, &s->all_scores, now);
	v->best_effort_pace = 100;
	/* A predecessor may have started tasks there, as to the former one. */
	predecessor_end =
		MAX(s->options.predecessor_end, v->predecessor_longest_end);
	if (v->was_granted && s->confirmed_at < predecessor_end)
		v->predecessor_lease_end = predecessor_end;
	log_incarnation(s, "server_incarnation", v, "listing its runs");
	servers_schedule_hold(s, v, now);
}
