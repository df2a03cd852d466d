#ifndef CONFIG_SYNC_H
#define CONFIG_SYNC_H

#include "../entry/part.h"

/*
 * Keeps the fleet document of this entry up to date: watches the platform or
 * listens to the peer that does, relays, and counts acknowledgements.
 */

/* The document in force here. Never NULL; revision 0 until one is known. */
const struct document *config_sync_document(const struct part_ctx *ctx);

/* True if operators have taken this entry's data centre out. */
bool config_sync_is_out(const struct part_ctx *ctx, const char *data_centre);

/*
 * True if neither the platform nor any entry of another data centre has been
 * heard for 5 s: a change may exist that this entry can't know.
 */
bool config_sync_is_isolated(const struct part_ctx *ctx);

/*
 * False for at most 1 s after a clock jump, until the platform or an entry of
 * another data centre has answered: the process may have missed a change
 * while it was paused, so no new work should start before.
 */
bool config_sync_is_fresh(const struct part_ctx *ctx);

/* True if the last call of the platform was answered. */
bool config_sync_platform_up(const struct part_ctx *ctx);

typedef void (*config_changed_fn)(struct part_ctx *ctx, uint64_t ref, int code,
				  uint64_t revision, const char *detail);

/*
 * Applies changes to the newest document by compare-and-swap. fn is called
 * once: CS_OK with the accepted revision; CS_ERR_CONFLICT if expected is not
 * 0 and not the present revision, detail holding the difference;
 * CS_ERR_INVALID with every fault; CS_ERR_IO if the platform is down;
 * CS_ERR_TIMEOUT if the outcome could not be determined; CS_ERR_FULL, from
 * within the call, if too many changes wait. On success detail holds the
 * difference that was made; a change that makes none writes nothing. With
 * is_dry_run nothing is written. Changes of one entry are made one at a time,
 * in order.
 */
void config_sync_change(struct part_ctx *ctx, uint64_t ref,
			const struct change *changes, size_t nr,
			uint64_t expected, bool is_dry_run,
			config_changed_fn fn);

/* The same for a whole document, which becomes the next revision. */
void config_sync_replace(struct part_ctx *ctx, uint64_t ref,
			 const struct document *doc, uint64_t expected,
			 bool is_dry_run, config_changed_fn fn);

/* Revision in force at a peer as last heard, 0 if unknown; and its age. */
uint64_t config_sync_peer_revision(const struct part_ctx *ctx, const char *peer,
				   cs_time *age);

/*
 * Appends the last 64 revisions that came into force here, the newest first:
 * [{"revision","change_id","time_us","age_ms","diff":[...]}, ...]. The time is
 * that of the core, which counts from the start of the host.
 */
void config_sync_history(const struct part_ctx *ctx, GString *json);

#endif
