#ifndef PEER_HANDSHAKE_H
#define PEER_HANDSHAKE_H

#include <glib.h>

#include "../camphorshed.h"

/*
 * The handshake of two entries. Each sends a hello, and then, over both
 * hellos, a proof that it knows the shared secret. No socket is used here.
 */

#define PEER_NONCE_LEN 32
#define PEER_PROOF_LEN 32

/* Longest frame before the proof was checked; a hello takes at most 190. */
#define PEER_HANDSHAKE_FRAME_MAX 512

/* Which side opened the connection. Part of the proof. */
enum peer_role { PEER_ROLE_INITIATOR = 1, PEER_ROLE_RESPONDER = 2 };

struct peer_hello {
	char id[CS_NAME_MAX];
	char data_centre[CS_NAME_MAX];
	uint64_t incarnation;
	uint8_t nonce[PEER_NONCE_LEN];
};

GBytes *peer_hello_encode(const struct peer_hello *hello);

/* CS_OK, or CS_ERR_INVALID with err filled. Any bytes may be passed in. */
int peer_hello_decode(const uint8_t *data, size_t len, struct peer_hello *hello,
		      struct cs_error *err);

/* The proof frame of the side with that role. */
GBytes *peer_proof_encode(const uint8_t secret[CS_DIGEST_LEN],
			  enum peer_role role,
			  const struct peer_hello *initiator,
			  const struct peer_hello *responder);

/*
 * Checks the proof frame of the side with that role, in constant time.
 * CS_OK, CS_ERR_INVALID if it is no proof, CS_ERR_DENIED if it is wrong.
 */
int peer_proof_check(const uint8_t *data, size_t len,
		     const uint8_t secret[CS_DIGEST_LEN], enum peer_role role,
		     const struct peer_hello *initiator,
		     const struct peer_hello *responder, struct cs_error *err);

#endif
