#include "fleet_private.h"

#include <string.h>

#include "../base/error.h"
#include "../base/log.h"
#include "../config/config_sync.h"
#include "../team/share.h"

/* The design size is 2,200; replaced workers may overlap with new ones. */
#define WORKERS_MAX 8192

/* How often the platform's host list is read. */
#define HOST_LIST_INTERVAL (1500 * CS_MSEC)

/*
 * Usage reports only correct the estimate of other entries' tasks. More of them
 * would use too much of a node's 3 KB/s of control traffic.
 */
#define USAGE_POLLS_PER_SECOND 2

/* After a clock jump, placement waits at most this long for the host list. */
#define STALE_MAX CS_SEC

/* kv_call tokens of the reads of the host list. */
enum { HOSTS_PERIODIC, HOSTS_AFTER_JUMP };

cs_handle fleet_handle(gpointer p)
{
	return (cs_handle)(uintptr_t)p;
}

struct worker_row *fleet_get_worker(const struct part_ctx *ctx, cs_handle h)
{
	return slots_get(ctx->parts.fleet->workers, h);
}

struct fleet_pool *fleet_find_pool(const struct part_ctx *ctx, const char *name)
{
	return g_hash_table_lookup(ctx->parts.fleet->pools, name);
}

static struct fleet_pool *find_or_add_pool(struct fleet *f, const char *name)
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

/* True if the worker may get another task now. */
static bool can_take_task(const struct worker_row *w)
{
	if (!w->is_usable || w->own.tasks + w->other_tasks >= w->slots)
		return false;
	switch (w->health.state) {
	case HEALTH_EJECTED:
		return false;
	case HEALTH_TRIAL:
		return w->own.tasks == 0;
	default:
		return true;
	}
}

/*
 * If there is no memory for the insertion, the worker gets no work until its
 * position is updated again.
 */
void fleet_update_position(struct worker_row *w)
{
	struct heap *heap = &w->pool->heap;

	w->key.load = (double)(w->own.tasks + w->other_tasks) /
		      (w->slots ? w->slots : 1);
	if (!can_take_task(w))
		heap_remove(heap, &w->key.node);
	else if (w->key.node.pos == HEAP_POS_NONE)
		heap_insert(heap, &w->key.node);
	else
		heap_update(heap, &w->key.node);
}

void fleet_log_worker_event(struct part_ctx *ctx, const struct worker_row *w,
			    int level, const char *event)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "event", event);
	log_pair(pairs, "worker", w->name);
	log_pair(pairs, "pool", w->pool->name);
	part_event(ctx, level, "fleet", w->address, NULL, pairs);
}

/* Adds the worker to its pool's totals (sign 1) or removes it (sign -1). */
static void count_worker(struct worker_row *w, int sign)
{
	w->pool->workers += sign;
	if (w->is_usable)
		w->pool->slots += sign * w->slots;
	if (w->health.state == HEALTH_EJECTED)
		w->pool->ejected += sign;
}

/* Also updates the pool's usable slots and the worker's heap position. */
static void set_usable(struct worker_row *w, bool is_usable, cs_time now)
{
	if (w->is_usable == is_usable)
		return;
	w->pool->slots += is_usable ? w->slots : -w->slots;
	w->is_usable = is_usable;
	w->usable_changed_at = now;
	fleet_update_position(w);
}

void fleet_remove_worker(struct fleet *f, cs_handle h, struct worker_row *w)
{
	if (!w->is_removed) {
		count_worker(w, -1);
		w->is_removed = true;
		w->is_usable = false;
		heap_remove(&w->pool->heap, &w->key.node);
		g_hash_table_remove(f->by_name, w->name);
	}
	if (!w->own.tasks)
		slots_free(f->workers, h);
}

/*
 * Each entry orders equally loaded workers differently, so that entries rarely
 * choose the same one. The factors scatter the hash values; they are about 2^32
 * and 2^16 divided by the golden ratio.
 */
static uint32_t worker_tie_breaker(const char *entry, const char *worker)
{
	return g_str_hash(worker) * 2654435761u ^ g_str_hash(entry) * 40503u;
}

/* Adds or updates the row of a worker of this data centre. */
static void add_or_update_worker(struct part_ctx *ctx,
				 const struct doc_worker *dw,
				 const struct doc_host *dh, bool is_usable)
{
	struct fleet *f = ctx->parts.fleet;
	struct fleet_pool *pool = find_or_add_pool(f, dh->pool);
	gpointer known = g_hash_table_lookup(f->by_name, dw->name);
	struct worker_row *w = fleet_get_worker(ctx, fleet_handle(known));
	cs_handle h = fleet_handle(known);

	if (w && (w->pool != pool || strcmp(w->address, dw->address))) {
		fleet_remove_worker(f, h, w);
		w = NULL;
	}
	if (!w) {
		h = slots_alloc(f->workers, (void **)&w);
		if (!h)
			return; /* more than WORKERS_MAX */
		cs_copy(w->name, sizeof(w->name), dw->name);
		cs_copy(w->address, sizeof(w->address), dw->address);
		w->key.worker = h;
		w->key.node.pos = HEAP_POS_NONE;
		w->key.tie_breaker =
			worker_tie_breaker(ctx->options->id, dw->name);
		w->pool = pool;
		w->slots = dw->slots;
		w->is_usable = is_usable;
		w->usable_changed_at = ctx->now;
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
	fleet_update_position(w);
}

/* True if tasks may be started on workers of this host. */
static bool is_host_usable(const struct part_ctx *ctx,
			   const struct doc_host *dh)
{
	return dh->state == HOST_ASSIGNED &&
	       (MUTANT(ctx, "fleet-ignore-leaving") ||
		!host_list_is_leaving(ctx->parts.fleet->hosts, dh->name));
}

/* Adds slots of a host to those of its pool in its data centre. */
static void add_document_slots(struct fleet *f, const struct doc_host *dh,
			       int slots)
{
	char key[2 * CS_NAME_MAX];
	int n;

	g_snprintf(key, sizeof(key), "%s %s", dh->pool, dh->data_centre);
	n = GPOINTER_TO_INT(g_hash_table_lookup(f->document_slots, key));
	g_hash_table_insert(f->document_slots, g_strdup(key),
			    GINT_TO_POINTER(n + slots));
}

/*
 * Updates the workers from the document. Only workers of this data centre have
 * rows, but slots are summed for all data centres. Rows of workers that are not
 * in the document are removed.
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
	g_hash_table_remove_all(f->document_slots);
	dw = document_workers(doc, &nr);
	for (i = 0; i < nr; i++) {
		dh = document_host(doc, dw[i].host);
		if (!dh)
			continue;
		dc = document_data_centre(doc, dh->data_centre);
		if (dh->state == HOST_ASSIGNED && dc && !dc->is_out)
			add_document_slots(f, dh, dw[i].slots);
		if (!strcmp(dh->data_centre, ctx->options->data_centre))
			add_or_update_worker(ctx, &dw[i], dh,
					     is_host_usable(ctx, dh));
	}
	for (h = slots_next(f->workers, 0); h; h = next) {
		next = slots_next(f->workers, h);
		w = fleet_get_worker(ctx, h);
		if (w->generation != f->generation)
			fleet_remove_worker(f, h, w);
	}
}

/* Updates which workers are usable after a change of the host list. */
static void apply_host_list(struct part_ctx *ctx)
{
	struct fleet *f = ctx->parts.fleet;
	const struct document *doc = config_sync_document(ctx);
	const struct doc_host *dh;
	struct worker_row *w;
	bool is_usable;
	cs_handle h;

	for (h = slots_next(f->workers, 0); h; h = slots_next(f->workers, h)) {
		w = fleet_get_worker(ctx, h);
		dh = document_host(doc, w->host);
		if (w->is_removed || !dh)
			continue;
		is_usable = is_host_usable(ctx, dh);
		if (is_usable != w->is_usable)
			fleet_log_worker_event(ctx, w, LOG_INFO,
					       is_usable ? "worker_returned" :
							   "worker_leaving");
		set_usable(w, is_usable, ctx->now);
	}
}

/*
 * Handles a new host list. The reply to the read after a clock jump also ends
 * the pause in placements, even if the read failed.
 */
static void fleet_on_kv(struct part_ctx *ctx, const struct kv_done *done)
{
	if (done->op != KV_HOSTS)
		return;
	/* If the read failed, placement goes on with the old list. */
	if (done->token == HOSTS_AFTER_JUMP)
		ctx->parts.fleet->stale_until = 0;
	if (done->result != KV_OK)
		return;
	host_list_update(ctx->parts.fleet->hosts, done->hosts, done->hosts_nr,
			 ctx->now);
	apply_host_list(ctx);
}

/*
 * A usage report replaces the estimate of other entries' tasks. reported_at
 * takes its age into account, because reports lag.
 */
static void fleet_on_msg(struct part_ctx *ctx, struct msg *msg)
{
	const struct usage *u = &msg->u.usage;
	struct worker_row *w = fleet_get_worker(ctx, u->worker);
	int own;

	if (!w || w->is_removed || u->code)
		return;
	w->reported_at = ctx->now - u->age_ms * CS_MSEC;
	own = task_count_at(&w->own, w->reported_at);
	w->other_tasks = MAX(u->running - own, 0);
	w->reported_running = u->running;
	fleet_update_position(w);
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

/* Requests the usage of the next worker, in turn. */
static void on_usage_timer(void *arg, uint64_t unused, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct fleet *f = ctx->parts.fleet;
	struct worker_row *w;
	struct msg *msg;

	(void)unused;
	ctx->now = now;
	f->last_polled = slots_next(f->workers, f->last_polled);
	w = fleet_get_worker(ctx, f->last_polled);
	if (w && !w->is_removed) {
		msg = msg_new(MSG_USAGE_POLL);
		msg->u.usage_poll.worker = f->last_polled;
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
	/* A new entry has no host list, so it waits as after a clock jump. */
	fleet_on_jump(ctx);
	on_host_list_timer(ctx, 0, ctx->now);
	on_usage_timer(ctx, 0, ctx->now);
}

/*
 * After an error the partly initialized fleet stays in the context, where
 * fleet_destroy() frees it.
 */
static int fleet_create(struct part_ctx *ctx, struct cs_error *err)
{
	struct fleet *f = g_new0(struct fleet, 1);

	ctx->parts.fleet = f;
	f->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	f->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	f->document_slots =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	f->hosts = host_list_create();
	f->workers = slots_create(sizeof(struct worker_row), WORKERS_MAX);
	if (!f->workers)
		return cs_error_set(err, CS_ERR_NOMEM, "fleet", NULL,
				    "out of memory");
	return CS_OK;
}

/* by_name borrows its keys from the rows in workers. */
static void fleet_destroy(struct part_ctx *ctx)
{
	struct fleet *f = ctx->parts.fleet;

	if (!f)
		return;
	g_hash_table_destroy(f->by_name);
	g_hash_table_destroy(f->pools);
	g_hash_table_destroy(f->document_slots);
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
