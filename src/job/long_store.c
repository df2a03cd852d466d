#include "long_private.h"

#include <inttypes.h>
#include <string.h>

#include "../base/error.h"
#include "../base/log.h"

/* Pause before a write that failed is tried again. */
#define STORE_RETRY_DELAY (500 * CS_MSEC)

static struct long_job *get_job(const struct part_ctx *ctx, cs_handle h)
{
	return slots_get(ctx->parts.long_work->jobs, h);
}

static struct msg *value_call(enum kv_op op, const char *prefix,
			      const struct long_job *job, enum long_token kind)
{
	char key[128];

	g_snprintf(key, sizeof(key), "%s%s", prefix, job->record.id);
	return part_kv_call(PART_LONG_WORK, op, key,
			    long_token_make(kind, job->self));
}

void long_store_body(struct part_ctx *ctx, struct long_job *job)
{
	struct msg *msg = value_call(KV_CAS, "job-bodies/", job, TOKEN_BODY);

	msg->u.kv_call.value = long_body_encode(job->body);
	part_emit(ctx, msg);
}

void long_store_result(struct part_ctx *ctx, struct long_job *job)
{
	struct msg *msg = value_call(KV_CAS, "job-results/", job, TOKEN_RESULT);

	msg->u.kv_call.value = long_body_encode(job->result);
	part_emit(ctx, msg);
}

void long_store_load_body(struct part_ctx *ctx, struct long_job *job)
{
	job->phase = PHASE_LOADING;
	part_emit(ctx, value_call(KV_GET, "job-bodies/", job, TOKEN_LOAD));
}

/*
 * Sends a write, or repeats one whose reply was lost. A repeated write has the
 * same content, since the platform may apply the first one late and each change
 * id must stand for one content.
 */
static void write_record(struct part_ctx *ctx, struct long_job *job)
{
	struct msg *msg = value_call(KV_CAS, "jobs/", job, TOKEN_RECORD);

	job->is_writing = true;
	cs_copy(msg->u.kv_call.change_id, sizeof(msg->u.kv_call.change_id),
		job->in_write.change_id);
	msg->u.kv_call.version = job->version;
	msg->u.kv_call.value = long_record_encode(&job->in_write);
	part_emit(ctx, msg);
}

void long_store_record(struct part_ctx *ctx, struct long_job *job,
		       enum long_after_write after_write)
{
	/* A later call's action replaces one that has not run yet. */
	if (after_write != AFTER_WRITE_NOTHING)
		job->after_write = after_write;
	if (job->is_writing) {
		job->needs_write = true;
		return;
	}
	long_change_id(ctx, job->record.change_id);
	job->in_write = job->record;
	job->needs_write = false;
	write_record(ctx, job);
}

/* Repeats the failed call unless the job was removed meanwhile. */
static void on_retry(void *arg, uint64_t token, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct long_job *job = get_job(ctx, long_token_handle(token));

	ctx->now = now;
	if (!job)
		return;
	switch (long_token_kind(token)) {
	case TOKEN_BODY:
		long_store_body(ctx, job);
		break;
	case TOKEN_RECORD:
		write_record(ctx, job);
		break;
	case TOKEN_RESULT:
		long_store_result(ctx, job);
		break;
	case TOKEN_LOAD:
		long_store_load_body(ctx, job);
		break;
	default:
		break;
	}
}

static void retry(struct part_ctx *ctx, uint64_t token)
{
	timers_subscribe(ctx->timers, ctx->now + STORE_RETRY_DELAY, on_retry,
			 ctx, token);
}

/*
 * Runs the action that waited for the write of the record, or first writes the
 * changes that were made during the write.
 */
static void record_written(struct part_ctx *ctx, struct long_job *job,
			   uint64_t version)
{
	enum long_after_write after_write = job->after_write;

	job->version = version;
	job->last_written = ctx->now;
	if (job->needs_write) {
		long_store_record(ctx, job, AFTER_WRITE_NOTHING);
		return;
	}
	job->after_write = AFTER_WRITE_NOTHING;
	switch (after_write) {
	case AFTER_WRITE_NOTHING:
		break;
	case AFTER_WRITE_ACCEPT:
		long_job_reply(ctx, job, OUTCOME_ACCEPTED, 202, "");
		long_job_wait(ctx, job);
		break;
	case AFTER_WRITE_START:
		long_run_start(ctx, job);
		break;
	case AFTER_WRITE_REMOVE:
		long_job_remove(ctx, job);
		break;
	case AFTER_WRITE_OFFER:
		long_move_offer_released(ctx, job);
		break;
	}
}

/*
 * Another write came first: a cancellation, an earlier write of this entry
 * whose reply was lost, or a new owner.
 */
static void record_conflict(struct part_ctx *ctx, struct long_job *job,
			    const struct kv_done *done)
{
	struct long_record present;

	if (!done->rows_nr ||
	    long_record_decode(done->rows[0].value, &present, NULL)) {
		counters_add(ctx->counters, "long_bad_records_total", "", 1);
		retry(ctx, done->token);
		return;
	}
	if (!strcmp(present.change_id, job->in_write.change_id)) {
		record_written(ctx, job, done->rows[0].version);
		return;
	}
	if (job->phase == PHASE_CREATING) {
		/* The same request was submitted before. */
		long_job_reply(ctx, job, OUTCOME_ACCEPTED, 202, "");
		long_job_remove(ctx, job);
		return;
	}
	if (!strcmp(present.owner, ctx->options->id) &&
	    present.incarnation == ctx->options->incarnation) {
		job->version = done->rows[0].version;
		job->record.is_cancelled |= present.is_cancelled;
		if (job->record.is_cancelled &&
		    !long_state_is_final(job->record.state)) {
			job->after_write = AFTER_WRITE_NOTHING;
			long_run_cancel(ctx, job);
			return;
		}
		long_store_record(ctx, job, AFTER_WRITE_NOTHING);
		return;
	}
	long_run_record_lost(ctx, job, &present);
}

/*
 * Refuses a job that could not be recorded. An earlier submission with the same
 * identifier may have been accepted.
 */
static void refuse_unrecorded(struct part_ctx *ctx, struct long_job *job)
{
	bool is_not_run = job->record.is_idempotent || !job->has_request_id;

	long_job_reply(ctx, job, is_not_run ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN,
		       503, "platform_down");
	long_job_remove(ctx, job);
}

/*
 * Handles the outcome of a write of the record. A new job is refused only if no
 * write of its record can have taken effect; otherwise the write is repeated
 * until its outcome is known.
 */
static void on_record(struct part_ctx *ctx, struct long_job *job,
		      const struct kv_done *done)
{
	job->is_writing = false;
	switch (done->result) {
	case KV_OK:
		record_written(ctx, job, done->version);
		break;
	case KV_CONFLICT:
		record_conflict(ctx, job, done);
		break;
	default:
		job->may_be_recorded |= done->result == KV_UNKNOWN;
		if (job->phase == PHASE_CREATING &&
		    done->result == KV_UNAVAILABLE) {
			if (!job->may_be_recorded) {
				refuse_unrecorded(ctx, job);
				break;
			}
			/*
			 * The record may exist or still be applied, so the
			 * job is kept until that is known.
			 */
			long_job_reply(ctx, job, OUTCOME_UNKNOWN, 503,
				       "platform_down");
		}
		job->is_writing = true;
		retry(ctx, done->token);
		break;
	}
}

/*
 * Writes the record after the body, so that no record is without a body. A
 * write with an unknown outcome can be repeated safely.
 */
static void on_body(struct part_ctx *ctx, struct long_job *job,
		    const struct kv_done *done)
{
	switch (done->result) {
	case KV_OK:
	case KV_CONFLICT: /* the same request was submitted before */
		long_store_record(ctx, job, AFTER_WRITE_ACCEPT);
		break;
	case KV_UNKNOWN:
		retry(ctx, done->token);
		break;
	default:
		refuse_unrecorded(ctx, job);
		break;
	}
}

/* A conflict means that an earlier write of the result took effect. */
static void on_result(struct part_ctx *ctx, struct long_job *job,
		      const struct kv_done *done)
{
	if (done->result != KV_OK && done->result != KV_CONFLICT) {
		retry(ctx, done->token);
		return;
	}
	job->record.state = LONG_DONE;
	job->record.progress = 100;
	long_store_record(ctx, job, AFTER_WRITE_REMOVE);
}

/*
 * Continues an adopted job once its body is loaded. A job whose body is missing
 * can't run, so its state becomes LONG_HELD.
 */
static void on_load(struct part_ctx *ctx, struct long_job *job,
		    const struct kv_done *done)
{
	if (done->result == KV_MISSING) {
		job->record.state = LONG_HELD;
		cs_copy(job->record.reason, sizeof(job->record.reason),
			"body_missing");
		long_store_record(ctx, job, AFTER_WRITE_REMOVE);
		return;
	}
	if (done->result != KV_OK || !done->rows_nr) {
		retry(ctx, done->token);
		return;
	}
	job->body = long_body_decode(done->rows[0].value);
	if (job->record.is_cancelled && !job->has_slot)
		long_run_cancel(ctx, job);
	else if (job->has_slot)
		long_run_resume(ctx, job);
	else
		long_job_wait(ctx, job);
}

void long_store_on_kv(struct part_ctx *ctx, const struct kv_done *done)
{
	struct long_job *job = get_job(ctx, long_token_handle(done->token));

	if (!job)
		return;
	switch (long_token_kind(done->token)) {
	case TOKEN_BODY:
		on_body(ctx, job, done);
		break;
	case TOKEN_RECORD:
		on_record(ctx, job, done);
		break;
	case TOKEN_RESULT:
		on_result(ctx, job, done);
		break;
	case TOKEN_LOAD:
		on_load(ctx, job, done);
		break;
	default:
		break;
	}
}
