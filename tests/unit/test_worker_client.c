#include "http_client.h"

#include <netinet/in.h>
#include <inttypes.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "../../src/base/error.h"
#include "../../src/base/task.h"
#include "../../src/worker/worker_client.h"
#include "scripted_server.h"

#define CONNECT_TIMEOUT_MS 500
#define SHORT_MS 200 /* a deadline that is exceeded */
#define LONG_MS 5000 /* a deadline that is not */

struct fixture {
	struct bus *bus;
	struct worker_client *client;
	struct scripted *server;
};

static void begin(struct fixture *f, void **state, script_fn script,
		  int connections_max)
{
	struct worker_client_options options = {
		.connections_max = connections_max,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
	};
	struct cs_error err;

	f->bus = bus_create(*state, &err);
	f->client = worker_client_create(&options, f->bus, &err);
	assert_non_null(f->client);
	f->server = script ? scripted_start(script) : NULL;
}

static void end(struct fixture *f)
{
	worker_client_destroy(f->client);
	if (f->server)
		scripted_stop(f->server);
	bus_destroy(f->bus);
}

static struct msg *task_msg(const char *address, cs_handle attempt,
			    const char *body, int64_t deadline_ms)
{
	struct msg *m = msg_new(MSG_TASK_START);
	struct task_start *t = &m->u.task_start;

	t->attempt = attempt;
	cs_copy(t->address, sizeof(t->address), address);
	snprintf(t->task_id, sizeof(t->task_id), "task-%" PRIu64, attempt);
	cs_copy(t->content_type, sizeof(t->content_type), "text/plain");
	t->lease_ms = 6000;
	t->decided = task_now();
	t->deadline = task_now() + deadline_ms * CS_MSEC;
	t->body = g_bytes_new(body, strlen(body));
	return m;
}

static struct msg *take_done(const struct fixture *f)
{
	return client_take(f->bus, BUS_CORE, MSG_TASK_DONE);
}

static void post(struct fixture *f, struct msg *m)
{
	assert_int_equal(bus_post(f->bus, BUS_CORE, m), CS_OK);
}

/* Sends one task to the script and returns its result. */
static struct msg *call(struct fixture *f, int64_t deadline_ms)
{
	struct msg *m;

	post(f, task_msg(scripted_address(f->server), 7, "work", deadline_ms));
	m = take_done(f);
	assert_int_equal(m->u.task_done.attempt, 7);
	return m;
}

static void expect_failure(struct msg *m, enum task_result result, int code,
			   const char *step, const char *peer)
{
	const struct task_done *d = &m->u.task_done;

	assert_int_equal(d->result, result);
	assert_int_equal(d->error.code, code);
	assert_string_equal(d->error.step, step);
	assert_string_equal(d->error.peer, peer);
	assert_null(d->body);
	msg_free(m);
}

/* Runs one call against a script whose answer is incomplete. */
static void expect_unknown(void **state, script_fn script)
{
	struct fixture f;

	begin(&f, state, script, 4);
	expect_failure(call(&f, LONG_MS), TASK_UNKNOWN, CS_ERR_IO, "receive",
		       scripted_address(f.server));
	assert_int_equal(scripted_requests(f.server), 1);
	end(&f);
}

/*
 * Guards against reporting a task as possibly run when its worker is down: a
 * request that may run once could then not be sent to another worker.
 */
static void refused_connection_is_not_sent(void **state)
{
	char address[CS_ADDRESS_MAX];
	struct fixture f;

	client_free_address(address);
	begin(&f, state, NULL, 4);
	post(&f, task_msg(address, 1, "work", LONG_MS));
	expect_failure(take_done(&f), TASK_NOT_SENT, CS_ERR_IO, "connect",
		       address);
	end(&f);
}

/* A dead host doesn't refuse the connection; it never answers the SYN. */
static void connect_timeout_is_not_sent(void **state)
{
	struct sockaddr_in sin = { .sin_family = AF_INET };
	socklen_t len = sizeof(sin);
	char address[CS_ADDRESS_MAX];
	int fds[4], listener = client_bind(address);
	struct fixture f;
	size_t i;

	begin(&f, state, NULL, 4);
	getsockname(listener, (struct sockaddr *)&sin, &len);
	listen(listener, 0);
	/* A full backlog makes the kernel drop further SYNs. */
	for (i = 0; i < 4; i++) {
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)!connect(fds[i], (struct sockaddr *)&sin, len);
	}
	post(&f, task_msg(address, 1, "work", LONG_MS));
	expect_failure(take_done(&f), TASK_NOT_SENT, CS_ERR_TIMEOUT, "connect",
		       address);
	/* The deadline may be earlier than the connect timeout. */
	post(&f, task_msg(address, 1, "work", CONNECT_TIMEOUT_MS / 3));
	expect_failure(take_done(&f), TASK_NOT_SENT, CS_ERR_TIMEOUT, "connect",
		       address);
	end(&f);
	for (i = 0; i < 4; i++)
		close(fds[i]);
	close(listener);
}

/* An address that can't be parsed must fail the call, not crash the task. */
static void malformed_address_is_not_sent(void **state)
{
	struct fixture f;

	begin(&f, state, NULL, 4);
	post(&f, task_msg("localhost", 1, "work", LONG_MS));
	expect_failure(take_done(&f), TASK_NOT_SENT, CS_ERR_INVALID, "connect",
		       "localhost");
	end(&f);
}

static atomic_bool closed_by_client;

static void silent(struct scripted *s, int fd)
{
	g_free(scripted_read(s, fd));
	atomic_store(&closed_by_client, scripted_is_closed_by_client(fd));
}

/* A call without an answer must end at its deadline and its connection too. */
static void silent_worker_is_unknown_at_deadline(void **state)
{
	struct fixture f;
	cs_time start = task_now();

	begin(&f, state, silent, 4);
	atomic_store(&closed_by_client, false);
	expect_failure(call(&f, SHORT_MS), TASK_UNKNOWN, CS_ERR_TIMEOUT,
		       "receive", scripted_address(f.server));
	assert_true(task_now() - start >= SHORT_MS * CS_MSEC);
	scripted_stop(f.server);
	f.server = NULL;
	assert_true(atomic_load(&closed_by_client));
	end(&f);
}

static void late_answer(struct scripted *s, int fd)
{
	char *request = scripted_read(s, fd);

	if (request && strstr(request, "/task-7?")) {
		g_usleep((gulong)2 * SHORT_MS * 1000);
		scripted_answer(fd, 200, "late");
	} else {
		scripted_answer(fd, 200, "on time");
	}
	g_free(request);
}

/* A late answer must not be taken for the answer to the next request. */
static void answer_after_deadline_is_dropped(void **state)
{
	struct fixture f;
	struct msg *m;

	begin(&f, state, late_answer, 4);
	expect_failure(call(&f, SHORT_MS), TASK_UNKNOWN, CS_ERR_TIMEOUT,
		       "receive", scripted_address(f.server));
	g_usleep((gulong)2 * SHORT_MS * 1000);
	post(&f, task_msg(scripted_address(f.server), 8, "work", LONG_MS));
	m = take_done(&f);
	assert_int_equal(m->u.task_done.attempt, 8);
	assert_int_equal(m->u.task_done.result, TASK_ANSWERED);
	assert_memory_equal(g_bytes_get_data(m->u.task_done.body, NULL),
			    "on time", 7);
	msg_free(m);
	end(&f);
}

static void end_lease(struct scripted *s, int fd)
{
	g_free(scripted_read(s, fd));
	scripted_answer(fd, 504, "{}");
}

/*
 * Guards against an answer "failed" to a caller whose deadline is over: the
 * worker ends the task with its lease, just before the call's own deadline.
 */
static void end_of_lease_is_no_answer(void **state)
{
	struct fixture f;
	struct msg *m;

	begin(&f, state, end_lease, 4);
	m = call(&f, LONG_MS);
	assert_true(m->u.task_done.is_lease_over);
	expect_failure(m, TASK_UNKNOWN, CS_ERR_TIMEOUT, "receive",
		       scripted_address(f.server));
	end(&f);
}

static void close_after_request(struct scripted *s, int fd)
{
	g_free(scripted_read(s, fd));
}

/* A request whose connection breaks must not be sent twice. */
static void lost_answer_is_unknown_and_not_retried(void **state)
{
	expect_unknown(state, close_after_request);
}

static void reset_in_answer(struct scripted *s, int fd)
{
	g_free(scripted_read(s, fd));
	scripted_write(fd, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
	g_usleep(20000);
	scripted_reset(fd);
}

static void reset_in_answer_is_unknown(void **state)
{
	expect_unknown(state, reset_in_answer);
}

/* An incomplete answer, and whether its connection stays open. */
struct broken_answer {
	const char *text;
	bool is_open;
};

static const struct broken_answer *broken; /* sent by send_broken() */

static void send_broken(struct scripted *s, int fd)
{
	g_free(scripted_read(s, fd));
	scripted_write(fd, "%s", broken->text);
	if (broken->is_open)
		scripted_is_closed_by_client(fd);
}

/* A truncated answer must never be passed on as a complete one. */
static void truncated_answers_are_unknown(void **state)
{
#define OK_LINE "HTTP/1.1 200 OK\r\n"
#define CHUNKS OK_LINE "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"
	static const struct broken_answer answers[] = {
		{ OK_LINE "Content-Length: 10\r\n\r\nhalf", false },
		{ CHUNKS, false },
		{ CHUNKS "zz\r\n", true },
		{ OK_LINE "Connection: close\r\n\r\nhalf", false },
		{ "HTTP/1.1 429 B\r\nContent-Length: 10\r\n\r\nhalf", false },
		{ "who are you\r\n\r\n", true },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(answers); i++) {
		broken = &answers[i];
		expect_unknown(state, send_broken);
	}
}

static void reset_without_reading(struct scripted *s, int fd)
{
	(void)s;
	g_usleep(50000);
	scripted_reset(fd);
}

/* A request of which a part was sent may have run, so it is unknown. */
static void reset_while_sending_is_unknown(void **state)
{
	char *body = g_strnfill((gsize)16 * 1024 * 1024, 'x');
	struct fixture f;
	struct msg *m;

	begin(&f, state, reset_without_reading, 4);
	post(&f, task_msg(scripted_address(f.server), 1, body, LONG_MS));
	m = take_done(&f);
	expect_failure(m, TASK_UNKNOWN, CS_ERR_IO, "send",
		       scripted_address(f.server));
	end(&f);
	g_free(body);
}

static void busy(struct scripted *s, int fd)
{
	g_free(scripted_read(s, fd));
	scripted_answer(fd, 429, "{}");
}

/* Status 429 must be told apart from an answer: the task did not run. */
static void status_429_is_refused(void **state)
{
	struct fixture f;

	begin(&f, state, busy, 4);
	expect_failure(call(&f, LONG_MS), TASK_REFUSED, CS_ERR_FULL, "receive",
		       scripted_address(f.server));
	end(&f);
}

/* Answers with the body of the request; if it is "show", with all of it. */
static void echo(struct scripted *s, int fd)
{
	char *request;
	const char *body;

	while ((request = scripted_read(s, fd))) {
		body = strstr(request, "\r\n\r\n") + 4;
		if (g_str_has_prefix(body, "show"))
			scripted_answer(fd, 200, request);
		else
			scripted_answer(fd, 200, body);
		g_free(request);
	}
}

static void chunked(struct scripted *s, int fd)
{
	g_free(scripted_read(s, fd));
	scripted_write(fd, "HTTP/1.1 500 E\r\nTransfer-Encoding: chunked\r\n"
			   "\r\n4\r\nwhol\r\n1\r\ne\r\n0\r\n\r\n");
}

/* An error status from the worker is the task's answer, not a failed call. */
static void chunked_answer_is_whole(void **state)
{
	struct fixture f;
	struct msg *m;

	begin(&f, state, chunked, 4);
	m = call(&f, LONG_MS);
	assert_int_equal(m->u.task_done.result, TASK_ANSWERED);
	assert_int_equal(m->u.task_done.status, 500);
	assert_int_equal(g_bytes_get_size(m->u.task_done.body), 5);
	msg_free(m);
	end(&f);
}

/* The worker must receive the trace, and identifiers must be escaped. */
static void request_carries_trace_and_escaped_path(void **state)
{
	struct fixture f;
	struct msg *m;
	const char *text;

	begin(&f, state, echo, 4);
	m = task_msg(scripted_address(f.server), 1, "show", LONG_MS);
	cs_copy(m->u.task_start.task_id, CS_NAME_MAX, "a/b c");
	cs_copy(m->u.task_start.checkpoint, 256, "1&x");
	m->u.task_start.work = WORK_LONG;
	m->u.task_start.trace = (struct trace){ .id_high = 0xabc,
						.id_low = 0xdef,
						.span = 5,
						.flags = 1 };
	post(&f, m);
	m = take_done(&f);
	text = g_bytes_get_data(m->u.task_done.body, NULL);
	assert_non_null(g_strstr_len(text, 200,
				     "POST /tasks/a%2Fb%20c?lease_ms=6000"
				     "&mode=long&checkpoint=1%26x HTTP/1.1"));
	assert_non_null(g_strstr_len(
		text, (gssize)g_bytes_get_size(m->u.task_done.body),
		"traceparent: 00-0000000000000abc"
		"0000000000000def-"));
	msg_free(m);
	end(&f);
}

static void shuffled(struct scripted *s, int fd)
{
	char *request;
	const char *body;

	while ((request = scripted_read(s, fd))) {
		body = strstr(request, "\r\n\r\n") + 4;
		g_usleep((g_ascii_strtoull(body, NULL, 10) * 7919 % 13) * 1000);
		scripted_answer(fd, 200, body);
		g_free(request);
	}
}

/* Answers that arrive out of order must reach their own requests. */
static void answers_out_of_order_match_their_calls(void **state)
{
	enum { CALLS = 200, CONNECTIONS = 10 };
	bool seen[CALLS + 1] = { false };
	struct fixture f;
	char body[16];
	uint64_t i, attempt;
	bool is_shuffled = false;
	struct msg *m;

	begin(&f, state, shuffled, CONNECTIONS);
	for (i = 1; i <= CALLS; i++) {
		snprintf(body, sizeof(body), "%" PRIu64, i);
		post(&f,
		     task_msg(scripted_address(f.server), i, body, LONG_MS));
	}
	for (i = 1; i <= CALLS; i++) {
		m = take_done(&f);
		assert_int_equal(m->u.task_done.result, TASK_ANSWERED);
		attempt = m->u.task_done.attempt;
		snprintf(body, sizeof(body), "%" PRIu64, attempt);
		assert_int_equal(g_bytes_get_size(m->u.task_done.body),
				 strlen(body));
		assert_memory_equal(g_bytes_get_data(m->u.task_done.body, NULL),
				    body, strlen(body));
		assert_false(seen[attempt]);
		seen[attempt] = true;
		is_shuffled |= attempt != i;
		msg_free(m);
	}
	assert_true(is_shuffled);
	assert_in_range(scripted_connections(f.server), 2, CONNECTIONS);
	assert_int_equal(scripted_requests(f.server), CALLS);
	end(&f);
}

/* A call that had no connection before its deadline must not be unknown. */
static void waiting_call_is_not_sent(void **state)
{
	struct fixture f;

	begin(&f, state, silent, 1);
	post(&f, task_msg(scripted_address(f.server), 1, "a",
			  (int64_t)2 * SHORT_MS));
	post(&f, task_msg(scripted_address(f.server), 2, "b", SHORT_MS));
	expect_failure(take_done(&f), TASK_NOT_SENT, CS_ERR_TIMEOUT, "connect",
		       scripted_address(f.server));
	expect_failure(take_done(&f), TASK_UNKNOWN, CS_ERR_TIMEOUT, "receive",
		       scripted_address(f.server));
	end(&f);
}

/*
 * Work that may run only once must not be sent over an old connection whose
 * peer may be unreachable.
 */
static void live_connection_is_recent_or_new(void **state)
{
	static const struct {
		int wait_ms;
		bool needs_live;
		int connections; /* made so far */
	} steps[] = {
		{ 0, true, 1 },
		{ 0, true, 1 }, /* it answered within the last second */
		{ 1200, false, 1 }, /* other work may reuse it */
		{ 1200, true, 2 },
	};
	struct fixture f;
	struct msg *m;
	size_t i;

	begin(&f, state, echo, 1);
	for (i = 0; i < G_N_ELEMENTS(steps); i++) {
		g_usleep((gulong)steps[i].wait_ms * 1000);
		m = task_msg(scripted_address(f.server), 1, "x", LONG_MS);
		m->u.task_start.needs_live_connection = steps[i].needs_live;
		post(&f, m);
		m = take_done(&f);
		assert_int_equal(m->u.task_done.result, TASK_ANSWERED);
		msg_free(m);
		assert_int_equal(scripted_connections(f.server),
				 steps[i].connections);
	}
	end(&f);
}

static void answer_twice(struct scripted *s, int fd)
{
	char *request;
	const char *body;

	while ((request = scripted_read(s, fd))) {
		body = strstr(request, "\r\n\r\n") + 4;
		scripted_write(
			fd,
			"HTTP/1.1 200 S\r\nContent-Length: %zu\r\n\r\n%s"
			"HTTP/1.1 200 S\r\nContent-Length: 5\r\n\r\nstray",
			strlen(body), body);
		g_free(request);
	}
}

/* evhttp would take an extra answer for the answer to the next request. */
static void stray_answer_does_not_reach_next_call(void **state)
{
	struct fixture f;
	struct msg *m;
	int i;

	begin(&f, state, answer_twice, 1);
	post(&f, task_msg(scripted_address(f.server), 1, "one", LONG_MS));
	post(&f, task_msg(scripted_address(f.server), 2, "two", LONG_MS));
	for (i = 0; i < 2; i++) {
		m = take_done(&f);
		assert_int_equal(m->u.task_done.result, TASK_ANSWERED);
		assert_int_equal(g_bytes_get_size(m->u.task_done.body), 3);
		assert_memory_equal(g_bytes_get_data(m->u.task_done.body, NULL),
				    i ? "two" : "one", 3);
		msg_free(m);
	}
	end(&f);
}

static void answer_once(struct scripted *s, int fd)
{
	g_free(scripted_read(s, fd));
	scripted_answer(fd, 200, "first");
	g_free(scripted_read(s, fd));
}

/* A request on a reused connection that breaks must not be sent again. */
static void reused_connection_that_breaks_is_unknown(void **state)
{
	struct fixture f;
	struct msg *m;

	begin(&f, state, answer_once, 4);
	m = call(&f, LONG_MS);
	assert_int_equal(m->u.task_done.result, TASK_ANSWERED);
	msg_free(m);
	expect_failure(call(&f, LONG_MS), TASK_UNKNOWN, CS_ERR_IO, "receive",
		       scripted_address(f.server));
	assert_int_equal(scripted_connections(f.server), 1);
	assert_int_equal(scripted_requests(f.server), 2);
	end(&f);
}

/* Calls that are open when the client is destroyed must still get a result. */
static void destroy_ends_open_calls(void **state)
{
	struct fixture f;

	begin(&f, state, silent, 4);
	post(&f, task_msg(scripted_address(f.server), 1, "x", LONG_MS));
	while (!scripted_requests(f.server))
		g_usleep(1000);
	worker_client_destroy(f.client);
	f.client = NULL;
	expect_failure(take_done(&f), TASK_UNKNOWN, CS_ERR_IO, "receive",
		       scripted_address(f.server));
	end(&f);
}

static void control(struct scripted *s, int fd);

/*
 * A process that was paused between the decision and the send must not start
 * the task: its permit or the key may no longer be valid.
 */
static void old_decision_is_not_sent(void **state)
{
	struct fixture f;
	struct msg *m;

	begin(&f, state, control, 4);
	m = task_msg(scripted_address(f.server), 7, "work", LONG_MS);
	m->u.task_start.decided -= 3 * CS_SEC;
	post(&f, m);
	m = take_done(&f);
	assert_int_equal(m->u.task_done.result, TASK_NOT_SENT);
	assert_int_equal(m->u.task_done.error.code, CS_ERR_STALE);
	assert_int_equal(scripted_requests(f.server), 0);
	msg_free(m);
	end(&f);
}

/* Answers control calls by their path. */
static void control(struct scripted *s, int fd)
{
	char *request;

	while ((request = scripted_read(s, fd))) {
		if (strstr(request, "/good/renew?lease_ms=6000 "))
			scripted_answer(fd, 200,
					"{\"state\":\"stopped\",\"progress\":40"
					",\"checkpoint\":\"c4\"}");
		else if (strstr(request, "/good/checkpoint "))
			scripted_answer(fd, 200,
					"{\"state\":\"running\",\"progress\":50"
					",\"checkpoint\":\"c5\"}");
		else if (strstr(request, "/good/stop "))
			scripted_answer(
				fd, 200,
				"{\"state\":\"done\",\"progress\":100}");
		else if (strstr(request, "/good/result "))
			scripted_answer(fd, 200, "result");
		else if (strstr(request, "/bad/"))
			scripted_answer(fd, 200,
					"{\"state\":\"running\",\"progress\":"
					"\"much\"}");
		else if (strstr(request, "GET /usage "))
			scripted_answer(fd, 200,
					"{\"slots\":8,\"running\":3,"
					"\"age_ms\":1000}");
		else
			scripted_answer(fd, 404, "{}");
		g_free(request);
	}
}

static struct msg *control_call(struct fixture *f, enum task_op op,
				const char *task)
{
	struct msg *m = msg_new(MSG_TASK_CONTROL);

	m->u.task_control.attempt = 3;
	m->u.task_control.op = op;
	m->u.task_control.lease_ms = 6000;
	cs_copy(m->u.task_control.address, CS_ADDRESS_MAX,
		scripted_address(f->server));
	cs_copy(m->u.task_control.task_id, CS_NAME_MAX, task);
	post(f, m);
	m = client_take(f->bus, BUS_CORE, MSG_TASK_CONTROL_DONE);
	assert_int_equal(m->u.task_control_done.attempt, 3);
	assert_int_equal(m->u.task_control_done.op, op);
	return m;
}

/* A malformed control answer must not be taken for a state of the task. */
static void control_calls_report_task_state(void **state)
{
	struct fixture f;
	struct msg *m;

	begin(&f, state, control, 4);
	m = control_call(&f, TASK_RENEW, "good");
	assert_int_equal(m->u.task_control_done.code, CS_OK);
	assert_int_equal(m->u.task_control_done.state, TASK_STATE_STOPPED);
	assert_int_equal(m->u.task_control_done.progress, 40);
	assert_string_equal(m->u.task_control_done.checkpoint, "c4");
	msg_free(m);
	m = control_call(&f, TASK_CHECKPOINT, "good");
	assert_int_equal(m->u.task_control_done.code, CS_OK);
	assert_string_equal(m->u.task_control_done.checkpoint, "c5");
	msg_free(m);
	/* A task that ended before its stop must not run again. */
	m = control_call(&f, TASK_STOP, "good");
	assert_int_equal(m->u.task_control_done.code, CS_OK);
	assert_int_equal(m->u.task_control_done.state, TASK_STATE_DONE);
	msg_free(m);
	m = control_call(&f, TASK_RESULT, "good");
	assert_int_equal(m->u.task_control_done.code, CS_OK);
	assert_int_equal(g_bytes_get_size(m->u.task_control_done.body), 6);
	msg_free(m);
	m = control_call(&f, TASK_RENEW, "bad");
	assert_int_equal(m->u.task_control_done.code, CS_ERR_IO);
	msg_free(m);
	m = control_call(&f, TASK_STOP, "other");
	assert_int_equal(m->u.task_control_done.code, CS_OK);
	assert_int_equal(m->u.task_control_done.state, TASK_STATE_MISSING);
	msg_free(m);
	m = msg_new(MSG_USAGE_POLL);
	m->u.usage_poll.worker = 9;
	cs_copy(m->u.usage_poll.address, CS_ADDRESS_MAX,
		scripted_address(f.server));
	post(&f, m);
	m = client_take(f.bus, BUS_CORE, MSG_USAGE);
	assert_int_equal(m->u.usage.worker, 9);
	assert_int_equal(m->u.usage.code, CS_OK);
	assert_int_equal(m->u.usage.running, 3);
	assert_int_equal(m->u.usage.age_ms, 1000);
	msg_free(m);
	end(&f);
}

/* Operators must be able to count results by kind. */
static void metrics_count_results(void **state)
{
	struct fixture f;
	char *text;

	begin(&f, state, busy, 4);
	msg_free(call(&f, LONG_MS));
	text = client_metrics(f.bus, BUS_WORKER);
	assert_non_null(strstr(text, "camphorshed_worker_tasks_total{"
				     "result=\"refused\"} 1\n"));
	g_free(text);
	end(&f);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(refused_connection_is_not_sent),
		cmocka_unit_test(connect_timeout_is_not_sent),
		cmocka_unit_test(malformed_address_is_not_sent),
		cmocka_unit_test(silent_worker_is_unknown_at_deadline),
		cmocka_unit_test(answer_after_deadline_is_dropped),
		cmocka_unit_test(end_of_lease_is_no_answer),
		cmocka_unit_test(lost_answer_is_unknown_and_not_retried),
		cmocka_unit_test(reset_in_answer_is_unknown),
		cmocka_unit_test(truncated_answers_are_unknown),
		cmocka_unit_test(reset_while_sending_is_unknown),
		cmocka_unit_test(status_429_is_refused),
		cmocka_unit_test(chunked_answer_is_whole),
		cmocka_unit_test(request_carries_trace_and_escaped_path),
		cmocka_unit_test(answers_out_of_order_match_their_calls),
		cmocka_unit_test(waiting_call_is_not_sent),
		cmocka_unit_test(live_connection_is_recent_or_new),
		cmocka_unit_test(reused_connection_that_breaks_is_unknown),
		cmocka_unit_test(stray_answer_does_not_reach_next_call),
		cmocka_unit_test(destroy_ends_open_calls),
		cmocka_unit_test(old_decision_is_not_sent),
		cmocka_unit_test(control_calls_report_task_state),
		cmocka_unit_test(metrics_count_results),
	};

	return cmocka_run_group_tests(tests, client_open_log, client_close_log);
}
