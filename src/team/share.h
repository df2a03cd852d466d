#ifndef TEAM_SHARE_H
#define TEAM_SHARE_H

#include "../entry/part.h"

/*
 * Fair sharing of a full pool. Each pool has a heap of the teams with work
 * waiting here, ordered by slot time used fleet-wide per share, so the next
 * team is found in O(log n). How many slots of a pool this entry may fill is
 * worked out from the demand that all entries report.
 */

/* The row of a team in a pool, made at first use; weight is the share. */
cs_handle share_row(struct part_ctx *ctx, const char *pool, const char *team,
		    int weight);

/* The team of a row; valid while the row is. "" for a stale handle. */
const char *share_row_team(const struct part_ctx *ctx, cs_handle row);

/* Requests of the row that began or ceased to wait. */
void share_queued(struct part_ctx *ctx, cs_handle row, int delta);

/*
 * The waiting team whose turn it is in the pool, or 0. Teams that are
 * blocked are passed over.
 */
cs_handle share_next(struct part_ctx *ctx, const char *pool);

/* Passes a team over until share_unblock(): it has no permit free. */
void share_block(struct part_ctx *ctx, cs_handle row);
void share_unblock(struct part_ctx *ctx, cs_handle row);

/* A task of the row began, or ended after slot_time. */
void share_started(struct part_ctx *ctx, cs_handle row);
void share_ended(struct part_ctx *ctx, cs_handle row, cs_time slot_time);

/*
 * Slots out of total of the pool in this data centre that this entry may
 * fill. All of them while nobody in the data centre has work waiting.
 */
int share_quota(const struct part_ctx *ctx, const char *pool, int total);

/*
 * A data centre with slots of the pool to spare, by the last summaries, or
 * NULL. For work that can't start here.
 */
const char *share_spare_data_centre(const struct part_ctx *ctx,
				    const char *pool);

/*
 * Tasks queued and running in the pool, of all teams and entries, in that
 * data centre, by the last summaries.
 */
int share_pool_demand(const struct part_ctx *ctx, const char *pool,
		      const char *data_centre);

/* Decayed slot time of a team in a pool fleet-wide, in ms. For status. */
int64_t share_usage_ms(struct part_ctx *ctx, const char *pool,
		       const char *team);

#endif
