#ifndef CONFIG_STATE_H
#define CONFIG_STATE_H

#include "config_sync.h"

/*
 * The state of the config part and the functions that its files share. Only
 * the config_*.c files include this.
 */

/* Key of the fleet document, and the prefix that the watch covers. */
#define CONFIG_KEY "config/fleet"
#define CONFIG_PREFIX "config/"

/* One other entry. */
struct config_peer {
	char id[CS_NAME_MAX];
	char data_centre[CS_NAME_MAX];
	bool is_local; /* in the data centre of this entry */
	bool is_up;
	uint64_t incarnation;
	uint64_t revision; /* in force there, as last heard */
	cs_time heard_at; /* of that revision; 0: never */
	bool holds_watch;
	cs_time last_sent_at; /* last message to it */
	uint64_t document_sent_revision; /* of the last document sent to it */
	cs_time document_sent_at;
	cs_time behind_since; /* 0: not behind */
};

/* One revision that came into force here. */
struct config_history_row {
	uint64_t revision;
	cs_time at;
	char change_id[DOCUMENT_CHANGE_ID_MAX];
	char *diff; /* lines */
};

#define CONFIG_HISTORY_MAX 64

struct config_op;

struct config_sync {
	struct document *doc; /* in force */
	GBytes *bytes; /* its encoding; NULL until one is known */
	uint64_t version; /* of the platform's row, 0 if unknown */

	struct config_peer *peers; /* sorted by id */
	size_t peers_nr;

	bool holds_watch;
	bool is_holder_lost; /* its connection ended */
	cs_time holder_heard_at;
	uint64_t watch_token; /* 0: no watch waits */
	cs_time watch_sent_at;
	uint64_t watch_revision; /* of the platform; 0 reads all */
	cs_handle watch_timer; /* of the next try */
	cs_time backoff;

	bool is_platform_up;
	cs_time platform_heard_at;
	cs_time remote_heard_at; /* an entry of another data centre */
	uint64_t probe_token;
	cs_time probe_sent_at;

	cs_time stale_since; /* 0: fresh */
	uint64_t refresh_token; /* the read that makes fresh */
	uint64_t refresh_ref; /* the question to peers that makes fresh */
	uint64_t refresh_revision; /* the answer named this newer one, or 0 */

	uint64_t last_token, last_ref, last_change_nr;
	cs_time next_tick;
	cs_handle remote_timer; /* 0: no document waits to go outside */
	GQueue ops; /* struct config_op, the first one at work */

	struct config_history_row history[CONFIG_HISTORY_MAX];
	size_t history_nr; /* rows ever added */
};

/* config_sync.c */

/*
 * Judges an encoded document. A newer one comes into force: parts are told
 * and it is relayed, unless peer, from whom it came, has done so. peer is
 * NULL for a document from the platform. CS_OK if it is in force now;
 * CS_ERR_STALE if it is older; CS_ERR_INVALID if it was refused.
 */
int config_accept_document(struct part_ctx *ctx, GBytes *bytes,
			   uint64_t version, const struct config_peer *peer);

/* A token for a platform call that no other call has. */
uint64_t config_new_token(struct part_ctx *ctx);

/* Ends the time after a clock jump in which the document may be outdated. */
void config_end_refresh(struct config_sync *s);

/* config_watch.c */

/* Reads the fleet document and returns the token of the call. */
uint64_t config_read_document(struct part_ctx *ctx);

/* The row of the fleet document in an answer, or NULL. */
const struct kv_row *config_find_row(const struct kv_done *done);

/* Claims or leaves the watch, according to what the peers say. */
void config_elect(struct part_ctx *ctx);
void config_watch_yield(struct part_ctx *ctx);

/* An answer to the watch; the periodic work of the watch. */
void config_watch_done(struct part_ctx *ctx, const struct kv_done *done);
void config_watch_tick(struct part_ctx *ctx);

/* config_relay.c */

void config_relay_create(struct part_ctx *ctx);
struct config_peer *config_find_peer(const struct config_sync *s,
				     const char *id);

/* Sends the document in force on; from is the peer that sent it, or NULL. */
void config_relay(struct part_ctx *ctx, const struct config_peer *from);

/* A heartbeat to every peer of this data centre, at once. */
void config_heartbeat_local(struct part_ctx *ctx);

/* Asks the other data centres after a clock jump. */
void config_query_remote(struct part_ctx *ctx);
void config_relay_tick(struct part_ctx *ctx);
void config_on_peer(struct part_ctx *ctx, struct peer_msg *msg);
void config_on_peer_state(struct part_ctx *ctx, const struct peer_state *state);

/* config_change.c */

/* Returns false if no change waits for this answer. */
bool config_ops_done(struct part_ctx *ctx, const struct kv_done *done);
void config_ops_tick(struct part_ctx *ctx);
void config_ops_destroy(struct config_sync *s);

/* config_history.c */

void config_history_add(struct part_ctx *ctx, const struct document *before,
			const struct document *after);
void config_history_destroy(struct config_sync *s);

/* The change that wrote a revision, or NULL if it is not remembered. */
const char *config_history_change_id(const struct config_sync *s,
				     uint64_t revision);

/* Appends the differences since that revision, as far as remembered. */
void config_history_since(const struct config_sync *s, uint64_t revision,
			  GString *out);

#endif
