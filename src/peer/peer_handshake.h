#ifndef PEER_HANDSHAKE_H
#define PEER_HANDSHAKE_H

#include <glib.h>

#include "../camphorshed.h"

/*
 * The messages of the handshake of two entries. Each side sends a hello and
 * then a proof: a digest of both hellos, keyed with the shared secret. This
 * code uses no socket.
 */

#define PEER_NONCE_LEN 32
#define PEER_PROOF_LEN 32

/*
 * Longest frame that is accepted before the proof was checked. A hello takes
 * at most 190 bytes.
 */
#define PEER_HANDSHAKE_FRAME_MAX 512

/* The initiator opened the connection. Part of the proof. */
enum peer_role { PEER_ROLE_INITIATOR = 1, PEER_ROLE_RESPONDER = 2 };

struct peer_hello {
	char id[CS_NAME_MAX];
	char data_centre[CS_NAME_MAX];
	uint64_t incarnation;
	uint8_t nonce[PEER_NONCE_LEN];
};

GBytes *peer_hello_encode(const struct peer_hello *hello);

/*
 * Decodes untrusted bytes. Returns CS_OK, or a code with err filled:
 * CS_ERR_INVALID if they are no hello, or CS_ERR_NOMEM.
 */
int peer_hello_decode(const uint8_t *data, size_t len, struct peer_hello *hello,
		      struct cs_error *err);

/* Returns the proof frame of the side with that role. */
GBytes *peer_proof_encode(const uint8_t secret[CS_DIGEST_LEN],
			  enum peer_role role,
			  const struct peer_hello *initiator,
			  const struct peer_hello *responder);

/*
 * Checks the proof frame of the side with that role, in constant time. Returns
 * CS_OK, CS_ERR_INVALID if the frame is malformed, CS_ERR_DENIED if the proof
 * is wrong, or CS_ERR_NOMEM.
 */
int peer_proof_check(const uint8_t *data, size_t len,
		     const uint8_t secret[CS_DIGEST_LEN], enum peer_role role,
		     const struct peer_hello *initiator,
		     const struct peer_hello *responder, struct cs_error *err);

#endif
