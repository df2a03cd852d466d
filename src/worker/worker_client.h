#ifndef WORKER_CLIENT_H
#define WORKER_CLIENT_H

#include "../entry/bus.h"

/*
 * The task that makes all HTTP calls to workers. bus must outlive it.
 * worker_client_create() returns NULL with err filled on failure.
 */
struct worker_client;

struct worker_client_options {
	int connections_max; /* per worker, which accepts 64 in all */
	int64_t connect_timeout_ms;
};

struct worker_client *worker_client_create(
	const struct worker_client_options *options, struct bus *bus,
	struct cs_error *err);
void worker_client_destroy(struct worker_client *client);

#endif
