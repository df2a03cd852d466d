#include "relay_private.h"

#include "../base/task.h"

/*
 * The owner's side. A carrier that answers late loses its servers to others, as
 * the orders wait there as long. A carrier that does not answer is given up
 * within about a second, so that its servers are called in time to renew their
 * leases, which last 3.5 s. Carriers without servers are asked rarely.
 */

#define TICK_US (250 * CS_MSEC)
#define SILENCE_MAX_US (1 * CS_SEC)
/*
 * A carrier whose processor or link is too busy answers pings late, and delays
 * the orders of all its servers. They move to others, until it has answered in
 * time for a while. An answer usually takes 2 to 20 ms. If more than a share of
 * all carriers answers late, it is the owner itself that is busy.
 */
#define SLOW_PING_US (80 * CS_MSEC)
#define SLOW_PINGS 2
#define FAST_PINGS 8
#define SLOW_CARRIERS_SHARE 0.34
#define IDLE_SILENCE_MAX_US (IDLE_TIMEOUT_S * CS_SEC)
/* A carrier answers within the timeout of an order, and this. */
#define ANSWER_SLACK_US (1 * CS_SEC)
/* Carriers without servers get each eighth ping. */
#define IDLE_PING_TICKS 8

static void on_tick(evutil_socket_t fd, short events, void *arg);

static void schedule_tick(struct relay *r)
{
	static const struct timeval tick = { 0, TICK_US };

	evtimer_add(r->tick, &tick);
}

void hub_open(struct relay *r)
{
	r->tick = evtimer_new(r->base, on_tick, r);
	r->ticked_at = task_now();
	schedule_tick(r);
}

void hub_close(struct relay *r)
{
	if (r->tick)
		event_free(r->tick);
	r->tick = NULL;
	r->is_hub = false;
	routes_clear(r->routes);
}

/* Pings a carrier, or gives it up. */
static void check_link(struct relay *r, struct peer_conn *conn, bool was_late,
		       cs_time now)
{
	struct relay_msg ping = { .kind = RELAY_PING };
	struct link *l = relay_link(conn);
	bool is_used;

	if (!l)
		return; /* in the handshake */
	is_used = l->is_slow || routes_load(r->routes, conn->self) > 0;
	/* After a pause of this process the answers may still wait to be read.
	 */
	if (was_late) {
		l->heard_at = now;
		l->pinged_at = 0;
	}
	if (now - l->heard_at >
	    (is_used ? SILENCE_MAX_US : IDLE_SILENCE_MAX_US)) {
		relay_close(r, conn, "no answer");
		return;
	}
	if (!is_used && r->ticks % IDLE_PING_TICKS)
		return;
	if (!l->pinged_at)
		l->pinged_at = now;
	relay_send_msg(r, conn, &ping);
}

static void log_pace(struct relay *r, const struct peer_conn *conn,
		     const char *event, cs_time took)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "event", event);
	log_pair(pairs, "entry", conn->remote.id);
	log_pair_int(pairs, "took_ms", took / CS_MSEC);
	log_pair_int(pairs, "servers", routes_load(r->routes, conn->self));
	log_write(r->log, LOG_INFO, "fleet", NULL, NULL, NULL, pairs->str);
	g_string_free(pairs, TRUE);
}

/* True if one more carrier can be taken out of use. */
static bool can_spare_carrier(const struct relay *r)
{
	int carriers = 0, slow = 1;
	cs_handle h;

	for (h = slots_next(r->conns, 0); h; h = slots_next(r->conns, h)) {
		const struct link *l = relay_link(slots_get(r->conns, h));

		carriers += l && l->is_carrier;
		slow += l && l->is_carrier && l->is_slow;
	}
	return slow <= carriers * SLOW_CARRIERS_SHARE;
}

/* Takes a slow carrier out of use, or back into it. */
static void on_pong(struct relay *r, const struct peer_conn *conn, cs_time now)
{
	struct link *l = relay_link(conn);
	cs_time took = now - l->pinged_at;

	if (!l->pinged_at || !l->is_carrier)
		return;
	l->pinged_at = 0;
	if (took > SLOW_PING_US) {
		l->slow_pings++;
		l->fast_pings = 0;
	} else {
		l->fast_pings++;
		l->slow_pings = 0;
	}
	if (!l->is_slow && l->slow_pings >= SLOW_PINGS &&
	    can_spare_carrier(r)) {
		log_pace(r, conn, "carrier_slow", took);
		l->is_slow = true;
		routes_remove_carrier(r->routes, conn->self);
	} else if (l->is_slow && l->fast_pings >= FAST_PINGS) {
		log_pace(r, conn, "carrier_fast", took);
		l->is_slow = false;
		routes_add_carrier(r->routes, conn->self, l->cpu_share);
	}
}

/* Completes an order and frees its row. reply: with result and lists. */
static void complete(struct relay *r, cs_handle call, struct order_reply *reply,
		     cs_time now)
{
	struct hub_call *c = slots_get(r->calls, call);
	struct order *o = c->order;

	reply->type = o->type;
	reply->ref = o->ref;
	reply->server = o->server;
	reply->token = o->token;
	reply->sent = c->sent;
	reply->received = now;
	slots_free(r->calls, call);
	if (reply->result == ORDER_UNKNOWN ||
	    (reply->result == ORDER_NOT_SENT &&
	     reply->reason != ORDER_REASON_INCARNATION))
		routes_avoid(r->routes, o->server, now);
	order_free(o);
	r->ops->reply(r->ctx, reply);
}

void hub_on_link_end(struct relay *r, cs_handle conn)
{
	cs_time now = task_now();
	struct order_reply *reply;
	cs_handle h, next;

	routes_remove_carrier(r->routes, conn);
	for (h = slots_next(r->calls, 0); h; h = next) {
		const struct hub_call *c = slots_get(r->calls, h);

		next = slots_next(r->calls, h);
		if (c->conn != conn)
			continue;
		reply = order_reply_new(c->order);
		reply->result = ORDER_UNKNOWN;
		complete(r, h, reply, now);
	}
}

/* An order whose reply could not be read counts as unknown. */
static void expire_calls(struct relay *r, cs_time now)
{
	struct order_reply *reply;
	cs_handle h, next;

	for (h = slots_next(r->calls, 0); h; h = next) {
		const struct hub_call *c = slots_get(r->calls, h);

		next = slots_next(r->calls, h);
		if (now - c->sent <
		    c->order->timeout_ms * CS_MSEC + ANSWER_SLACK_US)
			continue;
		reply = order_reply_new(c->order);
		reply->result = ORDER_UNKNOWN;
		complete(r, h, reply, now);
	}
}

static void on_tick(evutil_socket_t fd, short events, void *arg)
{
	struct relay *r = arg;
	cs_time now = task_now();
	bool was_late = now - r->ticked_at > 2 * TICK_US;
	cs_handle h, next;

	(void)fd;
	(void)events;
	r->ticked_at = now;
	r->ticks++;
	for (h = slots_next(r->conns, 0); h; h = next) {
		next = slots_next(r->conns, h);
		check_link(r, slots_get(r->conns, h), was_late, now);
	}
	expire_calls(r, now);
	routes_expire(r->routes, now);
	schedule_tick(r);
}

void hub_on_msg(struct relay *r, struct peer_conn *conn, struct relay_msg *msg)
{
	struct link *l = relay_link(conn);
	const struct hub_call *c;

	switch (msg->kind) {
	case RELAY_OFFER:
		if (!l->is_carrier)
			routes_add_carrier(r->routes, conn->self,
					   msg->cpu_share);
		l->is_carrier = true;
		l->cpu_share = msg->cpu_share;
		break;
	case RELAY_PONG:
		on_pong(r, conn, task_now());
		break;
	case RELAY_LEAVE:
		routes_remove_carrier(r->routes, conn->self);
		l->is_carrier = false;
		break;
	case RELAY_REPLY:
	case RELAY_PARTIAL_REPLY:
		c = slots_get(r->calls, msg->call);
		if (!c || c->conn != conn->self)
			break;
		complete(r, msg->call, msg->reply, task_now());
		msg->reply = NULL;
		break;
	case RELAY_SUBMISSION:
		r->ops->submission(r->ctx, msg->submission);
		msg->submission = NULL;
		break;
	default:
		break;
	}
}

/* Orders to a server, which a carrier can send. */
static bool is_to_server(const struct order *o)
{
	return o->type == ORDER_START || o->type == ORDER_STOP ||
	       o->type == ORDER_HOLD || o->type == ORDER_LIST_RUNS ||
	       o->type == ORDER_PACE;
}

/* True if the carrier has the payload of a start; else it has it from now on.
 */
static bool is_payload_known(struct link *l, struct order *o)
{
	bool is_known = payloads_find(l->payloads, o->task) != NULL;

	/* On the way NULL means that it is left out. */
	if (!o->payload)
		o->payload = g_strdup("");
	payloads_add(l->payloads, o->task, "");
	return is_known;
}

bool relay_send(struct relay *r, struct order *order)
{
	struct relay_msg msg = { .kind = RELAY_ORDER, .order = order };
	cs_time now = task_now();
	struct peer_conn *conn;
	struct hub_call *c;

	if (!r->is_hub || !is_to_server(order))
		return false;
	conn = slots_get(r->conns, routes_find(r->routes, order->server,
					       order->pool, now));
	if (!conn)
		return false;
	msg.call = slots_alloc(r->calls, (void **)&c);
	if (!msg.call)
		return false;
	c->order = order;
	c->sent = now;
	c->conn = conn->self;
	if (order->type == ORDER_START)
		msg.omits_payload = is_payload_known(relay_link(conn), order);
	/* On failure the connection is closed, which completes this order too.
	 */
	relay_send_msg(r, conn, &msg);
	return true;
}
