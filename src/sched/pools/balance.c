#include "../sched_private.h"

#include <math.h>
#include <string.h>

#include "../../base/error.h"
#include "../../base/log.h"

/*
 * Moves hosts between pools according to demand. The expected load is bursty:
 * one queue after another demands several times the capacity of its pool for
 * some seconds, and almost nothing in between. A pool that is short of capacity
 * gets idle hosts of other pools, then those of a standby pool. Hosts that no
 * pool needs move to the standby pool, where they cost nothing. Only hosts
 * without runs move, so no work is lost.
 */

#define REBALANCE_INTERVAL_US (150 * CS_MSEC)
/*
 * After the start of a site it is not known when a pool gets its first load.
 * Until then, or for this long, it keeps its initial servers unless another
 * pool needs them.
 */
#define FIRST_DEMAND_WAIT_US (30 * CS_SEC)
/* Share of the host service's rate limit that is used for moves. */
#define MOVE_CALLS_SHARE 0.75
/* A move that does not show in the host list within this time is dropped. */
#define MOVE_TIMEOUT_US (6 * CS_SEC)
/* Interval of the log lines, one per pool. */
#define LOG_INTERVAL_US (1 * CS_SEC)

struct move {
	char host[SITE_NAME_MAX];
	char pool[SITE_NAME_MAX]; /* destination */
	cs_handle server; /* cordoned for the move; 0: none */
	cs_time ordered_at;
	bool is_accepted;
	cs_time accepted_at;
};

/* Which pools get hosts, and when hosts move to the standby pool. */
struct balance_policy {
	/* What runs and waits comes before what is forecast. */
	bool fills_present_first;
	/* A server must have been idle for this long. */
	cs_time idle_before_release;
	/* The forecast of its pool must not have risen for this long. */
	cs_time after_rise;
	/* Share of the moves of one pass that may go to the standby pool. */
	double moves_share;
	/* The first demand of one pool ends the wait of all. */
	bool waits_once;
};

static const struct balance_policy balance_by_demand = {
	.idle_before_release = 700 * CS_MSEC,
	.moves_share = 0.34,
};

/*
 * Two moves cost as much as 2.3 s in a pool, but a server that becomes idle in
 * a pool that does not rise is seldom needed there within that time.
 */
static const struct balance_policy balance_by_forecast = {
	.fills_present_first = true,
	.idle_before_release = 500 * CS_MSEC,
	.after_rise = 1 * CS_SEC,
	.moves_share = 0.67,
	.waits_once = true,
};

struct balance {
	struct sched *sched;
	const struct balance_policy *policy;
	GHashTable *moves; /* host -> struct move */
	GHashTable *idle_since; /* server id -> cs_time */
	uint64_t next_ref;
	GHashTable *by_ref; /* order reference -> host name */
	cs_handle timer;
	cs_time log_at; /* when pools are logged next */
};

static void on_rebalance_timer(void *ctx, uint64_t arg, cs_time now);

struct balance *balance_create(struct sched *s, cs_time now)
{
	struct balance *b = g_new0(struct balance, 1);

	b->sched = s;
	b->policy = s->options.policy.has_demand_forecast ?
			    &balance_by_forecast :
			    &balance_by_demand;
	b->moves = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	b->idle_since =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	b->by_ref = g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL,
					  g_free);
	b->timer = timers_subscribe(s->timers, now + REBALANCE_INTERVAL_US,
				    on_rebalance_timer, b, 0);
	return b;
}

void balance_destroy(struct balance *b)
{
	timers_cancel(b->sched->timers, b->timer);
	g_hash_table_destroy(b->moves);
	g_hash_table_destroy(b->idle_since);
	g_hash_table_destroy(b->by_ref);
	g_free(b);
}

/* Maximum number of moves in one pass, within the host service's rate limit. */
static int moves_max(const struct balance *b)
{
	return (int)((double)b->sched->options.limits.host_calls_per_s *
		     MOVE_CALLS_SHARE * (double)REBALANCE_INTERVAL_US /
		     (double)CS_SEC) +
	       1;
}

/* The size and target of a pool in one pass. */
struct pool_plan {
	struct pool *pool;
	bool is_standby;
	int servers; /* usable ones and those moving here */
	int target;
	GPtrArray *idle; /* struct order_host: hosts that may move */
};

static void pool_plan_free(void *row)
{
	struct pool_plan *plan = row;

	g_ptr_array_free(plan->idle, TRUE);
	g_free(plan);
}

/* Since when a server has had no run; CS_TIME_NEVER while it has one. */
static cs_time idle_since(struct balance *b, const struct server *v,
			  cs_time now)
{
	cs_time *since = g_hash_table_lookup(b->idle_since, v->info.id);

	if (v->runs->len) {
		g_hash_table_remove(b->idle_since, v->info.id);
		return CS_TIME_NEVER;
	}
	if (!since) {
		since = g_new(cs_time, 1);
		*since = now;
		g_hash_table_insert(b->idle_since, g_strdup(v->info.id), since);
	}
	return *since;
}

static bool is_idle(struct balance *b, const struct server *v, cs_time now)
{
	return v->is_taken_over && v->is_listed && !v->is_dead &&
	       !v->unanswered_orders && !v->cordons && !v->info.is_draining &&
	       idle_since(b, v, now) != CS_TIME_NEVER;
}

bool balance_is_moving(const struct sched *s, const char *host)
{
	return g_hash_table_contains(s->balance->moves, host);
}

static struct pool_plan *find_pool_plan(GPtrArray *plans, const char *pool)
{
	guint i;

	for (i = 0; i < plans->len; i++) {
		struct pool_plan *plan = g_ptr_array_index(plans, i);

		if (!strcmp(plan->pool->name, pool))
			return plan;
	}
	return NULL;
}

static GPtrArray *make_pool_plans(struct sched *s, cs_time now)
{
	GPtrArray *plans = g_ptr_array_new_with_free_func(pool_plan_free);
	const struct site_pool *p;
	guint i;

	for (i = 0; (p = site_pool_at(s->site, i)); i++) {
		struct pool_plan *plan = g_new0(struct pool_plan, 1);

		plan->pool = sched_pool(s, p->name);
		plan->is_standby = p->is_standby;
		plan->idle = g_ptr_array_new();
		if (!p->is_standby)
			plan->target = pool_size_target(s, plan->pool, now);
		g_ptr_array_add(plans, plan);
	}
	return plans;
}

/* True if the host list shows that a move is done. */
static bool is_move_done(const struct sched *s, const struct move *m)
{
	const struct order_host *h = hosts_find(s, m->host);

	return m->is_accepted && h && hosts_listed_at(s) >= m->accepted_at &&
	       h->state == ORDER_HOST_UP && !strcmp(h->pool, m->pool);
}

static void log_dropped_move(struct sched *s, const struct move *m)
{
	const struct order_host *h = hosts_find(s, m->host);
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "host", m->host);
	log_pair(pairs, "to", m->pool);
	log_pair(pairs, "listed_in", h ? h->pool : "");
	log_pair(pairs, "accepted", m->is_accepted ? "yes" : "no");
	log_pair_int(pairs, "age_ms",
		     (hosts_listed_at(s) - m->ordered_at) / CS_MSEC);
	sched_log(s, "host_move_dropped", pairs);
}

/*
 * Ends the moves that are done or have timed out. If an order without a reply
 * was not carried out, the server is still in its pool and can be used again.
 */
static gboolean end_finished_move(void *key, void *row, void *ctx)
{
	struct sched *s = ctx;
	const struct move *m = row;

	(void)key;
	if (!is_move_done(s, m)) {
		if (hosts_listed_at(s) - m->ordered_at <= MOVE_TIMEOUT_US)
			return FALSE;
		log_dropped_move(s, m);
	}
	servers_set_cordon(s, m->server, CORDON_MOVE, false);
	return TRUE;
}

/* Counts each host in its pool, or in the pool to which it is moving. */
static void count_hosts(struct balance *b, GPtrArray *plans, cs_time now)
{
	struct sched *s = b->sched;
	GHashTableIter it;
	void *row;

	g_hash_table_iter_init(&it, hosts_table(s));
	while (g_hash_table_iter_next(&it, NULL, &row)) {
		struct order_host *h = row;
		const struct move *m = g_hash_table_lookup(b->moves, h->name);
		struct pool_plan *plan =
			find_pool_plan(plans, m ? m->pool : h->pool);
		struct server *v =
			g_hash_table_lookup(s->server_by_id, h->server);

		if (!plan || maintenance_has_host(s, h->name))
			continue;
		if (m || h->state != ORDER_HOST_UP) {
			plan->servers += m || h->state == ORDER_HOST_MOVING;
			continue;
		}
		if (g_hash_table_contains(s->evacuated, h->data_centre))
			continue;
		plan->servers++;
		if (hosts_is_blocked(s, h->name, now))
			continue;
		if (plan->is_standby || (v && is_idle(b, v, now)))
			g_ptr_array_add(plan->idle, h);
	}
}

static void order_move(struct balance *b, const struct order_host *h,
		       const char *pool, cs_time now)
{
	struct sched *s = b->sched;
	struct order *o = hosts_new_order(s, ORDER_MOVE_HOST, h->name, now);
	struct server *v = g_hash_table_lookup(s->server_by_id, h->server);
	struct move *m;
	GString *pairs;

	if (!o)
		return;
	m = g_new0(struct move, 1);
	cs_copy(m->host, sizeof(m->host), h->name);
	cs_copy(m->pool, sizeof(m->pool), pool);
	m->ordered_at = now;
	g_hash_table_insert(b->moves, m->host, m);
	m->server = v ? v->self : 0;
	servers_set_cordon(s, m->server, CORDON_MOVE, true);
	o->ref = ++b->next_ref;
	g_hash_table_insert(b->by_ref, GSIZE_TO_POINTER(o->ref),
			    g_strdup(h->name));
	cs_copy(o->pool, sizeof(o->pool), pool);
	pairs = g_string_new(NULL);
	log_pair(pairs, "host", h->name);
	log_pair(pairs, "from", h->pool);
	log_pair(pairs, "to", pool);
	log_pair_int(pairs, "list_age_ms",
		     (now - hosts_listed_at(s)) / CS_MSEC);
	sched_log(s, "host_move", pairs);
	counters_add(s->counters, "camphorshed_host_moves_total", "", 1);
	hosts_queue_order(s, o, v);
}

/*
 * Takes an idle host from the pool with the largest surplus; standby pools come
 * last. Returns NULL if there is none.
 */
static struct order_host *take_surplus_host(GPtrArray *plans,
					    const struct pool_plan *to)
{
	struct pool_plan *best = NULL;
	guint i;

	for (i = 0; i < plans->len; i++) {
		struct pool_plan *plan = g_ptr_array_index(plans, i);

		if (plan == to || !plan->idle->len)
			continue;
		if (!plan->is_standby && plan->servers <= plan->target)
			continue;
		if (!best || (best->is_standby && !plan->is_standby) ||
		    (best->is_standby == plan->is_standby &&
		     plan->servers - plan->target >
			     best->servers - best->target))
			best = plan;
	}
	if (!best)
		return NULL;
	best->servers--;
	return g_ptr_array_remove_index_fast(best->idle, best->idle->len - 1);
}

/*
 * Returns the pool with the lowest share of its target, or of what it needs now
 * for work that runs and waits; NULL if all have reached it. Shares are
 * compared because otherwise a pool with a long backlog would get all hosts
 * first.
 */
static struct pool_plan *find_lowest_share_pool(const GPtrArray *plans,
						bool is_for_present)
{
	struct pool_plan *best = NULL;
	int need, best_need = 0;
	guint i;

	for (i = 0; i < plans->len; i++) {
		struct pool_plan *plan = g_ptr_array_index(plans, i);

		need = is_for_present ?
			       MIN(plan->pool->needed_now, plan->target) :
			       plan->target;
		if (plan->is_standby || plan->servers >= need)
			continue;
		if (!best || (int64_t)plan->servers * best_need <
				     (int64_t)best->servers * need) {
			best = plan;
			best_need = need;
		}
	}
	return best;
}

/* The pool that gets the next host: one where work waits before others. */
static struct pool_plan *choose_short_pool(const struct balance *b,
					   const GPtrArray *plans)
{
	struct pool_plan *plan = b->policy->fills_present_first ?
					 find_lowest_share_pool(plans, true) :
					 NULL;

	return plan ? plan : find_lowest_share_pool(plans, false);
}

static int fill_short_pools(struct balance *b, GPtrArray *plans, int moves,
			    cs_time now)
{
	while (moves < moves_max(b)) {
		struct pool_plan *to = choose_short_pool(b, plans);
		struct order_host *h;

		h = to ? take_surplus_host(plans, to) : NULL;
		if (!h)
			break;
		to->servers++;
		order_move(b, h, to->pool->name, now);
		moves++;
	}
	return moves;
}

static bool has_label(const struct order_host *h, const char *label)
{
	int i;

	for (i = 0; i < h->labels_nr; i++)
		if (!strcmp(h->labels[i], label))
			return true;
	return false;
}

/* True if jobs of the pool wait for a server with a label of the host. */
static bool is_lacking(const struct pool *p, const struct order_host *h)
{
	int i;

	for (i = 0; i < p->lacking_labels_nr; i++)
		if (has_label(h, p->lacking_labels[i]))
			return true;
	return false;
}

/* True if a host with the label is on its way to the pool. */
static bool is_label_moving(const struct balance *b, const struct pool *p,
			    const char *label)
{
	GHashTableIter it;
	void *row;

	g_hash_table_iter_init(&it, b->moves);
	while (g_hash_table_iter_next(&it, NULL, &row)) {
		const struct move *m = row;
		const struct order_host *h = hosts_find(b->sched, m->host);

		if (h && !strcmp(m->pool, p->name) && has_label(h, label))
			return true;
	}
	return false;
}

/* Takes an idle host with a label that its own pool does not need. */
static struct order_host *take_labelled_host(GPtrArray *plans,
					     const struct pool_plan *to,
					     const char *label)
{
	guint i, k;

	for (i = 0; i < plans->len; i++) {
		struct pool_plan *plan = g_ptr_array_index(plans, i);

		if (plan == to ||
		    (!plan->is_standby && plan->servers <= plan->target))
			continue;
		for (k = 0; k < plan->idle->len; k++) {
			struct order_host *h = g_ptr_array_index(plan->idle, k);

			if (!has_label(h, label) || is_lacking(plan->pool, h))
				continue;
			plan->servers--;
			return g_ptr_array_remove_index_fast(plan->idle, k);
		}
	}
	return NULL;
}

/*
 * Moves a host to each pool whose jobs wait for a label that no server with
 * room has there: the size of a pool counts CPU of any kind.
 */
static int fill_lacking_labels(struct balance *b, GPtrArray *plans, cs_time now)
{
	int moves = 0, k;
	guint i;

	for (i = 0; i < plans->len; i++) {
		struct pool_plan *to = g_ptr_array_index(plans, i);

		for (k = 0; !to->is_standby && moves < moves_max(b) &&
			    k < to->pool->lacking_labels_nr;
		     k++) {
			const char *label = to->pool->lacking_labels[k];
			struct order_host *h =
				is_label_moving(b, to->pool, label) ?
					NULL :
					take_labelled_host(plans, to, label);

			if (!h)
				continue;
			to->servers++;
			order_move(b, h, to->pool->name, now);
			moves++;
		}
	}
	return moves;
}

/* True while pools without demand so far keep their initial servers. */
static bool is_waiting_for_demand(const struct balance *b,
				  const GPtrArray *plans, cs_time now)
{
	guint i;

	if (b->sched->options.token != 1 ||
	    now - b->sched->started_at >= FIRST_DEMAND_WAIT_US)
		return false;
	for (i = 0; b->policy->waits_once && i < plans->len; i++) {
		const struct pool_plan *plan = g_ptr_array_index(plans, i);

		if (plan->pool->has_seen_demand)
			return false;
	}
	return true;
}

/* Moves idle hosts that no pool needs to the standby pool. */
static void release_idle_hosts(struct balance *b, GPtrArray *plans, int moves,
			       cs_time now)
{
	struct pool_plan *standby = NULL;
	int max = (int)(moves_max(b) * b->policy->moves_share) + 1;
	bool is_waiting = is_waiting_for_demand(b, plans, now);
	guint i, k;

	for (i = 0; i < plans->len && !standby; i++) {
		struct pool_plan *plan = g_ptr_array_index(plans, i);

		if (plan->is_standby)
			standby = plan;
	}
	for (i = 0; standby && i < plans->len; i++) {
		struct pool_plan *plan = g_ptr_array_index(plans, i);

		if ((!plan->pool->has_seen_demand && is_waiting) ||
		    now - plan->pool->rising_at < b->policy->after_rise)
			continue;
		for (k = 0; !plan->is_standby && k < plan->idle->len &&
			    moves < max && plan->servers > plan->target;
		     k++) {
			struct order_host *h = g_ptr_array_index(plan->idle, k);
			const struct server *v = g_hash_table_lookup(
				b->sched->server_by_id, h->server);

			if (now - idle_since(b, v, now) <
				    b->policy->idle_before_release ||
			    is_lacking(plan->pool, h))
				continue;
			plan->servers--;
			order_move(b, h, standby->pool->name, now);
			moves++;
		}
	}
}

/* Logs the state and the target of each pool, once per LOG_INTERVAL_US. */
static void log_pools(struct balance *b, const GPtrArray *plans, cs_time now)
{
	guint i, k;

	if (now < b->log_at)
		return;
	b->log_at = now + LOG_INTERVAL_US;
	for (i = 0; i < plans->len; i++) {
		const struct pool_plan *plan = g_ptr_array_index(plans, i);
		GString *pairs = g_string_new(NULL);
		int64_t used = 0, capacity = 0;
		int usable = 0;

		for (k = 0; k < plan->pool->servers->len; k++) {
			const struct server *v =
				g_ptr_array_index(plan->pool->servers, k);

			if (!v->is_listed || v->is_dead)
				continue;
			used += v->used.cpu;
			capacity += v->info.capacity.cpu;
			usable += place_is_usable(b->sched, v, now);
		}
		log_pair(pairs, "pool", plan->pool->name);
		log_pair_int(pairs, "hosts", plan->servers);
		log_pair_int(pairs, "hosts_wanted", plan->target);
		log_pair_int(pairs, "hosts_idle", plan->idle->len);
		log_pair_int(pairs, "servers_usable", usable);
		log_pair_int(pairs, "cpu_room", capacity);
		log_pair_int(pairs, "cpu_used", used);
		log_pair_int(pairs, "cpu_demand", (int64_t)plan->pool->demand);
		log_pair_int(pairs, "cpu_forecast",
			     (int64_t)plan->pool->arriving.expected);
		log_pair_int(pairs, "cpu_forecast_error",
			     (int64_t)plan->pool->arriving.error);
		log_pair(pairs, "forecast_by",
			 pool_size_method(b->sched, plan->pool));
		log_pair_int(pairs, "cpu_backlog",
			     (int64_t)plan->pool->backlog);
		log_pair_int(pairs, "jobs", plan->pool->jobs->len);
		log_pair_int(pairs, "blocked_by_limit",
			     plan->pool->blocked[BLOCK_LIMIT]);
		log_pair_int(pairs, "blocked_by_room",
			     plan->pool->blocked[BLOCK_ROOM]);
		log_pair_int(pairs, "blocked_by_rules",
			     plan->pool->blocked[BLOCK_RULES]);
		log_pair_int(pairs, "blocked_unsettled",
			     plan->pool->blocked[BLOCK_UNSETTLED]);
		log_pair_int(pairs, "blocked_by_store",
			     plan->pool->blocked[BLOCK_STORE]);
		log_pair_int(pairs, "fair_passes", plan->pool->fair_passes);
		log_pair_int(pairs, "list_age_ms",
			     (now - hosts_listed_at(b->sched)) / CS_MSEC);
		sched_log(b->sched, "pool_state", pairs);
	}
}

static void rebalance(struct balance *b, cs_time now)
{
	struct sched *s = b->sched;
	GPtrArray *plans;
	int moves;

	hosts_refresh(s, now);
	if (!hosts_listed_at(s))
		return;
	g_hash_table_foreach_remove(b->moves, end_finished_move, s);
	pool_size_begin(s);
	plans = make_pool_plans(s, now);
	count_hosts(b, plans, now);
	moves = fill_lacking_labels(b, plans, now);
	moves = fill_short_pools(b, plans, moves, now);
	release_idle_hosts(b, plans, moves, now);
	log_pools(b, plans, now);
	g_ptr_array_free(plans, TRUE);
}

static void on_rebalance_timer(void *ctx, uint64_t arg, cs_time now)
{
	struct balance *b = ctx;
	struct sched *s = b->sched;

	(void)arg;
	b->timer = timers_subscribe(s->timers, now + REBALANCE_INTERVAL_US,
				    on_rebalance_timer, b, 0);
	if (s->site && s->is_ready && !s->is_paused && !s->is_fenced)
		rebalance(b, now);
}

void balance_on_reply(struct sched *s, const struct order_reply *d, cs_time now)
{
	struct balance *b = s->balance;
	const char *name =
		g_hash_table_lookup(b->by_ref, GSIZE_TO_POINTER(d->ref));
	struct move *m = name ? g_hash_table_lookup(b->moves, name) : NULL;
	struct server *v = m ? server_row(s, m->server) : NULL;

	if (m && d->result == ORDER_DONE) {
		m->is_accepted = true;
		m->accepted_at = now;
		if (v)
			servers_mark_dead(s, v, "host moved to another pool",
					  now);
	} else if (m && d->result != ORDER_UNKNOWN) {
		servers_set_cordon(s, m->server, CORDON_MOVE, false);
		g_hash_table_remove(b->moves, name);
	}
	if (d->reason == ORDER_REASON_FENCED) {
		s->is_fenced = true;
		s->ops->fenced(s->ctx);
	}
	g_hash_table_remove(b->by_ref, GSIZE_TO_POINTER(d->ref));
}
