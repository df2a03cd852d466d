#ifndef CTL_HTTP_H
#define CTL_HTTP_H

#include <glib.h>

#include "../camphorshed.h"

/* A blocking HTTP call to the admin port of an entry. */
struct ctl_call {
	const char *address;
	const char *token; /* NULL: none */
	const char *method; /* "GET", "POST" or "PUT" */
	const char *path; /* with the query string */
	GBytes *body; /* JSON; NULL: none */
	int timeout_s; /* for connecting, and again for the response */
};

struct ctl_response {
	int status; /* HTTP status */
	GBytes *body; /* owned by the caller */
	bool is_sent; /* on failure: the entry may have executed the call */
};

/*
 * Returns CS_OK for any complete HTTP response, whatever its status. Otherwise
 * fills err and returns CS_ERR_TIMEOUT if the response did not come in time,
 * CS_ERR_IO if the connection failed or the response is incomplete or invalid,
 * CS_ERR_INVALID if the address is malformed, or CS_ERR_NOMEM.
 * Never retries, since the entry may have executed the call.
 */
int ctl_http_call(const struct ctl_call *call, struct ctl_response *response,
		  struct cs_error *err);

#endif
