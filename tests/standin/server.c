#include "standin.h"

#include <event2/bufferevent.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>

/* Fits a value of 1 MB, the platform's limit, after JSON escaping. */
#define BODY_MAX ((ev_ssize_t)8 * 1024 * 1024)

struct server {
	struct event_base *base;
	struct evhttp *http;
	struct evhttp_bound_socket *socket;
	char host[CS_ADDRESS_MAX];
	uint16_t port;
	server_handler handler;
	void *ctx;
	GHashTable *conns; /* evhttp_connection -> struct deferred or NULL */
};

struct deferred {
	struct server *server;
	struct evhttp_connection *conn;
	struct evhttp_request *req;
	struct event *timer;
	deferred_fn fn;
	void *ctx;
};

/* Releases the deferred request and calls its function. */
static void finish_deferred(struct deferred *d, struct evhttp_request *req)
{
	deferred_fn fn = d->fn;
	void *ctx = d->ctx;

	if (g_hash_table_contains(d->server->conns, d->conn))
		g_hash_table_insert(d->server->conns, d->conn, NULL);
	event_free(d->timer);
	g_free(d);
	fn(ctx, req);
}

static void on_deferred_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	server_resume(arg);
}

void server_resume(struct deferred *d)
{
	finish_deferred(d, d->req);
}

struct deferred *server_defer(struct server *s, struct evhttp_request *req,
			      int64_t delay_ms, deferred_fn fn, void *ctx)
{
	struct timeval tv = { delay_ms / 1000, delay_ms % 1000 * 1000 };
	struct deferred *d = g_new0(struct deferred, 1);

	d->server = s;
	d->req = req;
	d->conn = evhttp_request_get_connection(req);
	d->fn = fn;
	d->ctx = ctx;
	d->timer = evtimer_new(s->base, on_deferred_timer, d);
	if (delay_ms >= 0)
		event_add(d->timer, &tv);
	g_hash_table_insert(s->conns, d->conn, d);
	return d;
}

static void on_close(struct evhttp_connection *conn, void *arg)
{
	struct server *s = arg;
	struct deferred *d = g_hash_table_lookup(s->conns, conn);

	g_hash_table_remove(s->conns, conn);
	if (d)
		finish_deferred(d, NULL);
}

/* Runs from the event loop, since a callback must not free its connection. */
static void on_drop(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	evhttp_connection_free(arg);
}

void server_drop_connection(struct server *s, struct evhttp_request *req)
{
	struct timeval now = { 0, 0 };

	event_base_once(s->base, -1, EV_TIMEOUT, on_drop,
			evhttp_request_get_connection(req), &now);
}

static void on_request(struct evhttp_request *req, void *arg)
{
	struct server *s = arg;
	struct evhttp_connection *conn = evhttp_request_get_connection(req);

	if (!g_hash_table_contains(s->conns, conn)) {
		g_hash_table_insert(s->conns, conn, NULL);
		evhttp_connection_set_closecb(conn, on_close, s);
	}
	s->handler(s->ctx, req);
}

int server_connection_count(const struct server *s)
{
	return (int)g_hash_table_size(s->conns);
}

int server_set_listening(struct server *s, bool is_listening)
{
	if (!is_listening && s->socket) {
		evhttp_del_accept_socket(s->http, s->socket);
		s->socket = NULL;
	} else if (is_listening && !s->socket) {
		s->socket = evhttp_bind_socket_with_handle(s->http, s->host,
							   s->port);
	}
	return is_listening && !s->socket ? CS_ERR_IO : CS_OK;
}

struct server *server_create(struct event_base *base, const char *address,
			     server_handler handler, void *ctx)
{
	struct server *s = g_new0(struct server, 1);

	s->base = base;
	s->handler = handler;
	s->ctx = ctx;
	s->conns = g_hash_table_new(NULL, NULL);
	s->http = evhttp_new(base);
	evhttp_set_gencb(s->http, on_request, s);
	evhttp_set_max_body_size(s->http, BODY_MAX);
	if (http_address_split(address, s->host, &s->port) ||
	    server_set_listening(s, true)) {
		fprintf(stderr, "camphorshed-standin: cannot listen on %s\n",
			address);
		server_destroy(s);
		return NULL;
	}
	return s;
}

void server_destroy(struct server *s)
{
	if (!s)
		return;
	evhttp_free(s->http);
	g_hash_table_destroy(s->conns);
	g_free(s);
}

/*
 * By default libevent rounds timers up to 1 ms and reads a clock with a
 * resolution of 4 ms, which would add up to 5 ms to each task of 5 ms.
 */
struct event_base *base_create(void)
{
	struct event_config *config = event_config_new();
	struct event_base *base;

	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

static void on_signal(evutil_socket_t sig, short what, void *arg)
{
	(void)sig;
	(void)what;
	event_base_loopbreak(arg);
}

void server_run(struct event_base *base)
{
	struct event *term = evsignal_new(base, SIGTERM, on_signal, base);
	struct event *intr = evsignal_new(base, SIGINT, on_signal, base);

	event_add(term, NULL);
	event_add(intr, NULL);
	event_base_dispatch(base);
	event_free(term);
	event_free(intr);
}

void reply_json(struct evhttp_request *req, int status, json_t *root)
{
	char *text = json_dumps(root, JSON_COMPACT);
	struct evbuffer *out = evbuffer_new();

	evbuffer_add(out, text, strlen(text));
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Content-Type", "application/json");
	evhttp_send_reply(req, status, NULL, out);
	evbuffer_free(out);
	free(text);
	json_decref(root);
}

char *query_string(struct evhttp_request *req, const char *name)
{
	const char *query =
		evhttp_uri_get_query(evhttp_request_get_evhttp_uri(req));
	struct evkeyvalq params;
	char *value = NULL;

	if (!query || evhttp_parse_query_str(query, &params))
		return NULL;
	value = g_strdup(evhttp_find_header(&params, name));
	evhttp_clear_headers(&params);
	return value;
}

int64_t query_number(struct evhttp_request *req, const char *name,
		     int64_t default_value)
{
	char *text = query_string(req, name);
	int64_t value = text ? g_ascii_strtoll(text, NULL, 10) : default_value;

	g_free(text);
	return value;
}

char *request_path(struct evhttp_request *req)
{
	const char *path =
		evhttp_uri_get_path(evhttp_request_get_evhttp_uri(req));
	char *unescaped = path ? g_uri_unescape_string(path, NULL) : NULL;

	return unescaped ? unescaped : g_strdup("");
}

char *request_body(struct evhttp_request *req, size_t *len)
{
	struct evbuffer *input = evhttp_request_get_input_buffer(req);
	char *body;

	*len = evbuffer_get_length(input);
	body = g_malloc(*len + 1);
	evbuffer_copyout(input, body, *len);
	body[*len] = '\0';
	return body;
}
