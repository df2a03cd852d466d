#ifndef PLATFORM_CLIENT_H
#define PLATFORM_CLIENT_H

#include "../entry/bus.h"

/*
 * The task that makes all HTTP calls to the service of the platform. bus must
 * outlive it. platform_client_create() returns NULL with err filled on failure.
 */
struct platform_client;

struct platform_client_options {
	char address[CS_ADDRESS_MAX];
	int64_t timeout_ms; /* of a call; of a watch in addition to its wait */
};

struct platform_client *platform_client_create(
	const struct platform_client_options *options, struct bus *bus,
	struct cs_error *err);
void platform_client_destroy(struct platform_client *client);

#endif
