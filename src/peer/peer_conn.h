#ifndef PEER_CONN_H
#define PEER_CONN_H

#include <event2/bufferevent.h>
#include <event2/event.h>

#include "../base/slots.h"
#include "peer_handshake.h"

/*
 * One connection to another entry: the handshake, frames in both directions,
 * and the timeouts. The owner decides which entries may connect and interprets
 * the frames.
 */
struct peer_conn;

/*
 * Callbacks to the owner of a connection, called on the thread of its task.
 * Each may close the connection.
 */
struct peer_conn_ops {
	/* Returns CS_OK if that entry may connect, else a code; fills err. */
	int (*check_hello)(void *owner, struct peer_conn *conn,
			   struct cs_error *err);
	/* Called when both sides have proved that they know the secret. */
	void (*on_up)(void *owner, struct peer_conn *conn);
	/* Handles a frame of a connection that is up. */
	void (*on_frame)(void *owner, struct peer_conn *conn,
			 const uint8_t *data, size_t len);
	/* Called when the connection has failed; the owner must close it. */
	void (*on_end)(void *owner, struct peer_conn *conn,
		       const struct cs_error *err);
};

enum peer_conn_state {
	PEER_CONN_CONNECTING,
	PEER_CONN_HELLO, /* waiting for the peer's hello */
	PEER_CONN_PROOF, /* waiting for the peer's proof */
	PEER_CONN_UP,
	PEER_CONN_STATE_NR
};

/* A row of the owner's table of connections. */
struct peer_conn {
	struct slots *table;
	cs_handle self;
	const struct peer_conn_ops *ops;
	void *owner;
	void *peer; /* the owner's row of the other entry, NULL if unknown */
	const uint8_t *secret; /* the owner's, CS_DIGEST_LEN bytes */
	enum peer_conn_state state;
	enum peer_role role; /* of this side */
	struct peer_hello local, remote;
	char address[CS_ADDRESS_MAX];
	struct bufferevent *bev;
	struct event *handshake_timer; /* fires when the handshake times out */
};

/*
 * Starts a connection whose fields up to local, except state and role, are set
 * by the owner: as the responder over the accepted socket fd, or with fd -1 as
 * the initiator to conn->address. On failure the owner closes it.
 */
int peer_conn_start(struct peer_conn *conn, struct event_base *base, int fd,
		    struct cs_error *err);

/*
 * Sends a frame over a connection that is up. Returns CS_ERR_FULL, and sends
 * nothing, if the frame would exceed the limit of bytes that wait for the peer,
 * or CS_ERR_NOMEM. The owner closes the connection then. It keeps its reference
 * to content.
 */
int peer_conn_send(struct peer_conn *conn, GBytes *content);

/*
 * Writes as much output as the socket accepts without blocking. Called before
 * the process ends.
 */
void peer_conn_flush(struct peer_conn *conn);

/* Resets the connection: what was not delivered never is. */
void peer_conn_reset(struct peer_conn *conn);

/* Closes the socket and frees the row. */
void peer_conn_close(struct peer_conn *conn);

#endif
