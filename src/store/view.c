#include "view.h"

/* Pause after a failed call; it doubles up to the maximum. */
#define RETRY_MIN_US (50 * CS_MSEC)
#define RETRY_MAX_US (400 * CS_MSEC)
/*
 * Timeout for a whole reply, ms. One of 1 MB takes 6 s on a link of 2 Mbit/s
 * that other calls share; a shorter timeout would ask for it again and again.
 */
#define REPLY_TIMEOUT_MS 12000
/* Timeout for a list of which nothing more comes, ms. */
#define LIST_STALL_MS 1500

struct view {
	struct view_options options;
	char *prefix;
	struct store_calls *calls;
	struct timers *timers;
	const struct view_ops *ops;
	void *ctx;
	GHashTable *keys; /* key -> uint64_t, its last revision */
	GHashTable *listed; /* keys of the list under way; NULL: none is */
	char *page_after;
	uint64_t list_revision; /* of the first page */
	cs_time list_sent; /* when the first page was requested */
	uint64_t after; /* revision from which to watch; 0: list first */
	bool is_synced;
	cs_time current_at;
	cs_time retry_pause;
	cs_handle call;
	cs_handle timer;
};

static void list_page(struct view *v);
static void watch(struct view *v);

/* Reports an item unless the same or a later revision of its key is known. */
static void apply_put(struct view *v, const struct store_item *item,
		      cs_time now)
{
	uint64_t *revision = g_hash_table_lookup(v->keys, item->key);

	if (revision && *revision >= item->revision)
		return;
	if (!revision) {
		revision = g_new(uint64_t, 1);
		g_hash_table_insert(v->keys, g_strdup(item->key), revision);
	}
	*revision = item->revision;
	v->ops->on_put(v->ctx, item, now);
}

static void apply_delete(struct view *v, const char *key, uint64_t at,
			 cs_time now)
{
	uint64_t *revision = g_hash_table_lookup(v->keys, key);
	char *copy;

	if (!revision || *revision > at)
		return;
	copy = g_strdup(key);
	g_hash_table_remove(v->keys, key);
	v->ops->on_delete(v->ctx, copy, now);
	g_free(copy);
}

/* Reports as deleted the known keys that the complete list does not have. */
static void delete_unlisted(struct view *v, cs_time now)
{
	GPtrArray *missing = g_ptr_array_new_with_free_func(g_free);
	GHashTableIter it;
	void *key;
	guint i;

	g_hash_table_iter_init(&it, v->keys);
	while (g_hash_table_iter_next(&it, &key, NULL))
		if (!g_hash_table_contains(v->listed, key))
			g_ptr_array_add(missing, g_strdup(key));
	for (i = 0; i < missing->len; i++)
		apply_delete(v, g_ptr_array_index(missing, i), UINT64_MAX, now);
	g_ptr_array_free(missing, TRUE);
}

static void free_list(struct view *v)
{
	if (v->listed)
		g_hash_table_destroy(v->listed);
	v->listed = NULL;
	g_free(v->page_after);
	v->page_after = NULL;
}

static void on_pause_end(void *ctx, uint64_t arg, cs_time now)
{
	struct view *v = ctx;

	(void)arg;
	(void)now;
	v->timer = 0;
	if (v->after)
		watch(v);
	else
		list_page(v);
}

static void retry_later(struct view *v, cs_time now)
{
	v->timer = timers_subscribe(v->timers, now + v->retry_pause,
				    on_pause_end, v, 0);
	v->retry_pause *= 2;
	if (v->retry_pause > RETRY_MAX_US)
		v->retry_pause = RETRY_MAX_US;
}

static void on_list(void *ctx, uint64_t arg, const struct store_reply *d,
		    cs_time now)
{
	struct view *v = ctx;
	guint i;

	(void)arg;
	v->call = 0;
	/* The pages that were read stay; this one is requested again. */
	if (d->result != STORE_OK) {
		retry_later(v, now);
		return;
	}
	v->retry_pause = RETRY_MIN_US;
	if (!v->list_revision) {
		v->list_revision = d->revision;
		v->list_sent = d->sent;
	}
	for (i = 0; i < d->items->len; i++) {
		const struct store_item *item = g_ptr_array_index(d->items, i);

		g_hash_table_add(v->listed, g_strdup(item->key));
		apply_put(v, item, now);
	}
	if (d->has_more && d->items->len) {
		const struct store_item *last =
			g_ptr_array_index(d->items, d->items->len - 1);

		g_free(v->page_after);
		v->page_after = g_strdup(last->key);
		list_page(v);
		return;
	}
	delete_unlisted(v, now);
	free_list(v);
	v->after = v->list_revision;
	/* A change after the first page may be missing in the pages. */
	v->current_at = v->list_sent;
	v->is_synced = true;
	v->ops->on_synced(v->ctx, now);
	watch(v);
}

/*
 * The pages of a list may show different revisions of the store, so the watch
 * starts from the revision of the first page.
 */
static void list_page(struct view *v)
{
	struct store_call *c =
		store_call_new(STORE_LIST, v->prefix, REPLY_TIMEOUT_MS);

	if (!v->listed) {
		v->listed = g_hash_table_new_full(g_str_hash, g_str_equal,
						  g_free, NULL);
		v->list_revision = 0;
	}
	c->page_after = g_strdup(v->page_after);
	c->stall_ms = LIST_STALL_MS;
	v->call = store_calls_send(v->calls, c, on_list, v, 0);
}

static void on_watch(void *ctx, uint64_t arg, const struct store_reply *d,
		     cs_time now)
{
	struct view *v = ctx;
	guint i;

	(void)arg;
	v->call = 0;
	/* The same watch would fail again; a list comes in pages. */
	if (d->result == STORE_COMPACTED || d->result == STORE_UNREADABLE) {
		v->after = 0;
		list_page(v);
		return;
	}
	if (d->result != STORE_OK) {
		retry_later(v, now);
		return;
	}
	v->retry_pause = RETRY_MIN_US;
	for (i = 0; i < d->items->len; i++) {
		const struct store_item *item = g_ptr_array_index(d->items, i);

		if (item->value)
			apply_put(v, item, now);
		else
			apply_delete(v, item->key, item->revision, now);
	}
	if (d->revision > v->after)
		v->after = d->revision;
	v->current_at = d->sent;
	if (d->items->len && v->options.gap_ms)
		v->timer = timers_subscribe(v->timers,
					    now + v->options.gap_ms * CS_MSEC,
					    on_pause_end, v, 0);
	else
		watch(v);
}

/*
 * After a failure the first watch does not wait for changes: its reply is what
 * tells that the store answers again, and until then an entry refuses work.
 */
static void watch(struct view *v)
{
	bool has_failed = v->retry_pause > RETRY_MIN_US;
	int64_t wait_ms = has_failed ? 0 : v->options.wait_ms;
	struct store_call *c = store_call_new(
		STORE_WATCH, v->prefix, v->options.wait_ms + REPLY_TIMEOUT_MS);

	c->stall_ms = v->options.wait_ms + v->options.slack_ms;
	c->after = v->after;
	c->wait_ms = wait_ms;
	v->call = store_calls_send(v->calls, c, on_watch, v, 0);
}

struct view *view_create(const struct view_options *options,
			 struct store_calls *calls, struct timers *timers,
			 const struct view_ops *ops, void *ctx, cs_time now)
{
	struct view *v = g_new0(struct view, 1);

	(void)now;
	v->options = *options;
	v->prefix = g_strdup(options->prefix);
	v->calls = calls;
	v->timers = timers;
	v->ops = ops;
	v->ctx = ctx;
	v->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	v->retry_pause = RETRY_MIN_US;
	list_page(v);
	return v;
}

void view_destroy(struct view *v)
{
	if (!v)
		return;
	store_calls_forget(v->calls, v->call);
	timers_cancel(v->timers, v->timer);
	free_list(v);
	g_hash_table_destroy(v->keys);
	g_free(v->prefix);
	g_free(v);
}

bool view_is_synced(const struct view *v)
{
	return v && v->is_synced;
}

cs_time view_current_at(const struct view *v)
{
	return v ? v->current_at : 0;
}
