#include "long_private.h"

#include <string.h>

#include "../base/error.h"

/* Limit on queries that wait for the platform. */
#define QUERIES_MAX 4096

/* Limit on repeated cancellations after conflicts with other writes. */
#define CANCEL_ATTEMPTS_MAX 5

struct long_query {
	struct job_query query;
	char team[CS_NAME_MAX];
	bool is_cancel;
	bool is_result; /* the result is being read */
	int cancel_attempts;
	struct long_record record;
};

bool long_query_init(struct long_work *lw)
{
	lw->queries = slots_create(sizeof(struct long_query), QUERIES_MAX);
	return lw->queries != NULL;
}

/*
 * Answers a query, or refuses it with that reason if body is NULL. Takes over
 * the reference to the body.
 */
static void reply(struct part_ctx *ctx, const struct job_query *query,
		  int status, const char *type, GBytes *body,
		  const char *reason)
{
	struct msg *msg = msg_new(MSG_REPLY);

	msg->u.reply.caller = query->caller;
	/* A refused query says nothing about the job. */
	msg->u.reply.outcome = body ? OUTCOME_ANSWERED : OUTCOME_UNKNOWN;
	msg->u.reply.status = status;
	msg->u.reply.body = body;
	msg->u.reply.trace = query->trace;
	cs_copy(msg->u.reply.content_type, sizeof(msg->u.reply.content_type),
		type);
	cs_copy(msg->u.reply.reason, sizeof(msg->u.reply.reason), reason);
	cs_copy(msg->u.reply.step, sizeof(msg->u.reply.step), "job_query");
	cs_copy(msg->u.reply.job, sizeof(msg->u.reply.job), query->job);
	part_emit(ctx, msg);
}

static void refuse(struct part_ctx *ctx, const struct job_query *query,
		   int status, const char *reason)
{
	reply(ctx, query, status, "", NULL, reason);
}

/* Answers with the state of the job as JSON. */
static void reply_state(struct part_ctx *ctx, const struct job_query *query,
			const struct long_record *record)
{
	GString *json = g_string_new(NULL);

	long_record_describe(record, json);
	reply(ctx, query, 200, "application/json", g_string_free_to_bytes(json),
	      "");
}

/*
 * Sends a call for the queried job's key under the prefix. The version is used
 * by a compare-and-swap only, which writes the query's record.
 */
static void send_call(struct part_ctx *ctx, enum kv_op op, const char *prefix,
		      const struct long_query *q, cs_handle h, uint64_t version)
{
	struct msg *msg;
	char key[128];

	g_snprintf(key, sizeof(key), "%s%s", prefix, q->query.job);
	msg = part_kv_call(PART_LONG_WORK, op, key,
			   long_token_make(TOKEN_QUERY, h));
	if (op == KV_CAS) {
		msg->u.kv_call.version = version;
		msg->u.kv_call.value = long_record_encode(&q->record);
	}
	part_emit(ctx, msg);
}

/* Answers with the result of a finished job, or refuses with its state. */
static void answer_result(struct part_ctx *ctx, struct long_query *q,
			  cs_handle h)
{
	if (q->record.state == LONG_DONE) {
		q->is_result = true;
		send_call(ctx, KV_GET, "job-results/", q, h, 0);
		return;
	}
	refuse(ctx, &q->query, long_state_is_final(q->record.state) ? 410 : 404,
	       long_state_name(q->record.state));
	slots_free(ctx->parts.long_work->queries, h);
}

static void answer_record(struct part_ctx *ctx, struct long_query *q,
			  cs_handle h)
{
	if (q->query.wants_result) {
		answer_result(ctx, q, h);
		return;
	}
	reply_state(ctx, &q->query, &q->record);
	slots_free(ctx->parts.long_work->queries, h);
}

/* Marks the job as cancelled in its record, which its owner then finds. */
static void cancel_record(struct part_ctx *ctx, struct long_query *q,
			  cs_handle h, uint64_t version)
{
	if (long_state_is_final(q->record.state) || q->record.is_cancelled ||
	    q->cancel_attempts++ >= CANCEL_ATTEMPTS_MAX) {
		reply_state(ctx, &q->query, &q->record);
		slots_free(ctx->parts.long_work->queries, h);
		return;
	}
	q->record.is_cancelled = true;
	send_call(ctx, KV_CAS, "jobs/", q, h, version);
}

static void on_result_value(struct part_ctx *ctx, struct long_query *q,
			    cs_handle h, const struct kv_done *done)
{
	if (done->result == KV_OK && done->rows_nr)
		reply(ctx, &q->query, q->record.status, q->record.result_type,
		      long_body_decode(done->rows[0].value), "");
	else
		refuse(ctx, &q->query, 503, "platform_down");
	slots_free(ctx->parts.long_work->queries, h);
}

/*
 * Handles the outcome of a cancellation. After a conflict the present record is
 * marked as cancelled instead; otherwise the query ends.
 */
static void on_cancel_written(struct part_ctx *ctx, struct long_query *q,
			      cs_handle h, const struct kv_done *done)
{
	if (done->result == KV_OK) {
		reply_state(ctx, &q->query, &q->record);
	} else if (done->result == KV_CONFLICT && done->rows_nr &&
		   !long_record_decode(done->rows[0].value, &q->record, NULL)) {
		cancel_record(ctx, q, h, done->rows[0].version);
		return;
	} else {
		refuse(ctx, &q->query, 503, "platform_down");
	}
	slots_free(ctx->parts.long_work->queries, h);
}

/*
 * Answers from the record, or marks it as cancelled. A job of another team is
 * answered like a missing one.
 */
static void on_record_value(struct part_ctx *ctx, struct long_query *q,
			    cs_handle h, const struct kv_done *done)
{
	bool is_read =
		done->result == KV_OK && done->rows_nr &&
		!long_record_decode(done->rows[0].value, &q->record, NULL);

	if (is_read && !strcmp(q->record.team, q->team)) {
		if (q->is_cancel)
			cancel_record(ctx, q, h, done->rows[0].version);
		else
			answer_record(ctx, q, h);
		return;
	}
	if (done->result == KV_MISSING || is_read)
		refuse(ctx, &q->query, 404, "no_such_job");
	else
		refuse(ctx, &q->query, 503, "platform_down");
	slots_free(ctx->parts.long_work->queries, h);
}

void long_query_on_kv(struct part_ctx *ctx, const struct kv_done *done)
{
	cs_handle h = long_token_handle(done->token);
	struct long_query *q = slots_get(ctx->parts.long_work->queries, h);

	if (!q)
		return;
	if (q->is_result)
		on_result_value(ctx, q, h, done);
	else if (done->op == KV_CAS)
		on_cancel_written(ctx, q, h, done);
	else
		on_record_value(ctx, q, h, done);
}

/*
 * Answers for a job of this entry without a platform call. Returns false if the
 * job, or the wanted result, is not here.
 */
static bool answer_local(struct part_ctx *ctx, const struct job_query *query,
			 const char *team, bool is_cancel)
{
	struct long_job *job =
		g_hash_table_lookup(ctx->parts.long_work->by_id, query->job);
	struct long_record record;

	if (!job || strcmp(job->record.team, team) ||
	    (query->wants_result && job->result == NULL))
		return false;
	if (query->wants_result) {
		reply(ctx, query, job->record.status, job->record.result_type,
		      g_bytes_ref(job->result), "");
		return true;
	}
	record = job->record;
	if (is_cancel) {
		record.is_cancelled = true;
		reply_state(ctx, query, &record);
		long_run_cancel(ctx, job); /* may free the job */
		return true;
	}
	reply_state(ctx, query, &record);
	return true;
}

void long_query_begin(struct part_ctx *ctx, const struct job_query *query,
		      bool is_cancel)
{
	struct long_work *lw = ctx->parts.long_work;
	const char *team = NULL;
	struct long_query *q;
	cs_handle h;

	if (query->has_key)
		team = team_index_by_key(lw->teams, query->key_digest);
	if (!team) {
		refuse(ctx, query, 401,
		       query->has_key ? "key_not_accepted" : "key_required");
		return;
	}
	if (answer_local(ctx, query, team, is_cancel))
		return;
	h = slots_alloc(lw->queries, (void **)&q);
	if (!h) {
		refuse(ctx, query, 429, "queue_full");
		return;
	}
	q->query = *query;
	q->is_cancel = is_cancel;
	cs_copy(q->team, sizeof(q->team), team);
	send_call(ctx, KV_GET, "jobs/", q, h, 0);
}
