#ifndef PEER_FRAME_H
#define PEER_FRAME_H

#include <event2/buffer.h>
#include <glib.h>

#include "../camphorshed.h"

/* The length field in front of each frame: 4 bytes, big-endian. */
#define PEER_FRAME_HEAD 4

/*
 * Looks for a whole frame at the start of in. Returns true with its content
 * in data and len, which stay good until in is changed. Returns false when
 * more bytes are needed (*code is CS_OK) or when the frame is longer than
 * max (*code is CS_ERR_TOO_LARGE).
 */
bool peer_frame_peek(struct evbuffer *in, size_t max, const uint8_t **data,
		     size_t *len, int *code);

/* Removes the frame that peer_frame_peek() found. */
void peer_frame_consume(struct evbuffer *in, size_t len);

/*
 * Appends a frame with that content, which is referred to, not copied.
 * CS_OK or CS_ERR_NOMEM.
 */
int peer_frame_add(struct evbuffer *out, GBytes *content);

#endif
