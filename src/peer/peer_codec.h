#ifndef PEER_CODEC_H
#define PEER_CODEC_H

#include "../entry/message.h"

/* Longest frame after the length field, in bytes. */
#define PEER_FRAME_MAX ((size_t)2 * 1024 * 1024)

/* Encodes a message as one msgpack array, without the length field. */
GBytes *peer_encode(const struct peer_msg *msg);

/*
 * Decodes into a zeroed msg. CS_OK, or CS_ERR_INVALID with err filled and
 * nothing held in msg. Any bytes may be passed in.
 */
int peer_decode(const uint8_t *data, size_t len, struct peer_msg *msg,
		struct cs_error *err);

#endif
