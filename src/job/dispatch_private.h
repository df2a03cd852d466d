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

/* Shared by the files of the dispatch part; nobody else includes this. */

struct dispatch {
	struct request_table *table;
	struct team_index *teams;
	struct slots *held_permits; /* struct held_permit */
	GHashTable *held_by_attempt; /* &held->attempt -> its handle */
	GHashTable *recently_used; /* "team queue" -> cs_time */
	uint64_t next_task;
	cs_handle tick_timer; /* runs only while work waits */
	cs_time drain_began; /* 0: not draining */
};

/* The permit of a task whose end is not known. */
struct held_permit {
	char team[CS_NAME_MAX];
	cs_handle attempt; /* whose late result proves the end */
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
 * Answers with a refusal and frees the request. An outcome of "not run" is
 * turned into "unknown" if an attempt may have run.
 */
void dispatch_refuse(struct part_ctx *ctx, struct request *request,
		     const struct refusal *refusal);

/* Answers with what a worker or another entry said, and frees the request. */
void dispatch_answer(struct part_ctx *ctx, struct request *request,
		     struct reply *reply);

/* Frees a request without an answer: the caller is gone. */
void dispatch_drop(struct part_ctx *ctx, struct request *request);

/* Tells the ledger how much of the team's work waits for a permit. */
void dispatch_report_demand(struct part_ctx *ctx, const struct team_queue *q);

/* Queues a request that has passed all checks, or that runs once more. */
void dispatch_enqueue(struct part_ctx *ctx, struct request *request,
		      bool at_head);

/*
 * Queues a request after a time in which its key may have been withdrawn, or
 * its queue or team removed. Such a request is refused, and freed: false.
 */
bool dispatch_requeue(struct part_ctx *ctx, struct request *request,
		      bool at_head);

/* dispatch_run.c: attempts */

void dispatch_schedule(struct part_ctx *ctx, struct pool_queue *pool);
void dispatch_task_done(struct part_ctx *ctx, struct task_done *done);
void dispatch_control_done(struct part_ctx *ctx,
			   const struct task_control_done *done);
/* Takes a request out of whatever state it is in, so that it can be freed. */
void dispatch_detach(struct part_ctx *ctx, struct request *request);

/* The attempt has ended with an unknown outcome, as if its call had failed. */
void dispatch_abandon_attempt(struct part_ctx *ctx, struct request *request,
			      const char *step);

/* dispatch_probe.c: attempts at workers that may have gone silent */

/* Begins to ask after the running attempt of an idempotent request. */
void dispatch_probe_start(struct part_ctx *ctx, struct request *request);
void dispatch_probe_done(struct part_ctx *ctx,
			 const struct task_control_done *done);

/* dispatch_forward.c: requests that another entry serves */

/* Forwards a request that is not queued to that data centre; false: can't. */
bool dispatch_forward(struct part_ctx *ctx, struct request *request,
		      const char *data_centre);
/* Tells the other entry that nobody waits for its answer any more. */
void dispatch_forward_cancel(struct part_ctx *ctx, struct request *request);
/* Forwards waiting requests when this data centre can't serve them. */
void dispatch_forward_waiting(struct part_ctx *ctx, struct pool_queue *pool);
void dispatch_on_peer(struct part_ctx *ctx, struct peer_msg *peer);
void dispatch_peer_lost(struct part_ctx *ctx, const char *peer);

/* dispatch.c: entry of a request from a caller or another entry */
void dispatch_submit(struct part_ctx *ctx, const struct submit *submit,
		     const char *origin, uint64_t origin_ref);

/* Emits the span of one hop inside this entry. */
void dispatch_span(struct part_ctx *ctx, const struct request *request,
		   const char *name, const char *peer, cs_time start,
		   const char *result);

#endif
