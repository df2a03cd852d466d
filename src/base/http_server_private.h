#ifndef BASE_HTTP_SERVER_PRIVATE_H
#define BASE_HTTP_SERVER_PRIVATE_H

#include <evhtp.h>

#include "body_buffer.h"
#include "http_server.h"
#include "slots.h"

/* State of the HTTP server, for http_server.c and http_limits.c only. */

/* Bytes that one turn of the event loop reads from a connection. */
#define READ_MAX ((size_t)16 * 1024)

/*
 * What a connection does. While the table of connections is full, connections
 * give their place up in this order; one whose request is with the owner keeps
 * it.
 */
enum connection_phase {
	PHASE_SILENT, /* has not sent a byte yet */
	PHASE_UNFINISHED, /* has sent a part of a request */
	PHASE_KEPT_ALIVE, /* between two requests */
	PHASE_WITH_OWNER
};
#define GIVING_PHASES_NR PHASE_WITH_OWNER

struct http_server {
	struct event_base *base;
	evhtp_t *htp;
	struct slots *connections;
	struct slots *exchanges;
	struct http_server_options options;
	const struct http_server_ops *ops;
	void *ctx;
	bool is_draining;
	struct byte_budget *budget;
	struct event *check_timer; /* runs limits_check_deadlines() */
	struct event *resume_event; /* runs limits_resume() */
	/* The connections of each phase, the one that entered it first ahead.
	 */
	GQueue phases[GIVING_PHASES_NR];
	uint32_t waiting_nr; /* connections with is_waiting */
	uint32_t closing_nr; /* ended ones whose descriptor is still open */
	uint32_t closing_before_nr; /* of these, at the last closed_event */
	struct event *closed_event; /* runs limits_resume_accepting() */
	cs_handle resumed; /* the last one that was read again */
	cs_time limit_logged_at;
	uint32_t limits_unlogged;
};

/* One accepted connection. */
struct connection {
	struct http_server *server;
	cs_handle self;
	evhtp_connection_t *conn;
	struct event *read_timer; /* runs resume_reading() */
	cs_handle exchange; /* request without a response, or 0 */
	enum connection_phase phase;
	cs_time phase_since;
	GList phase_link; /* in the server's list of the phase */
	size_t header_bytes;
	uint64_t body_bytes;
	size_t input_bytes; /* of the current message, with its headers */
	bool is_in_message; /* the current message is not complete */
	bool has_head; /* the head of the current message is complete */
	bool is_waiting; /* reading stopped until others hold less */
	struct byte_account *account;
	struct body_buffer *body;
	size_t field_bytes; /* charged for the fields of the head */
	size_t exchange_bytes; /* charged for the body that the owner has */
	cs_time since; /* begin of an unfinished message, or 0 */
	cs_time deadline; /* of its head or its body */
	struct evbuffer_cb_entry *input_cb, *output_cb;
	const char *limit; /* the limit that ends it, see http_limit */
	/* libevhtp's own callbacks, called from those of http_server.c. */
	bufferevent_data_cb read_cb, write_cb;
	bufferevent_event_cb event_cb;
	int refusal_status; /* with the reason, set by stop_parser() */
	const char *refusal_reason;
	char peer[CS_ADDRESS_MAX];
};

/* Sets the deadline of what the current message lacks: its head or its body. */
void limits_set_deadline(struct connection *c, int64_t timeout_ms);

/* Ends a connection; if its message is unfinished, with a refusal. */
void limits_end(struct connection *c, const char *limit, int status,
		const char *reason);

/*
 * Makes room for n more bytes of a connection by ending larger holders. False
 * if the connection itself is to be ended.
 */
bool limits_make_room(struct connection *c, size_t n);

/* Puts a new connection into its first phase. */
void limits_begin_phases(struct connection *c);
void limits_enter_phase(struct connection *c, enum connection_phase phase);
void limits_end_phases(struct connection *c);

/*
 * Makes room in the table of connections: ends one of the first phase in which
 * a connection has been for GIVE_WAY_AGE, the oldest. False if there is none.
 */
bool limits_make_place(struct http_server *s);

/* Counts a connection that ends, until its descriptor is closed. */
void limits_begin_closing(struct http_server *s);

/* Stops accepting while more descriptors are open than the table has places. */
void limits_check_places(struct http_server *s);

/* Accepts again, after descriptors were closed; arg: the server. */
void limits_resume_accepting(evutil_socket_t fd, short events, void *arg);

/* Stops reading if the connection holds too much while memory is short. */
void limits_wait(struct connection *c);

/* Tells the owner that a limit ended a connection. */
void limits_report(struct connection *c);

/* Reads again for as many connections as the memory allows; arg: the server. */
void limits_resume(evutil_socket_t fd, short events, void *arg);

/* Ends the connections past their deadline; arg: the server. */
void limits_check_deadlines(evutil_socket_t fd, short events, void *arg);

#endif
