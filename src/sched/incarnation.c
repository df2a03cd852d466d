#include "sched_private.h"

#include "../base/error.h"
#include "../base/log.h"

/*
 * Servers that start again under their identifier. The new incarnation has no
 * runs, ends, fencing token and clock of the former one, and it carries out
 * orders that were meant for that one. So an order tells only by its reply
 * which of the two has carried it out: by the start time that a list of runs
 * reports, or by a reading of the server's clock.
 */

static void log_incarnation(struct sched *s, const char *event,
			    const struct server *v, const char *why)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "server", v->info.id);
	log_pair(pairs, "pool", v->info.pool);
	log_pair(pairs, "address", v->info.address);
	log_pair(pairs, "why", why);
	log_pair_int(pairs, "runs", v->runs->len);
	log_pair_int(pairs, "started_unix_ms",
		     (int64_t)v->info.started_unix_ms);
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
	log_incarnation(s, "server_reborn", v, why);
	servers_end_incarnation(s, v, now);
}

bool incarnation_is_stale(const struct server *v, const struct order_reply *d)
{
	return d->sent < v->incarnation_since;
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
	end_former_runs(s, v, now);
	v->info.started_unix_ms = v->next_started_unix_ms;
	v->next_started_unix_ms = 0;
	v->incarnation_since = now;
	v->incarnation++;
	v->is_dead = false;
	v->clock_ms = -1;
	v->clock_sent = v->clock_received = 0;
	v->is_taken_over = false;
	v->is_hold_open = false;
	v->unanswered_orders = 0;
	v->last_end = 0;
	v->is_list_partial = false;
	g_array_set_size(v->unstored, 0);
	v->failed_in_row = 0;
	v->suspect_until = 0;
	v->best_effort_pace = 100;
	log_incarnation(s, "server_incarnation", v, "listing its runs");
	servers_schedule_hold(s, v, now);
}
