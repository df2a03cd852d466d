#ifndef BASE_HTTP_CLIENT_H
#define BASE_HTTP_CLIENT_H

#include <glib.h>

#include "../camphorshed.h"
#include "trace.h"

struct event_base;

/*
 * An HTTP/1.1 client inside one task, with a pool of connections per address.
 * A call is sent at most once and ends with exactly one result, which says how
 * far it got. All functions are for the task's own thread.
 */
struct http_client;

/*
 * The connections to an address are split into groups. A call in one group
 * never waits for connections of another.
 */
#define HTTP_GROUPS_MAX 2

struct http_client_options {
	int connections_max[HTTP_GROUPS_MAX]; /* per address; at least 1 */
	int64_t connect_timeout_ms;
	size_t response_max; /* largest body of a response, in bytes */
};

enum http_call_method {
	HTTP_CALL_GET,
	HTTP_CALL_POST,
	HTTP_CALL_PUT,
	HTTP_CALL_DELETE
};

struct http_call_header {
	const char *name;
	const char *value;
};

struct http_call {
	enum http_call_method method;
	int group;
	const char *address; /* "IP:PORT" */
	const char *path; /* percent-encoded, with the query */
	const char *content_type; /* NULL or "": no header */
	const struct http_call_header *headers; /* further headers */
	size_t headers_nr;
	GBytes *body; /* may be NULL */
	const struct trace *trace; /* sent as traceparent; may be NULL */
	cs_time deadline; /* the call ends by this time */
	/*
	 * The call also ends when this long no byte of the response came; 0: it
	 * does not. A long response on a slow link needs a late deadline, and a
	 * silent peer must be noticed before that.
	 */
	cs_time stall_max;
	/*
	 * Use only a new connection or one that completed a response in the
	 * last second, since the peer of an older one may be unreachable.
	 */
	bool needs_live_connection;
	/*
	 * Use only a connection whose peer was set to this number by
	 * http_client_set_peer(); 0: any. If there is none and no connection
	 * will be free, the call ends with is_peer_unknown.
	 */
	uint64_t peer;
	/* Use only a connection whose peer is not set; peer is 0. */
	bool identifies_peer;
};

enum http_result {
	HTTP_ANSWERED, /* status and the whole body were received */
	HTTP_NOT_SENT, /* no byte of the request left this process */
	HTTP_UNKNOWN /* part of it was sent, and no whole response came */
};

struct http_client_response {
	enum http_result result;
	int status; /* 0 unless answered */
	char content_type[64];
	GBytes *body; /* NULL unless answered; done() may reference it */
	bool is_too_large; /* not answered: the body exceeds response_max */
	bool is_peer_unknown; /* not sent: no connection has the call's peer */
	cs_handle connection; /* 0: none */
	/* Set unless answered; its step is "connect", "send" or "receive". */
	struct cs_error error;
};

/* Runs once for each call. The response is released after it returns. */
typedef void (*http_done_fn)(void *ctx, uint64_t ref,
			     const struct http_client_response *response);

/*
 * NULL if out of memory. base must outlive the client. SIGPIPE is blocked in
 * the calling thread, which must be the one that runs base.
 */
struct http_client *http_client_create(
	struct event_base *base, const struct http_client_options *options);

/* Fails all open calls and closes the connections. */
void http_client_destroy(struct http_client *client);

/*
 * Starts a call. Everything that it points to is copied or referenced.
 * done(ctx, ref, response) may run before this returns.
 */
void http_client_call(struct http_client *client, const struct http_call *call,
		      http_done_fn done, void *ctx, uint64_t ref);

/*
 * Notes which process the peer of a connection is. A connection ends with the
 * process, so a call on this one reaches no later process at the address. No
 * effect if the connection has been closed.
 */
void http_client_set_peer(struct http_client *client, cs_handle connection,
			  uint64_t peer);

/* Number of open connections in a group of an address. */
int http_client_connections(const struct http_client *client,
			    const char *address, int group);

/* "answered", "not_sent" or "unknown". */
const char *http_result_name(enum http_result result);

/* Splits "IP:PORT" or "[IPv6]:PORT". Returns CS_OK or CS_ERR_INVALID. */
int http_address_split(const char *address, char host[CS_ADDRESS_MAX],
		       uint16_t *port);

#endif
