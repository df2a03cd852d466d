#ifndef SCHED_SCHED_PRIVATE_H
#define SCHED_SCHED_PRIVATE_H

/*
 * The scheduler's own row and what all folders below ask of it. Each folder is
 * an aggregate with its own header files:
 *
 *   queue/   which job goes first, and which wait (job.h, rank.h, assign.h)
 *   place/   which server gets a task, and what is known of it
 *   runs/    servers, their incarnations and the runs there
 *   pools/   how many servers a pool needs, and which hosts move
 *   upkeep/  maintenance waves and pacing
 *   learn/   what is learned from runs that have ended
 */

#include "../base/slots.h"
#include "learn/run_time_model.h"
#include "place/advice.h"
#include "place/health.h"
#include "place/place.h"
#include "pools/balance.h"
#include "pools/hosts.h"
#include "pools/pool.h"
#include "pools/pool_size.h"
#include "queue/accepted_work.h"
#include "queue/assign.h"
#include "queue/fair_share.h"
#include "queue/job.h"
#include "queue/rank.h"
#include "queue/reserve.h"
#include "runs/fence.h"
#include "runs/grants.h"
#include "runs/incarnation.h"
#include "runs/late_starts.h"
#include "runs/runs.h"
#include "runs/servers.h"
#include "runs/start_window.h"
#include "sched.h"
#include "upkeep/maintenance.h"
#include "upkeep/pacing.h"

/*
 * Another entry may be the owner this long after the last confirmation of the
 * ownership, when the store's lease has expired.
 */
#define SUCCESSOR_AFTER_US (1 * CS_SEC)

struct sched {
	struct sched_options options;
	const struct sched_ops *ops;
	void *ctx;
	struct timers *timers;
	struct counters *counters;
	struct site *site;
	bool is_ready, is_paused, is_fenced;
	bool are_pools_settled; /* all of them, for the rest of the term */
	GPtrArray *unsettled_pools; /* struct pool; see servers.c */
	bool is_turn_due, are_pools_due, are_servers_due;
	cs_time next_turn_at;
	cs_time confirmed_at; /* no other entry was the owner before then */
	cs_time started_at;
	int64_t unix_ms; /* at the last turn */
	cs_time unix_at;
	struct slots *servers, *jobs, *runs;
	GHashTable *server_by_id; /* -> struct server */
	GHashTable *job_by_id; /* -> struct job */
	GHashTable *pools; /* name -> struct pool */
	GPtrArray *pool_list; /* the same, in the order of their creation */
	guint first_pool; /* in pool_list: the first of the next turn */
	GHashTable *evacuated; /* names of data centres */
	GHashTable *cancelled; /* identifiers whose job is not known yet */
	GHashTable *usage; /* workspace -> struct site_resources */
	/* Workspace -> CPU left of its limit; see pool_size_begin(). */
	GHashTable *allowed_cpu_left;
	struct run_time_model *run_times;
	struct server_score all_scores; /* of all servers together */
	cs_time tails_due_at; /* the next check of long runs */
	struct start_window start_window;
	int unanswered_starts; /* runs in state RUN_STARTING */
	/*
	 * Work of the present turn: jobs ranked, tasks looked at to start them,
	 * servers examined for tasks.
	 */
	int64_t ranked_jobs, examined_tasks, examined_servers;
	cs_time expected_times_due_at; /* the next refresh from estimates */
	/* Workspace -> struct site_resources reserved; see reserve.c. */
	GHashTable *reserve;
	struct grants *grants;
	GArray *unstored_servers; /* cs_handle: servers with unstored ends */
	/* Handles of jobs to store, oldest change first: begins before others.
	 */
	GQueue begins, changed;
	GQueue final; /* handles of jobs, oldest end first */
	struct hosts *hosts;
	struct maintenance *maintenance;
	struct balance *balance;
	struct advice *advice;
	struct late_starts *late_starts;
	struct fence *fence;
	struct fair_shares *fair_shares; /* NULL: switched off */
	struct accepted_work *accepted;
	cs_handle turn_timer;
};

struct pool *sched_pool(struct sched *s, const char *name);
/* Has the next turn look at the job: a task of it may be ready to start. */
void sched_job_waits(struct sched *s, struct job *j);
void sched_mark_changed(struct sched *s, struct job *j, cs_time now);
void sched_wake(struct sched *s);
void sched_wake_pool(struct sched *s, struct pool *p);
void sched_set_objective(struct sched *s, struct job *j);
/* What the run time of a task of that step may depend on. */
struct run_times_key sched_run_times_key(const struct job *j, int step);
/* Adds the work of an occurrence that has become due to the pool's demand. */
void sched_record_arrival(struct sched *s, const struct job *j, cs_time now);
/* Work left in its present occurrence, thousandths of a core times ms. */
double sched_work_left(const struct job *j);
void sched_log(struct sched *s, const char *event, GString *pairs);
/*
 * How a job is handled: as its queue is configured now. If the queue was
 * removed, the job goes on under the terms under which it was accepted.
 */
const struct site_terms *sched_terms_of(const struct sched *s,
					const struct job *j);
/* Failed runs of a task until its job fails: as many as at its acceptance. */
int sched_attempts_of(const struct sched *s, const struct job *j);
/*
 * True if all runs of the job that a predecessor may have started are known.
 * They may be in other pools than the job is in now.
 */
bool sched_job_is_settled(const struct sched *s, const struct job *j);
/* True if a predecessor may have started tasks of the job in the pool. */
bool sched_job_may_have_runs_in(const struct job *j, const struct pool *p);
/* True once it is stored that tasks of the job start in begun_pool. */
bool sched_job_begin_is_stored(const struct job *j);
/* Records that tasks of the job start in its pool, to be stored. */
void sched_begin_job(struct sched *s, struct job *j, cs_time now);

/* True if another entry may have become the owner unnoticed. */
bool sched_may_have_successor(const struct sched *s, cs_time now);

#endif
