#ifndef TEAM_SHARE_H
#define TEAM_SHARE_H

#include "../entry/part.h"

/*
 * Fair sharing of the slots of a pool between teams. Each pool has a heap of
 * the teams with work waiting at this entry, ordered by slot time used
 * fleet-wide divided by the team's share, so the next team is found in O(log
 * n). The number of slots of a pool that this entry may use (its quota) is
 * computed from the demand that all entries report.
 */

/*
 * Returns the row of a team in a pool and adds it if there is none; 0 if the
 * table is full. weight is the team's share.
 */
cs_handle share_find_or_add_row(struct part_ctx *ctx, const char *pool,
				const char *team, int weight);

/* The team of a row, valid as long as the row; "" for a stale handle. */
const char *share_row_team(const struct part_ctx *ctx, cs_handle row);

/* Adds delta to the number of waiting requests of the row. */
void share_add_queued(struct part_ctx *ctx, cs_handle row, int delta);

/*
 * The row of the waiting team that used the least slot time per share of the
 * pool, or 0. Blocked teams are skipped.
 */
cs_handle share_next_row(struct part_ctx *ctx, const char *pool);

/* Skips a team that has no free permit until share_unblock(). */
void share_block(struct part_ctx *ctx, cs_handle row);
void share_unblock(struct part_ctx *ctx, cs_handle row);

/* Counts a task of the row that started, or that ended after slot_time. */
void share_task_started(struct part_ctx *ctx, cs_handle row);
void share_task_ended(struct part_ctx *ctx, cs_handle row, cs_time slot_time);

/*
 * The quota of this entry: how many of the total slots of the pool in this data
 * centre it may use. All of them while no work waits in the data centre.
 */
int share_quota(const struct part_ctx *ctx, const char *pool, int total);

/*
 * The other data centre with the most unused slots of the pool, by the last
 * summaries, or NULL if none has any. For work that can't start here.
 */
const char *share_spare_data_centre(const struct part_ctx *ctx,
				    const char *pool);

/*
 * Tasks of all teams queued and running in the pool in that data centre, by the
 * last summaries.
 */
int share_pool_demand(const struct part_ctx *ctx, const char *pool,
		      const char *data_centre);

/* Decayed slot time of a team in a pool, fleet-wide, in ms. For status. */
int64_t share_usage_ms(struct part_ctx *ctx, const char *pool,
		       const char *team);

#endif
