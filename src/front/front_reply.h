#ifndef FRONT_REPLY_H
#define FRONT_REPLY_H

#include "../base/http_util.h"
#include "../entry/message.h"

/*
 * Makes the HTTP answer from the core's reply: the worker's answer as it is,
 * the name of accepted long work, or a refusal as JSON. The strings of out
 * point into reply; the caller releases out->body.
 */
void front_reply_encode(const struct reply *reply, struct http_response *out);

/* "answered", "accepted", "not_run" or "unknown". */
const char *front_outcome_name(enum outcome outcome);

#endif
