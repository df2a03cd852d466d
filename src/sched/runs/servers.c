#include "../sched_private.h"

#include <string.h>

#include "../../base/error.h"
#include "../../base/log.h"

/*
 * A hold is a long poll that renews the lease of a server with runs and
 * returns as soon as a run ends there. A server without runs is only polled for
 * its presence, less often.
 */
#define HOLD_WAIT_MS 700
#define IDLE_WAIT_MS 2000
/*
 * The same at a server that has left a start unanswered: until its next
 * incarnation has answered, that one would carry out the start.
 */
#define WATCHED_WAIT_MS 250
/* Added to the wait for the timeout of a hold. */
#define HOLD_SLACK_MS 900
/* Pause between two holds, which batches ends that occur together. */
#define HOLD_GAP_US (15 * CS_MSEC)
/*
 * The same while ends wait to be stored or a token is being reserved, as such a
 * hold returns at once.
 */
#define WAITING_HOLD_GAP_US (200 * CS_MSEC)
/* The same after a failed hold; short, as the lease may be about to expire. */
#define HOLD_RETRY_US (150 * CS_MSEC)
/* A reply to a hold that is later than this may have been lost. */
#define HEDGE_US (400 * CS_MSEC)
#define WATCHED_HEDGE_US (100 * CS_MSEC)
/* Intervals of lists that are requested because replies are missing. */
#define HEDGE_PAUSE_MIN_US (200 * CS_MSEC)
#define HEDGE_PAUSE_MAX_US (800 * CS_MSEC)
/*
 * The pause between lists of a watched server grows after this silence, so that
 * many servers that are lost or cut off cause no load for long.
 */
#define WATCHED_SILENCE_US (2 * CS_SEC)
/* After a stop without a reply, before a list is requested again. */
#define LIST_RETRY_US (400 * CS_MSEC)

struct server *server_row(const struct sched *s, cs_handle h)
{
	return slots_get(s->servers, h);
}

static void on_hold_timer(void *ctx, uint64_t arg, cs_time now);

/* Schedules the next hold at the given time; replaces a scheduled one. */
void servers_schedule_hold(struct sched *s, struct server *v, cs_time at)
{
	if (v->is_hold_open || v->is_dead)
		return;
	timers_cancel(s->timers, v->hold_timer);
	v->hold_timer =
		timers_subscribe(s->timers, at, on_hold_timer, s, v->self);
}

/*
 * Returns the lease end to send with an order: LEASE_MS from now on the
 * server's clock. The server reads its clock at the end of a hold's wait, so
 * elapsed time counts from the receipt of the reply; this shortens the lease by
 * the network delay of the reply.
 */
int64_t servers_deadline(struct server *v, cs_time now)
{
	int64_t at;

	if (v->clock_ms < 0)
		return 0;
	at = v->clock_ms + (now - v->clock_received) / CS_MSEC + LEASE_MS;
	if (at > v->deadline_ms)
		v->deadline_ms = at;
	return at;
}

/* A time by which all runs on a server have ended, and what it follows from. */
struct lease_bound {
	cs_time end;
	const char *why;
};

static void extend_bound(struct lease_bound *b, cs_time end, const char *why)
{
	if (end > b->end)
		*b = (struct lease_bound){ end, why };
}

static struct lease_bound find_lease_bound(const struct sched *s,
					   const struct server *v)
{
	struct lease_bound b = { 0, "none was given" };
	cs_time left;

	extend_bound(&b, incarnation_predecessor_end(s, v), "predecessor");
	extend_bound(&b, incarnation_inherited_lease_end(s, v),
		     v->late_orders_until ? "late orders" :
					    "former incarnation");
	if (v->clock_ms >= 0 && v->deadline_ms) {
		left = (v->deadline_ms - v->clock_ms) * CS_MSEC;
		left += (cs_time)((double)left * CLOCK_ERROR) + LEASE_SLACK_US;
		extend_bound(&b, v->clock_received + left, "renewed");
	}
	return b;
}

cs_time servers_lease_end(const struct sched *s, const struct server *v)
{
	return find_lease_bound(s, v).end;
}

/*
 * True if all runs of a server that does not answer have certainly ended. A
 * successor may renew the lease of a server that only it can reach, so the
 * lease end is compared with the last confirmation of the ownership, not with
 * the present time.
 */
static bool has_lease_ended(const struct sched *s, const struct server *v)
{
	return s->confirmed_at >= servers_lease_end(s, v);
}

/* Number of the oldest unstored ends whose batches have been stored since. */
static guint count_stored_ends(const struct sched *s, const struct server *v)
{
	guint n;

	for (n = 0; n < v->unstored->len; n++) {
		const struct unstored_end *u =
			&g_array_index(v->unstored, struct unstored_end, n);
		const struct job *j = slots_get(s->jobs, u->job);

		/* Versions wrap around, so the difference is compared. */
		if (j && (int32_t)(j->stored_version - u->version) < 0)
			break;
	}
	return n;
}

static struct room_row room_row_of(const struct server *v)
{
	return (struct room_row){ v->indexed_cpu, v->self };
}

/* Moves the server in its pool's index after a change of its free CPU. */
static void update_room(struct server *v)
{
	int64_t free_cpu = v->info.capacity.cpu - v->used.cpu;

	if (free_cpu == v->indexed_cpu)
		return;
	room_index_remove(v->pool->room, room_row_of(v));
	v->indexed_cpu = free_cpu;
	room_index_add(v->pool->room, room_row_of(v));
}

void servers_reserve(struct server *v, struct site_resources need, int sign)
{
	v->used = sign > 0 ? site_resources_add(v->used, need) :
			     site_resources_sub(v->used, need);
	update_room(v);
}

/* Counts a run of a step on its server, or takes it out (sign -1). */
static void count_run(struct server *v, const struct run *r,
		      const struct batch_step *st, int sign)
{
	v->serving_runs += sign * (st->tail_target_ms > 0);
	v->best_effort_runs += sign * st->is_best_effort;
	if (st->is_long_running)
		v->long_running_cpu += sign * r->need.cpu;
	servers_reserve(v, r->need, sign);
}

void servers_add_run(struct server *v, const struct run *r,
		     const struct batch_step *st)
{
	g_array_append_val(v->runs, r->self);
	count_run(v, r, st, 1);
}

void servers_remove_run(struct server *v, const struct run *r,
			const struct batch_step *st)
{
	guint i;

	for (i = 0; i < v->runs->len; i++) {
		if (g_array_index(v->runs, cs_handle, i) != r->self)
			continue;
		g_array_remove_index_fast(v->runs, i);
		break;
	}
	count_run(v, r, st, -1);
}

void servers_note_unstored(struct sched *s, struct server *v)
{
	if (v->is_in_unstored_list)
		return;
	v->is_in_unstored_list = true;
	g_array_append_val(s->unstored_servers, v->self);
}

struct order *servers_new_order(const struct server *v, enum order_type type)
{
	struct order *o = order_new(type);

	o->server = v->self;
	cs_copy(o->address, sizeof(o->address), v->info.address);
	cs_copy(o->instance, sizeof(o->instance), v->info.id);
	cs_copy(o->pool, sizeof(o->pool), v->info.pool);
	o->started_unix_ms = v->info.started_unix_ms;
	o->token = v->token;
	o->timeout_ms = ORDER_TIMEOUT_MS;
	return o;
}

/*
 * The reference of an order for lists: it acknowledges the first n of the ends
 * that were unstored, as the incarnation numbers them.
 */
static uint64_t list_ref(const struct server *v, guint n)
{
	return (uint64_t)v->incarnation << 32 | n;
}

static bool is_ref_of_incarnation(const struct server *v, uint64_t ref)
{
	return ref >> 32 == v->incarnation;
}

/*
 * Number of the oldest unstored ends to acknowledge with an order. None while
 * the server may have started again: its numbers start anew, and it would drop
 * ends that were never listed here.
 */
static guint count_ends_to_ack(const struct sched *s, const struct server *v)
{
	return incarnation_is_certain(v) ? count_stored_ends(s, v) : 0;
}

/* The highest number of an end that may be acknowledged with n unstored ones.
 */
static uint64_t acked_end(const struct server *v, guint n)
{
	if (!incarnation_is_certain(v))
		return 0;
	if (n)
		return g_array_index(v->unstored, struct unstored_end, n - 1)
			.number;
	return v->unstored->len ?
		       g_array_index(v->unstored, struct unstored_end, 0)
				       .number -
			       1 :
		       v->last_end;
}

/* An order that acknowledges the first n of the ends that were unstored. */
static struct order *new_list_order(const struct server *v,
				    enum order_type type, guint n)
{
	struct order *o = servers_new_order(v, type);

	o->acked_end = acked_end(v, n);
	return o;
}

/*
 * False while the owner is not confirmed, the server's clock is unknown, or its
 * grant may bound its leases.
 */
static bool may_renew_lease(const struct sched *s, const struct server *v)
{
	return v->runs->len && !s->is_paused && !v->is_incarnation_doubtful &&
	       !v->is_grant_bounded;
}

/* See WATCHED_WAIT_MS. */
static bool is_watched(const struct server *v, cs_time now)
{
	return now < v->late_starts_until;
}

/* How long a hold waits for a run to end. */
static int64_t hold_wait_ms(const struct sched *s, const struct server *v,
			    cs_time now)
{
	if (is_watched(v, now))
		return WATCHED_WAIT_MS;
	/* An unconfirmed owner needs recent answers; see place_is_usable(). */
	return v->runs->len || sched_may_have_successor(s, now) ? HOLD_WAIT_MS :
								  IDLE_WAIT_MS;
}

static void send_hold(struct sched *s, struct server *v, cs_time now)
{
	guint n = count_ends_to_ack(s, v);
	struct order *o = new_list_order(v, ORDER_HOLD, n);
	bool is_waiting_for_store = count_stored_ends(s, v) < v->unstored->len;

	/*
	 * A hold without a reply may have been carried out, so each one that
	 * renews the lease delays the time at which the runs count as lost.
	 * After a missing reply, holds only repeat the lease that was sent
	 * last, as the server may not have got it.
	 */
	if (may_renew_lease(s, v))
		o->deadline_ms = v->unanswered_orders ?
					 v->deadline_ms :
					 servers_deadline(v, now);
	if (v->is_taken_over && !is_waiting_for_store &&
	    !v->is_incarnation_doubtful && !v->unanswered_orders)
		o->wait_ms = hold_wait_ms(s, v, now);
	o->timeout_ms = o->wait_ms + HOLD_SLACK_MS;
	o->ref = list_ref(v, n);
	v->is_hold_open = true;
	v->hold_due_at = now + o->wait_ms * CS_MSEC;
	counters_add(s->counters, "camphorshed_server_holds_total", "", 1);
	s->ops->send(s->ctx, o);
}

/* True if the reply to the open hold is late enough to count as lost. */
static bool is_hold_overdue(const struct server *v, cs_time now)
{
	return v->is_hold_open &&
	       now >= v->hold_due_at + (is_watched(v, now) ? WATCHED_HEDGE_US :
							     HEDGE_US);
}

/*
 * Sends a request for a list. It repeats the lease that was sent last, and
 * renews it in place of an overdue hold if the server has answered since.
 */
static void send_list_order(struct sched *s, struct server *v, struct order *o,
			    cs_time now)
{
	bool renews = is_hold_overdue(v, now) && !v->unanswered_orders &&
		      v->answer_sent_at >= v->hold_due_at;

	if (may_renew_lease(s, v))
		o->deadline_ms = renews ? servers_deadline(v, now) :
					  v->deadline_ms;
	o->ref = list_ref(v, 0);
	s->ops->send(s->ctx, o);
}

void servers_list_runs(struct sched *s, struct server *v, cs_time now)
{
	struct order *o;

	if (v->is_dead)
		return;
	o = new_list_order(v, ORDER_LIST_RUNS, count_ends_to_ack(s, v));
	send_list_order(s, v, o, now);
}

static void on_hold_timer(void *ctx, uint64_t arg, cs_time now)
{
	struct sched *s = ctx;
	struct server *v = server_row(s, arg);

	if (!v || v->is_hold_open || v->is_dead)
		return;
	v->hold_timer = 0;
	send_hold(s, v, now);
}

GString *servers_describe(const struct server *v, const char *why)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "server", v->info.id);
	log_pair(pairs, "pool", v->info.pool);
	log_pair(pairs, "address", v->info.address);
	log_pair(pairs, "why", why);
	log_pair_int(pairs, "runs", v->runs->len);
	log_pair_int(pairs, "token", (int64_t)v->token);
	log_pair_int(pairs, "started_unix_ms",
		     (int64_t)v->info.started_unix_ms);
	return pairs;
}

static void log_server(struct sched *s, const char *event,
		       const struct server *v, const char *why, cs_time now)
{
	GString *pairs = servers_describe(v, why);

	log_pair_int(pairs, "answered_age_ms",
		     v->answered_at ? (now - v->answered_at) / CS_MSEC : -1);
	sched_log(s, event, pairs);
}

void servers_on_reply(struct sched *s, struct server *v,
		      const struct order_reply *d, cs_time now)
{
	if (incarnation_is_stale(v, d))
		return;
	if (d->reason == ORDER_REASON_INCARNATION) {
		/* One that started earlier may be the former one. */
		if (d->started_unix_ms < v->info.started_unix_ms)
			servers_list_runs(s, v, now);
		else if (d->started_unix_ms > v->info.started_unix_ms)
			incarnation_note_next(s, v, d->started_unix_ms,
					      "a new connection reached it",
					      now);
		return;
	}
	if (d->result == ORDER_NOT_SENT || d->result == ORDER_UNKNOWN) {
		if (!v->unanswered_orders++) {
			log_server(s, "server_unreachable", v,
				   order_type_name(d->type), now);
			health_on_silence(s, v, d->sent, now);
		}
		return;
	}
	if (d->reason == ORDER_REASON_INSTANCE)
		return;
	if (v->unanswered_orders) {
		log_server(s, "server_reachable", v, order_type_name(d->type),
			   now);
		sched_wake(s);
	}
	v->unanswered_orders = 0;
	v->hedge_pause = HEDGE_PAUSE_MIN_US;
	v->answered_at = now;
	v->answer_sent_at = MAX(v->answer_sent_at, d->sent);
	incarnation_read_clock(s, v, d, now);
}

/* Ends all runs of a server whose incarnation or lease has ended. */
static void end_runs_as_lost(struct sched *s, struct server *v, cs_time now)
{
	while (v->runs->len) {
		struct run *r =
			run_row(s, g_array_index(v->runs, cs_handle, 0));

		runs_ended(s, r, BATCH_END_LOST, NULL, now);
	}
}

void servers_end_incarnation(struct sched *s, struct server *v, cs_time now)
{
	v->is_dead = true;
	v->died_at = now;
	v->predecessor_lease_end = 0;
	v->deadline_ms = 0;
	timers_cancel(s->timers, v->hold_timer);
	v->hold_timer = 0;
	sched_wake(s);
}

void servers_mark_dead(struct sched *s, struct server *v, const char *why,
		       cs_time now)
{
	if (v->is_dead)
		return;
	log_server(s, "server_dead", v, why, now);
	servers_end_incarnation(s, v, now);
}

void servers_set_cordon(struct sched *s, cs_handle server, enum cordon reason,
			bool is_set)
{
	struct server *v = server_row(s, server);
	unsigned int before;

	if (!v)
		return;
	before = v->cordons;
	v->cordons = is_set ? before | reason : before & ~(unsigned int)reason;
	if (v->cordons != before)
		sched_wake(s);
}

/*
 * Ends the runs of a dead server, so that their tasks can start again. A
 * successor may have recorded their ends already, so the ownership must have
 * been confirmed after the server was found dead.
 */
static void finish_dead_server(struct sched *s, struct server *v, cs_time now)
{
	if (!v->is_dead || s->confirmed_at < v->died_at)
		return;
	if (v->next_started_unix_ms)
		incarnation_start_next(s, v, now);
	else
		end_runs_as_lost(s, v, now);
}

/* Logs the first of several partial lists, and the first complete one after. */
static void note_partial_list(struct sched *s, struct server *v,
			      const struct order_reply *d)
{
	GString *pairs;

	if (v->is_list_partial == d->is_partial)
		return;
	v->is_list_partial = d->is_partial;
	pairs = g_string_new(NULL);
	log_pair(pairs, "server", v->info.id);
	log_pair_int(pairs, "runs", d->runs->len);
	log_pair_int(pairs, "ends", d->ends->len);
	log_pair_int(pairs, "unstored_ends", v->unstored->len);
	sched_log(s,
		  d->is_partial ? "server_list_partial" :
				  "server_list_complete",
		  pairs);
}

void servers_on_fenced(struct sched *s, const struct server *v,
		       const struct order_reply *d)
{
	if (!fence_is_of_successor(v, d))
		return;
	s->is_fenced = true;
	s->ops->fenced(s->ctx);
}

void servers_on_other_instance(struct sched *s, struct server *v,
			       const struct order_reply *d, cs_time now)
{
	if (!incarnation_is_stale(v, d))
		servers_mark_dead(s, v, "another incarnation", now);
}

/*
 * Handles the lists of a server. Returns false if there are none: no answer, a
 * later owner, or another incarnation.
 */
static bool handle_lists(struct sched *s, struct server *v,
			 const struct order_reply *d, cs_time now)
{
	guint acked = (guint)d->ref;

	if (d->result == ORDER_REFUSED && d->reason == ORDER_REASON_INSTANCE) {
		servers_on_other_instance(s, v, d, now);
		return false;
	}
	if (d->result == ORDER_REFUSED && d->reason == ORDER_REASON_FENCED) {
		servers_on_fenced(s, v, d);
		return false;
	}
	if (d->result != ORDER_DONE)
		return false;
	if (d->started_unix_ms && v->info.started_unix_ms &&
	    d->started_unix_ms != v->info.started_unix_ms) {
		incarnation_note_next(s, v, d->started_unix_ms,
				      "its list has another start time", now);
		return false;
	}
	if (!v->info.started_unix_ms)
		v->info.started_unix_ms = d->started_unix_ms;
	if (acked && acked <= v->unstored->len)
		g_array_remove_range(v->unstored, 0, acked);
	note_partial_list(s, v, d);
	runs_handle_ends(s, v, d, now);
	runs_reconcile(s, v, d, now);
	return true;
}

void servers_on_list(struct sched *s, struct server *v,
		     const struct order_reply *d, cs_time now)
{
	/* A server that is dead, or not taken over yet, has no run to look for.
	 */
	if (!v->is_dead && v->is_taken_over && is_ref_of_incarnation(v, d->ref))
		handle_lists(s, v, d, now);
}

/* A lease that a predecessor granted remains valid. */
static void take_over(struct sched *s, struct server *v, cs_time now)
{
	v->is_taken_over = true;
	incarnation_taken_over(s, v, now);
	log_server(s, "server_taken", v, "answered under the current token",
		   now);
}

void servers_on_hold(struct sched *s, struct server *v,
		     const struct order_reply *d, cs_time now)
{
	cs_time next = now + HOLD_GAP_US;

	if (!is_ref_of_incarnation(v, d->ref))
		return; /* of a former incarnation; another hold is open */
	v->is_hold_open = false;
	if (!handle_lists(s, v, d, now)) {
		if (!s->is_fenced)
			servers_schedule_hold(s, v, now + HOLD_RETRY_US);
		return;
	}
	/* A run that is not listed yet may have ended. */
	if (s->is_ready && !v->is_taken_over && !d->is_partial &&
	    fence_is_effective(v, d))
		take_over(s, v, now);
	pacing_on_hold(s, v, now);
	if (v->unstored->len || v->token < v->token_min)
		next = now + WAITING_HOLD_GAP_US;
	servers_schedule_hold(s, v, next);
}

/* A server leaves the list when all its ends are stored or acknowledged. */
void servers_ack_stored_ends(struct sched *s, cs_time now)
{
	GArray *list = s->unstored_servers;
	guint i;

	for (i = list->len; i-- > 0;) {
		struct server *v =
			server_row(s, g_array_index(list, cs_handle, i));

		if (v && count_stored_ends(s, v) < v->unstored->len)
			continue;
		if (v && v->unstored->len && !v->is_hold_open)
			servers_schedule_hold(s, v, now);
		if (v)
			v->is_in_unstored_list = false;
		g_array_remove_index_fast(list, i);
	}
}

/*
 * An address belongs to one incarnation at a time: an unlisted server with the
 * address of a new one has ended.
 */
static void retire_previous_incarnation(struct sched *s, const struct server *v,
					cs_time now)
{
	cs_handle h;

	for (h = slots_next(s->servers, 0); h; h = slots_next(s->servers, h)) {
		struct server *other = server_row(s, h);

		if (other != v &&
		    !strcmp(other->info.address, v->info.address) &&
		    !other->is_listed)
			servers_mark_dead(s, other,
					  "address reused by another server",
					  now);
	}
}

static struct server *new_server(struct sched *s,
				 const struct server_info *info, cs_time now)
{
	struct server *v;
	cs_handle h = slots_alloc(s->servers, (void **)&v);
	struct pool *p;

	if (!h)
		return NULL;
	v->self = h;
	v->info = *info;
	v->described_unix_ms = info->started_unix_ms;
	v->clock_ms = -1;
	v->best_effort_pace = 100;
	fence_add_server(s, v, now);
	v->runs = g_array_new(FALSE, FALSE, sizeof(cs_handle));
	v->unstored = g_array_new(FALSE, FALSE, sizeof(struct unstored_end));
	v->is_listed = true;
	grants_take_row(s, v);
	g_hash_table_insert(s->server_by_id, v->info.id, v);
	p = v->pool = sched_pool(s, info->pool);
	g_ptr_array_add(p->servers, v);
	v->indexed_cpu = v->info.capacity.cpu;
	room_index_add(p->room, room_row_of(v));
	retire_previous_incarnation(s, v, now);
	servers_schedule_hold(s, v, now);
	log_server(s, "server_listed", v, info->data_centre, now);
	late_starts_reject(s, v, now);
	return v;
}

/* Moves the row of a server to the pool of its present incarnation. */
static void set_pool(struct sched *s, struct server *v, const char *name)
{
	struct pool *p = sched_pool(s, name);

	if (p == v->pool)
		return;
	if (v->was_granted && servers_may_have_unknown_runs(s, v))
		g_array_append_val(v->pool->former_servers, v->self);
	g_ptr_array_remove_fast(v->pool->servers, v);
	room_index_remove(v->pool->room, room_row_of(v));
	v->pool = p;
	g_ptr_array_add(p->servers, v);
	room_index_add(p->room, room_row_of(v));
	/* A successor looks for runs in the pool that the grant names. */
	grants_invalidate(v);
}

/*
 * Takes over a record of the registry. Its identifier and start time tell which
 * incarnation it describes: all else may change, within one or with the next.
 * A record of an earlier incarnation is ignored.
 */
static void update_info(struct sched *s, struct server *v,
			const struct server_info *info, cs_time now)
{
	uint64_t started = v->info.started_unix_ms;

	if (info->started_unix_ms &&
	    info->started_unix_ms < v->described_unix_ms)
		return;
	if (info->is_draining && !v->info.is_draining)
		log_server(s, "server_draining", v, info->data_centre, now);
	v->info = *info;
	v->info.started_unix_ms = started;
	v->described_unix_ms = info->started_unix_ms;
	update_room(v);
	set_pool(s, v, info->pool);
}

void sched_server_registered(struct sched *s, const struct server_info *info,
			     cs_time now)
{
	struct server *v = g_hash_table_lookup(s->server_by_id, info->id);

	grants_wake(s);
	if (!v) {
		new_server(s, info, now);
		sched_wake(s);
		return;
	}
	if (!v->is_listed) {
		v->is_listed = true;
		log_server(s, "server_listed", v, "registered again", now);
	}
	if (info->started_unix_ms && v->info.started_unix_ms &&
	    info->started_unix_ms > v->info.started_unix_ms)
		incarnation_note_next(s, v, info->started_unix_ms,
				      "the registry has another start time",
				      now);
	update_info(s, v, info, now);
	servers_schedule_hold(s, v, now);
	sched_wake(s);
}

void sched_server_deregistered(struct sched *s, const char *id, cs_time now)
{
	struct server *v = g_hash_table_lookup(s->server_by_id, id);

	if (!v || !v->is_listed)
		return;
	v->is_listed = false;
	log_server(s, "server_unlisted", v, "removed from the registry", now);
	sched_wake(s);
}

const struct server_info *sched_server(const struct sched *s, cs_handle h)
{
	const struct server *v = server_row(s, h);

	return v ? &v->info : NULL;
}

bool servers_may_have_unknown_runs(const struct sched *s,
				   const struct server *v)
{
	/* Its next incarnation, which has not begun yet, lists them. */
	if (v->next_started_unix_ms)
		return true;
	if (v->is_taken_over)
		return false;
	/* It lists further ended runs once these are stored and acknowledged.
	 */
	if (v->is_list_partial && v->unstored->len && !v->is_dead &&
	    !(v->unanswered_orders && has_lease_ended(s, v)))
		return true;
	/* A successor may have recorded ends before the server died. */
	return s->confirmed_at <
	       (v->is_dead ? v->died_at : incarnation_predecessor_end(s, v));
}

static bool is_pool_settled(const struct sched *s, const struct pool *p)
{
	guint i;

	for (i = 0; i < p->servers->len; i++) {
		const struct server *v = g_ptr_array_index(p->servers, i);

		if (servers_may_have_unknown_runs(s, v))
			return false;
	}
	for (i = 0; i < p->former_servers->len; i++) {
		const struct server *v = server_row(
			s, g_array_index(p->former_servers, cs_handle, i));

		if (v && servers_may_have_unknown_runs(s, v))
			return false;
	}
	return !grants_count_unlisted(s, p->name);
}

void servers_update_settled(struct sched *s)
{
	GHashTableIter it;
	void *row;

	if (s->are_pools_settled)
		return;
	g_ptr_array_set_size(s->unsettled_pools, 0);
	g_hash_table_iter_init(&it, s->pools);
	while (g_hash_table_iter_next(&it, NULL, &row))
		if (!is_pool_settled(s, row))
			g_ptr_array_add(s->unsettled_pools, row);
	/* No lease of a predecessor is left, so none can become unsettled. */
	s->are_pools_settled = !s->unsettled_pools->len && s->is_ready &&
			       s->confirmed_at >= s->options.predecessor_end;
}

/* Removes the row of an ended incarnation and ends its grant. */
static void remove_server(struct sched *s, struct server *v, cs_time now)
{
	if (v->is_granted)
		grants_end(s, v->info.id);
	fence_remove_server(s, v, now);
	timers_cancel(s->timers, v->hold_timer);
	g_ptr_array_remove_fast(v->pool->servers, v);
	room_index_remove(v->pool->room, room_row_of(v));
	g_hash_table_remove(s->server_by_id, v->info.id);
	g_array_free(v->runs, TRUE);
	g_array_free(v->unstored, TRUE);
	slots_free(s->servers, v->self);
}

/* Long-running tasks leave a draining server, and start again elsewhere. */
static void stop_long_running(struct sched *s, struct server *v, cs_time now)
{
	guint i;

	for (i = 0; i < v->runs->len; i++) {
		struct run *r =
			run_row(s, g_array_index(v->runs, cs_handle, i));
		const struct job *j = slots_get(s->jobs, r->job);
		const struct batch_step *st = &j->batch->spec->steps[r->step];

		if (st->is_long_running && r->state == RUN_ACTIVE)
			runs_stop(s, r, "server draining", now);
	}
}

/* True if the run is of a step that limits how many tasks may be away. */
static bool has_budget(const struct sched *s, const struct run *r)
{
	const struct job *j = slots_get(s->jobs, r->job);

	return j->batch->spec->steps[r->step].unavailable_max >= 0;
}

/*
 * Requests a list because a reply is missing. The server may have started
 * again, so the order acknowledges no ends: it would drop those of the new
 * incarnation unseen.
 */
static void hedge_list(struct sched *s, struct server *v, cs_time now)
{
	struct order *o = new_list_order(v, ORDER_LIST_RUNS, 0);

	v->hedged_at = now;
	o->acked_end = 0;
	counters_add(s->counters, "camphorshed_server_hedges_total", "", 1);
	send_list_order(s, v, o, now);
}

/* True if a reply is missing that a list could make up for. */
static bool lacks_reply(const struct sched *s, const struct server *v,
			cs_time now)
{
	if (!v->is_taken_over || s->is_paused || v->is_incarnation_doubtful ||
	    (!v->runs->len && !is_watched(v, now)))
		return false;
	/* The lease would end before the hold times out. */
	return is_hold_overdue(v, now) || v->unanswered_orders > 0;
}

/*
 * Requests lists of a server whose replies are missing, at growing intervals. A
 * single lost order must not keep it out of use, or let its lease end.
 */
static void hedge_replies(struct sched *s, struct server *v, cs_time now)
{
	if (!lacks_reply(s, v, now) || now - v->hedged_at < v->hedge_pause)
		return;
	hedge_list(s, v, now);
	if (!is_watched(v, now) || now - v->answered_at >= WATCHED_SILENCE_US)
		v->hedge_pause = MIN(2 * v->hedge_pause, HEDGE_PAUSE_MAX_US);
}

/*
 * Repeats the stops without a reply. A stop that rules out a start of a step
 * with a budget is repeated only after another list that lacks the run, which
 * could be at work by now; see runs_reconcile().
 */
static void resend_stops(struct sched *s, struct server *v, cs_time now)
{
	bool is_list_due = false;
	guint i;

	for (i = 0; i < v->runs->len; i++) {
		struct run *r =
			run_row(s, g_array_index(v->runs, cs_handle, i));

		if (!r->stop_at || r->is_stop_answered)
			continue;
		if (r->is_stop_for_start && has_budget(s, r))
			is_list_due |= now - r->stop_at >= LIST_RETRY_US;
		else
			runs_repeat_stop(s, r, now);
	}
	if (is_list_due && now - v->hedged_at >= LIST_RETRY_US)
		hedge_list(s, v, now);
}

/*
 * Logs once that tasks no longer wait for a server that has not answered this
 * owner: all runs that a predecessor started there have ended.
 */
static void note_given_up(struct sched *s, struct server *v, cs_time now)
{
	cs_time end = incarnation_predecessor_end(s, v);
	GString *pairs;

	if (v->is_given_up || v->is_taken_over || !end || s->confirmed_at < end)
		return;
	v->is_given_up = true;
	pairs = servers_describe(v, end > v->predecessor_lease_end ?
					    "incarnation" :
					    "predecessor");
	log_pair_int(pairs, "described_unix_ms", (int64_t)v->described_unix_ms);
	log_pair_int(pairs, "is_listed", v->is_listed);
	log_pair_int(pairs, "term_age_ms", (now - s->started_at) / CS_MSEC);
	sched_log(s, "server_given_up", pairs);
}

static void check_server(struct sched *s, struct server *v, cs_time now)
{
	finish_dead_server(s, v, now);
	if (!v->is_dead && v->runs->len && v->unanswered_orders &&
	    has_lease_ended(s, v)) {
		log_server(s, "server_lease_ended", v,
			   find_lease_bound(s, v).why, now);
		end_runs_as_lost(s, v, now);
	}
	note_given_up(s, v, now);
	if (!v->is_dead) {
		resend_stops(s, v, now);
		hedge_replies(s, v, now);
	}
	if (v->info.is_draining && !v->is_dead)
		stop_long_running(s, v, now);
	if (!v->is_listed && !v->runs->len && !v->is_grant_pending &&
	    !v->next_started_unix_ms &&
	    (v->is_dead || (v->unanswered_orders && has_lease_ended(s, v) &&
			    !v->is_hold_open)))
		remove_server(s, v, now);
}

void servers_check(struct sched *s, cs_time now)
{
	cs_handle h, next;

	for (h = slots_next(s->servers, 0); h; h = next) {
		next = slots_next(s->servers, h);
		check_server(s, server_row(s, h), now);
	}
	grants_check(s, now);
}
