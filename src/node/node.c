#include "node_private.h"

#include <string.h>

#include "../base/error.h"
#include "../base/log.h"

/*
 * Watches of the operators' prefix and the control prefix, which every entry
 * has. The wait of one call and its slack bound how long a dead connection can
 * delay a change: a configuration must be in force within 2 s.
 */
#define WATCH_WAIT_MS 900
#define WATCH_SLACK_MS 500

static void send_store_call(void *ctx, struct store_call *call)
{
	struct node *n = ctx;
	char labels[32];

	g_snprintf(labels, sizeof(labels), "op=\"%s\"",
		   store_op_name(call->op));
	counters_add(n->counters, "camphorshed_store_calls_total", labels, 1);
	n->ops->store_call(n->ctx, call);
}

static const struct store_port store_port = { send_store_call };

void node_log(struct node *n, const char *event, GString *pairs)
{
	n->ops->log(n->ctx, event, pairs->str);
	g_string_free(pairs, TRUE);
}

int64_t node_unix_ms(const struct node *n, cs_time now)
{
	return n->unix_ms + (now - n->unix_at) / CS_MSEC;
}

static void bytes_free(void *bytes)
{
	g_bytes_unref(bytes);
}

struct node *node_create(const struct node_options *options,
			 const struct node_ops *ops, void *ctx,
			 const struct node_formats *formats)
{
	struct node *n = g_new0(struct node, 1);

	n->options = *options;
	n->ops = ops;
	n->ctx = ctx;
	n->formats = formats;
	n->timers = timers_create();
	n->counters = counters_create();
	n->calls = store_calls_create(&store_port, n);
	n->rng = g_rand_new_with_seed(options->seed);
	n->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	n->waves = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					 bytes_free);
	n->admission = admission_create(options->seed);
	n->queue_loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return n;
}

/* Drops the open requests without a reply: their connections end as well. */
static void free_requests(struct node *n)
{
	slots_destroy(n->requests);
}

void node_destroy(struct node *n)
{
	if (!n)
		return;
	term_end(n);
	if (n->operators)
		view_destroy(n->operators);
	if (n->control)
		view_destroy(n->control);
	if (n->requests)
		free_requests(n);
	slots_destroy(n->wave_writes);
	store_calls_destroy(n->calls);
	timers_destroy(n->timers);
	counters_destroy(n->counters);
	g_rand_free(n->rng);
	g_hash_table_destroy(n->evacuated);
	g_hash_table_destroy(n->waves);
	g_hash_table_destroy(n->queue_loads);
	admission_destroy(n->admission);
	g_free(n->published_queues);
	site_unref(n->site);
	g_free(n);
}

/* Puts a configuration in force unless a higher version is already. */
static void apply_site(struct node *n, GBytes *value, uint64_t revision,
		       cs_time now)
{
	struct cs_error err = { 0 };
	struct site *site = n->formats->read_site(value, &err);
	GString *pairs = g_string_new(NULL);

	log_pair_int(pairs, "revision", (int64_t)revision);
	if (!site) {
		log_pair(pairs, "message", err.message);
		node_log(n, "configuration_unreadable", pairs);
		return;
	}
	log_pair_int(pairs, "version", (int64_t)site_version(site));
	if (n->site && site_version(site) < site_version(n->site)) {
		node_log(n, "configuration_older", pairs);
		site_unref(site);
		return;
	}
	if (err.code)
		log_pair(pairs, "left_out", err.message);
	node_log(n, "configuration_in_force", pairs);
	site_unref(n->site);
	n->site = site;
	if (n->sched)
		sched_set_site(n->sched, site, now);
}

static void set_evacuated(struct node *n, const char *data_centre,
			  bool is_evacuated, cs_time now)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "data_centre", data_centre);
	log_pair_int(pairs, "evacuated", is_evacuated);
	node_log(n, "evacuation", pairs);
	if (is_evacuated)
		g_hash_table_add(n->evacuated, g_strdup(data_centre));
	else
		g_hash_table_remove(n->evacuated, data_centre);
	if (n->sched)
		sched_set_evacuated(n->sched, data_centre, is_evacuated, now);
}

static void on_operator_put(void *ctx, const struct store_item *item,
			    cs_time now)
{
	struct node *n = ctx;
	const struct node_formats *f = n->formats;

	if (!strcmp(item->key, f->configuration_key)) {
		apply_site(n, item->value, item->revision, now);
	} else if (g_str_has_prefix(item->key, f->evacuation_prefix)) {
		set_evacuated(n, item->key + strlen(f->evacuation_prefix), true,
			      now);
	} else if (g_str_has_prefix(item->key, f->wave_prefix)) {
		const char *number = item->key + strlen(f->wave_prefix);

		g_hash_table_insert(n->waves, g_strdup(number),
				    g_bytes_ref(item->value));
		if (n->owner.state == OWNER_ACTIVE)
			term_add_wave(n, number, item->value, now);
	}
}

static void on_operator_delete(void *ctx, const char *key, cs_time now)
{
	struct node *n = ctx;
	const struct node_formats *f = n->formats;

	if (g_str_has_prefix(key, f->evacuation_prefix)) {
		set_evacuated(n, key + strlen(f->evacuation_prefix), false,
			      now);
	} else if (g_str_has_prefix(key, f->wave_prefix)) {
		const char *number = key + strlen(f->wave_prefix);

		g_hash_table_remove(n->waves, number);
		if (n->owner.state == OWNER_ACTIVE)
			sched_remove_wave(n->sched,
					  g_ascii_strtoull(number, NULL, 10));
	}
}

static void on_control_put(void *ctx, const struct store_item *item,
			   cs_time now)
{
	struct node *n = ctx;

	if (!strcmp(item->key, KEY_QUEUES))
		queues_read(n, item);
	else
		owner_on_put(n, item, now);
}

static void on_control_delete(void *ctx, const char *key, cs_time now)
{
	owner_on_delete(ctx, key, now);
}

static void on_control_synced(void *ctx, cs_time now)
{
	owner_on_synced(ctx, now);
}

static void on_operator_synced(void *ctx, cs_time now)
{
	owner_on_synced(ctx, now);
}

static const struct view_ops operator_ops = { on_operator_put,
					      on_operator_delete,
					      on_operator_synced };
static const struct view_ops control_ops = { on_control_put, on_control_delete,
					     on_control_synced };

void node_start(struct node *n, int64_t unix_ms, cs_time now)
{
	struct view_options o = { .wait_ms = WATCH_WAIT_MS,
				  .slack_ms = WATCH_SLACK_MS };

	n->unix_ms = unix_ms;
	n->unix_at = now;
	n->started_at = now;
	o.prefix = n->formats->operator_prefix;
	n->operators =
		view_create(&o, n->calls, n->timers, &operator_ops, n, now);
	o.prefix = KEY_CONTROL;
	n->control = view_create(&o, n->calls, n->timers, &control_ops, n, now);
}

void node_request(struct node *n, struct api_request *request, cs_time now)
{
	api_handle_request(n, request, now);
}

/* Logs when the store stops answering, and when it answers again. */
static void log_store_state(struct node *n, const struct store_reply *d,
			    cs_time now)
{
	bool is_lost = d->result == STORE_REFUSED || d->result == STORE_UNKNOWN;
	GString *pairs;

	if (is_lost == (n->store_lost_at != 0))
		return;
	pairs = g_string_new(NULL);
	log_pair(pairs, "dependency", "store");
	log_pair(pairs, "call", store_op_name(d->op));
	log_pair(pairs, "result", store_result_name(d->result));
	if (is_lost) {
		log_pair(pairs, "message", d->error.message);
	} else {
		log_pair_int(pairs, "lost_for_ms",
			     (now - n->store_lost_at) / CS_MSEC);
	}
	n->store_lost_at = is_lost ? now : 0;
	node_log(n, is_lost ? "dependency_lost" : "dependency_regained", pairs);
}

static void log_unreadable(struct node *n, const struct store_reply *d)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "call", store_op_name(d->op));
	log_pair(pairs, "message", d->error.message);
	node_log(n, "store_reply_unreadable", pairs);
}

void node_store_reply(struct node *n, const struct store_reply *d, cs_time now)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "op=\"%s\",result=\"%s\"",
		   store_op_name(d->op), store_result_name(d->result));
	if (d->op != STORE_WATCH) /* its duration is the wait for changes */
		counters_observe(n->counters, "camphorshed_store_call_seconds",
				 labels, now - d->sent);
	log_store_state(n, d, now);
	if (d->result == STORE_UNREADABLE)
		log_unreadable(n, d);
	store_calls_on_reply(n->calls, d, now);
}

/* Ignores replies to orders of earlier terms, which have lower tokens. */
void node_order_reply(struct node *n, const struct order_reply *d, cs_time now)
{
	if (n->sched && d->token >= n->owner.term)
		sched_order_reply(n->sched, d, now);
}

void node_submission_stored(struct node *n, const struct submission *s,
			    cs_time now)
{
	if (n->owner.state == OWNER_ACTIVE && !n->owner.is_releasing &&
	    s->owner_revision == n->owner.key_revision)
		term_add_submission(n, s, now);
}

void node_drain(struct node *n, cs_time now)
{
	n->is_draining = true;
	owner_release(n, now);
}

bool node_is_drained(const struct node *n)
{
	return n->is_draining && n->owner.state < OWNER_LOADING &&
	       (!n->requests || !slots_count(n->requests));
}

void node_turn(struct node *n, int64_t unix_ms, cs_time now)
{
	n->unix_ms = unix_ms;
	n->unix_at = now;
	timers_advance(n->timers, now);
	owner_turn(n, now);
	term_turn(n, now);
	if (n->sched)
		sched_turn(n->sched, unix_ms, now);
	commit_turn(n, now);
	withdrawn_turn(n, now);
	queues_publish(n, now);
	learned_turn(n, now);
}

cs_time node_next_due(const struct node *n)
{
	cs_time due = timers_next_due(n->timers);
	cs_time turn = n->sched ? sched_next_turn(n->sched) : CS_TIME_NEVER;

	return MIN(due, turn);
}

struct counters *node_counters(struct node *n)
{
	return n->counters;
}
