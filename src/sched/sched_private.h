#ifndef SCHED_SCHED_PRIVATE_H
#define SCHED_SCHED_PRIVATE_H

#include "../base/slots.h"
#include "demand.h"
#include "estimate.h"
#include "no_room.h"
#include "room_index.h"
#include "sched.h"
#include "start_window.h"

/* The scheduler's tables and internal functions, private to this folder. */

/*
 * Length of a server's lease. It must outlast the loss of an owner: 1.3 s until
 * the owner's store lease expires, and about 0.7 s until the successor has
 * called every server. A task on a lost server can't restart before the lease
 * has expired.
 */
#define LEASE_MS 3500
/* Server clocks may run 2% slow; the rest covers rounding. */
#define CLOCK_ERROR 0.021
/* Added to the computed end of a lease, for network delays. */
#define LEASE_SLACK_US (100 * CS_MSEC)
/* Timeout of stop and pace orders; replies usually take milliseconds. */
#define ORDER_TIMEOUT_MS 1000
/*
 * Timeout of a start. After it the server's list tells whether the task runs,
 * so a short one costs two calls, and a long one the objective of the job.
 */
#define START_TIMEOUT_MS 400

/*
 * Another entry may be the owner this long after the last confirmation of the
 * ownership, when the store's lease has expired.
 */
#define SUCCESSOR_AFTER_US (1 * CS_SEC)

enum run_state {
	RUN_STARTING, /* start ordered, no reply yet */
	RUN_ACTIVE, /* confirmed by the server */
	RUN_UNCONFIRMED, /* the start got no reply and may have happened */
	RUN_STOPPING /* stop ordered; the end is not known yet */
};

/* A run of a task on a server, from its start order until its end is known. */
struct run {
	cs_handle self;
	cs_handle job, server;
	int occurrence, step, index;
	uint32_t number;
	enum run_state state;
	cs_time sent_at; /* the start order was sent */
	cs_time start_confirmed_at; /* 0: not yet */
	cs_time start_unanswered_at; /* the start order timed out */
	cs_time stop_at; /* the last stop order; 0: none */
	bool is_stop_answered;
	cs_time stop_answered_at;
	struct site_resources need; /* reserved on the server */
	bool was_started_in_term; /* otherwise adopted */
	bool has_checkpoint; /* started from a checkpoint */
	bool has_long_checkpoint; /* it saves more than can be stored */
	int percent; /* progress */
	cs_time working_since; /* of a long-running task: percent is 100 */
	int64_t tail_ms_or_cpu; /* see struct order_run */
	int pace; /* last ordered, percent */
	bool is_pace_pending; /* a pace order has no reply yet */
	/* When the last list that shows it was sent; 0: none has shown it. */
	cs_time listed_at;
};

/*
 * An ended run that was handled. It is acknowledged to the server once its
 * batch is stored.
 */
struct unstored_end {
	uint64_t number;
	cs_handle job;
	uint32_t version;
};

/* Why a server gets no starts. Each reason is set and cleared by its part. */
enum cordon {
	CORDON_MOVE = 1, /* balance.c */
	CORDON_MAINTENANCE = 2 /* maintenance.c */
};

struct server {
	cs_handle self;
	struct server_info info;
	struct pool *pool;
	bool is_listed; /* in the registry */
	bool is_taken_over; /* has listed all its runs under this term's token
			     */
	bool is_granted; /* its grant is stored; see sched_take_grant() */
	bool is_grant_pending; /* the grant is being stored */
	bool is_grant_outdated; /* the one that is being stored */
	bool is_list_partial; /* its last lists may lack runs or ended runs */
	bool is_dead; /* its incarnation has certainly ended */
	/*
	 * A reply had a reading of another clock, so that the server may have
	 * started again; until a list names its incarnation.
	 */
	bool is_incarnation_doubtful;
	cs_time died_at; /* when is_dead was set */
	/* Start of the next incarnation with this identifier; 0: none. */
	uint64_t next_started_unix_ms;
	uint64_t described_unix_ms; /* start of the one that info describes */
	/* Orders that were sent since then did not reach an earlier one. */
	cs_time incarnation_since;
	cs_time doubted_at; /* when is_incarnation_doubtful was set */
	/*
	 * Until then a lease may last that was given by the clock of a former
	 * incarnation.
	 */
	cs_time inherited_lease_end;
	unsigned int cordons; /* enum cordon; any of them: gets no starts */
	uint32_t incarnation; /* number of those that began since the first */
	/* Clock: the reading was taken between sent and received. */
	int64_t clock_ms; /* -1: none yet */
	cs_time clock_sent, clock_received;
	int64_t deadline_ms; /* latest lease end ever sent, server's clock */
	/* A lease that a predecessor granted may last until then. */
	cs_time predecessor_lease_end;
	/* Holds. */
	bool is_hold_open;
	bool is_in_unstored_list; /* of struct sched */
	cs_handle hold_timer;
	cs_time answered_at;
	cs_time answer_sent_at; /* of the orders answered: the last one */
	int unanswered_orders; /* orders without a reply since the last reply */
	uint64_t last_end; /* highest number of an end that was handled */
	GArray *unstored; /* struct unstored_end, oldest first */
	/* Load; changed by servers_reserve(), servers_add_run(), _remove_run().
	 */
	struct site_resources used;
	int64_t indexed_cpu; /* free CPU in the pool's room index */
	GArray *runs; /* cs_handle */
	int64_t long_running_cpu; /* thousandths of a core */
	int serving_runs, best_effort_runs;
	/* Health. */
	int failed_in_row;
	cs_time suspect_until;
	cs_time refused_until; /* refused a start: no room or overloaded */
	/* Pacing of its best-effort tasks. */
	int best_effort_pace; /* percent */
	cs_time pace_changed_at;
};

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
	struct batch *batch;
	struct pool *pool;
	uint64_t revision; /* of the submission */
	uint64_t stored_revision; /* of the progress; 0: none */
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

/* Labels in struct pool; further ones wait for the next pass. */
#define LACKING_LABELS_MAX 4

struct pool {
	char name[CS_NAME_MAX];
	GPtrArray *servers; /* struct server */
	struct room_index *room; /* the same, by free CPU */
	GPtrArray *jobs; /* struct job, not final */
	/*
	 * Jobs that may have a task to start, now or at a later time. A job
	 * that only waits for its running tasks to end is not here, nor is one
	 * whose end is recorded once assign_pool() has seen it.
	 */
	GPtrArray *waiting;
	bool is_due; /* changed since the last turn */
	int blocked[JOB_BLOCK_NR]; /* jobs by enum job_block */
	int open_begins; /* jobs whose begin here is not stored yet */
	/* Labels for which no server had room in the last pass. */
	char lacking_labels[LACKING_LABELS_MAX][CS_NAME_MAX];
	int lacking_labels_nr;
	struct demand *arrivals; /* of tasks that end by themselves */
	bool has_seen_demand; /* has been busy once */
	double demand; /* smoothed, thousandths of a core */
	double server_cpu; /* mean of its servers, thousandths of a core */
};

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
	GHashTable *estimates; /* queue -> struct estimate */
	struct start_window start_window;
	int unanswered_starts; /* runs in state RUN_STARTING */
	/* Work of the present turn: jobs ranked, servers examined for tasks. */
	int64_t ranked_jobs, examined_servers;
	cs_time expected_times_due_at; /* the next refresh from estimates */
	/* Workspace -> struct site_resources reserved; see reserve.c. */
	GHashTable *reserve;
	/* Id -> pool, of servers that are not in the registry. */
	GHashTable *predecessor_grants;
	GPtrArray *ended_grants; /* identifiers to remove from the store */
	bool are_grants_due; /* a server may need a grant */
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
	cs_handle turn_timer;
};

/* sched.c */
struct pool *sched_pool(struct sched *s, const char *name);
/* Has the next turn look at the job: a task of it may be ready to start. */
void sched_job_waits(struct sched *s, struct job *j);
void sched_mark_changed(struct sched *s, struct job *j, cs_time now);
void sched_wake(struct sched *s);
void sched_wake_pool(struct sched *s, struct pool *p);
void sched_set_objective(struct sched *s, struct job *j);
struct estimate *sched_estimate(struct sched *s, const char *queue);
/* Adds the work of an occurrence that has become due to the pool's demand. */
void sched_record_arrival(struct sched *s, const struct job *j, cs_time now);
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

/* servers.c */
struct server *server_row(const struct sched *s, cs_handle h);
void servers_schedule_hold(struct sched *s, struct server *v, cs_time at);
void servers_on_hold(struct sched *s, struct server *v,
		     const struct order_reply *d, cs_time now);
/* Requests the list of a server at once, even while a hold waits there. */
void servers_list_runs(struct sched *s, struct server *v);
void servers_on_list(struct sched *s, struct server *v,
		     const struct order_reply *d, cs_time now);
/* Updates the clock reading and reachability from any reply. */
void servers_on_reply(struct sched *s, struct server *v,
		      const struct order_reply *d, cs_time now);
/* Schedules holds that acknowledge the ends stored by now. */
void servers_ack_stored_ends(struct sched *s, cs_time now);
/* Reserves room on a server (sign 1), or releases it (sign -1). */
void servers_reserve(struct server *v, struct site_resources need, int sign);
/* Adds a run to those of its server and reserves its room. */
void servers_add_run(struct server *v, const struct run *r,
		     const struct batch_step *st);
/* The reverse of servers_add_run(). */
void servers_remove_run(struct server *v, const struct run *r,
			const struct batch_step *st);
/* Remembers to acknowledge the server's ends once they are stored. */
void servers_note_unstored(struct sched *s, struct server *v);
/* The deadline to send with an order, on the server's clock; 0: unknown. */
int64_t servers_deadline(struct server *v, cs_time now);
/* When all runs there have ended if the lease is not renewed again. */
cs_time servers_lease_end(const struct sched *s, const struct server *v);
/*
 * The incarnation has ended. Its runs count as lost once the ownership is
 * confirmed by a later call, since a successor may have recorded their ends
 * before.
 */
void servers_mark_dead(struct sched *s, struct server *v, const char *why,
		       cs_time now);
/* The same without a line in the log. */
void servers_end_incarnation(struct sched *s, struct server *v, cs_time now);
/*
 * Sets or clears a reason for which the server gets no starts. No effect if the
 * server has no row.
 */
void servers_set_cordon(struct sched *s, cs_handle server, enum cordon reason,
			bool is_set);
/* The pairs of a line of the log on a server, to which others may be added. */
GString *servers_describe(const struct server *v, const char *why);
/* Checks leases and removes rows that are no longer needed. */
void servers_check(struct sched *s, cs_time now);
/* Marks the server's grant for removal from the store. */
void servers_end_grant(struct sched *s, const char *id);
/* True if it may have runs of a predecessor that are not known here. */
bool servers_may_have_unknown_runs(const struct sched *s,
				   const struct server *v);
/*
 * Finds the pools that are not settled: a server there may have runs of a
 * predecessor that are not known here.
 */
void servers_update_settled(struct sched *s);

/* incarnation.c */
/*
 * Another incarnation has the identifier of the server. It gets no orders until
 * incarnation_start_next().
 */
void incarnation_note_next(struct sched *s, struct server *v,
			   uint64_t started_unix_ms, const char *why,
			   cs_time now);
/*
 * Makes the next incarnation the present one, which has to list its runs. Runs
 * that may be of either one stay in the table.
 */
void incarnation_start_next(struct sched *s, struct server *v, cs_time now);
/*
 * When a lease that a predecessor gave a server that has not answered yet has
 * ended; 0: there is none. One that has started lately may have got it by the
 * clock of its former incarnation.
 */
cs_time incarnation_predecessor_end(const struct sched *s,
				    const struct server *v);
/* False if the server may have started again since its last answer. */
bool incarnation_is_certain(const struct server *v);
/* True if the order may have reached a former incarnation. */
bool incarnation_is_stale(const struct server *v, const struct order_reply *d);
/* It may have given the present one a lease by the clock of the former one. */
void incarnation_note_stale_reply(const struct sched *s, struct server *v,
				  const struct order_reply *d, cs_time now);
/*
 * Takes over the reading of the server's clock in a reply, unless it is of
 * another incarnation. Requests the list of a server whose clock has jumped.
 */
void incarnation_read_clock(struct sched *s, struct server *v,
			    const struct order_reply *d, cs_time now);

/* late_starts.c */
struct late_starts *late_starts_create(void);
void late_starts_destroy(struct late_starts *late_starts);
/* Remembers a start without an answer, which counts as lost. */
void late_starts_add(struct sched *s, const struct run *r, cs_time now);
/* Has a new incarnation of the server reject such starts. */
void late_starts_reject(struct sched *s, struct server *v, cs_time now);

/* runs.c */
struct run *run_row(const struct sched *s, cs_handle h);
struct run *runs_start(struct sched *s, const struct task_ref *ref,
		       struct server *v, uint32_t number, const char *ticket,
		       cs_time now);
struct run *runs_adopt(struct sched *s, const struct task_ref *ref,
		       struct server *v, uint32_t number, cs_time now);
void runs_stop(struct sched *s, struct run *r, const char *why, cs_time now);
/* Records the end of a run and frees its row. */
void runs_ended(struct sched *s, struct run *r, enum batch_end how,
		const char *checkpoint, cs_time now);
void runs_on_start(struct sched *s, struct server *v,
		   const struct order_reply *d, cs_time now);
void runs_on_stop(struct sched *s, struct server *v,
		  const struct order_reply *d, cs_time now);
/* Reconciles the complete list of runs of a server with the table of runs. */
void runs_reconcile(struct sched *s, struct server *v,
		    const struct order_reply *d, cs_time now);
void runs_handle_ends(struct sched *s, struct server *v,
		      const struct order_reply *d, cs_time now);
void runs_stop_all(struct sched *s, struct job *j, const char *why,
		   cs_time now);
/* Orders a stop of a run that has no row, or has the server reject it. */
void runs_order_stop(struct sched *s, struct server *v, const char *task,
		     uint32_t number);
/* Number of runs of a step on a server. */
int runs_of_step(const struct sched *s, const struct server *v,
		 const struct job *j, int occurrence, int step);

/* place.c: decisions, without side effects */
bool place_is_usable(const struct sched *s, const struct server *v,
		     cs_time now);
/* What a search for a server saw; set by place_choose(). */
struct place_search {
	int64_t examined; /* servers that were looked at */
	bool has_room; /* a usable one with the step's label had room */
};
/*
 * The server with the lowest cost for a task, or NULL if none can take it.
 * members: servers on which room is reserved for other members of its gang,
 * each as often as it has one; or NULL.
 */
struct server *place_choose(const struct sched *s, const struct task_ref *ref,
			    const GPtrArray *members, cs_time now,
			    struct place_search *search);
/* What is left of the limit of the job's workspace; INT64_MAX: no limit. */
struct site_resources place_headroom(const struct sched *s,
				     const struct job *j);
struct site_resources place_need(const struct batch_step *st);
bool place_within_limit(const struct sched *s, const struct job *j,
			struct site_resources need);

/* rank.c: decisions, without side effects */
enum rank_class {
	/* Few tasks, and each second of downtime is lost service. */
	RANK_LONG_RUNNING,
	RANK_ON_TIME,
	RANK_LATE, /* will miss its objective, but still has some value */
	RANK_OVERDUE
};
#define RANK_CLASSES (RANK_OVERDUE + 1)
enum rank_class rank_class_of(const struct job *j, cs_time now);
int64_t rank_critical_path_ms(const struct job *j);
void rank_jobs(GPtrArray *jobs, cs_time now);

/* reserve.c */
/* Computes what is reserved in the limits of workspaces again. */
void reserve_update(struct sched *s);

/* assign.c */
void assign_tasks(struct sched *s, cs_time now);

/* pacing.c */
/* Adjusts the pace to the tail latencies that the reply to a hold reported. */
void pacing_on_hold(struct sched *s, struct server *v, cs_time now);
void pacing_on_reply(struct sched *s, const struct order_reply *d);

/* health.c */
/* Suspends starts on a server after several failed runs in a row. */
void health_on_end(struct sched *s, struct server *v, enum batch_end how,
		   cs_time now);

/* hosts.c */
/*
 * The host service does not check fencing tokens everywhere, so orders to hosts
 * are given only if the ownership was confirmed within this time.
 */
#define HOST_ORDER_CONFIRM_AGE_US (1500 * CS_MSEC)
/* Creates an order to a host; NULL if no order may be given now. */
struct order *hosts_new_order(const struct sched *s, enum order_type type,
			      const char *host, cs_time now);
/*
 * Queues an order from hosts_new_order() and takes ownership of it; it is sent
 * once it is stored. server is the one on the host, which has no runs, or NULL.
 */
void hosts_queue_order(struct sched *s, struct order *o,
		       const struct server *server);
/*
 * True while the host can't get an order because a predecessor may have sent
 * one within the pause between holders.
 */
bool hosts_is_blocked(const struct sched *s, const char *host, cs_time now);
/* Timeout of calls to the host service. */
#define HOST_TIMEOUT_MS 2000
struct hosts *hosts_create(void);
void hosts_destroy(struct hosts *h);
/* The host in the last complete list; NULL if it is not there. */
const struct order_host *hosts_find(const struct sched *s, const char *name);
/* The last complete list: name -> struct order_host. */
GHashTable *hosts_table(const struct sched *s);
/* When the last complete list was requested; 0: there is none. */
cs_time hosts_listed_at(const struct sched *s);
/* Requests the list again unless the last request is too recent. */
void hosts_refresh(struct sched *s, cs_time now);
void hosts_on_reply(struct sched *s, const struct order_reply *d, cs_time now);

/* balance.c */
struct balance *balance_create(struct sched *s, cs_time now);
void balance_destroy(struct balance *b);
void balance_on_reply(struct sched *s, const struct order_reply *d,
		      cs_time now);
/* True until the list of hosts shows that a move has ended. */
bool balance_is_moving(const struct sched *s, const char *host);

/* pool_size.c */
/* Begins a rebalancing pass: what is left of limits is computed again. */
void pool_size_begin(struct sched *s);
/* Number of servers that the pool needs; it decreases gradually. */
int pool_size_target(struct sched *s, struct pool *p, cs_time now);
/*
 * Allocates CPU, in thousandths of a core, to a job from what is left of its
 * workspace's limit since pool_size_begin(). Returns the amount allocated, at
 * most cpu.
 */
double pool_size_allowed_cpu(struct sched *s, const struct job *j, double cpu);

/* maintenance.c */
/* True while a wave empties the host or the host is under maintenance. */
bool maintenance_has_host(const struct sched *s, const char *host);
struct maintenance *maintenance_create(struct sched *s);
void maintenance_destroy(struct maintenance *m);
void maintenance_on_reply(struct sched *s, const struct order_reply *d,
			  cs_time now);

/* advice.c */
struct advice *advice_create(void);
void advice_destroy(struct advice *a);
/* The valid ticket of a server for a step, or NULL. */
const char *advice_ticket(const struct sched *s, const struct job *j,
			  int occurrence, int step, const struct server *v,
			  cs_time now);
/* Requests tickets for a step unless valid ones are known or requested. */
void advice_request(struct sched *s, const struct job *j, int occurrence,
		    int step, cs_time now);
void advice_drop_ticket(struct sched *s, const struct job *j, int occurrence,
			int step, const struct server *v);
void advice_on_reply(struct sched *s, const struct order_reply *d, cs_time now);

#endif
