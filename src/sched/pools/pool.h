#ifndef SCHED_POOLS_POOL_H
#define SCHED_POOLS_POOL_H

#include "../place/room_index.h"
#include "../queue/job.h"
#include "../queue/room_hold.h"
#include "demand.h"
#include "forecast.h"

/* Rows of pools: the servers and the jobs of queues that share them. */

/* Labels in struct pool; further ones wait for the next pass. */
#define LACKING_LABELS_MAX 4

struct pool {
	char name[SITE_NAME_MAX];
	GPtrArray *servers; /* struct server */
	/*
	 * Handles of servers whose next incarnation is in another pool, while
	 * they may have runs of a predecessor here.
	 */
	GArray *former_servers;
	struct room_index *room; /* the same, by free CPU */
	GPtrArray *jobs; /* struct job, not final */
	/*
	 * Jobs that may have a task to start, now or at a later time. A job
	 * that only waits for its running tasks to end is not here, nor is one
	 * whose end is recorded once assign_pool() has seen it.
	 */
	GPtrArray *waiting;
	struct room_holds holds;
	int share_row; /* see fair_share.h */
	int64_t fair_passes; /* passes in which shares decided the order */
	bool is_due; /* changed since the last turn */
	int blocked[JOB_BLOCK_NR]; /* jobs by enum job_block */
	int open_begins; /* jobs whose begin here is not stored yet */
	/* Labels for which no server had room in the last pass. */
	char lacking_labels[LACKING_LABELS_MAX][SITE_NAME_MAX];
	int lacking_labels_nr;
	/* Of tasks that end by themselves; one of both is used by pool_size.c.
	 */
	struct demand *arrivals;
	struct forecast *forecast;
	bool has_seen_demand; /* has been busy once */
	double demand; /* smoothed, thousandths of a core */
	struct forecast_value arriving; /* the last forecast */
	cs_time rising_at; /* it was last above the present need by a share */
	double backlog; /* CPU to clear what waits, thousandths of a core */
	int needed_now; /* servers for what runs and waits */
	double server_cpu; /* mean of its servers, thousandths of a core */
};

#endif
