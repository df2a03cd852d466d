#ifndef CONFIG_SYNC_H
#define CONFIG_SYNC_H

#include "../entry/part.h"

/*
 * Keeps this entry's copy of the fleet document up to date. In each data
 * centre one elected entry watches the platform and relays new revisions to
 * the others. Also applies operators' changes and tracks which revision each
 * peer has in force.
 */

/* The document in force at this entry; revision 0 until one is received. */
const struct document *config_sync_document(const struct part_ctx *ctx);

/* True if operators have taken that data centre out of service. */
bool config_sync_is_data_centre_out(const struct part_ctx *ctx,
				    const char *data_centre);

/*
 * True if there was no sign of the platform and no message from another data
 * centre for 5 s, so that this entry may have missed a change.
 */
bool config_sync_is_isolated(const struct part_ctx *ctx);

/*
 * False after a clock jump until the platform or an entry of another data
 * centre has answered, for at most 1 s. The process may have missed a change
 * while it was paused, so no new work should start before.
 */
bool config_sync_is_fresh(const struct part_ctx *ctx);

/* True if the platform answered the last call, here or at the watch holder. */
bool config_sync_is_platform_up(const struct part_ctx *ctx);

typedef void (*config_change_done_fn)(struct part_ctx *ctx, uint64_t ref,
				      int code, uint64_t revision,
				      const char *detail);

/*
 * Applies changes to the newest document by compare-and-swap and calls fn
 * once with the result, unless the part is destroyed before:
 *
 * CS_OK            revision is the accepted one, detail lists the differences
 * CS_ERR_CONFLICT  expected is neither 0 nor the current revision, or other
 *                  writers were faster too often; detail lists what they
 *                  changed
 * CS_ERR_INVALID   detail lists every fault
 * CS_ERR_IO        the platform can't be reached
 * CS_ERR_TIMEOUT   it is unknown whether the write took effect
 * CS_ERR_FULL      too many changes are queued; called before this returns
 *
 * A change without any difference, or with is_dry_run, writes nothing. Changes
 * of one entry are made one at a time, in order. changes is copied; detail is
 * valid only during the call of fn.
 */
void config_sync_change(struct part_ctx *ctx, uint64_t ref,
			const struct change *changes, size_t nr,
			uint64_t expected, bool is_dry_run,
			config_change_done_fn fn);

/* Like config_sync_change(), but replaces the whole document with a copy. */
void config_sync_replace(struct part_ctx *ctx, uint64_t ref,
			 const struct document *doc, uint64_t expected,
			 bool is_dry_run, config_change_done_fn fn);

/*
 * The revision that a peer last reported to be in force, 0 if unknown. age,
 * if not NULL, is set to the time since that report, or CS_TIME_NEVER.
 */
uint64_t config_sync_peer_revision(const struct part_ctx *ctx, const char *peer,
				   cs_time *age);

/*
 * Appends the last 64 revisions that came into force here, newest first, as
 * [{"revision","change_id","time_us","age_ms","diff":[...]}, ...]. time_us
 * counts from the boot of the host.
 */
void config_sync_history(const struct part_ctx *ctx, GString *json);

#endif
