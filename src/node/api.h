#ifndef NODE_API_H
#define NODE_API_H

#include "../batch/batch.h"

/* Requests of callers and the replies to them, without any encoding. */
enum desk_kind {
	DESK_SUBMIT,
	DESK_STATE,
	DESK_CANCEL,
	DESK_READY /* readiness check of a load balancer */
};

struct desk_request {
	enum desk_kind kind;
	uint64_t exchange; /* returned with the reply */
	char *host; /* of the address that the caller used */
	char *path;
	char *key; /* NULL: none was sent */
	struct batch_spec *spec; /* of a submission; NULL: malformed */
	char fault[128]; /* why the submission is malformed */
	int64_t timeout_ms; /* until the caller gives up; 0: not given */
	cs_time received;
};

enum desk_result {
	DESK_OK, /* also: accepted */
	DESK_NO_QUEUE,
	DESK_NO_JOB,
	DESK_DENIED, /* the key is missing or unknown */
	DESK_INVALID,
	DESK_OVERLOADED, /* not accepted, and never runs */
	DESK_UNAVAILABLE, /* the same; the entry can't serve now */
	DESK_UNKNOWN /* it may have been accepted; retry to find out */
};

struct desk_reply {
	enum desk_kind kind;
	uint64_t exchange;
	enum desk_result result;
	bool has_state, has_pending;
	enum batch_state state;
	int64_t pending; /* jobs of the queue that have not started */
	int64_t retry_after_ms; /* 0: none */
	const char *reason; /* static text, for the reply's body and the log */
};

struct desk_request *desk_request_new(enum desk_kind kind);
void desk_request_free(struct desk_request *request);
const char *desk_kind_name(enum desk_kind kind);
const char *desk_result_name(enum desk_result result);

#endif
