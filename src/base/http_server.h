#ifndef BASE_HTTP_SERVER_H
#define BASE_HTTP_SERVER_H

#include "http_util.h"

/*
 * An HTTP/1.1 server inside one task, on libevhtp. Each request becomes an
 * exchange, named by a generational handle, which ends with its response or
 * with its connection. All functions are for the task's own thread.
 */
struct event_base;
struct http_server;

struct http_server_options {
	const char *name; /* step named in the server's own refusals */
	const char *address; /* to listen at */
	size_t body_max; /* largest request body, in bytes */
	/*
	 * Connections at once. While their number is reached, one more is
	 * accepted at a time, which is refused or takes the place of another.
	 */
	uint32_t connections_max;
	/*
	 * Bytes that all callers together may make the server hold: input,
	 * headers, bodies and answers that are not read. 0: some bodies of the
	 * largest size.
	 */
	size_t buffer_max;
	/* Longest time for a head, and for the body after it; 0: defaults. */
	int64_t head_timeout_ms, body_timeout_ms;
	/*
	 * A connection that a limit ends is closed without a response. For
	 * interfaces where each refusal says that the request never runs: the
	 * message may repeat an earlier one, of which the server knows nothing.
	 */
	bool closes_at_limits;
	size_t row_size; /* bytes of owner data in each exchange, zeroed */
};

/* A connection that the server ended because of one of its limits. */
struct http_limit {
	const char *peer;
	const char *cause; /* "memory", "slow_head", ... */
	size_t bytes; /* that it held */
	bool is_logged; /* at most one a second is to be logged */
	uint32_t unlogged; /* such connections since the last one logged */
};

/* Callbacks of the owner. on_refused and on_limit may be NULL. */
struct http_server_ops {
	/* A whole request; req is valid only during the call. */
	void (*on_request)(void *ctx, cs_handle exchange,
			   const struct http_request *req);
	/* The connection ended before the response; the row still exists. */
	void (*on_disconnect)(void *ctx, cs_handle exchange);
	/* The server refused a message without calling on_request(). */
	void (*on_refused)(void *ctx, const struct http_refusal *refusal);
	/* A limit ended a connection; on_refused() may be called as well. */
	void (*on_limit)(void *ctx, const struct http_limit *limit);
};

/*
 * Starts to listen. ops, ctx and options->name must outlive the server. NULL
 * with err filled on failure.
 */
struct http_server *http_server_create(
	struct event_base *base, const struct http_server_options *options,
	const struct http_server_ops *ops, void *ctx, struct cs_error *err);

/*
 * From now on each response carries "Connection: close", so that callers move
 * to another entry before the process ends.
 */
void http_server_drain(struct http_server *server);

/* Number of requests without a response. */
uint32_t http_server_exchanges(const struct http_server *server);

/*
 * Closes the listener and all connections; calls on_disconnect for open
 * exchanges.
 */
void http_server_destroy(struct http_server *server);

/* The owner's data of an exchange, or NULL if it has ended. */
void *http_server_row(const struct http_server *server, cs_handle exchange);

/*
 * Charges the caller of an exchange with the bytes that the owner holds for it
 * until the response, instead of those of the body, which the owner has
 * released.
 */
void http_server_charge(struct http_server *server, cs_handle exchange,
			size_t bytes);

/* Sends a response and ends the exchange. False if it had already ended. */
bool http_server_reply(struct http_server *server, cs_handle exchange,
		       const struct http_response *response);

/* The same with a refusal, as JSON. */
bool http_server_refuse(struct http_server *server, cs_handle exchange,
			const struct http_refusal *refusal);

/* Counts a connection that a limit ended, by cause. */
void http_count_limit(struct counters *counters, const char *name,
		      const struct http_limit *limit);

/* Appends event, cause and size of such a connection as pairs. */
void http_log_limit(GString *pairs, const struct http_limit *limit);

/* Number of open connections. */
uint32_t http_server_connections(const struct http_server *server);

/* Bytes that callers make the server hold. */
size_t http_server_held_bytes(const struct http_server *server);

#endif
