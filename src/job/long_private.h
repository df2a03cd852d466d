#ifndef JOB_LONG_PRIVATE_H
#define JOB_LONG_PRIVATE_H

#include "../base/slots.h"
#include "../config/config_sync.h"
#include "../fleet/fleet.h"
#include "../ledger/ledger_sync.h"
#include "../team/share.h"
#include "../team/team.h"
#include "dispatch.h"
#include "long_record.h"
#include "long_work.h"

/* Shared by the files of the long work part, not for other parts. */

/* The lease of a task on its worker, and the interval of its renewal. */
#define LONG_LEASE (6 * CS_SEC)
#define LONG_RENEW_INTERVAL (2 * CS_SEC)

/* Covers the delay of a start or renewal on its way to the worker. */
#define LONG_LEASE_MARGIN (5 * CS_SEC)

/* What this entry is doing with a job. */
enum long_phase {
	PHASE_CREATING, /* the body, then the record are written */
	PHASE_LOADING, /* adopted; the record is written, the body read */
	PHASE_WAITING, /* for a slot and a permit */
	PHASE_RECORDING_START, /* the attempt is written before it starts */
	PHASE_STARTING, /* the start was sent to the worker */
	PHASE_RUNNING,
	PHASE_CHECKPOINTING, /* before the stop of a job that moves */
	PHASE_STOPPING,
	PHASE_ATTEMPT_LOST, /* waits for its certain end, or to retry */
	PHASE_FETCHING, /* the result is read from the worker */
	PHASE_STORING, /* the result, then the record are written */
	PHASE_OFFERED, /* runs; another entry was asked to take it over */
	PHASE_RELEASING /* the record is written without an owner */
};

/* What to do once a write of the record has succeeded. */
enum long_after_write {
	AFTER_WRITE_NOTHING,
	AFTER_WRITE_ACCEPT,
	AFTER_WRITE_START,
	AFTER_WRITE_REMOVE,
	AFTER_WRITE_OFFER
};

struct long_job {
	cs_handle self;
	enum long_phase phase;
	struct long_record record;
	struct long_record in_write; /* content of the write in flight */
	uint64_t version; /* of the record in the platform */
	GBytes *body;
	GBytes *result;
	cs_handle caller; /* waits for the acknowledgement; 0: none */
	struct trace trace;
	cs_time arrived;
	cs_time waiting_since;
	struct placement placement;
	bool has_slot; /* a permit and a slot of a worker are held */
	bool is_queued; /* counted by dispatch_add_long_waiting() */
	cs_time started;
	cs_time last_renewed; /* start of the task, or last confirmed renewal */
	cs_handle share_row;
	cs_handle timer; /* of the phase */
	cs_handle renew_timer;
	bool has_request_id;
	bool may_be_recorded; /* a write of the record got no reply */
	bool is_writing; /* a write of the record is in flight */
	bool needs_write; /* the record changed during that write */
	enum long_after_write after_write;
	bool is_checkpointed; /* the worker wrote the requested checkpoint */
	bool is_record_lost; /* another entry owns the record now */
	char failed_hosts[3][CS_NAME_MAX];
	cs_handle failed_workers[3];
	char offer_peer[CS_NAME_MAX]; /* entry that gets or makes the offer */
	cs_time last_written; /* last successful write of the record */
};

struct long_query;

struct long_work {
	struct slots *jobs; /* struct long_job */
	GHashTable *by_id; /* record.id -> struct long_job */
	struct slots *queries; /* struct long_query */
	struct team_index *teams;
	GHashTable *scanned; /* id -> struct scanned_record, see long_move.c */
	uint64_t scans; /* number of scans so far */
	uint64_t next_change;
};

/* long_work.c */
/* Makes a change id that is unique among the writes of all entries. */
void long_change_id(struct part_ctx *ctx, char out[48]);
/* Returns NULL if a job of this id is here already or the table is full. */
struct long_job *long_job_add(struct part_ctx *ctx,
			      const struct long_record *record);
void long_job_remove(struct part_ctx *ctx, struct long_job *job);
/*
 * Queues the job for a slot and a permit, or releases it if this entry drains
 * or its data centre is out of service.
 */
void long_job_wait(struct part_ctx *ctx, struct long_job *job);
void long_job_unqueue(struct part_ctx *ctx, struct long_job *job);
/* Replies to the caller that waits for the acknowledgement, if any. */
void long_job_reply(struct part_ctx *ctx, struct long_job *job,
		    enum outcome outcome, int status, const char *reason);

/* long_store.c: reads and writes of the platform */
void long_store_body(struct part_ctx *ctx, struct long_job *job);
void long_store_result(struct part_ctx *ctx, struct long_job *job);
void long_store_load_body(struct part_ctx *ctx, struct long_job *job);
/* Writes the record; after_write says what follows its success. */
void long_store_record(struct part_ctx *ctx, struct long_job *job,
		       enum long_after_write after_write);
void long_store_on_kv(struct part_ctx *ctx, const struct kv_done *done);

/* long_run.c: attempts */
/* Starts the recorded attempt, unless its conditions no longer hold. */
void long_run_start(struct part_ctx *ctx, struct long_job *job);
void long_run_task_done(struct part_ctx *ctx, const struct task_done *done);
void long_run_control_done(struct part_ctx *ctx,
			   struct task_control_done *done);
/* Checkpoints and stops a running job, to continue it at another entry. */
void long_run_move(struct part_ctx *ctx, struct long_job *job);
/* Cancels a job. */
void long_run_cancel(struct part_ctx *ctx, struct long_job *job);
/* Releases slot and permit once the attempt has certainly ended. */
void long_run_free_slot(struct part_ctx *ctx, struct long_job *job,
			enum fleet_result result);
/* Renews the lease of a running task that this entry took over. */
void long_run_resume(struct part_ctx *ctx, struct long_job *job);
/* Handles the loss of a record to another owner. */
void long_run_record_lost(struct part_ctx *ctx, struct long_job *job,
			  const struct long_record *present);

/* long_move.c: adoption, release and handover of jobs */
void long_move_scan_start(struct part_ctx *ctx);
void long_move_on_list(struct part_ctx *ctx, const struct kv_done *done);
void long_move_on_adopted(struct part_ctx *ctx, const struct kv_done *done);
/* Offers a released job to another entry and frees it here. */
void long_move_offer_released(struct part_ctx *ctx, struct long_job *job);
/* Removes the owner from the record, so that any entry may adopt the job. */
void long_move_release(struct part_ctx *ctx, struct long_job *job);
/* Releases the waiting jobs, and offers or moves the running ones. */
void long_move_hand_over(struct part_ctx *ctx);
void long_move_on_peer(struct part_ctx *ctx, const struct peer_msg *peer);

/* long_query.c: queries and cancellations by callers */
bool long_query_init(struct long_work *work);
void long_query_begin(struct part_ctx *ctx, const struct job_query *query,
		      bool is_cancel);
void long_query_on_kv(struct part_ctx *ctx, const struct kv_done *done);

/*
 * Tokens of platform calls hold the kind of the call in the top byte and a
 * handle below, whose generation stays far below 2^24.
 */
enum long_token {
	TOKEN_BODY = 1,
	TOKEN_RECORD,
	TOKEN_RESULT,
	TOKEN_LOAD,
	TOKEN_LIST,
	TOKEN_ADOPT,
	TOKEN_QUERY,
	TOKEN_DELETE
};

static inline uint64_t long_token_make(enum long_token kind, cs_handle handle)
{
	return (uint64_t)kind << 56 | (handle & ((UINT64_C(1) << 56) - 1));
}

static inline enum long_token long_token_kind(uint64_t token)
{
	return (enum long_token)(token >> 56);
}

static inline cs_handle long_token_handle(uint64_t token)
{
	return token & ((UINT64_C(1) << 56) - 1);
}

#endif
