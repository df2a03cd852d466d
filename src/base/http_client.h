#ifndef BASE_HTTP_CLIENT_H
#define BASE_HTTP_CLIENT_H

#include <glib.h>

#include "../camphorshed.h"
#include "trace.h"

struct event_base;

/*
 * HTTP/1.1 calls of one task, over pools of connections that it owns. A call
 * is sent at most once and ends with exactly one result, which says how far
 * it got. All functions belong to the task's thread.
 */
struct http_client;

/* Calls in one lane never wait for connections of another. */
#define HTTP_LANES_MAX 2

struct http_client_options {
	int connections_max[HTTP_LANES_MAX]; /* per address; at least 1 */
	int64_t connect_timeout_ms;
	size_t answer_max; /* bytes of an answer's body */
};

enum http_method { HTTP_GET, HTTP_POST, HTTP_PUT, HTTP_DELETE };

struct http_header {
	const char *name;
	const char *value;
};

struct http_call {
	enum http_method method;
	int lane;
	const char *address; /* "IP:PORT" */
	const char *path; /* with the query, escaped */
	const char *content_type; /* NULL or "": no header */
	const struct http_header *headers; /* further ones */
	size_t headers_nr;
	GBytes *body; /* may be NULL */
	const struct trace *trace; /* sent as traceparent; may be NULL */
	cs_time deadline; /* the call has ended by then */
	/*
	 * Use only a new connection or one that completed an answer in the
	 * last second, since an older one may have gone silent.
	 */
	bool needs_live;
};

enum http_result {
	HTTP_ANSWERED, /* status and the whole body were received */
	HTTP_NOT_SENT, /* no byte of the call left this process */
	HTTP_UNKNOWN /* something was sent, and no whole answer came */
};

struct http_answer {
	enum http_result result;
	int status; /* 0 unless answered */
	char content_type[64];
	GBytes *body; /* NULL unless answered; done() takes a reference */
	/* Step is "connect", "send" or "receive"; set unless answered. */
	struct cs_error error;
};

/* Called once for each call. The answer is released after it returns. */
typedef void (*http_done_fn)(void *ctx, uint64_t ref,
			     const struct http_answer *answer);

/*
 * NULL if out of memory. base must outlive the client. SIGPIPE is blocked in
 * the calling thread, which must be the one that runs base.
 */
struct http_client *http_client_create(
	struct event_base *base, const struct http_client_options *options);

/* Ends all calls with what is known of them, and closes the connections. */
void http_client_destroy(struct http_client *client);

/*
 * Begins a call. Everything that it points to is copied or referenced.
 * done(ctx, ref, answer) may run before this returns.
 */
void http_client_call(struct http_client *client, const struct http_call *call,
		      http_done_fn done, void *ctx, uint64_t ref);

/* Connections open in a lane of an address. For tests and metrics. */
int http_client_connections(const struct http_client *client,
			    const char *address, int lane);

/* "answered", "not_sent" or "unknown". */
const char *http_result_name(enum http_result result);

/* Splits "IP:PORT" or "[IP]:PORT". Returns CS_OK or CS_ERR_INVALID. */
int http_address_split(const char *address, char host[CS_ADDRESS_MAX],
		       uint16_t *port);

#endif
