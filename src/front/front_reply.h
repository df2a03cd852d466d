#ifndef FRONT_REPLY_H
#define FRONT_REPLY_H

#include "../base/http_util.h"
#include "../entry/message.h"

/*
 * Encodes the core's reply as an HTTP response: the unchanged answer of the
 * worker, the id of an accepted long job, or a refusal as JSON. The strings of
 * out point into reply; the caller releases out->body.
 */
void front_reply_encode(const struct reply *reply, struct http_response *out);

/* "answered", "accepted", "not_run" or "unknown". */
const char *front_outcome_name(enum outcome outcome);

#endif
