#include "http_server_private.h"

#include "log.h"
#include "task.h"

/*
 * Carries out the limits of the HTTP server: who is ended for memory, for time
 * or for a place in the table, and who is not read for now. The decisions about
 * memory are those of byte_budget.c.
 */

/*
 * Time in a phase after which a connection gives way to a new one. A caller on
 * a slow link needs a moment between its connection and its request.
 */
#define GIVE_WAY_AGE CS_SEC

/* Interval of the check for messages that take too long. */
#define CHECK_INTERVAL 1

/* Shortest time between two logged connections that a limit ended. */
#define LIMIT_LOG_INTERVAL CS_SEC

/* Sets the deadline of what the current message lacks: its head or its body. */
void limits_set_deadline(struct connection *c, int64_t timeout_ms)
{
	const struct timeval tv = { .tv_sec = CHECK_INTERVAL };
	struct http_server *s = c->server;
	cs_time now = task_now();

	if (!c->since) {
		c->since = now;
		limits_enter_phase(c, PHASE_UNFINISHED);
	}
	c->deadline = now + timeout_ms * CS_MSEC;
	if (!evtimer_pending(s->check_timer, NULL))
		evtimer_add(s->check_timer, &tv);
}

/*
 * True if the connection may be ended to make room: its message is not
 * complete, so it never runs, or it doesn't read its answers.
 */
static bool can_end(const struct connection *c)
{
	return !c->exchange &&
	       (c->since ||
		evbuffer_get_length(bufferevent_get_output(c->conn->bev)));
}

/* Ends a connection; if its message is unfinished, with a refusal. */
void limits_end(struct connection *c, const char *limit, int status,
		const char *reason)
{
	c->limit = limit;
	if (c->since) {
		c->refusal_status = status;
		c->refusal_reason = reason;
	}
	evhtp_connection_free(c->conn);
}

/* The connection to end first, other than c; NULL if there is none. */
static struct connection *find_largest(struct http_server *s,
				       const struct connection *c)
{
	struct connection *largest = NULL;
	cs_handle h;

	for (h = slots_next(s->connections, 0); h;
	     h = slots_next(s->connections, h)) {
		struct connection *other = slots_get(s->connections, h);

		if (other != c && can_end(other) &&
		    (!largest ||
		     byte_account_ends_first(other->account, other->since,
					     largest->account, largest->since)))
			largest = other;
	}
	return largest;
}

/*
 * Makes room for n more bytes of a connection by ending larger holders. False
 * if the connection itself is to be ended.
 */
bool limits_make_room(struct connection *c, size_t n)
{
	struct http_server *s = c->server;

	while (!byte_budget_has_room(s->budget, n)) {
		struct connection *largest = find_largest(s, c);

		if (!largest || byte_account_bytes(largest->account) <
					byte_account_bytes(c->account) + n)
			return false;
		limits_end(largest, "memory", 503, "overloaded");
	}
	return true;
}

static void list_in_phase(struct connection *c, enum connection_phase phase)
{
	c->phase = phase;
	c->phase_since = task_now();
	if (phase < GIVING_PHASES_NR)
		g_queue_push_tail_link(&c->server->phases[phase],
				       &c->phase_link);
}

/* Takes a connection out of the list of its phase. */
void limits_end_phases(struct connection *c)
{
	if (c->phase < GIVING_PHASES_NR)
		g_queue_unlink(&c->server->phases[c->phase], &c->phase_link);
	c->phase = PHASE_WITH_OWNER;
}

/* Puts a new connection into its first phase. */
void limits_begin_phases(struct connection *c)
{
	c->phase_link.data = c;
	list_in_phase(c, PHASE_SILENT);
}

/* Moves a connection to a phase, as the last one of it. */
void limits_enter_phase(struct connection *c, enum connection_phase phase)
{
	limits_end_phases(c);
	list_in_phase(c, phase);
}

/*
 * Makes room in the table of connections: ends one of the first phase in which
 * a connection has been for GIVE_WAY_AGE, the oldest. False if there is none.
 */
bool limits_make_place(struct http_server *s)
{
	cs_time latest = task_now() - GIVE_WAY_AGE;
	int phase;

	for (phase = 0; phase < GIVING_PHASES_NR; phase++) {
		struct connection *c = g_queue_peek_head(&s->phases[phase]);

		if (!c || c->phase_since > latest)
			continue;
		limits_end(c, "connections", 503, "too_many_connections");
		return true;
	}
	return false;
}

/* Runs limits_resume_accepting() in the next turn of the event loop. */
static void await_closing(struct http_server *s)
{
	static const struct timeval next_turn = { 0 };

	if (!evtimer_pending(s->closed_event, NULL))
		evtimer_add(s->closed_event, &next_turn);
}

/*
 * Counts a connection that ends. libevent closes its descriptor later in the
 * same turn of the event loop, or in the next one if a callback of the
 * connection was put off to that.
 */
void limits_begin_closing(struct http_server *s)
{
	s->closing_nr++;
	await_closing(s);
}

static bool has_places(const struct http_server *s)
{
	return slots_count(s->connections) + s->closing_nr <=
	       s->options.connections_max;
}

/*
 * Stops accepting while more descriptors are open than the table has places.
 * One callback of the listener accepts all that wait in the backlog, so without
 * this each of them may add a descriptor before any is closed.
 */
void limits_check_places(struct http_server *s)
{
	if (!has_places(s))
		evconnlistener_disable(s->htp->server);
}

/*
 * Runs in each turn while descriptors are to be closed. Those that were counted
 * before its last run are closed before the listener is polled again.
 */
void limits_resume_accepting(evutil_socket_t fd, short events, void *arg)
{
	struct http_server *s = arg;

	(void)fd;
	(void)events;
	s->closing_nr -= s->closing_before_nr;
	s->closing_before_nr = s->closing_nr;
	if (s->closing_nr)
		await_closing(s);
	/* The listener is freed before the last connections. */
	if (s->htp->server && has_places(s))
		evconnlistener_enable(s->htp->server);
}

/* Stops reading if the connection holds too much while memory is short. */
void limits_wait(struct connection *c)
{
	/* While an exchange is open, READ_AHEAD_MAX bounds the input. */
	if (c->exchange || c->is_waiting || !byte_account_must_wait(c->account))
		return;
	bufferevent_disable(c->conn->bev, EV_READ);
	c->is_waiting = true;
	c->server->waiting_nr++;
}

/* Reads again for as many connections as the memory allows, in turn. */
void limits_resume(evutil_socket_t fd, short events, void *arg)
{
	struct http_server *s = arg;
	size_t room = byte_budget_readable(s->budget);
	uint32_t left = slots_count(s->connections);

	(void)fd;
	(void)events;
	for (; s->waiting_nr && room >= READ_MAX && left; left--) {
		struct connection *c;

		s->resumed = slots_next(s->connections, s->resumed);
		if (!s->resumed)
			s->resumed = slots_next(s->connections, 0);
		c = slots_get(s->connections, s->resumed);
		if (!c || !c->is_waiting)
			continue;
		c->is_waiting = false;
		s->waiting_nr--;
		room -= READ_MAX;
		bufferevent_enable(c->conn->bev, EV_READ);
	}
}

/* Ends a connection whose message took too long. */
static void end_late(struct connection *c)
{
	if (c->is_waiting)
		limits_end(c, "memory", 503, "overloaded");
	else
		limits_end(c, c->has_head ? "slow_body" : "slow_head", 408,
			   "request_timeout");
}

/* Ends the connections past their deadline; runs while any has one. */
void limits_check_deadlines(evutil_socket_t fd, short events, void *arg)
{
	const struct timeval tv = { .tv_sec = CHECK_INTERVAL };
	struct http_server *s = arg;
	cs_time now = task_now();
	bool has_deadline = false;
	cs_handle h;

	(void)fd;
	(void)events;
	for (h = slots_next(s->connections, 0); h;
	     h = slots_next(s->connections, h)) {
		struct connection *c = slots_get(s->connections, h);

		if (!c->since)
			continue;
		if (c->deadline <= now)
			end_late(c);
		else
			has_deadline = true;
	}
	if (has_deadline)
		evtimer_add(s->check_timer, &tv);
	if (s->waiting_nr)
		event_active(s->resume_event, EV_TIMEOUT, 0);
}

/* Tells the owner that a limit ended a connection. */
void limits_report(struct connection *c)
{
	struct http_server *s = c->server;
	cs_time now = task_now();
	struct http_limit limit = {
		.peer = c->peer,
		.cause = c->limit,
		.bytes = byte_account_bytes(c->account),
		.is_logged = now - s->limit_logged_at >= LIMIT_LOG_INTERVAL,
		.unlogged = s->limits_unlogged,
	};

	s->limits_unlogged = limit.is_logged ? 0 : limit.unlogged + 1;
	if (limit.is_logged)
		s->limit_logged_at = now;
	if (s->ops->on_limit)
		s->ops->on_limit(s->ctx, &limit);
}

void http_count_limit(struct counters *counters, const char *name,
		      const struct http_limit *limit)
{
	char labels[32];

	g_snprintf(labels, sizeof(labels), "cause=\"%s\"", limit->cause);
	counters_add(counters, name, labels, 1);
}

void http_log_limit(GString *pairs, const struct http_limit *limit)
{
	log_pair(pairs, "event", "caller_ended");
	log_pair(pairs, "cause", limit->cause);
	log_pair_int(pairs, "held_bytes", (int64_t)limit->bytes);
	log_pair_int(pairs, "unlogged", limit->unlogged);
}
