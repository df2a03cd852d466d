#include "trace.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A random identifier; 0 is not a valid one. */
static uint64_t random_u64(GRand *rng)
{
	uint64_t v = ((uint64_t)g_rand_int(rng) << 32) | g_rand_int(rng);

	return v ? v : 1;
}

struct trace trace_begin(GRand *rng)
{
	struct trace t = { .flags = 1 };

	t.id_high = random_u64(rng);
	t.id_low = random_u64(rng);
	t.span = random_u64(rng);
	return t;
}

struct trace trace_child(const struct trace *parent, GRand *rng)
{
	struct trace t = *parent;

	t.parent = parent->span;
	t.span = random_u64(rng);
	return t;
}

/* Parses n hexadecimal digits; traceparent does not allow upper case. */
static bool parse_hex(const char *s, int n, uint64_t *out)
{
	uint64_t v = 0;
	int i;

	for (i = 0; i < n; i++) {
		if (!isxdigit((unsigned char)s[i]) ||
		    isupper((unsigned char)s[i]))
			return false;
		v = v << 4 |
		    (uint64_t)(s[i] <= '9' ? s[i] - '0' : s[i] - 'a' + 10);
	}
	*out = v;
	return true;
}

int trace_parse(struct trace *t, const char *s)
{
	uint64_t version, flags;

	memset(t, 0, sizeof(*t));
	if (strnlen(s, TRACEPARENT_LEN) != TRACEPARENT_LEN - 1 || s[2] != '-' ||
	    s[35] != '-' || s[52] != '-')
		return CS_ERR_INVALID;
	if (!parse_hex(s, 2, &version) || version == 0xff ||
	    !parse_hex(s + 3, 16, &t->id_high) ||
	    !parse_hex(s + 19, 16, &t->id_low) ||
	    !parse_hex(s + 36, 16, &t->span) || !parse_hex(s + 53, 2, &flags))
		goto invalid;
	if ((!t->id_high && !t->id_low) || !t->span)
		goto invalid;
	t->flags = (uint8_t)flags;
	return CS_OK;
invalid:
	memset(t, 0, sizeof(*t));
	return CS_ERR_INVALID;
}

void trace_format(const struct trace *t, char out[TRACEPARENT_LEN])
{
	snprintf(out, TRACEPARENT_LEN,
		 "00-%016" PRIx64 "%016" PRIx64 "-%016" PRIx64 "-%02x",
		 t->id_high, t->id_low, t->span, t->flags);
}

void trace_id_format(const struct trace *t, char out[33])
{
	snprintf(out, 33, "%016" PRIx64 "%016" PRIx64, t->id_high, t->id_low);
}
