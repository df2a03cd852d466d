#ifndef JOB_DISPATCH_PRIVATE_H
#define JOB_DISPATCH_PRIVATE_H

#include "../claim/claim_sync.h"
#include "../config/config_sync.h"
#include "../fleet/fleet.h"
#include "../ledger/ledger_sync.h"
#include "../team/share.h"
#include "../team/team.h"
#include "dispatch.h"
#include "request.h"

/* Shared by the files of the dispatch part, not for other parts. */

struct dispatch {
	struct request_table *table;
	struct team_index *teams;
	struct slots *held_permits; /* struct held_permit */
	GHashTable *held_by_attempt; /* &held->attempt -> its handle */
	GHashTable *recently_used; /* "team queue" -> cs_time */
	uint64_t next_task;
	cs_handle tick_timer; /* set only while work waits */
	cs_time drain_began; /* 0: not draining */
};

/* The permit of a task that may still run although its attempt was given up. */
struct held_permit {
	char team[CS_NAME_MAX];
	cs_handle attempt; /* its late result proves that the task has ended */
	cs_handle timer;
};

/* dispatch.c: answers */

/* Why and how a request is refused. */
struct refusal {
	enum outcome outcome;
	int status;
	const char *reason;
	const char *step;
	const char *peer;
	int64_t retry_after_ms;
};

/*
 * Answers with a refusal and frees the request. An outcome of "not run" becomes
 * "unknown" if an attempt, or an earlier submission, may have run.
 */
void dispatch_refuse(struct part_ctx *ctx, struct request *request,
		     const struct refusal *refusal);

/*
 * Sends the answer of a worker or another entry and frees the request. Takes
 * over the reference to the body of reply.
 */
void dispatch_answer(struct part_ctx *ctx, struct request *request,
		     struct reply *reply);

/* Frees a request without an answer, since its caller disconnected. */
void dispatch_drop(struct part_ctx *ctx, struct request *request);

/* Reports to the ledger how much of the team's work waits for a permit. */
void dispatch_report_demand(struct part_ctx *ctx, const struct team_queue *q);

/* Queues a request that has passed all checks, or that is tried again. */
void dispatch_enqueue(struct part_ctx *ctx, struct request *request,
		      bool at_head);

/*
 * Repeats the admission rules and queues the request, since its key may have
 * been withdrawn, or its queue or team removed, in the meantime. A request that
 * fails them is refused and freed; the result is then false.
 */
bool dispatch_requeue(struct part_ctx *ctx, struct request *request,
		      bool at_head);

/* dispatch_run.c: attempts */

/* Starts waiting work of the pool until nothing more can start. */
void dispatch_schedule(struct part_ctx *ctx, struct pool_queue *pool);
void dispatch_task_done(struct part_ctx *ctx, struct task_done *done);
void dispatch_control_done(struct part_ctx *ctx,
			   const struct task_control_done *done);
/*
 * Prepares a request for its removal: takes it out of its queue, ends its
 * attempt, or cancels its backoff or forward, depending on its state.
 */
void dispatch_detach(struct part_ctx *ctx, struct request *request);

/* Treats the running attempt as failed with an unknown outcome. */
void dispatch_abandon_attempt(struct part_ctx *ctx, struct request *request,
			      const char *step);

/* dispatch_probe.c: attempts on workers that may no longer respond */

/* Starts to probe the running attempt of an idempotent request. */
void dispatch_probe_start(struct part_ctx *ctx, struct request *request);
void dispatch_probe_done(struct part_ctx *ctx,
			 const struct task_control_done *done);

/* dispatch_forward.c: requests forwarded to other entries */

/*
 * Forwards a request, which must not be queued, to an entry of the data centre.
 * Returns false if that is not possible.
 */
bool dispatch_forward(struct part_ctx *ctx, struct request *request,
		      const char *data_centre);
/* Tells the other entry that its answer is no longer needed. */
void dispatch_forward_cancel(struct part_ctx *ctx, struct request *request);
/* Forwards queued requests that this data centre can't serve soon. */
void dispatch_forward_waiting(struct part_ctx *ctx, struct pool_queue *pool);
void dispatch_on_peer(struct part_ctx *ctx, struct peer_msg *peer);
void dispatch_peer_lost(struct part_ctx *ctx, const char *peer);

/*
 * dispatch.c: takes a submission of a caller, or of the entry origin, which
 * forwarded it as origin_ref.
 */
void dispatch_submit(struct part_ctx *ctx, const struct submit *submit,
		     const char *origin, uint64_t origin_ref);

/* Emits a span for one step of a request in this entry, ending now. */
void dispatch_span(struct part_ctx *ctx, const struct request *request,
		   const char *name, const char *peer, cs_time start,
		   const char *result);

#endif
