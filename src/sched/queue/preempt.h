#ifndef SCHED_QUEUE_PREEMPT_H
#define SCHED_QUEUE_PREEMPT_H

#include "job.h"

/*
 * Preemption: urgent work that waits without room takes that of running tasks
 * of a larger priority number in its pool. The stopped tasks wait again and go
 * on from their checkpoints. Their room is free once their ends are listed.
 */

struct sched;
struct pool;

/* Most runs that are stopped for one task. */
#define PREEMPT_RUNS_MAX 8
/* Runs of a job that preemption may stop in one owner's term. */
#define PREEMPT_STOPS_MAX 4
/* Searches in one pass over a pool; each looks at all runs of the pool. */
#define PREEMPT_SEARCHES_MAX 4

/* A run that may be stopped, as the choice sees it. */
struct preempt_run {
	cs_handle self, job;
	struct site_resources need;
	int64_t lost_ms; /* work to be done again */
	int server; /* row of the servers */
	int priority;
	int stops_left; /* of the budget of its job */
	bool has_checkpoint;
};

/* A server where the urgent task may run if it has room. */
struct preempt_server {
	struct site_resources room;
};

struct preempt_choice {
	int server; /* row; -1: none can be freed */
	cs_handle runs[PREEMPT_RUNS_MAX];
	int runs_nr;
	int without_checkpoint;
	int64_t lost_ms;
};

/*
 * Chooses a server and the runs to stop there so that need fits: as few as
 * possible of those without a checkpoint, then the least work lost. Sorts runs.
 */
struct preempt_choice preempt_choose(const struct preempt_server *servers,
				     int servers_nr, struct preempt_run *runs,
				     int runs_nr, struct site_resources need,
				     int priority);

/* True if a task of the job has lacked room for so long that it may take it. */
bool preempt_is_due(const struct job *j, cs_time now);
/* Stops runs for a task of the job and holds their room for it. */
void preempt_for_job(struct sched *s, struct pool *p, struct job *j,
		     cs_time now);

#endif
