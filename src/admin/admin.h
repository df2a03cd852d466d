#ifndef ADMIN_H
#define ADMIN_H

#include "../entry/bus.h"

/*
 * The operators' HTTP server, apart from the callers' port: one task. It
 * serves changes, status, metrics, health and readiness.
 */
struct admin;

struct admin_options {
	char address[CS_ADDRESS_MAX];
	char token[CS_NAME_MAX]; /* bearer token for changes; "" refuses all */
};

struct admin *admin_create(const struct admin_options *options, struct bus *bus,
			   struct cs_error *err);
void admin_destroy(struct admin *admin);

#endif
