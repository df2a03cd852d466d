#include "http_server_private.h"

#include <errno.h>
#include <signal.h>
#include <string.h>

#include "error.h"
#include "slots.h"
#include "task.h"

/* Maximum size of all headers of one request. */
#define HEADERS_MAX ((size_t)16 * 1024)

/*
 * Longest single header field that the parser accepts. It reports a longer one
 * with the same error as a bad number, so the input size tells them apart.
 */
#define PARSER_FIELD_MAX ((size_t)8 * 1024)

/* Longer than any method and the space after it. */
#define METHOD_MAX 24

/* Maximum connections that wait for accept(). */
#define BACKLOG 1024

/*
 * Seconds after which an idle connection is closed. Load balancers usually
 * close idle connections after 60 s; with a longer timeout here they close
 * first and never send into a connection that this server is closing.
 */
#define IDLE_TIMEOUT 75

/* Seconds without progress after which sending a response is aborted. */
#define SEND_TIMEOUT 30

/*
 * Bytes of an oversized body that are read and discarded before the refusal.
 * Closing earlier would reset the connection and lose the refusal.
 */
#define DISCARD_MAX ((size_t)16 * 1024 * 1024)

/* Input that is buffered until a head is complete. */
#define INPUT_MAX ((size_t)2 * HEADERS_MAX)

/* Further input that is buffered while a request waits for its response. */
#define READ_AHEAD_MAX 4096

/* Input that is read and discarded before a connection is closed. */
#define DISCARD_AT_CLOSE ((size_t)256 * 1024)

/* Memory of one header or query parameter in libevhtp, beside its bytes. */
#define FIELD_COST 192

/* Used if the owner sets no limits. */
#define BUFFER_DEFAULT_BODIES 32
#define HEAD_TIMEOUT_MS 10000
#define BODY_TIMEOUT_MS 30000

/* One request. The owner's row follows it. */
struct exchange {
	struct connection *connection;
	evhtp_request_t *req;
	bool is_paused;
};

/* Where the owner's row begins, aligned for any type. */
#define ROW_OFFSET ((sizeof(struct exchange) + 15) & ~(size_t)15)

static const struct timeval idle_timeout = { .tv_sec = IDLE_TIMEOUT };
static const struct timeval send_timeout = { .tv_sec = SEND_TIMEOUT };

/* The row that open_connection() passed to all hooks of the connection. */
static struct connection *connection_of(const evhtp_request_t *req)
{
	return req->conn->hooks->on_connection_fini_arg;
}

/* Stops the parser. on_connection_fini() sends the refusal. */
static evhtp_res stop_parser(struct connection *c, int status,
			     const char *reason)
{
	c->refusal_status = status;
	c->refusal_reason = reason;
	return EVHTP_RES_BADREQ;
}

/* Stops the parser of a connection for which there is no memory. */
static evhtp_res stop_for_memory(struct connection *c)
{
	c->limit = "memory";
	return stop_parser(c, 503, "overloaded");
}

/* Charges the memory of one field of the head. */
static evhtp_res charge_field(struct connection *c, size_t bytes)
{
	bytes += FIELD_COST;
	if (!limits_make_room(c, bytes))
		return stop_for_memory(c);
	byte_account_charge(c->account, bytes);
	c->field_bytes += bytes;
	return EVHTP_RES_OK;
}

static evhtp_res on_header(evhtp_request_t *req, evhtp_header_t *header,
			   void *arg)
{
	struct connection *c = arg;

	(void)req;
	/* libevhtp parses by itself what came while a request waited. */
	if (!c->since)
		limits_set_deadline(c, c->server->options.head_timeout_ms);
	c->header_bytes += header->klen + header->vlen;
	if (c->header_bytes > HEADERS_MAX)
		return stop_parser(c, 431, "header_too_large");
	return charge_field(c, header->klen + header->vlen);
}

/* Charges the memory of the parsed query. */
static evhtp_res charge_query(struct connection *c, const char *query)
{
	evhtp_res res = EVHTP_RES_OK;

	for (; query && res == EVHTP_RES_OK; query = strpbrk(query, "&;")) {
		query += strspn(query, "&;");
		res = charge_field(c, strcspn(query, "&;"));
	}
	return res;
}

/*
 * Refuses a request before its body is read if it has both Transfer-Encoding
 * and Content-Length, which a proxy might interpret differently (request
 * smuggling), or if the body is too long to discard.
 */
static evhtp_res on_headers(evhtp_request_t *req, evhtp_headers_t *headers,
			    void *arg)
{
	struct connection *c = arg;
	size_t body_max = c->server->options.body_max;

	if (!c->has_head) {
		c->has_head = true;
		limits_set_deadline(c, c->server->options.body_timeout_ms);
	}
	if (evhtp_header_find(headers, "Transfer-Encoding") &&
	    evhtp_header_find(headers, "Content-Length"))
		return stop_parser(c, 400, "ambiguous_length");
	if (evhtp_request_content_len(req) > body_max + DISCARD_MAX)
		return stop_parser(c, 413, "body_too_large");
	/* Without a query libevhtp parses a form body as the query. */
	if (!req->uri->query)
		req->uri->query = evhtp_query_new();
	body_buffer_expect(c->body,
			   MIN(evhtp_request_content_len(req), body_max));
	return charge_query(c, (const char *)req->uri->query_raw);
}

/*
 * Moves a piece of the body to the connection's own buffer, as libevhtp would
 * keep an allocation for each chunk. Discards up to DISCARD_MAX bytes of a body
 * over the limit, so that the caller receives the refusal; a longer body ends
 * the connection.
 */
static evhtp_res on_read(evhtp_request_t *req, struct evbuffer *buf, void *arg)
{
	struct connection *c = arg;
	size_t body_max = c->server->options.body_max;
	size_t len = evbuffer_get_length(buf);

	(void)req;
	c->body_bytes += len;
	if (c->body_bytes > body_max + DISCARD_MAX)
		return stop_parser(c, 413, "body_too_large");
	if (c->body_bytes > body_max) {
		evbuffer_drain(buf, len);
		body_buffer_clear(c->body);
		return EVHTP_RES_OK;
	}
	if (!limits_make_room(c, body_buffer_growth(c->body, len)))
		return stop_for_memory(c);
	body_buffer_append(c->body, buf);
	return EVHTP_RES_OK;
}

/* Resets the counts for the next request on the connection. */
static evhtp_res on_request_fini(evhtp_request_t *req, void *arg)
{
	struct connection *c = arg;

	(void)req;
	byte_account_release(c->account, c->field_bytes);
	c->field_bytes = 0;
	body_buffer_clear(c->body);
	c->is_in_message = true;
	c->header_bytes = 0;
	c->body_bytes = 0;
	c->input_bytes = 0;
	return EVHTP_RES_OK;
}

/* Takes what the owner held for an exchange off the account. */
static void release_exchange(struct connection *c)
{
	byte_account_release(c->account, c->exchange_bytes);
	c->exchange_bytes = 0;
}

/* Ends an exchange without a response. */
static void drop_exchange(struct connection *c)
{
	struct http_server *s = c->server;
	cs_handle h = c->exchange;

	if (!h)
		return;
	s->ops->on_disconnect(s->ctx, h);
	release_exchange(c);
	c->exchange = 0;
	slots_free(s->exchanges, h);
}

/*
 * The connection ended or failed. libevhtp keeps a connection that is paused,
 * so the request is resumed, which makes libevhtp free the connection.
 */
static void on_event(evhtp_connection_t *conn, short events, void *arg)
{
	struct connection *c = arg;
	struct exchange *x = slots_get(c->server->exchanges, c->exchange);
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	evhtp_request_t *req;

	if (!x || !x->is_paused ||
	    !(events & (BEV_EVENT_EOF | BEV_EVENT_ERROR | BEV_EVENT_TIMEOUT)))
		return;
	req = x->req;
	drop_exchange(c);
	/* Nobody is left to receive responses to pipelined requests. */
	evbuffer_drain(in, evbuffer_get_length(in));
	evhtp_request_resume(req);
}

/*
 * Writes a refusal directly to the socket, since libevhtp closes a connection
 * that it can't parse without a response. Input that the socket still holds is
 * read first: unread input would turn the close into a reset.
 */
static void send_refusal(struct connection *c,
			 const struct http_refusal *refusal)
{
	GBytes *body = http_refusal_body(refusal);
	GString *out = g_string_new(NULL);
	char discarded[16384];
	size_t total = 0;
	ssize_t n;

	g_string_append_printf(out,
			       "HTTP/1.1 %d %s\r\n"
			       "Content-Type: application/json\r\n"
			       "Content-Length: %zu\r\n"
			       "Connection: close\r\n",
			       refusal->status,
			       http_status_text(refusal->status),
			       g_bytes_get_size(body));
	if (refusal->retry_after_ms > 0)
		g_string_append(out, "Retry-After: 1\r\n");
	g_string_append(out, "\r\n");
	g_string_append_len(out, g_bytes_get_data(body, NULL),
			    (gssize)g_bytes_get_size(body));
	do {
		n = recv(c->conn->sock, discarded, sizeof(discarded),
			 MSG_DONTWAIT);
		if (n > 0)
			total += (size_t)n;
	} while (n > 0 && total < DISCARD_AT_CLOSE);
	/* A failure affects only this caller, so it is ignored. */
	(void)!send(c->conn->sock, out->str, out->len,
		    MSG_DONTWAIT | MSG_NOSIGNAL);
	g_string_free(out, TRUE);
	g_bytes_unref(body);
}

/*
 * Refuses a request that never became an exchange. After a limit the outcome is
 * "unknown": the request was well-formed so far, and may repeat an earlier one.
 */
static void refuse_connection(struct connection *c, int status,
			      const char *reason, int64_t retry_after_ms)
{
	struct http_server *s = c->server;
	struct http_refusal refusal = {
		.status = status,
		.reason = reason,
		.outcome = c->limit ? "unknown" : "not_run",
		.step = s->options.name,
		.peer = c->peer,
		.retry_after_ms = retry_after_ms,
	};

	if (!c->limit || !s->options.closes_at_limits)
		send_refusal(c, &refusal);
	if (s->ops->on_refused)
		s->ops->on_refused(s->ctx, &refusal);
}

/* Frees what a connection holds, and the row. */
static void free_row(struct connection *c)
{
	struct http_server *s = c->server;
	struct bufferevent *bev = c->conn->bev;

	/* libevhtp frees the request after the connection's row. */
	if (c->conn->hooks)
		c->conn->hooks->on_request_fini = NULL;
	if (c->input_cb)
		evbuffer_remove_cb_entry(bufferevent_get_input(bev),
					 c->input_cb);
	if (c->output_cb)
		evbuffer_remove_cb_entry(bufferevent_get_output(bev),
					 c->output_cb);
	if (c->read_timer)
		event_free(c->read_timer);
	body_buffer_destroy(c->body);
	byte_account_destroy(c->account);
	if (c->is_waiting)
		s->waiting_nr--;
	limits_end_phases(c);
	slots_free(s->connections, c->self);
	limits_begin_closing(s);
	if (s->waiting_nr)
		event_active(s->resume_event, EV_TIMEOUT, 0);
}

/*
 * Frees the row when libevhtp closes the connection, and sends the refusal of a
 * message that the parser or a hook rejected.
 */
static evhtp_res on_connection_fini(evhtp_connection_t *conn, void *arg)
{
	struct connection *c = arg;
	htpparse_error error = htparse_error_none;

	drop_exchange(c);
	if (conn->parser)
		error = htparser_get_error(conn->parser);
	if (evbuffer_get_length(bufferevent_get_output(conn->bev)))
		/* A refusal would be read as the rest of another answer. */;
	else if (c->refusal_reason)
		refuse_connection(c, c->refusal_status, c->refusal_reason,
				  c->refusal_status == 503 ? CS_SEC / CS_MSEC :
							     0);
	else if (c->is_in_message && error == htparse_error_too_big &&
		 c->input_bytes > PARSER_FIELD_MAX)
		refuse_connection(c, 431, "header_too_large", 0);
	else if (c->is_in_message && error != htparse_error_none &&
		 error != htparse_error_user)
		refuse_connection(c, 400, "bad_http", 0);
	if (c->limit)
		limits_report(c);
	free_row(c);
	return EVHTP_RES_OK;
}

/*
 * evhtp_request_pause() stops reading, so that the end of the connection would
 * not be noticed. This enables reading again once libevhtp has returned; input
 * is buffered up to READ_AHEAD_MAX.
 */
static void resume_reading(evutil_socket_t fd, short events, void *arg)
{
	struct connection *c = arg;

	(void)fd;
	(void)events;
	if (c->exchange)
		bufferevent_enable(c->conn->bev, EV_READ);
}

/* Refuses a connection with a row on the stack, since the table is full. */
static void refuse_full(struct http_server *s, evhtp_connection_t *conn)
{
	struct connection c = { .server = s, .conn = conn };

	limits_begin_closing(s);
	if (s->options.closes_at_limits)
		return;
	http_address_format(conn->saddr, c.peer);
	refuse_connection(&c, 503, "too_many_connections", CS_SEC / CS_MSEC);
}

/* Empty lines before a request are allowed, but libevhtp's parser fails. */
static void drop_empty_lines(struct evbuffer *in)
{
	char c;

	while (evbuffer_copyout(in, &c, 1) == 1 && (c == '\r' || c == '\n'))
		evbuffer_drain(in, 1);
}

/* True if the input starts with a method or a prefix of one. */
static bool is_method(struct evbuffer *in)
{
	char start[METHOD_MAX];
	ev_ssize_t n = evbuffer_copyout(in, start, sizeof(start)), i;

	for (i = 0; i < n && start[i] != ' '; i++)
		if (!g_ascii_isupper(start[i]))
			return false;
	return i < METHOD_MAX;
}

/* True if the head is complete, or can no longer become a valid one. */
static bool is_head_complete(struct evbuffer *in)
{
	return !is_method(in) ||
	       evbuffer_search(in, "\r\n\r\n", 4, NULL).pos >= 0 ||
	       evbuffer_search(in, "\n\n", 2, NULL).pos >= 0 ||
	       evbuffer_get_length(in) > HEADERS_MAX;
}

/*
 * True if the input may be parsed: a head is complete, and the answers to
 * former requests were read. libevhtp's parser adds a stray byte to a path that
 * comes in two reads, so a head is passed on only when it is complete.
 */
static bool can_parse(struct connection *c, struct bufferevent *bev)
{
	if (c->has_head || c->exchange)
		return true;
	drop_empty_lines(bufferevent_get_input(bev));
	if (!evbuffer_get_length(bufferevent_get_input(bev)))
		return false;
	if (evbuffer_get_length(bufferevent_get_output(bev)))
		return false;
	if (!c->since)
		limits_set_deadline(c, c->server->options.head_timeout_ms);
	if (!is_head_complete(bufferevent_get_input(bev)))
		return false;
	c->has_head = true;
	limits_set_deadline(c, c->server->options.body_timeout_ms);
	return true;
}

static void on_readable(struct bufferevent *bev, void *arg)
{
	struct connection *c = arg;
	struct http_server *s = c->server;
	cs_handle self = c->self;

	if (!c->exchange && !limits_make_room(c, 0)) {
		limits_end(c, "memory", 503, "overloaded");
		return;
	}
	if (can_parse(c, bev))
		c->read_cb(bev, c->conn);
	c = slots_get(s->connections, self);
	if (c)
		limits_wait(c);
}

static void on_writable(struct bufferevent *bev, void *arg)
{
	struct connection *c = arg;
	struct http_server *s = c->server;
	cs_handle self = c->self;

	c->write_cb(bev, c->conn);
	c = slots_get(s->connections, self);
	/* Input that came before the answers were read. */
	if (c && !c->exchange && !c->has_head &&
	    evbuffer_get_length(bufferevent_get_input(bev)))
		on_readable(bev, c);
	if (s->waiting_nr)
		event_active(s->resume_event, EV_TIMEOUT, 0);
}

static void on_bev_event(struct bufferevent *bev, short events, void *arg)
{
	struct connection *c = arg;

	c->event_cb(bev, events, c->conn);
}

static void count_input(struct evbuffer *buf,
			const struct evbuffer_cb_info *info, void *arg)
{
	struct connection *c = arg;

	(void)buf;
	c->input_bytes += info->n_added;
	byte_account_charge(c->account, info->n_added);
	byte_account_release(c->account, info->n_deleted);
}

static void count_output(struct evbuffer *buf,
			 const struct evbuffer_cb_info *info, void *arg)
{
	struct connection *c = arg;

	(void)buf;
	byte_account_charge(c->account, info->n_added);
	byte_account_release(c->account, info->n_deleted);
}

/* Creates the row of a new connection. An error closes the connection. */
static evhtp_res open_connection(struct http_server *s,
				 evhtp_connection_t *conn)
{
	static const struct {
		evhtp_hook_type type;
		evhtp_hook hook;
	} hooks[] = {
		{ evhtp_hook_on_header, (evhtp_hook)on_header },
		{ evhtp_hook_on_headers, (evhtp_hook)on_headers },
		{ evhtp_hook_on_read, (evhtp_hook)on_read },
		{ evhtp_hook_on_request_fini, (evhtp_hook)on_request_fini },
		{ evhtp_hook_on_event, (evhtp_hook)(void (*)(void))on_event },
		{ evhtp_hook_on_connection_fini,
		  (evhtp_hook)on_connection_fini },
	};
	struct connection *c;
	cs_handle h;
	size_t i;

	h = slots_alloc(s->connections, (void **)&c);
	if (!h && limits_make_place(s))
		h = slots_alloc(s->connections, (void **)&c);
	if (!h) {
		refuse_full(s, conn);
		return EVHTP_RES_ERROR;
	}
	c->server = s;
	c->self = h;
	c->conn = conn;
	limits_begin_phases(c);
	c->is_in_message = true;
	c->account = byte_account_create(s->budget);
	c->body = body_buffer_create(c->account);
	c->read_timer = evtimer_new(conn->evbase, resume_reading, c);
	if (!c->read_timer) {
		free_row(c);
		return EVHTP_RES_ERROR;
	}
	http_address_format(conn->saddr, c->peer);
	for (i = 0; i < G_N_ELEMENTS(hooks); i++)
		evhtp_connection_set_hook(conn, hooks[i].type, hooks[i].hook,
					  c);
	c->input_cb = evbuffer_add_cb(bufferevent_get_input(conn->bev),
				      count_input, c);
	c->output_cb = evbuffer_add_cb(bufferevent_get_output(conn->bev),
				       count_output, c);
	bufferevent_set_max_single_read(conn->bev, READ_MAX);
	bufferevent_setwatermark(conn->bev, EV_READ, 0, INPUT_MAX);
	bufferevent_getcb(conn->bev, &c->read_cb, &c->write_cb, &c->event_cb,
			  NULL);
	bufferevent_setcb(conn->bev, on_readable, on_writable, on_bev_event, c);
	return EVHTP_RES_OK;
}

static evhtp_res post_accept(evhtp_connection_t *conn, void *arg)
{
	struct http_server *s = arg;
	evhtp_res res = open_connection(s, conn);

	limits_check_places(s);
	return res;
}

/* Maps methods that no server handles to HTTP_OTHER. */
static enum http_method request_method(evhtp_request_t *req)
{
	switch (evhtp_request_get_method(req)) {
	case htp_method_GET:
		return HTTP_GET;
	case htp_method_HEAD:
		return HTTP_HEAD;
	case htp_method_POST:
		return HTTP_POST;
	case htp_method_PUT:
		return HTTP_PUT;
	case htp_method_DELETE:
		return HTTP_DELETE;
	default:
		return HTTP_OTHER;
	}
}

static int add_header(evhtp_kv_t *kv, void *arg)
{
	struct http_header header = { kv->key ? kv->key : "",
				      kv->val ? kv->val : "" };

	g_array_append_val((GArray *)arg, header);
	return 0;
}

/* Passes the request to the owner, as plain data. */
static void deliver_request(struct connection *c, cs_handle h,
			    evhtp_request_t *req)
{
	struct http_server *s = c->server;
	GArray *headers = g_array_new(FALSE, FALSE, sizeof(struct http_header));
	const evhtp_path_t *path = req->uri->path;
	const char *query = (const char *)req->uri->query_raw;
	struct http_request r = {
		.method = request_method(req),
		.path = path && path->full ? path->full : "",
		.query = query ? query : "",
		.body = body_buffer_take(c->body, &c->exchange_bytes),
	};

	evhtp_kvs_for_each(req->headers_in, add_header, headers);
	r.headers = (const struct http_header *)(void *)headers->data;
	r.headers_nr = headers->len;
	cs_copy(r.peer, sizeof(r.peer), c->peer);
	s->ops->on_request(s->ctx, h, &r);
	g_bytes_unref(r.body);
	g_array_free(headers, TRUE);
}

/* Refuses a complete request and closes the connection after it. */
static void refuse_exchange(struct connection *c, cs_handle h, int status,
			    const char *reason)
{
	struct http_server *s = c->server;
	struct http_refusal refusal = {
		.status = status,
		.reason = reason,
		.outcome = "not_run",
		.step = s->options.name,
		.peer = c->peer,
	};
	struct exchange *x = slots_get(s->exchanges, h);

	evhtp_request_set_keepalive(x->req, 0);
	if (s->ops->on_refused)
		s->ops->on_refused(s->ctx, &refusal);
	http_server_refuse(s, h, &refusal);
}

/*
 * Runs when a request is complete. Unless the owner replies at once, the
 * connection is paused until the reply.
 */
static void on_request(evhtp_request_t *req, void *arg)
{
	struct http_server *s = arg;
	struct connection *c = connection_of(req);
	struct exchange *x;
	cs_handle h;

	c->is_in_message = false;
	c->has_head = false; /* what follows is the next message */
	c->since = 0;
	limits_enter_phase(c, PHASE_WITH_OWNER);
	h = slots_alloc(s->exchanges, (void **)&x);
	if (!h) {
		/* Not reached: a connection has one exchange at a time. */
		evhtp_request_set_keepalive(req, 0);
		evhtp_send_reply(req, EVHTP_RES_SERVUNAVAIL);
		return;
	}
	x->connection = c;
	x->req = req;
	c->exchange = h;
	if (c->body_bytes > s->options.body_max) {
		refuse_exchange(c, h, 413, "body_too_large");
		return;
	}
	deliver_request(c, h, req);
	x = slots_get(s->exchanges, h);
	if (!x)
		return; /* answered at once */
	x->is_paused = true;
	evhtp_request_pause(req);
	bufferevent_setwatermark(req->conn->bev, EV_READ, 0, READ_AHEAD_MAX);
	/* The response may take longer than the idle timeout. */
	bufferevent_set_timeouts(req->conn->bev, NULL, &send_timeout);
	event_active(c->read_timer, EV_TIMEOUT, 0);
}

static void unref_body(const void *data, size_t len, void *bytes)
{
	(void)data;
	(void)len;
	g_bytes_unref(bytes);
}

static void add_response_header(evhtp_request_t *req, const char *name,
				const char *value)
{
	evhtp_headers_add_header(req->headers_out,
				 evhtp_header_new(name, value, 0, 1));
}

/*
 * The content type comes from a worker. A line break in it would end the header
 * field and allow other headers to be injected.
 */
static bool is_header_value(const char *s)
{
	for (; *s; s++)
		if (!g_ascii_isprint(*s))
			return false;
	return true;
}

/*
 * Fills in headers and body, which is referenced, not copied. Retry-After is in
 * whole seconds, rounded up.
 */
static void fill_response(evhtp_request_t *req, const struct http_response *r)
{
	const char *type = r->content_type;
	char seconds[24];
	size_t len = 0;
	const void *data;

	if (!type || !*type || !is_header_value(type))
		type = "application/octet-stream";
	add_response_header(req, "Content-Type", type);
	if (r->allow)
		add_response_header(req, "Allow", r->allow);
	if (r->status == 401)
		add_response_header(req, "WWW-Authenticate", "Bearer");
	if (r->retry_after_ms > 0) {
		g_snprintf(seconds, sizeof(seconds), "%" G_GINT64_FORMAT,
			   (r->retry_after_ms + 999) / 1000);
		add_response_header(req, "Retry-After", seconds);
	}
	if (!r->body ||
	    !evhtp_response_needs_body((evhtp_res)r->status,
				       evhtp_request_get_method(req)))
		return;
	data = g_bytes_get_data(r->body, &len);
	if (len)
		evbuffer_add_reference(req->buffer_out, data, len, unref_body,
				       g_bytes_ref(r->body));
}

bool http_server_reply(struct http_server *s, cs_handle h,
		       const struct http_response *response)
{
	struct exchange *x = slots_get(s->exchanges, h);
	evhtp_request_t *req;
	bool was_paused;
	int status = response->status;

	if (!x)
		return false;
	req = x->req;
	was_paused = x->is_paused;
	x->connection->exchange = 0;
	limits_enter_phase(x->connection, PHASE_KEPT_ALIVE);
	release_exchange(x->connection);
	slots_free(s->exchanges, h);
	if (status < 200 || status > 599)
		status = 500;
	fill_response(req, response);
	if (s->is_draining) {
		evhtp_request_set_keepalive(req, 0);
		add_response_header(req, "Connection", "close");
	}
	evhtp_send_reply(req, (evhtp_res)status);
	if (was_paused) {
		bufferevent_setwatermark(req->conn->bev, EV_READ, 0, INPUT_MAX);
		bufferevent_set_timeouts(req->conn->bev, &idle_timeout,
					 &send_timeout);
		/* libevhtp requires the reply before the resume. */
		evhtp_request_resume(req);
	}
	return true;
}

bool http_server_refuse(struct http_server *s, cs_handle h,
			const struct http_refusal *refusal)
{
	struct http_response response = {
		.status = refusal->status,
		.content_type = "application/json",
		.allow = refusal->allow,
		.retry_after_ms = refusal->retry_after_ms,
		.body = http_refusal_body(refusal),
	};
	bool was_open = http_server_reply(s, h, &response);

	g_bytes_unref(response.body);
	return was_open;
}

void http_server_charge(struct http_server *s, cs_handle h, size_t bytes)
{
	struct exchange *x = slots_get(s->exchanges, h);
	struct connection *c;

	if (!x)
		return;
	c = x->connection;
	release_exchange(c);
	byte_account_charge(c->account, bytes);
	c->exchange_bytes = bytes;
}

void *http_server_row(const struct http_server *s, cs_handle h)
{
	struct exchange *x = slots_get(s->exchanges, h);

	return x ? (char *)x + ROW_OFFSET : NULL;
}

void http_server_drain(struct http_server *s)
{
	s->is_draining = true;
}

uint32_t http_server_exchanges(const struct http_server *s)
{
	return slots_count(s->exchanges);
}

uint32_t http_server_connections(const struct http_server *s)
{
	return slots_count(s->connections);
}

size_t http_server_held_bytes(const struct http_server *s)
{
	return byte_budget_used(s->budget);
}

/* Returns CS_OK, or an error code with err filled in. */
static int listen_at(struct http_server *s, const char *address,
		     struct cs_error *err)
{
	struct sockaddr_storage sa;
	socklen_t len;
	int code;

	code = http_address_parse(address, &sa, &len, err);
	if (code)
		return code;
	if (evhtp_bind_sockaddr(s->htp, (struct sockaddr *)&sa, len, BACKLOG))
		return cs_error_set(err, CS_ERR_IO, s->options.name, address,
				    "cannot listen: %s", strerror(errno));
	return CS_OK;
}

struct http_server *http_server_create(
	struct event_base *base, const struct http_server_options *options,
	const struct http_server_ops *ops, void *ctx, struct cs_error *err)
{
	struct http_server *s = g_new0(struct http_server, 1);
	sigset_t pipe_signal;

	/* A write to a closed connection must not raise SIGPIPE. */
	sigemptyset(&pipe_signal);
	sigaddset(&pipe_signal, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &pipe_signal, NULL);
	s->base = base;
	s->options = *options;
	if (!s->options.buffer_max)
		s->options.buffer_max =
			BUFFER_DEFAULT_BODIES * (options->body_max + READ_MAX);
	if (!s->options.head_timeout_ms)
		s->options.head_timeout_ms = HEAD_TIMEOUT_MS;
	if (!s->options.body_timeout_ms)
		s->options.body_timeout_ms = BODY_TIMEOUT_MS;
	s->ops = ops;
	s->ctx = ctx;
	s->budget = byte_budget_create(s->options.buffer_max);
	s->check_timer = evtimer_new(base, limits_check_deadlines, s);
	s->resume_event = evtimer_new(base, limits_resume, s);
	s->closed_event = evtimer_new(base, limits_resume_accepting, s);
	s->connections = slots_create(sizeof(struct connection),
				      options->connections_max);
	s->exchanges = slots_create(ROW_OFFSET + options->row_size,
				    options->connections_max);
	s->htp = evhtp_new(base, s);
	if (!s->connections || !s->exchanges || !s->htp || !s->check_timer ||
	    !s->resume_event || !s->closed_event) {
		cs_error_set(err, CS_ERR_NOMEM, options->name, NULL,
			     "out of memory");
		goto fail;
	}
	evhtp_enable_flag(s->htp, EVHTP_FLAG_ENABLE_NODELAY);
	evhtp_set_timeouts(s->htp, &idle_timeout, &send_timeout);
	evhtp_set_post_accept_cb(s->htp, post_accept, s);
	evhtp_set_gencb(s->htp, on_request, s);
	if (listen_at(s, options->address, err))
		goto fail;
	return s;
fail:
	http_server_destroy(s);
	return NULL;
}

void http_server_destroy(struct http_server *s)
{
	bool had_connections;
	cs_handle h;

	if (!s)
		return;
	had_connections = s->connections && slots_count(s->connections);
	if (s->htp && s->htp->server)
		evhtp_unbind_socket(s->htp);
	for (h = s->connections ? slots_next(s->connections, 0) : 0; h;
	     h = slots_next(s->connections, h)) {
		struct connection *c = slots_get(s->connections, h);

		evhtp_connection_free(c->conn);
	}
	/* libevent releases bufferevents in the next iteration of its loop. */
	if (had_connections)
		event_base_loop(s->base, EVLOOP_NONBLOCK);
	if (s->htp)
		evhtp_free(s->htp);
	if (s->check_timer)
		event_free(s->check_timer);
	if (s->resume_event)
		event_free(s->resume_event);
	if (s->closed_event)
		event_free(s->closed_event);
	slots_destroy(s->exchanges);
	slots_destroy(s->connections);
	byte_budget_destroy(s->budget);
	g_free(s);
}
