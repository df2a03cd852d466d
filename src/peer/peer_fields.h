#ifndef PEER_FIELDS_H
#define PEER_FIELDS_H

#include <glib.h>
#include <msgpack.h>

#include "../camphorshed.h"

/*
 * Typed reading of one msgpack array from an untrusted sender, field by
 * field. The first fault is kept and every later read does nothing, so a
 * decoder reads all its fields and asks for the result once at the end.
 */
struct peer_fields {
	const msgpack_object *next;
	uint32_t left;
	bool has_failed;
	char fault[96]; /* field and reason */
};

/*
 * Parses data as one array and nothing after it. objects_max bounds the
 * number of values in it, at any depth, and so the memory used. zone must be
 * initialised and lives as long as the fields are read. A fault is kept in
 * fields.
 */
void peer_fields_open(struct peer_fields *fields, const uint8_t *data,
		      size_t len, size_t objects_max, msgpack_zone *zone);

/* Keeps the fault if it is the first one. */
void peer_fields_fail(struct peer_fields *fields, const char *name,
		      const char *reason);

/* CS_OK if all fields were read without a fault, else CS_ERR_INVALID. */
int peer_fields_close(struct peer_fields *fields, const char *step,
		      struct cs_error *err);

/* One field each; name is used in the fault. Zero values after a fault. */
uint64_t peer_read_u64(struct peer_fields *fields, const char *name,
		       uint64_t max);
int64_t peer_read_i64(struct peer_fields *fields, const char *name, int64_t min,
		      int64_t max);
bool peer_read_bool(struct peer_fields *fields, const char *name);

/* A string without NUL that fits into dst with the final NUL. */
void peer_read_str(struct peer_fields *fields, const char *name, char *dst,
		   size_t size);

/* A binary value of exactly len bytes. */
void peer_read_bin(struct peer_fields *fields, const char *name, uint8_t *dst,
		   size_t len);

/* A binary value, or NULL for nil. The caller owns the reference. */
GBytes *peer_read_bytes(struct peer_fields *fields, const char *name);

/*
 * Enters an array of at most max values: sub reads them. Its fault must be
 * passed on with peer_fields_leave(), which also asserts that sub was read
 * to its end. Returns the number of values; nil counts as 0.
 */
uint32_t peer_fields_enter(struct peer_fields *fields, const char *name,
			   uint32_t max, struct peer_fields *sub);
void peer_fields_leave(struct peer_fields *fields, const char *name,
		       const struct peer_fields *sub);

/* The writing side of peer_read_str() and peer_read_bytes(). */
void peer_write_str(msgpack_packer *pk, const char *s);
void peer_write_bin(msgpack_packer *pk, const uint8_t *data, size_t len);
void peer_write_bytes(msgpack_packer *pk, GBytes *bytes);

/* The content of buf as GBytes; buf is destroyed. */
GBytes *peer_sbuffer_to_bytes(msgpack_sbuffer *buf);

#endif
