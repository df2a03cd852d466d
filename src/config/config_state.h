#ifndef CONFIG_STATE_H
#define CONFIG_STATE_H

#include "config_sync.h"

/*
 * State of the configuration part and the functions shared by its files.
 * Included only by the config_*.c files.
 */

/* Key of the fleet document and the key prefix that is watched. */
#define CONFIG_KEY "config/fleet"
#define CONFIG_PREFIX "config/"

/* One other entry. */
struct config_peer {
	char id[CS_NAME_MAX];
	char data_centre[CS_NAME_MAX];
	bool is_local; /* in the same data centre as this entry */
	bool is_up;
	uint64_t incarnation;
	uint64_t revision; /* last one it reported to be in force */
	cs_time heard_at; /* time of that report; 0: none yet */
	bool holds_watch;
	cs_time last_sent_at; /* heartbeat or document */
	uint64_t document_sent_revision; /* last document sent to it */
	cs_time document_sent_at;
	cs_time behind_since; /* it reports an older revision; 0: it does not */
};

/* One revision that came into force at this entry. */
struct config_history_row {
	uint64_t revision;
	cs_time at;
	char change_id[DOCUMENT_CHANGE_ID_MAX];
	char *diff; /* from the previous revision, one line per difference */
};

#define CONFIG_HISTORY_MAX 64

struct config_op;

struct config_sync {
	struct document *doc; /* in force */
	GBytes *bytes; /* JSON encoding of doc; NULL before the first one */
	uint64_t version; /* of the row at the platform, 0 if unknown */

	struct config_peer *peers; /* sorted by id */
	size_t peers_nr;

	bool holds_watch; /* elected to watch for its data centre */
	bool is_holder_lost; /* connection to the elected peer was lost */
	cs_time holder_heard_at;
	uint64_t watch_token; /* of the pending watch call; 0: none */
	cs_time watch_sent_at;
	uint64_t watch_revision; /* platform revision to start from; 0: all */
	cs_handle watch_timer; /* retry after a failure */
	cs_time backoff;

	bool is_platform_up;
	cs_time platform_heard_at;
	cs_time remote_heard_at; /* last message from another data centre */
	uint64_t probe_token; /* 0: no probe is pending */
	cs_time probe_sent_at;

	/*
	 * After a clock jump the document may be outdated, until one of these
	 * two calls shows the newest revision.
	 */
	cs_time stale_since; /* 0: not stale */
	uint64_t refresh_token; /* read at the platform */
	uint64_t refresh_ref; /* heartbeat to other data centres */
	uint64_t refresh_revision; /* newer one that a peer reported, or 0 */

	uint64_t last_token, last_ref, last_change_nr;
	cs_time next_tick;
	cs_handle remote_timer; /* sends to other data centres; 0: not set */
	GQueue ops; /* struct config_op; only the head is in progress */

	struct config_history_row history[CONFIG_HISTORY_MAX];
	size_t history_nr; /* rows ever added */
};

/* config_sync.c */

/*
 * Decodes and checks a document. If it is newer, it is put in force, all parts
 * are notified, and it is relayed to the peers that its sender does not serve.
 * peer is the sender, or NULL for the platform. Returns CS_OK if the document
 * is now in force, CS_ERR_STALE if it is older, CS_ERR_INVALID if it was
 * refused.
 */
int config_accept_document(struct part_ctx *ctx, GBytes *bytes,
			   uint64_t version, const struct config_peer *peer);

/* Returns a unique token for a platform call. */
uint64_t config_new_token(struct part_ctx *ctx);

/* The document is known to be current again after a clock jump. */
void config_end_refresh(struct config_sync *s);

/* config_watch.c */

/* Requests the fleet document from the platform; returns the call's token. */
uint64_t config_read_document(struct part_ctx *ctx);

/* Returns the row of the fleet document in a reply, or NULL. */
const struct kv_row *config_find_row(const struct kv_done *done);

/* Claims the watch of this data centre if this entry is to hold it. */
void config_elect(struct part_ctx *ctx);

/* Gives up the watch in favor of another entry. */
void config_watch_yield(struct part_ctx *ctx);

/* Handles a reply to a watch call. */
void config_watch_done(struct part_ctx *ctx, const struct kv_done *done);

/* Periodic work of the holder: timeouts, restarts and probes. */
void config_watch_tick(struct part_ctx *ctx);

/* config_relay.c */

void config_relay_create(struct part_ctx *ctx);
struct config_peer *config_find_peer(const struct config_sync *s,
				     const char *id);

/*
 * Distributes the document in force. from is the peer that sent it, or NULL
 * if it came from the platform.
 */
void config_relay(struct part_ctx *ctx, const struct config_peer *from);

/* Sends a heartbeat to every connected peer of this data centre. */
void config_send_local_heartbeats(struct part_ctx *ctx);

/* Asks other data centres for their revision after a clock jump. */
void config_query_remote(struct part_ctx *ctx);
void config_relay_tick(struct part_ctx *ctx);
void config_on_peer(struct part_ctx *ctx, struct peer_msg *msg);
void config_on_peer_state(struct part_ctx *ctx, const struct peer_state *state);

/* config_change.c */

/* Handles a reply to a change in progress; false if it belongs to none. */
bool config_ops_done(struct part_ctx *ctx, const struct kv_done *done);
void config_ops_tick(struct part_ctx *ctx);
void config_ops_destroy(struct config_sync *s);

/* config_history.c */

void config_history_add(struct part_ctx *ctx, const struct document *before,
			const struct document *after);
void config_history_destroy(struct config_sync *s);

/* The change id of a revision, or NULL if it is not in the history. */
const char *config_history_change_id(const struct config_sync *s,
				     uint64_t revision);

/* Appends the differences after that revision that the history still has. */
void config_history_since(const struct config_sync *s, uint64_t revision,
			  GString *out);

#endif
