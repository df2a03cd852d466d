#include "front_reply.h"

#include <jansson.h>
#include <string.h>

#include "../base/json.h"

const char *front_outcome_name(enum outcome outcome)
{
	static const char *const names[] = {
		[OUTCOME_ANSWERED] = "answered",
		[OUTCOME_ACCEPTED] = "accepted",
		[OUTCOME_NOT_RUN] = "not_run",
		[OUTCOME_UNKNOWN] = "unknown",
	};

	return (unsigned)outcome < G_N_ELEMENTS(names) ? names[outcome] :
							 "unknown";
}

static void encode_answer(const struct reply *r, struct http_response *out)
{
	out->content_type = r->content_type;
	out->body = r->body ? g_bytes_ref(r->body) : g_bytes_new(NULL, 0);
}

static void encode_accepted(const struct reply *r, struct http_response *out)
{
	if (r->body) {
		encode_answer(r, out);
		return;
	}
	out->content_type = "application/json";
	out->body = json_to_bytes(json_pack("{s:s}", "job", r->job), 0);
	if (!out->body)
		out->body = g_bytes_new_static("{}", 2);
}

static void encode_refusal(const struct reply *r, struct http_response *out)
{
	struct http_refusal refusal = {
		.reason = r->reason,
		.outcome = front_outcome_name(r->outcome),
		.step = r->step,
		.peer = r->peer,
		.retry_after_ms = r->retry_after_ms,
	};

	out->content_type = "application/json";
	out->body = http_refusal_body(&refusal);
}

void front_reply_encode(const struct reply *r, struct http_response *out)
{
	static void (*const encoders[])(const struct reply *,
					struct http_response *) = {
		[OUTCOME_ANSWERED] = encode_answer,
		[OUTCOME_ACCEPTED] = encode_accepted,
		[OUTCOME_NOT_RUN] = encode_refusal,
		[OUTCOME_UNKNOWN] = encode_refusal,
	};

	memset(out, 0, sizeof(*out));
	out->status = r->status;
	out->retry_after_ms = r->retry_after_ms;
	if ((unsigned)r->outcome < G_N_ELEMENTS(encoders))
		encoders[r->outcome](r, out);
	else
		encode_refusal(r, out);
}
