#include "ctl_http.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <string.h>

#include "../base/error.h"

/* Largest body of a response, in bytes. Fleet documents have at most 1 MB. */
#define RESPONSE_MAX ((ev_ssize_t)16 * 1024 * 1024)

/* Result of a call, filled by the callbacks of libevent. */
struct call_state {
	struct ctl_response *response;
	struct event_base *base;
	enum evhttp_request_error error;
	bool has_error;
	bool has_response;
};

static void on_error(enum evhttp_request_error error, void *arg)
{
	struct call_state *st = arg;

	st->error = error;
	st->has_error = true;
}

/* request is NULL, or its status 0, if no complete response arrived. */
static void on_done(struct evhttp_request *request, void *arg)
{
	struct call_state *st = arg;
	struct evbuffer *in;
	size_t len;
	void *data;

	if (request && evhttp_request_get_response_code(request)) {
		in = evhttp_request_get_input_buffer(request);
		len = evbuffer_get_length(in);
		data = g_malloc(len);
		evbuffer_remove(in, data, len);
		st->response->status =
			evhttp_request_get_response_code(request);
		st->response->body = g_bytes_new_take(data, len);
		st->has_response = true;
	}
	event_base_loopbreak(st->base);
}

/* Splits "10.0.0.1:80" or "[::1]:80" into host, without brackets, and port. */
static int split_address(const char *address, char *host, size_t size,
			 uint16_t *port, struct cs_error *err)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);

	if (evutil_parse_sockaddr_port(address, (struct sockaddr *)&addr, &len))
		return cs_error_set(err, CS_ERR_INVALID, "connect", address,
				    "not an address");
	if (addr.ss_family == AF_INET6) {
		struct sockaddr_in6 *a = (struct sockaddr_in6 *)&addr;

		inet_ntop(AF_INET6, &a->sin6_addr, host, (socklen_t)size);
		*port = ntohs(a->sin6_port);
	} else {
		struct sockaddr_in *a = (struct sockaddr_in *)&addr;

		inet_ntop(AF_INET, &a->sin_addr, host, (socklen_t)size);
		*port = ntohs(a->sin_port);
	}
	return CS_OK;
}

static enum evhttp_cmd_type method_of(const char *name)
{
	if (!strcmp(name, "POST"))
		return EVHTTP_REQ_POST;
	return strcmp(name, "PUT") ? EVHTTP_REQ_GET : EVHTTP_REQ_PUT;
}

/* Builds the request and passes it to conn, which then owns it. */
static int start_request(const struct ctl_call *call,
			 struct evhttp_connection *conn, struct call_state *st,
			 struct cs_error *err)
{
	struct evhttp_request *request = evhttp_request_new(on_done, st);
	struct evkeyvalq *headers;
	char *bearer;

	if (!request)
		return cs_error_set(err, CS_ERR_NOMEM, "request", call->address,
				    "out of memory");
	evhttp_request_set_error_cb(request, on_error);
	headers = evhttp_request_get_output_headers(request);
	evhttp_add_header(headers, "Host", call->address);
	evhttp_add_header(headers, "Connection", "close");
	if (call->token) {
		bearer = g_strconcat("Bearer ", call->token, NULL);
		evhttp_add_header(headers, "Authorization", bearer);
		g_free(bearer);
	}
	if (call->body) {
		evhttp_add_header(headers, "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(request),
			     g_bytes_get_data(call->body, NULL),
			     g_bytes_get_size(call->body));
	}
	if (evhttp_make_request(conn, request, method_of(call->method),
				call->path))
		return cs_error_set(err, CS_ERR_IO, "request", call->address,
				    "cannot send the request");
	return CS_OK;
}

static int set_call_error(const struct ctl_call *call,
			  const struct call_state *st, struct cs_error *err)
{
	if (st->has_error && st->error == EVREQ_HTTP_TIMEOUT)
		return cs_error_set(err, CS_ERR_TIMEOUT, "answer",
				    call->address, "no answer within %d s",
				    call->timeout_s);
	if (st->has_error)
		return cs_error_set(err, CS_ERR_IO, "answer", call->address,
				    "incomplete or invalid answer");
	return cs_error_set(err, CS_ERR_IO, "connect", call->address,
			    "cannot connect");
}

int ctl_http_call(const struct ctl_call *call, struct ctl_response *response,
		  struct cs_error *err)
{
	struct call_state st = { .response = response };
	struct evhttp_connection *conn = NULL;
	uint16_t port = 0;
	char host[64];
	int code;

	memset(response, 0, sizeof(*response));
	code = split_address(call->address, host, sizeof(host), &port, err);
	if (code)
		return code;
	st.base = event_base_new();
	if (st.base)
		conn = evhttp_connection_base_new(st.base, NULL, host, port);
	if (!conn) {
		code = cs_error_set(err, CS_ERR_NOMEM, "connect", call->address,
				    "out of memory");
		goto out;
	}
	evhttp_connection_set_timeout(conn, call->timeout_s);
	evhttp_connection_set_retries(conn, 0);
	evhttp_connection_set_max_body_size(conn, RESPONSE_MAX);
	code = start_request(call, conn, &st, err);
	if (code)
		goto out;
	event_base_dispatch(st.base);
	if (!st.has_response) {
		code = set_call_error(call, &st, err);
		response->is_sent = st.has_error;
	}
out:
	if (conn)
		evhttp_connection_free(conn);
	if (st.base)
		event_base_free(st.base);
	return code;
}
