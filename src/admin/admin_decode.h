#ifndef ADMIN_DECODE_H
#define ADMIN_DECODE_H

#include "../base/http_util.h"
#include "../entry/message.h"

/* Which task answers an operator's request. */
enum admin_target {
	ADMIN_TARGET_CORE, /* the core, asked by MSG_ADMIN_CALL */
	ADMIN_TARGET_TASKS, /* every task sends its metrics */
	ADMIN_TARGET_SELF /* the admin task itself: liveness */
};

/* A decoded request. */
struct admin_request {
	enum admin_target target;
	struct msg *msg; /* for the core, else NULL */
	int64_t timeout_ms; /* longest wait for the answer */
	const char *timeout_outcome; /* outcome of a refusal after that time */
};

/*
 * Decodes an operator's request. token_digest is the digest of the token that
 * paths under /v1 require, or NULL to refuse them all. Returns CS_OK, or
 * CS_ERR_INVALID with refusal filled; refusal->peer points into req.
 */
int admin_decode(const struct http_request *req, cs_handle caller,
		 const struct trace *trace, const uint8_t *token_digest,
		 struct admin_request *out, struct http_refusal *refusal);

#endif
