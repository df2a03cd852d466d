#include "http_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "error.h"
#include "slots.h"
#include "socket.h"
#include "task.h"

/*
 * evhttp does not report whether a failed request was sent. It puts a request
 * into the output buffer of its bufferevent only when the connection is
 * established, and it disables the bufferevent before it discards what is
 * left there. A callback on that buffer can therefore tell that a connection
 * was established (bytes added) and that bytes were passed to the socket
 * (bytes removed while writing is enabled).
 */

/* Maximum open calls and connections; rows are allocated as needed. */
#define CALLS_MAX (1u << 20)
#define CONNS_MAX (1u << 17)

/* A connection without a response for this long may have a dead peer. */
#define LIVENESS_US (1 * CS_SEC)

/* Idle connections are closed, since a server takes a limited number. */
#define IDLE_US (30 * CS_SEC)

/*
 * evhttp's own timeout (50 s by default) is set beyond the longest deadline
 * of a request, 24 h, since calls have their own timers.
 */
#define EVHTTP_TIMEOUT_S ((time_t)2 * 86400)

/* Longest path with its query, in bytes. */
#define PATH_MAX_LEN 8192

/* Largest head of a response, which libevent does not bound by itself. */
#define HEAD_MAX ((ev_ssize_t)64 * 1024)

struct pool {
	char key[CS_ADDRESS_MAX + 8];
	char address[CS_ADDRESS_MAX];
	char host[CS_ADDRESS_MAX];
	uint16_t port;
	int group;
	int open; /* connections, idle and busy */
	bool is_scheduled; /* in the client's queue of that name */
	GQueue waiting; /* struct call, oldest first */
	GQueue idle; /* struct conn, last used first */
};

struct conn {
	struct http_client *client;
	struct pool *pool; /* NULL once it is retired */
	cs_handle self;
	struct evhttp_connection *evcon;
	struct evbuffer_cb_entry *output_cb, *input_cb;
	struct event *timer; /* connect timeout, then idle timeout */
	uint64_t peer; /* see http_client_set_peer(); 0: not set */
	bool is_connected;
	bool is_closed; /* must not be reused */
	/* Bytes of the current call: given to evhttp, and sent. */
	size_t queued, written;
	struct call *call; /* NULL while idle */
	cs_time last_response;
	cs_time last_byte; /* when the last bytes were received; 0: never */
};

struct call {
	struct http_client *client;
	struct pool *pool;
	struct conn *conn; /* NULL while waiting */
	cs_handle self;
	struct evhttp_request *req;
	enum evhttp_cmd_type cmd;
	char *path;
	struct event *timer;
	cs_time start, deadline, stall_max; /* see struct http_call */
	bool needs_live_connection, identifies_peer;
	uint64_t peer; /* see struct http_call */
	int evhttp_error; /* enum evhttp_request_error, -1: none reported */
	http_done_fn done;
	void *ctx;
	uint64_t ref;
};

struct http_client {
	struct event_base *base;
	struct http_client_options options;
	struct slots *calls;
	struct slots *conns;
	GHashTable *pools; /* key -> struct pool */
	struct event *deferred; /* runs run_deferred() */
	GQueue retired; /* struct conn, to be released */
	GQueue scheduled; /* struct pool, to start waiting calls of */
};

const char *http_result_name(enum http_result result)
{
	static const char *const names[] = { "answered", "not_sent",
					     "unknown" };

	return names[result];
}

int http_address_split(const char *address, char host[CS_ADDRESS_MAX],
		       uint16_t *port)
{
	struct sockaddr_storage ss;
	int len = sizeof(ss);
	const void *ip;

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&ss, &len))
		return CS_ERR_INVALID;
	if (ss.ss_family == AF_INET6) {
		ip = &((struct sockaddr_in6 *)&ss)->sin6_addr;
		*port = ntohs(((struct sockaddr_in6 *)&ss)->sin6_port);
	} else {
		ip = &((struct sockaddr_in *)&ss)->sin_addr;
		*port = ntohs(((struct sockaddr_in *)&ss)->sin_port);
	}
	if (!*port || !evutil_inet_ntop(ss.ss_family, ip, host, CS_ADDRESS_MAX))
		return CS_ERR_INVALID;
	return CS_OK;
}

/* Starts a timer that fires once after delay; negative: at once. */
static void start_timer(struct event *timer, cs_time delay)
{
	struct timeval tv;

	if (delay < 0)
		delay = 0;
	tv.tv_sec = delay / CS_SEC;
	tv.tv_usec = delay % CS_SEC;
	event_add(timer, &tv);
}

/* Releases a pool but not its calls and connections. */
static void pool_free(gpointer p)
{
	struct pool *pool = p;

	g_queue_clear(&pool->waiting);
	g_queue_clear(&pool->idle);
	g_free(pool);
}

/* Makes run_deferred() start the pool's waiting calls. */
static void schedule_pool(struct http_client *c, struct pool *pool)
{
	if (!pool->is_scheduled) {
		pool->is_scheduled = true;
		g_queue_push_tail(&c->scheduled, pool);
	}
	event_active(c->deferred, EV_TIMEOUT, 0);
}

/* Closes the socket. Not to be called from a callback of this connection. */
static void conn_close(struct conn *conn)
{
	if (!conn->evcon)
		return;
	evhttp_connection_set_closecb(conn->evcon, NULL, NULL);
	evbuffer_remove_cb_entry(
		bufferevent_get_output(
			evhttp_connection_get_bufferevent(conn->evcon)),
		conn->output_cb);
	evbuffer_remove_cb_entry(
		bufferevent_get_input(
			evhttp_connection_get_bufferevent(conn->evcon)),
		conn->input_cb);
	evhttp_connection_free(conn->evcon);
	conn->evcon = NULL;
}

/*
 * Takes a connection out of its pool. run_deferred() releases it, because
 * evhttp may still use it further up the stack.
 */
static void conn_retire(struct conn *conn)
{
	struct http_client *c = conn->client;
	struct pool *pool = conn->pool;

	if (!pool)
		return;
	event_del(conn->timer);
	g_queue_remove(&pool->idle, conn);
	pool->open--;
	conn->pool = NULL;
	conn->is_closed = true;
	g_queue_push_tail(&c->retired, conn);
	schedule_pool(c, pool);
}

/* Releases a connection that is no longer in a pool. */
static void conn_free(struct conn *conn)
{
	conn_close(conn);
	event_free(conn->timer);
	slots_free(conn->client->conns, conn->self);
}

/* Counts the bytes of a call that were sent; see the top of this file. */
static void on_output(struct evbuffer *buffer,
		      const struct evbuffer_cb_info *info, void *arg)
{
	struct conn *conn = arg;
	struct bufferevent *bev =
		evhttp_connection_get_bufferevent(conn->evcon);
	int one = 1;

	(void)buffer;
	if (info->n_added && !conn->is_connected) {
		conn->is_connected = true;
		event_del(conn->timer);
		setsockopt(bufferevent_getfd(bev), IPPROTO_TCP, TCP_NODELAY,
			   &one, sizeof(one));
	}
	conn->queued += info->n_added;
	if (info->n_deleted && (bufferevent_get_enabled(bev) & EV_WRITE))
		conn->written += info->n_deleted;
}

/* Notes when bytes of a response arrive; see end_of_call(). */
static void on_input(struct evbuffer *buffer,
		     const struct evbuffer_cb_info *info, void *arg)
{
	(void)buffer;
	if (info->n_added)
		((struct conn *)arg)->last_byte = task_now();
}

/* The peer or evhttp closed the connection. */
static void on_close(struct evhttp_connection *evcon, void *arg)
{
	struct conn *conn = arg;

	(void)evcon;
	conn->is_closed = true;
	if (!conn->call)
		conn_retire(conn);
}

/* Makes the connection of a finished call idle, or retires it. */
static void conn_release(struct conn *conn)
{
	conn->call = NULL;
	if (conn->is_closed) {
		conn_retire(conn);
		return;
	}
	g_queue_push_head(&conn->pool->idle, conn);
	start_timer(conn->timer, IDLE_US);
	schedule_pool(conn->client, conn->pool);
}

/* Releases the call and reports its result. */
static void call_finish(struct call *call,
			const struct http_client_response *response)
{
	http_done_fn done = call->done;
	void *ctx = call->ctx;
	uint64_t ref = call->ref;

	if (call->conn)
		conn_release(call->conn);
	else if (call->pool)
		g_queue_remove(&call->pool->waiting, call);
	if (call->req)
		evhttp_request_free(call->req);
	event_free(call->timer);
	g_free(call->path);
	slots_free(call->client->calls, call->self);
	done(ctx, ref, response);
}

/* Ends a call without a response: not sent, or unknown if any byte was. */
static void call_fail(struct call *call, int code, const char *message)
{
	struct http_client_response response = { .result = HTTP_NOT_SENT };
	struct conn *conn = call->conn;
	const char *step = "connect";

	if (conn && conn->is_connected)
		step = conn->written < conn->queued || !conn->queued ?
			       "send" :
			       "receive";
	if (conn && conn->written)
		response.result = HTTP_UNKNOWN;
	response.is_too_large = call->evhttp_error == EVREQ_HTTP_DATA_TOO_LONG;
	response.is_peer_unknown = code == CS_ERR_MISSING;
	cs_error_set(&response.error, code, step,
		     call->pool ? call->pool->address : NULL, "%s", message);
	if (conn)
		conn->is_closed = true;
	call_finish(call, &response);
}

/*
 * Resets the connection, so that an aborted call is not delivered when a
 * network partition heals. evhttp shuts a socket down before it closes it,
 * which keeps the call's bytes.
 */
static void reset_connection(const struct conn *conn)
{
	if (conn->evcon)
		socket_reset(bufferevent_getfd(
			evhttp_connection_get_bufferevent(conn->evcon)));
}

/*
 * Ends a call outside evhttp's callbacks. Its connection, if it has one, is
 * reset and closed first, so that evhttp does not report the request later.
 */
static void call_abort(struct call *call, int code, const char *message)
{
	if (call->conn) {
		reset_connection(call->conn);
		conn_close(call->conn);
		call->req = NULL;
	}
	call_fail(call, code, message);
}

/* The time at which a call ends unless bytes of its response come. */
static cs_time end_of_call(const struct call *call)
{
	cs_time last = call->start;

	if (!call->stall_max)
		return call->deadline;
	if (call->conn && call->conn->last_byte > last)
		last = call->conn->last_byte;
	return MIN(call->deadline, last + call->stall_max);
}

/*
 * Ends a call at its deadline. libevent's clock stops while the host is
 * suspended and can run a few ms ahead, so the time is checked.
 */
static void on_deadline(evutil_socket_t fd, short what, void *arg)
{
	struct call *call = arg;
	cs_time now = task_now();

	(void)fd;
	(void)what;
	if (now < end_of_call(call)) {
		start_timer(call->timer, end_of_call(call) - now);
		return;
	}
	call_abort(call, CS_ERR_TIMEOUT,
		   call->conn ? "no complete response before the deadline" :
				"no free connection before the deadline");
}

/* The connect timeout of a call, or the idle timeout. */
static void on_conn_timer(evutil_socket_t fd, short what, void *arg)
{
	struct conn *conn = arg;

	(void)fd;
	(void)what;
	if (!conn->call)
		conn_retire(conn);
	else if (!conn->is_connected)
		call_abort(conn->call, CS_ERR_TIMEOUT, "connect timeout");
}

/* Creates a connection, which connects with its first call. NULL on failure. */
static struct conn *conn_open(struct http_client *c, struct pool *pool)
{
	struct timeval tv = { .tv_sec = EVHTTP_TIMEOUT_S };
	struct conn *conn;
	cs_handle self = slots_alloc(c->conns, (void **)&conn);

	if (!self)
		return NULL;
	conn->client = c;
	conn->self = self;
	conn->evcon = evhttp_connection_base_bufferevent_new(
		c->base, NULL, NULL, pool->host, pool->port);
	conn->timer = evtimer_new(c->base, on_conn_timer, conn);
	if (!conn->evcon || !conn->timer)
		goto fail;
	conn->output_cb = evbuffer_add_cb(
		bufferevent_get_output(
			evhttp_connection_get_bufferevent(conn->evcon)),
		on_output, conn);
	conn->input_cb = evbuffer_add_cb(
		bufferevent_get_input(
			evhttp_connection_get_bufferevent(conn->evcon)),
		on_input, conn);
	if (!conn->output_cb || !conn->input_cb)
		goto fail;
	evhttp_connection_set_retries(conn->evcon, 0);
	evhttp_connection_set_timeout_tv(conn->evcon, &tv);
	evhttp_connection_set_max_body_size(
		conn->evcon, (ev_ssize_t)c->options.response_max);
	evhttp_connection_set_max_headers_size(conn->evcon, HEAD_MAX);
	evhttp_connection_set_closecb(conn->evcon, on_close, conn);
	conn->pool = pool;
	pool->open++;
	start_timer(conn->timer, c->options.connect_timeout_ms * CS_MSEC);
	return conn;
fail:
	if (conn->evcon)
		evhttp_connection_free(conn->evcon);
	if (conn->timer)
		event_free(conn->timer);
	slots_free(c->conns, self);
	return NULL;
}

/* True if the headers delimit the body and the whole of it was received. */
static bool is_complete(struct evhttp_request *req, size_t len)
{
	struct evkeyvalq *headers = evhttp_request_get_input_headers(req);
	const char *value = evhttp_find_header(headers, "Transfer-Encoding");
	int status = evhttp_request_get_response_code(req);

	if (value && !strcasecmp(value, "chunked"))
		return true;
	value = evhttp_find_header(headers, "Content-Length");
	if (value)
		return g_ascii_strtoull(value, NULL, 10) == len;
	/*
	 * Without a length, a body that ends with the connection can't be told
	 * from one that was cut off when the server died.
	 */
	return status == 204 || status == 304;
}

/* Saves evhttp's reason for a failure; evhttp calls on_done() next. */
static void on_error(enum evhttp_request_error error, void *arg)
{
	((struct call *)arg)->evhttp_error = (int)error;
}

/* Describes evhttp's error code; -1 and other codes: the connection failed. */
static const char *error_text(int error)
{
	switch (error) {
	case EVREQ_HTTP_TIMEOUT:
		return "timeout";
	case EVREQ_HTTP_EOF:
		return "connection closed or reset";
	case EVREQ_HTTP_INVALID_HEADER:
		return "malformed response";
	case EVREQ_HTTP_DATA_TOO_LONG:
		return "response too large";
	default:
		return "connection failed";
	}
}

/*
 * evhttp has finished the request. It reports a failure either as NULL or, when
 * the connection was not established, as a request without a status.
 */
static void on_done(struct evhttp_request *req, void *arg)
{
	struct call *call = arg;
	struct http_client_response response = { .result = HTTP_ANSWERED };
	struct evbuffer *input;
	size_t len;
	void *data;

	call->req = NULL;
	if (!req || !evhttp_request_get_response_code(req)) {
		call_fail(call, CS_ERR_IO, error_text(call->evhttp_error));
		return;
	}
	input = evhttp_request_get_input_buffer(req);
	len = evbuffer_get_length(input);
	if (!is_complete(req, len)) {
		call_fail(call, CS_ERR_IO, "response without a length");
		return;
	}
	data = g_malloc(len);
	evbuffer_remove(input, data, len);
	response.body = g_bytes_new_take(data, len);
	response.status = evhttp_request_get_response_code(req);
	response.connection = call->conn->self;
	cs_copy(response.content_type, sizeof(response.content_type),
		evhttp_find_header(evhttp_request_get_input_headers(req),
				   "Content-Type"));
	call->conn->last_response = task_now();
	/* evhttp would take further bytes for the response to the next call. */
	if (evbuffer_get_length(bufferevent_get_input(
		    evhttp_connection_get_bufferevent(call->conn->evcon))))
		call->conn->is_closed = true;
	call_finish(call, &response);
	g_bytes_unref(response.body);
}

static bool may_use(const struct conn *conn, const struct call *call)
{
	if (call->needs_live_connection &&
	    task_now() - conn->last_response > LIVENESS_US)
		return false;
	return call->identifies_peer ? !conn->peer :
				       !call->peer || conn->peer == call->peer;
}

/* The idle connection that was used last of those that a call may use. */
static struct conn *find_idle(struct pool *pool, const struct call *call)
{
	GList *l;

	for (l = pool->idle.head; l; l = l->next)
		if (may_use(l->data, call))
			return l->data;
	return NULL;
}

/*
 * Sets conn to the connection to use for a call: an idle one, or a new one
 * within the limit. Returns CS_ERR_FULL if the call has to wait, CS_ERR_MISSING
 * if no connection has its peer, and CS_ERR_NOMEM if none can be created.
 */
static int acquire_conn(struct http_client *c, struct pool *pool,
			const struct call *call, struct conn **conn)
{
	bool is_full = pool->open >= c->options.connections_max[pool->group];

	*conn = find_idle(pool, call);
	if (*conn) {
		g_queue_remove(&pool->idle, *conn);
		event_del((*conn)->timer);
		return CS_OK;
	}
	if (is_full && !pool->idle.length)
		return CS_ERR_FULL;
	if (call->peer)
		return CS_ERR_MISSING;
	if (is_full)
		conn_retire(g_queue_peek_tail(&pool->idle));
	*conn = conn_open(c, pool);
	return *conn ? CS_OK : CS_ERR_NOMEM;
}

/* Starts waiting calls, oldest first, while there are connections. */
static void start_waiting_calls(struct http_client *c, struct pool *pool)
{
	struct call *call;
	struct conn *conn;
	struct evhttp_request *req;
	int code;

	while ((call = g_queue_peek_head(&pool->waiting))) {
		code = acquire_conn(c, pool, call, &conn);
		if (code == CS_ERR_FULL)
			return;
		if (code) {
			call_fail(call, code,
				  code == CS_ERR_MISSING ?
					  "no connection to this process" :
					  "cannot create a connection");
			continue;
		}
		g_queue_pop_head(&pool->waiting);
		call->conn = conn;
		conn->call = call;
		conn->queued = 0;
		conn->written = 0;
		req = call->req;
		/* evhttp takes over the request and may finish it at once. */
		if (evhttp_make_request(conn->evcon, req, call->cmd,
					call->path)) {
			call->req = NULL;
			call_fail(call, CS_ERR_IO, "cannot open a socket");
		}
	}
}

/*
 * Releases retired connections and starts calls of scheduled pools. Connections
 * can be released here because no callback of evhttp is on the stack.
 */
static void run_deferred(evutil_socket_t fd, short what, void *arg)
{
	struct http_client *c = arg;
	struct conn *conn;
	struct pool *pool;

	(void)fd;
	(void)what;
	while ((conn = g_queue_pop_head(&c->retired)))
		conn_free(conn);
	while ((pool = g_queue_pop_head(&c->scheduled))) {
		pool->is_scheduled = false;
		start_waiting_calls(c, pool);
		if (!pool->open && !pool->waiting.length && !pool->is_scheduled)
			g_hash_table_remove(c->pools, pool->key);
	}
}

static void pool_key(char *key, size_t size, const char *address, int group)
{
	snprintf(key, size, "%d %s", group, address);
}

/* Finds or creates the pool. NULL if the address is not "IP:PORT". */
static struct pool *get_pool(struct http_client *c, const char *address,
			     int group)
{
	char key[CS_ADDRESS_MAX + 8];
	char host[CS_ADDRESS_MAX];
	struct pool *pool;
	uint16_t port;

	pool_key(key, sizeof(key), address, group);
	pool = g_hash_table_lookup(c->pools, key);
	if (pool)
		return pool;
	if (http_address_split(address, host, &port))
		return NULL;
	pool = g_new0(struct pool, 1);
	cs_copy(pool->key, sizeof(pool->key), key);
	cs_copy(pool->address, sizeof(pool->address), address);
	cs_copy(pool->host, sizeof(pool->host), host);
	pool->port = port;
	pool->group = group;
	g_hash_table_insert(c->pools, pool->key, pool);
	return pool;
}

void http_client_set_peer(struct http_client *c, cs_handle connection,
			  uint64_t peer)
{
	struct conn *conn = slots_get(c->conns, connection);

	if (conn)
		conn->peer = peer;
}

int http_client_connections(const struct http_client *c, const char *address,
			    int group)
{
	char key[CS_ADDRESS_MAX + 8];
	const struct pool *pool;

	pool_key(key, sizeof(key), address, group);
	pool = g_hash_table_lookup(c->pools, key);
	return pool ? pool->open : 0;
}

/* Creates evhttp's request with headers and body. NULL if out of memory. */
static struct evhttp_request *build_request(const struct http_call *in,
					    struct call *call)
{
	struct evhttp_request *req = evhttp_request_new(on_done, call);
	struct evkeyvalq *headers;
	char traceparent[TRACEPARENT_LEN];
	gconstpointer data;
	gsize len;
	size_t i;

	if (!req)
		return NULL;
	evhttp_request_set_error_cb(req, on_error);
	headers = evhttp_request_get_output_headers(req);
	evhttp_add_header(headers, "Host", in->address);
	if (in->content_type && *in->content_type)
		evhttp_add_header(headers, "Content-Type", in->content_type);
	for (i = 0; i < in->headers_nr; i++)
		evhttp_add_header(headers, in->headers[i].name,
				  in->headers[i].value);
	if (in->trace && in->trace->span) {
		trace_format(in->trace, traceparent);
		evhttp_add_header(headers, "traceparent", traceparent);
	}
	if (in->body) {
		data = g_bytes_get_data(in->body, &len);
		evbuffer_add(evhttp_request_get_output_buffer(req), data, len);
	}
	return req;
}

void http_client_call(struct http_client *c, const struct http_call *in,
		      http_done_fn done, void *ctx, uint64_t ref)
{
	static const enum evhttp_cmd_type cmds[] = {
		[HTTP_CALL_GET] = EVHTTP_REQ_GET,
		[HTTP_CALL_POST] = EVHTTP_REQ_POST,
		[HTTP_CALL_PUT] = EVHTTP_REQ_PUT,
		[HTTP_CALL_DELETE] = EVHTTP_REQ_DELETE,
	};
	struct http_client_response refused = { .result = HTTP_NOT_SENT };
	cs_time now = task_now();
	struct call *call = NULL;
	struct pool *pool = get_pool(c, in->address, in->group);
	cs_handle self;
	int code = CS_ERR_INVALID;
	const char *message = "malformed address or path";

	if (!pool || strlen(in->path) > PATH_MAX_LEN)
		goto refuse;
	code = CS_ERR_TIMEOUT;
	message = "the deadline has passed";
	if (in->deadline <= now)
		goto refuse;
	code = CS_ERR_NOMEM;
	message = "too many calls";
	self = slots_alloc(c->calls, (void **)&call);
	if (!self)
		goto refuse;
	call->client = c;
	call->self = self;
	call->pool = pool;
	call->cmd = cmds[in->method];
	call->start = now;
	call->deadline = in->deadline;
	call->stall_max = in->stall_max;
	call->needs_live_connection = in->needs_live_connection;
	call->identifies_peer = in->identifies_peer;
	call->peer = in->peer;
	call->evhttp_error = -1;
	call->done = done;
	call->ctx = ctx;
	call->ref = ref;
	call->req = build_request(in, call);
	call->timer = evtimer_new(c->base, on_deadline, call);
	if (!call->req || !call->timer)
		goto refuse_call;
	call->path = g_strdup(in->path);
	if (end_of_call(call) != CS_TIME_NEVER)
		start_timer(call->timer, end_of_call(call) - now);
	g_queue_push_tail(&pool->waiting, call);
	start_waiting_calls(c, pool);
	return;
refuse_call:
	if (call->req)
		evhttp_request_free(call->req);
	if (call->timer)
		event_free(call->timer);
	slots_free(c->calls, self);
refuse:
	if (pool)
		schedule_pool(c, pool);
	cs_error_set(&refused.error, code, "connect", in->address, "%s",
		     message);
	done(ctx, ref, &refused);
}

struct http_client *http_client_create(
	struct event_base *base, const struct http_client_options *options)
{
	struct http_client *c = g_new0(struct http_client, 1);
	sigset_t set;

	/*
	 * libevent writes with writev(), which raises SIGPIPE in the writing
	 * thread when the peer has reset the connection.
	 */
	sigemptyset(&set);
	sigaddset(&set, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &set, NULL);

	c->base = base;
	c->options = *options;
	c->calls = slots_create(sizeof(struct call), CALLS_MAX);
	c->conns = slots_create(sizeof(struct conn), CONNS_MAX);
	c->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	c->deferred = event_new(base, -1, 0, run_deferred, c);
	if (!c->calls || !c->conns || !c->deferred) {
		http_client_destroy(c);
		return NULL;
	}
	return c;
}

void http_client_destroy(struct http_client *c)
{
	struct conn *conn;
	cs_handle h;

	if (!c)
		return;
	for (h = 0; c->calls && (h = slots_next(c->calls, h));)
		call_abort(slots_get(c->calls, h), CS_ERR_IO,
			   "the client is closing");
	for (h = 0; c->conns && (h = slots_next(c->conns, h));) {
		conn = slots_get(c->conns, h);
		conn_free(conn);
	}
	g_queue_clear(&c->retired);
	g_queue_clear(&c->scheduled);
	if (c->deferred)
		event_free(c->deferred);
	g_hash_table_destroy(c->pools);
	slots_destroy(c->calls);
	slots_destroy(c->conns);
	g_free(c);
}
