#ifndef SCHED_RUNS_SERVER_H
#define SCHED_RUNS_SERVER_H

#include "../../base/slots.h"
#include "../learn/run_time_model.h"
#include "../place/server_score.h"
#include "../sched.h"

/*
 * Rows of backend servers and of the runs on them. Other folders read them and
 * change them through the functions of servers.h and runs.h.
 */

struct pool;

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
/* Longest time after which an order without an answer is carried out. */
#define LATE_ORDER_US (15 * CS_SEC)
/* Timeout of stop and pace orders; replies usually take milliseconds. */
#define ORDER_TIMEOUT_MS 1000
/*
 * Timeout of a start. After it the server's list tells whether the task runs,
 * so a short one costs two calls, and a long one the objective of the job.
 */
#define START_TIMEOUT_MS 400

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
	/* The stop only makes sure that a start without a reply has no effect.
	 */
	bool is_stop_for_start;
	cs_time stop_answered_at;
	struct site_resources need; /* reserved on the server */
	int share_pool; /* where it counts; see fair_share.h */
	bool was_started_in_term; /* otherwise adopted */
	bool has_checkpoint; /* started from a checkpoint */
	bool has_long_checkpoint; /* it saves more than can be stored */
	int percent; /* progress */
	cs_time progressed_at; /* percent has changed last; 0: not yet */
	enum run_time_tail tail; /* as it was logged */
	cs_time working_since; /* of a long-running task: percent is 100 */
	int64_t tail_ms_or_cpu; /* see struct order_run */
	int64_t expected_ms; /* its run time, as predicted at its start */
	int pace; /* last ordered, percent */
	bool is_pace_pending; /* a pace order has no reply yet */
	cs_time pace_ordered_at;
	/* Until then a pace order without a reply may be carried out. */
	cs_time pace_uncertain_until;
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
	bool is_taken_over; /* has listed all its runs under token_min */
	bool is_granted; /* its grant is stored; see grants.h */
	bool was_granted; /* a predecessor has stored one */
	bool is_grant_inherited; /* the stored one is a predecessor's */
	bool is_grant_pending; /* the grant is being stored */
	bool is_grant_outdated; /* the one that is being stored */
	/*
	 * The stored grant may bound the leases of the server: it gets no
	 * starts and no leases until another one is stored.
	 */
	bool is_grant_bounded;
	bool is_given_up; /* it was logged that it is not waited for */
	bool is_list_partial; /* its last lists may lack runs or ended runs */
	bool is_dead; /* its incarnation has certainly ended */
	/*
	 * A reply had a reading of another clock, so that the server may have
	 * started again; until a list names its incarnation.
	 */
	bool is_incarnation_doubtful;
	uint64_t grant_revision; /* of the stored grant; 0: none is known */
	/* Of the grant of a predecessor; see struct sched_grant. */
	uint64_t unused_since;
	cs_time predecessor_longest_end;
	uint64_t predecessor_started_unix_ms;
	/*
	 * Leases by the clocks of former incarnations have ended by then, as
	 * the stored grant tells successors, and the one that is being stored.
	 */
	cs_time stored_longest_end, pending_longest_end;
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
	/*
	 * Until then it may carry out orders that were meant for a former
	 * incarnation; 0: it rejects them.
	 */
	cs_time late_orders_until;
	/* Until then a start without an answer may be carried out there. */
	cs_time late_starts_until;
	uint64_t token; /* fencing token of its orders; see fence.h */
	uint64_t token_min; /* that rejects orders to former incarnations */
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
	int unanswered_orders; /* orders without a reply since the last reply */
	cs_time hold_due_at; /* when the reply to the open hold is expected */
	/* Lists that are requested because replies are missing. */
	cs_time hedged_at;
	cs_time hedge_pause; /* until the next one; grows up to a maximum */
	cs_handle hold_timer;
	cs_time answered_at;
	cs_time answer_sent_at; /* of the orders answered: the last one */
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
	struct server_score score; /* of this incarnation */
	cs_time refused_until; /* refused a start: no room or overloaded */
	/* Pacing of its best-effort tasks. */
	int best_effort_pace; /* percent */
	cs_time pace_changed_at;
};

#endif
