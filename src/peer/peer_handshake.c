#include "peer_handshake.h"

#include <sodium.h>
#include <string.h>

#include "../base/error.h"
#include "peer_fields.h"

/* First field of a hello. Hellos of another version are refused. */
#define PROTOCOL_VERSION 1

/* A hello is an array of 5 values, a proof an array of 1. */
#define OBJECTS_MAX 8

GBytes *peer_hello_encode(const struct peer_hello *hello)
{
	msgpack_sbuffer buf;
	msgpack_packer pk;

	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 5);
	msgpack_pack_uint32(&pk, PROTOCOL_VERSION);
	peer_write_str(&pk, hello->id);
	peer_write_str(&pk, hello->data_centre);
	msgpack_pack_uint64(&pk, hello->incarnation);
	peer_write_bin(&pk, hello->nonce, sizeof(hello->nonce));
	return peer_sbuffer_to_bytes(&buf);
}

int peer_hello_decode(const uint8_t *data, size_t len, struct peer_hello *hello,
		      struct cs_error *err)
{
	struct peer_fields f;
	msgpack_zone zone;
	int code;

	memset(hello, 0, sizeof(*hello));
	if (!msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE))
		return cs_error_set(err, CS_ERR_NOMEM, "handshake", NULL,
				    "out of memory");
	peer_fields_open(&f, data, len, OBJECTS_MAX, &zone);
	if (peer_read_u64(&f, "version", UINT32_MAX) != PROTOCOL_VERSION)
		peer_fields_fail(&f, "version", "unsupported protocol version");
	peer_read_str(&f, "id", hello->id, sizeof(hello->id));
	peer_read_str(&f, "data_centre", hello->data_centre,
		      sizeof(hello->data_centre));
	hello->incarnation = peer_read_u64(&f, "incarnation", UINT64_MAX);
	peer_read_bin(&f, "nonce", hello->nonce, sizeof(hello->nonce));
	code = peer_fields_close(&f, "handshake", err);
	msgpack_zone_destroy(&zone);
	return code;
}

/*
 * Hashes the length before the string, so that two different pairs of names
 * never hash the same bytes.
 */
static void hash_str(crypto_generichash_state *st, const char *s)
{
	uint8_t len = (uint8_t)strlen(s); /* names have at most 63 characters */

	crypto_generichash_update(st, &len, 1);
	crypto_generichash_update(st, (const uint8_t *)s, len);
}

/* The order of the fields is part of the protocol. */
static void hash_hello(crypto_generichash_state *st,
		       const struct peer_hello *hello)
{
	uint64_t incarnation = GUINT64_TO_BE(hello->incarnation);

	crypto_generichash_update(st, hello->nonce, sizeof(hello->nonce));
	hash_str(st, hello->id);
	hash_str(st, hello->data_centre);
	crypto_generichash_update(st, (const uint8_t *)&incarnation,
				  sizeof(incarnation));
}

/*
 * Keyed BLAKE2b over the role and both hellos. The role prevents reflection of
 * a proof to its sender, the nonces prevent replay. Data centre and incarnation
 * are covered because the core trusts them.
 */
static void make_proof(const uint8_t secret[CS_DIGEST_LEN], enum peer_role role,
		       const struct peer_hello *initiator,
		       const struct peer_hello *responder,
		       uint8_t proof[PEER_PROOF_LEN])
{
	crypto_generichash_state st;
	uint8_t byte = (uint8_t)role;

	crypto_generichash_init(&st, secret, CS_DIGEST_LEN, PEER_PROOF_LEN);
	crypto_generichash_update(&st, &byte, 1);
	hash_hello(&st, initiator);
	hash_hello(&st, responder);
	crypto_generichash_final(&st, proof, PEER_PROOF_LEN);
}

GBytes *peer_proof_encode(const uint8_t secret[CS_DIGEST_LEN],
			  enum peer_role role,
			  const struct peer_hello *initiator,
			  const struct peer_hello *responder)
{
	uint8_t proof[PEER_PROOF_LEN];
	msgpack_sbuffer buf;
	msgpack_packer pk;

	make_proof(secret, role, initiator, responder, proof);
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, 1);
	peer_write_bin(&pk, proof, sizeof(proof));
	return peer_sbuffer_to_bytes(&buf);
}

int peer_proof_check(const uint8_t *data, size_t len,
		     const uint8_t secret[CS_DIGEST_LEN], enum peer_role role,
		     const struct peer_hello *initiator,
		     const struct peer_hello *responder, struct cs_error *err)
{
	uint8_t got[PEER_PROOF_LEN] = { 0 }, expected[PEER_PROOF_LEN];
	struct peer_fields f;
	msgpack_zone zone;
	int code;

	if (!msgpack_zone_init(&zone, MSGPACK_ZONE_CHUNK_SIZE))
		return cs_error_set(err, CS_ERR_NOMEM, "handshake", NULL,
				    "out of memory");
	peer_fields_open(&f, data, len, OBJECTS_MAX, &zone);
	peer_read_bin(&f, "proof", got, sizeof(got));
	code = peer_fields_close(&f, "handshake", err);
	msgpack_zone_destroy(&zone);
	if (code)
		return code;
	make_proof(secret, role, initiator, responder, expected);
	if (sodium_memcmp(got, expected, sizeof(got)))
		return cs_error_set(err, CS_ERR_DENIED, "handshake", NULL,
				    "the peer does not know the secret");
	return CS_OK;
}
