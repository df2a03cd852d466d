#include "config_sync.h"

#include <string.h>

#include "../base/log.h"
#include "codec.h"
#include "config_state.h"

/* Interval of periodic work and of heartbeats within the data centre. */
#define TICK (500 * CS_MSEC)

/* Users require that an isolated data centre detects it within 5 s. */
#define ISOLATED_AFTER (5 * CS_SEC)

/*
 * Longest time that new work is held back after a clock jump. An entry that is
 * cut off gets no reply but must go on working, and urgent work must start
 * within 2.7 s.
 */
#define REFRESH_TIMEOUT (1 * CS_SEC)

static struct config_sync *state(const struct part_ctx *ctx)
{
	return ctx->parts.config;
}

uint64_t config_new_token(struct part_ctx *ctx)
{
	return ++state(ctx)->last_token;
}

void config_end_refresh(struct config_sync *s)
{
	s->stale_since = 0;
	s->refresh_token = 0;
	s->refresh_ref = 0;
	s->refresh_revision = 0;
}

/* Counts and logs a refused document; reason is one word, for the metric. */
static int report_refused(struct part_ctx *ctx, const char *reason,
			  const char *from, uint64_t revision,
			  const char *faults)
{
	GString *pairs = g_string_new(NULL);
	char labels[48];

	g_snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	counters_add(ctx->counters, "config_refused_total", labels, 1);
	log_pair(pairs, "event", "document_refused");
	log_pair(pairs, "reason", reason);
	log_pair_int(pairs, "revision", (int64_t)revision);
	if (faults)
		log_pair(pairs, "faults", faults);
	part_event(ctx, LOG_WARN, "config_take", from, NULL, pairs);
	return CS_ERR_INVALID;
}

/* Puts doc, of which it takes ownership, in force and notifies all parts. */
static void install_document(struct part_ctx *ctx, struct document *doc,
			     GBytes *bytes, const char *from)
{
	struct config_sync *s = state(ctx);
	struct document *before = s->doc;
	GString *pairs = g_string_new(NULL);

	s->doc = doc;
	if (s->bytes)
		g_bytes_unref(s->bytes);
	s->bytes = g_bytes_ref(bytes);
	config_history_add(ctx, before, doc);
	counters_add(ctx->counters, "config_in_force_total", "", 1);
	counters_set(ctx->counters, "config_revision", "",
		     (int64_t)document_revision(doc));
	log_pair(pairs, "event", "document_in_force");
	log_pair_int(pairs, "revision", (int64_t)document_revision(doc));
	part_event(ctx, LOG_INFO, "config_take", from, NULL, pairs);
	if (s->refresh_revision &&
	    document_revision(doc) >= s->refresh_revision)
		config_end_refresh(s);
	part_config_changed(ctx, doc);
	document_destroy(before);
}

/* Two documents of the same revision must have the same content. */
static int check_same_revision(struct part_ctx *ctx, const struct document *doc,
			       const char *from)
{
	GString *diff = g_string_new(NULL);
	int ret = CS_OK;

	document_diff(state(ctx)->doc, doc, diff);
	if (diff->len)
		ret = report_refused(ctx, "content", from,
				     document_revision(doc), diff->str);
	g_string_free(diff, TRUE);
	return ret;
}

int config_accept_document(struct part_ctx *ctx, GBytes *bytes,
			   uint64_t version, const struct config_peer *peer)
{
	struct config_sync *s = state(ctx);
	const char *from = peer ? peer->id : "platform";
	uint64_t current = document_revision(s->doc), revision;
	struct document *doc;
	GString *faults;
	int ret = CS_OK;

	if (s->bytes && g_bytes_equal(bytes, s->bytes)) {
		s->version = version;
		return CS_OK;
	}
	faults = g_string_new(NULL);
	doc = document_codec_json.decode(bytes, from, faults);
	revision = doc ? document_revision(doc) : 0;
	if (!doc) {
		ret = report_refused(ctx, "decode", from, 0, faults->str);
	} else if (s->bytes && revision < current &&
		   !MUTANT(ctx, "config-accept-older")) {
		counters_add(ctx->counters, "config_refused_total",
			     "reason=\"older\"", 1);
		ret = CS_ERR_STALE;
	} else if (s->bytes && revision == current) {
		ret = check_same_revision(ctx, doc, from);
	} else if (document_check(doc, faults)) {
		ret = report_refused(ctx, "check", from, revision, faults->str);
	} else {
		s->version = version;
		install_document(ctx, doc, bytes, from);
		doc = NULL;
		config_relay(ctx, peer);
	}
	g_string_free(faults, TRUE);
	document_destroy(doc);
	return ret;
}

static int create(struct part_ctx *ctx, struct cs_error *err)
{
	struct config_sync *s = g_new0(struct config_sync, 1);

	(void)err;
	s->doc = document_create();
	g_queue_init(&s->ops);
	ctx->parts.config = s;
	config_relay_create(ctx);
	return CS_OK;
}

/* Queued changes are dropped without calling their callbacks. */
static void destroy(struct part_ctx *ctx)
{
	struct config_sync *s = state(ctx);

	if (!s)
		return;
	config_ops_destroy(s);
	config_history_destroy(s);
	if (s->bytes)
		g_bytes_unref(s->bytes);
	document_destroy(s->doc);
	g_free(s->peers);
	g_free(s);
	ctx->parts.config = NULL;
}

/* Periodic work. The next tick is relative to the last due time: no drift. */
static void tick(void *arg, uint64_t unused, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct config_sync *s = state(ctx);

	(void)unused;
	s->next_tick += TICK;
	if (s->next_tick <= now)
		s->next_tick = now + TICK;
	timers_subscribe(ctx->timers, s->next_tick, tick, ctx, 0);
	config_elect(ctx);
	config_relay_tick(ctx);
	config_watch_tick(ctx);
	config_ops_tick(ctx);
}

/*
 * Initializes the times of last contact to now, so that an entry that starts
 * during an outage is not considered isolated at once.
 */
static void start(struct part_ctx *ctx)
{
	struct config_sync *s = state(ctx);

	s->platform_heard_at = ctx->now;
	s->remote_heard_at = ctx->now;
	s->holder_heard_at = ctx->now;
	config_read_document(ctx);
	config_elect(ctx);
	s->next_tick = ctx->now + TICK;
	timers_subscribe(ctx->timers, s->next_tick, tick, ctx, 0);
}

/* Any definite result, also a conflict, shows that the platform is up. */
static void update_platform_state(struct part_ctx *ctx,
				  const struct kv_done *done)
{
	struct config_sync *s = state(ctx);

	s->is_platform_up = done->result != KV_UNKNOWN &&
			    done->result != KV_UNAVAILABLE;
	if (s->is_platform_up)
		s->platform_heard_at = ctx->now;
}

/*
 * Dispatches a platform reply. The reply to the read that on_jump() requested
 * ends the refresh.
 */
static void on_kv(struct part_ctx *ctx, const struct kv_done *done)
{
	struct config_sync *s = state(ctx);
	const struct kv_row *row = config_find_row(done);
	bool is_refresh = s->refresh_token && done->token == s->refresh_token;

	update_platform_state(ctx, done);
	if (done->op == KV_WATCH) {
		config_watch_done(ctx, done);
		return;
	}
	if (done->token == s->probe_token)
		s->probe_token = 0;
	if (!config_ops_done(ctx, done) && done->op == KV_GET && row)
		config_accept_document(ctx, row->value, row->version, NULL);
	if (is_refresh && s->is_platform_up)
		config_end_refresh(s);
}

/*
 * The process was paused, so the document may be outdated: reads it again and
 * asks the other data centres. The silence of the watch holder is not counted,
 * since this entry could not receive its heartbeats.
 */
static void on_jump(struct part_ctx *ctx)
{
	struct config_sync *s = state(ctx);

	config_end_refresh(s);
	s->stale_since = ctx->now;
	s->holder_heard_at = ctx->now;
	s->refresh_token = config_read_document(ctx);
	config_query_remote(ctx);
}

static bool is_drained(struct part_ctx *ctx)
{
	return g_queue_is_empty(&state(ctx)->ops);
}

const struct document *config_sync_document(const struct part_ctx *ctx)
{
	return state(ctx)->doc;
}

bool config_sync_is_data_centre_out(const struct part_ctx *ctx,
				    const char *data_centre)
{
	const struct doc_data_centre *dc;

	dc = document_data_centre(state(ctx)->doc, data_centre);
	return dc && dc->is_out;
}

bool config_sync_is_isolated(const struct part_ctx *ctx)
{
	const struct config_sync *s = state(ctx);
	cs_time heard = MAX(s->platform_heard_at, s->remote_heard_at);

	return ctx->now - heard > ISOLATED_AFTER;
}

bool config_sync_is_fresh(const struct part_ctx *ctx)
{
	const struct config_sync *s = state(ctx);

	return !s->stale_since || ctx->now - s->stale_since >= REFRESH_TIMEOUT;
}

bool config_sync_is_platform_up(const struct part_ctx *ctx)
{
	return state(ctx)->is_platform_up;
}

uint64_t config_sync_peer_revision(const struct part_ctx *ctx, const char *peer,
				   cs_time *age)
{
	const struct config_peer *row = config_find_peer(state(ctx), peer);
	bool is_known = row && row->heard_at;

	if (age)
		*age = is_known ? ctx->now - row->heard_at : CS_TIME_NEVER;
	return is_known ? row->revision : 0;
}

const struct part_ops config_sync_part = {
	.name = "config",
	.create = create,
	.destroy = destroy,
	.start = start,
	.on_kv = on_kv,
	.on_peer = config_on_peer,
	.on_peer_state = config_on_peer_state,
	.on_jump = on_jump,
	.is_drained = is_drained,
};
