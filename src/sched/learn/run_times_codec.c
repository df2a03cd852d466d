#include "run_times_codec.h"

#include <math.h>
#include <msgpack.h>
#include <string.h>

/* What the record is, as any program may write to the store. */
#define RECORD_NAME "camphorshed run times"
#define RECORD_FORMAT 1
#define RECORD_LEN 3
/* Bytes of the record without its groups: name, format and array headers. */
#define HEADER_BYTES 64

/* The sums of a group in the order of the record. */
#define SUMS 11

static void list_sums(const struct run_times_group *g, double sums[SUMS])
{
	const double list[SUMS] = { g->weight, g->x,  g->z,	      g->y,
				    g->xx,     g->xz, g->zz,	      g->xy,
				    g->zy,     g->yy, g->error_weight };

	memcpy(sums, list, sizeof(list));
}

static void pack_text(msgpack_packer *pk, const char *s)
{
	size_t len = strlen(s);

	msgpack_pack_str(pk, len);
	msgpack_pack_str_body(pk, s, len);
}

struct pack_state {
	msgpack_sbuffer buf; /* the groups, one after the other */
	msgpack_packer pk;
	size_t groups;
	bool are_workspaces; /* otherwise the wider groups */
	bool is_full;
};

/* Adds a group, unless the record would be too long. */
static void pack_group(void *ctx, const struct run_times_group *g)
{
	struct pack_state *st = ctx;
	size_t before = st->buf.size;
	double sums[SUMS];
	int i;

	if (st->is_full ||
	    (g->level == RUN_TIMES_WORKSPACE) != st->are_workspaces)
		return;
	list_sums(g, sums);
	msgpack_pack_array(&st->pk, 5 + SUMS);
	msgpack_pack_int(&st->pk, (int)g->level);
	msgpack_pack_int(&st->pk, g->step);
	pack_text(&st->pk, g->queue);
	pack_text(&st->pk, g->workspace);
	for (i = 0; i < SUMS; i++)
		msgpack_pack_float(&st->pk, (float)sums[i]);
	msgpack_pack_float(&st->pk, (float)g->error);
	st->is_full = st->buf.size > RUN_TIMES_BYTES_MAX - HEADER_BYTES;
	if (st->is_full)
		st->buf.size = before;
	else
		st->groups++;
}

GBytes *run_times_encode(const struct run_times *t)
{
	struct pack_state st = { .groups = 0 };
	msgpack_sbuffer buf;
	msgpack_packer pk;
	GBytes *bytes;

	msgpack_sbuffer_init(&st.buf);
	msgpack_packer_init(&st.pk, &st.buf, msgpack_sbuffer_write);
	run_times_for_each(t, pack_group, &st);
	st.are_workspaces = true;
	run_times_for_each(t, pack_group, &st);
	msgpack_sbuffer_init(&buf);
	msgpack_packer_init(&pk, &buf, msgpack_sbuffer_write);
	msgpack_pack_array(&pk, RECORD_LEN);
	pack_text(&pk, RECORD_NAME);
	msgpack_pack_int(&pk, RECORD_FORMAT);
	msgpack_pack_array(&pk, st.groups);
	msgpack_sbuffer_write(&buf, st.buf.data, st.buf.size);
	msgpack_sbuffer_destroy(&st.buf);
	bytes = g_bytes_new(buf.data, buf.size);
	msgpack_sbuffer_destroy(&buf);
	return bytes;
}

/* Each reader returns false when the element has another type or range. */
static bool read_text(const msgpack_object *o, char out[SITE_NAME_MAX])
{
	if (o->type != MSGPACK_OBJECT_STR || o->via.str.size >= SITE_NAME_MAX ||
	    (o->via.str.size && memchr(o->via.str.ptr, '\0', o->via.str.size)))
		return false;
	/* The pointer of an empty text may be NULL. */
	if (o->via.str.size)
		memcpy(out, o->via.str.ptr, o->via.str.size);
	out[o->via.str.size] = '\0';
	return true;
}

static bool read_small(const msgpack_object *o, int *value)
{
	if (o->type != MSGPACK_OBJECT_POSITIVE_INTEGER || o->via.u64 > 1000)
		return false;
	*value = (int)o->via.u64;
	return true;
}

static bool read_real(const msgpack_object *o, double *value)
{
	if (o->type != MSGPACK_OBJECT_FLOAT32 || !isfinite(o->via.f64))
		return false;
	*value = o->via.f64;
	return true;
}

static bool read_group(const msgpack_object *o, struct run_times_group *g)
{
	double *const sums[SUMS] = { &g->weight, &g->x,		  &g->z,
				     &g->y,	 &g->xx,	  &g->xz,
				     &g->zz,	 &g->xy,	  &g->zy,
				     &g->yy,	 &g->error_weight };
	const msgpack_object *f;
	int level, i;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != 5 + SUMS)
		return false;
	f = o->via.array.ptr;
	if (!read_small(&f[0], &level) || !read_small(&f[1], &g->step) ||
	    !read_text(&f[2], g->queue) || !read_text(&f[3], g->workspace))
		return false;
	g->level = (enum run_times_level)level;
	for (i = 0, f += 4; i < SUMS; i++, f++)
		if (!read_real(f, sums[i]))
			return false;
	return read_real(f, &g->error);
}

/* Adds all groups of an array; false: one of them is malformed. */
static bool read_groups(struct run_times *t, const msgpack_object *o)
{
	uint32_t i;

	for (i = 0; i < o->via.array.size; i++) {
		struct run_times_group g = { 0 };

		if (!read_group(&o->via.array.ptr[i], &g) ||
		    !run_times_add_group(t, &g))
			return false;
	}
	return true;
}

static struct run_times *read_record(const msgpack_object *o)
{
	const msgpack_object *f;
	char name[SITE_NAME_MAX];
	struct run_times *t;
	int format;

	if (o->type != MSGPACK_OBJECT_ARRAY || o->via.array.size != RECORD_LEN)
		return NULL;
	f = o->via.array.ptr;
	if (!read_text(&f[0], name) || strcmp(name, RECORD_NAME) != 0 ||
	    !read_small(&f[1], &format) || format != RECORD_FORMAT ||
	    f[2].type != MSGPACK_OBJECT_ARRAY ||
	    f[2].via.array.size > RUN_TIMES_GROUPS_MAX)
		return NULL;
	t = run_times_create();
	if (read_groups(t, &f[2]))
		return t;
	run_times_destroy(t);
	return NULL;
}

/* Bytes of the element at p without those inside an array; 0: not in use here.
 */
static size_t element_size(const uint8_t *p, size_t left)
{
	if (*p <= 0x7f || (*p >= 0x90 && *p <= 0x9f))
		return 1; /* a small integer or array */
	if (*p >= 0xa0 && *p <= 0xbf)
		return 1 + (size_t)(*p & 0x1f); /* a short text */
	switch (*p) {
	case 0xca: /* a float */
		return 5;
	case 0xd9: /* a text */
		return left > 1 ? 2 + (size_t)p[1] : 0;
	case 0xdc: /* an array of up to 65,535 elements */
		return 3;
	default:
		return 0;
	}
}

/* Number of elements that the array at p names; 0 if it is no array. */
static size_t array_length(const uint8_t *p)
{
	if (*p >= 0x90 && *p <= 0x9f)
		return *p & 0x0f;
	return *p == 0xdc ? (size_t)p[1] << 8 | p[2] : 0;
}

/*
 * True if the bytes have only elements that run_times_encode() writes, and
 * their arrays name no more elements than there are bytes. The library
 * allocates memory for the number of elements that an array or a map names, up
 * to 2^32, before it has seen them, in each of 32 nested arrays.
 */
static bool has_known_elements(const uint8_t *data, size_t size)
{
	size_t at = 0, n, elements = 0;

	while (at < size) {
		n = element_size(data + at, size - at);
		if (!n || n > size - at)
			return false;
		elements += array_length(data + at);
		at += n;
	}
	return elements <= size;
}

struct run_times *run_times_decode(const void *data, size_t size)
{
	struct run_times *t = NULL;
	msgpack_unpacked un;
	size_t off = 0;

	if (size > RUN_TIMES_BYTES_MAX || !has_known_elements(data, size))
		return NULL;
	msgpack_unpacked_init(&un);
	if (msgpack_unpack_next(&un, data, size, &off) ==
		    MSGPACK_UNPACK_SUCCESS &&
	    off == size)
		t = read_record(&un.data);
	msgpack_unpacked_destroy(&un);
	return t;
}
