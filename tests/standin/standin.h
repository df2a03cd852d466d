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

/* A single-threaded HTTP server that can answer a request later. */
struct server;

typedef void (*server_handler)(void *ctx, struct evhttp_request *req);

/* Called with the request when its delay is over; NULL: connection closed. */
typedef void (*hold_fn)(void *ctx, struct evhttp_request *req);

struct hold;

/* NULL with a message on standard error if the address can't be used. */
struct server *server_create(struct event_base *base, const char *address,
			     server_handler handler, void *ctx);
void server_destroy(struct server *server);

/* Closes or reopens the listener; open connections remain. */
int server_listen(struct server *server, bool is_open);

/* Open connections that have sent at least one request. */
int server_connections(const struct server *server);

/* Keeps a request for delay_ms, or until server_resume() if negative. */
struct hold *server_hold(struct server *server, struct evhttp_request *req,
			 int64_t delay_ms, hold_fn fn, void *ctx);

/* Calls the hold's function now. */
void server_resume(struct hold *hold);

/* Closes the connection of a request without an answer. */
void server_drop(struct server *server, struct evhttp_request *req);

/* An event base whose timers are exact to less than a millisecond. */
struct event_base *base_create(void);

/* Runs the loop until SIGTERM or SIGINT. */
void server_run(struct event_base *base);

/* Answers with a JSON value and releases it. */
void reply_json(struct evhttp_request *req, int status, json_t *root);

/* A query parameter as a new string, or NULL. */
char *query_string(struct evhttp_request *req, const char *name);
int64_t query_number(struct evhttp_request *req, const char *name,
		     int64_t otherwise);

/* The path without the query, unescaped; the caller releases it. */
char *request_path(struct evhttp_request *req);

/* The body as a new string with a final NUL. */
char *request_body(struct evhttp_request *req, size_t *len);

/* Subcommands; return the exit status of the process. */
int platform_main(int argc, char **argv);
int worker_main(int argc, char **argv);
int load_main(int argc, char **argv);

/* Parses options; prints what is wrong and returns false on bad ones. */
bool parse_options(int *argc, char ***argv, const GOptionEntry *entries);

#endif
