#include "front_decode.h"

#include <string.h>

#include "../base/error.h"
#include "../team/team.h"

/* The longest deadline that callers may set, and the default, in ms. */
#define DEADLINE_MAX 86400000
#define DEADLINE_SHORT_DEFAULT 30000

/* Sets status and reason of a refusal. Returns CS_ERR_INVALID. */
static int refuse(struct http_refusal *refusal, int status, const char *reason)
{
	refusal->status = status;
	refusal->reason = reason;
	return CS_ERR_INVALID;
}

/* Reads "yes" or "no". */
static int read_flag(const char *value, bool *flag)
{
	*flag = !strcmp(value, "yes");
	return *flag || !strcmp(value, "no") ? CS_OK : CS_ERR_INVALID;
}

static int read_request_id(struct submit *s, const char *value)
{
	if (!http_is_identifier(value, sizeof(s->request_id)))
		return CS_ERR_INVALID;
	cs_copy(s->request_id, sizeof(s->request_id), value);
	return CS_OK;
}

static int read_idempotent(struct submit *s, const char *value)
{
	return read_flag(value, &s->is_idempotent);
}

static int read_urgent(struct submit *s, const char *value)
{
	return read_flag(value, &s->is_urgent);
}

static int read_work(struct submit *s, const char *value)
{
	s->work = !strcmp(value, "long") ? WORK_LONG : WORK_SHORT;
	return s->work == WORK_LONG || !strcmp(value, "short") ? CS_OK :
								 CS_ERR_INVALID;
}

static int read_deadline(struct submit *s, const char *value)
{
	uint64_t ms;

	if (http_parse_number(value, 1, DEADLINE_MAX, &ms))
		return CS_ERR_INVALID;
	s->deadline_ms = (int64_t)ms;
	return CS_OK;
}

static int read_content_type(struct submit *s, const char *value)
{
	if (strlen(value) >= sizeof(s->content_type))
		return CS_ERR_INVALID;
	cs_copy(s->content_type, sizeof(s->content_type), value);
	return CS_OK;
}

/* The headers of a submission; all may be absent. */
static const struct {
	const char *name;
	const char *reason;
	int (*read)(struct submit *s, const char *value);
} submit_headers[] = {
	{ "Request-Id", "bad_request_id", read_request_id },
	{ "Idempotent", "bad_idempotent", read_idempotent },
	{ "Urgent", "bad_urgent", read_urgent },
	{ "Work", "bad_work", read_work },
	{ "Deadline-Ms", "bad_deadline", read_deadline },
	{ "Content-Type", "bad_content_type", read_content_type },
};

/* Stores only the digest of a key, so that the key can't appear in logs. */
static int read_key(const struct http_request *req, bool *has_key,
		    uint8_t digest[CS_DIGEST_LEN], struct http_refusal *refusal)
{
	const char *key;

	if (http_bearer_token(req, &key))
		return refuse(refusal, 401, "bad_authorization");
	*has_key = key;
	if (key)
		team_key_digest(key, strlen(key), digest);
	return CS_OK;
}

/*
 * Reads headers, body and key of a submission. Returns CS_OK, or
 * CS_ERR_INVALID with refusal filled.
 */
static int decode_submit(const struct http_request *req, const char *name,
			 struct msg *msg, struct http_refusal *refusal)
{
	struct submit *s = &msg->u.submit;
	const char *value;
	size_t i;

	cs_copy(s->queue, sizeof(s->queue), name);
	for (i = 0; i < G_N_ELEMENTS(submit_headers); i++) {
		if (http_find_header(req, submit_headers[i].name, &value) ||
		    (value && submit_headers[i].read(s, value)))
			return refuse(refusal, 400, submit_headers[i].reason);
	}
	/* Long work without a deadline gets the longest one. */
	if (!s->deadline_ms)
		s->deadline_ms = s->work == WORK_LONG ? DEADLINE_MAX :
							DEADLINE_SHORT_DEFAULT;
	s->body = g_bytes_ref(req->body);
	return read_key(req, &s->has_key, s->key_digest, refusal);
}

static int decode_job(const struct http_request *req, const char *name,
		      struct msg *msg, struct http_refusal *refusal)
{
	struct job_query *q = &msg->u.job_query;

	cs_copy(q->job, sizeof(q->job), name);
	return read_key(req, &q->has_key, q->key_digest, refusal);
}

static int decode_result(const struct http_request *req, const char *name,
			 struct msg *msg, struct http_refusal *refusal)
{
	msg->u.job_query.wants_result = true;
	return decode_job(req, name, msg, refusal);
}

/*
 * Paths have the form PREFIX NAME SUFFIX, where NAME contains no "/". decode
 * fills the message except for caller and trace.
 */
struct route {
	enum http_method method;
	enum msg_type type;
	const char *prefix;
	const char *suffix;
	int (*decode)(const struct http_request *req, const char *name,
		      struct msg *msg, struct http_refusal *refusal);
};

static const struct route routes[] = {
	{ HTTP_POST, MSG_SUBMIT, "/v1/queues/", "/jobs", decode_submit },
	{ HTTP_GET, MSG_JOB_QUERY, "/v1/jobs/", "", decode_job },
	{ HTTP_GET, MSG_JOB_QUERY, "/v1/jobs/", "/result", decode_result },
	{ HTTP_DELETE, MSG_JOB_CANCEL, "/v1/jobs/", "", decode_job },
};

/* Finds the name in path. Returns its length, or 0 without a match. */
static size_t match_path(const struct route *r, const char *path,
			 const char **name)
{
	size_t len = strlen(path);
	size_t prefix = strlen(r->prefix);
	size_t suffix = strlen(r->suffix);

	if (len <= prefix + suffix || strncmp(path, r->prefix, prefix) ||
	    strcmp(path + len - suffix, r->suffix))
		return 0;
	*name = path + prefix;
	len -= prefix + suffix;
	return memchr(*name, '/', len) ? 0 : len;
}

/*
 * Finds the route of a request and copies the name in its path. Returns NULL
 * and fills refusal if there is no route or the name is not valid.
 */
static const struct route *find_route(const struct http_request *req,
				      char name[CS_NAME_MAX],
				      struct http_refusal *refusal)
{
	const struct route *r, *found = NULL;
	const char *start = NULL;
	size_t len = 0, n;

	for (r = routes; r < routes + G_N_ELEMENTS(routes); r++) {
		n = match_path(r, req->path, &start);
		if (!n)
			continue;
		len = n;
		if (r->method == req->method) {
			found = r;
			break;
		}
		refusal->allow = !strcmp(r->prefix, "/v1/jobs/") &&
						 !*r->suffix ?
					 "GET, DELETE" :
					 http_method_name(r->method);
	}
	if (!found) {
		refuse(refusal, len ? 405 : 404,
		       len ? "method_not_allowed" : "unknown_path");
		return NULL;
	}
	refusal->allow = NULL;
	cs_copy(name, MIN(len + 1, CS_NAME_MAX), start);
	if (len >= CS_NAME_MAX || !http_is_identifier(name, CS_NAME_MAX)) {
		refuse(refusal, 400, "bad_name");
		return NULL;
	}
	return found;
}

struct msg *front_decode(const struct http_request *req, cs_handle caller,
			 const struct trace *trace,
			 struct http_refusal *refusal)
{
	char name[CS_NAME_MAX] = "";
	const struct route *r;
	struct msg *msg;

	memset(refusal, 0, sizeof(*refusal));
	refusal->outcome = "not_run";
	refusal->step = "decode";
	refusal->peer = req->peer;
	r = find_route(req, name, refusal);
	if (!r)
		return NULL;
	if (*req->query) {
		refuse(refusal, 400, "bad_query");
		return NULL;
	}
	msg = msg_new(r->type);
	if (r->decode(req, name, msg, refusal)) {
		msg_free(msg);
		return NULL;
	}
	if (r->type == MSG_SUBMIT) {
		msg->u.submit.caller = caller;
		msg->u.submit.trace = *trace;
	} else {
		msg->u.job_query.caller = caller;
		msg->u.job_query.trace = *trace;
	}
	return msg;
}
