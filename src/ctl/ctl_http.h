#ifndef CTL_HTTP_H
#define CTL_HTTP_H

#include <glib.h>

#include "../camphorshed.h"

/* One call of an entry's admin port that waits for the answer. */
struct ctl_call {
	const char *address;
	const char *token; /* NULL: none */
	const char *method; /* "GET", "POST" or "PUT" */
	const char *path; /* with its query */
	GBytes *body; /* JSON; NULL: none */
	int timeout_s; /* of the connection and of the answer, each */
};

struct ctl_answer {
	int status; /* HTTP status */
	GBytes *body; /* the caller releases it */
	bool is_sent; /* on failure: the entry may have taken the call */
};

/*
 * CS_OK for any whole HTTP answer, else CS_ERR_IO or CS_ERR_TIMEOUT with err
 * filled. A call is never repeated.
 */
int ctl_http_call(const struct ctl_call *call, struct ctl_answer *answer,
		  struct cs_error *err);

#endif
