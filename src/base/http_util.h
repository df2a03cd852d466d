#ifndef BASE_HTTP_UTIL_H
#define BASE_HTTP_UTIL_H

#include <glib.h>
#include <sys/socket.h>

#include "counters.h"
#include "trace.h"

/*
 * HTTP requests and answers as plain data, and what every HTTP server of an
 * entry needs to read them. Nothing here opens a socket.
 */

enum http_method {
	HTTP_GET,
	HTTP_HEAD,
	HTTP_POST,
	HTTP_PUT,
	HTTP_DELETE,
	HTTP_OTHER,
	HTTP_METHOD_NR
};

struct http_header {
	const char *name, *value;
};

/* A whole request. Everything in it belongs to whoever made it. */
struct http_request {
	enum http_method method;
	const char *path; /* as sent: escapes are not decoded */
	const char *query; /* after the "?", or "" */
	const struct http_header *headers;
	size_t headers_nr;
	GBytes *body; /* never NULL */
	char peer[CS_ADDRESS_MAX];
};

/* An answer. The server takes its own reference of the body. */
struct http_response {
	int status;
	const char *content_type; /* NULL or "": application/octet-stream */
	const char *allow; /* methods, for 405; else NULL */
	int64_t retry_after_ms; /* 0: no Retry-After */
	GBytes *body; /* NULL: empty */
};

/* Why a request was refused. Strings are borrowed. */
struct http_refusal {
	int status;
	const char *reason; /* "unknown_path", "overloaded", ... */
	const char *outcome; /* "not_run" or "unknown" */
	const char *step;
	const char *peer;
	const char *allow; /* as in http_response */
	int64_t retry_after_ms;
	char message[192]; /* for people; "" if the reason says it all */
};

const char *http_method_name(enum http_method method);

/* The reason phrase of a status, "Unknown" for an unusual one. */
const char *http_status_text(int status);

/* The JSON body of a refusal. The caller releases it. */
GBytes *http_refusal_body(const struct http_refusal *refusal);

/*
 * Finds a header, ignoring case. *value is NULL if there is none. Returns
 * CS_ERR_INVALID if it is there twice, since which one counts is unclear.
 */
int http_header(const struct http_request *req, const char *name,
		const char **value);

/*
 * The token of "Authorization: Bearer TOKEN": *token is NULL if there is no
 * such header. Returns CS_ERR_INVALID for anything else than one token.
 */
int http_bearer(const struct http_request *req, const char **token);

/* A query parameter that a request may have, and where its value goes. */
struct http_param {
	const char *name;
	uint64_t min, max;
	uint64_t *value; /* left alone if the parameter is absent */
};

/*
 * Reads the query. Returns CS_ERR_INVALID for an unknown or repeated name or
 * a value that is not a number in its range: a misspelt "dry_run" must not pass
 * for a real change.
 */
int http_query(const char *query, const struct http_param *params, size_t nr);

/*
 * Counts one answer under name{class="2xx"}, one refusal under
 * name{reason="..."}.
 */
void http_count_status(struct counters *counters, const char *name, int status);
void http_count_refusal(struct counters *counters, const char *name,
			const char *reason);

/* A decimal number without sign or spaces, from min to max. */
int http_number(const char *s, uint64_t min, uint64_t max, uint64_t *value);

/* True for 1 to size - 1 characters of [A-Za-z0-9._-]. */
bool http_is_word(const char *s, size_t size);

/*
 * The span of this hop: a child of the caller's traceparent, or a new trace
 * if there is none that can be read.
 */
struct trace http_trace(const struct http_request *req, GRand *rng);

/* "a.b.c.d:port" or "[v6]:port" to a socket address, and back. */
int http_address_parse(const char *address, struct sockaddr_storage *sa,
		       socklen_t *len, struct cs_error *err);
void http_address_format(const struct sockaddr *sa, char out[CS_ADDRESS_MAX]);

#endif
