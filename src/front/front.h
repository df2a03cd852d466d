#ifndef FRONT_H
#define FRONT_H

#include "../entry/bus.h"

/* The callers' HTTP server: one task. The interface is in docs/callers.md. */
struct front;

struct front_options {
	char address[CS_ADDRESS_MAX]; /* where it listens */
	size_t body_max; /* bytes of a request body */
	int connections_max;
	size_t buffer_max; /* as in struct http_server_options, like the next */
	int64_t head_timeout_ms, body_timeout_ms;
};

/* Starts to listen. Returns NULL and fills err on failure. */
struct front *front_create(const struct front_options *options, struct bus *bus,
			   struct cs_error *err);

/*
 * Closes the listener and the connections and releases the task. Requests
 * that still wait get no reply, so the core is to be drained first.
 */
void front_destroy(struct front *front);

#endif
