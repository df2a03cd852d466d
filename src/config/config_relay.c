#include "config_state.h"

#include <stdlib.h>
#include <string.h>

#include "../base/error.h"

/*
 * A peer to which nothing was sent for this long gets a heartbeat, that is, at
 * every second tick of 500 ms. The peer task closes a connection after 2 s of
 * silence.
 */
#define IDLE_HEARTBEAT_AFTER (750 * CS_MSEC)

/* A document that is not acknowledged is sent again after this time. */
#define RESEND_DELAY (2 * CS_SEC)

/*
 * A peer with an older revision gets the document from the entry responsible
 * for it. All other entries wait this long first, so that it normally does not
 * get a copy from each.
 */
#define FALLBACK_SEND_DELAY (1 * CS_SEC)

/*
 * Each data centre has its own watch and usually gets a new document from the
 * platform within milliseconds. So other data centres are sent only the new
 * revision, and the document itself only if they have not reported that
 * revision after this time.
 */
#define REMOTE_SEND_DELAY (200 * CS_MSEC)

/*
 * The watch holder reports the platform as up only if the last sign of it or
 * of another data centre is at most this old: the probe interval plus the delay
 * of a tick.
 */
#define HOLDER_REPLY_MAX_AGE (2 * CS_SEC)

static int compare_peers(const void *a, const void *b)
{
	const struct config_peer *x = a, *y = b;

	return strcmp(x->id, y->id);
}

void config_relay_create(struct part_ctx *ctx)
{
	struct config_sync *s = ctx->parts.config;
	const struct entry_options *options = ctx->options;
	size_t i;

	s->peers = g_new0(struct config_peer, options->peers_nr);
	for (i = 0; i < options->peers_nr; i++) {
		const struct entry_peer *peer = &options->peers[i];
		struct config_peer *row = &s->peers[s->peers_nr];

		if (!strcmp(peer->id, options->id))
			continue;
		cs_copy(row->id, sizeof(row->id), peer->id);
		cs_copy(row->data_centre, sizeof(row->data_centre),
			peer->data_centre);
		row->is_local =
			!strcmp(peer->data_centre, options->data_centre);
		s->peers_nr++;
	}
	if (s->peers_nr)
		qsort(s->peers, s->peers_nr, sizeof(*s->peers), compare_peers);
}

struct config_peer *config_find_peer(const struct config_sync *s,
				     const char *id)
{
	size_t i;

	for (i = 0; i < s->peers_nr; i++)
		if (!strcmp(s->peers[i].id, id))
			return &s->peers[i];
	return NULL;
}

/*
 * True if the peer is the contact of its data centre: the connected entry with
 * the lowest id, which gets new revisions from other data centres.
 */
static bool is_contact(const struct config_sync *s,
		       const struct config_peer *peer)
{
	const struct config_peer *p;

	for (p = s->peers; p < peer; p++)
		if (p->is_up && !strcmp(p->data_centre, peer->data_centre))
			return false;
	return true;
}

static bool is_own_contact(const struct part_ctx *ctx)
{
	const struct config_sync *s = ctx->parts.config;
	size_t i;

	for (i = 0; i < s->peers_nr; i++)
		if (s->peers[i].is_local && s->peers[i].is_up &&
		    strcmp(s->peers[i].id, ctx->options->id) < 0)
			return false;
	return true;
}

/*
 * Followers rely on the holder's heartbeat to know that the platform is up, so
 * the holder must not report this when its last reply is old and it may be
 * isolated itself.
 */
static bool can_report_platform_up(const struct part_ctx *ctx)
{
	const struct config_sync *s = ctx->parts.config;
	cs_time heard = MAX(s->platform_heard_at, s->remote_heard_at);

	return s->is_platform_up && ctx->now - heard <= HOLDER_REPLY_MAX_AGE;
}

/*
 * Tells a peer which revision is in force here and whether this entry holds the
 * watch. If ref is not 0, the peer returns it in an acknowledgement, which
 * shows that the revision in it was in force after this heartbeat was sent.
 */
static void send_heartbeat(struct part_ctx *ctx, struct config_peer *peer,
			   uint64_t ref)
{
	const struct config_sync *s = ctx->parts.config;
	struct msg *msg = part_peer_msg(PEER_HEARTBEAT, peer->id);

	msg->u.peer.ref = ref;
	msg->u.peer.u.heartbeat.revision = document_revision(s->doc);
	msg->u.peer.u.heartbeat.holds_watch = s->holds_watch;
	msg->u.peer.u.heartbeat.platform_up = can_report_platform_up(ctx);
	msg->u.peer.u.heartbeat.is_draining = ctx->is_draining;
	peer->last_sent_at = ctx->now;
	part_emit(ctx, msg);
}

/* Sends the encoded document in force, if there is one yet. */
static void send_document(struct part_ctx *ctx, struct config_peer *peer)
{
	const struct config_sync *s = ctx->parts.config;
	struct msg *msg;

	if (!s->bytes || MUTANT(ctx, "config-no-relay"))
		return;
	msg = part_peer_msg(PEER_CONFIG, peer->id);
	msg->u.peer.u.config.revision = document_revision(s->doc);
	msg->u.peer.u.config.version = s->version;
	msg->u.peer.u.config.document = g_bytes_ref(s->bytes);
	peer->document_sent_revision = document_revision(s->doc);
	peer->document_sent_at = ctx->now;
	peer->last_sent_at = ctx->now;
	counters_add(ctx->counters, "config_documents_sent_total", "", 1);
	part_emit(ctx, msg);
}

static void send_ack(struct part_ctx *ctx, struct config_peer *peer,
		     uint64_t ref)
{
	struct msg *msg = part_peer_msg(PEER_CONFIG_ACK, peer->id);

	msg->u.peer.ref = ref;
	msg->u.peer.u.config_ack.revision =
		document_revision(ctx->parts.config->doc);
	part_emit(ctx, msg);
}

/* Sends the document to remote contacts that have not reported its revision. */
static void on_remote_timer(void *arg, uint64_t unused, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct config_sync *s = ctx->parts.config;
	size_t i;

	(void)unused;
	ctx->now = now;
	s->remote_timer = 0;
	for (i = 0; i < s->peers_nr; i++) {
		struct config_peer *peer = &s->peers[i];

		if (peer->is_up && !peer->is_local && is_contact(s, peer) &&
		    peer->revision < document_revision(s->doc) &&
		    peer->document_sent_revision != document_revision(s->doc))
			send_document(ctx, peer);
	}
}

/* Sends the new revision to remote contacts; see REMOTE_SEND_DELAY. */
static void announce_to_remote(struct part_ctx *ctx)
{
	struct config_sync *s = ctx->parts.config;
	size_t i;

	for (i = 0; i < s->peers_nr; i++)
		if (s->peers[i].is_up && !s->peers[i].is_local &&
		    is_contact(s, &s->peers[i]))
			send_heartbeat(ctx, &s->peers[i], 0);
	if (!s->remote_timer)
		s->remote_timer = timers_subscribe(ctx->timers,
						   ctx->now + REMOTE_SEND_DELAY,
						   on_remote_timer, ctx, 0);
}

/*
 * A document from a local peer needs no relaying: its sender has sent it to the
 * whole data centre. One from a remote peer is relayed within this data centre
 * only.
 */
void config_relay(struct part_ctx *ctx, const struct config_peer *from)
{
	struct config_sync *s = ctx->parts.config;
	uint64_t revision = document_revision(s->doc);
	size_t i;

	if (from && from->is_local)
		return;
	for (i = 0; i < s->peers_nr; i++) {
		struct config_peer *peer = &s->peers[i];

		if (peer->is_up && peer->is_local && peer->revision < revision)
			send_document(ctx, peer);
	}
	if (!from)
		announce_to_remote(ctx);
}

void config_send_local_heartbeats(struct part_ctx *ctx)
{
	struct config_sync *s = ctx->parts.config;
	size_t i;

	for (i = 0; i < s->peers_nr; i++)
		if (s->peers[i].is_local && s->peers[i].is_up)
			send_heartbeat(ctx, &s->peers[i], 0);
}

/* A heartbeat with a ref is acknowledged at once, with the same ref. */
void config_query_remote(struct part_ctx *ctx)
{
	struct config_sync *s = ctx->parts.config;
	size_t i;

	s->refresh_ref = ++s->last_ref;
	for (i = 0; i < s->peers_nr; i++) {
		struct config_peer *peer = &s->peers[i];

		if (!peer->is_local && peer->is_up && is_contact(s, peer))
			send_heartbeat(ctx, peer, s->refresh_ref);
	}
}

void config_relay_tick(struct part_ctx *ctx)
{
	struct config_sync *s = ctx->parts.config;
	size_t i;

	for (i = 0; i < s->peers_nr; i++) {
		struct config_peer *peer = &s->peers[i];
		bool is_heartbeat_due = peer->is_local || is_contact(s, peer) ||
					ctx->now - peer->last_sent_at >=
						IDLE_HEARTBEAT_AFTER;

		if (peer->is_up && is_heartbeat_due)
			send_heartbeat(ctx, peer, 0);
	}
}

/*
 * Handles a peer that reported an older revision: sends it the document if this
 * entry is responsible for it, or if the responsible one has not done so.
 */
static void send_to_peer_behind(struct part_ctx *ctx, struct config_peer *peer)
{
	struct config_sync *s = ctx->parts.config;
	bool is_responsible = peer->is_local ? s->holds_watch :
					       is_own_contact(ctx) &&
						       is_contact(s, peer);
	bool is_sent = peer->document_sent_revision ==
			       document_revision(s->doc) &&
		       ctx->now - peer->document_sent_at < RESEND_DELAY;

	if (!peer->behind_since)
		peer->behind_since = ctx->now;
	if (is_sent)
		return;
	/* Its own watch probably delivers it; if not, the timer sends it. */
	if (!peer->is_local && s->remote_timer)
		return;
	if (is_responsible ||
	    ctx->now - peer->behind_since >= FALLBACK_SEND_DELAY)
		send_document(ctx, peer);
}

/*
 * Records the revision that a peer reported to be in force. If it is newer, a
 * heartbeat shows the peer that we are behind, so that it sends its document;
 * if it is older, we send ours.
 */
static void update_peer_revision(struct part_ctx *ctx, struct config_peer *peer,
				 uint64_t revision)
{
	uint64_t own = document_revision(ctx->parts.config->doc);

	peer->revision = revision;
	peer->heard_at = ctx->now;
	if (revision >= own)
		peer->behind_since = 0;
	if (revision > own)
		send_heartbeat(ctx, peer, 0);
	else if (revision < own)
		send_to_peer_behind(ctx, peer);
}

/*
 * Handles a heartbeat from a holder of this data centre's watch. Of two holders
 * the one with the higher id yields.
 */
static void on_holder_heartbeat(struct part_ctx *ctx,
				const struct config_peer *peer,
				bool is_platform_up)
{
	struct config_sync *s = ctx->parts.config;

	s->is_holder_lost = false;
	s->holder_heard_at = ctx->now;
	if (s->holds_watch) {
		if (strcmp(peer->id, ctx->options->id) < 0)
			config_watch_yield(ctx);
		return;
	}
	s->is_platform_up = is_platform_up;
	if (is_platform_up)
		s->platform_heard_at = MAX(s->platform_heard_at,
					   ctx->now - HOLDER_REPLY_MAX_AGE);
}

/*
 * Only a holder in this data centre matters for the election: each data centre
 * has its own watch.
 */
static void on_heartbeat(struct part_ctx *ctx, struct config_peer *peer,
			 struct peer_msg *msg)
{
	peer->holds_watch = msg->u.heartbeat.holds_watch;
	if (peer->is_local && peer->holds_watch)
		on_holder_heartbeat(ctx, peer, msg->u.heartbeat.platform_up);
	update_peer_revision(ctx, peer, msg->u.heartbeat.revision);
	if (msg->ref)
		send_ack(ctx, peer, msg->ref);
}

static void on_config(struct part_ctx *ctx, struct config_peer *peer,
		      struct peer_msg *msg)
{
	if (!msg->u.config.document)
		return;
	/* The sender has this revision: it must not be sent back. */
	peer->revision = msg->u.config.revision;
	peer->heard_at = ctx->now;
	config_accept_document(ctx, msg->u.config.document,
			       msg->u.config.version, peer);
	send_ack(ctx, peer, msg->ref);
}

/*
 * An acknowledgement of our query after a clock jump ends the refresh,
 * unless it reports a newer revision, which must arrive first.
 */
static void on_ack(struct part_ctx *ctx, struct config_peer *peer,
		   struct peer_msg *msg)
{
	struct config_sync *s = ctx->parts.config;

	update_peer_revision(ctx, peer, msg->u.config_ack.revision);
	if (!msg->ref || msg->ref != s->refresh_ref)
		return;
	if (peer->revision <= document_revision(s->doc))
		config_end_refresh(s);
	else
		s->refresh_revision = peer->revision;
}

static void (*const peer_handlers[PEER_KIND_NR])(struct part_ctx *ctx,
						 struct config_peer *peer,
						 struct peer_msg *msg) = {
	[PEER_HEARTBEAT] = on_heartbeat,
	[PEER_CONFIG] = on_config,
	[PEER_CONFIG_ACK] = on_ack,
};

void config_on_peer(struct part_ctx *ctx, struct peer_msg *msg)
{
	struct config_sync *s = ctx->parts.config;
	struct config_peer *peer = config_find_peer(s, msg->peer);

	if (!peer || (unsigned)msg->kind >= PEER_KIND_NR ||
	    !peer_handlers[msg->kind]) {
		counters_add(ctx->counters, "config_unknown_peers_total", "",
			     1);
		return;
	}
	if (!peer->is_local)
		s->remote_heard_at = ctx->now;
	peer_handlers[msg->kind](ctx, peer, msg);
}

void config_on_peer_state(struct part_ctx *ctx, const struct peer_state *state)
{
	struct config_sync *s = ctx->parts.config;
	struct config_peer *peer = config_find_peer(s, state->peer);

	if (!peer)
		return;
	peer->is_up = state->is_up;
	if (state->is_up) {
		/* What was sent on the old connection may be lost. */
		peer->document_sent_revision = 0;
		peer->behind_since = 0;
		if (peer->incarnation != state->incarnation)
			peer->revision = 0;
		peer->incarnation = state->incarnation;
		send_heartbeat(ctx, peer, 0);
		return;
	}
	if (peer->is_local && peer->holds_watch)
		s->is_holder_lost = true;
	peer->holds_watch = false;
	config_elect(ctx);
}
