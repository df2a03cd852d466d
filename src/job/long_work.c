#include "long_private.h"

#include <inttypes.h>
#include <string.h>

#include "../base/error.h"
#include "../base/log.h"

/* Long jobs of one entry, each with a record and a body of some KB. */
#define JOBS_MAX 16384

struct long_job *long_job_add(struct part_ctx *ctx,
			      const struct long_record *record)
{
	struct long_work *lw = ctx->parts.long_work;
	struct long_job *job;
	cs_handle h;

	if (g_hash_table_contains(lw->by_id, record->id))
		return NULL;
	h = slots_alloc(lw->jobs, (void **)&job);
	if (!h)
		return NULL;
	job->self = h;
	job->record = *record;
	job->arrived = ctx->now;
	g_hash_table_insert(lw->by_id, job->record.id, job);
	return job;
}

void long_change_id(struct part_ctx *ctx, char out[48])
{
	g_snprintf(out, 48, "%.12s-%" PRIx64 "-%" PRIx64, ctx->options->id,
		   ctx->options->incarnation,
		   ++ctx->parts.long_work->next_change);
}

void long_job_remove(struct part_ctx *ctx, struct long_job *job)
{
	struct long_work *lw = ctx->parts.long_work;

	part_check_invariant(ctx, "long-slot-freed", !job->has_slot);
	long_job_unqueue(ctx, job);
	timers_cancel(ctx->timers, job->timer);
	timers_cancel(ctx->timers, job->renew_timer);
	if (job->body)
		g_bytes_unref(job->body);
	if (job->result)
		g_bytes_unref(job->result);
	g_hash_table_remove(lw->by_id, job->record.id);
	slots_free(lw->jobs, job->self);
}

void long_job_wait(struct part_ctx *ctx, struct long_job *job)
{
	const struct doc_team *team =
		document_team(config_sync_document(ctx), job->record.team);

	job->phase = PHASE_WAITING;
	job->record.state = LONG_WAITING;
	if (ctx->is_draining ||
	    config_sync_is_data_centre_out(ctx, ctx->options->data_centre)) {
		long_move_release(ctx, job);
		return;
	}
	job->share_row = share_find_or_add_row(ctx, job->record.pool,
					       job->record.team,
					       team ? team->share : 1);
	job->is_queued = true;
	job->waiting_since = ctx->now;
	dispatch_add_long_waiting(ctx, job->record.pool, job->record.team, 1);
}

void long_job_unqueue(struct part_ctx *ctx, struct long_job *job)
{
	if (!job->is_queued)
		return;
	job->is_queued = false;
	dispatch_add_long_waiting(ctx, job->record.pool, job->record.team, -1);
}

void long_job_reply(struct part_ctx *ctx, struct long_job *job,
		    enum outcome outcome, int status, const char *reason)
{
	struct msg *msg;

	if (!job->caller)
		return;
	msg = msg_new(MSG_REPLY);
	msg->u.reply.caller = job->caller;
	msg->u.reply.outcome = outcome;
	msg->u.reply.status = status;
	msg->u.reply.trace = job->trace;
	cs_copy(msg->u.reply.reason, sizeof(msg->u.reply.reason), reason);
	cs_copy(msg->u.reply.step, sizeof(msg->u.reply.step), "long_work");
	cs_copy(msg->u.reply.job, sizeof(msg->u.reply.job), job->record.id);
	if (outcome == OUTCOME_NOT_RUN)
		msg->u.reply.retry_after_ms = 1000;
	part_emit(ctx, msg);
	job->caller = 0;
}

/* Refuses a submission for which there is no job. */
static void refuse(struct part_ctx *ctx, const struct submit *submit,
		   int status, const char *reason)
{
	struct msg *msg = msg_new(MSG_REPLY);

	msg->u.reply.caller = submit->caller;
	msg->u.reply.outcome = submit_refusal_outcome(submit, false);
	msg->u.reply.status = status;
	msg->u.reply.trace = submit->trace;
	msg->u.reply.retry_after_ms = 1000;
	cs_copy(msg->u.reply.reason, sizeof(msg->u.reply.reason), reason);
	cs_copy(msg->u.reply.step, sizeof(msg->u.reply.step), "long_work");
	part_emit(ctx, msg);
}

/* Answers a repeated submission whose job is owned by this entry. */
static void answer_duplicate(struct part_ctx *ctx, const struct submit *submit,
			     const struct long_job *job)
{
	struct msg *msg = msg_new(MSG_REPLY);
	struct reply *r = &msg->u.reply;

	r->caller = submit->caller;
	r->trace = submit->trace;
	cs_copy(r->job, sizeof(r->job), job->record.id);
	if (job->phase == PHASE_CREATING) {
		/* Whether it will be accepted is not known yet. */
		r->outcome = OUTCOME_UNKNOWN;
		r->status = 503;
		r->retry_after_ms = 1000;
		cs_copy(r->reason, sizeof(r->reason), "being_recorded");
		cs_copy(r->step, sizeof(r->step), "long_work");
	} else {
		r->outcome = OUTCOME_ACCEPTED;
		r->status = 202;
	}
	part_emit(ctx, msg);
}

void long_work_submit(struct part_ctx *ctx, const struct submit *submit,
		      const char *team, const char *pool)
{
	struct long_record record = { 0 };
	struct long_job *job;

	long_record_id(team, submit->request_id, ctx->rng, record.id);
	cs_copy(record.team, sizeof(record.team), team);
	cs_copy(record.pool, sizeof(record.pool), pool);
	cs_copy(record.content_type, sizeof(record.content_type),
		submit->content_type);
	cs_copy(record.owner, sizeof(record.owner), ctx->options->id);
	record.incarnation = ctx->options->incarnation;
	record.is_idempotent = submit->is_idempotent;
	/* The body is stored as base64, in one value. */
	if (submit->body &&
	    g_bytes_get_size(submit->body) > CS_VALUE_MAX / 4 * 3) {
		refuse(ctx, submit, 413, "body_too_large");
		return;
	}
	job = g_hash_table_lookup(ctx->parts.long_work->by_id, record.id);
	if (job) {
		answer_duplicate(ctx, submit, job);
		return;
	}
	job = long_job_add(ctx, &record);
	if (!job) {
		refuse(ctx, submit, 429, "queue_full");
		return;
	}
	job->phase = PHASE_CREATING;
	job->caller = submit->caller;
	job->has_request_id = *submit->request_id;
	job->trace = submit->trace;
	job->body = submit->body ? g_bytes_ref(submit->body) :
				   g_bytes_new(NULL, 0);
	long_store_body(ctx, job);
}

/* The waiting job of the team that arrived first, or NULL. */
static struct long_job *first_waiting(struct long_work *lw, const char *pool,
				      const char *team)
{
	struct long_job *job, *best = NULL;
	cs_handle h;

	for (h = slots_next(lw->jobs, 0); h; h = slots_next(lw->jobs, h)) {
		job = slots_get(lw->jobs, h);
		if (!job->is_queued || strcmp(job->record.team, team) ||
		    strcmp(job->record.pool, pool))
			continue;
		if (!best || job->arrived < best->arrived)
			best = job;
	}
	return best;
}

int long_work_start_one(struct part_ctx *ctx, const char *pool,
			const char *team)
{
	struct long_job *job = first_waiting(ctx->parts.long_work, pool, team);
	int code;

	if (!job)
		return CS_ERR_MISSING;
	code = fleet_place(ctx, pool, false, job->failed_workers, 3,
			   &job->placement);
	/*
	 * If no other worker is free, a worker on which the job failed is used
	 * again: a small pool may have no other.
	 */
	if (code == CS_ERR_FULL && job->record.failures)
		code = fleet_place(ctx, pool, false, NULL, 0, &job->placement);
	if (code)
		return code;
	/* If this entry fails, the task ends with its lease. */
	code = ledger_sync_acquire_for(ctx, team, LONG_LEASE / CS_MSEC);
	if (code) {
		fleet_finish(ctx, job->placement.worker, FLEET_NEUTRAL);
		return code;
	}
	long_job_unqueue(ctx, job);
	share_task_started(ctx, job->share_row);
	job->has_slot = true;
	job->started = ctx->now;
	job->phase = PHASE_RECORDING_START;
	job->record.state = LONG_RUNNING;
	job->record.attempt++;
	cs_copy(job->record.worker, sizeof(job->record.worker),
		job->placement.name);
	cs_copy(job->record.address, sizeof(job->record.address),
		job->placement.address);
	/* Recorded before the start, so that no other attempt has this id. */
	g_snprintf(job->record.task_id, sizeof(job->record.task_id), "%.40s-%d",
		   job->record.id, job->record.attempt);
	long_store_record(ctx, job, AFTER_WRITE_START);
	return CS_OK;
}

int long_work_count(const struct part_ctx *ctx)
{
	return (int)slots_count(ctx->parts.long_work->jobs);
}

/*
 * Handles queries and the results of tasks that this part started: the core
 * passes a result to the part named in it. Submissions come from dispatch.
 */
static void long_on_msg(struct part_ctx *ctx, struct msg *msg)
{
	switch (msg->type) {
	case MSG_JOB_QUERY:
		long_query_begin(ctx, &msg->u.job_query, false);
		break;
	case MSG_JOB_CANCEL:
		long_query_begin(ctx, &msg->u.job_query, true);
		break;
	case MSG_TASK_DONE:
		long_run_task_done(ctx, &msg->u.task_done);
		break;
	case MSG_TASK_CONTROL_DONE:
		long_run_control_done(ctx, &msg->u.task_control_done);
		break;
	default:
		break;
	}
}

/* Routes the reply to a platform call by the kind in its token. */
static void long_on_kv(struct part_ctx *ctx, const struct kv_done *done)
{
	switch (long_token_kind(done->token)) {
	case TOKEN_LIST:
		long_move_on_list(ctx, done);
		break;
	case TOKEN_ADOPT:
		long_move_on_adopted(ctx, done);
		break;
	case TOKEN_QUERY:
		long_query_on_kv(ctx, done);
		break;
	case TOKEN_DELETE:
		break; /* a failed call is repeated by a later scan */
	default:
		long_store_on_kv(ctx, done);
		break;
	}
}

static void long_on_peer(struct part_ctx *ctx, struct peer_msg *peer)
{
	long_move_on_peer(ctx, peer);
}

/* Hands over all jobs if the data centre was taken out of service. */
static void long_on_config(struct part_ctx *ctx, const struct document *doc)
{
	struct long_work *lw = ctx->parts.long_work;

	team_index_destroy(lw->teams);
	lw->teams = team_index_create(doc);
	if (config_sync_is_data_centre_out(ctx, ctx->options->data_centre))
		long_move_hand_over(ctx);
}

static void long_drain(struct part_ctx *ctx)
{
	long_move_hand_over(ctx);
}

static bool long_is_drained(struct part_ctx *ctx)
{
	return !slots_count(ctx->parts.long_work->jobs);
}

/* The team index starts empty and is replaced by the first configuration. */
static int long_create(struct part_ctx *ctx, struct cs_error *err)
{
	struct long_work *lw = g_new0(struct long_work, 1);
	struct document *empty = document_create();

	ctx->parts.long_work = lw;
	lw->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	lw->scanned =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	lw->teams = team_index_create(empty);
	document_destroy(empty);
	lw->jobs = slots_create(sizeof(struct long_job), JOBS_MAX);
	if (!lw->jobs || !long_query_init(lw))
		return cs_error_set(err, CS_ERR_NOMEM, "long_work", NULL,
				    "out of memory");
	return CS_OK;
}

/* Jobs hold references to their bodies and results. */
static void long_destroy(struct part_ctx *ctx)
{
	struct long_work *lw = ctx->parts.long_work;
	struct long_job *job;
	cs_handle h;

	if (!lw)
		return;
	for (h = slots_next(lw->jobs, 0); h; h = slots_next(lw->jobs, h)) {
		job = slots_get(lw->jobs, h);
		if (job->body)
			g_bytes_unref(job->body);
		if (job->result)
			g_bytes_unref(job->result);
	}
	slots_destroy(lw->jobs);
	slots_destroy(lw->queries);
	g_hash_table_destroy(lw->by_id);
	g_hash_table_destroy(lw->scanned);
	team_index_destroy(lw->teams);
	g_free(lw);
	ctx->parts.long_work = NULL;
}

const struct part_ops long_work_part = {
	.name = "long_work",
	.create = long_create,
	.destroy = long_destroy,
	.start = long_move_scan_start,
	.on_msg = long_on_msg,
	.on_kv = long_on_kv,
	.on_peer = long_on_peer,
	.on_config = long_on_config,
	.drain = long_drain,
	.is_drained = long_is_drained,
};
