#ifndef NODE_API_H
#define NODE_API_H

#include "../batch/batch.h"

/* Requests of callers and the replies to them, without any encoding. */
enum api_kind {
	API_SUBMIT,
	API_STATE,
	API_CANCEL,
	API_READY /* readiness check of a load balancer */
};

struct api_request {
	enum api_kind kind;
	uint64_t exchange; /* returned with the reply */
	char *host; /* of the address that the caller used */
	char *path;
	char *key; /* NULL: none was sent */
	struct batch_spec *spec; /* of a submission; NULL: malformed */
	char fault[128]; /* why the submission is malformed */
	int64_t timeout_ms; /* until the caller gives up; 0: not given */
	cs_time received;
};

enum api_result {
	API_OK, /* also: accepted */
	API_NO_QUEUE,
	API_NO_JOB,
	API_DENIED, /* the key is missing or unknown */
	API_INVALID,
	API_OVERLOADED, /* not accepted, and never runs */
	API_UNAVAILABLE, /* the same; the entry can't serve now */
	API_UNKNOWN /* it may have been accepted; retry to find out */
};

struct api_reply {
	enum api_kind kind;
	uint64_t exchange;
	enum api_result result;
	bool has_state, has_pending;
	enum batch_state state;
	int64_t pending; /* jobs of the queue that have not started */
	int64_t retry_after_ms; /* 0: none */
	const char *reason; /* static text, for the reply's body and the log */
};

struct api_request *api_request_new(enum api_kind kind);
void api_request_free(struct api_request *request);
const char *api_kind_name(enum api_kind kind);
const char *api_result_name(enum api_result result);

#endif
