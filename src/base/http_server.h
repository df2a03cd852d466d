#ifndef BASE_HTTP_SERVER_H
#define BASE_HTTP_SERVER_H

#include "http_util.h"

/*
 * An HTTP/1.1 server inside one task, on libevhtp. Each request becomes an
 * exchange, named by a generational handle, which ends with its answer or
 * with its connection. All functions are for the task's own thread.
 */
struct event_base;
struct http_server;

struct http_server_options {
	const char *name; /* step of the server's own refusals */
	const char *address; /* where it listens */
	size_t body_max; /* bytes of a request body */
	uint32_t connections_max;
	size_t row_size; /* owner's bytes in each exchange, zeroed */
};

/* What the owner does. on_refused may be NULL. */
struct http_server_ops {
	/* A whole request; req is good only during the call. */
	void (*on_request)(void *ctx, cs_handle exchange,
			   const struct http_request *req);
	/* The connection ended before the answer; the row still exists. */
	void (*on_gone)(void *ctx, cs_handle exchange);
	/* The server itself refused what never became a request. */
	void (*on_refused)(void *ctx, const struct http_refusal *refusal);
};

/* Begins to listen. ops and ctx must outlive the server. */
struct http_server *http_server_create(
	struct event_base *base, const struct http_server_options *options,
	const struct http_server_ops *ops, void *ctx, struct cs_error *err);

/*
 * From now on each answer asks its caller to close the connection, so that
 * callers go elsewhere before the process ends.
 */
void http_server_drain(struct http_server *server);

/* Requests without an answer. */
uint32_t http_server_exchanges(const struct http_server *server);

/* Closes the listener and all connections; on_gone is called as usual. */
void http_server_destroy(struct http_server *server);

/* The owner's row of an exchange, or NULL if it has ended. */
void *http_server_row(const struct http_server *server, cs_handle exchange);

/* Answers and ends an exchange. False if it had already ended. */
bool http_server_reply(struct http_server *server, cs_handle exchange,
		       const struct http_response *response);

/* Answers with a refusal as JSON. */
bool http_server_refuse(struct http_server *server, cs_handle exchange,
			const struct http_refusal *refusal);

uint32_t http_server_connections(const struct http_server *server);

#endif
