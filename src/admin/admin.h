#ifndef ADMIN_H
#define ADMIN_H

#include "../entry/bus.h"

/*
 * The task of the HTTP server for operators, on its own address. It serves
 * configuration changes, status, metrics, health and readiness.
 */
struct admin;

struct admin_options {
	char address[CS_ADDRESS_MAX];
	/* Bearer token for paths under /v1; "" refuses all requests to them. */
	char token[CS_NAME_MAX];
};

struct admin *admin_create(const struct admin_options *options, struct bus *bus,
			   struct cs_error *err);
void admin_destroy(struct admin *admin);

#endif
