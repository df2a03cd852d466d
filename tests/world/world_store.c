#include "world_private.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../../src/base/error.h"

/* The simulated store: items, leases, watches and lost replies. */

/* Network delay of a reply plus the store's own latency. */
static cs_time store_reply_delay(struct world *w)
{
	return world_message_delay(w) + w->store_latency_ms * CS_MSEC;
}

static void bytes_unref(void *b)
{
	if (b)
		g_bytes_unref(b);
}

void sim_store_item_free(void *row)
{
	struct sim_item *i = row;

	bytes_unref(i->value);
	g_free(i);
}

void sim_store_change_free(void *row)
{
	struct sim_change *c = row;

	g_free(c->key);
	bytes_unref(c->value);
	g_free(c);
}

gint sim_store_compare_keys(const void *a, const void *b, void *ctx)
{
	(void)ctx;
	return strcmp(a, b);
}

static void add_change(struct world *w, const char *key,
		       const struct sim_item *item, uint64_t revision)
{
	struct sim_change *c = g_new0(struct sim_change, 1);

	c->key = g_strdup(key);
	c->revision = revision;
	if (item) {
		c->value = g_bytes_ref(item->value);
		c->created = item->created;
		c->lease = item->lease;
	}
	g_ptr_array_add(w->log, c);
}

static void put(struct world *w, const char *key, GBytes *value, uint64_t lease,
		uint64_t revision)
{
	struct sim_item *old = g_tree_lookup(w->items, key);
	struct sim_item *i = g_new0(struct sim_item, 1);

	i->value = g_bytes_ref(value);
	i->revision = revision;
	i->created = old ? old->created : revision;
	i->lease = lease;
	add_change(w, key, i, revision);
	g_tree_replace(w->items, g_strdup(key), i);
}

static void del(struct world *w, const char *key, uint64_t revision)
{
	if (!g_tree_lookup(w->items, key))
		return;
	add_change(w, key, NULL, revision);
	g_tree_remove(w->items, key);
}

/* Writes by operators and servers, unlimited and never lost. */
void sim_store_put(struct world *w, const char *key, const char *text)
{
	GBytes *value = g_bytes_new(text, strlen(text));

	put(w, key, value, 0, ++w->revision);
	g_bytes_unref(value);
	sim_store_complete_watches(w);
}

void sim_store_remove(struct world *w, const char *key)
{
	del(w, key, ++w->revision);
	sim_store_complete_watches(w);
}

struct range {
	const char *prefix, *after;
	struct store_reply *reply;
	guint max;
};

static gboolean add_if_in_range(void *key, void *value, void *ctx)
{
	struct range *r = ctx;
	const struct sim_item *i = value;

	if (!g_str_has_prefix(key, r->prefix) ||
	    (r->after && strcmp(key, r->after) <= 0))
		return FALSE;
	if (r->reply->items->len >= r->max) {
		r->reply->has_more = true;
		return TRUE;
	}
	store_reply_add(r->reply, key, g_bytes_ref(i->value), i->revision,
			i->created, i->lease);
	return FALSE;
}

static bool fill_watch_reply(struct world *w, const struct store_call *c,
			     struct store_reply *d)
{
	guint i;

	d->result = STORE_OK;
	d->revision = w->revision;
	if (c->after < w->compacted) {
		d->result = STORE_COMPACTED;
		return true;
	}
	for (i = 0; i < w->log->len; i++) {
		const struct sim_change *ch = g_ptr_array_index(w->log, i);

		if (ch->revision > c->after &&
		    g_str_has_prefix(ch->key, c->key))
			store_reply_add(d, ch->key,
					ch->value ? g_bytes_ref(ch->value) :
						    NULL,
					ch->revision, ch->created, ch->lease);
	}
	return d->items->len > 0;
}

static bool is_too_large(const struct world *w, const struct store_reply *d)
{
	int64_t bytes = 0;
	guint i;

	for (i = 0; i < d->items->len; i++) {
		const struct store_item *item = g_ptr_array_index(d->items, i);

		bytes += item->value ? (int64_t)g_bytes_get_size(item->value) :
				       0;
	}
	return w->watch_bytes_max && bytes > w->watch_bytes_max;
}

/* When a call ends of which nothing comes back. */
static cs_time silence_end(const struct store_call *call, cs_time sent)
{
	int64_t ms = call->timeout_ms;

	if (call->stall_ms && call->stall_ms < ms)
		ms = call->stall_ms;
	return sent + ms * CS_MSEC;
}

/*
 * Delivers a reply over the link to the store. It is lost if it takes longer
 * than the call's timeout.
 */
static void deliver_over_link(struct world *w, int node, uint64_t generation,
			      const struct store_call *call,
			      struct store_reply *d)
{
	cs_time at = w->now + store_reply_delay(w);
	cs_time end = d->sent + call->timeout_ms * CS_MSEC;
	size_t bytes = 0;
	guint i;

	for (i = 0; w->store_bytes_per_s && i < d->items->len; i++) {
		const struct store_item *item = g_ptr_array_index(d->items, i);

		bytes += ITEM_BYTES +
			 (item->value ? g_bytes_get_size(item->value) : 0);
	}
	if (bytes)
		at += (cs_time)bytes * CS_SEC / w->store_bytes_per_s;
	if (call->op == STORE_KEEP)
		at += w->renewal_delay;
	if (at > end) {
		d->result = STORE_UNKNOWN;
		g_ptr_array_set_size(d->items, 0);
		at = end;
	}
	world_deliver_store(w, node, generation, d, at);
}

static void complete_watch(struct world *w, struct sim_watch *x,
			   struct store_reply *d)
{
	d->sent = x->sent;
	if (is_too_large(w, d)) {
		d->result = STORE_UNREADABLE;
		g_ptr_array_set_size(d->items, 0);
	}
	if (w->is_store_down || w->nodes[x->node].is_cut_from_store) {
		d->result = STORE_UNKNOWN;
		g_ptr_array_set_size(d->items, 0);
		world_deliver_store(w, x->node, x->generation, d,
				    silence_end(x->call, x->sent));
	} else {
		deliver_over_link(w, x->node, x->generation, x->call, d);
	}
	timers_cancel(w->timers, x->timer);
	g_ptr_array_remove_fast(w->watches, x);
	store_call_free(x->call);
	g_free(x);
}

void sim_store_complete_watches(struct world *w)
{
	guint i;

	for (i = w->watches->len; i-- > 0;) {
		struct sim_watch *x = g_ptr_array_index(w->watches, i);
		struct store_reply *d = store_reply_new(x->call);

		if (fill_watch_reply(w, x->call, d))
			complete_watch(w, x, d);
		else
			store_reply_free(d);
	}
}

static void on_watch_end(void *ctx, uint64_t arg, cs_time now)
{
	struct world *w = ctx;
	guint i;

	(void)now;
	for (i = 0; i < w->watches->len; i++) {
		struct sim_watch *x = g_ptr_array_index(w->watches, i);

		if (x->call->ref == arg && x->timer) {
			struct store_reply *d = store_reply_new(x->call);

			x->timer = 0;
			fill_watch_reply(w, x->call, d);
			complete_watch(w, x, d);
			return;
		}
	}
}

static struct sim_lease *find_lease(struct world *w, uint64_t id)
{
	return g_hash_table_lookup(w->leases, &id);
}

static void on_lease_end(void *ctx, uint64_t arg, cs_time now);

static void end_lease(struct world *w, uint64_t id)
{
	GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
	GTreeNode *node;
	guint i;

	for (node = g_tree_node_first(w->items); node;
	     node = g_tree_node_next(node)) {
		const struct sim_item *item = g_tree_node_value(node);

		if (item->lease == id)
			g_ptr_array_add(keys, g_strdup(g_tree_node_key(node)));
	}
	g_hash_table_remove(w->leases, &id);
	for (i = 0; i < keys->len; i++)
		del(w, g_ptr_array_index(keys, i), ++w->revision);
	if (keys->len)
		sim_store_complete_watches(w);
	g_ptr_array_free(keys, TRUE);
}

static void on_lease_end(void *ctx, uint64_t arg, cs_time now)
{
	struct world *w = ctx;
	struct sim_lease *l = find_lease(w, arg);

	if (!l)
		return;
	if (w->is_store_down && !w->leases_expire)
		l->expires_at = now + l->ttl_ms * CS_MSEC; /* no expiry now */
	if (now < l->expires_at)
		timers_subscribe(w->timers, l->expires_at, on_lease_end, w,
				 arg);
	else
		end_lease(w, arg);
}

static bool conditions_hold(struct world *w, const struct store_call *c)
{
	guint i;

	for (i = 0; i < c->txn_ops->len; i++) {
		const struct store_txn_op *e = g_ptr_array_index(c->txn_ops, i);
		const struct sim_item *item = g_tree_lookup(w->items, e->key);

		if (e->kind == STORE_EXPECT &&
		    e->revision != (item ? item->revision : 0))
			return false;
	}
	return true;
}

static void run_txn(struct world *w, const struct store_call *c,
		    struct store_reply *d)
{
	guint i;

	if (c->txn_ops->len > STORE_TXN_MAX)
		world_report_violation(w, "a transaction of %u entries",
				       c->txn_ops->len);
	if (!conditions_hold(w, c)) {
		d->result = STORE_CONFLICT;
		for (i = 0; i < c->txn_ops->len; i++) {
			const struct store_txn_op *e =
				g_ptr_array_index(c->txn_ops, i);
			const struct sim_item *item =
				g_tree_lookup(w->items, e->key);

			if (e->kind == STORE_EXPECT && item)
				store_reply_add(d, e->key,
						g_bytes_ref(item->value),
						item->revision, item->created,
						item->lease);
		}
		return;
	}
	for (i = 0; i < c->txn_ops->len; i++) {
		const struct store_txn_op *e = g_ptr_array_index(c->txn_ops, i);

		if (strlen(e->key) >= STORE_KEY_MAX)
			world_report_violation(w, "a key of %zu bytes",
					       strlen(e->key));
		if (e->kind == STORE_WRITE && e->lease &&
		    !find_lease(w, e->lease)) {
			d->result = STORE_MISSING;
			return;
		}
	}
	d->revision = ++w->revision;
	for (i = 0; i < c->txn_ops->len; i++) {
		const struct store_txn_op *e = g_ptr_array_index(c->txn_ops, i);

		if (e->kind == STORE_WRITE)
			put(w, e->key, e->value, e->lease, d->revision);
		else if (e->kind == STORE_REMOVE)
			del(w, e->key, d->revision);
	}
	d->result = STORE_OK;
	sim_store_complete_watches(w);
}

static void run_lease(struct world *w, const struct store_call *c,
		      struct store_reply *d)
{
	struct sim_lease *l = g_new0(struct sim_lease, 1);

	l->id = ++w->next_lease;
	l->ttl_ms = c->wait_ms;
	l->expires_at = w->now + l->ttl_ms * CS_MSEC;
	g_hash_table_insert(w->leases, &l->id, l);
	timers_subscribe(w->timers, l->expires_at, on_lease_end, w, l->id);
	d->lease = l->id;
	d->result = STORE_OK;
}

/* Carries out a call and fills in its reply. */
static void execute(struct world *w, const struct store_call *c,
		    struct store_reply *d)
{
	struct range r = { .prefix = c->key,
			   .after = c->page_after,
			   .reply = d,
			   .max = 200 };
	const struct sim_item *item;
	struct sim_lease *l;

	d->revision = w->revision;
	switch (c->op) {
	case STORE_GET:
		item = g_tree_lookup(w->items, c->key);
		d->result = item ? STORE_OK : STORE_MISSING;
		if (item)
			store_reply_add(d, c->key, g_bytes_ref(item->value),
					item->revision, item->created,
					item->lease);
		break;
	case STORE_LIST:
		g_tree_foreach(w->items, add_if_in_range, &r);
		d->result = STORE_OK;
		break;
	case STORE_TXN:
		run_txn(w, c, d);
		break;
	case STORE_LEASE:
		run_lease(w, c, d);
		break;
	case STORE_KEEP:
		l = find_lease(w, c->lease);
		d->result = l ? STORE_OK : STORE_MISSING;
		if (l)
			l->expires_at = w->now + l->ttl_ms * CS_MSEC;
		break;
	case STORE_LEASE_END:
		end_lease(w, c->lease);
		d->result = STORE_OK;
		break;
	case STORE_WATCH:
		break;
	}
}

struct arrival {
	struct world *world;
	struct store_call *call;
	int node;
	uint64_t generation;
	cs_time sent;
	bool is_reply_lost;
};

static void on_arrival(void *ctx, uint64_t arg, cs_time now)
{
	struct arrival *a = ctx;
	struct world *w = a->world;
	struct store_reply *d = store_reply_new(a->call);
	cs_time end = silence_end(a->call, a->sent);
	bool is_cut = w->nodes[a->node].is_cut_from_store;

	(void)arg;
	d->sent = a->sent;
	if (w->is_store_down || is_cut) {
		d->result = is_cut ? STORE_UNKNOWN : STORE_REFUSED;
		world_deliver_store(w, a->node, a->generation, d,
				    is_cut ? end : now + store_reply_delay(w));
		store_call_free(a->call);
	} else if (a->call->op == STORE_WATCH) {
		struct sim_watch *x = g_new0(struct sim_watch, 1);

		x->call = a->call;
		x->node = a->node;
		x->generation = a->generation;
		x->sent = a->sent;
		x->timer = timers_subscribe(w->timers,
					    now + x->call->wait_ms * CS_MSEC,
					    on_watch_end, w, x->call->ref);
		g_ptr_array_add(w->watches, x);
		if (fill_watch_reply(w, x->call, d))
			complete_watch(w, x, d);
		else
			store_reply_free(d);
	} else {
		execute(w, a->call, d);
		if (a->is_reply_lost) {
			d->result = STORE_UNKNOWN;
			g_ptr_array_set_size(d->items, 0);
			d->lease = 0;
		}
		if (a->is_reply_lost)
			world_deliver_store(w, a->node, a->generation, d,
					    MAX(end, now));
		else
			deliver_over_link(w, a->node, a->generation, a->call,
					  d);
		store_call_free(a->call);
	}
	g_free(a);
}

/* Sends a call to the store, which applies it even if the reply is lost. */
void sim_store_call(void *ctx, struct store_call *call)
{
	struct sim_node *n = ctx;
	struct world *w = n->world;
	struct arrival *a = g_new0(struct arrival, 1);
	cs_time at = w->now + world_message_delay(w);

	a->world = w;
	a->call = call;
	a->node = n->index;
	a->generation = n->generation;
	a->sent = w->now;
	if (call->op == STORE_TXN &&
	    world_random_bool(w, w->lost_reply_per_mille)) {
		a->is_reply_lost = true;
		if (w->is_lost_write_late) {
			struct store_reply *d = store_reply_new(call);

			/* The store may act after the entry's timeout. */
			d->result = STORE_UNKNOWN;
			d->sent = w->now;
			world_deliver_store(w, a->node, a->generation, d,
					    silence_end(call, w->now));
			a->generation = GENERATION_LATE;
			at += world_random_ms(w, 500, 6000) * CS_MSEC;
		}
	}
	timers_subscribe(w->timers, at, on_arrival, a, 0);
}
