#include "config_state.h"

#include <string.h>

#include "../base/log.h"

/*
 * How long the platform holds a watch call that has nothing to report. If the
 * connection silently fails and no other data centre relays a change, this
 * wait, the margin and the backoff together must end within the 7 s in which
 * a change has to be in force (design 1.1). 11 data centres cost the platform
 * four calls a second.
 */
#define WATCH_WAIT_MS 3000

/* A watch with no reply this long after its wait is considered lost. */
#define WATCH_MARGIN (1500 * CS_MSEC)

/*
 * Delay before a failed watch is retried. Once the platform is back, the
 * longest one leaves 5 s of the 7 s in which a change must be in force.
 */
#define BACKOFF_MIN (200 * CS_MSEC)
#define BACKOFF_MAX (2 * CS_SEC)

/* A watch that ends sooner without rows is retried only after the backoff. */
#define WATCH_MIN_DURATION (1 * CS_SEC)

/* A follower takes over if no holder was heard for this long (design 3.3). */
#define HOLDER_TIMEOUT (2 * CS_SEC)

/*
 * A pending watch gives no sign of the platform for 3 s, but isolation must be
 * detected after 5 s. So a probe is sent this long after the last reply of the
 * platform or message of another data centre.
 */
#define PROBE_AFTER (1 * CS_SEC)

/* A call normally takes milliseconds; after this time it is lost, not slow. */
#define PROBE_TIMEOUT (2 * CS_SEC)

uint64_t config_read_document(struct part_ctx *ctx)
{
	uint64_t token = config_new_token(ctx);

	part_emit(ctx, part_kv_call(PART_CONFIG, KV_GET, CONFIG_KEY, token));
	return token;
}

const struct kv_row *config_find_row(const struct kv_done *done)
{
	bool has_many = done->op == KV_WATCH || done->op == KV_LIST;
	size_t i;

	for (i = 0; i < done->rows_nr; i++)
		if (done->rows[i].version && done->rows[i].value &&
		    !strcmp(has_many ? done->rows[i].key : done->key,
			    CONFIG_KEY))
			return &done->rows[i];
	return NULL;
}

/* Sends a watch call if this entry holds the watch and none is pending. */
static void start_watch(struct part_ctx *ctx)
{
	struct config_sync *s = ctx->parts.config;
	struct msg *msg;

	if (!s->holds_watch || s->watch_token || s->watch_timer)
		return;
	s->watch_token = config_new_token(ctx);
	s->watch_sent_at = ctx->now;
	msg = part_kv_call(PART_CONFIG, KV_WATCH, CONFIG_PREFIX,
			   s->watch_token);
	msg->u.kv_call.version = s->watch_revision;
	msg->u.kv_call.wait_ms = WATCH_WAIT_MS;
	part_emit(ctx, msg);
}

static void on_watch_timer(void *arg, uint64_t unused, cs_time now)
{
	struct part_ctx *ctx = arg;

	(void)unused;
	(void)now;
	ctx->parts.config->watch_timer = 0;
	start_watch(ctx);
}

/* Jitter keeps the holders from all calling at once after an outage. */
static void schedule_watch(struct part_ctx *ctx)
{
	struct config_sync *s = ctx->parts.config;
	cs_time wait;

	if (!s->holds_watch || s->watch_timer)
		return;
	s->backoff = CLAMP(2 * s->backoff, BACKOFF_MIN, BACKOFF_MAX);
	wait = s->backoff / 2 +
	       g_rand_int_range(ctx->rng, 0, (gint32)(s->backoff / 2));
	s->watch_timer = timers_subscribe(ctx->timers, ctx->now + wait,
					  on_watch_timer, ctx, 0);
}

/*
 * Rows are used even if the watch was abandoned: older revisions are refused
 * anyway. After a failure the next watch starts from revision 0, since it is
 * unknown which revisions the platform still has.
 */
void config_watch_done(struct part_ctx *ctx, const struct kv_done *done)
{
	struct config_sync *s = ctx->parts.config;
	const struct kv_row *row = config_find_row(done);
	bool is_too_short;

	if (row)
		config_accept_document(ctx, row->value, row->version, NULL);
	if (done->token != s->watch_token)
		return;
	s->watch_token = 0;
	if (done->result != KV_OK) {
		counters_add(ctx->counters, "config_watch_failures_total", "",
			     1);
		s->watch_revision = 0;
		schedule_watch(ctx);
		return;
	}
	is_too_short = !done->rows_nr &&
		       ctx->now - s->watch_sent_at < WATCH_MIN_DURATION;
	s->watch_revision = done->revision;
	if (is_too_short) {
		schedule_watch(ctx);
		return;
	}
	s->backoff = 0;
	start_watch(ctx);
}

static void log_watch_event(struct part_ctx *ctx, const char *event)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "event", event);
	part_event(ctx, LOG_INFO, "config_watch", NULL, NULL, pairs);
}

static void claim_watch(struct part_ctx *ctx)
{
	struct config_sync *s = ctx->parts.config;

	s->holds_watch = true;
	s->is_holder_lost = false;
	s->watch_revision = 0;
	s->backoff = 0;
	log_watch_event(ctx, "watch_claimed");
	start_watch(ctx);
	config_send_local_heartbeats(ctx);
}

/* The pending call is not cancelled; its reply is still used. */
void config_watch_yield(struct part_ctx *ctx)
{
	struct config_sync *s = ctx->parts.config;

	s->holds_watch = false;
	s->watch_token = 0;
	timers_cancel(ctx->timers, s->watch_timer);
	s->watch_timer = 0;
	log_watch_event(ctx, "watch_yielded");
}

/*
 * True if no peer of this data centre has a lower id; with only_up only
 * connected peers count.
 */
static bool has_lowest_id(const struct part_ctx *ctx, bool only_up)
{
	const struct config_sync *s = ctx->parts.config;
	size_t i;

	for (i = 0; i < s->peers_nr; i++)
		if (s->peers[i].is_local && (s->peers[i].is_up || !only_up) &&
		    strcmp(s->peers[i].id, ctx->options->id) < 0)
			return false;
	return true;
}

/*
 * The entry with the lowest id always claims the watch. If the connection to
 * the holder is lost, the lowest connected id claims it at once. All others
 * claim it only after HOLDER_TIMEOUT, in case that one does not.
 */
void config_elect(struct part_ctx *ctx)
{
	struct config_sync *s = ctx->parts.config;
	bool is_silent = ctx->now - s->holder_heard_at >= HOLDER_TIMEOUT;

	if (s->holds_watch)
		return;
	if (has_lowest_id(ctx, false)) {
		claim_watch(ctx);
		return;
	}
	if (MUTANT(ctx, "config-no-takeover"))
		return;
	if (is_silent || (s->is_holder_lost && has_lowest_id(ctx, true)))
		claim_watch(ctx);
}

/*
 * Sends a cheap call to check that the platform is up, if neither the platform
 * nor another data centre was heard from lately.
 */
static void probe_platform(struct part_ctx *ctx)
{
	struct config_sync *s = ctx->parts.config;
	cs_time heard = MAX(s->platform_heard_at, s->remote_heard_at);

	if (s->probe_token && ctx->now - s->probe_sent_at < PROBE_TIMEOUT)
		return;
	if (s->probe_token)
		s->is_platform_up = false;
	s->probe_token = 0;
	if (ctx->now - heard < PROBE_AFTER)
		return;
	s->probe_token = config_new_token(ctx);
	s->probe_sent_at = ctx->now;
	part_emit(ctx, part_kv_call(PART_CONFIG, KV_LIST, CONFIG_PREFIX "probe",
				    s->probe_token));
}

/* Considers a watch lost that is late by more than the margin. */
static void abandon_late_watch(struct part_ctx *ctx)
{
	struct config_sync *s = ctx->parts.config;
	cs_time age = ctx->now - s->watch_sent_at - WATCH_MARGIN;

	if (!s->watch_token || age <= WATCH_WAIT_MS * CS_MSEC)
		return;
	s->watch_token = 0;
	s->watch_revision = 0;
	counters_add(ctx->counters, "config_watch_failures_total", "", 1);
	s->is_platform_up = false;
	schedule_watch(ctx);
}

void config_watch_tick(struct part_ctx *ctx)
{
	struct config_sync *s = ctx->parts.config;

	if (!s->holds_watch)
		return;
	abandon_late_watch(ctx);
	start_watch(ctx);
	probe_platform(ctx);
}
