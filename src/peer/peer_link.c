#include "peer_link.h"

#include <event2/listener.h>
#include <signal.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../base/counters.h"
#include "../base/error.h"
#include "../base/task.h"
#include "peer_codec.h"
#include "peer_conn.h"
#include "peer_frame.h"

/* Bounds of the delay before a reconnect: exponential backoff with jitter. */
#define BACKOFF_MIN_MS 50u
#define BACKOFF_MAX_MS 1000u

/* Connections in the handshake, beyond two for each peer. */
#define HANDSHAKES_MAX 64

/*
 * Pause after a failed accept(). While no descriptor is free the listener stays
 * readable, so without the pause the task would spin.
 */
#define ACCEPT_PAUSE_MS 100

/* One other entry. */
struct link_peer {
	struct entry_peer info;
	struct peer_link *link;
	cs_handle active; /* connection that is up, 0: the peer is down */
	cs_handle connecting; /* connection that is being opened, or 0 */
	struct event *retry_timer;
	unsigned backoff_ms; /* upper bound of the next delay */
	uint64_t incarnation; /* highest seen so far */
	bool is_initiator; /* this entry has the lower identifier */
};

struct peer_link {
	struct peer_link_options options;
	struct bus *bus;
	struct task *task;
	struct event_base *base;
	struct evconnlistener *listener;
	struct event *accept_timer;
	struct slots *conns; /* of struct peer_conn */
	struct link_peer *peers; /* sorted by id */
	size_t peers_nr;
	struct counters *counters;
};

static int compare_peers(const void *a, const void *b)
{
	return strcmp(((const struct link_peer *)a)->info.id,
		      ((const struct link_peer *)b)->info.id);
}

static int compare_id(const void *id, const void *row)
{
	return strcmp(id, ((const struct link_peer *)row)->info.id);
}

static struct link_peer *find_peer(struct peer_link *link, const char *id)
{
	if (!link->peers_nr)
		return NULL;
	return bsearch(id, link->peers, link->peers_nr, sizeof(*link->peers),
		       compare_id);
}

static void count(struct peer_link *link, const char *name, const char *label,
		  const char *value)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "%s=\"%s\"", label, value);
	counters_add(link->counters, name, labels, 1);
}

static void count_message(struct peer_link *link, const char *direction,
			  enum peer_kind kind, size_t bytes)
{
	char labels[96];

	g_snprintf(labels, sizeof(labels), "direction=\"%s\",kind=\"%s\"",
		   direction, peer_kind_name(kind));
	counters_add(link->counters, "peer_messages_total", labels, 1);
	counters_add(link->counters, "peer_bytes_total", labels,
		     (int64_t)bytes);
}

/* Logs an event of the link; id and err may be NULL. */
static void log_event(struct peer_link *link, enum log_level level,
		      const char *event, const char *id,
		      const struct cs_error *err)
{
	struct log *log = bus_log(link->bus);
	GString *pairs;

	if (!log || !log_enabled(log, level))
		return;
	pairs = g_string_new(NULL);
	log_pair(pairs, "event", event);
	if (id)
		log_pair(pairs, "id", id);
	if (err) {
		log_pair(pairs, "code", cs_code_name(err->code));
		log_pair(pairs, "message", err->message);
	}
	log_write(log, level, bus_task_name(BUS_PEER),
		  err ? err->step : "peer_link", err ? err->peer : NULL, NULL,
		  pairs->str);
	g_string_free(pairs, TRUE);
}

static void post_state(struct link_peer *peer, bool is_up)
{
	struct msg *msg = msg_new(MSG_PEER_STATE);
	struct peer_state *s = &msg->u.peer_state;

	cs_copy(s->peer, sizeof(s->peer), peer->info.id);
	cs_copy(s->data_centre, sizeof(s->data_centre), peer->info.data_centre);
	s->incarnation = peer->incarnation;
	s->is_up = is_up;
	bus_post(peer->link->bus, BUS_PEER, msg);
}

/* Reconnects after a random delay of at most the current backoff. */
static void schedule_retry(struct link_peer *peer)
{
	unsigned ms = BACKOFF_MIN_MS + randombytes_uniform(peer->backoff_ms -
							   BACKOFF_MIN_MS + 1);
	struct timeval wait = { ms / 1000, ms % 1000 * CS_MSEC };

	peer->backoff_ms = MIN(2 * peer->backoff_ms, BACKOFF_MAX_MS);
	evtimer_add(peer->retry_timer, &wait);
}

/*
 * Closes a connection, notifies the core if it was the active one, and
 * schedules a reconnect if this entry is the initiator.
 */
static void close_conn(struct peer_link *link, struct peer_conn *conn,
		       const struct cs_error *err)
{
	bool was_up = conn->state == PEER_CONN_UP;
	struct link_peer *peer = conn->peer;

	if (was_up) {
		count(link, "peer_disconnects_total", "reason",
		      cs_code_name(err->code));
		log_event(link, LOG_WARN, "peer_down", peer->info.id, err);
	} else if (conn->state == PEER_CONN_CONNECTING) {
		counters_add(link->counters, "peer_connect_failures_total", "",
			     1);
		log_event(link, LOG_DEBUG, "connect_failed",
			  peer ? peer->info.id : NULL, err);
	} else {
		count(link, "peer_handshake_failures_total", "reason",
		      cs_code_name(err->code));
		log_event(link, LOG_WARN, "handshake_failed",
			  peer ? peer->info.id : NULL, err);
	}
	if (peer && peer->active == conn->self) {
		peer->active = 0;
		post_state(peer, false);
	}
	if (peer && peer->connecting == conn->self)
		peer->connecting = 0;
	peer_conn_close(conn);
	if (peer && peer->is_initiator && !peer->active && !peer->connecting)
		schedule_retry(peer);
}

static void on_end(void *owner, struct peer_conn *conn,
		   const struct cs_error *err)
{
	close_conn(owner, conn, err);
}

/*
 * Accepts an entry that the settings name, with that data centre, if the right
 * side opened the connection. An incarnation lower than one seen before belongs
 * to a process that has been replaced.
 */
static int check_hello(void *owner, struct peer_conn *conn,
		       struct cs_error *err)
{
	const struct peer_hello *remote = &conn->remote;
	struct link_peer *peer = find_peer(owner, remote->id);

	if (!peer || (conn->peer && conn->peer != peer))
		return cs_error_set(err, CS_ERR_MISSING, "handshake", NULL,
				    "unexpected entry: %s", remote->id);
	if (strcmp(peer->info.data_centre, remote->data_centre))
		return cs_error_set(err, CS_ERR_INVALID, "handshake", NULL,
				    "%s is in data centre %s, expected %s",
				    remote->id, remote->data_centre,
				    peer->info.data_centre);
	if (peer->is_initiator != (conn->role == PEER_ROLE_INITIATOR))
		return cs_error_set(err, CS_ERR_INVALID, "handshake", NULL,
				    "%s must not open the connection",
				    remote->id);
	if (remote->incarnation < peer->incarnation)
		return cs_error_set(err, CS_ERR_STALE, "handshake", NULL,
				    "%s has an older incarnation", remote->id);
	return CS_OK;
}

/*
 * The peer is authenticated from here on, since the proof covers its hello. Its
 * incarnation is checked again: a newer one may have connected since the hello.
 */
static void on_up(void *owner, struct peer_conn *conn)
{
	struct peer_link *link = owner;
	struct link_peer *peer = find_peer(link, conn->remote.id);
	struct peer_conn *old = slots_get(link->conns, peer->active);
	struct cs_error err = { 0 };

	conn->peer = peer;
	if (conn->remote.incarnation < peer->incarnation) {
		cs_error_set(&err, CS_ERR_STALE, "peer_link", conn->address,
			     "the peer has an older incarnation");
		close_conn(link, conn, &err);
		return;
	}
	if (old) {
		cs_error_set(&err, CS_ERR_CONFLICT, "peer_link", old->address,
			     "replaced by a newer connection");
		close_conn(link, old, &err);
	}
	peer->active = conn->self;
	peer->connecting = 0;
	peer->backoff_ms = 2 * BACKOFF_MIN_MS;
	peer->incarnation = conn->remote.incarnation;
	counters_add(link->counters, "peer_connects_total", "", 1);
	log_event(link, LOG_INFO, "peer_up", peer->info.id, NULL);
	post_state(peer, true);
}

/*
 * A message that can't be decoded is dropped, but the connection stays open:
 * the frame boundaries are intact, and a peer of a newer version may send kinds
 * that are unknown here.
 */
static void on_frame(void *owner, struct peer_conn *conn, const uint8_t *data,
		     size_t len)
{
	struct peer_link *link = owner;
	struct msg *msg = msg_new(MSG_PEER);
	struct cs_error err = { 0 };

	if (peer_decode(data, len, &msg->u.peer, &err)) {
		cs_copy(err.peer, sizeof(err.peer), conn->address);
		count(link, "peer_drops_total", "reason", "invalid");
		log_event(link, LOG_WARN, "message_dropped", conn->remote.id,
			  &err);
		msg_free(msg);
		return;
	}
	cs_copy(msg->u.peer.peer, sizeof(msg->u.peer.peer), conn->remote.id);
	msg->u.peer.incarnation = conn->remote.incarnation;
	count_message(link, "in", msg->u.peer.kind,
		      PEER_FRAME_HEADER_LEN + len);
	bus_post(link->bus, BUS_PEER, msg);
}

static const struct peer_conn_ops conn_ops = { check_hello, on_up, on_frame,
					       on_end };

/* Allocates a row in the table of connections. Returns NULL if it is full. */
static struct peer_conn *alloc_conn(struct peer_link *link,
				    struct link_peer *peer)
{
	struct peer_conn *conn = NULL;
	cs_handle handle = slots_alloc(link->conns, (void **)&conn);
	const struct peer_link_options *o = &link->options;

	if (!handle)
		return NULL;
	conn->table = link->conns;
	conn->self = handle;
	conn->ops = &conn_ops;
	conn->owner = link;
	conn->peer = peer;
	conn->secret = o->secret;
	cs_copy(conn->local.id, sizeof(conn->local.id), o->id);
	cs_copy(conn->local.data_centre, sizeof(conn->local.data_centre),
		o->data_centre);
	conn->local.incarnation = o->incarnation;
	return conn;
}

/*
 * Opens a connection to the peer. An immediate error is handled like one that
 * occurs later.
 */
static void on_retry(evutil_socket_t fd, short events, void *arg)
{
	struct link_peer *peer = arg;
	struct peer_conn *conn = alloc_conn(peer->link, peer);
	struct cs_error err = { 0 };

	(void)fd;
	(void)events;
	if (!conn) {
		schedule_retry(peer);
		return;
	}
	peer->connecting = conn->self;
	cs_copy(conn->address, sizeof(conn->address), peer->info.address);
	if (peer_conn_start(conn, peer->link->base, -1, &err))
		close_conn(peer->link, conn, &err);
}

/*
 * The peer of an accepted connection is known only after the handshake, so the
 * connection has no row of a peer yet.
 */
static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *addr, int len, void *arg)
{
	struct peer_link *link = arg;
	struct peer_conn *conn = alloc_conn(link, NULL);
	struct cs_error err = { 0 };
	char host[48] = "", port[8] = "";

	(void)listener;
	if (!conn) {
		count(link, "peer_handshake_failures_total", "reason", "full");
		evutil_closesocket(fd);
		return;
	}
	getnameinfo(addr, (socklen_t)len, host, sizeof(host), port,
		    sizeof(port), NI_NUMERICHOST | NI_NUMERICSERV);
	g_snprintf(conn->address, sizeof(conn->address),
		   addr->sa_family == AF_INET6 ? "[%s]:%s" : "%s:%s", host,
		   port);
	if (peer_conn_start(conn, link->base, fd, &err))
		close_conn(link, conn, &err);
}

/*
 * Pauses the listener: an error like "too many open files" would otherwise
 * recur at once and keep the thread busy.
 */
static void on_accept_error(struct evconnlistener *listener, void *arg)
{
	static const struct timeval pause = { 0, ACCEPT_PAUSE_MS * CS_MSEC };
	struct peer_link *link = arg;
	struct cs_error err = { 0 };

	cs_error_set(&err, CS_ERR_IO, "accept", link->options.address, "%s",
		     evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
	log_event(link, LOG_ERROR, "accept_failed", NULL, &err);
	evconnlistener_disable(listener);
	evtimer_add(link->accept_timer, &pause);
}

static void on_accept_timer(evutil_socket_t fd, short events, void *arg)
{
	struct peer_link *link = arg;

	(void)fd;
	(void)events;
	evconnlistener_enable(link->listener);
}

/*
 * Answers a forwarded request that was dropped with OUTCOME_NOT_RUN, which is
 * certain because no byte of it was sent.
 */
static void reply_not_run(struct peer_link *link, const struct peer_msg *p,
			  uint64_t incarnation, const char *reason)
{
	struct msg *msg = msg_new(MSG_PEER);
	struct peer_msg *answer = &msg->u.peer;
	struct reply *r = &answer->u.forward_reply;

	answer->kind = PEER_FORWARD_REPLY;
	cs_copy(answer->peer, sizeof(answer->peer), p->peer);
	answer->incarnation = incarnation;
	answer->ref = p->ref;
	r->caller = p->u.forward.caller;
	r->outcome = OUTCOME_NOT_RUN;
	r->status = 503;
	cs_copy(r->reason, sizeof(r->reason), reason);
	cs_copy(r->step, sizeof(r->step), "forward");
	cs_copy(r->peer, sizeof(r->peer), p->peer);
	r->trace = p->u.forward.trace;
	bus_post(link->bus, BUS_PEER, msg);
}

/* Counts a message that is not sent, and answers it if it is a forward. */
static void drop_message(struct peer_link *link, const struct peer_msg *p,
			 uint64_t incarnation, const char *reason)
{
	char labels[96];

	g_snprintf(labels, sizeof(labels), "kind=\"%s\",reason=\"%s\"",
		   peer_kind_name(p->kind), reason);
	counters_add(link->counters, "peer_drops_total", labels, 1);
	if (p->kind == PEER_FORWARD)
		reply_not_run(link, p, incarnation, reason);
}

/*
 * Sends a message to its peer. The answer to a dropped request is posted before
 * the connection is closed: afterwards the core would treat the request as lost
 * with the connection, and could not tell that it was not run.
 */
static void send_message(struct peer_link *link, const struct peer_msg *p)
{
	struct link_peer *peer = find_peer(link, p->peer);
	struct peer_conn *conn = peer ? slots_get(link->conns, peer->active) :
					NULL;
	struct cs_error err = { 0 };
	GBytes *content;
	int code;

	if (!conn) {
		drop_message(link, p, peer ? peer->incarnation : 0,
			     "peer_down");
		return;
	}
	content = peer_encode(p);
	if (!content)
		return;
	if (g_bytes_get_size(content) > PEER_FRAME_MAX) {
		drop_message(link, p, peer->incarnation, "too_large");
		goto out;
	}
	code = peer_conn_send(conn, content);
	if (code) {
		drop_message(link, p, peer->incarnation, "peer_down");
		cs_error_set(&err, code, "peer_link", conn->address,
			     "the peer reads too slowly");
		close_conn(link, conn, &err);
		goto out;
	}
	count_message(link, "out", p->kind,
		      PEER_FRAME_HEADER_LEN + g_bytes_get_size(content));
out:
	g_bytes_unref(content);
}

static void send_metrics(struct peer_link *link, cs_handle caller)
{
	size_t i, up = 0;

	for (i = 0; i < link->peers_nr; i++)
		up += link->peers[i].active != 0;
	counters_set(link->counters, "peers_up", "", (int64_t)up);
	bus_post(link->bus, BUS_PEER,
		 msg_metrics_reply(caller, BUS_PEER, link->counters));
}

static void on_msg(void *state, struct task *task, void *item)
{
	struct peer_link *link = state;
	struct msg *msg = item;

	(void)task;
	if (msg->type == MSG_PEER)
		send_message(link, &msg->u.peer);
	else if (msg->type == MSG_METRICS_CALL)
		send_metrics(link, msg->u.metrics_call.caller);
	msg_free(msg);
}

/*
 * Flushes connections that are up, so that the last messages of a drain reach
 * the peers.
 */
static void stop(void *state, struct task *task)
{
	struct peer_link *link = state;
	struct peer_conn *conn;
	cs_handle h;
	size_t i;

	(void)task;
	if (link->listener)
		evconnlistener_free(link->listener);
	if (link->accept_timer)
		event_free(link->accept_timer);
	for (i = 0; i < link->peers_nr; i++)
		if (link->peers[i].retry_timer)
			event_free(link->peers[i].retry_timer);
	for (h = slots_next(link->conns, 0); h;
	     h = slots_next(link->conns, h)) {
		conn = slots_get(link->conns, h);
		if (conn->state == PEER_CONN_UP)
			peer_conn_flush(conn);
		peer_conn_close(conn);
	}
}

/* Opens the listener and a connection to each entry with a higher id. */
static int start(void *state, struct task *task, struct cs_error *err)
{
	struct peer_link *link = state;
	const char *address = link->options.address;
	struct sockaddr_storage addr;
	int len = sizeof(addr);
	sigset_t pipe_signal;
	size_t i;

	/*
	 * Writing to a connection that the peer has closed raises SIGPIPE,
	 * which would end the process.
	 */
	sigemptyset(&pipe_signal);
	sigaddset(&pipe_signal, SIGPIPE);
	pthread_sigmask(SIG_BLOCK, &pipe_signal, NULL);

	link->base = task_event_base(task);
	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr,
				       &len)) {
		cs_error_set(err, CS_ERR_INVALID, "listen", address,
			     "not an address");
		goto fail;
	}
	link->accept_timer = evtimer_new(link->base, on_accept_timer, link);
	link->listener = evconnlistener_new_bind(
		link->base, on_accept, link,
		LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC |
			LEV_OPT_REUSEABLE,
		-1, (struct sockaddr *)&addr, len);
	if (!link->listener || !link->accept_timer) {
		cs_error_set(
			err, CS_ERR_IO, "listen", address, "%s",
			evutil_socket_error_to_string(EVUTIL_SOCKET_ERROR()));
		goto fail;
	}
	evconnlistener_set_error_cb(link->listener, on_accept_error);
	for (i = 0; i < link->peers_nr; i++) {
		struct link_peer *peer = &link->peers[i];

		peer->retry_timer = evtimer_new(link->base, on_retry, peer);
		if (!peer->retry_timer) {
			cs_error_set(err, CS_ERR_NOMEM, "listen", address,
				     "out of memory");
			goto fail;
		}
		if (peer->is_initiator)
			on_retry(-1, 0, peer);
	}
	return CS_OK;
fail:
	stop(state, task);
	return err ? err->code : CS_ERR_IO;
}

static const struct task_ops link_task = {
	.name = "peer",
	.start = start,
	.on_msg = on_msg,
	.stop = stop,
};

/* Copies the peers into rows, sorts them by id and checks that ids differ. */
static int init_peers(struct peer_link *link,
		      const struct peer_link_options *options,
		      struct cs_error *err)
{
	size_t i;

	link->peers = g_new0(struct link_peer, options->peers_nr);
	link->peers_nr = options->peers_nr;
	for (i = 0; i < link->peers_nr; i++) {
		struct link_peer *peer = &link->peers[i];

		peer->info = options->peers[i];
		peer->link = link;
		peer->backoff_ms = 2 * BACKOFF_MIN_MS;
		peer->is_initiator = strcmp(options->id, peer->info.id) < 0;
		if (!strcmp(options->id, peer->info.id))
			return cs_error_set(err, CS_ERR_INVALID, "peer_link",
					    peer->info.id,
					    "a peer has this entry's own id");
	}
	if (link->peers_nr)
		qsort(link->peers, link->peers_nr, sizeof(*link->peers),
		      compare_peers);
	for (i = 1; i < link->peers_nr; i++)
		if (!compare_peers(&link->peers[i - 1], &link->peers[i]))
			return cs_error_set(err, CS_ERR_INVALID, "peer_link",
					    link->peers[i].info.id,
					    "two peers have this id");
	return CS_OK;
}

/* Frees a link whose task has stopped or was never started. */
static void free_link(struct peer_link *link)
{
	slots_destroy(link->conns);
	counters_destroy(link->counters);
	g_free(link->peers);
	sodium_memzero(&link->options, sizeof(link->options));
	g_free(link);
}

struct peer_link *peer_link_create(const struct peer_link_options *options,
				   struct bus *bus, struct cs_error *err)
{
	struct peer_link *link = g_new0(struct peer_link, 1);

	link->options = *options;
	link->options.peers = NULL; /* the rows hold the copy */
	link->bus = bus;
	link->counters = counters_create();
	/* A peer may have its active connection and one that replaces it. */
	link->conns = slots_create(
		sizeof(struct peer_conn),
		(uint32_t)(2 * options->peers_nr + HANDSHAKES_MAX));
	if (sodium_init() < 0 || !link->conns) {
		cs_error_set(
			err, CS_ERR_NOMEM, "peer_link", NULL,
			"out of memory, or libsodium can't be initialized");
		goto fail;
	}
	if (init_peers(link, options, err))
		goto fail;
	link->task =
		task_create(&link_task, link, bus_mailbox(bus, BUS_PEER), err);
	if (!link->task)
		goto fail;
	return link;
fail:
	free_link(link);
	return NULL;
}

void peer_link_destroy(struct peer_link *link)
{
	if (!link)
		return;
	task_destroy(link->task);
	free_link(link);
}
