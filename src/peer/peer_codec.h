#ifndef PEER_CODEC_H
#define PEER_CODEC_H

#include "../entry/message.h"

/* Longest frame in bytes, without its length field. */
#define PEER_FRAME_MAX ((size_t)2 * 1024 * 1024)

/*
 * Encodes msg as one msgpack array, without the length field of a frame. Names
 * and incarnations of sender and receiver are left out: both are known from
 * the handshake, and a sender must not be able to claim another name. Returns
 * NULL for an unknown kind.
 */
GBytes *peer_encode(const struct peer_msg *msg);

/*
 * Decodes untrusted bytes into msg, which must be zeroed. Returns CS_OK, or a
 * code with err filled and msg zeroed: CS_ERR_INVALID if they are no message.
 */
int peer_decode(const uint8_t *data, size_t len, struct peer_msg *msg,
		struct cs_error *err);

#endif
