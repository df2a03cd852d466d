#include "peer_fields.h"

#include <string.h>

#include "../base/error.h"

/* The deepest message, a summary, has 3 levels: message, list of rows, row. */
#define DEPTH_MAX 4

/*
 * What follows the first byte of a msgpack value. No peer message contains
 * floats, maps or extensions, so these are refused.
 */
enum value_class {
	VALUE_UNSUPPORTED,
	VALUE_FIXED, /* the value, in width bytes */
	VALUE_SIZED, /* a length in width bytes, then that many bytes */
	VALUE_ARRAY /* a count in width bytes, then that many values */
};

struct value_format {
	uint8_t class;
	uint8_t width;
};

/* The formats with first byte 0xc0 to 0xdf, see the msgpack specification. */
static const struct value_format formats[0x20] = {
	[0x00] = { VALUE_FIXED, 0 }, /* nil */
	[0x02] = { VALUE_FIXED, 0 }, /* false */
	[0x03] = { VALUE_FIXED, 0 }, /* true */
	[0x04] = { VALUE_SIZED, 1 }, /* bin 8, 16, 32 */
	[0x05] = { VALUE_SIZED, 2 },
	[0x06] = { VALUE_SIZED, 4 },
	[0x0c] = { VALUE_FIXED, 1 }, /* uint 8, 16, 32, 64 */
	[0x0d] = { VALUE_FIXED, 2 },
	[0x0e] = { VALUE_FIXED, 4 },
	[0x0f] = { VALUE_FIXED, 8 },
	[0x10] = { VALUE_FIXED, 1 }, /* int 8, 16, 32, 64 */
	[0x11] = { VALUE_FIXED, 2 },
	[0x12] = { VALUE_FIXED, 4 },
	[0x13] = { VALUE_FIXED, 8 },
	[0x19] = { VALUE_SIZED, 1 }, /* str 8, 16, 32 */
	[0x1a] = { VALUE_SIZED, 2 },
	[0x1b] = { VALUE_SIZED, 4 },
	[0x1c] = { VALUE_ARRAY, 2 }, /* array 16, 32 */
	[0x1d] = { VALUE_ARRAY, 4 },
};

/*
 * Returns the length of the value at data. For an array that is the length of
 * its header only, and count is set to the number of its values. Returns 0 if
 * the type is unsupported or the value extends beyond len.
 */
static size_t value_size(const uint8_t *data, size_t len, bool *is_array,
			 uint32_t *count)
{
	const struct value_format *f;
	uint32_t n = 0;
	uint8_t b = data[0];
	size_t i;

	*is_array = false;
	*count = 0;
	if (b < 0x80 || b >= 0xe0)
		return 1; /* small integer */
	if ((b & 0xf0) == 0x90) {
		*is_array = true;
		*count = b & 0x0f;
		return 1;
	}
	if ((b & 0xe0) == 0xa0) {
		n = b & 0x1f;
		return n < len ? 1 + n : 0;
	}
	if (b < 0xc0)
		return 0; /* small map */
	f = &formats[b - 0xc0];
	if (f->class == VALUE_UNSUPPORTED || f->width >= len)
		return 0;
	if (f->class == VALUE_FIXED)
		return 1 + f->width;
	for (i = 0; i < f->width; i++)
		n = n << 8 | data[1 + i];
	if (f->class == VALUE_ARRAY) {
		*is_array = true;
		*count = n;
		return 1 + f->width;
	}
	return n <= len - 1 - f->width ? 1 + f->width + n : 0;
}

/*
 * Checks the structure before msgpack-c parses it. msgpack-c allocates an array
 * by the count in its header, so a frame of 5 bytes could make it allocate
 * 100 GB. Returns NULL or the error.
 */
static const char *check_structure(const uint8_t *data, size_t len,
				   size_t objects_max)
{
	uint32_t left[DEPTH_MAX + 1] = { 1 };
	size_t depth = 0, objects = 0, size;
	uint32_t count;
	bool is_array;

	for (;;) {
		while (!left[depth]) {
			if (!depth)
				return len ? "bytes after the message" : NULL;
			depth--;
		}
		left[depth]--;
		if (!len)
			return "truncated";
		size = value_size(data, len, &is_array, &count);
		if (!size)
			return "unsupported type or truncated value";
		data += size;
		len -= size;
		if (++objects > objects_max || count > objects_max - objects)
			return "too many values";
		if (is_array) {
			if (depth == DEPTH_MAX)
				return "nested too deeply";
			left[++depth] = count;
		}
	}
}

void peer_fields_fail(struct peer_fields *f, const char *name,
		      const char *reason)
{
	if (f->has_failed)
		return;
	f->has_failed = true;
	f->left = 0;
	g_snprintf(f->error, sizeof(f->error), "%s: %s", name, reason);
}

void peer_fields_open(struct peer_fields *f, const uint8_t *data, size_t len,
		      size_t objects_max, msgpack_zone *zone)
{
	const char *error = check_structure(data, len, objects_max);
	msgpack_object root;
	size_t off = 0;

	memset(f, 0, sizeof(*f));
	if (error) {
		peer_fields_fail(f, "message", error);
		return;
	}
	if (msgpack_unpack((const char *)data, len, &off, zone, &root) !=
	    MSGPACK_UNPACK_SUCCESS) {
		peer_fields_fail(f, "message", "not msgpack");
		return;
	}
	if (root.type != MSGPACK_OBJECT_ARRAY) {
		peer_fields_fail(f, "message", "not an array");
		return;
	}
	f->next = root.via.array.ptr;
	f->left = root.via.array.size;
}

int peer_fields_close(struct peer_fields *f, const char *step,
		      struct cs_error *err)
{
	if (f->left)
		peer_fields_fail(f, "message", "more fields than expected");
	if (!f->has_failed)
		return CS_OK;
	return cs_error_set(err, CS_ERR_INVALID, step, NULL, "%s", f->error);
}

/* Returns the next value, or NULL after an error or at the end. */
static const msgpack_object *next_value(struct peer_fields *f, const char *name)
{
	if (f->has_failed)
		return NULL;
	if (!f->left) {
		peer_fields_fail(f, name, "missing");
		return NULL;
	}
	f->left--;
	return f->next++;
}

uint64_t peer_read_u64(struct peer_fields *f, const char *name, uint64_t max)
{
	const msgpack_object *o = next_value(f, name);

	if (!o)
		return 0;
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > max) {
		peer_fields_fail(f, name, "not an integer in range");
		return 0;
	}
	return o->via.u64;
}

int64_t peer_read_i64(struct peer_fields *f, const char *name, int64_t min,
		      int64_t max)
{
	const msgpack_object *o = next_value(f, name);

	if (!o)
		return 0;
	if (o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    o->via.u64 <= (uint64_t)max && (int64_t)o->via.u64 >= min)
		return (int64_t)o->via.u64;
	if (o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER && o->via.i64 >= min &&
	    o->via.i64 <= max)
		return o->via.i64;
	peer_fields_fail(f, name, "not an integer in range");
	return 0;
}

bool peer_read_bool(struct peer_fields *f, const char *name)
{
	const msgpack_object *o = next_value(f, name);

	if (!o)
		return false;
	if (o->type != MSGPACK_OBJECT_BOOLEAN) {
		peer_fields_fail(f, name, "not a boolean");
		return false;
	}
	return o->via.boolean;
}

/* An empty string is not copied, since msgpack-c gives no pointer for it. */
void peer_read_str(struct peer_fields *f, const char *name, char *dst,
		   size_t size)
{
	const msgpack_object *o = next_value(f, name);

	if (!o)
		return;
	if (o->type != MSGPACK_OBJECT_STR) {
		peer_fields_fail(f, name, "not a string");
	} else if (o->via.str.size >= size) {
		peer_fields_fail(f, name, "too long");
	} else if (o->via.str.size) {
		if (memchr(o->via.str.ptr, '\0', o->via.str.size))
			peer_fields_fail(f, name, "contains a NUL");
		else
			memcpy(dst, o->via.str.ptr, o->via.str.size);
	}
	if (!f->has_failed)
		dst[o->via.str.size] = '\0';
}

void peer_read_bin(struct peer_fields *f, const char *name, uint8_t *dst,
		   size_t len)
{
	const msgpack_object *o = next_value(f, name);

	if (!o)
		return;
	if (o->type != MSGPACK_OBJECT_BIN || o->via.bin.size != len)
		peer_fields_fail(f, name,
				 "not a binary value of the expected length");
	else
		memcpy(dst, o->via.bin.ptr, len);
}

GBytes *peer_read_bytes(struct peer_fields *f, const char *name)
{
	const msgpack_object *o = next_value(f, name);

	if (!o || o->type == MSGPACK_OBJECT_NIL)
		return NULL;
	if (o->type != MSGPACK_OBJECT_BIN) {
		peer_fields_fail(f, name, "not a binary value");
		return NULL;
	}
	return g_bytes_new(o->via.bin.ptr, o->via.bin.size);
}

uint32_t peer_fields_enter(struct peer_fields *f, const char *name,
			   uint32_t max, struct peer_fields *sub)
{
	const msgpack_object *o = next_value(f, name);

	memset(sub, 0, sizeof(*sub));
	if (!o || o->type == MSGPACK_OBJECT_NIL)
		return 0;
	if (o->type != MSGPACK_OBJECT_ARRAY) {
		peer_fields_fail(f, name, "not an array");
		return 0;
	}
	if (o->via.array.size > max) {
		peer_fields_fail(f, name, "too many values");
		return 0;
	}
	sub->next = o->via.array.ptr;
	sub->left = o->via.array.size;
	return sub->left;
}

void peer_fields_leave(struct peer_fields *f, const char *name,
		       const struct peer_fields *sub)
{
	if (sub->has_failed)
		peer_fields_fail(f, name, sub->error);
	else if (sub->left)
		peer_fields_fail(f, name, "more fields than expected");
}

void peer_write_str(msgpack_packer *pk, const char *s)
{
	msgpack_pack_str_with_body(pk, s, strlen(s));
}

void peer_write_bin(msgpack_packer *pk, const uint8_t *data, size_t len)
{
	msgpack_pack_bin_with_body(pk, data, len);
}

void peer_write_bytes(msgpack_packer *pk, GBytes *bytes)
{
	gsize len;
	const void *data;

	if (!bytes) {
		msgpack_pack_nil(pk);
		return;
	}
	data = g_bytes_get_data(bytes, &len);
	msgpack_pack_bin(pk, len);
	if (len)
		msgpack_pack_bin_body(pk, data, len);
}

GBytes *peer_sbuffer_to_bytes(msgpack_sbuffer *buf)
{
	size_t len = buf->size;
	char *data = msgpack_sbuffer_release(buf);

	return g_bytes_new_with_free_func(data, len, free, data);
}
