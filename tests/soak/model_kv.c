#include "world.h"

#include <string.h>

#include "../../src/base/error.h"
#include "../../src/base/slots.h"

/* Timeout of the entry for a call. */
#define CALL_TIMEOUT CS_SEC

/* A write without a reply may be applied up to this much later. */
#define LATE_WRITE_MAX (4 * CS_SEC)

/* Delay until the host list shows that a host is leaving. */
#define HOST_LIST_LAG (2 * CS_SEC)

/* A host without a live process is removed from the list after this time. */
#define HOST_TIMEOUT (6 * CS_SEC)

struct kv_value {
	uint64_t version;
	uint64_t modified; /* revision of the last write */
	GBytes *value; /* NULL: deleted */
};

struct kv_watch {
	int entry;
	uint64_t generation;
	struct kv_call call;
};

struct kv_model {
	struct world *w;
	GTree *values; /* key -> struct kv_value */
	uint64_t revision;
	struct slots *watches; /* struct kv_watch */
	bool is_out, is_slow;
};

static gint compare_keys(gconstpointer a, gconstpointer b, gpointer unused)
{
	(void)unused;
	return strcmp(a, b);
}

static void free_value(gpointer p)
{
	struct kv_value *v = p;

	if (v->value)
		g_bytes_unref(v->value);
	g_free(v);
}

struct kv_model *kv_model_create(struct world *w)
{
	struct kv_model *kv = g_new0(struct kv_model, 1);

	kv->w = w;
	kv->values = g_tree_new_full(compare_keys, NULL, g_free, free_value);
	kv->watches = slots_create(sizeof(struct kv_watch), 4096);
	return kv;
}

void kv_model_destroy(struct kv_model *kv)
{
	g_tree_destroy(kv->values);
	slots_destroy(kv->watches);
	g_free(kv);
}

void kv_model_set_state(struct kv_model *kv, bool is_out, bool is_slow)
{
	kv->is_out = is_out;
	kv->is_slow = is_slow;
}

GBytes *kv_model_value(const struct kv_model *kv, const char *key)
{
	const struct kv_value *v = g_tree_lookup(kv->values, key);

	return v ? v->value : NULL;
}

static void fill_row(struct kv_row *row, const char *key,
		     const struct kv_value *v)
{
	cs_copy(row->key, sizeof(row->key), key);
	row->version = v->value ? v->version : 0;
	row->value = v->value ? g_bytes_ref(v->value) : NULL;
}

static void set_single_row(struct kv_done *d, const struct kv_value *v)
{
	if (!v || !v->value)
		return;
	d->rows = g_new0(struct kv_row, 1);
	d->rows_nr = 1;
	d->version = v->version;
	fill_row(&d->rows[0], d->key, v);
}

struct row_filter {
	const char *prefix;
	uint64_t since;
	bool with_deleted;
	GArray *rows;
};

static gboolean add_matching_row(gpointer key, gpointer value, gpointer data)
{
	struct row_filter *g = data;
	struct kv_value *v = value;
	struct kv_row row = { 0 };

	if (!g_str_has_prefix(key, g->prefix) || v->modified <= g->since ||
	    (!v->value && !g->with_deleted))
		return FALSE;
	fill_row(&row, key, v);
	g_array_append_val(g->rows, row);
	return FALSE;
}

static void fill_rows(struct kv_model *kv, struct kv_done *d,
		      const char *prefix, uint64_t since, bool with_deleted)
{
	struct row_filter g = { prefix, since, with_deleted,
				g_array_new(FALSE, TRUE,
					    sizeof(struct kv_row)) };

	g_tree_foreach(kv->values, add_matching_row, &g);
	d->rows_nr = g.rows->len;
	d->rows = (struct kv_row *)(void *)g_array_free(g.rows, FALSE);
	d->revision = kv->revision;
}

/* Replies to the watches whose prefix matches the key. */
static void notify(struct kv_model *kv, const char *key)
{
	struct world *w = kv->w;
	struct kv_watch *watch;
	struct model_entry *e;
	cs_handle h, next;
	struct msg *msg;

	for (h = slots_next(kv->watches, 0); h; h = next) {
		next = slots_next(kv->watches, h);
		watch = slots_get(kv->watches, h);
		if (!g_str_has_prefix(key, watch->call.key))
			continue;
		e = &w->entries[watch->entry];
		msg = msg_kv_done(
			&watch->call,
			w->data_centres[e->data_centre].is_platform_cut ?
				KV_UNAVAILABLE :
				KV_OK);
		if (msg->u.kv_done.result == KV_OK)
			fill_rows(kv, &msg->u.kv_done, watch->call.key,
				  watch->call.version, true);
		/* While the platform is cut off, the client times out. */
		if (e->generation == watch->generation)
			world_send(w, watch->entry,
				   msg->u.kv_done.result == KV_OK ?
					   world_random_int(w, 1000, 4000) :
					   watch->call.wait_ms * CS_MSEC +
						   CALL_TIMEOUT,
				   msg);
		else
			msg_free(msg);
		slots_free(kv->watches, h);
	}
}

static void write_value(struct kv_model *kv, const char *key, GBytes *value)
{
	struct kv_value *v = g_tree_lookup(kv->values, key);

	if (!v) {
		v = g_new0(struct kv_value, 1);
		g_tree_insert(kv->values, g_strdup(key), v);
	}
	if (v->value)
		g_bytes_unref(v->value);
	v->value = value ? g_bytes_ref(value) : NULL;
	v->version++;
	v->modified = ++kv->revision;
	if (value && !strcmp(key, "config/fleet"))
		world_accept_document(kv->w, value);
	notify(kv, key);
}

void kv_model_put(struct world *w, const char *key, GBytes *value)
{
	write_value(w->kv, key, value);
	g_bytes_unref(value);
}

/* Applies a write and returns the reply. */
static struct msg *apply(struct kv_model *kv, const struct kv_call *call)
{
	struct kv_value *v = g_tree_lookup(kv->values, call->key);
	uint64_t version = v && v->value ? v->version : 0;
	struct msg *msg;

	if (version != call->version) {
		msg = msg_kv_done(call, KV_CONFLICT);
		set_single_row(&msg->u.kv_done, v);
		return msg;
	}
	write_value(kv, call->key, call->op == KV_DELETE ? NULL : call->value);
	v = g_tree_lookup(kv->values, call->key);
	msg = msg_kv_done(call, KV_OK);
	msg->u.kv_done.version = v->version;
	return msg;
}

static bool is_write(const struct kv_call *call)
{
	return call->op == KV_CAS || call->op == KV_DELETE;
}

static struct msg *read_reply(struct kv_model *kv, const struct kv_call *call)
{
	struct kv_value *v = g_tree_lookup(kv->values, call->key);
	struct msg *msg;

	if (call->op == KV_LIST) {
		msg = msg_kv_done(call, KV_OK);
		fill_rows(kv, &msg->u.kv_done, call->key, 0, false);
		return msg;
	}
	msg = msg_kv_done(call, v && v->value ? KV_OK : KV_MISSING);
	set_single_row(&msg->u.kv_done, v);
	return msg;
}

static void add_host(struct kv_done *d, const char *name,
		     const char *data_centre, bool is_leaving)
{
	struct kv_host *h = &d->hosts[d->hosts_nr++];

	cs_copy(h->host, sizeof(h->host), name);
	cs_copy(h->data_centre, sizeof(h->data_centre), data_centre);
	h->is_leaving = is_leaving;
}

static struct msg *hosts_reply(struct world *w, const struct kv_call *call)
{
	struct msg *msg = msg_kv_done(call, KV_OK);
	struct kv_done *d = &msg->u.kv_done;
	int i;

	d->hosts = g_new0(struct kv_host,
			  (size_t)w->workers_nr + (size_t)w->opt.entries);
	for (i = 0; i < w->workers_nr; i++) {
		const struct model_worker *wk = &w->workers[i];

		add_host(d, wk->host, w->data_centres[wk->data_centre].name,
			 wk->leaving_since &&
				 w->now - wk->leaving_since > HOST_LIST_LAG);
	}
	for (i = 0; i < w->opt.entries; i++) {
		const struct model_entry *e = &w->entries[i];

		/* The platform can't tell a paused host from a dead one. */
		if (e->is_paused ?
			    w->now - e->paused_at < HOST_TIMEOUT :
			    e->core || w->now - e->stopped_at < HOST_TIMEOUT)
			add_host(d, e->id, w->data_centres[e->data_centre].name,
				 false);
	}
	return msg;
}

/* A copy of a write that is applied later. */
struct pending_write {
	struct world *w;
	int entry;
	struct kv_call call;
	bool has_reply; /* the entry was sent one already */
};

static void on_pending_write(void *ctx, uint64_t unused, cs_time now)
{
	struct pending_write *p = ctx;
	struct msg *msg;

	(void)unused;
	(void)now;
	msg = apply(p->w->kv, &p->call);
	if (p->has_reply)
		msg_free(msg);
	else
		world_send(p->w, p->entry, world_random_int(p->w, 500, 2000),
			   msg);
	if (p->call.value)
		g_bytes_unref(p->call.value);
	g_free(p);
}

static void apply_later(struct world *w, int entry, const struct kv_call *call,
			cs_time delay, bool has_reply)
{
	struct pending_write *p = g_new0(struct pending_write, 1);

	p->w = w;
	p->entry = entry;
	p->call = *call;
	if (p->call.value)
		g_bytes_ref(p->call.value);
	p->has_reply = has_reply;
	world_after(w, delay, on_pending_write, p, 0);
}

/*
 * Lets a call time out at the entry. A write is still applied, at once or up to
 * LATE_WRITE_MAX later, unless is_lost is set: then the call itself was lost.
 */
static void drop_call(struct world *w, int entry, const struct kv_call *call,
		      bool is_lost)
{
	enum kv_result result = is_write(call) ? KV_UNKNOWN : KV_UNAVAILABLE;

	world_send(w, entry, CALL_TIMEOUT, msg_kv_done(call, result));
	if (!is_write(call) || is_lost)
		return;
	if (world_random_percent(w, 50)) {
		w->injected[FAULT_LATE_WRITE]++;
		apply_later(w, entry, call,
			    world_random_int(w, 0, (int)LATE_WRITE_MAX), true);
	} else {
		w->injected[FAULT_WRITE_REPLY_LOST]++;
		apply_later(w, entry, call, world_random_int(w, 500, 3000),
			    true);
	}
}

static void on_watch_end(void *ctx, uint64_t handle, cs_time now)
{
	struct kv_model *kv = ctx;
	struct kv_watch *watch = slots_get(kv->watches, handle);
	struct msg *msg;

	(void)now;
	if (!watch)
		return;
	msg = msg_kv_done(&watch->call, KV_OK);
	msg->u.kv_done.revision = kv->revision;
	if (kv->w->entries[watch->entry].generation == watch->generation)
		world_send(kv->w, watch->entry, 1000, msg);
	else
		msg_free(msg);
	slots_free(kv->watches, handle);
}

static void begin_watch(struct world *w, int entry, const struct kv_call *call)
{
	struct kv_model *kv = w->kv;
	struct msg *msg = msg_kv_done(call, KV_OK);
	struct kv_watch *watch;
	cs_handle h;

	fill_rows(kv, &msg->u.kv_done, call->key, call->version, true);
	if (msg->u.kv_done.rows_nr) {
		world_send(w, entry, world_random_int(w, 1000, 4000), msg);
		return;
	}
	msg_free(msg);
	h = slots_alloc(kv->watches, (void **)&watch);
	watch->entry = entry;
	watch->generation = w->entries[entry].generation;
	watch->call = *call;
	watch->call.value = NULL;
	world_after(w, call->wait_ms * CS_MSEC, on_watch_end, kv, h);
}

void kv_model_call(struct world *w, int entry, const struct kv_call *call)
{
	struct kv_model *kv = w->kv;
	cs_time delay = world_random_int(w, 1000, 4000);

	if (w->data_centres[w->entries[entry].data_centre].is_platform_cut) {
		drop_call(w, entry, call, true);
		return;
	}
	if (kv->is_out) {
		/* During an outage calls are refused at once or time out. */
		if (world_random_percent(w, 50))
			world_send(w, entry, delay,
				   msg_kv_done(call, KV_UNAVAILABLE));
		else
			drop_call(w, entry, call, world_random_percent(w, 70));
		return;
	}
	if (!w->opt.no_faults && !w->is_settling &&
	    world_random_percent(w, 0.5)) {
		drop_call(w, entry, call, false);
		return;
	}
	if (kv->is_slow)
		delay += world_random_int(w, 100, 800) * CS_MSEC;
	if (call->op == KV_WATCH)
		begin_watch(w, entry, call);
	else if (call->op == KV_HOSTS)
		/* The host list comes from a slower service. */
		world_send(w, entry,
			   delay + world_random_int(w, 5, 300) * CS_MSEC,
			   hosts_reply(w, call));
	else if (is_write(call))
		apply_later(w, entry, call, delay, false);
	else
		world_send(w, entry, delay, read_reply(kv, call));
}

struct visit {
	const char *prefix;
	void (*fn)(const char *key, GBytes *value, void *arg);
	void *arg;
};

static gboolean visit_row(gpointer key, gpointer value, gpointer data)
{
	struct visit *e = data;
	struct kv_value *v = value;

	if (v->value && g_str_has_prefix(key, e->prefix))
		e->fn(key, v->value, e->arg);
	return FALSE;
}

void kv_model_each(const struct kv_model *kv, const char *prefix,
		   void (*fn)(const char *key, GBytes *value, void *arg),
		   void *arg)
{
	struct visit e = { prefix, fn, arg };

	g_tree_foreach(kv->values, visit_row, &e);
}
