#ifndef BASE_HTTP_UTIL_H
#define BASE_HTTP_UTIL_H

#include <glib.h>
#include <sys/socket.h>

#include "counters.h"
#include "trace.h"

/*
 * HTTP requests and responses as plain data, and helpers to decode and encode
 * them for all HTTP servers of an entry. Nothing here opens a socket.
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

/* A complete request. Its creator owns everything in it. */
struct http_request {
	enum http_method method;
	const char *path; /* percent-encoded, as it was sent */
	const char *query; /* after the "?", or "" */
	const struct http_header *headers;
	size_t headers_nr;
	GBytes *body; /* never NULL */
	char peer[CS_ADDRESS_MAX];
};

/* A response. The server takes its own reference to the body. */
struct http_response {
	int status;
	const char *content_type; /* NULL or "": application/octet-stream */
	const char *allow; /* value of the Allow header of a 405, or NULL */
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
	char message[192]; /* human-readable details, or "" */
};

const char *http_method_name(enum http_method method);

/* The reason phrase of a status that refusals use, or "Unknown". */
const char *http_status_text(int status);

/* The JSON body of a refusal. The caller releases it. */
GBytes *http_refusal_body(const struct http_refusal *refusal);

/*
 * Finds a header, ignoring case. *value is NULL if there is none. Returns
 * CS_ERR_INVALID if it occurs twice, which would be ambiguous.
 */
int http_find_header(const struct http_request *req, const char *name,
		     const char **value);

/*
 * The token of "Authorization: Bearer TOKEN": *token is NULL if there is no
 * such header. Returns CS_ERR_INVALID for anything else than one token.
 */
int http_bearer_token(const struct http_request *req, const char **token);

/* A query parameter that a request may have, with its range. */
struct http_param {
	const char *name;
	uint64_t min, max;
	uint64_t *value; /* unchanged if the parameter is absent */
};

/*
 * Parses the query. Returns CS_ERR_INVALID for an unknown or repeated name or
 * a value that is not a number in its range: with a misspelled "dry_run"
 * ignored, a trial would make a real change.
 */
int http_parse_query(const char *query, const struct http_param *params,
		     size_t nr);

/* Count a response as name{class="2xx"}, a refusal as name{reason="..."}. */
void http_count_status(struct counters *counters, const char *name, int status);
void http_count_refusal(struct counters *counters, const char *name,
			const char *reason);

/* Parses a decimal number from min to max, without sign or spaces. */
int http_parse_number(const char *s, uint64_t min, uint64_t max,
		      uint64_t *value);

/* True for 1 to size - 1 characters of [A-Za-z0-9._-]. */
bool http_is_identifier(const char *s, size_t size);

/*
 * Starts the span of this hop: a child of the caller's traceparent, or a new
 * trace if the header is absent or malformed.
 */
struct trace http_request_trace(const struct http_request *req, GRand *rng);

/* Convert "IP:PORT" or "[IPv6]:PORT" to a socket address, and back. */
int http_address_parse(const char *address, struct sockaddr_storage *sa,
		       socklen_t *len, struct cs_error *err);
void http_address_format(const struct sockaddr *sa, char out[CS_ADDRESS_MAX]);

#endif
