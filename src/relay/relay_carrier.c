#include "relay_private.h"

#include <sodium.h>

#include "../base/error.h"
#include "../base/task.h"

/*
 * The carrier's side: connects to the owner, sends the owner's orders to
 * servers and returns the replies, those of some milliseconds together.
 */

/*
 * Entries with a large share of a core connect first, as the owner uses them
 * first; the others follow when the new owner has taken over the servers.
 */
#define LARGE_CPU_SHARE 400
#define DIAL_MIN_MS 20u
#define DIAL_SPREAD_MS 100u
#define SMALL_DIAL_MIN_MS 400u
#define SMALL_DIAL_SPREAD_MS 800u
/* Replies of this time go together; about the pause between two turns. */
#define REPLY_GAP_US (4 * CS_MSEC)

static void on_dial(evutil_socket_t fd, short events, void *arg);

/* Dials after a random pause, as all entries see a new owner at once. */
static void schedule_dial(struct relay *r)
{
	bool is_large = r->options.cpu_share >= LARGE_CPU_SHARE;
	unsigned ms =
		is_large ? DIAL_MIN_MS + randombytes_uniform(DIAL_SPREAD_MS) :
			   SMALL_DIAL_MIN_MS +
				   randombytes_uniform(SMALL_DIAL_SPREAD_MS);
	struct timeval wait = { ms / 1000, ms % 1000 * CS_MSEC };

	evtimer_add(r->dial_timer, &wait);
}

void carrier_open(struct relay *r)
{
	r->dial_timer = evtimer_new(r->base, on_dial, r);
	schedule_dial(r);
}

void carrier_close(struct relay *r)
{
	if (r->dial_timer)
		event_free(r->dial_timer);
	r->dial_timer = NULL;
	r->owner_conn = 0;
}

static void on_dial(evutil_socket_t fd, short events, void *arg)
{
	struct relay *r = arg;
	struct peer_conn *conn = relay_new_conn(r, r->owner.secret);
	struct cs_error err = { 0 };

	(void)fd;
	(void)events;
	if (!conn) {
		schedule_dial(r);
		return;
	}
	r->owner_conn = conn->self;
	cs_copy(conn->address, sizeof(conn->address), r->owner.address);
	if (peer_conn_start(conn, r->base, -1, &err))
		relay_close(r, conn, err.message);
}

/* Sends the replies that wait. */
static void on_reply_timer(evutil_socket_t fd, short events, void *arg)
{
	struct link *l = arg;
	struct relay *r = l->relay;
	struct peer_conn *conn = slots_get(r->conns, l->conn);
	GBytes *content;
	int code = CS_OK;

	(void)fd;
	(void)events;
	while (!code && (content = g_queue_pop_head(&l->replies))) {
		code = peer_conn_send(conn, content);
		g_bytes_unref(content);
	}
	if (code)
		relay_close(r, conn, "the owner reads too slowly");
}

void carrier_on_up(struct relay *r, struct peer_conn *conn)
{
	struct relay_msg offer = { .kind = RELAY_OFFER,
				   .cpu_share = MAX(r->options.cpu_share, 1) };
	struct link *l = relay_link(conn);

	l->reply_timer = evtimer_new(r->base, on_reply_timer, l);
	relay_send_msg(r, conn, &offer);
}

void carrier_on_link_end(struct relay *r, cs_handle conn)
{
	if (conn != r->owner_conn)
		return;
	r->owner_conn = 0;
	if (*r->owner.name && !r->is_leaving && r->dial_timer)
		schedule_dial(r);
}

static void queue_reply(struct relay *r, struct peer_conn *conn, cs_handle call,
			struct order_reply *reply)
{
	struct relay_msg msg = { .kind = reply->is_partial ?
						 RELAY_PARTIAL_REPLY :
						 RELAY_REPLY,
				 .sent = task_now(),
				 .call = call,
				 .reply = reply };
	static const struct timeval gap = { 0, REPLY_GAP_US };
	struct link *l = relay_link(conn);

	(void)r;
	g_queue_push_tail(&l->replies, relay_encode(&msg));
	if (!evtimer_pending(l->reply_timer, NULL))
		evtimer_add(l->reply_timer, &gap);
}

/* Refuses an order that was not sent. */
static void refuse(struct relay *r, struct peer_conn *conn,
		   const struct relay_msg *msg)
{
	struct order_reply *reply = order_reply_new(msg->order);

	queue_reply(r, conn, msg->call, reply);
	order_reply_free(reply);
}

/* Stores the payload of a start, or sets the stored one. False: there is none.
 */
static bool complete_payload(struct link *l, struct order *o)
{
	const char *stored;

	if (o->type != ORDER_START)
		return true;
	if (o->payload) {
		payloads_add(l->payloads, o->task, o->payload);
		return true;
	}
	stored = payloads_find(l->payloads, o->task);
	o->payload = g_strdup(stored);
	return stored != NULL;
}

/*
 * An order that was delayed beyond its timeout is not sent: the owner has found
 * out otherwise, and may have decided on something else.
 */
static void carry(struct relay *r, struct peer_conn *conn,
		  struct relay_msg *msg, cs_time delay)
{
	struct carried_call *c;
	cs_handle h;

	if (!complete_payload(relay_link(conn), msg->order) || r->is_leaving ||
	    delay >= msg->order->timeout_ms * CS_MSEC) {
		refuse(r, conn, msg);
		return;
	}
	h = slots_alloc(r->carried, (void **)&c);
	if (!h) {
		refuse(r, conn, msg);
		return;
	}
	c->conn = conn->self;
	c->call = msg->call;
	msg->order->timeout_ms -= delay / CS_MSEC;
	r->ops->carry(r->ctx, h, msg->order);
	msg->order = NULL;
}

void carrier_on_msg(struct relay *r, struct peer_conn *conn,
		    struct relay_msg *msg, cs_time delay)
{
	struct relay_msg pong = { .kind = RELAY_PONG };

	if (msg->kind == RELAY_PING)
		relay_send_msg(r, conn, &pong);
	else if (msg->kind == RELAY_ORDER)
		carry(r, conn, msg, delay);
}

void relay_notify(struct relay *r, struct submission *s)
{
	struct relay_msg msg = { .kind = RELAY_SUBMISSION,
				 .sent = task_now(),
				 .submission = s };
	struct peer_conn *conn = slots_get(r->conns, r->owner_conn);

	if (conn && relay_link(conn))
		relay_send_msg(r, conn, &msg);
}

void relay_answer(struct relay *r, cs_handle call, struct order_reply *reply)
{
	const struct carried_call *c = slots_get(r->carried, call);
	struct peer_conn *conn = c ? slots_get(r->conns, c->conn) : NULL;

	if (conn && relay_link(conn))
		queue_reply(r, conn, c->call, reply);
	slots_free(r->carried, call);
	order_reply_free(reply);
}

void relay_leave(struct relay *r)
{
	struct relay_msg leave = { .kind = RELAY_LEAVE };
	struct peer_conn *conn = slots_get(r->conns, r->owner_conn);

	r->is_leaving = true;
	if (conn && relay_link(conn))
		relay_send_msg(r, conn, &leave);
}
