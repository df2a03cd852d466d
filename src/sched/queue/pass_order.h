#ifndef SCHED_QUEUE_PASS_ORDER_H
#define SCHED_QUEUE_PASS_ORDER_H

#include "fair_share.h"
#include "job.h"

/*
 * The order in which a pass over a pool looks at its waiting jobs: by rank, or,
 * if fair shares are on and the pool is short of room, by the shares of the
 * workspaces among jobs of equal rank.
 */

struct sched;

struct pass_order_ops;

struct pass_order {
	const struct pass_order_ops *ops;
	const struct sched *sched;
	GPtrArray *jobs; /* struct job, by rank */
	guint nr, next; /* of jobs */
	int pool; /* row in the table of shares */
	struct fair_item *items;
	struct fair_order *fair;
};

/* Ranks the waiting jobs of the pool and begins with the first. */
void pass_order_begin(struct pass_order *o, struct sched *s, struct pool *p,
		      cs_time now);
/* NULL after the last job. */
struct job *pass_order_next(struct pass_order *o);
/*
 * True if the last job, which has got a start, is to let jobs of other
 * workspaces go first now. Put it back if it has more to start.
 */
bool pass_order_is_over_share(const struct pass_order *o, const struct job *j);
void pass_order_put_back(struct pass_order *o);
void pass_order_end(struct pass_order *o);

#endif
