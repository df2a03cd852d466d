#ifndef RELAY_RELAY_PRIVATE_H
#define RELAY_RELAY_PRIVATE_H

#include <event2/event.h>

#include "../peer/peer_conn.h"
#include "payloads.h"
#include "relay.h"
#include "relay_codec.h"
#include "routes.h"

/* Internals of struct relay, shared by the files of this folder only. */

/* Both sides close a connection on which nothing came for this long. */
#define IDLE_TIMEOUT_S 7

/* A connection that is up: of the owner to a carrier, or the reverse. */
struct link {
	struct relay *relay;
	cs_handle conn;
	cs_time heard_at; /* when the last message came */
	/*
	 * The lowest difference between the arrival of a message and its time
	 * by the sender's clock: the difference of the clocks and the least
	 * delay. What a message has beyond that, it was delayed on the way.
	 */
	cs_time min_difference;
	bool has_difference;
	int cpu_share; /* of a carrier by its offer, thousandths of a core */
	bool is_carrier; /* its offer came, and it has not left */
	/* Of a carrier: when the last ping without an answer was sent; 0: none.
	 */
	cs_time pinged_at;
	bool is_slow; /* gets no servers */
	int slow_pings, fast_pings; /* answered late and in time, in a row */
	struct payloads *payloads; /* that crossed this connection */
	GQueue replies; /* of a carrier: GBytes, to be sent together */
	struct event *reply_timer;
};

/* An order that the owner has given to a carrier. */
struct hub_call {
	struct order *order;
	cs_time sent;
	cs_handle conn;
};

/* An order that this entry carries. */
struct carried_call {
	cs_handle conn;
	cs_handle call; /* by which the owner knows it */
};

struct relay {
	struct relay_options options;
	const struct relay_ops *ops;
	void *ctx;
	struct event_base *base;
	struct log *log;
	struct evconnlistener *listener;
	struct event *accept_timer; /* ends the pause after a failed accept() */
	struct slots *conns; /* struct peer_conn */
	bool is_leaving;
	struct relay_contact owner; /* name "": none is known */
	bool is_hub; /* this entry is the owner */
	/* As the owner. */
	struct slots *calls; /* struct hub_call */
	struct routes *routes;
	struct event *tick;
	cs_time ticked_at;
	unsigned ticks;
	/* As a carrier. */
	struct slots *carried; /* struct carried_call */
	cs_handle owner_conn; /* 0: none */
	struct event *dial_timer;
};

/* relay.c */
struct peer_conn *relay_new_conn(struct relay *r, const uint8_t *secret);
void relay_close(struct relay *r, struct peer_conn *conn, const char *why);
/* Sends a message at once. Returns false, with the connection closed, if full.
 */
bool relay_send_msg(struct relay *r, struct peer_conn *conn,
		    struct relay_msg *msg);
struct link *relay_link(const struct peer_conn *conn);

/* relay_hub.c */
void hub_open(struct relay *r);
void hub_close(struct relay *r);
/* A connection has ended: its open orders count as unknown. */
void hub_on_link_end(struct relay *r, cs_handle conn);
void hub_on_msg(struct relay *r, struct peer_conn *conn, struct relay_msg *msg);

/* relay_carrier.c */
void carrier_open(struct relay *r);
void carrier_close(struct relay *r);
void carrier_on_up(struct relay *r, struct peer_conn *conn);
void carrier_on_link_end(struct relay *r, cs_handle conn);
/* delay: of the message on its way, beyond the least one. */
void carrier_on_msg(struct relay *r, struct peer_conn *conn,
		    struct relay_msg *msg, cs_time delay);

#endif
