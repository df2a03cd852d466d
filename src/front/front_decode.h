#ifndef FRONT_DECODE_H
#define FRONT_DECODE_H

#include "../base/http_util.h"
#include "../entry/message.h"

/*
 * Decodes a caller's request into a message for the core: MSG_SUBMIT,
 * MSG_JOB_QUERY or MSG_JOB_CANCEL. The body is shared, not copied. On malformed
 * input it returns NULL and fills refusal, whose strings are constants, except
 * for peer, which points into req.
 */
struct msg *front_decode(const struct http_request *req, cs_handle caller,
			 const struct trace *trace,
			 struct http_refusal *refusal);

#endif
