#ifndef SCHED_SCHED_PRIVATE_H
#define SCHED_SCHED_PRIVATE_H

#include "../base/slots.h"
#include "demand.h"
#include "estimate.h"
#include "sched.h"

/* Rows of the scheduler's tables, shared by the files of this folder only. */

/*
 * Length of a lease. It must outlast the loss of an owner: 1.3 s until its
 * store lease ends, and about 0.7 s until the successor has called every
 * server; a task on a lost server can't restart before it has passed.
 */
#define LEASE_MS 3500
/* Server clocks may be 2% slow; a little more covers rounding. */
#define CLOCK_ERROR 0.021
/* Added to a computed end of a lease, for delays on the way. */
#define LEASE_SLACK_US (100 * CS_MSEC)
/* Until a start or stop must be answered; usual answers take milliseconds. */
#define ORDER_TIMEOUT_MS 1000

enum run_state {
	RUN_STARTING, /* start ordered, no answer yet */
	RUN_ACTIVE, /* the server has it */
	RUN_UNCONFIRMED, /* the start had no answer */
	RUN_STOPPING /* stop ordered; its end is not known yet */
};

/* One run of a task on a server, from its order until its end is known. */
struct run {
	cs_handle self;
	cs_handle job, server;
	int round, step, index;
	uint32_t number;
	enum run_state state;
	cs_time sent_at; /* the start */
	cs_time start_confirmed_at; /* its answer came; 0: not yet */
	cs_time start_unanswered_at; /* it was given up without an answer */
	cs_time stop_at; /* the last stop order; 0: none */
	bool is_stop_answered;
	cs_time stop_answered_at;
	struct site_room need; /* taken on the server */
	bool was_started_by_us; /* by us; others were adopted */
	bool has_checkpoint; /* it began with one */
	int percent; /* of its work */
	cs_time working_since; /* a lasting task's percent became 100 */
	int64_t measure;
	int pace; /* as ordered last, percent */
	bool is_pace_pending; /* a pace order has no answer yet */
};

/* An end that was handled, but whose batch is not stored yet. */
struct unstored_end {
	uint64_t number;
	cs_handle job;
	uint32_t version;
};

struct server {
	cs_handle self;
	struct server_info info;
	bool is_listed; /* in the register */
	bool is_taken_over; /* has answered under this term's token */
	bool is_granted; /* the store knows that it may hold our orders */
	bool is_grant_pending; /* the grant is being stored */
	bool is_dead; /* its incarnation has ended for certain */
	cs_time died_at; /* when that was learnt */
	uint64_t next_started_unix_ms; /* start of the next incarnation here; 0:
					  none */
	bool is_cordoned; /* gets no starts: maintenance or a move */
	/* Clock: the reading lies between sent and received. */
	int64_t clock_ms; /* -1: none yet */
	cs_time clock_sent, clock_received;
	int64_t deadline_ms; /* highest ever sent, on its clock */
	cs_time predecessor_lease_end; /* a predecessor's lease may last until
					  then */
	/* Holds. */
	bool is_hold_open;
	cs_handle hold_timer;
	cs_time answered_at;
	int misses; /* calls without an answer since the last one */
	uint64_t seen; /* the highest end that was handled */
	GArray *unstored; /* struct unstored_end, oldest first */
	/* Load. */
	struct site_room used;
	GArray *runs; /* cs_handle */
	/* Health. */
	int failed_in_row;
	cs_time suspect_until;
	cs_time refused_until; /* it had no room, whatever we thought */
	/* Pacing of filling tasks. */
	int fill_pace; /* percent */
	cs_time fill_changed_at;
};

/* A batch under the scheduler's care. */
struct job {
	cs_handle self;
	struct batch *batch;
	struct pool *pool;
	uint64_t revision; /* of the submission */
	uint64_t stored_revision; /* of the progress; 0: none */
	uint32_t stored_version;
	bool is_changed; /* in the list of changed jobs */
	bool is_being_stored;
	bool is_from_predecessor; /* submitted before this term */
	bool may_have_runs; /* a predecessor may have started its tasks */
	cs_time submitted;
	cs_time objective_at; /* of the present occurrence */
	int64_t critical_path_ms; /* the longest chain that is left */
	cs_time final_at;
	int first_open_round; /* occurrences before it are done */
};

/* A task of a job: occurrence, step and index in the step. */
struct task_ref {
	struct job *job;
	int round, step, index;
};

/* Why a waiting job got nothing at the last look at its pool. */
enum job_block {
	BLOCK_NONE,
	BLOCK_LIMIT, /* of its workspace */
	BLOCK_ROOM, /* no server has any */
	BLOCK_UNSETTLED, /* a predecessor's run may be unknown */
	BLOCK_STORE /* the store does not know yet that it begins */
};
#define JOB_BLOCK_NR (BLOCK_STORE + 1)

struct pool {
	char name[CS_NAME_MAX];
	GPtrArray *servers; /* struct server */
	GPtrArray *jobs; /* struct job, not final */
	bool is_due; /* something changed since the last turn */
	int blocked[JOB_BLOCK_NR]; /* jobs by enum job_block */
	struct demand *arrivals; /* of work that ends */
	bool has_seen_demand; /* its turn has come once */
	double demand; /* thousandths of a core; falls slowly */
	double server_cpu; /* mean room of a server */
};

struct sched {
	struct sched_options options;
	const struct sched_ops *ops;
	void *ctx;
	struct timers *timers;
	struct counters *counters;
	struct site *site;
	bool is_ready, is_paused, is_fenced;
	bool is_turn_due, are_pools_due, are_servers_due;
	cs_time next_turn_at;
	cs_time confirmed_at; /* nobody else was the owner until then */
	cs_time started_at;
	int64_t unix_ms; /* at the last turn */
	cs_time unix_at;
	struct slots *servers, *jobs, *runs;
	GHashTable *server_by_id; /* -> struct server */
	GHashTable *job_by_id; /* -> struct job */
	GHashTable *pools; /* name -> struct pool */
	GHashTable *evacuated; /* data centre names */
	GHashTable *cancelled; /* identifiers whose job is not known yet */
	GHashTable *usage; /* workspace -> struct site_room */
	/* Workspace -> processor that work since the last look left of it. */
	GHashTable *allowed_cpu_left;
	GHashTable *estimates; /* queue -> struct estimate */
	cs_time expected_times_due_at; /* when run times are taken into account
					  again */
	GHashTable *reserve; /* the same, of runs that may be unknown */
	GHashTable *predecessor_grants; /* id -> pool: of a predecessor, not
					   listed */
	GPtrArray *ended_grants; /* identifiers to remove from the store */
	GQueue changed; /* handles of jobs, oldest change first */
	GQueue final; /* handles of jobs, oldest end first */
	struct hosts *hosts;
	struct maintenance *maintenance;
	struct balance *balance;
	struct advice *advice;
	cs_handle turn_timer;
};

/* sched.c */
struct pool *sched_pool(struct sched *s, const char *name);
void sched_mark_changed(struct sched *s, struct job *j, cs_time now);
void sched_wake(struct sched *s);
void sched_wake_pool(struct sched *s, struct pool *p);
void sched_set_objective(struct sched *s, struct job *j);
struct estimate *sched_estimate(struct sched *s, const char *queue);
/* An occurrence has become due: its work counts as demand of the pool. */
void sched_record_arrival(struct sched *s, const struct job *j, cs_time now);
void sched_log(struct sched *s, const char *event, GString *pairs);
const struct site_queue *sched_queue_of(const struct sched *s,
					const struct job *j);

/* servers.c */
struct server *server_row(const struct sched *s, cs_handle h);
void servers_schedule_hold(struct sched *s, struct server *v, cs_time at);
void servers_on_hold(struct sched *s, struct server *v,
		     const struct order_done *d, cs_time now);
/* Takes the clock reading and the sign of life from any answer. */
void servers_on_answer(struct sched *s, struct server *v,
		       const struct order_done *d, cs_time now);
void servers_ack_stored_ends(struct sched *s, struct server *v, cs_time now);
/* The deadline to send with an order, on the server's clock; 0: unknown. */
int64_t servers_deadline(struct server *v, cs_time now);
/* When everything there has ended if it is not heard of again. */
cs_time servers_lease_end(const struct sched *s, const struct server *v);
/*
 * The incarnation has ended. Its runs are lost once the ownership is confirmed
 * by a call sent since: a successor may have noted their ends before.
 */
void servers_mark_dead(struct sched *s, struct server *v, const char *why,
		       cs_time now);
/* Checks leases and removes rows that are no longer needed. */
void servers_check(struct sched *s, cs_time now);
/* The server's grant is to be removed from the store. */
void servers_end_grant(struct sched *s, const char *id);
/* True if it may run what a predecessor ordered, unknown to us. */
bool servers_may_hide_runs(const struct sched *s, const struct server *v);
/* True if no predecessor's order can be unknown in the pool. */
bool servers_pool_settled(const struct sched *s, const struct pool *p);

/* runs.c */
struct run *run_row(const struct sched *s, cs_handle h);
struct run *runs_start(struct sched *s, const struct task_ref *ref,
		       struct server *v, uint32_t number, const char *ticket,
		       cs_time now);
struct run *runs_adopt(struct sched *s, const struct task_ref *ref,
		       struct server *v, uint32_t number, cs_time now);
void runs_stop(struct sched *s, struct run *r, const char *why, cs_time now);
/* The run has ended; its row is freed. */
void runs_ended(struct sched *s, struct run *r, enum batch_end how,
		const char *saved, cs_time now);
void runs_on_start(struct sched *s, struct server *v,
		   const struct order_done *d, cs_time now);
void runs_on_stop(struct sched *s, struct server *v, const struct order_done *d,
		  cs_time now);
/* Compares a complete list of a server with our rows. */
void runs_reconcile(struct sched *s, struct server *v,
		    const struct order_done *d, cs_time now);
void runs_handle_ends(struct sched *s, struct server *v,
		      const struct order_done *d, cs_time now);
void runs_stop_all(struct sched *s, struct job *j, const char *why,
		   cs_time now);
/* Stops a run of which we have no row. */
void runs_stop_stray(struct sched *s, struct server *v, const char *task,
		     uint32_t number, cs_time now);
int runs_of_step(const struct sched *s, const struct server *v,
		 const struct job *j, int round, int step);

/* place.c: decisions, without side effects */
bool place_is_usable(const struct sched *s, const struct server *v,
		     cs_time now);
struct server *place_choose(const struct sched *s, const struct job *j,
			    int round, int step, const struct batch_task *t,
			    cs_time now);
/* What the job's workspace may have running more; INT64_MAX: no limit. */
struct site_room place_headroom(const struct sched *s, const struct job *j);
struct site_room place_need(const struct batch_step *st);
bool place_within_limit(const struct sched *s, const struct job *j,
			struct site_room need);

/* rank.c: decisions, without side effects */
enum rank_class {
	RANK_LASTING, /* few, and each second away is service lost */
	RANK_ON_TIME,
	RANK_LATE, /* past its objective, of some use yet */
	RANK_OVERDUE
};
#define RANK_CLASSES (RANK_OVERDUE + 1)
enum rank_class rank_class_of(const struct job *j, cs_time now);
int64_t rank_critical_path_ms(const struct job *j);
void rank_jobs(GPtrArray *jobs, const struct sched *s, cs_time now);

/* reserve.c */
void reserve_update(struct sched *s);

/* assign.c */
void assign_tasks(struct sched *s, cs_time now);

/* pacing.c */
void pacing_on_hold(struct sched *s, struct server *v, cs_time now);
void pacing_on_done(struct sched *s, const struct order_done *d);

/* health.c */
void health_on_end(struct sched *s, struct server *v, enum batch_end how,
		   cs_time now);

/* hosts.c */
/*
 * The host service does not check tokens everywhere, so orders to hosts are
 * planned only while the ownership was confirmed lately.
 */
#define HOST_ORDER_CONFIRM_AGE_US (1500 * CS_MSEC)
/* An order to a host, ready to be filled in; NULL if none may be given. */
struct order *hosts_new_order(const struct sched *s, enum order_type type,
			      const char *host, cs_time now);
/*
 * Takes over an order from hosts_new_order(); it is sent once the store knows
 * it. server is the one on the host, without runs, or NULL.
 */
void hosts_queue_order(struct sched *s, struct order *o,
		       const struct server *server);
/* True while a predecessor's order may be too recent for another one. */
bool hosts_is_blocked(const struct sched *s, const char *host, cs_time now);
/* Until the host service must have answered. */
#define HOST_TIMEOUT_MS 2000
struct hosts *hosts_create(void);
void hosts_destroy(struct hosts *h);
/* As listed last; NULL if it is not in the list. */
const struct order_host *hosts_find(const struct sched *s, const char *name);
GHashTable *hosts_table(const struct sched *s);
/* When the last complete list was asked for; 0: there is none. */
cs_time hosts_listed_at(const struct sched *s);
/* Reads the list again if the last reading is old enough. */
void hosts_refresh(struct sched *s, cs_time now);
void hosts_on_done(struct sched *s, const struct order_done *d, cs_time now);

/* balance.c */
struct balance *balance_create(struct sched *s, cs_time now);
void balance_destroy(struct balance *b);
void balance_on_done(struct sched *s, const struct order_done *d, cs_time now);
/* True until the list of hosts shows that a move has ended. */
bool balance_is_moving(const struct sched *s, const char *host);

/* pool_size.c */
/* Forgets what the last look left of the limits of workspaces. */
void pool_size_begin(struct sched *s);
/* Servers that the pool's demand needs; a fall is believed slowly. */
int pool_size_target(struct sched *s, struct pool *p, cs_time now);
/*
 * Of the processor that a job's tasks would take, thousandths of a core, what
 * the limit of its workspace allows beside all other work.
 */
double pool_size_allowed_cpu(struct sched *s, const struct job *j, double cpu);

/* maintenance.c */
/* True while a wave empties, orders or awaits the host. */
bool maintenance_has_host(const struct sched *s, const char *host);
struct maintenance *maintenance_create(struct sched *s);
void maintenance_destroy(struct maintenance *u);
void maintenance_on_done(struct sched *s, const struct order_done *d,
			 cs_time now);

/* advice.c */
struct advice *advice_create(void);
void advice_destroy(struct advice *a);
/* The valid ticket of a server for a step, or NULL. */
const char *advice_ticket(const struct sched *s, const struct job *j, int round,
			  int step, const struct server *v, cs_time now);
/* Asks the advisor about a step unless a valid answer is known or awaited. */
void advice_request(struct sched *s, const struct job *j, int round, int step,
		    cs_time now);
void advice_drop_ticket(struct sched *s, const struct job *j, int round,
			int step, const struct server *v);
void advice_on_done(struct sched *s, const struct order_done *d, cs_time now);

#endif
