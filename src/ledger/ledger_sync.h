#ifndef LEDGER_SYNC_H
#define LEDGER_SYNC_H

#include "../entry/part.h"

/*
 * The permits of this entry for the upper limits of teams. A task may run
 * only while its permit is held. All state that must last is in the ledger
 * documents of the platform's service; see ledger.h for their rules.
 */

/*
 * Takes one permit of the team. CS_OK; CS_ERR_LIMIT if this entry has none
 * free (more are asked for in the background); CS_ERR_STALE while the ledger
 * must be read again after a pause; CS_ERR_MISSING for an unknown team.
 */
int ledger_sync_acquire(struct part_ctx *ctx, const char *team);

/* Gives one permit back after the task has certainly ended. */
void ledger_sync_release(struct part_ctx *ctx, const char *team);

/* Tells how many more permits the queued work of a team could use now. */
void ledger_sync_demand(struct part_ctx *ctx, const char *team, int waiting);

/* Permits held by this entry, in use or free. For status and tests. */
int ledger_sync_held(const struct part_ctx *ctx, const char *team);
int ledger_sync_used(const struct part_ctx *ctx, const char *team);

#endif
