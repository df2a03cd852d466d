#include "http_util.h"

#include <arpa/inet.h>
#include <event2/util.h>
#include <jansson.h>
#include <netinet/in.h>
#include <string.h>

#include "error.h"
#include "json.h"

/* Longest bearer token. Keys are far shorter; it bounds the cost of hashing. */
#define TOKEN_MAX 512

const char *http_method_name(enum http_method method)
{
	static const char *const names[HTTP_METHOD_NR] = {
		"GET", "HEAD", "POST", "PUT", "DELETE", "OTHER",
	};

	return (unsigned)method < HTTP_METHOD_NR ? names[method] : "OTHER";
}

const char *http_status_text(int status)
{
	switch (status) {
	case 400:
		return "Bad Request";
	case 408:
		return "Request Timeout";
	case 413:
		return "Content Too Large";
	case 431:
		return "Request Header Fields Too Large";
	case 503:
		return "Service Unavailable";
	default:
		return "Unknown";
	}
}

/* Adds a string field. Bytes of the input that are not UTF-8 are replaced. */
static void set_string(json_t *object, const char *name, const char *text)
{
	char *valid = g_utf8_make_valid(text ? text : "", -1);

	json_object_set_new(object, name, json_string(valid));
	g_free(valid);
}

GBytes *http_refusal_body(const struct http_refusal *r)
{
	json_t *object = json_object();
	GBytes *body;

	set_string(object, "error", r->reason);
	set_string(object, "outcome", r->outcome);
	set_string(object, "step", r->step);
	set_string(object, "peer", r->peer);
	if (r->retry_after_ms > 0)
		json_object_set_new(object, "retry_after_ms",
				    json_integer(r->retry_after_ms));
	if (*r->message)
		set_string(object, "message", r->message);
	body = json_to_bytes(object, 0);
	return body ? body : g_bytes_new_static("{}", 2);
}

int http_find_header(const struct http_request *req, const char *name,
		     const char **value)
{
	size_t i;

	*value = NULL;
	for (i = 0; i < req->headers_nr; i++) {
		if (g_ascii_strcasecmp(req->headers[i].name, name))
			continue;
		if (*value)
			return CS_ERR_INVALID;
		*value = req->headers[i].value;
	}
	return CS_OK;
}

int http_bearer_token(const struct http_request *req, const char **token)
{
	static const char scheme[] = "Bearer ";
	const char *value, *p;

	*token = NULL;
	if (http_find_header(req, "Authorization", &value))
		return CS_ERR_INVALID;
	if (!value)
		return CS_OK;
	if (g_ascii_strncasecmp(value, scheme, sizeof(scheme) - 1))
		return CS_ERR_INVALID;
	value += sizeof(scheme) - 1;
	for (p = value; *p; p++)
		if (!g_ascii_isgraph(*p))
			return CS_ERR_INVALID;
	if (p == value || p - value > TOKEN_MAX)
		return CS_ERR_INVALID;
	*token = value;
	return CS_OK;
}

void http_count_status(struct counters *counters, const char *name, int status)
{
	char labels[32];

	g_snprintf(labels, sizeof(labels), "class=\"%dxx\"", status / 100);
	counters_add(counters, name, labels, 1);
}

/*
 * The reason may come from another entry, and a quote in it would break the
 * metrics text, so anything but an identifier is counted as "other".
 */
void http_count_refusal(struct counters *counters, const char *name,
			const char *reason)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "reason=\"%s\"",
		   http_is_identifier(reason, 33) ? reason : "other");
	counters_add(counters, name, labels, 1);
}

int http_parse_number(const char *s, uint64_t min, uint64_t max,
		      uint64_t *value)
{
	guint64 v;

	/* g_ascii_string_to_unsigned() accepts leading spaces. */
	if (!g_ascii_isdigit(*s) ||
	    !g_ascii_string_to_unsigned(s, 10, min, max, &v, NULL))
		return CS_ERR_INVALID;
	*value = v;
	return CS_OK;
}

/*
 * Parses one name=value pair. Returns CS_ERR_INVALID for an unknown or repeated
 * name or a value out of range. seen has one bit per parameter.
 */
static int parse_param(const char *pair, const struct http_param *params,
		       size_t nr, uint64_t *seen)
{
	const char *equals = strchr(pair, '=');
	size_t i, len;

	if (!equals)
		return CS_ERR_INVALID;
	len = (size_t)(equals - pair);
	for (i = 0; i < nr; i++) {
		if (strlen(params[i].name) != len ||
		    strncmp(params[i].name, pair, len))
			continue;
		if (*seen & (UINT64_C(1) << i))
			return CS_ERR_INVALID;
		*seen |= UINT64_C(1) << i;
		return http_parse_number(equals + 1, params[i].min,
					 params[i].max, params[i].value);
	}
	return CS_ERR_INVALID;
}

int http_parse_query(const char *query, const struct http_param *params,
		     size_t nr)
{
	uint64_t seen = 0;
	int code = CS_OK;
	char **pairs;
	size_t i;

	if (!*query)
		return CS_OK;
	pairs = g_strsplit(query, "&", -1);
	for (i = 0; pairs[i] && !code; i++)
		code = parse_param(pairs[i], params, nr, &seen);
	g_strfreev(pairs);
	return code;
}

bool http_is_identifier(const char *s, size_t size)
{
	size_t i;

	for (i = 0; s[i]; i++)
		if (i + 1 >= size ||
		    (!g_ascii_isalnum(s[i]) && !strchr("._-", s[i])))
			return false;
	return i > 0;
}

struct trace http_request_trace(const struct http_request *req, GRand *rng)
{
	struct trace parent;
	const char *value;

	if (http_find_header(req, "traceparent", &value) || !value ||
	    trace_parse(&parent, value))
		return trace_begin(rng);
	return trace_child(&parent, rng);
}

int http_address_parse(const char *address, struct sockaddr_storage *sa,
		       socklen_t *len, struct cs_error *err)
{
	const char *colon = strrchr(address, ':');
	uint64_t port;
	int size = sizeof(*sa);

	memset(sa, 0, sizeof(*sa));
	if (!colon || http_parse_number(colon + 1, 0, 65535, &port) ||
	    evutil_parse_sockaddr_port(address, (struct sockaddr *)sa, &size))
		return cs_error_set(err, CS_ERR_INVALID, "address", address,
				    "expected IP:PORT or [IPv6]:PORT");
	*len = (socklen_t)size;
	return CS_OK;
}

void http_address_format(const struct sockaddr *sa, char out[CS_ADDRESS_MAX])
{
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)sa;
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)sa;
	char ip[INET6_ADDRSTRLEN] = "";

	if (sa->sa_family == AF_INET6) {
		inet_ntop(AF_INET6, &v6->sin6_addr, ip, sizeof(ip));
		g_snprintf(out, CS_ADDRESS_MAX, "[%s]:%u", ip,
			   ntohs(v6->sin6_port));
	} else {
		inet_ntop(AF_INET, &v4->sin_addr, ip, sizeof(ip));
		g_snprintf(out, CS_ADDRESS_MAX, "%s:%u", ip,
			   ntohs(v4->sin_port));
	}
}
