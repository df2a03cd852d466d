#include "peer_conn.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <string.h>
#include <sys/socket.h>

#include "../base/error.h"
#include "../base/socket.h"
#include "peer_codec.h"
#include "peer_frame.h"

/* From the start of the connection until both proofs were checked. */
#define HANDSHAKE_TIMEOUT_SEC 2

/* Four missed heartbeats, which come every 500 ms, mean a dead connection. */
#define READ_TIMEOUT_SEC 2

/* Bytes of output that may wait for a slow peer: two of the longest frames. */
#define OUTPUT_MAX ((size_t)4 * 1024 * 1024)

/* How a connection handles a frame in one of its states. */
struct state_ops {
	const char *step; /* for errors */
	size_t frame_max;
	int (*on_frame)(struct peer_conn *conn, const uint8_t *data, size_t len,
			struct cs_error *err);
};

static int handle_hello(struct peer_conn *conn, const uint8_t *data, size_t len,
			struct cs_error *err);
static int handle_proof(struct peer_conn *conn, const uint8_t *data, size_t len,
			struct cs_error *err);
static int handle_frame(struct peer_conn *conn, const uint8_t *data, size_t len,
			struct cs_error *err);

static const struct state_ops states[PEER_CONN_STATE_NR] = {
	[PEER_CONN_CONNECTING] = { "connect", 0, NULL },
	[PEER_CONN_HELLO] = { "handshake", PEER_HANDSHAKE_FRAME_MAX,
			      handle_hello },
	[PEER_CONN_PROOF] = { "handshake", PEER_HANDSHAKE_FRAME_MAX,
			      handle_proof },
	[PEER_CONN_UP] = { "peer_link", PEER_FRAME_MAX, handle_frame },
};

static void notify_end(struct peer_conn *conn, struct cs_error *err)
{
	if (!*err->peer)
		cs_copy(err->peer, sizeof(err->peer), conn->address);
	conn->ops->on_end(conn->owner, conn, err);
}

/* Sends a frame and releases the reference to its content. */
static int send_handshake_frame(struct peer_conn *conn, GBytes *content,
				struct cs_error *err)
{
	int code = peer_frame_add(bufferevent_get_output(conn->bev), content);

	g_bytes_unref(content);
	if (code)
		cs_error_set(err, code, "handshake", NULL, "out of memory");
	return code;
}

static const struct peer_hello *initiator(const struct peer_conn *conn)
{
	return conn->role == PEER_ROLE_INITIATOR ? &conn->local : &conn->remote;
}

static const struct peer_hello *responder(const struct peer_conn *conn)
{
	return conn->role == PEER_ROLE_INITIATOR ? &conn->remote : &conn->local;
}

/*
 * Answers the peer's hello with this side's proof, unless the owner rejects
 * the peer.
 */
static int handle_hello(struct peer_conn *conn, const uint8_t *data, size_t len,
			struct cs_error *err)
{
	int code = peer_hello_decode(data, len, &conn->remote, err);

	if (!code)
		code = conn->ops->check_hello(conn->owner, conn, err);
	if (code)
		return code;
	conn->state = PEER_CONN_PROOF;
	return send_handshake_frame(conn,
				    peer_proof_encode(conn->secret, conn->role,
						      initiator(conn),
						      responder(conn)),
				    err);
}

/*
 * Once the peer has proved that it knows the secret, the connection is up and
 * a read timeout replaces the timeout of the handshake.
 */
static int handle_proof(struct peer_conn *conn, const uint8_t *data, size_t len,
			struct cs_error *err)
{
	static const struct timeval read_timeout = { READ_TIMEOUT_SEC, 0 };
	enum peer_role other = conn->role == PEER_ROLE_INITIATOR ?
				       PEER_ROLE_RESPONDER :
				       PEER_ROLE_INITIATOR;
	int code = peer_proof_check(data, len, conn->secret, other,
				    initiator(conn), responder(conn), err);

	if (code)
		return code;
	conn->state = PEER_CONN_UP;
	event_del(conn->handshake_timer);
	bufferevent_set_timeouts(conn->bev, &read_timeout, NULL);
	conn->ops->on_up(conn->owner, conn);
	return CS_OK;
}

static int handle_frame(struct peer_conn *conn, const uint8_t *data, size_t len,
			struct cs_error *err)
{
	(void)err;
	conn->ops->on_frame(conn->owner, conn, data, len);
	return CS_OK;
}

/* Handling a frame may close conn, so the handle is looked up afterwards. */
static void on_read(struct bufferevent *bev, void *arg)
{
	struct peer_conn *conn = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	struct slots *table = conn->table;
	cs_handle handle = conn->self;
	struct cs_error err = { 0 };
	const uint8_t *data;
	size_t len;
	int code;

	while (peer_frame_peek(in, states[conn->state].frame_max, &data, &len,
			       &code)) {
		code = states[conn->state].on_frame(conn, data, len, &err);
		if (!slots_get(table, handle))
			return;
		if (code) {
			notify_end(conn, &err);
			return;
		}
		peer_frame_consume(in, len);
	}
	if (code) {
		cs_error_set(&err, code, states[conn->state].step, NULL,
			     "a frame of %zu bytes, expected at most %zu", len,
			     states[conn->state].frame_max);
		notify_end(conn, &err);
	}
}

/* Sends this side's hello once the socket is connected. */
static int send_hello(struct peer_conn *conn, struct cs_error *err)
{
	int one = 1;

	/* Nagle's algorithm would delay the small messages of claims. */
	setsockopt(bufferevent_getfd(conn->bev), IPPROTO_TCP, TCP_NODELAY, &one,
		   sizeof(one));
	conn->state = PEER_CONN_HELLO;
	return send_handshake_frame(conn, peer_hello_encode(&conn->local), err);
}

/*
 * Begins the handshake of a connected socket, or reports an error with the
 * step in which the connection failed.
 */
static void on_event(struct bufferevent *bev, short events, void *arg)
{
	struct peer_conn *conn = arg;
	struct cs_error err = { 0 };
	const char *step = states[conn->state].step;

	(void)bev;
	if (events & BEV_EVENT_CONNECTED) {
		if (send_hello(conn, &err))
			notify_end(conn, &err);
		return;
	}
	if (events & BEV_EVENT_TIMEOUT)
		cs_error_set(&err, CS_ERR_TIMEOUT, step, NULL,
			     "nothing received for %d s", READ_TIMEOUT_SEC);
	else if (events & BEV_EVENT_EOF)
		cs_error_set(&err, CS_ERR_IO, step, NULL, "closed by the peer");
	else
		cs_error_set(
			&err, CS_ERR_IO, step, NULL, "%s",
			evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
	notify_end(conn, &err);
}

static void on_handshake_timeout(evutil_socket_t fd, short events, void *arg)
{
	struct peer_conn *conn = arg;
	struct cs_error err = { 0 };

	(void)fd;
	(void)events;
	cs_error_set(&err, CS_ERR_TIMEOUT, states[conn->state].step, NULL,
		     "not finished within %d s", HANDSHAKE_TIMEOUT_SEC);
	notify_end(conn, &err);
}

int peer_conn_start(struct peer_conn *conn, struct event_base *base, int fd,
		    struct cs_error *err)
{
	static const struct timeval timeout = { HANDSHAKE_TIMEOUT_SEC, 0 };
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	conn->state = PEER_CONN_CONNECTING;
	conn->role = fd < 0 ? PEER_ROLE_INITIATOR : PEER_ROLE_RESPONDER;
	randombytes_buf(conn->local.nonce, sizeof(conn->local.nonce));
	conn->bev = bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE);
	conn->handshake_timer = evtimer_new(base, on_handshake_timeout, conn);
	if (!conn->bev || !conn->handshake_timer ||
	    evtimer_add(conn->handshake_timer, &timeout)) {
		if (!conn->bev && fd >= 0)
			evutil_closesocket(fd);
		return cs_error_set(err, CS_ERR_NOMEM, "connect", conn->address,
				    "out of memory");
	}
	bufferevent_setcb(conn->bev, on_read, NULL, on_event, conn);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	if (fd >= 0)
		return send_hello(conn, err);
	if (evutil_parse_sockaddr_port(conn->address, (struct sockaddr *)&addr,
				       &len))
		return cs_error_set(err, CS_ERR_INVALID, "connect",
				    conn->address, "not an address");
	if (bufferevent_socket_connect(conn->bev, (struct sockaddr *)&addr,
				       len))
		return cs_error_set(err, CS_ERR_IO, "connect", conn->address,
				    "%s", strerror(errno));
	return CS_OK;
}

int peer_conn_send(struct peer_conn *conn, GBytes *content)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	if (evbuffer_get_length(out) + PEER_FRAME_HEADER_LEN +
		    g_bytes_get_size(content) >
	    OUTPUT_MAX)
		return CS_ERR_FULL;
	return peer_frame_add(out, content);
}

/* A bufferevent freezes the start of its output buffer between writes. */
void peer_conn_flush(struct peer_conn *conn)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	evbuffer_unfreeze(out, 1);
	evbuffer_write(out, bufferevent_getfd(conn->bev));
}

void peer_conn_reset(struct peer_conn *conn)
{
	if (conn->bev)
		socket_reset(bufferevent_getfd(conn->bev));
}

void peer_conn_close(struct peer_conn *conn)
{
	if (conn->handshake_timer)
		event_free(conn->handshake_timer);
	if (conn->bev)
		bufferevent_free(conn->bev);
	slots_free(conn->table, conn->self);
}
