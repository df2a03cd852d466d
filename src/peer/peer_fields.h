#ifndef PEER_FIELDS_H
#define PEER_FIELDS_H

#include <glib.h>
#include <msgpack.h>

#include "../camphorshed.h"

/*
 * Typed reader of one msgpack array from an untrusted sender. The first error
 * is kept and later reads do nothing, so that a decoder reads all its fields
 * and checks for errors once, with peer_fields_close().
 */
struct peer_fields {
	const msgpack_object *next;
	uint32_t left;
	bool has_failed;
	char error[96]; /* field and reason */
};

/*
 * Parses data, which must be one array with nothing after it. objects_max
 * limits the number of values at any depth, and thereby the memory used. zone
 * must be initialized and outlive the reads. An error is kept in fields.
 */
void peer_fields_open(struct peer_fields *fields, const uint8_t *data,
		      size_t len, size_t objects_max, msgpack_zone *zone);

/* Records an error, if it is the first one. */
void peer_fields_fail(struct peer_fields *fields, const char *name,
		      const char *reason);

/*
 * Returns CS_OK if all fields were read without an error, else CS_ERR_INVALID
 * with err filled.
 */
int peer_fields_close(struct peer_fields *fields, const char *step,
		      struct cs_error *err);

/*
 * Each function reads one field; name is used in error messages. After an error
 * they return zero.
 */
uint64_t peer_read_u64(struct peer_fields *fields, const char *name,
		       uint64_t max);
int64_t peer_read_i64(struct peer_fields *fields, const char *name, int64_t min,
		      int64_t max);
bool peer_read_bool(struct peer_fields *fields, const char *name);

/* Reads a string without NUL that fits into dst with the final NUL. */
void peer_read_str(struct peer_fields *fields, const char *name, char *dst,
		   size_t size);

/* Reads a binary value of exactly len bytes. */
void peer_read_bin(struct peer_fields *fields, const char *name, uint8_t *dst,
		   size_t len);

/* Reads a binary value, NULL for nil. The caller owns the reference. */
GBytes *peer_read_bytes(struct peer_fields *fields, const char *name);

/*
 * Opens the next field, an array of at most max values, to be read through sub.
 * Returns the number of values, 0 for nil. peer_fields_leave() passes an error
 * of sub on to fields, and sets one if not all values were read.
 */
uint32_t peer_fields_enter(struct peer_fields *fields, const char *name,
			   uint32_t max, struct peer_fields *sub);
void peer_fields_leave(struct peer_fields *fields, const char *name,
		       const struct peer_fields *sub);

/* The encoders for peer_read_str(), peer_read_bin() and peer_read_bytes(). */
void peer_write_str(msgpack_packer *pk, const char *s);
void peer_write_bin(msgpack_packer *pk, const uint8_t *data, size_t len);
void peer_write_bytes(msgpack_packer *pk, GBytes *bytes);

/* Moves the content of buf into a new GBytes; buf must not be used again. */
GBytes *peer_sbuffer_to_bytes(msgpack_sbuffer *buf);

#endif
