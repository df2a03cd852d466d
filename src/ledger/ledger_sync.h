#ifndef LEDGER_SYNC_H
#define LEDGER_SYNC_H

#include "../entry/part.h"

/*
 * The permits that this entry holds under the upper limits of teams. A task
 * may run only while it has a permit. All persistent state is in the ledger
 * documents of the platform's service; see ledger.h for their rules.
 */

/* The longest run that a permit can be acquired for: the longest deadline. */
#define LEDGER_RUN_MAX_MS INT64_C(86400000)

/*
 * Acquires one permit of the team for a task that has certainly ended run_ms
 * milliseconds from now, even if this entry fails: its deadline or its
 * worker's lease ends it. Returns CS_OK or one of these errors:
 *
 * - CS_ERR_LIMIT: this entry has no free permit. More are requested in the
 *   background, and dispatch_process_all_pools() is called when they arrive.
 * - CS_ERR_STALE: the ledger must be read again after a pause of the process,
 *   the document is not known, or this incarnation was marked as dead or
 *   replaced.
 * - CS_ERR_MISSING: the fleet document has no such team.
 * - CS_ERR_INVALID: run_ms is outside 1 to LEDGER_RUN_MAX_MS.
 *
 * The first longer run after short ones waits for a write, because the permits
 * of a dead entry are reclaimed after the longest run that its document row
 * allows.
 */
int ledger_sync_acquire_for(struct part_ctx *ctx, const char *team,
			    int64_t run_ms);

/* Acquires a permit for a task of unknown length: LEDGER_RUN_MAX_MS. */
int ledger_sync_acquire(struct part_ctx *ctx, const char *team);

/* Releases one permit after the task has certainly ended. */
void ledger_sync_release(struct part_ctx *ctx, const char *team);

/* Sets how many more permits the queued work of a team could use now. */
void ledger_sync_set_demand(struct part_ctx *ctx, const char *team,
			    int waiting);

/* Permits held by this entry, and how many are in use; for status and tests. */
int ledger_sync_held(const struct part_ctx *ctx, const char *team);
int ledger_sync_used(const struct part_ctx *ctx, const char *team);

#endif
