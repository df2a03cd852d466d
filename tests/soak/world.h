#ifndef SOAK_WORLD_H
#define SOAK_WORLD_H

#include <glib.h>

#include "../../src/base/timers.h"
#include "../../src/config/document.h"
#include "../../src/entry/message.h"

/*
 * A simulation of several decision cores with a platform, workers, callers and
 * operators, in virtual time and with one seeded random generator. One event
 * is one step. It tests the decisions under faults; sockets and codecs are
 * tested elsewhere.
 */

#define ENTRIES_MAX 8
#define DATA_CENTRES_MAX 4
#define TEAMS_MAX 8
#define KEYS_PER_TEAM 2
#define EVENT_LINES 60

struct world;

/* One entry process. */
struct model_entry {
	struct world *w;
	int index;
	char id[CS_NAME_MAX];
	int data_centre;
	struct entry *core; /* NULL: not running */
	uint64_t generation; /* rises with every start and stop */
	uint64_t incarnation;
	cs_time clock_offset; /* of its clock from virtual time */
	bool is_paused;
	cs_time paused_at; /* when the pause began */
	GQueue inbox; /* messages received while it is paused */
	cs_time next_wake; /* when the core is called next */
	cs_time last_fault_at;
	cs_time drain_started_at; /* 0: not draining */
	cs_time stopped_at; /* for the host list */
	uint64_t revision; /* last one seen in force since the start */
	int waiting_callers; /* callers without an answer */
};

struct model_link {
	bool is_up;
	uint64_t epoch; /* of the connection */
	cs_time unreachable_since; /* 0: reachable */
	cs_time last_arrival[2]; /* of a message, in each direction */
};

/* A unit of work of a caller, however often it is submitted. */
struct model_job {
	int team; /* -1: open queue, charged to team 0 */
	int key;
	char queue[16];
	bool is_idempotent, is_long, is_urgent;
	char request_id[32]; /* "" if none */
	cs_time run_time;
	bool is_failing; /* fails on every worker */
	int runs;
	int first_run_call; /* first submission that ran; -1: none */
	int submissions;
	bool is_accepted; /* of long work */
	char job_id[CS_NAME_MAX];
	cs_time progress; /* of long work, in its last checkpoint */
	bool is_cleanly_stopped;
	bool is_done;
	bool is_cancelled;
	cs_time first_start;
	cs_time submitted;
};

/* One submission of a job. */
struct model_call {
	int job;
	int entry;
	uint64_t generation;
	cs_time sent;
	bool is_answered;
	bool is_gone; /* the caller hung up */
	bool has_run;
	bool was_refused; /* answered as not run */
	/* Long enough before the call for every entry to know. */
	bool key_was_withdrawn;
};

/* One task on a worker. */
struct model_task {
	char id[CS_NAME_MAX];
	int job;
	int team;
	int worker;
	bool is_running;
	bool is_long;
	cs_time started, ends, lease_end;
	cs_time progress; /* of long work */
	enum task_state state;
	uint64_t end_generation; /* of the last end event; others are ignored */
	cs_time touched;
};

struct model_worker {
	char name[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX];
	char host[CS_NAME_MAX];
	int data_centre;
	int slots, running;
	bool is_down, is_failing_all, is_silent;
	cs_time leaving_since; /* 0: not leaving */
	cs_time last_start; /* of a task */
};

struct model_team {
	char name[CS_NAME_MAX];
	uint8_t keys[KEYS_PER_TEAM][CS_DIGEST_LEN];
	cs_time withdrawn_at[KEYS_PER_TEAM]; /* 0: in force */
	cs_time granted_at[KEYS_PER_TEAM]; /* last grant after a withdrawal */
	int share;
	int limit; /* in the newest document */
	int limit_in_use_max; /* highest limit that may still be in use */
	cs_time limit_lowered_at; /* last time */
	int running; /* tasks on all workers */
	double used; /* slot seconds of tasks that have ended */
};

struct model_data_centre {
	char name[CS_NAME_MAX];
	cs_time out_since; /* 0: in service */
	bool is_platform_cut;
	bool is_cut[DATA_CENTRES_MAX];
	/* When these were last the case. */
	cs_time last_platform_cut; /* the platform was unreachable */
	cs_time last_peers_cut; /* all other data centres were unreachable */
	cs_time last_cut; /* a link was cut or an entry was paused */
	cs_time last_start; /* a task started */
	cs_time last_isolated; /* the data centre may have been isolated */
};

struct kv_model; /* model_kv.c */

enum invariant {
	INV_BUDGET, /* I1 */
	INV_ONE_POOL, /* I2 */
	INV_KEY, /* I3 */
	INV_WITHDRAWN, /* I4 */
	INV_LIMIT, /* I5 */
	INV_OUT, /* I6 */
	INV_WHOLE_ANSWER, /* I7 */
	INV_NOT_RUN, /* I8 */
	INV_AT_MOST_ONCE, /* I9 */
	INV_LEAVING, /* I10 */
	INV_GRACEFUL, /* I11 */
	INV_IN_FORCE, /* I12: in force within 7 s */
	INV_NO_REVERT, /* I12: a revision is never reverted */
	INV_LONG_KEPT, /* no accepted long job is lost */
	INV_LONG_SINGLE, /* at most one attempt of a long job runs at a time */
	INV_INTERNAL, /* checked by the core itself */
	INV_NR
};

enum fault {
	FAULT_KILL,
	FAULT_PAUSE,
	FAULT_DATA_CENTRE_CUT,
	FAULT_PLATFORM_CUT,
	FAULT_OUTAGE,
	FAULT_SLOW_PLATFORM,
	FAULT_WRITE_REPLY_LOST,
	FAULT_LATE_WRITE,
	FAULT_WORKER_DOWN,
	FAULT_WORKER_FAILS,
	FAULT_WORKER_SILENT,
	FAULT_WORKER_LEAVES,
	FAULT_WORKER_REPLY_LOST,
	FAULT_DATA_CENTRE_OUT,
	FAULT_KEY_WITHDRAWN,
	FAULT_LIMIT_CHANGED,
	FAULT_OPERATOR_RACE,
	FAULT_DRAIN,
	FAULT_CANCEL_WAVE,
	FAULT_REPEAT,
	FAULT_SLOW_LINK,
	FAULT_NR
};

struct world_options {
	uint32_t seed;
	uint64_t steps;
	const char *mutant; /* NULL: none */
	int entries, data_centres, teams;
	int workers; /* per pool and data centre */
	bool no_faults;
	bool no_load; /* for benchmarks, which submit their own jobs */
	int limit_share; /* limit of each team, percent of all slots */
	bool is_quiet; /* prints nothing on success */
};

struct world {
	struct world_options opt;
	GRand *rng;
	struct timers *timers;
	cs_time now;
	uint64_t steps;
	struct model_entry entries[ENTRIES_MAX];
	struct model_link links[ENTRIES_MAX][ENTRIES_MAX]; /* [low][high] */
	struct model_data_centre data_centres[DATA_CENTRES_MAX];
	struct model_team teams[TEAMS_MAX];
	struct model_worker *workers;
	int workers_nr;
	GArray *jobs; /* struct model_job */
	GArray *calls; /* struct model_call; caller handle is index + 1 */
	GHashTable *tasks; /* id -> struct model_task */
	struct kv_model *kv;
	bool is_platform_out, is_platform_slow;
	cs_time last_platform_outage; /* last time that it was out */
	cs_time last_platform_slowness; /* last time that it was slow */
	struct document *doc; /* the newest accepted one */
	cs_time doc_time; /* when it was accepted */
	uint64_t checks[INV_NR];
	uint64_t injected[FAULT_NR];
	uint64_t violations;
	bool is_settling; /* no new faults and no new load */
	char *event_log[EVENT_LINES]; /* the last events */
	unsigned event_log_next;
	uint64_t answered, refused, unknown; /* answers to callers */
	GHashTable *reasons; /* of refusals -> count */
	uint64_t long_done;
	double work_done; /* slot seconds of completed long work */
	double work_wasted;
	uint64_t kv_calls;
	uint64_t peer_bytes; /* approximate size of peer messages */
};

/* world.c */
struct world *world_create(const struct world_options *options);
void world_destroy(struct world *w);
/* Runs one event. Returns false if there is none. */
bool world_step(struct world *w);
/* Runs events until the time is reached or an invariant is violated. */
void world_run_until(struct world *w, cs_time end);
/* Calls fn once after delay. */
void world_after(struct world *w, cs_time delay, timer_fn fn, void *ctx,
		 uint64_t arg);
/*
 * Delivers a message to an entry after delay, unless the entry stops before
 * that. Takes ownership of msg.
 */
void world_send(struct world *w, int entry, cs_time delay, struct msg *msg);
void world_start_entry(struct world *w, int entry);
void world_kill_entry(struct world *w, int entry);
/* Adds the checks that the core of an entry has made itself to the counts. */
void world_collect_checks(struct world *w, int entry);
void world_pause_entry(struct world *w, int entry, bool is_paused);
bool world_reachable(const struct world *w, int a, int b);
/* A random integer from lo to hi, inclusive. */
int world_random_int(struct world *w, int lo, int hi);
/* True with the given probability. */
bool world_random_percent(struct world *w, double percent);
/* Records an event for the report of a violation. */
void world_log_event(struct world *w, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/* Updates the model from the newest accepted document. */
void world_accept_document(struct world *w, GBytes *value);

/* model_kv.c */
struct kv_model *kv_model_create(struct world *w);
void kv_model_destroy(struct kv_model *kv);
void kv_model_call(struct world *w, int entry, const struct kv_call *call);
/* The stored value, owned by the model; NULL: no such key. */
GBytes *kv_model_value(const struct kv_model *kv, const char *key);
/* Writes a value at once, without a call. Takes ownership of value. */
void kv_model_put(struct world *w, const char *key, GBytes *value);
void kv_model_set_state(struct kv_model *kv, bool is_out, bool is_slow);
/* Calls fn for each stored key with that prefix. */
void kv_model_each(const struct kv_model *kv, const char *prefix,
		   void (*fn)(const char *key, GBytes *value, void *arg),
		   void *arg);

/* model_worker.c */
void worker_model_start(struct world *w, int entry, struct task_start *start);
void worker_model_control(struct world *w, int entry,
			  const struct task_control *control);
void worker_model_poll(struct world *w, int entry,
		       const struct usage_poll *poll);

/* callers.c */
void callers_start(struct world *w);
/* Submits a job through an entry, for the first time or again. */
void callers_submit(struct world *w, int job, int entry);
/* Adds a random job of a team (-1: the open queue) and returns its index. */
int callers_new_job(struct world *w, int team, bool is_long);
void callers_on_reply(struct world *w, int entry, struct reply *reply);
void callers_on_entry_stop(struct world *w, int entry);

/* faults.c */
void faults_start(struct world *w);
void faults_end_all(struct world *w);
void faults_on_admin(struct world *w, int entry, struct admin_reply *reply);
/*
 * Sends an operator's change through an entry. expected is the revision that it
 * was made for; 0: any.
 */
void faults_change(struct world *w, int entry, const struct change *change,
		   uint64_t expected);

/* invariants.c */
/*
 * Counts a check of the invariant. If it does not hold, counts a violation and
 * reports the first one. Returns holds.
 */
bool check(struct world *w, enum invariant invariant, bool holds,
	   const char *fmt, ...) __attribute__((format(printf, 4, 5)));
void check_start(struct world *w, const struct model_task *task,
		 const struct model_job *job, const struct model_worker *wk);
/* Records what each data centre can reach now. */
void record_reachability(struct world *w);
/*
 * True if the data centre may not know of a change made within the last span:
 * the platform was out, so the reply to the change may be lost, or neither the
 * platform nor another data centre was reachable.
 */
bool data_centre_may_be_isolated(const struct world *w, int data_centre,
				 cs_time span);
void check_document(struct world *w, const struct document *before,
		    const struct document *after);
void check_periodic(struct world *w);
void check_end(struct world *w);
void print_report(const struct world *w);
const char *fault_name(enum fault fault);

#endif
