#ifndef PEER_FRAME_H
#define PEER_FRAME_H

#include <event2/buffer.h>
#include <glib.h>

#include "../camphorshed.h"

/* Bytes of the length field before each frame, a big-endian number. */
#define PEER_FRAME_HEADER_LEN 4

/*
 * Looks for a complete frame at the start of in. Returns true with its content
 * in data and len, which stay valid until in is changed. Returns false if more
 * bytes are needed (*code is CS_OK), if the frame is longer than max (*code is
 * CS_ERR_TOO_LARGE, *len its length), or without memory (CS_ERR_NOMEM).
 */
bool peer_frame_peek(struct evbuffer *in, size_t max, const uint8_t **data,
		     size_t *len, int *code);

/* Removes a frame that peer_frame_peek() found; len is its content's length. */
void peer_frame_consume(struct evbuffer *in, size_t len);

/*
 * Appends a frame with that content. A reference to content is taken, its
 * bytes are not copied. Returns CS_OK or CS_ERR_NOMEM.
 */
int peer_frame_add(struct evbuffer *out, GBytes *content);

#endif
