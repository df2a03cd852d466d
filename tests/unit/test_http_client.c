#include "unit.h"

#include <errno.h>
#include <event2/event.h>
#include <stdatomic.h>
#include <sys/socket.h>

#include "../../src/base/http_client.h"
#include "../../src/base/task.h"
#include "scripted_server.h"

/* The ends of the calls of one test, in order. */
struct ends {
	struct event_base *base;
	size_t nr;
	enum http_result results[4];
	char steps[4][32];
};

static void on_done(void *ctx, uint64_t ref, const struct http_answer *answer)
{
	struct ends *ends = ctx;

	(void)ref;
	ends->results[ends->nr] = answer->result;
	g_strlcpy(ends->steps[ends->nr++], answer->error.step, 32);
	event_base_loopbreak(ends->base);
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
 * evhttp discards what it has not written when a connection fails. Bytes that
 * are discarded must not count as sent, or a request that never left would be
 * reported as unknown.
 */
static void discarded_bytes_are_not_sent(void **state)
{
	struct http_client_options options = {
		.connections_max = { 1, 1 },
		.connect_timeout_ms = 1000,
		.answer_max = 1000,
	};
	struct scripted *server = scripted_start(answer_then_reset);
	struct http_call call = { .method = HTTP_POST, .path = "/" };
	struct ends ends = { .base = event_base_new() };
	struct http_client *client = http_client_create(ends.base, &options);

	(void)state;
	call.address = scripted_address(server);
	call.deadline = task_now() + 5 * CS_SEC;
	call.body = g_bytes_new_static("work", 4);
	http_client_call(client, &call, on_done, &ends, 1);
	event_base_dispatch(ends.base);
	assert_int_equal(ends.nr, 1);
	assert_int_equal(ends.results[0], HTTP_ANSWERED);
	/* The loop doesn't run between the call and the reset. */
	http_client_call(client, &call, on_done, &ends, 2);
	atomic_store(&may_reset, true);
	g_usleep(100000);
	event_base_dispatch(ends.base);
	assert_int_equal(ends.nr, 2);
	assert_int_equal(ends.results[1], HTTP_NOT_SENT);
	assert_string_equal(ends.steps[1], "send");
	assert_int_equal(scripted_requests(server), 1);
	http_client_destroy(client);
	g_bytes_unref(call.body);
	event_base_free(ends.base);
	scripted_stop(server);
}

static atomic_int end_of_given_up;

/* Reads the request, never answers, and notes how the connection ends. */
static void never_answer(struct scripted *s, int fd)
{
	char byte;
	ssize_t n;

	g_free(scripted_read(s, fd));
	n = recv(fd, &byte, 1, 0);
	atomic_store(&end_of_given_up, n < 0 ? errno : 0);
}

/*
 * A call that was given up must not be delivered later. After a plain close
 * the kernel still delivers what it holds when a partition heals, so the
 * connection has to be reset.
 */
static void given_up_call_resets_its_connection(void **state)
{
	struct http_client_options options = {
		.connections_max = { 1, 1 },
		.connect_timeout_ms = 1000,
		.answer_max = 1000,
	};
	struct scripted *server = scripted_start(never_answer);
	struct http_call call = { .method = HTTP_POST, .path = "/" };
	struct ends ends = { .base = event_base_new() };
	struct http_client *client = http_client_create(ends.base, &options);

	(void)state;
	atomic_store(&end_of_given_up, -1);
	call.address = scripted_address(server);
	call.deadline = task_now() + 200 * CS_MSEC;
	call.body = g_bytes_new_static("work", 4);
	http_client_call(client, &call, on_done, &ends, 1);
	event_base_dispatch(ends.base);
	assert_int_equal(ends.results[0], HTTP_UNKNOWN);
	http_client_destroy(client);
	g_bytes_unref(call.body);
	event_base_free(ends.base);
	scripted_stop(server);
	assert_int_equal(atomic_load(&end_of_given_up), ECONNRESET);
}

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
		cmocka_unit_test(discarded_bytes_are_not_sent),
		cmocka_unit_test(given_up_call_resets_its_connection),
		cmocka_unit_test(addresses_are_numeric),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
