#ifndef TEAM_SHARE_H
#define TEAM_SHARE_H

#include "../entry/part.h"

/*
 * Fair sharing of a full pool: which team gets the next free slot, and how
 * many slots of a pool this entry may use next to the others.
 */

/* A team with work waiting at this entry, as dispatch offers it. */
struct share_candidate {
	const char *team;
	int weight; /* the team's share */
	int queued;
};

/* Index of the candidate whose turn it is. nr must be at least 1. */
size_t share_pick(struct part_ctx *ctx, const char *pool,
		  const struct share_candidate *candidates, size_t nr);

/* Tells of a task that began or ended, and of work that queued. */
void share_started(struct part_ctx *ctx, const char *pool, const char *team);
void share_ended(struct part_ctx *ctx, const char *pool, const char *team,
		 cs_time slot_time);
void share_queued(struct part_ctx *ctx, const char *pool, const char *team,
		  int delta);

/*
 * Slots of the pool in this data centre that this entry may fill, out of
 * total. Never below the entry's even part while it has work waiting and
 * others have none.
 */
int share_quota(const struct part_ctx *ctx, const char *pool, int total);

/* Decayed slot time of a team in a pool fleet-wide, in ms. For status. */
int64_t share_usage_ms(const struct part_ctx *ctx, const char *pool,
		       const char *team);

#endif
