#include "fleet.h"

#include <string.h>

#include "../base/error.h"
#include "../base/log.h"
#include "../base/slots.h"
#include "../config/config_sync.h"
#include "../team/share.h"
#include "health.h"
#include "host_list.h"
#include "load_heap.h"

/* Twice the design size of 2,200, for replacements that overlap. */
#define WORKERS_MAX 8192

/* How often the platform's host list is read. */
#define HOST_LIST_INTERVAL (1500 * CS_MSEC)

/*
 * Usage reports asked for in a second. The report only corrects the estimate
 * of other entries' tasks, and more would spend the 3 KB/s of a node.
 */
#define USAGE_POLLS_PER_SECOND 2

/*
 * After a refusal for want of a slot, the estimate of other entries' tasks
 * falls by half in each of these, so that the worker is tried again soon.
 */
#define BUSY_DECAY_INTERVAL (10 * CS_MSEC)

/* An unreachable worker is tried again after this long. */
#define UNREACHABLE_RETRY CS_SEC

/*
 * A drain is in force everywhere this long after it is known here. A report
 * of no tasks counts only if it is younger.
 */
#define DRAIN_IN_FORCE_TIME (5 * CS_SEC)

/* At most this part of a pool's workers is ejected, and at least one. */
#define EJECT_PART 5

/* Part of a pool's slots that long work leaves free, and at least one. */
#define RESERVE_PART 20

/* After a clock jump an entry waits no longer than this for the host list. */
#define STALE_MAX CS_SEC

/* Tokens of the two reads of the host list. */
enum { HOSTS_PERIODIC, HOSTS_AFTER_JUMP };

struct fleet_pool {
	char name[CS_NAME_MAX];
	struct heap heap; /* struct load_key */
	int slots; /* of usable workers in this data centre */
	int running; /* tasks of this entry */
	int workers; /* assigned in this data centre */
	int ejected;
	double good, bad; /* decaying sums over the pool's workers */
	cs_time counted;
};

struct worker_row {
	struct load_key key;
	char name[CS_NAME_MAX];
	char host[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX];
	struct fleet_pool *pool;
	int slots;
	int own; /* tasks of this entry */
	int others; /* estimate of tasks of other entries */
	bool is_usable; /* assigned, not leaving */
	cs_time usable_changed;
	cs_time reported; /* when the last usage report was true; 0: none */
	int reported_running;
	bool is_removed; /* no longer in the document; kept while own > 0 */
	bool has_busy_timer;
	struct health health;
	uint64_t generation; /* of the document that named it last */
};

struct fleet {
	struct slots *workers;
	GHashTable *by_name; /* worker name -> cs_handle, in a GSIZE pointer */
	GHashTable *pools; /* pool name -> struct fleet_pool */
	GHashTable *slots_by_place; /* "pool data_centre" -> slots */
	struct host_list *hosts;
	uint64_t generation;
	cs_time stale_until; /* after a clock jump, see fleet_is_fresh() */
	cs_handle poll_next; /* worker whose usage is asked for next */
};

static cs_handle handle_of(gpointer p)
{
	return (cs_handle)(uintptr_t)p;
}

static struct worker_row *get_worker(const struct part_ctx *ctx, cs_handle h)
{
	return slots_get(ctx->parts.fleet->workers, h);
}

static struct fleet_pool *find_pool(const struct part_ctx *ctx,
				    const char *name)
{
	return g_hash_table_lookup(ctx->parts.fleet->pools, name);
}

static struct fleet_pool *find_or_make_pool(struct fleet *f, const char *name)
{
	struct fleet_pool *p = g_hash_table_lookup(f->pools, name);

	if (p)
		return p;
	p = g_new0(struct fleet_pool, 1);
	p->heap.is_before = load_key_is_before;
	cs_copy(p->name, sizeof(p->name), name);
	g_hash_table_insert(f->pools, p->name, p);
	return p;
}

static void free_pool(gpointer data)
{
	struct fleet_pool *p = data;

	heap_clear(&p->heap);
	g_free(p);
}

/* True if the worker may be given another task now. */
static bool is_open(const struct worker_row *w)
{
	if (!w->is_usable || w->own + w->others >= w->slots)
		return false;
	switch (w->health.state) {
	case HEALTH_EJECTED:
		return false;
	case HEALTH_TRIAL:
		return w->own == 0;
	default:
		return true;
	}
}

/*
 * Puts the worker where its load and state say. Without memory it gets no
 * work until its state changes again.
 */
static void replace_in_heap(struct worker_row *w)
{
	struct heap *heap = &w->pool->heap;

	w->key.load = (double)(w->own + w->others) / (w->slots ? w->slots : 1);
	if (!is_open(w))
		heap_remove(heap, &w->key.node);
	else if (w->key.node.pos == HEAP_OUT)
		heap_insert(heap, &w->key.node);
	else
		heap_update(heap, &w->key.node);
}

static void worker_event(struct part_ctx *ctx, const struct worker_row *w,
			 int level, const char *event)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "event", event);
	log_pair(pairs, "worker", w->name);
	log_pair(pairs, "pool", w->pool->name);
	part_event(ctx, level, "fleet", w->address, NULL, pairs);
}

/* Counts a worker into or out of its pool's totals. */
static void count_worker(struct worker_row *w, int sign)
{
	w->pool->workers += sign;
	if (w->is_usable)
		w->pool->slots += sign * w->slots;
	if (w->health.state == HEALTH_EJECTED)
		w->pool->ejected += sign;
}

/* Keeps the pool's count of usable slots and the placement heap in step. */
static void set_usable(struct worker_row *w, bool is_usable, cs_time now)
{
	if (w->is_usable == is_usable)
		return;
	w->pool->slots += is_usable ? w->slots : -w->slots;
	w->is_usable = is_usable;
	w->usable_changed = now;
	replace_in_heap(w);
}

/*
 * Takes a worker out of placement. Its row stays until the last task of this
 * entry on it has ended.
 */
static void remove_worker(struct fleet *f, cs_handle h, struct worker_row *w)
{
	if (!w->is_removed) {
		count_worker(w, -1);
		w->is_removed = true;
		w->is_usable = false;
		heap_remove(&w->pool->heap, &w->key.node);
		g_hash_table_remove(f->by_name, w->name);
	}
	if (!w->own)
		slots_free(f->workers, h);
}

/*
 * Equally loaded workers are in another order at each entry, so that entries
 * rarely choose the same one.
 */
static uint32_t tie_of(const char *entry, const char *worker)
{
	return g_str_hash(worker) * 2654435761u ^ g_str_hash(entry) * 40503u;
}

/* Makes or updates the row of one worker of this data centre. */
static void take_worker(struct part_ctx *ctx, const struct doc_worker *dw,
			const struct doc_host *dh, bool is_usable)
{
	struct fleet *f = ctx->parts.fleet;
	struct fleet_pool *pool = find_or_make_pool(f, dh->pool);
	gpointer known = g_hash_table_lookup(f->by_name, dw->name);
	struct worker_row *w = get_worker(ctx, handle_of(known));
	cs_handle h = handle_of(known);

	if (w && (w->pool != pool || strcmp(w->address, dw->address))) {
		remove_worker(f, h, w);
		w = NULL;
	}
	if (!w) {
		h = slots_take(f->workers, (void **)&w);
		if (!h)
			return; /* above WORKERS_MAX; counted by the caller */
		cs_copy(w->name, sizeof(w->name), dw->name);
		cs_copy(w->address, sizeof(w->address), dw->address);
		w->key.worker = h;
		w->key.node.pos = HEAP_OUT;
		w->key.tie = tie_of(ctx->options->id, dw->name);
		w->pool = pool;
		w->slots = dw->slots;
		w->is_usable = is_usable;
		w->usable_changed = ctx->now;
		count_worker(w, 1);
		g_hash_table_insert(f->by_name, w->name,
				    (gpointer)(uintptr_t)h);
	}
	cs_copy(w->host, sizeof(w->host), dh->name);
	if (w->slots != dw->slots) {
		if (w->is_usable)
			pool->slots += dw->slots - w->slots;
		w->slots = dw->slots;
	}
	w->generation = f->generation;
	set_usable(w, is_usable, ctx->now);
	replace_in_heap(w);
}

/* True if tasks may be started on workers of this host. */
static bool is_host_usable(const struct part_ctx *ctx,
			   const struct doc_host *dh)
{
	return dh->state == HOST_ASSIGNED &&
	       (MUTANT(ctx, "fleet-ignore-leaving") ||
		!host_list_is_leaving(ctx->parts.fleet->hosts, dh->name));
}

/* Adds to the slots that the document gives a pool in one data centre. */
static void add_place_slots(struct fleet *f, const struct doc_host *dh,
			    int slots)
{
	char key[2 * CS_NAME_MAX];
	int n;

	g_snprintf(key, sizeof(key), "%s %s", dh->pool, dh->data_centre);
	n = GPOINTER_TO_INT(g_hash_table_lookup(f->slots_by_place, key));
	g_hash_table_insert(f->slots_by_place, g_strdup(key),
			    GINT_TO_POINTER(n + slots));
}

/*
 * Rebuilds the worker rows from the document. Rows exist only for workers of
 * this data centre; slots are counted for all of them. A row whose worker is no
 * longer named is removed.
 */
static void fleet_on_config(struct part_ctx *ctx, const struct document *doc)
{
	struct fleet *f = ctx->parts.fleet;
	const struct doc_data_centre *dc;
	const struct doc_worker *dw;
	const struct doc_host *dh;
	struct worker_row *w;
	cs_handle h, next;
	size_t nr, i;

	f->generation++;
	g_hash_table_remove_all(f->slots_by_place);
	dw = document_workers(doc, &nr);
	for (i = 0; i < nr; i++) {
		dh = document_host(doc, dw[i].host);
		if (!dh)
			continue;
		dc = document_data_centre(doc, dh->data_centre);
		if (dh->state == HOST_ASSIGNED && dc && !dc->is_out)
			add_place_slots(f, dh, dw[i].slots);
		if (!strcmp(dh->data_centre, ctx->options->data_centre))
			take_worker(ctx, &dw[i], dh, is_host_usable(ctx, dh));
	}
	for (h = slots_next(f->workers, 0); h; h = next) {
		next = slots_next(f->workers, h);
		w = get_worker(ctx, h);
		if (w->generation != f->generation)
			remove_worker(f, h, w);
	}
}

/* Counts one more task of this entry on the worker. */
static void count_task(struct worker_row *w, struct placement *out)
{
	w->own++;
	w->pool->running++;
	replace_in_heap(w);
	out->worker = w->key.worker;
	cs_copy(out->name, sizeof(out->name), w->name);
	cs_copy(out->address, sizeof(out->address), w->address);
	cs_copy(out->host, sizeof(out->host), w->host);
}

int fleet_place(struct part_ctx *ctx, const char *pool,
		const cs_handle *exclude, size_t exclude_nr,
		struct placement *out)
{
	struct fleet_pool *p = find_pool(ctx, pool);
	struct load_key *key;
	struct worker_row *w;

	if (!p || !p->slots)
		return CS_ERR_MISSING;
	if (p->running >= share_quota(ctx, pool, p->slots))
		return CS_ERR_FULL;
	key = load_heap_best(&p->heap, exclude, exclude_nr);
	if (!key)
		return CS_ERR_FULL;
	w = get_worker(ctx, key->worker);
	if (!part_invariant(ctx, "worker-usable", w && w->is_usable) || !w)
		return CS_ERR_MISSING;
	count_task(w, out);
	return CS_OK;
}

int fleet_take_over(struct part_ctx *ctx, const char *worker,
		    struct placement *out)
{
	gpointer h = g_hash_table_lookup(ctx->parts.fleet->by_name, worker);
	struct worker_row *w = get_worker(ctx, handle_of(h));

	if (!w)
		return CS_ERR_MISSING;
	count_task(w, out);
	return CS_OK;
}

bool fleet_is_usable(const struct part_ctx *ctx, cs_handle worker)
{
	const struct worker_row *w = get_worker(ctx, worker);

	return w && w->is_usable && !w->is_removed;
}

bool fleet_has_room_for_long(const struct part_ctx *ctx, const char *pool)
{
	const struct fleet_pool *p = find_pool(ctx, pool);
	int reserve = 0, quota;

	if (!p)
		return false;
	quota = share_quota(ctx, pool, p->slots);
	/*
	 * The reserve is one of the data centre, not of each entry, so the
	 * lead entry keeps it. Of a single slot nothing can be kept free, or
	 * none would ever run.
	 */
	if (quota > 1 &&
	    !strcmp(part_lead_entry(ctx, ctx->options->data_centre),
		    ctx->options->id))
		reserve = MAX(p->slots / RESERVE_PART, 1);
	return p->running + reserve < quota;
}

/*
 * Halves the estimate of other entries' tasks until it is 0, since nothing
 * tells when their tasks end before the next usage report.
 */
static void on_busy_timer(void *arg, uint64_t worker, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct worker_row *w = get_worker(ctx, worker);

	ctx->now = now;
	if (!w)
		return;
	w->others /= 2;
	w->has_busy_timer = w->others > 0;
	if (w->has_busy_timer)
		timers_subscribe(ctx->timers, now + BUSY_DECAY_INTERVAL,
				 on_busy_timer, ctx, worker);
	if (!w->is_removed)
		replace_in_heap(w);
}

/* The worker said that it has no free slot: others fill what we do not. */
static void note_busy(struct part_ctx *ctx, cs_handle h, struct worker_row *w)
{
	counters_add(ctx->counters, "worker_busy_total", "", 1);
	w->others = w->slots > w->own ? w->slots - w->own : 0;
	if (w->has_busy_timer || !w->others)
		return;
	w->has_busy_timer = true;
	timers_subscribe(ctx->timers, ctx->now + BUSY_DECAY_INTERVAL,
			 on_busy_timer, ctx, h);
}

/*
 * Results fade over 20 s, so that a pool's failure rate is that of recent work.
 */
static void decay_pool(struct fleet_pool *p, cs_time now)
{
	/* Linear within a step is near enough for a pool's mean. */
	double keep = 1.0 - (double)(now - p->counted) / (double)(20 * CS_SEC);

	if (keep < 0)
		keep = 0;
	p->good *= keep;
	p->bad *= keep;
	p->counted = now;
}

/* Failure rate of the pool without what this worker added to it. */
static double peers_rate(const struct fleet_pool *p, const struct health *h)
{
	double bad = p->bad - h->bad;
	double all = p->good + p->bad - h->good - h->bad;

	if (all < 1 || bad <= 0)
		return 0;
	return bad / all;
}

/*
 * Puts an ejected worker on trial, which makes it available for placement
 * again.
 */
static void on_trial_timer(void *arg, uint64_t worker, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct worker_row *w = get_worker(ctx, worker);

	ctx->now = now;
	if (!w || w->health.state != HEALTH_EJECTED)
		return;
	health_tick(&w->health, now);
	if (w->is_removed)
		return;
	if (w->health.state == HEALTH_EJECTED) {
		/* Ejected again meanwhile, for longer. */
		timers_subscribe(ctx->timers, w->health.until, on_trial_timer,
				 ctx, worker);
		return;
	}
	w->pool->ejected--;
	replace_in_heap(w);
	worker_event(ctx, w, LOG_INFO, "worker_trial");
}

/*
 * The caller has set the state and end of the ejection in the worker's health.
 */
static void eject(struct part_ctx *ctx, cs_handle h, struct worker_row *w,
		  const char *event)
{
	counters_add(ctx->counters, "worker_ejections_total", "", 1);
	w->pool->ejected++;
	timers_subscribe(ctx->timers, w->health.until, on_trial_timer, ctx, h);
	worker_event(ctx, w, LOG_WARN, event);
}

/* Ejecting more than a part of a pool would break its availability. */
static bool may_eject(const struct fleet_pool *p)
{
	int most = p->workers / EJECT_PART;

	return p->ejected < (most ? most : 1) && p->workers > 1;
}

/*
 * Counts a result for the pool and the worker, and ejects a worker that failed
 * its trial or is much worse than its peers.
 */
static void note_result(struct part_ctx *ctx, cs_handle h, struct worker_row *w,
			bool is_good)
{
	enum health_state before = w->health.state;
	struct fleet_pool *p = w->pool;

	decay_pool(p, ctx->now);
	if (is_good)
		p->good += 1;
	else
		p->bad += 1;
	w->health.is_unreachable = false;
	health_note(&w->health, is_good, ctx->now);
	if (before == HEALTH_TRIAL && w->health.state == HEALTH_EJECTED) {
		eject(ctx, h, w, "worker_trial_failed");
	} else if (!is_good && may_eject(p) &&
		   health_should_eject(&w->health, peers_rate(p, &w->health),
				       ctx->now) &&
		   !MUTANT(ctx, "fleet-no-ejection")) {
		health_eject(&w->health, ctx->now);
		eject(ctx, h, w, "worker_ejected");
	}
}

/*
 * No connection is a definite sign, so it needs no rate; the worker is tried
 * again soon, since a restart takes seconds.
 */
static void note_unreachable(struct part_ctx *ctx, cs_handle h,
			     struct worker_row *w)
{
	bool was_ejected = w->health.state == HEALTH_EJECTED;

	w->health.state = HEALTH_EJECTED;
	w->health.is_unreachable = true;
	w->health.until = ctx->now + UNREACHABLE_RETRY;
	w->health.trial_passes = 0;
	if (!was_ejected)
		eject(ctx, h, w, "worker_unreachable");
}

void fleet_finish(struct part_ctx *ctx, cs_handle h, enum fleet_result result)
{
	struct worker_row *w = get_worker(ctx, h);

	if (!w)
		return;
	part_invariant(ctx, "worker-count", w->own > 0);
	w->own--;
	w->pool->running--;
	if (w->is_removed) {
		remove_worker(ctx->parts.fleet, h, w);
		return;
	}
	switch (result) {
	case FLEET_WORKED:
		note_result(ctx, h, w, true);
		break;
	case FLEET_BUSY:
		note_busy(ctx, h, w);
		break;
	case FLEET_FAILED:
		note_result(ctx, h, w, false);
		break;
	case FLEET_UNREACHABLE:
		note_unreachable(ctx, h, w);
		break;
	case FLEET_NEUTRAL:
		break;
	}
	replace_in_heap(w);
}

void fleet_pardon(struct part_ctx *ctx, cs_handle h)
{
	struct worker_row *w = get_worker(ctx, h);
	bool was_ejected;

	if (!w || w->is_removed)
		return;
	was_ejected = w->health.state == HEALTH_EJECTED;
	health_pardon(&w->health, ctx->now);
	if (w->pool->bad > 1)
		w->pool->bad -= 1;
	if (was_ejected && w->health.state != HEALTH_EJECTED)
		w->pool->ejected--;
	replace_in_heap(w);
}

int fleet_pool_running(const struct part_ctx *ctx, const char *pool)
{
	const struct fleet_pool *p = find_pool(ctx, pool);

	return p ? p->running : 0;
}

int fleet_pool_slots(const struct part_ctx *ctx, const char *pool)
{
	const struct fleet_pool *p = find_pool(ctx, pool);

	return p ? p->slots : 0;
}

int fleet_pool_workers(const struct part_ctx *ctx, const char *pool)
{
	const struct fleet_pool *p = find_pool(ctx, pool);

	return p ? p->workers - p->ejected : 0;
}

int fleet_pool_ejected(const struct part_ctx *ctx, const char *pool)
{
	const struct fleet_pool *p = find_pool(ctx, pool);

	return p ? p->ejected : 0;
}

int fleet_document_slots(const struct part_ctx *ctx, const char *pool,
			 const char *data_centre)
{
	char key[2 * CS_NAME_MAX];

	g_snprintf(key, sizeof(key), "%s %s", pool, data_centre);
	return GPOINTER_TO_INT(
		g_hash_table_lookup(ctx->parts.fleet->slots_by_place, key));
}

bool fleet_is_entry_dropped(const struct part_ctx *ctx, const char *entry)
{
	return host_list_is_gone(ctx->parts.fleet->hosts, entry, ctx->now);
}

bool fleet_is_host_leaving(const struct part_ctx *ctx, const char *host)
{
	return host_list_is_leaving(ctx->parts.fleet->hosts, host);
}

bool fleet_is_host_away(const struct part_ctx *ctx, const char *host)
{
	return host_list_is_away(ctx->parts.fleet->hosts, host);
}

bool fleet_is_host_live(const struct part_ctx *ctx, const char *host)
{
	return host_list_is_live(ctx->parts.fleet->hosts, host);
}

/*
 * Only a report that is younger than the drain counts, since other entries may
 * have started tasks until it was in force.
 */
static bool is_worker_idle(const struct worker_row *w)
{
	return !w->is_usable && !w->own && !w->reported_running &&
	       w->reported > w->usable_changed + DRAIN_IN_FORCE_TIME;
}

void fleet_for_each_load(const struct part_ctx *ctx,
			 void (*fn)(void *arg, const struct fleet_load *load),
			 void *arg)
{
	struct slots *workers = ctx->parts.fleet->workers;
	const struct worker_row *w;
	struct fleet_load load;
	cs_handle h;

	for (h = slots_next(workers, 0); h; h = slots_next(workers, h)) {
		w = get_worker(ctx, h);
		/* A removed worker still counts while tasks end on it. */
		if (w->is_removed && !w->own)
			continue;
		load.host = w->host;
		load.running = w->own + w->others;
		load.is_idle = is_worker_idle(w);
		load.is_failed = !w->is_removed &&
				 w->health.state == HEALTH_EJECTED;
		fn(arg, &load);
	}
}

static const char *worker_state(const struct worker_row *w)
{
	if (!w->is_usable)
		return "draining";
	if (w->health.is_unreachable && w->health.state != HEALTH_GOOD)
		return "unreachable";
	return health_state_name(w->health.state);
}

static int compare_rows(gconstpointer a, gconstpointer b)
{
	const struct worker_row *const *x = a, *const *y = b;

	return strcmp((*x)->name, (*y)->name);
}

void fleet_describe(const struct part_ctx *ctx, GString *json)
{
	struct fleet *f = ctx->parts.fleet;
	GPtrArray *rows = g_ptr_array_new();
	const struct worker_row *w;
	cs_handle h;
	guint i;

	for (h = slots_next(f->workers, 0); h; h = slots_next(f->workers, h))
		g_ptr_array_add(rows, get_worker(ctx, h));
	g_ptr_array_sort(rows, compare_rows);
	g_string_append_c(json, '[');
	for (i = 0; i < rows->len; i++) {
		w = g_ptr_array_index(rows, i);
		g_string_append_printf(
			json,
			"%s{\"name\":\"%s\",\"pool\":\"%s\",\"host\":\"%s\","
			"\"state\":\"%s\",\"slots\":%d,\"running\":%d,"
			"\"others\":%d}",
			i ? "," : "", w->name, w->pool->name, w->host,
			worker_state(w), w->slots, w->own, w->others);
	}
	g_string_append_c(json, ']');
	g_ptr_array_free(rows, TRUE);
}

/* Marks that changed in the host list act at once. */
static void apply_host_list(struct part_ctx *ctx)
{
	struct fleet *f = ctx->parts.fleet;
	const struct document *doc = config_sync_document(ctx);
	const struct doc_host *dh;
	struct worker_row *w;
	bool is_usable;
	cs_handle h;

	for (h = slots_next(f->workers, 0); h; h = slots_next(f->workers, h)) {
		w = get_worker(ctx, h);
		dh = document_host(doc, w->host);
		if (w->is_removed || !dh)
			continue;
		is_usable = is_host_usable(ctx, dh);
		if (is_usable != w->is_usable)
			worker_event(ctx, w, LOG_INFO,
				     is_usable ? "worker_returned" :
						 "worker_leaving");
		set_usable(w, is_usable, ctx->now);
	}
}

/*
 * Takes a new host list. A list that was asked for after a clock jump also ends
 * the pause in placements, even if the platform could not answer.
 */
static void fleet_on_kv(struct part_ctx *ctx, const struct kv_done *done)
{
	if (done->op != KV_HOSTS)
		return;
	/* Without the platform the old list has to do; serving goes on. */
	if (done->token == HOSTS_AFTER_JUMP)
		ctx->parts.fleet->stale_until = 0;
	if (done->result != KV_OK)
		return;
	host_list_update(ctx->parts.fleet->hosts, done->hosts, done->hosts_nr,
			 ctx->now);
	apply_host_list(ctx);
}

/*
 * A usage report replaces the estimate of other entries' tasks. Its age is
 * kept, because reports lag.
 */
static void fleet_on_msg(struct part_ctx *ctx, struct msg *msg)
{
	const struct usage *u = &msg->u.usage;
	struct worker_row *w = get_worker(ctx, u->worker);

	if (!w || w->is_removed || u->code)
		return;
	w->others = u->running > w->own ? u->running - w->own : 0;
	w->reported = ctx->now - u->age_ms * CS_MSEC;
	w->reported_running = u->running;
	replace_in_heap(w);
}

static void on_host_list_timer(void *arg, uint64_t unused, cs_time now)
{
	struct part_ctx *ctx = arg;

	(void)unused;
	ctx->now = now;
	part_emit(ctx, part_kv_call(PART_FLEET, KV_HOSTS, "", HOSTS_PERIODIC));
	timers_subscribe(ctx->timers,
			 now + HOST_LIST_INTERVAL +
				 g_rand_int_range(ctx->rng, 0, 200) * CS_MSEC,
			 on_host_list_timer, ctx, 0);
}

/* Asks the next worker in turn for its usage. */
static void on_usage_timer(void *arg, uint64_t unused, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct fleet *f = ctx->parts.fleet;
	struct worker_row *w;
	struct msg *msg;

	(void)unused;
	ctx->now = now;
	f->poll_next = slots_next(f->workers, f->poll_next);
	w = get_worker(ctx, f->poll_next);
	if (w && !w->is_removed) {
		msg = msg_new(MSG_USAGE_POLL);
		msg->u.usage_poll.worker = f->poll_next;
		cs_copy(msg->u.usage_poll.address,
			sizeof(msg->u.usage_poll.address), w->address);
		part_emit(ctx, msg);
	}
	timers_subscribe(ctx->timers, now + CS_SEC / USAGE_POLLS_PER_SECOND,
			 on_usage_timer, ctx, 0);
}

bool fleet_is_fresh(const struct part_ctx *ctx)
{
	return ctx->now >= ctx->parts.fleet->stale_until;
}

static void fleet_on_jump(struct part_ctx *ctx)
{
	if (MUTANT(ctx, "fleet-no-reread"))
		return;
	ctx->parts.fleet->stale_until = ctx->now + STALE_MAX;
	part_emit(ctx,
		  part_kv_call(PART_FLEET, KV_HOSTS, "", HOSTS_AFTER_JUMP));
}

static void fleet_start(struct part_ctx *ctx)
{
	/* A new entry knows no more of the hosts than one that was paused. */
	fleet_on_jump(ctx);
	on_host_list_timer(ctx, 0, ctx->now);
	on_usage_timer(ctx, 0, ctx->now);
}

/*
 * After an error the partly built fleet stays in the context; the core calls
 * fleet_destroy() for it.
 */
static int fleet_create(struct part_ctx *ctx, struct cs_error *err)
{
	struct fleet *f = g_new0(struct fleet, 1);

	ctx->parts.fleet = f;
	f->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	f->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	f->slots_by_place =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->hosts = host_list_create();
	f->workers = slots_create(sizeof(struct worker_row), WORKERS_MAX);
	if (!f->workers)
		return cs_error_set(err, CS_ERR_NOMEM, "fleet", NULL,
				    "out of memory");
	return CS_OK;
}

/* The by_name table borrows its keys and rows from the workers' slots. */
static void fleet_destroy(struct part_ctx *ctx)
{
	struct fleet *f = ctx->parts.fleet;

	if (!f)
		return;
	g_hash_table_destroy(f->by_name);
	g_hash_table_destroy(f->pools);
	g_hash_table_destroy(f->slots_by_place);
	host_list_destroy(f->hosts);
	slots_destroy(f->workers);
	g_free(f);
	ctx->parts.fleet = NULL;
}

const struct part_ops fleet_part = {
	.name = "fleet",
	.create = fleet_create,
	.destroy = fleet_destroy,
	.start = fleet_start,
	.on_msg = fleet_on_msg,
	.on_kv = fleet_on_kv,
	.on_config = fleet_on_config,
	.on_jump = fleet_on_jump,
};
