#include "node_private.h"

#include <string.h>

#include "../base/error.h"
#include "../base/log.h"
#include "../batch/batch_codec.h"

/*
 * The beginning of a term: the new owner loads all that its predecessors
 * stored. No other entry can write progress from then on, since each of these
 * writes is conditional on the owner's key. Once all is read, the jobs are
 * passed to the scheduler, and later ones when the view reports them.
 */

/* Wait and slack of one watch of the views that the owner keeps open, ms. */
#define WATCH_WAIT_MS 1000
#define WATCH_SLACK_MS 700
/*
 * Servers write often, and each watch is a call that has a price, so the next
 * one is delayed and reports several changes at once. The delay is small
 * against the 1.5 s from ordering a server to its first use.
 */
#define SERVERS_GAP_MS 60
/* Wait of the views that are needed only until all is loaded. */
#define ONCE_WAIT_MS 0

static void bytes_free(void *bytes)
{
	g_bytes_unref(bytes);
}

struct loaded_item {
	GBytes *value;
	uint64_t revision;
};

static void loaded_item_free(void *row)
{
	struct loaded_item *f = row;

	g_bytes_unref(f->value);
	g_free(f);
}

static void add_loaded(GHashTable *table, const char *id,
		       const struct store_item *item)
{
	struct loaded_item *f = g_new(struct loaded_item, 1);

	f->value = g_bytes_ref(item->value);
	f->revision = item->revision;
	g_hash_table_insert(table, g_strdup(id), f);
}

/* A job whose end is stored; NULL if its final state can't be read. */
static struct batch *read_ended_job(const char *id,
				    const struct loaded_item *progress)
{
	char workspace[SITE_NAME_MAX];
	enum batch_state state;
	gsize size;
	const void *data;

	if (!progress)
		return NULL;
	data = g_bytes_get_data(progress->value, &size);
	if (batch_decode_state(data, size, &state, workspace) ||
	    state < BATCH_DONE)
		return NULL;
	return batch_create_ended(id, workspace, state);
}

/* Decodes a job. progress may be NULL. Returns NULL on failure. */
static struct batch *read_job(const char *id, GBytes *value,
			      const struct loaded_item *progress)
{
	gsize size;
	const void *data = g_bytes_get_data(value, &size);
	struct batch *b;

	if (store_value_is(value, JOB_ENDED))
		return read_ended_job(id, progress);
	b = batch_decode_submission(data, size);
	if (!b || !progress)
		return b;
	data = g_bytes_get_data(progress->value, &size);
	if (!batch_decode_progress(b, data, size))
		return b;
	batch_destroy(b);
	return NULL;
}

/*
 * A submission that names pools was stored together with progress, of which the
 * revision is returned. If that was under another owner since this term began,
 * the tasks may start there, and only a conditional write of this owner shows
 * that it still holds the key; so the begin is stored again.
 */
static uint64_t take_begin(const struct node *n, struct batch *b,
			   uint64_t revision)
{
	if (revision > n->owner.key_revision &&
	    b->begun_owner != n->owner.key_revision) {
		g_ptr_array_free(b->pools, TRUE);
		b->pools = NULL;
	}
	return revision;
}

/* Passes a job to the scheduler, with its progress, which may be NULL. */
static void add_job(struct node *n, const char *id, GBytes *value,
		    uint64_t revision, const struct loaded_item *progress,
		    cs_time now)
{
	struct batch *b = read_job(id, value, progress);
	uint64_t stored = 0;
	GString *pairs;

	if (!b || strcmp(b->id, id)) {
		pairs = g_string_new(NULL);
		log_pair(pairs, "job", id);
		log_pair_int(pairs, "revision", (int64_t)revision);
		log_pair(pairs, "part", b ? "id" : "encoding");
		node_log(n, "job_unreadable", pairs);
		counters_add(n->counters, "camphorshed_unreadable_jobs_total",
			     "", 1);
		batch_destroy(b);
		return;
	}
	if (progress)
		stored = progress->revision;
	else if (b->pools)
		stored = take_begin(n, b, revision);
	sched_add_batch(n->sched, b, revision, stored, node_unix_ms(n, now),
			now);
}

void term_add_submission(struct node *n, const struct submission *s,
			 cs_time now)
{
	add_job(n, s->id, s->value, s->revision, NULL, now);
}

static void on_root_put(void *ctx, const struct store_item *item, cs_time now)
{
	struct node *n = ctx;
	bool is_loading = n->owner.state == OWNER_LOADING;

	if (g_str_has_prefix(item->key, KEY_JOBS)) {
		const char *id = item->key + strlen(KEY_JOBS);

		/* While active, only this owner writes the marker of an end.
		 */
		if (store_value_is(item->value, JOB_WITHDRAWN) ||
		    store_value_is(item->value, JOB_REFUSED))
			withdrawn_add(n, id, item->revision, now);
		else if (is_loading)
			add_loaded(n->loaded_jobs, id, item);
		else if (!store_value_is(item->value, JOB_ENDED))
			add_job(n, id, item->value, item->revision, NULL, now);
	} else if (g_str_has_prefix(item->key, KEY_CANCELS)) {
		const char *id = item->key + strlen(KEY_CANCELS);

		if (is_loading)
			g_hash_table_add(n->loaded_cancels, g_strdup(id));
		else
			sched_cancel(n->sched, id, now);
	} else if (!strcmp(item->key, KEY_OWNER) &&
		   item->revision > n->owner.key_revision) {
		/*
		 * One view reports jobs and the owner's key in the order of
		 * their revisions, so a job that is submitted in a successor's
		 * term comes after the successor's key.
		 */
		n->owner.is_fenced = true;
	}
}

static void on_root_delete(void *ctx, const char *key, cs_time now)
{
	struct node *n = ctx;

	(void)now;
	if (!strcmp(key, KEY_OWNER))
		n->owner.is_fenced = true;
	else if (g_str_has_prefix(key, KEY_JOBS))
		sched_batch_removed(n->sched, key + strlen(KEY_JOBS));
}

static void on_server_put(void *ctx, const struct store_item *item, cs_time now)
{
	struct node *n = ctx;
	const char *id = item->key + strlen(n->formats->server_prefix);
	struct server_info info = { 0 };
	struct cs_error err = { 0 };
	GString *pairs;

	if (n->formats->read_server(id, item->value, &info, &err)) {
		sched_server_registered(n->sched, &info, now);
		return;
	}
	pairs = g_string_new(NULL);
	log_pair(pairs, "server", id);
	log_pair_int(pairs, "revision", (int64_t)item->revision);
	log_pair(pairs, "message", err.message);
	node_log(n, "server_unreadable", pairs);
	sched_server_deregistered(n->sched, id, now);
}

static void on_server_delete(void *ctx, const char *key, cs_time now)
{
	struct node *n = ctx;

	sched_server_deregistered(n->sched,
				  key + strlen(n->formats->server_prefix), now);
}

static void on_progress_put(void *ctx, const struct store_item *item,
			    cs_time now)
{
	struct node *n = ctx;

	(void)now;
	add_loaded(n->loaded_progress, item->key + strlen(KEY_PROGRESS), item);
}

static void on_grant_put(void *ctx, const struct store_item *item, cs_time now)
{
	struct node *n = ctx;

	g_ptr_array_add(n->loaded_grants, grant_read(item, now));
}

static void on_wave_progress_put(void *ctx, const struct store_item *item,
				 cs_time now)
{
	struct node *n = ctx;

	(void)now;
	g_hash_table_insert(n->loaded_wave_progress,
			    g_strdup(item->key + strlen(KEY_WAVES)),
			    g_bytes_ref(item->value));
}

static void on_ordered_hosts_put(void *ctx, const struct store_item *item,
				 cs_time now)
{
	struct node *n = ctx;

	(void)now;
	if (n->loaded_ordered_hosts)
		g_bytes_unref(n->loaded_ordered_hosts);
	n->loaded_ordered_hosts = g_bytes_ref(item->value);
	n->commit.ordered_revision = item->revision;
}

static void on_learned_put(void *ctx, const struct store_item *item,
			   cs_time now)
{
	(void)now;
	learned_read(ctx, item);
}

static void ignore_delete(void *ctx, const char *key, cs_time now)
{
	(void)ctx;
	(void)key;
	(void)now;
}

/* term_turn() handles it: callbacks of a view must not destroy the view. */
static void ignore_synced(void *ctx, cs_time now)
{
	(void)ctx;
	(void)now;
}

static const struct view_ops root_ops = { on_root_put, on_root_delete,
					  ignore_synced };
static const struct view_ops server_ops = { on_server_put, on_server_delete,
					    ignore_synced };
static const struct view_ops progress_ops = { on_progress_put, ignore_delete,
					      ignore_synced };
static const struct view_ops grant_ops = { on_grant_put, ignore_delete,
					   ignore_synced };
static const struct view_ops ordered_hosts_ops = { on_ordered_hosts_put,
						   ignore_delete,
						   ignore_synced };
static const struct view_ops wave_progress_ops = { on_wave_progress_put,
						   ignore_delete,
						   ignore_synced };

static const struct view_ops learned_ops = { on_learned_put, ignore_delete,
					     ignore_synced };

static struct view *open_view(struct node *n, const char *prefix,
			      int64_t wait_ms, int64_t gap_ms,
			      const struct view_ops *ops, cs_time now)
{
	struct view_options options = { .prefix = prefix,
					.wait_ms = wait_ms,
					.gap_ms = gap_ms,
					.slack_ms = WATCH_SLACK_MS };

	return view_create(&options, n->calls, n->timers, ops, n, now);
}

static GHashTable *new_table(GDestroyNotify free_row)
{
	return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_row);
}

static void on_order(void *ctx, struct order *order)
{
	struct node *n = ctx;

	if (!order->token)
		order->token = n->owner.term;
	n->ops->order(n->ctx, order);
}

static void on_log(void *ctx, const char *event, const char *pairs)
{
	struct node *n = ctx;

	n->ops->log(n->ctx, event, pairs);
}

/* owner_turn() ends the term, which destroys the scheduler that calls this. */
static void on_fenced(void *ctx)
{
	struct node *n = ctx;

	n->owner.is_fenced = true;
}

static bool admits_frequent_log(void *ctx)
{
	struct node *n = ctx;

	return n->ops->admits_frequent_log(n->ctx);
}

static const struct sched_ops sched_ops = { on_order, on_log,
					    admits_frequent_log, on_fenced,
					    wave_status_write };

void term_begin(struct node *n, cs_time now)
{
	struct sched_options o = { .token = n->owner.term,
				   .revision = n->owner.key_revision,
				   .predecessor_end = owner_predecessor_end(n),
				   .limits = n->options.limits,
				   .policy = n->options.policy,
				   .accepted_max = n->options.accepted_max };
	GHashTableIter it;
	void *key;

	cs_copy(o.holder, sizeof(o.holder), n->options.contact.name);
	if (n->owner.term == 1)
		o.predecessor_end = 0; /* the first owner has none */
	n->sched = sched_create(&o, &sched_ops, n, n->timers, n->counters, now);
	if (n->site)
		sched_set_site(n->sched, n->site, now);
	g_hash_table_iter_init(&it, n->evacuated);
	while (g_hash_table_iter_next(&it, &key, NULL))
		sched_set_evacuated(n->sched, key, true, now);
	n->loaded_jobs = new_table(loaded_item_free);
	n->loaded_progress = new_table(loaded_item_free);
	n->loaded_grants = g_ptr_array_new_with_free_func(loaded_grant_free);
	n->loaded_cancels = new_table(NULL);
	n->loaded_wave_progress = new_table(bytes_free);
	n->root = open_view(n, KEY_ROOT, WATCH_WAIT_MS, 0, &root_ops, now);
	n->servers = open_view(n, n->formats->server_prefix, WATCH_WAIT_MS,
			       SERVERS_GAP_MS, &server_ops, now);
	n->progress =
		open_view(n, KEY_PROGRESS, ONCE_WAIT_MS, 0, &progress_ops, now);
	n->grants = open_view(n, KEY_GRANTS, ONCE_WAIT_MS, 0, &grant_ops, now);
	n->ordered_hosts = open_view(n, KEY_HOSTS, ONCE_WAIT_MS, 0,
				     &ordered_hosts_ops, now);
	n->wave_progress = open_view(n, KEY_WAVES, ONCE_WAIT_MS, 0,
				     &wave_progress_ops, now);
	learned_begin(n, now);
	if (n->options.policy.has_learned_run_times)
		n->learned_view = open_view(n, KEY_LEARNED_ROOT, ONCE_WAIT_MS,
					    0, &learned_ops, now);
}

static void close_view(struct view **v)
{
	if (*v)
		view_destroy(*v);
	*v = NULL;
}

static void close_table(GHashTable **table)
{
	if (*table)
		g_hash_table_destroy(*table);
	*table = NULL;
}

/* Releases what is needed only while loading. */
static void free_loaded(struct node *n)
{
	close_view(&n->progress);
	close_view(&n->grants);
	close_view(&n->wave_progress);
	close_view(&n->ordered_hosts);
	close_view(&n->learned_view);
	if (n->loaded_ordered_hosts)
		g_bytes_unref(n->loaded_ordered_hosts);
	n->loaded_ordered_hosts = NULL;
	close_table(&n->loaded_jobs);
	close_table(&n->loaded_progress);
	if (n->loaded_grants)
		g_ptr_array_free(n->loaded_grants, TRUE);
	n->loaded_grants = NULL;
	close_table(&n->loaded_cancels);
}

void term_end(struct node *n)
{
	free_loaded(n);
	close_table(&n->loaded_wave_progress);
	close_view(&n->root);
	close_view(&n->servers);
	commit_reset(n);
	withdrawn_reset(n);
	wave_status_reset(n);
	g_free(n->published_queues);
	n->published_queues = NULL;
	sched_destroy(n->sched);
	n->sched = NULL;
}

/* The lines of a stored value that are not empty; value may be NULL. */
static GPtrArray *split_lines(GBytes *value)
{
	GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
	char *text, **lines;
	int i;

	if (!value)
		return list;
	text = store_text(value);
	lines = g_strsplit(text, "\n", 0);
	for (i = 0; lines[i]; i++)
		if (*lines[i])
			g_ptr_array_add(list, g_strdup(lines[i]));
	g_strfreev(lines);
	g_free(text);
	return list;
}

/* Hosts to which a predecessor may have sent an order get none for now. */
static void report_ordered_hosts(struct node *n)
{
	GPtrArray *hosts = split_lines(n->loaded_ordered_hosts);
	guint i;

	for (i = 0; i < hosts->len; i++)
		sched_note_predecessor_host_order(n->sched,
						  g_ptr_array_index(hosts, i));
	g_ptr_array_free(hosts, TRUE);
}

/* Passes a wave to the scheduler, with the hosts done by predecessors. */
void term_add_wave(struct node *n, const char *number, GBytes *value,
		   cs_time now)
{
	struct wave_info info = { 0 };
	GString *pairs;

	if (!n->formats->read_wave(value, &info)) {
		pairs = g_string_new(NULL);
		log_pair(pairs, "wave", number);
		node_log(n, "wave_unreadable", pairs);
		return;
	}
	info.done = split_lines(
		n->loaded_wave_progress ?
			g_hash_table_lookup(n->loaded_wave_progress, number) :
			NULL);
	sched_add_wave(n->sched, &info, now);
	g_ptr_array_free(info.done, TRUE);
	g_ptr_array_free(info.hosts, TRUE);
}

static bool is_loaded(const struct node *n)
{
	return view_is_synced(n->root) && view_is_synced(n->servers) &&
	       view_is_synced(n->progress) && view_is_synced(n->grants) &&
	       view_is_synced(n->wave_progress) &&
	       view_is_synced(n->ordered_hosts) &&
	       (!n->learned_view || view_is_synced(n->learned_view));
}

/* Passes all that was loaded to the scheduler, and lets it decide. */
static void start_deciding(struct node *n, cs_time now)
{
	GString *pairs = g_string_new(NULL);
	GHashTableIter it;
	void *key, *row;
	guint i;

	n->owner.state = OWNER_ACTIVE;
	log_pair_int(pairs, "term", (int64_t)n->owner.term);
	log_pair_int(pairs, "jobs", g_hash_table_size(n->loaded_jobs));
	log_pair_int(pairs, "grants", n->loaded_grants->len);
	log_pair_int(pairs, "took_ms", (now - n->owner.acquired_at) / CS_MSEC);
	node_log(n, "term_loaded", pairs);
	g_hash_table_iter_init(&it, n->loaded_jobs);
	while (g_hash_table_iter_next(&it, &key, &row)) {
		const struct loaded_item *f = row;

		add_job(n, key, f->value, f->revision,
			g_hash_table_lookup(n->loaded_progress, key), now);
	}
	for (i = 0; i < n->loaded_grants->len; i++)
		grant_add(n, g_ptr_array_index(n->loaded_grants, i));
	report_ordered_hosts(n);
	sched_set_ready(n->sched, now);
	g_hash_table_iter_init(&it, n->loaded_cancels);
	while (g_hash_table_iter_next(&it, &key, NULL))
		sched_cancel(n->sched, key, now);
	g_hash_table_iter_init(&it, n->waves);
	while (g_hash_table_iter_next(&it, &key, &row))
		term_add_wave(n, key, row, now);
	free_loaded(n);
}

void term_turn(struct node *n, cs_time now)
{
	if (n->owner.state == OWNER_LOADING && is_loaded(n))
		start_deciding(n, now);
}
