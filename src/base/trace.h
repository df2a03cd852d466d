#ifndef BASE_TRACE_H
#define BASE_TRACE_H

#include <glib.h>

#include "../camphorshed.h"

/* "00-", 32, 16 and 2 hex digits separated by "-", and the final NUL. */
#define TRACEPARENT_LEN 56

/* The W3C trace context of one hop. All zero: no trace. */
struct trace {
	uint64_t id_high, id_low;
	uint64_t span;
	uint64_t parent; /* the parent span; 0 for the root span */
	uint8_t flags;
};

/* Starts a new trace with random identifiers. */
struct trace trace_begin(GRand *rng);

/* A child span of parent, in the same trace. */
struct trace trace_child(const struct trace *parent, GRand *rng);

/* Parses a traceparent header. Returns CS_OK or CS_ERR_INVALID. */
int trace_parse(struct trace *trace, const char *header);

/* Writes a traceparent header. */
void trace_format(const struct trace *trace, char out[TRACEPARENT_LEN]);

/* The trace identifier as 32 hexadecimal digits and a NUL. */
void trace_id_format(const struct trace *trace, char out[33]);

#endif
