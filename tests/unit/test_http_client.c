#include "unit.h"

#include <errno.h>
#include <event2/event.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>

#include "../../src/base/http_client.h"
#include "../../src/base/task.h"
#include "scripted_server.h"

/* The results of the calls of one test, in the order of completion. */
struct results {
	struct event_base *base;
	size_t nr;
	enum http_result result[4];
	char steps[4][32];
};

static void on_done(void *ctx, uint64_t ref,
		    const struct http_client_response *response)
{
	struct results *results = ctx;

	(void)ref;
	results->result[results->nr] = response->result;
	g_strlcpy(results->steps[results->nr++], response->error.step, 32);
	event_base_loopbreak(results->base);
}

static atomic_bool may_reset;

static void answer_then_reset(struct scripted *s, int fd)
{
	g_free(scripted_read(s, fd));
	scripted_answer(fd, 200, "first");
	while (!atomic_load(&may_reset))
		g_usleep(1000);
	scripted_reset(fd);
}

/*
 * Guards against counting discarded bytes as sent: when a connection fails,
 * evhttp discards what it has not written, and a request of which nothing was
 * sent would be reported as unknown.
 */
static void discarded_bytes_do_not_count_as_sent(void **state)
{
	struct http_client_options options = {
		.connections_max = { 1, 1 },
		.connect_timeout_ms = 1000,
		.response_max = 1000,
	};
	struct scripted *server = scripted_start(answer_then_reset);
	struct http_call call = { .method = HTTP_CALL_POST, .path = "/" };
	struct results results = { .base = event_base_new() };
	struct http_client *client = http_client_create(results.base, &options);

	(void)state;
	call.address = scripted_address(server);
	call.deadline = task_now() + 5 * CS_SEC;
	call.body = g_bytes_new_static("work", 4);
	http_client_call(client, &call, on_done, &results, 1);
	event_base_dispatch(results.base);
	assert_int_equal(results.nr, 1);
	assert_int_equal(results.result[0], HTTP_ANSWERED);
	/* The event loop doesn't run between the call and the reset. */
	http_client_call(client, &call, on_done, &results, 2);
	atomic_store(&may_reset, true);
	g_usleep(100000);
	event_base_dispatch(results.base);
	assert_int_equal(results.nr, 2);
	assert_int_equal(results.result[1], HTTP_NOT_SENT);
	assert_string_equal(results.steps[1], "send");
	assert_int_equal(scripted_requests(server), 1);
	http_client_destroy(client);
	g_bytes_unref(call.body);
	event_base_free(results.base);
	scripted_stop(server);
}

static atomic_int close_error;

/* Reads the request, never answers, and records how the connection ends. */
static void never_answer(struct scripted *s, int fd)
{
	char byte;
	ssize_t n;

	g_free(scripted_read(s, fd));
	n = recv(fd, &byte, 1, 0);
	atomic_store(&close_error, n < 0 ? errno : 0);
}

/*
 * Guards against delivery of a call after its deadline: after a plain close the
 * kernel keeps unsent bytes and delivers them when a network partition ends, so
 * the connection must be reset.
 */
static void timed_out_call_resets_its_connection(void **state)
{
	struct http_client_options options = {
		.connections_max = { 1, 1 },
		.connect_timeout_ms = 1000,
		.response_max = 1000,
	};
	struct scripted *server = scripted_start(never_answer);
	struct http_call call = { .method = HTTP_CALL_POST, .path = "/" };
	struct results results = { .base = event_base_new() };
	struct http_client *client = http_client_create(results.base, &options);

	(void)state;
	atomic_store(&close_error, -1);
	call.address = scripted_address(server);
	call.deadline = task_now() + 200 * CS_MSEC;
	call.body = g_bytes_new_static("work", 4);
	http_client_call(client, &call, on_done, &results, 1);
	event_base_dispatch(results.base);
	assert_int_equal(results.result[0], HTTP_UNKNOWN);
	http_client_destroy(client);
	g_bytes_unref(call.body);
	event_base_free(results.base);
	scripted_stop(server);
	assert_int_equal(atomic_load(&close_error), ECONNRESET);
}

#define STALL_MS 300
#define PIECES 8
#define PIECE_PAUSE_MS 100

/* Sends a response in pieces; the second one stops in the middle. */
static void answer_in_pieces(struct scripted *s, int fd)
{
	int i, n = PIECES;

	while (true) {
		char *request = scripted_read(s, fd);

		g_free(request);
		if (!request)
			return;
		scripted_write(fd,
			       "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
			       PIECES);
		for (i = 0; i < n; i++) {
			g_usleep((gulong)PIECE_PAUSE_MS * 1000);
			scripted_write(fd, "x");
		}
		n = PIECES / 2;
	}
}

/*
 * Guards against long responses that are given up while they arrive on a slow
 * link, and against waiting until the deadline for the rest of one that
 * stopped.
 */
static void response_may_take_long_but_not_stop(void **state)
{
	struct http_client_options options = {
		.connections_max = { 1, 1 },
		.connect_timeout_ms = 1000,
		.response_max = 1000,
	};
	struct scripted *server = scripted_start(answer_in_pieces);
	struct http_call call = { .method = HTTP_CALL_GET,
				  .path = "/",
				  .stall_max = STALL_MS * CS_MSEC };
	struct results results = { .base = event_base_new() };
	struct http_client *client = http_client_create(results.base, &options);
	cs_time start = task_now();

	(void)state;
	call.address = scripted_address(server);
	call.deadline = start + 20 * CS_SEC;
	http_client_call(client, &call, on_done, &results, 1);
	event_base_dispatch(results.base);
	assert_int_equal(results.result[0], HTTP_ANSWERED);
	assert_true(task_now() - start >
		    (cs_time)PIECES * PIECE_PAUSE_MS * CS_MSEC - CS_MSEC);
	http_client_call(client, &call, on_done, &results, 2);
	event_base_dispatch(results.base);
	assert_int_equal(results.result[1], HTTP_UNKNOWN);
	assert_true(task_now() - start < 15 * CS_SEC);
	http_client_destroy(client);
	event_base_free(results.base);
	scripted_stop(server);
}

#define ENDLESS_MAX ((size_t)64 * 1024 * 1024)
/* What the sockets of both sides may hold. */
#define ENDLESS_BOUND ((size_t)24 * 1024 * 1024)

static const char *endless_start, *endless_piece;
static atomic_size_t endless_sent;

/* Sends the same piece until the client closes the connection. */
static void answer_without_end(struct scripted *s, int fd)
{
	size_t len = strlen(endless_piece), sent = 0;

	g_free(scripted_read(s, fd));
	scripted_write(fd, "%s", endless_start);
	while (sent < ENDLESS_MAX &&
	       send(fd, endless_piece, len, MSG_NOSIGNAL) == (ssize_t)len)
		sent += len;
	atomic_store(&endless_sent, sent);
}

/* Guards against a response without an end that takes all memory. */
static void response_without_end_is_cut(void **state)
{
	static const char *const cases[][2] = {
		{ "HTTP/1.1 200 OK\r\n", "X: yyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n" },
		{ "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		  "10\r\n0123456789abcdef\r\n" },
		{ "HTTP/1.1 200 OK\r\n\r\n", "0123456789abcdef" },
	};
	struct http_client_options options = {
		.connections_max = { 1, 1 },
		.connect_timeout_ms = 1000,
		.response_max = 1000,
	};
	size_t i;

	(void)state;
	for (i = 0; i < G_N_ELEMENTS(cases); i++) {
		struct http_call call = { .method = HTTP_CALL_GET,
					  .path = "/" };
		struct results results = { .base = event_base_new() };
		struct http_client *client =
			http_client_create(results.base, &options);
		struct scripted *server;

		endless_start = cases[i][0];
		endless_piece = cases[i][1];
		server = scripted_start(answer_without_end);
		call.address = scripted_address(server);
		call.deadline = task_now() + 60 * CS_SEC;
		http_client_call(client, &call, on_done, &results, 1);
		event_base_dispatch(results.base);
		assert_int_equal(results.result[0], HTTP_UNKNOWN);
		http_client_destroy(client);
		event_base_free(results.base);
		scripted_stop(server);
		assert_true(atomic_load(&endless_sent) < ENDLESS_BOUND);
	}
}

/* Host names and addresses without a port must be refused. */
static void addresses_are_numeric(void **state)
{
	char host[CS_ADDRESS_MAX];
	uint16_t port;

	(void)state;
	assert_int_equal(http_address_split("127.0.0.1:80", host, &port),
			 CS_OK);
	assert_string_equal(host, "127.0.0.1");
	assert_int_equal(port, 80);
	assert_int_equal(http_address_split("[::1]:8080", host, &port), CS_OK);
	assert_string_equal(host, "::1");
	assert_int_equal(http_address_split("host:80", host, &port),
			 CS_ERR_INVALID);
	assert_int_equal(http_address_split("127.0.0.1", host, &port),
			 CS_ERR_INVALID);
	assert_int_equal(http_address_split("", host, &port), CS_ERR_INVALID);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(discarded_bytes_do_not_count_as_sent),
		cmocka_unit_test(timed_out_call_resets_its_connection),
		cmocka_unit_test(response_may_take_long_but_not_stop),
		cmocka_unit_test(response_without_end_is_cut),
		cmocka_unit_test(addresses_are_numeric),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
