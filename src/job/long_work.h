#ifndef JOB_LONG_WORK_H
#define JOB_LONG_WORK_H

#include "../entry/part.h"

/*
 * Long work: recorded before it is acknowledged, run under a renewed lease,
 * and adopted by another entry when its owner is gone.
 */

/* Takes over an admitted long request; replies through the outbox. */
void long_work_submit(struct part_ctx *ctx, const struct submit *submit,
		      const char *team, const char *pool);

/*
 * Starts the oldest waiting job of the team in the pool. Called when it is
 * the team's turn. CS_OK, or the code that kept it from starting, as
 * fleet_place() and ledger_sync_acquire() give it; CS_ERR_MISSING if none
 * waits.
 */
int long_work_start_one(struct part_ctx *ctx, const char *pool,
			const char *team);

/* Long jobs owned by this entry. */
int long_work_count(const struct part_ctx *ctx);

#endif
