#include "node_private.h"

#include <string.h>

#include "../base/error.h"
#include "../base/log.h"
#include "../batch/batch_codec.h"

/*
 * Handles the requests of callers. Each is answered from the store, which all
 * entries reach, so no answer depends on which entry is the owner. A submission
 * is accepted once its key is stored. The key is written only if it does not
 * exist, so a submission can be repeated and stays one job.
 */

/* Open requests; each belongs to a connection of the front. */
#define REQUESTS_MAX (1u << 16)
/* Part of the caller's timeout that is kept for sending the reply. */
#define REPLY_MARGIN_MS 150
/* Used when the caller gives no timeout. */
#define DEFAULT_TIMEOUT_MS 3000
/*
 * Interval of retries after the store refused a call, and how long they go on.
 * That is short, since another entry may reach the store and the caller can ask
 * there at once.
 */
#define RETRY_US (60 * CS_MSEC)
#define RETRY_FOR_US (400 * CS_MSEC)
/* A store that has failed for longer is not called for a request. */
#define STORE_FAILING_US (400 * CS_MSEC)
/*
 * Kept of the bound on withdrawn keys for the request's way from its caller and
 * through the tasks of this process.
 */
#define WITHDRAWAL_MARGIN_US (500 * CS_MSEC)
/* Oldest view of the operators' keys with which the entry reports as ready. */
#define READY_VIEW_AGE_US (2500 * CS_MSEC)
#define RETRY_AFTER_MS 1000
/*
 * A store whose calls take longer than this is slow: a job waits for each of
 * the writes between its submission and its first start.
 */
#define SLOW_STORE_US (50 * CS_MSEC)
/*
 * While the store is unreachable, Retry-After is this share of the duration of
 * the outage: an outage that has lasted long is likely to go on, and a caller
 * that retries each second runs out of attempts before it ends.
 */
#define OUTAGE_SHARE 0.7
#define RETRY_AFTER_MAX_MS 10000

struct open_request {
	struct node *node;
	cs_handle self;
	struct api_request *request;
	const char *id; /* of the job, in the request's path */
	char workspace[SITE_NAME_MAX];
	char queue[SITE_NAME_MAX];
	struct site_terms terms; /* of the queue */
	struct site_resources limit; /* of the workspace */
	bool is_queue_open; /* no key is needed, so no workspace is known */
	cs_time deadline;
	bool is_write_uncertain; /* a write without a reply may be done */
	bool is_reading_job; /* the key of the job, not of its progress */
	uint64_t job_revision; /* of that key, when it was read for a cancel */
	/*
	 * Of the owner's key, on which the last write is conditional, as it
	 * records that tasks start; 0: it is not.
	 */
	uint64_t owner_revision;
	bool has_owner_changed; /* that condition failed */
	GBytes *value; /* of the job's key, as written last; NULL: none */
	/* Of the marker of a refusal in the job's key; 0: none is known. */
	uint64_t marker_revision;
	int64_t refusal_retry_ms; /* Retry-After of the refusal under way */
	const char *refusal_reason;
};

struct api_request *api_request_new(enum api_kind kind)
{
	struct api_request *r = g_new0(struct api_request, 1);

	r->kind = kind;
	return r;
}

void api_request_free(struct api_request *r)
{
	if (!r)
		return;
	g_free(r->host);
	g_free(r->path);
	g_free(r->key);
	batch_spec_destroy(r->spec);
	g_free(r);
}

const char *api_kind_name(enum api_kind kind)
{
	static const char *const names[] = { "submit", "state", "cancel",
					     "ready" };

	return names[kind];
}

const char *api_result_name(enum api_result result)
{
	static const char *const names[] = { "ok",	    "no_queue",
					     "no_job",	    "denied",
					     "invalid",	    "overloaded",
					     "unavailable", "unknown" };

	return names[result];
}

static void log_reply(struct node *n, const struct api_request *r,
		      const struct api_reply *reply, const char *queue,
		      const char *workspace, const char *id, cs_time now)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "kind", api_kind_name(r->kind));
	/* A request that names no job is identified by its path. */
	if (id)
		log_pair(pairs, "job", id);
	else
		log_pair(pairs, "path", r->path);
	log_pair(pairs, "queue", queue);
	log_pair(pairs, "workspace", workspace);
	log_pair(pairs, "result", api_result_name(reply->result));
	if (reply->has_state)
		log_pair(pairs, "state", batch_state_name(reply->state));
	if (reply->reason)
		log_pair(pairs, "reason", reply->reason);
	log_pair_int(pairs, "site_version",
		     n->site ? (int64_t)site_version(n->site) : -1);
	log_pair_int(pairs, "site_age_ms",
		     (now - view_current_at(n->operators)) / CS_MSEC);
	log_pair_int(pairs, "took_ms", (now - r->received) / CS_MSEC);
	node_log(n, "request", pairs);
}

/* When a caller whose request was refused may retry; 0: not given. */
static int64_t retry_after_ms(struct node *n, enum api_result result,
			      cs_time now)
{
	double ms = RETRY_AFTER_MS;

	if (result != API_OVERLOADED && result != API_UNAVAILABLE)
		return 0;
	if (n->store_lost_at)
		ms = CLAMP((double)(now - n->store_lost_at) / CS_MSEC *
				   OUTAGE_SHARE,
			   RETRY_AFTER_MS, RETRY_AFTER_MAX_MS);
	return (int64_t)ms;
}

/* Sends the reply to a request, and releases the request. */
static void send_reply(struct node *n, struct api_request *r,
		       struct api_reply *reply, const char *queue,
		       const char *workspace, const char *id, cs_time now)
{
	struct api_reply *out = g_memdup2(reply, sizeof(*reply));
	char labels[64];

	g_snprintf(labels, sizeof(labels), "kind=\"%s\",result=\"%s\"",
		   api_kind_name(r->kind), api_result_name(reply->result));
	counters_observe(n->counters, "camphorshed_request_seconds", labels,
			 now - r->received);
	out->kind = r->kind;
	out->exchange = r->exchange;
	if (r->kind != API_READY)
		log_reply(n, r, reply, queue, workspace, id, now);
	n->ops->reply(n->ctx, out);
	api_request_free(r);
}

static void finish_request(struct open_request *o, struct api_reply *reply,
			   cs_time now)
{
	struct node *n = o->node;

	g_bytes_unref(o->value);
	send_reply(n, o->request, reply, o->queue, o->workspace, o->id, now);
	slots_free(n->requests, o->self);
}

static void finish_with_result(struct open_request *o, enum api_result result,
			       const char *reason, cs_time now)
{
	struct api_reply reply = { .result = result, .reason = reason };

	reply.retry_after_ms = retry_after_ms(o->node, result, now);
	finish_request(o, &reply, now);
}

static void finish_state(struct open_request *o, enum batch_state state,
			 cs_time now)
{
	struct api_reply reply = { .result = API_OK,
				   .has_state = true,
				   .state = state };

	finish_request(o, &reply, now);
}

/* Timeout of the next call for the request, ms; 0 when no time is left. */
static int64_t time_left(const struct open_request *o, cs_time now)
{
	int64_t left = (o->deadline - now) / CS_MSEC;

	if (left > STORE_TIMEOUT_MS)
		left = STORE_TIMEOUT_MS;
	return left < 1 ? 0 : left;
}

/*
 * True if the job belongs to another workspace, which chose the same
 * identifier. workspace: of the job; "" if it was submitted without a key.
 */
static bool is_foreign(const struct open_request *o, const char *workspace)
{
	return !o->is_queue_open && *workspace &&
	       strcmp(workspace, o->workspace) != 0;
}

/*
 * The item of the job's key in a reply, or NULL. A conflict shows all keys of
 * the conditions that exist.
 */
static const struct store_item *job_item(const struct open_request *o,
					 const struct store_reply *d)
{
	guint i;

	for (i = 0; i < d->items->len; i++) {
		const struct store_item *item = g_ptr_array_index(d->items, i);

		if (g_str_has_prefix(item->key, KEY_JOBS) &&
		    !strcmp(item->key + strlen(KEY_JOBS), o->id))
			return item;
	}
	return NULL;
}

/* The same for a stored submission; one that has ended names no workspace. */
static bool is_foreign_submission(const struct open_request *o,
				  const struct store_reply *d)
{
	const struct store_item *item = job_item(o, d);
	struct batch *b;
	bool is_other;
	gsize size;
	const void *data;

	if (!item || !item->value)
		return false;
	data = g_bytes_get_data(item->value, &size);
	b = batch_decode_submission(data, size);
	is_other = b && is_foreign(o, b->workspace);
	batch_destroy(b);
	return is_other;
}

/* True if the job's key holds the marker in place of a submission. */
static bool has_marker(const struct open_request *o,
		       const struct store_reply *d, const char *marker)
{
	const struct store_item *item = job_item(o, d);

	return item && item->value && store_value_is(item->value, marker);
}

static void submit(struct open_request *o, cs_time now);
static void store_submission(struct open_request *o, cs_time now);
static void store_refusal(struct open_request *o, cs_time now);
static void read_job(struct open_request *o, cs_time now);

static void send_next_call(struct open_request *o, cs_time now)
{
	switch (o->request->kind) {
	case API_SUBMIT:
		submit(o, now);
		break;
	case API_STATE:
	case API_CANCEL:
		read_job(o, now);
		break;
	case API_READY:
		break;
	}
}

static void on_retry(void *ctx, uint64_t arg, cs_time now)
{
	struct node *n = ctx;
	struct open_request *o = slots_get(n->requests, arg);

	if (o)
		send_next_call(o, now);
}

/* Schedules another call, or replies that the store can't be used. */
static void retry(struct open_request *o, const char *reason, cs_time now)
{
	if (now + RETRY_US < o->deadline &&
	    now - o->request->received < RETRY_FOR_US) {
		timers_subscribe(o->node->timers, now + RETRY_US, on_retry,
				 o->node, o->self);
		return;
	}
	finish_with_result(
		o, o->is_write_uncertain ? API_UNKNOWN : API_UNAVAILABLE,
		reason, now);
}

/* Sends a call for the request; on_reply gets its handle. */
static void send_call(struct open_request *o, struct store_call *call,
		      store_reply_fn on_reply)
{
	store_calls_send(o->node->calls, call, on_reply, o->node, o->self);
}

/* Reads the key of the request's job under a prefix. */
static void read_key(struct open_request *o, const char *prefix,
		     store_reply_fn on_reply, cs_time now)
{
	char *key;

	if (!time_left(o, now)) {
		retry(o, "no time left", now);
		return;
	}
	key = g_strconcat(prefix, o->id, NULL);
	send_call(o, store_call_new(STORE_GET, key, time_left(o, now)),
		  on_reply);
	g_free(key);
}

/*
 * Writes the job's key if it holds no job. The first call for it expects no
 * key; the reply to that may tell of a marker. With progress, which may be
 * NULL, the key of the job's progress is written as well, if the owner is still
 * the one of owner_revision. Takes ownership of the values.
 */
static void take_job_key(struct open_request *o, GBytes *value,
			 GBytes *progress, store_reply_fn on_reply, cs_time now)
{
	struct store_call *c;
	char *key;

	if (!time_left(o, now)) {
		g_bytes_unref(value);
		g_bytes_unref(progress);
		retry(o, "no time left", now);
		return;
	}
	key = g_strconcat(KEY_JOBS, o->id, NULL);
	c = store_call_new(STORE_TXN, NULL, time_left(o, now));
	store_call_expect(c, key, o->marker_revision);
	store_call_write(c, key, value, 0);
	g_free(key);
	if (progress) {
		store_call_expect(c, KEY_OWNER, o->owner_revision);
		key = g_strconcat(KEY_PROGRESS, o->id, NULL);
		store_call_write(c, key, progress, 0);
		g_free(key);
	}
	send_call(o, c, on_reply);
}

/*
 * True if the job's key holds no job, but the marker of a refusal, or nothing
 * after such a marker has expired. Notes the revision that the next write
 * replaces.
 */
static bool is_key_free(struct open_request *o, const struct store_reply *d)
{
	const struct store_item *item = job_item(o, d);
	bool was_marked = o->marker_revision != 0;

	o->marker_revision = 0;
	/* Without it, the condition on the owner's key has failed. */
	if (!item || !item->value)
		return d->result == STORE_MISSING || was_marked ||
		       o->owner_revision;
	if (!store_value_is(item->value, JOB_REFUSED))
		return false;
	o->marker_revision = item->revision;
	return true;
}

static void finish_foreign(struct open_request *o, cs_time now)
{
	finish_with_result(o, API_UNAVAILABLE,
			   "another workspace has a job with this identifier",
			   now);
}

/* The progress of an ended job names its workspace, which its key does not. */
static void on_ended_read(void *ctx, uint64_t arg, const struct store_reply *d,
			  cs_time now)
{
	struct node *n = ctx;
	struct open_request *o = slots_get(n->requests, arg);
	char workspace[SITE_NAME_MAX];
	enum batch_state state;
	gsize size;
	const void *data;

	if (!o)
		return;
	if (d->result != STORE_OK || !d->items->len) {
		/* Also if it is missing: the job has just expired. */
		retry(o, "the ended job could not be read", now);
		return;
	}
	data = g_bytes_get_data(
		((const struct store_item *)g_ptr_array_index(d->items, 0))
			->value,
		&size);
	if (batch_decode_state(data, size, &state, workspace))
		finish_with_result(o, API_UNAVAILABLE,
				   "the stored state can't be read", now);
	else if (is_foreign(o, workspace))
		finish_foreign(o, now);
	else
		finish_with_result(o, API_OK, "known", now);
}

/* Handles a submission whose identifier has a job that has ended. */
static void read_ended_job(struct open_request *o, cs_time now)
{
	read_key(o, KEY_PROGRESS, on_ended_read, now);
}

/* Handles a submission whose identifier is in the store. */
static void finish_known(struct open_request *o, const struct store_reply *d,
			 cs_time now)
{
	if (has_marker(o, d, JOB_WITHDRAWN))
		finish_with_result(o, API_UNAVAILABLE,
				   "the job was cancelled before it was stored",
				   now);
	else if (has_marker(o, d, JOB_ENDED))
		read_ended_job(o, now);
	else if (is_foreign_submission(o, d))
		finish_foreign(o, now);
	else
		finish_with_result(o, API_OK, "known", now);
}

/* Tells the owner of the job, which its watch will do later. */
static void notify_owner(struct open_request *o, uint64_t revision, cs_time now)
{
	struct node *n = o->node;
	struct submission *s =
		submission_new(o->id, revision, o->owner_revision, o->value);

	if (n->owner.state < OWNER_LOADING) {
		n->ops->submission(n->ctx, s);
		return;
	}
	node_submission_stored(n, s, now);
	submission_free(s);
}

static void on_submitted(void *ctx, uint64_t arg, const struct store_reply *d,
			 cs_time now)
{
	struct node *n = ctx;
	struct open_request *o = slots_get(n->requests, arg);

	if (!o)
		return;
	switch (d->result) {
	case STORE_OK:
		if (o->owner_revision)
			notify_owner(o, d->revision, now);
		finish_with_result(o, API_OK, "stored", now);
		break;
	case STORE_CONFLICT: /* it was stored before: still one job */
		o->has_owner_changed = o->owner_revision != 0;
		if (is_key_free(o, d))
			store_submission(o, now);
		else
			finish_known(o, d, now);
		break;
	case STORE_UNKNOWN:
		o->is_write_uncertain = true;
		retry(o, "no answer from the store", now);
		break;
	default:
		retry(o, "the store refused the write", now);
	}
}

/*
 * The job as it is stored, with the names and the specification of the request.
 * Each attempt writes the same bytes.
 */
static void fill_batch(struct open_request *o, struct batch *b)
{
	const struct api_request *r = o->request;

	b->submitted_unix_ms = node_unix_ms(o->node, r->received);
	b->terms = o->terms;
	b->limit = o->limit;
	b->spec = r->spec;
	cs_copy(b->id, sizeof(b->id), o->id);
	b->queue = o->queue;
	b->workspace = o->workspace;
}

/*
 * Stores a job. While the store is slow, the record that its tasks start in the
 * pool of its queue is part of the same write, so that the owner need not store
 * it before the first start. The write is then conditional on the owner's key:
 * a later owner knows that the job may have runs. It is not always done that
 * way, since a new owner has to wait for servers that do not answer before it
 * starts such a job.
 */
static void store_submission(struct open_request *o, cs_time now)
{
	struct node *n = o->node;
	struct batch b = { 0 };
	GBytes *progress = NULL;

	fill_batch(o, &b);
	o->owner_revision = 0;
	if (store_calls_latency(n->calls, now) > SLOW_STORE_US &&
	    !o->has_owner_changed)
		o->owner_revision = n->owner.seen_revision;
	if (o->owner_revision) {
		batch_begin(&b, o->terms.pool);
		b.begun_owner = o->owner_revision;
		progress = batch_encode_progress(&b);
	}
	g_bytes_unref(o->value);
	o->value = batch_encode_submission(&b);
	take_job_key(o, g_bytes_ref(o->value), progress, on_submitted, now);
	if (b.pools)
		g_ptr_array_free(b.pools, TRUE);
}

static void on_refusal_stored(void *ctx, uint64_t arg,
			      const struct store_reply *d, cs_time now)
{
	struct node *n = ctx;
	struct open_request *o = slots_get(n->requests, arg);
	struct api_reply reply = { .result = API_OVERLOADED };

	if (!o)
		return;
	reply.reason = o->refusal_reason;
	switch (d->result) {
	case STORE_OK:
		reply.retry_after_ms = o->refusal_retry_ms;
		finish_request(o, &reply, now);
		break;
	case STORE_CONFLICT:
		if (is_key_free(o, d))
			store_refusal(o, now);
		else
			finish_known(o, d, now);
		break;
	default:
		/* A late write of a marker changes no job that is stored. */
		retry(o, "the refusal could not be stored", now);
	}
}

/*
 * Refuses a job. A write of an earlier submission that got no reply could still
 * be carried out, so the key is taken before the caller is told that the job
 * never runs. A marker that is there is written again for the same reason: a
 * submission that expects its present revision may be on its way.
 */
static void store_refusal(struct open_request *o, cs_time now)
{
	o->owner_revision = 0;
	take_job_key(o, g_bytes_new_static(JOB_REFUSED, strlen(JOB_REFUSED)),
		     NULL, on_refusal_stored, now);
}

/* Decides whether to refuse a submission, and sets why and for how long. */
static bool is_refused(struct open_request *o, cs_time now)
{
	struct node *n = o->node;

	o->refusal_reason = "the workspace has too much accepted work";
	o->refusal_retry_ms = admission_full_ms(n->admission, o->workspace);
	if (o->refusal_retry_ms || !n->options.policy.has_admission)
		return o->refusal_retry_ms;
	o->refusal_reason = "the job would end too late";
	o->refusal_retry_ms = admission_refuse_ms(n->admission, o->queue,
						  o->request->spec, &o->terms,
						  node_unix_ms(n, now));
	return o->refusal_retry_ms;
}

static void submit(struct open_request *o, cs_time now)
{
	/* What this request has begun to store is not refused any more. */
	if (!o->is_write_uncertain && is_refused(o, now))
		store_refusal(o, now);
	else
		store_submission(o, now);
}

/*
 * True if a transaction failed though the job's key is as it was read: the
 * cancellation is stored already.
 */
static bool is_cancellation_stored(const struct open_request *o,
				   const struct store_reply *d)
{
	const struct store_item *item = job_item(o, d);

	return item && item->revision == o->job_revision;
}

static void on_cancelled(void *ctx, uint64_t arg, const struct store_reply *d,
			 cs_time now)
{
	struct node *n = ctx;
	struct open_request *o = slots_get(n->requests, arg);

	if (!o)
		return;
	if (d->result == STORE_OK || is_cancellation_stored(o, d))
		finish_with_result(o, API_OK, NULL, now);
	else if (d->result == STORE_CONFLICT)
		read_job(o, now); /* the job's key has changed meanwhile */
	else
		retry(o, "the cancellation could not be stored", now);
}

/*
 * Cancels the job as its key was read. The owner removes a cancellation with
 * its job, so one that got no reply must not be carried out after that.
 */
static void cancel(struct open_request *o, cs_time now)
{
	struct store_call *c;
	char *key;

	if (!time_left(o, now)) {
		retry(o, "no time left", now);
		return;
	}
	c = store_call_new(STORE_TXN, NULL, time_left(o, now));
	key = g_strconcat(KEY_JOBS, o->id, NULL);
	store_call_expect(c, key, o->job_revision);
	g_free(key);
	key = g_strconcat(KEY_CANCELS, o->id, NULL);
	store_call_expect(c, key, 0);
	store_call_write(c, key, g_bytes_new("", 0), 0);
	g_free(key);
	send_call(o, c, on_cancelled);
}

static void on_withdrawn(void *ctx, uint64_t arg, const struct store_reply *d,
			 cs_time now)
{
	struct node *n = ctx;
	struct open_request *o = slots_get(n->requests, arg);

	if (!o)
		return;
	if (d->result == STORE_OK)
		finish_with_result(o, API_NO_JOB, "withdrawn", now);
	else if (d->result == STORE_CONFLICT)
		read_job(o, now); /* the job was stored meanwhile */
	else
		retry(o, "the cancellation could not be stored", now);
}

/*
 * Cancels a job that is not stored: a write of its submission that got no reply
 * could still be carried out, so the key is taken before the caller is told
 * that there is no such job.
 */
static void withdraw(struct open_request *o, cs_time now)
{
	take_job_key(o,
		     g_bytes_new_static(JOB_WITHDRAWN, strlen(JOB_WITHDRAWN)),
		     NULL, on_withdrawn, now);
}

/* Handles the reply for the job's key, read if there is no progress. */
static void handle_job_read(struct open_request *o, const struct store_reply *d,
			    cs_time now)
{
	bool has_no_job = is_key_free(o, d);

	if (has_no_job && o->request->kind == API_CANCEL) {
		withdraw(o, now);
	} else if (has_no_job || has_marker(o, d, JOB_WITHDRAWN) ||
		   is_foreign_submission(o, d)) {
		finish_with_result(o, API_NO_JOB, NULL, now);
	} else if (o->request->kind == API_CANCEL) {
		o->job_revision = job_item(o, d)->revision;
		cancel(o, now);
	} else {
		finish_state(o, BATCH_QUEUED, now);
	}
}

static void handle_progress_read(struct open_request *o,
				 const struct store_reply *d, cs_time now)
{
	const struct store_item *item = g_ptr_array_index(d->items, 0);
	char workspace[SITE_NAME_MAX];
	enum batch_state state;
	gsize size;
	const void *data = g_bytes_get_data(item->value, &size);

	if (batch_decode_state(data, size, &state, workspace))
		finish_with_result(o, API_UNAVAILABLE,
				   "the stored state can't be read", now);
	else if (is_foreign(o, workspace))
		finish_with_result(o, API_NO_JOB, NULL, now);
	else
		finish_state(o, state, now);
}

static void on_key_read(void *ctx, uint64_t arg, const struct store_reply *d,
			cs_time now)
{
	struct node *n = ctx;
	struct open_request *o = slots_get(n->requests, arg);
	bool is_found = d->result == STORE_OK && d->items->len;

	if (!o)
		return;
	if (!is_found && d->result != STORE_MISSING) {
		retry(o, "the store could not be read", now);
		return;
	}
	if (o->is_reading_job) {
		handle_job_read(o, d, now);
	} else if (is_found) {
		handle_progress_read(o, d, now);
	} else {
		o->is_reading_job = true;
		read_job(o, now);
	}
}

/* Reads the progress first, then the job's key. A cancel needs only the key. */
static void read_job(struct open_request *o, cs_time now)
{
	if (o->request->kind == API_CANCEL)
		o->is_reading_job = true;
	read_key(o, o->is_reading_job ? KEY_JOBS : KEY_PROGRESS, on_key_read,
		 now);
}

/*
 * Replies with the scheduler's state of the job if this entry is the owner. A
 * final state that is not stored yet is not shown, since it could be lost with
 * the owner.
 */
static bool reply_as_owner(struct open_request *o, cs_time now)
{
	struct node *n = o->node;
	const struct batch *b;
	enum batch_state state;
	bool is_stored;

	if (n->owner.state != OWNER_ACTIVE || n->owner.is_releasing ||
	    o->request->kind != API_STATE)
		return false;
	b = sched_find_batch(n->sched, o->id, &is_stored);
	if (!b)
		return false;
	if (is_foreign(o, b->workspace)) {
		finish_with_result(o, API_NO_JOB, NULL, now);
		return true;
	}
	state = b->state;
	if (!is_stored && state >= BATCH_DONE)
		state = BATCH_RUNNING;
	finish_state(o, state, now);
	return true;
}

/* API_OK if the key allows the call; *workspace is set to the key's. */
static enum api_result check_key(const struct node *n,
				 const struct site_queue *q, const char *key,
				 const char **workspace)
{
	const struct site_workspace *w = key ? site_key_owner(n->site, key) :
					       NULL;

	*workspace = w ? w->name : "";
	return w || q->is_open ? API_OK : API_DENIED;
}

static void reply_pending_count(struct node *n, struct api_request *r,
				const struct site_queue *q, cs_time now)
{
	const struct queue_load *load =
		g_hash_table_lookup(n->queue_loads, q->name);
	struct api_reply reply = { .result = API_OK,
				   .has_pending = true,
				   .pending = load ? load->pending : 0 };

	send_reply(n, r, &reply, q->name, "", NULL, now);
}

static void reply_result(struct node *n, struct api_request *r,
			 enum api_result result, const char *reason,
			 cs_time now)
{
	struct api_reply reply = { .result = result, .reason = reason };

	reply.retry_after_ms = retry_after_ms(n, result, now);
	send_reply(n, r, &reply, "", "", NULL, now);
}

static bool is_ready(const struct node *n, cs_time now)
{
	return n->site && !n->is_draining &&
	       now - view_current_at(n->operators) < READY_VIEW_AGE_US;
}

/* Adds a request to the table, and sends its first call to the store. */
static void accept_request(struct node *n, struct api_request *r,
			   const struct site_queue *q, const char *workspace,
			   const char *id, cs_time now)
{
	const struct site_workspace *w =
		site_find_workspace(n->site, workspace);
	struct open_request *o;
	int64_t timeout = r->timeout_ms > 0 ? r->timeout_ms :
					      DEFAULT_TIMEOUT_MS;
	cs_handle h;

	if (!n->requests)
		n->requests = slots_create(sizeof(*o), REQUESTS_MAX);
	h = slots_alloc(n->requests, (void **)&o);
	if (!h) {
		reply_result(n, r, API_OVERLOADED, "too many open requests",
			     now);
		return;
	}
	o->node = n;
	o->self = h;
	o->request = r;
	o->id = id;
	o->deadline = r->received + (timeout - REPLY_MARGIN_MS) * CS_MSEC;
	cs_copy(o->workspace, sizeof(o->workspace), workspace);
	cs_copy(o->queue, sizeof(o->queue), q->name);
	o->terms = q->terms;
	if (w)
		o->limit = w->limit;
	o->is_queue_open = q->is_open;
	if (!reply_as_owner(o, now))
		send_next_call(o, now);
}

/*
 * True if a withdrawal of the key could be older than its bound without being
 * known here. It also holds just after a long pause, or once the store answers
 * again, until the configuration was read anew.
 */
static bool is_key_unsure(const struct node *n, const struct site_queue *q,
			  cs_time now)
{
	cs_time bound = n->options.withdrawn_key_ms * CS_MSEC;

	return bound && !q->is_open &&
	       now - view_current_at(n->operators) >=
		       bound - MIN(WITHDRAWAL_MARGIN_US, bound / 2);
}

void api_handle_request(struct node *n, struct api_request *r, cs_time now)
{
	const struct site_queue *q;
	const char *rest, *workspace;
	enum api_result result;

	if (r->kind == API_READY) {
		reply_result(n, r, is_ready(n, now) ? API_OK : API_UNAVAILABLE,
			     NULL, now);
		return;
	}
	if (!n->site) {
		reply_result(n, r, API_UNAVAILABLE, "no configuration yet",
			     now);
		return;
	}
	q = site_route(n->site, r->host, r->path, &rest);
	if (!q) {
		reply_result(n, r, API_NO_QUEUE, "no such queue", now);
		return;
	}
	result = check_key(n, q, r->key, &workspace);
	if (result != API_OK) {
		reply_result(n, r, result, "the key is missing or unknown",
			     now);
		return;
	}
	if (is_key_unsure(n, q, now)) {
		reply_result(n, r, API_UNAVAILABLE,
			     "the key may have been withdrawn", now);
		return;
	}
	if (r->kind == API_STATE && !*rest) {
		reply_pending_count(n, r, q, now);
		return;
	}
	if (!batch_id_is_valid(rest)) {
		reply_result(n, r,
			     r->kind == API_SUBMIT ? API_INVALID : API_NO_JOB,
			     "not a job identifier", now);
		return;
	}
	if (n->store_lost_at && now - n->store_lost_at > STORE_FAILING_US) {
		reply_result(n, r, API_UNAVAILABLE,
			     "the store can't be reached", now);
		return;
	}
	if (r->kind == API_SUBMIT && !r->spec) {
		reply_result(n, r, API_INVALID,
			     *r->fault ? r->fault : "the job can't be read",
			     now);
		return;
	}
	accept_request(n, r, q, workspace, rest, now);
}
