#include "relay_private.h"

#include <event2/listener.h>
#include <string.h>
#include <sys/socket.h>

#include "../base/error.h"
#include "../base/task.h"

/* Every entry of a site connects to the owner once. */
#define CONNS_MAX 4096u
/* Orders that may be open at once; beyond that, servers are called directly. */
#define CALLS_MAX (1u << 16)
/* While no descriptor is free, accept() fails again at once. */
#define ACCEPT_PAUSE_US (100 * CS_MSEC)

static void log_event(struct relay *r, const char *event, const char *peer,
		      const char *why)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "event", event);
	log_pair(pairs, "entry", peer);
	log_pair(pairs, "role", r->is_hub ? "owner" : "carrier");
	if (why)
		log_pair(pairs, "why", why);
	log_write(r->log, LOG_INFO, "fleet", NULL, NULL, NULL, pairs->str);
	g_string_free(pairs, TRUE);
}

struct link *relay_link(const struct peer_conn *conn)
{
	return conn->peer;
}

static void link_free(struct link *l)
{
	if (!l)
		return;
	g_queue_clear_full(&l->replies, (GDestroyNotify)g_bytes_unref);
	payloads_destroy(l->payloads);
	if (l->reply_timer)
		event_free(l->reply_timer);
	g_free(l);
}

/*
 * Resets the connection, so that orders that a partition holds up are not
 * delivered when it heals.
 */
void relay_close(struct relay *r, struct peer_conn *conn, const char *why)
{
	struct link *l = relay_link(conn);
	cs_handle self = conn->self;

	if (l)
		log_event(r, "relay_down", conn->remote.id, why);
	conn->peer = NULL;
	peer_conn_reset(conn);
	peer_conn_close(conn);
	link_free(l);
	hub_on_link_end(r, self);
	carrier_on_link_end(r, self);
}

bool relay_send_msg(struct relay *r, struct peer_conn *conn,
		    struct relay_msg *msg)
{
	GBytes *content;
	int code;

	msg->sent = task_now();
	content = relay_encode(msg);
	code = peer_conn_send(conn, content);
	g_bytes_unref(content);
	if (code)
		relay_close(r, conn, "the peer reads too slowly");
	return !code;
}

/*
 * The owner accepts every entry that knows the secret of its key; others accept
 * none. A carrier expects the owner that the key names.
 */
static int check_hello(void *owner, struct peer_conn *conn,
		       struct cs_error *err)
{
	const struct relay *r = owner;
	const struct peer_hello *remote = &conn->remote;

	if (conn->role == PEER_ROLE_RESPONDER ?
		    r->is_hub && strcmp(remote->id, r->options.self.name) :
		    !strcmp(remote->id, r->owner.name) &&
			    remote->incarnation == r->owner.incarnation)
		return CS_OK;
	return cs_error_set(err, CS_ERR_MISSING, "handshake", NULL,
			    "unexpected entry: %s", remote->id);
}

static void on_up(void *owner, struct peer_conn *conn)
{
	static const struct timeval idle = { IDLE_TIMEOUT_S, 0 };
	struct relay *r = owner;
	struct link *l = g_new0(struct link, 1);

	bufferevent_set_timeouts(conn->bev, &idle, NULL);
	l->relay = r;
	l->conn = conn->self;
	l->heard_at = task_now();
	l->payloads = payloads_create();
	conn->peer = l;
	log_event(r, "relay_up", conn->remote.id, NULL);
	if (conn->role == PEER_ROLE_INITIATOR)
		carrier_on_up(r, conn);
}

/* Returns how much longer than the fastest one a message was on its way. */
static cs_time measure_delay(struct link *l, cs_time sent, cs_time now)
{
	cs_time difference = now - sent;

	if (!l->has_difference || difference < l->min_difference)
		l->min_difference = difference;
	l->has_difference = true;
	return difference - l->min_difference;
}

/* A message that can't be decoded is dropped; the frames stay intact. */
static void on_frame(void *owner, struct peer_conn *conn, const uint8_t *data,
		     size_t len)
{
	struct relay *r = owner;
	struct link *l = relay_link(conn);
	struct cs_error err = { 0 };
	struct relay_msg msg;
	cs_time delay;

	if (relay_decode(data, len, &msg, &err)) {
		cs_copy(err.peer, sizeof(err.peer), conn->address);
		log_error(r->log, "fleet", &err);
		return;
	}
	l->heard_at = task_now();
	delay = measure_delay(l, msg.sent, l->heard_at);
	if (conn->role == PEER_ROLE_RESPONDER)
		hub_on_msg(r, conn, &msg);
	else
		carrier_on_msg(r, conn, &msg, delay);
	order_free(msg.order);
	order_reply_free(msg.reply);
	submission_free(msg.submission);
}

static void on_end(void *owner, struct peer_conn *conn,
		   const struct cs_error *err)
{
	relay_close(owner, conn, err->message);
}

static const struct peer_conn_ops conn_ops = { check_hello, on_up, on_frame,
					       on_end };

struct peer_conn *relay_new_conn(struct relay *r, const uint8_t *secret)
{
	const struct relay_options *o = &r->options;
	struct peer_conn *conn = NULL;
	cs_handle self = slots_alloc(r->conns, (void **)&conn);

	if (!self)
		return NULL;
	conn->table = r->conns;
	conn->self = self;
	conn->ops = &conn_ops;
	conn->owner = r;
	conn->secret = secret;
	cs_copy(conn->local.id, sizeof(conn->local.id), o->self.name);
	cs_copy(conn->local.data_centre, sizeof(conn->local.data_centre),
		o->data_centre);
	conn->local.incarnation = o->self.incarnation;
	return conn;
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *arg)
{
	struct relay *r = arg;
	struct peer_conn *conn = relay_new_conn(r, r->options.self.secret);
	struct cs_error err = { 0 };

	(void)listener;
	(void)addr;
	(void)len;
	if (!conn) {
		evutil_closesocket(fd);
		return;
	}
	if (peer_conn_start(conn, r->base, fd, &err))
		relay_close(r, conn, err.message);
}

static void on_accept_error(struct evconnlistener *listener, void *arg)
{
	static const struct timeval pause = { 0, ACCEPT_PAUSE_US };
	struct relay *r = arg;
	struct cs_error err = { 0 };

	cs_error_set(&err, CS_ERR_IO, "accept", r->options.self.address, "%s",
		     evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
	log_error(r->log, "fleet", &err);
	evconnlistener_disable(listener);
	evtimer_add(r->accept_timer, &pause);
}

static void on_accept_timer(evutil_socket_t fd, short events, void *arg)
{
	struct relay *r = arg;

	(void)fd;
	(void)events;
	evconnlistener_enable(r->listener);
}

/* Listens on the entry's address, if it has one. */
static int open_listener(struct relay *r, struct cs_error *err)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	if (!*r->options.self.address)
		return CS_OK;
	if (evutil_parse_sockaddr_port(r->options.self.address,
				       (struct sockaddr *)&addr, &len))
		return cs_error_set(err, CS_ERR_INVALID, "relay", NULL,
				    "%s is not an address",
				    r->options.self.address);
	r->accept_timer = evtimer_new(r->base, on_accept_timer, r);
	r->listener = evconnlistener_new_bind(
		r->base, on_accept, r,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE |
			LEV_OPT_CLOSE_ON_EXEC,
		-1, (struct sockaddr *)&addr, len);
	if (!r->listener || !r->accept_timer)
		return cs_error_set(
			err, CS_ERR_IO, "relay", r->options.self.address, "%s",
			evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
	evconnlistener_set_error_cb(r->listener, on_accept_error);
	return CS_OK;
}

struct relay *relay_create(const struct relay_options *options,
			   struct event_base *base, const struct relay_ops *ops,
			   void *ctx, struct log *log, struct cs_error *err)
{
	struct relay *r = g_new0(struct relay, 1);

	r->options = *options;
	r->base = base;
	r->ops = ops;
	r->ctx = ctx;
	r->log = log;
	r->conns = slots_create(sizeof(struct peer_conn), CONNS_MAX);
	r->calls = slots_create(sizeof(struct hub_call), CALLS_MAX);
	r->carried = slots_create(sizeof(struct carried_call), CALLS_MAX);
	r->routes = routes_create(options->direct_max);
	if (open_listener(r, err)) {
		relay_destroy(r);
		return NULL;
	}
	return r;
}

static void close_all(struct relay *r, const char *why)
{
	struct peer_conn *conn;
	cs_handle h, next;

	for (h = slots_next(r->conns, 0); h; h = next) {
		next = slots_next(r->conns, h);
		conn = slots_get(r->conns, h);
		relay_close(r, conn, why);
	}
}

void relay_destroy(struct relay *r)
{
	if (!r)
		return;
	r->is_leaving = true;
	close_all(r, "the entry ends");
	hub_close(r);
	carrier_close(r);
	if (r->listener)
		evconnlistener_free(r->listener);
	if (r->accept_timer)
		event_free(r->accept_timer);
	routes_destroy(r->routes);
	slots_destroy(r->conns);
	slots_destroy(r->calls);
	slots_destroy(r->carried);
	g_free(r);
}

/* True if both name the same start of the same entry. */
static bool is_same(const struct relay_contact *a,
		    const struct relay_contact *b)
{
	return !strcmp(a->name, b->name) && a->incarnation == b->incarnation;
}

void relay_set_owner(struct relay *r, const struct relay_contact *owner)
{
	if (is_same(&r->owner, owner))
		return;
	/* Reconnects that this would start end with the state of the owner. */
	memset(&r->owner, 0, sizeof(r->owner));
	close_all(r, "another entry is the owner");
	hub_close(r);
	carrier_close(r);
	r->owner = *owner;
	r->is_hub = is_same(owner, &r->options.self);
	if (r->is_hub)
		hub_open(r);
	else if (*owner->address && !r->is_leaving)
		carrier_open(r);
}
