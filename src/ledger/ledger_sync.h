#ifndef LEDGER_SYNC_H
#define LEDGER_SYNC_H

#include "../entry/part.h"

/*
 * The permits of this entry for the upper limits of teams. A task may run
 * only while its permit is held. All state that must last is in the ledger
 * documents of the platform's service; see ledger.h for their rules.
 */

/* The longest run that a permit can be taken for: the longest deadline. */
#define LEDGER_RUN_MAX_MS INT64_C(86400000)

/*
 * Takes one permit of the team for a task that has certainly ended run_ms
 * milliseconds from now, whatever becomes of this entry: its deadline or its
 * worker's lease ends it. CS_OK; CS_ERR_LIMIT if this entry has none free
 * (more are asked for in the background, and dispatch_kick_all() is called
 * when they arrive); CS_ERR_STALE while the ledger must be read again after a
 * pause; CS_ERR_MISSING for an unknown team; CS_ERR_INVALID for a run_ms
 * outside 1 to LEDGER_RUN_MAX_MS. The first longer run after short ones waits
 * for a write, because the permits of a dead entry return after the longest
 * run that its document row allows.
 */
int ledger_sync_acquire_for(struct part_ctx *ctx, const char *team,
			    int64_t run_ms);

/* The same for a task of unknown length: LEDGER_RUN_MAX_MS. */
int ledger_sync_acquire(struct part_ctx *ctx, const char *team);

/* Gives one permit back after the task has certainly ended. */
void ledger_sync_release(struct part_ctx *ctx, const char *team);

/* Tells how many more permits the queued work of a team could use now. */
void ledger_sync_demand(struct part_ctx *ctx, const char *team, int waiting);

/* Permits held by this entry, in use or free. For status and tests. */
int ledger_sync_held(const struct part_ctx *ctx, const char *team);
int ledger_sync_used(const struct part_ctx *ctx, const char *team);

#endif
