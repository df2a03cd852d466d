#ifndef SCHED_QUEUE_JOB_H
#define SCHED_QUEUE_JOB_H

#include "../sched.h"

/* Rows of jobs: batches with their scheduling state. */

struct pool;

/* A batch and its scheduling state. */
struct job {
	/* What each pass reads of each waiting job, in one cache line. */
	cs_handle self;
	cs_time submitted;
	cs_time objective_at; /* when the present occurrence should be done */
	int64_t critical_path_ms; /* of the remaining steps */
	cs_time final_at; /* 0: not final */
	/* When to try again while many jobs fail by placement rules; 0: any. */
	cs_time next_attempt_at;
	int priority; /* of its queue; 0 comes first */
	bool is_long_running;
	bool is_waiting; /* in the pool's array of waiting jobs */
	/*
	 * The last attempt failed only because no server had room for tasks of
	 * at least lacking_need, with lacking_label (NULL: any server).
	 */
	bool lacks_room;
	const char *lacking_label;
	struct site_resources lacking_need;
	/* No task of it has started since, for lack of room; 0: not so. */
	cs_time lacking_since;
	cs_time preempted_at; /* runs were stopped for it; 0: none */
	cs_time preempt_search_at; /* not before */
	struct batch *batch;
	struct pool *pool;
	uint64_t revision; /* of the submission */
	uint64_t stored_revision; /* of the progress; 0: none */
	size_t charged; /* bytes, see accepted_work.h */
	uint32_t stored_version;
	uint32_t begin_version; /* records that tasks start in begun_pool */
	struct pool *begun_pool; /* the last one that was recorded */
	bool is_begin_open; /* that is not stored yet */
	bool is_changed; /* in the list of changed jobs */
	bool is_being_stored;
	bool is_from_predecessor; /* submitted before this term */
	bool may_have_runs; /* a predecessor may have started its tasks */
	bool knows_pools; /* it stored in which pools */
	guint pool_position; /* in the pool's array of jobs */
	int first_open_occurrence; /* all earlier occurrences are done */
	int rows; /* in the table of runs; the job must outlive them */
	int late_starts; /* of its tasks; see late_starts.h */
	int share_row; /* its workspace; see fair_share.h */
	int accepted_row; /* the same; see accepted_work.h */
	int preempted_runs; /* stopped for urgent work in this term */
};

/* A task of a job: occurrence, step and index in the step. */
struct task_ref {
	struct job *job;
	int occurrence, step, index;
};

/* Why no task of a waiting job could start in the last pass over its pool. */
enum job_block {
	BLOCK_NONE,
	BLOCK_LIMIT, /* the limit of its workspace */
	BLOCK_ROOM, /* no server (with the label of the step) has room */
	/* Servers have room, but not the ticket, the spread or the members. */
	BLOCK_RULES,
	BLOCK_UNSETTLED, /* a predecessor may have started it; not known yet */
	BLOCK_STORE /* the begin of the job is not stored yet */
};
#define JOB_BLOCK_NR (BLOCK_STORE + 1)

#endif
