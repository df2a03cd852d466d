#include "../sched_private.h"

#include <string.h>

#include "../../base/error.h"
#include "../../base/log.h"

/*
 * Maintenance waves. A host is taken down in three steps. First its server is
 * cordoned, so that it gets no more starts. Then short tasks end by themselves,
 * and long-running tasks are stopped as far as their availability budgets
 * allow, so that they start again elsewhere. Finally the maintenance of the
 * host is ordered. The number of hosts of a wave that are down at once is
 * limited.
 */

#define CHECK_INTERVAL_US (200 * CS_MSEC)
/* An order without a reply is sent again after this time. */
#define ORDER_RETRY_US (1200 * CS_MSEC)
/* Hosts emptied ahead of those that may be down, to keep the wave moving. */
#define EXTRA_EMPTYING_HOSTS 1
/* A long-running task counts as working after this time at 100 percent. */
#define MIN_WORKING_US (300 * CS_MSEC)
/*
 * A long-running task starts up within about a second. One that is not working
 * after this time has failed to start, so stopping it does not reduce
 * availability.
 */
#define STARTUP_TIMEOUT_US (6 * CS_SEC)
/* A server with runs answers a hold every 0.7 s; this allows one to be late. */
#define ANSWER_AGE_MAX_US (1500 * CS_MSEC)
/* After this share of a wave's time, short tasks are stopped as well. */
#define LATE_PHASE_SHARE 0.7

enum wave_host_state {
	WAVE_WAITING,
	WAVE_EMPTYING,
	WAVE_ORDERED,
	WAVE_STARTED
};

struct wave_host {
	char name[SITE_NAME_MAX];
	enum wave_host_state state;
	cs_time begun_at;
	cs_time retry_at; /* when to repeat an unanswered order; 0: never */
	/* Until then an unanswered order may be carried out. */
	cs_time uncertain_until;
	char server[SITE_NAME_MAX]; /* on the host when maintenance was ordered
				     */
	cs_handle cordoned; /* server cordoned for the wave; 0: none */
	bool has_returned;
	bool is_left_out; /* no longer in the wave, without maintenance */
};

struct wave {
	uint64_t number;
	cs_time begun_at, ends_at;
	int at_once_max;
	GPtrArray *hosts; /* struct wave_host */
	GHashTable *by_name; /* name -> struct wave_host */
	bool is_reported; /* the start of the wave was reported */
	bool is_done;
};

struct maintenance {
	struct sched *sched;
	GPtrArray *waves; /* struct wave */
	cs_handle timer;
};

static void on_check_timer(void *ctx, uint64_t arg, cs_time now);

static void wave_free(void *row)
{
	struct wave *w = row;

	g_hash_table_destroy(w->by_name);
	g_ptr_array_free(w->hosts, TRUE);
	g_free(w);
}

struct maintenance *maintenance_create(struct sched *s)
{
	struct maintenance *m = g_new0(struct maintenance, 1);

	m->sched = s;
	m->waves = g_ptr_array_new_with_free_func(wave_free);
	return m;
}

void maintenance_destroy(struct maintenance *m)
{
	timers_cancel(m->sched->timers, m->timer);
	g_ptr_array_free(m->waves, TRUE);
	g_free(m);
}

static struct wave *find_wave(const struct maintenance *m, uint64_t number)
{
	guint i;

	for (i = 0; i < m->waves->len; i++) {
		struct wave *w = g_ptr_array_index(m->waves, i);

		if (w->number == number)
			return w;
	}
	return NULL;
}

/* Hosts whose maintenance has not begun. */
static int count_left(const struct wave *w)
{
	int left = 0;
	guint i;

	for (i = 0; i < w->hosts->len; i++) {
		const struct wave_host *h = g_ptr_array_index(w->hosts, i);

		left += h->state < WAVE_STARTED;
	}
	return left;
}

static void log_wave(struct sched *s, const char *event, const struct wave *w,
		     const struct wave_host *h, cs_time now)
{
	GString *pairs = g_string_new(NULL);

	log_pair_int(pairs, "wave", (int64_t)w->number);
	if (h)
		log_pair(pairs, "host", h->name);
	log_pair_int(pairs, "hosts_left", count_left(w));
	log_pair_int(pairs, "at_once_max", w->at_once_max);
	log_pair_int(pairs, "time_left_ms", (w->ends_at - now) / CS_MSEC);
	sched_log(s, event, pairs);
}

/* Starts the check timer unless it is running. */
static void schedule_check(struct maintenance *m, cs_time at)
{
	if (!m->timer)
		m->timer = timers_subscribe(m->sched->timers, at,
					    on_check_timer, m, 0);
}

static struct server *server_on(const struct sched *s, const char *host)
{
	const struct order_host *row = hosts_find(s, host);

	if (!row || !*row->server)
		return NULL;
	return g_hash_table_lookup(s->server_by_id, row->server);
}

/* Lets the server of a host get starts again. */
static void uncordon_host(struct sched *s, struct wave_host *h)
{
	servers_set_cordon(s, h->cordoned, CORDON_MAINTENANCE, false);
	h->cordoned = 0;
}

/* Cordons the server that the host list shows on the host, if any. */
static void cordon_host(struct sched *s, struct wave_host *h)
{
	const struct server *v = server_on(s, h->name);

	if (!v || v->self == h->cordoned)
		return;
	uncordon_host(s, h);
	h->cordoned = v->self;
	servers_set_cordon(s, h->cordoned, CORDON_MAINTENANCE, true);
}

/* Takes a host out of its wave, which then counts it as done. */
static void leave_out(struct sched *s, struct wave_host *h)
{
	h->state = WAVE_STARTED;
	h->has_returned = h->is_left_out = true;
	uncordon_host(s, h);
}

static bool has_name(const GPtrArray *names, const char *name)
{
	guint i;

	for (i = 0; names && i < names->len; i++)
		if (!strcmp(g_ptr_array_index(names, i), name))
			return true;
	return false;
}

/* Adds a host, or takes one that was left out into the wave again. */
static void add_host(struct wave *w, const char *name, bool is_done,
		     cs_time now)
{
	struct wave_host *h = g_hash_table_lookup(w->by_name, name);

	if (h && !h->is_left_out)
		return;
	if (!h) {
		h = g_new0(struct wave_host, 1);
		cs_copy(h->name, sizeof(h->name), name);
		g_ptr_array_add(w->hosts, h);
		g_hash_table_insert(w->by_name, h->name, h);
	}
	h->is_left_out = h->has_returned = false;
	h->state = is_done ? WAVE_STARTED : WAVE_WAITING;
	h->begun_at = now;
}

static struct wave *new_wave(const struct wave_info *info, cs_time now)
{
	struct wave *w = g_new0(struct wave, 1);

	w->number = info->number;
	w->begun_at = now;
	w->hosts = g_ptr_array_new_with_free_func(g_free);
	w->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	return w;
}

void sched_add_wave(struct sched *s, const struct wave_info *info, cs_time now)
{
	struct maintenance *m = s->maintenance;
	struct wave *w = find_wave(m, info->number);
	bool is_new = !w;
	guint i;

	if (is_new) {
		w = new_wave(info, now);
		g_ptr_array_add(m->waves, w);
	}
	w->ends_at = w->begun_at + info->duration_ms * CS_MSEC;
	w->at_once_max = info->at_once_max > 0 ? info->at_once_max : 1;
	/* An ordered host may be under maintenance, so it stays in the wave. */
	for (i = 0; i < w->hosts->len; i++) {
		struct wave_host *h = g_ptr_array_index(w->hosts, i);

		if (h->state < WAVE_ORDERED && !has_name(info->hosts, h->name))
			leave_out(s, h);
	}
	for (i = 0; i < info->hosts->len; i++) {
		const char *name = g_ptr_array_index(info->hosts, i);

		add_host(w, name, has_name(info->done, name), now);
	}
	w->is_done = w->is_done && !count_left(w);
	w->is_reported = false;
	log_wave(s, is_new ? "wave_asked" : "wave_changed", w, NULL, now);
	schedule_check(m, now + CHECK_INTERVAL_US);
}

void sched_remove_wave(struct sched *s, uint64_t number)
{
	struct wave *w = find_wave(s->maintenance, number);
	guint i;

	if (!w)
		return;
	for (i = 0; i < w->hosts->len; i++)
		uncordon_host(s, g_ptr_array_index(w->hosts, i));
	g_ptr_array_remove(s->maintenance->waves, w);
}

bool maintenance_has_host(const struct sched *s, const char *host)
{
	guint i;

	for (i = 0; i < s->maintenance->waves->len; i++) {
		const struct wave *w =
			g_ptr_array_index(s->maintenance->waves, i);
		const struct wave_host *h =
			g_hash_table_lookup(w->by_name, host);

		if (h)
			return h->state == WAVE_EMPTYING ||
			       h->state == WAVE_ORDERED ||
			       (h->state == WAVE_STARTED && !h->has_returned);
	}
	return false;
}

/* Encodes the wave and the index of the host as the reference of an order. */
static uint64_t host_ref(const struct wave *w, guint i)
{
	return w->number << 16 | i;
}

/*
 * True if a long-running task is certainly working: its server answered
 * recently and has reported it at 100 percent for MIN_WORKING_US.
 */
static bool is_working(const struct sched *s, const struct run *r, cs_time now)
{
	const struct server *v = r ? server_row(s, r->server) : NULL;

	return v && r->state == RUN_ACTIVE && r->percent == 100 &&
	       now - r->working_since >= MIN_WORKING_US &&
	       !v->unanswered_orders && !v->is_dead && v->is_listed &&
	       !v->info.is_draining && now - v->answered_at < ANSWER_AGE_MAX_US;
}

/* Number of other tasks of the run's step that are not working. */
static int count_others_not_working(const struct sched *s, const struct job *j,
				    const struct run *r, cs_time now)
{
	const struct batch_step *st = &j->batch->spec->steps[r->step];
	int not_working = 0, i;

	for (i = 0; i < st->count; i++) {
		const struct batch_task *t =
			batch_find_task(j->batch, r->occurrence, r->step, i);
		const struct run *other = t ? run_row(s, t->run_row) : NULL;

		if (other != r && !is_working(s, other, now))
			not_working++;
	}
	return not_working;
}

/*
 * True if the run of a long-running task may be stopped now without exceeding
 * the availability budget of its step. A run that was not working at the last
 * reply of its server may be working by now, so it counts as available.
 */
static bool may_stop(const struct sched *s, const struct run *r, cs_time now)
{
	const struct job *j = slots_get(s->jobs, r->job);
	const struct batch_step *st = &j->batch->spec->steps[r->step];

	if (batch_is_final(j->batch) || st->unavailable_max < 0)
		return true;
	if (r->percent < 100 &&
	    now - r->start_confirmed_at > STARTUP_TIMEOUT_US)
		return true;
	return count_others_not_working(s, j, r, now) < st->unavailable_max;
}

/*
 * Stops all runs that may be stopped. Returns true if no run is left, nor one
 * of a predecessor that the server has not listed yet.
 */
static bool empty_server(struct sched *s, struct server *v, bool is_late_phase,
			 cs_time now)
{
	guint i;

	for (i = 0; i < v->runs->len; i++) {
		struct run *r =
			run_row(s, g_array_index(v->runs, cs_handle, i));
		const struct job *j = slots_get(s->jobs, r->job);
		const struct batch_step *st = &j->batch->spec->steps[r->step];

		if (r->state != RUN_ACTIVE)
			continue;
		if (st->is_long_running ? may_stop(s, r, now) :
					  is_late_phase || st->is_checkpointing)
			runs_stop(s, r, "maintenance", now);
	}
	return !v->runs->len && !servers_may_have_unknown_runs(s, v);
}

/* True once no host of the wave is, or may be, under maintenance. */
static bool have_all_returned(const struct wave *w)
{
	guint i;

	for (i = 0; i < w->hosts->len; i++) {
		const struct wave_host *h = g_ptr_array_index(w->hosts, i);

		if (h->state == WAVE_STARTED && !h->has_returned)
			return false;
	}
	return true;
}

/*
 * Marks the server dead that was on a host when its maintenance was ordered,
 * unless a later list still shows it there: the order is also accepted if the
 * maintenance was over before it, as that of a predecessor may be.
 */
static void end_former_server(struct sched *s, struct wave_host *h,
			      const struct order_host *row, cs_time now)
{
	struct server *v = g_hash_table_lookup(s->server_by_id, h->server);

	if (v && !(row && row->state == ORDER_HOST_UP &&
		   !strcmp(row->server, h->server)))
		servers_mark_dead(s, v, "host under maintenance", now);
	*h->server = '\0';
}

/* A host has returned from maintenance when a later list shows it up. */
static void update_has_returned(struct sched *s, struct wave_host *h,
				cs_time now)
{
	const struct order_host *row = hosts_find(s, h->name);

	if (h->state != WAVE_STARTED || h->has_returned ||
	    hosts_listed_at(s) < h->begun_at)
		return;
	end_former_server(s, h, row, now);
	if (row && row->state != ORDER_HOST_UP)
		return;
	h->has_returned = true;
	uncordon_host(s, h);
}

struct wave_count {
	int emptying, down, left;
};

/*
 * True if a host is under maintenance, or may be soon because of an order that
 * got no reply. Of those of a predecessor only the list of hosts tells, or that
 * it was about to send one.
 */
static bool may_be_down(const struct sched *s, const struct wave_host *h,
			cs_time now)
{
	const struct order_host *row = hosts_find(s, h->name);

	if (h->state == WAVE_ORDERED)
		return true;
	if (h->state == WAVE_STARTED)
		return !h->has_returned;
	return row && (row->state == ORDER_HOST_IN_MAINTENANCE ||
		       (row->state == ORDER_HOST_UP &&
			hosts_may_have_late_order(s, h->name, now)));
}

static struct wave_count count_wave(const struct sched *s, const struct wave *w,
				    cs_time now)
{
	struct wave_count c = { 0 };
	guint i;

	for (i = 0; i < w->hosts->len; i++) {
		const struct wave_host *h = g_ptr_array_index(w->hosts, i);

		if (may_be_down(s, h, now))
			c.down++;
		else
			c.emptying += h->state == WAVE_EMPTYING;
		c.left += h->state < WAVE_STARTED;
	}
	return c;
}

/*
 * The waiting host with the least load, or NULL. One that may be down comes
 * first, as the reply to an order ends the doubt.
 */
static struct wave_host *next_host(const struct sched *s, const struct wave *w,
				   cs_time now)
{
	struct wave_host *best = NULL;
	int64_t best_load = INT64_MAX;
	guint i;

	for (i = 0; i < w->hosts->len; i++) {
		struct wave_host *h = g_ptr_array_index(w->hosts, i);
		const struct order_host *row = hosts_find(s, h->name);
		const struct server *v = server_on(s, h->name);
		int64_t load;

		if (h->state != WAVE_WAITING || !row ||
		    row->state != ORDER_HOST_UP ||
		    balance_is_moving(s, h->name))
			continue;
		load = v ? v->used.cpu + (int64_t)v->runs->len * 1000 : 0;
		if (may_be_down(s, h, now))
			load = -1;
		if (load >= best_load)
			continue;
		best = h;
		best_load = load;
	}
	return best;
}

static void report_progress(struct sched *s, const struct wave *w)
{
	GPtrArray *done = g_ptr_array_new();
	guint i;

	for (i = 0; i < w->hosts->len; i++) {
		struct wave_host *h = g_ptr_array_index(w->hosts, i);

		if (h->state == WAVE_STARTED && !h->is_left_out)
			g_ptr_array_add(done, h->name);
	}
	s->ops->wave_advanced(s->ctx, w->number, done, w->is_done);
	g_ptr_array_free(done, TRUE);
}

/* Orders the maintenance of a host. Returns false if not possible now. */
static bool order_maintenance(struct sched *s, const struct wave *w, guint i,
			      cs_time now)
{
	struct wave_host *h = g_ptr_array_index(w->hosts, i);
	const struct order_host *row = hosts_find(s, h->name);
	struct order *o = hosts_new_order(s, ORDER_MAINTAIN_HOST, h->name, now);

	if (!o)
		return false;
	if (row && *row->server)
		cs_copy(h->server, sizeof(h->server), row->server);
	h->state = WAVE_ORDERED;
	h->retry_at = 0;
	o->ref = host_ref(w, i);
	o->wave = w->number;
	hosts_queue_order(s, o, row ? server_on(s, h->name) : NULL);
	return true;
}

/*
 * True if a host is to be emptied and its maintenance ordered. An order without
 * a reply is repeated once a later list tells which server is on the host now:
 * another one may have started there and have runs.
 */
static bool is_order_due(const struct sched *s, const struct wave_host *h,
			 cs_time now)
{
	return h->state == WAVE_EMPTYING ||
	       (h->state == WAVE_ORDERED && h->retry_at && now >= h->retry_at &&
		hosts_listed_at(s) >= h->retry_at - ORDER_RETRY_US);
}

static void advance_wave(struct sched *s, struct wave *w, cs_time now)
{
	struct wave_count c = count_wave(s, w, now);
	bool is_late_phase =
		(double)(now - w->begun_at) >
		LATE_PHASE_SHARE * (double)(w->ends_at - w->begun_at);
	struct wave_host *h;
	guint i;

	if (!w->is_reported) {
		w->is_reported = true;
		report_progress(s, w);
	}
	while (c.emptying + c.down < w->at_once_max + EXTRA_EMPTYING_HOSTS &&
	       (h = next_host(s, w, now))) {
		h->state = WAVE_EMPTYING;
		c.emptying++;
		cordon_host(s, h);
		log_wave(s, "host_emptying", w, h, now);
	}
	for (i = 0; i < w->hosts->len; i++) {
		struct server *v;
		bool is_down;

		h = g_ptr_array_index(w->hosts, i);
		if (!is_order_due(s, h, now))
			continue;
		v = server_on(s, h->name);
		/* The list is outdated: the host may have a new server. */
		if ((v && v->is_dead) || balance_is_moving(s, h->name))
			continue;
		cordon_host(s, h);
		if (v && !empty_server(s, v, is_late_phase, now))
			continue;
		is_down = may_be_down(s, h, now);
		if (!is_down && c.down >= w->at_once_max)
			continue;
		if (order_maintenance(s, w, i, now) && !is_down)
			c.down++;
	}
	if (c.left || w->is_done)
		return;
	w->is_done = true;
	log_wave(s, "wave_done", w, NULL, now);
	report_progress(s, w);
}

/* Skips hosts that are no longer in the host list. */
static void skip_missing_hosts(struct sched *s, struct wave *w)
{
	guint i;

	if (hosts_listed_at(s) < w->begun_at)
		return;
	for (i = 0; i < w->hosts->len; i++) {
		struct wave_host *h = g_ptr_array_index(w->hosts, i);

		if (h->state < WAVE_ORDERED && !hosts_find(s, h->name))
			leave_out(s, h);
	}
}

/*
 * True while a wave has hosts to maintain, or hosts that have not returned: the
 * balance of pools leaves those alone.
 */
static bool has_open_wave(const struct maintenance *m)
{
	guint i;

	for (i = 0; i < m->waves->len; i++) {
		const struct wave *w = g_ptr_array_index(m->waves, i);

		if (!w->is_done || !have_all_returned(w))
			return true;
	}
	return false;
}

/*
 * Looks for the hosts of a wave in the list. No order is needed for that, so it
 * is done also while orders of a predecessor could conflict: a new owner knows
 * of the hosts done only that their maintenance has begun.
 */
static void find_returned_hosts(struct sched *s, struct wave *w, cs_time now)
{
	guint i;

	for (i = 0; i < w->hosts->len; i++)
		update_has_returned(s, g_ptr_array_index(w->hosts, i), now);
}

static void on_check_timer(void *ctx, uint64_t arg, cs_time now)
{
	struct maintenance *m = ctx;
	struct sched *s = m->sched;
	guint i;

	(void)arg;
	m->timer = 0;
	if (!has_open_wave(m))
		return;
	hosts_refresh(s, now);
	for (i = 0; hosts_listed_at(s) && i < m->waves->len; i++)
		find_returned_hosts(s, g_ptr_array_index(m->waves, i), now);
	/* Orders of two holders within the pause could conflict. */
	if (s->is_ready && !s->is_paused && !s->is_fenced &&
	    hosts_listed_at(s) &&
	    now - s->started_at >= s->options.limits.holder_pause_ms * CS_MSEC)
		for (i = 0; i < m->waves->len; i++) {
			struct wave *w = g_ptr_array_index(m->waves, i);

			if (w->is_done)
				continue;
			skip_missing_hosts(s, w);
			advance_wave(s, w, now);
		}
	schedule_check(m, now + CHECK_INTERVAL_US);
}

void maintenance_on_reply(struct sched *s, const struct order_reply *d,
			  cs_time now)
{
	struct wave *w = find_wave(s->maintenance, d->ref >> 16);
	struct wave_host *h;
	GString *pairs;

	if (!w || (d->ref & 0xffff) >= w->hosts->len)
		return;
	h = g_ptr_array_index(w->hosts, d->ref & 0xffff);
	pairs = g_string_new(NULL);
	log_pair_int(pairs, "wave", (int64_t)w->number);
	log_pair(pairs, "host", h->name);
	log_pair(pairs, "result", order_result_name(d->result));
	log_pair(pairs, "reason", order_reason_name(d->reason));
	sched_log(s, "host_maintenance", pairs);
	if (d->result == ORDER_DONE) {
		h->state = WAVE_STARTED;
		h->begun_at = now;
		report_progress(s, w);
		return;
	}
	if (d->result == ORDER_REFUSED && (d->reason == ORDER_REASON_WAVE ||
					   d->reason == ORDER_REASON_INVALID)) {
		leave_out(s, h);
		return;
	}
	if (d->result == ORDER_REFUSED && d->reason == ORDER_REASON_FENCED) {
		s->is_fenced = true;
		s->ops->fenced(s->ctx);
		return;
	}
	/*
	 * It may have begun or begin later, so the host counts as down. A
	 * refusal of the next order tells nothing of the one before.
	 */
	if (d->result == ORDER_UNKNOWN)
		h->uncertain_until = now + LATE_ORDER_US;
	if (now < h->uncertain_until)
		h->retry_at = now + ORDER_RETRY_US;
	else
		h->state = WAVE_EMPTYING;
}
