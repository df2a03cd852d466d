#ifndef STANDIN_H
#define STANDIN_H

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <glib.h>
#include <inttypes.h>
#include <jansson.h>

#include "../../src/base/error.h"
#include "../../src/base/http_client.h"
#include "../../src/base/task.h"

/* A single-threaded HTTP server whose handler can defer an answer. */
struct server;

/* Must answer the request, defer it or drop its connection. */
typedef void (*server_handler)(void *ctx, struct evhttp_request *req);

/* Called once, after the delay; req is NULL if the connection was closed. */
typedef void (*deferred_fn)(void *ctx, struct evhttp_request *req);

/* A request that was not answered yet. Valid until its function is called. */
struct deferred;

/* Returns NULL, and prints an error, if it can't listen on the address. */
struct server *server_create(struct event_base *base, const char *address,
			     server_handler handler, void *ctx);
void server_destroy(struct server *server);

/*
 * Closes or reopens the listener; open connections remain. Returns CS_ERR_IO if
 * it can't listen on the address again.
 */
int server_set_listening(struct server *server, bool is_listening);

/* Open connections that have sent at least one request. */
int server_connection_count(const struct server *server);

/* Defers a request for delay_ms, or until server_resume() if negative. */
struct deferred *server_defer(struct server *server, struct evhttp_request *req,
			      int64_t delay_ms, deferred_fn fn, void *ctx);

/* Calls the function of a deferred request now, and releases the handle. */
void server_resume(struct deferred *deferred);

/* Closes the connection of a request instead of answering. */
void server_drop_connection(struct server *server, struct evhttp_request *req);

/* An event base whose timers are exact to less than a millisecond. */
struct event_base *base_create(void);

/* Runs the loop until SIGTERM or SIGINT. */
void server_run(struct event_base *base);

/* Answers with a JSON value, and drops the reference to it. */
void reply_json(struct evhttp_request *req, int status, json_t *root);

/* A query parameter as a new string, NULL if there is none. */
char *query_string(struct evhttp_request *req, const char *name);

/* A query parameter as an integer, default_value if there is none. */
int64_t query_number(struct evhttp_request *req, const char *name,
		     int64_t default_value);

/* The path without the query, unescaped; the caller releases it. */
char *request_path(struct evhttp_request *req);

/* The body as a new NUL-terminated string; the caller releases it. */
char *request_body(struct evhttp_request *req, size_t *len);

/* Subcommands. They return the exit status of the process. */
int platform_main(int argc, char **argv);
int worker_main(int argc, char **argv);
int load_main(int argc, char **argv);

/* Parses the options. Returns false and prints an error if one is invalid. */
bool parse_options(int *argc, char ***argv, const GOptionEntry *entries);

#endif
