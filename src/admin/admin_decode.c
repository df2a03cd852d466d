#include "admin_decode.h"

#include <sodium.h>
#include <string.h>

#include "../base/error.h"
#include "../config/codec.h"
#include "../team/team.h"

/* Probes and metric collectors wait 1 s; 100 ms are left to send the answer. */
#define PROBE_TIMEOUT_MS 900
/* The core answers reads from memory, but may have a backlog of messages. */
#define READ_TIMEOUT_MS 5000
/* A change reads and writes the platform, and is retried after conflicts. */
#define CHANGE_TIMEOUT_MS 30000
/* A configuration is in force within 7 s unless entries are unreachable. */
#define IN_FORCE_TIMEOUT_MS 60000

/* Sets of query parameters that a path accepts. */
#define PARAM_CHANGE 1 /* expected and dry_run */
#define PARAM_REVISION 2 /* revision, required */

/* The request has no revision parameter. */
#define REVISION_NONE UINT64_MAX

static int refuse(struct http_refusal *refusal, int status, const char *reason)
{
	refusal->status = status;
	refusal->reason = reason;
	return CS_ERR_INVALID;
}

/* Decodes the body, a list of changes. */
static int read_changes(const struct http_request *req, struct admin_call *call,
			struct http_refusal *refusal)
{
	struct cs_error err = { 0 };

	if (!changes_decode_json(req->body, &call->changes, &call->changes_nr,
				 &err))
		return CS_OK;
	cs_copy(refusal->message, sizeof(refusal->message), err.message);
	return refuse(refusal, 400, "bad_changes");
}

/* The body is decoded by the core, which reports all faults in a document. */
static int read_document(const struct http_request *req,
			 struct admin_call *call, struct http_refusal *refusal)
{
	if (!g_bytes_get_size(req->body))
		return refuse(refusal, 400, "empty_body");
	call->body = g_bytes_ref(req->body);
	return CS_OK;
}

struct route {
	enum http_method method;
	enum admin_target target;
	enum admin_op op;
	unsigned params;
	const char *path;
	int64_t timeout_ms;
	/* Reads the body; NULL if the path ignores it. */
	int (*read_body)(const struct http_request *req,
			 struct admin_call *call, struct http_refusal *refusal);
};

/* A read from the core without parameters or body. */
#define CORE_GET(op, path, timeout_ms)                                         \
	{                                                                      \
		HTTP_GET, ADMIN_TARGET_CORE, op, 0, path, timeout_ms, NULL     \
	}

static const struct route routes[] = {
	{ HTTP_POST, ADMIN_TARGET_CORE, ADMIN_CHANGE, PARAM_CHANGE,
	  "/v1/changes", CHANGE_TIMEOUT_MS, read_changes },
	{ HTTP_PUT, ADMIN_TARGET_CORE, ADMIN_APPLY, PARAM_CHANGE,
	  "/v1/document", CHANGE_TIMEOUT_MS, read_document },
	{ HTTP_GET, ADMIN_TARGET_CORE, ADMIN_WAIT, PARAM_REVISION, "/v1/wait",
	  IN_FORCE_TIMEOUT_MS, NULL },
	CORE_GET(ADMIN_CONFIG_GET, "/v1/document", READ_TIMEOUT_MS),
	CORE_GET(ADMIN_STATUS, "/v1/status", READ_TIMEOUT_MS),
	CORE_GET(ADMIN_PLAN, "/v1/plan", READ_TIMEOUT_MS),
	CORE_GET(ADMIN_HISTORY, "/v1/history", READ_TIMEOUT_MS),
	CORE_GET(ADMIN_READY, "/readyz", PROBE_TIMEOUT_MS),
	{ HTTP_GET, ADMIN_TARGET_TASKS, 0, 0, "/metrics", PROBE_TIMEOUT_MS,
	  NULL },
	{ HTTP_GET, ADMIN_TARGET_SELF, 0, 0, "/healthz", 0, NULL },
};

/*
 * Compares digests in constant time. All digests have the same length, so the
 * time does not reveal the length of the token either.
 */
static bool is_authorized(const struct http_request *req,
			  const uint8_t *token_digest)
{
	uint8_t digest[CS_DIGEST_LEN];
	const char *token;

	if (!token_digest || http_bearer_token(req, &token) || !token)
		return false;
	team_key_digest(token, strlen(token), digest);
	return !sodium_memcmp(digest, token_digest, CS_DIGEST_LEN);
}

/*
 * Returns the route of a request, or NULL with refusal filled: 405 with the
 * allowed methods for a known path, else 404. A path with two routes allows GET
 * and PUT.
 */
static const struct route *find_route(const struct http_request *req,
				      struct http_refusal *refusal)
{
	const struct route *r;
	const char *allow = NULL;

	for (r = routes; r < routes + G_N_ELEMENTS(routes); r++) {
		if (strcmp(r->path, req->path))
			continue;
		if (r->method == req->method)
			return r;
		allow = allow ? "GET, PUT" : http_method_name(r->method);
	}
	refusal->allow = allow;
	refuse(refusal, allow ? 405 : 404,
	       allow ? "method_not_allowed" : "unknown_path");
	return NULL;
}

/* Reads the parameters that the route accepts; others are an error. */
static int read_query(const struct route *r, const char *query,
		      struct admin_call *call)
{
	uint64_t dry_run = 0, revision = 0;
	const struct http_param change[] = {
		/* 0 stands for any revision, so it can't be expected. */
		{ "expected", 1, REVISION_NONE - 1, &revision },
		{ "dry_run", 0, 1, &dry_run },
	};
	const struct http_param wait[] = {
		{ "revision", 0, REVISION_NONE - 1, &revision },
	};
	int code;

	if (r->params == PARAM_REVISION) {
		revision = REVISION_NONE;
		code = http_parse_query(query, wait, G_N_ELEMENTS(wait));
		if (revision == REVISION_NONE)
			return CS_ERR_INVALID;
	} else {
		code = http_parse_query(query, change,
					r->params ? G_N_ELEMENTS(change) : 0);
	}
	call->revision = revision;
	call->is_dry_run = dry_run;
	return code;
}

int admin_decode(const struct http_request *req, cs_handle caller,
		 const struct trace *trace, const uint8_t *token_digest,
		 struct admin_request *out, struct http_refusal *refusal)
{
	const struct route *r;
	struct admin_call *call;

	memset(out, 0, sizeof(*out));
	memset(refusal, 0, sizeof(*refusal));
	refusal->outcome = "not_run";
	refusal->step = "decode";
	refusal->peer = req->peer;
	if (g_str_has_prefix(req->path, "/v1") &&
	    !is_authorized(req, token_digest))
		return refuse(refusal, 401, "unauthorized");
	r = find_route(req, refusal);
	if (!r)
		return CS_ERR_INVALID;
	out->msg = msg_new(MSG_ADMIN_CALL);
	call = &out->msg->u.admin_call;
	if (read_query(r, req->query, call)) {
		refuse(refusal, 400, "bad_query");
		goto fail;
	}
	if (r->read_body && r->read_body(req, call, refusal))
		goto fail;
	call->caller = caller;
	call->op = r->op;
	call->trace = *trace;
	out->target = r->target;
	out->timeout_ms = r->timeout_ms;
	/* A change that was sent to the core may still take effect. */
	out->timeout_outcome = r->params == PARAM_CHANGE && !call->is_dry_run ?
				       "unknown" :
				       "not_run";
	if (r->target != ADMIN_TARGET_CORE) {
		msg_free(out->msg);
		out->msg = NULL;
	}
	return CS_OK;
fail:
	msg_free(out->msg);
	out->msg = NULL;
	return CS_ERR_INVALID;
}
