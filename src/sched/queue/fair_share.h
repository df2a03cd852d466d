#ifndef SCHED_QUEUE_FAIR_SHARE_H
#define SCHED_QUEUE_FAIR_SHARE_H

#include <stdbool.h>

#include "../../site/site.h"

/*
 * Weighted max-min shares of workspaces in a pool. A workspace's share is the
 * larger of its parts of the pool's processor and memory, and its level is the
 * share divided by its weight. Decisions, without side effects outside of the
 * table.
 */
struct fair_shares;

/* Range of weights that takes effect. */
#define FAIR_WEIGHT_MIN 1
#define FAIR_WEIGHT_MAX 1000
/* Rows of workspaces; further ones share the row of jobs without workspace. */
#define FAIR_WORKSPACES_MAX 1024

struct fair_shares *fair_shares_create(void);
void fair_shares_destroy(struct fair_shares *t);

/*
 * The row of a workspace or of a pool, which is created if necessary. Rows stay
 * valid as long as the table. "" is the workspace of jobs without one.
 */
int fair_shares_workspace(struct fair_shares *t, const char *name);
int fair_shares_pool(struct fair_shares *t, const char *name);
int fair_shares_workspaces_nr(const struct fair_shares *t);
const char *fair_shares_workspace_name(const struct fair_shares *t,
				       int workspace);

/* Sets a weight, clamped to its range. Returns true if it was in the range. */
bool fair_shares_set_weight(struct fair_shares *t, int workspace,
			    int64_t weight);
/* Sets what the servers of a pool have in total. */
void fair_shares_set_capacity(struct fair_shares *t, int pool,
			      struct site_resources capacity);
/* Counts a run that starts (sign 1) or has ended (sign -1). */
void fair_shares_charge(struct fair_shares *t, int pool, int workspace,
			struct site_resources need, int sign);

/* The level by rows, and by names; 0 for an unknown name. */
double fair_shares_level(const struct fair_shares *t, int pool, int workspace);
double fair_share_level(const struct fair_shares *t, const char *pool,
			const char *workspace);

/*
 * The order of waiting jobs in one pass over a pool that is short of room. Jobs
 * of a group come before all of later groups. Within a group workspaces far
 * below the level that each is guaranteed come first, in the order given, and
 * among the others the lowest level. Each start raises the level of a workspace
 * for the choices that follow.
 */
struct fair_order;

struct fair_item {
	int group; /* does not fall from one item to the next */
	int workspace;
};

/* Copies nothing: items must stay valid as long as the order. */
struct fair_order *fair_order_create(const struct fair_shares *t, int pool,
				     const struct fair_item *items, int nr);
void fair_order_destroy(struct fair_order *o);
/* Index of the next item, or -1 after the last. */
int fair_order_next(struct fair_order *o);
/*
 * The level above which the workspace of the last item gets no further start
 * before others have had their turn.
 */
double fair_order_level_max(const struct fair_order *o);
/* The last item has more to start: it is the first of its workspace again. */
void fair_order_put_back(struct fair_order *o);

#endif
