#ifndef JOB_LONG_WORK_H
#define JOB_LONG_WORK_H

#include "../entry/part.h"

/*
 * Long work: jobs are recorded before they are acknowledged, run under a lease
 * that is renewed, and are adopted by another entry if their owner is lost.
 */

/* Creates the job of an admitted request; the reply goes to the outbox. */
void long_work_submit(struct part_ctx *ctx, const struct submit *submit,
		      const char *team, const char *pool);

/*
 * Starts the oldest waiting job of the team in the pool. Returns CS_OK, an
 * error of fleet_place() or ledger_sync_acquire_for(), or CS_ERR_MISSING if no
 * job waits.
 */
int long_work_start_one(struct part_ctx *ctx, const char *pool,
			const char *team);

/* Long jobs owned by this entry. */
int long_work_count(const struct part_ctx *ctx);

#endif
