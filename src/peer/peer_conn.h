#ifndef PEER_CONN_H
#define PEER_CONN_H

#include <event2/bufferevent.h>
#include <event2/event.h>

#include "../base/slots.h"
#include "peer_handshake.h"

/*
 * One connection to another entry: the handshake, frames in and out, and
 * the time limits. Who may connect, and what frames mean, is its owner's.
 */
struct peer_conn;

/*
 * What a connection asks of and tells its owner, all in the task's thread.
 * Each may close the connection.
 */
struct peer_conn_ops {
	/* May that entry connect? CS_OK or a code with err filled. */
	int (*check_hello)(void *owner, struct peer_conn *conn,
			   struct cs_error *err);
	/* Both sides have proved that they know the secret. */
	void (*on_up)(void *owner, struct peer_conn *conn);
	/* A frame of a connection that is up. */
	void (*on_frame)(void *owner, struct peer_conn *conn,
			 const uint8_t *data, size_t len);
	/* The connection is of no more use; the owner must close it. */
	void (*on_end)(void *owner, struct peer_conn *conn,
		       const struct cs_error *err);
};

enum peer_conn_state {
	PEER_CONN_CONNECTING,
	PEER_CONN_HELLO, /* waiting for the peer's hello */
	PEER_CONN_PROOF,
	PEER_CONN_UP,
	PEER_CONN_STATE_NR
};

/* A row of the owner's table of connections. */
struct peer_conn {
	struct slots *table;
	cs_handle handle;
	const struct peer_conn_ops *ops;
	void *owner;
	void *peer; /* the owner's row of the other entry; NULL: not known */
	const uint8_t *secret; /* CS_DIGEST_LEN bytes */
	enum peer_conn_state state;
	enum peer_role role; /* of this side */
	struct peer_hello local, remote;
	char address[CS_ADDRESS_MAX];
	struct bufferevent *bev;
	struct event *handshake_timer; /* ends the handshake */
};

/*
 * Starts a connection whose fields up to local are set (but state): over fd
 * as the listener, or with fd -1 to the address as the opener. On failure
 * the owner closes it.
 */
int peer_conn_start(struct peer_conn *conn, struct event_base *base, int fd,
		    struct cs_error *err);

/*
 * Sends a frame over a connection that is up. CS_ERR_FULL if more than the
 * limit of bytes would wait; nothing is sent then, and the connection stays
 * for its owner to close.
 */
int peer_conn_send(struct peer_conn *conn, GBytes *content);

/* Writes what the socket takes at once, for the end of the process. */
void peer_conn_flush(struct peer_conn *conn);

/* Closes the socket and frees the row. */
void peer_conn_close(struct peer_conn *conn);

#endif
