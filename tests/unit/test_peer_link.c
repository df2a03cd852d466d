#include "http_client.h"

#include <arpa/inet.h>
#include <poll.h>

#include "../../src/base/error.h"
#include "../../src/base/task.h"
#include "../../src/peer/peer_codec.h"
#include "../../src/peer/peer_handshake.h"
#include "../../src/peer/peer_link.h"

/* Timeout for events that must occur. */
#define WAIT (5 * CS_SEC)

/* A body that takes many reads, as long as the platform's longest value. */
#define BODY_LEN ((size_t)1024 * 1024)

/* An entry's link; the test takes the place of its core. */
struct test_entry {
	struct peer_link_options options;
	struct entry_peer peers[2];
	struct bus *bus;
	struct peer_link *link;
	GQueue unmatched; /* messages received while waiting for others */
};

static struct test_entry entries[3];

static void start_link(struct test_entry *e)
{
	struct cs_error err = { 0 };

	e->link = peer_link_create(&e->options, e->bus, &err);
	if (!e->link)
		fail_msg("%s: %s", err.step, err.message);
}

/* Configures three entries that know each other; no link is started. */
static int set_up(void **state)
{
	int i, j, k;

	(void)state;
	memset(entries, 0, sizeof(entries));
	for (i = 0; i < 3; i++) {
		struct peer_link_options *o = &entries[i].options;

		g_snprintf(o->id, sizeof(o->id), "e%d", i + 1);
		g_snprintf(o->data_centre, sizeof(o->data_centre), "dc%d", i);
		client_free_address(o->address);
		o->incarnation = 100;
		memset(o->secret, 's', sizeof(o->secret));
		entries[i].bus = bus_create(NULL, NULL);
	}
	for (i = 0; i < 3; i++) {
		for (j = k = 0; j < 3; j++) {
			struct entry_peer *p = &entries[i].peers[k];

			if (i == j)
				continue;
			cs_copy(p->id, sizeof(p->id), entries[j].options.id);
			cs_copy(p->data_centre, sizeof(p->data_centre),
				entries[j].options.data_centre);
			cs_copy(p->address, sizeof(p->address),
				entries[j].options.address);
			k++;
		}
		entries[i].options.peers = entries[i].peers;
		entries[i].options.peers_nr = 2;
	}
	return 0;
}

static int tear_down(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < 3; i++) {
		peer_link_destroy(entries[i].link);
		g_queue_clear_full(&entries[i].unmatched, msg_free_item);
		bus_destroy(entries[i].bus);
	}
	return 0;
}

typedef bool (*match_fn)(const struct msg *msg, const void *arg);

static struct msg *find_unmatched(struct test_entry *e, match_fn match,
				  const void *arg)
{
	GList *l;
	struct msg *msg;

	for (l = e->unmatched.head; l; l = l->next) {
		msg = l->data;
		if (match(msg, arg)) {
			g_queue_delete_link(&e->unmatched, l);
			return msg;
		}
	}
	return NULL;
}

/* Returns the first message to the core that matches, or NULL after limit. */
static struct msg *wait_msg(struct test_entry *e, match_fn match,
			    const void *arg, cs_time limit)
{
	struct mailbox *box = bus_mailbox(e->bus, BUS_CORE);
	struct pollfd p = { .fd = mailbox_fd(box), .events = POLLIN };
	cs_time end = task_now() + limit, left;
	struct msg *msg;
	void *item;

	while (!(msg = find_unmatched(e, match, arg))) {
		left = end - task_now();
		if (left <= 0)
			return NULL;
		poll(&p, 1, (int)(left / CS_MSEC) + 1);
		while (mailbox_take(box, &item, 1))
			g_queue_push_tail(&e->unmatched, item);
	}
	return msg;
}

struct state_key {
	const char *peer;
	bool is_up;
};

static bool is_state(const struct msg *msg, const void *arg)
{
	const struct state_key *k = arg;

	return msg->type == MSG_PEER_STATE &&
	       msg->u.peer_state.is_up == k->is_up &&
	       !strcmp(msg->u.peer_state.peer, k->peer);
}

/* Waits for the state and returns its incarnation, or 0 after limit. */
static uint64_t wait_state(struct test_entry *e, const char *peer, bool is_up,
			   cs_time limit)
{
	struct state_key key = { peer, is_up };
	struct msg *msg = wait_msg(e, is_state, &key, limit);
	uint64_t incarnation = msg ? msg->u.peer_state.incarnation : 0;

	msg_free(msg);
	return incarnation;
}

static bool is_kind(const struct msg *msg, const void *arg)
{
	return msg->type == MSG_PEER &&
	       msg->u.peer.kind == *(const enum peer_kind *)arg;
}

static struct msg *wait_kind(struct test_entry *e, enum peer_kind kind,
			     cs_time limit)
{
	return wait_msg(e, is_kind, &kind, limit);
}

static struct msg *new_peer_msg(enum peer_kind kind, const char *to,
				uint64_t ref)
{
	struct msg *msg = msg_new(MSG_PEER);

	msg->u.peer.kind = kind;
	msg->u.peer.ref = ref;
	msg->u.peer.incarnation = 999; /* the receiver must ignore this */
	cs_copy(msg->u.peer.peer, sizeof(msg->u.peer.peer), to);
	return msg;
}

static void send_kind(struct test_entry *e, enum peer_kind kind, const char *to)
{
	bus_post(e->bus, BUS_CORE, new_peer_msg(kind, to, 5));
}

static void connect_first_two(void)
{
	start_link(&entries[0]);
	start_link(&entries[1]);
	assert_int_equal(wait_state(&entries[0], "e2", true, WAIT), 100);
	assert_int_equal(wait_state(&entries[1], "e1", true, WAIT), 100);
}

/* Returns the value of one of the link's counters, or -1 if there is none. */
static int64_t metric(struct test_entry *e, const char *name)
{
	char *text = client_metrics(e->bus, BUS_PEER);
	char **lines = g_strsplit(text, "\n", -1);
	int64_t value = -1;
	int i;

	for (i = 0; lines[i]; i++)
		if (g_str_has_prefix(lines[i], name))
			value = g_ascii_strtoll(lines[i] + strlen(name), NULL,
						10);
	g_strfreev(lines);
	g_free(text);
	return value;
}

/*
 * The sender of a received message is the one of the handshake, not one that
 * the message claims.
 */
static void messages_pass_both_ways(void **state)
{
	struct msg *msg;
	int i;

	(void)state;
	for (i = 0; i < 3; i++)
		start_link(&entries[i]);
	for (i = 0; i < 3; i++) {
		assert_int_equal(wait_state(&entries[i], entries[i].peers[0].id,
					    true, WAIT),
				 100);
		assert_int_equal(wait_state(&entries[i], entries[i].peers[1].id,
					    true, WAIT),
				 100);
	}
	send_kind(&entries[0], PEER_CLAIM, "e3");
	send_kind(&entries[2], PEER_CONFIG_ACK, "e1");
	msg = wait_kind(&entries[2], PEER_CLAIM, WAIT);
	assert_non_null(msg);
	assert_string_equal(msg->u.peer.peer, "e1");
	assert_int_equal(msg->u.peer.incarnation, 100);
	assert_int_equal(msg->u.peer.ref, 5);
	msg_free(msg);
	msg = wait_kind(&entries[0], PEER_CONFIG_ACK, WAIT);
	assert_non_null(msg);
	assert_string_equal(msg->u.peer.peer, "e3");
	msg_free(msg);
	assert_int_equal(metric(&entries[0], "peer_messages_total{direction="
					     "\"out\",kind=\"claim\"} "),
			 1);
	assert_int_equal(metric(&entries[0], "peers_up "), 2);
	assert_int_equal(metric(&entries[0], "peer_connects_total "), 2);
}

/* A document of 1 MB must arrive unchanged although it takes many reads. */
static void large_message_passes(void **state)
{
	struct msg *msg = new_peer_msg(PEER_CONFIG, "e2", 1);
	uint8_t *data = g_malloc(BODY_LEN);
	GBytes *body;

	(void)state;
	memset(data, 'd', BODY_LEN);
	body = g_bytes_new_take(data, BODY_LEN);
	msg->u.peer.u.config.document = g_bytes_ref(body);
	connect_first_two();
	bus_post(entries[0].bus, BUS_CORE, msg);
	msg = wait_kind(&entries[1], PEER_CONFIG, WAIT);
	assert_non_null(msg);
	assert_true(g_bytes_equal(msg->u.peer.u.config.document, body));
	msg_free(msg);
	g_bytes_unref(body);
}

/* A peer with another secret must not be reported as up to either core. */
static void wrong_secret_is_refused(void **state)
{
	(void)state;
	entries[1].options.secret[31] ^= 1;
	start_link(&entries[0]);
	start_link(&entries[1]);
	assert_int_equal(wait_state(&entries[0], "e2", true, CS_SEC / 2), 0);
	assert_int_equal(wait_state(&entries[1], "e1", true, 0), 0);
	assert_true(metric(&entries[0], "peer_handshake_failures_total"
					"{reason=\"denied\"} ") >= 1 ||
		    metric(&entries[1], "peer_handshake_failures_total"
					"{reason=\"denied\"} ") >= 1);
}

/*
 * A peer in another data centre than the settings say must be refused, or it
 * would get the wrong permits.
 */
static void wrong_data_centre_is_refused(void **state)
{
	(void)state;
	cs_copy(entries[1].options.data_centre,
		sizeof(entries[1].options.data_centre), "elsewhere");
	start_link(&entries[0]);
	start_link(&entries[1]);
	assert_int_equal(wait_state(&entries[0], "e2", true, CS_SEC / 2), 0);
	assert_int_equal(wait_state(&entries[1], "e1", true, 0), 0);
}

/*
 * After a restart of a peer the core must be told that it is down, and then
 * that it is up with the new incarnation.
 */
static void restart_shows_the_newer_incarnation(void **state)
{
	int i;

	(void)state;
	connect_first_two();
	for (i = 0; i < 2; i++) {
		struct test_entry *other = &entries[!i];
		const char *id = entries[i].options.id;

		peer_link_destroy(entries[i].link);
		assert_int_equal(wait_state(other, id, false, WAIT), 100);
		entries[i].options.incarnation = 101;
		start_link(&entries[i]);
		assert_int_equal(wait_state(other, id, true, WAIT), 101);
		assert_true(
			wait_state(&entries[i], other->options.id, true, WAIT));
	}
	/* A process with an older incarnation must be refused. */
	peer_link_destroy(entries[1].link);
	assert_int_equal(wait_state(&entries[0], "e2", false, WAIT), 101);
	entries[1].options.incarnation = 100;
	start_link(&entries[1]);
	assert_int_equal(wait_state(&entries[0], "e2", true, CS_SEC), 0);
}

/*
 * A connection without traffic must be closed, and one with heartbeats must
 * stay open.
 */
static void silent_peer_is_closed(void **state)
{
	cs_time began;
	int i;

	(void)state;
	connect_first_two();
	began = task_now();
	for (i = 0; i < 5; i++) {
		send_kind(&entries[0], PEER_HEARTBEAT, "e2");
		send_kind(&entries[1], PEER_HEARTBEAT, "e1");
		assert_int_equal(
			wait_state(&entries[0], "e2", false, CS_SEC / 2), 0);
	}
	assert_int_equal(wait_state(&entries[0], "e2", false, WAIT), 100);
	assert_in_range(task_now() - began, 3 * CS_SEC, 6 * CS_SEC);
	assert_int_equal(wait_state(&entries[1], "e1", false, WAIT), 100);
	assert_int_equal(wait_state(&entries[0], "e2", true, WAIT), 100);
}

static void expect_not_run(struct test_entry *e, uint64_t ref,
			   const char *reason)
{
	struct msg *msg = wait_kind(e, PEER_FORWARD_REPLY, WAIT);

	assert_non_null(msg);
	assert_int_equal(msg->u.peer.ref, ref);
	assert_int_equal(msg->u.peer.u.forward_reply.outcome, OUTCOME_NOT_RUN);
	assert_int_equal(msg->u.peer.u.forward_reply.caller, 42);
	assert_string_equal(msg->u.peer.u.forward_reply.reason, reason);
	msg_free(msg);
}

static struct msg *new_forward(const char *to, uint64_t ref, size_t len)
{
	struct msg *msg = new_peer_msg(PEER_FORWARD, to, ref);

	msg->u.peer.u.forward.caller = 42;
	msg->u.peer.u.forward.body = g_bytes_new_take(g_malloc0(len), len);
	return msg;
}

/* A request that was not sent must be answered, or its caller would wait. */
static void dropped_forward_is_answered_not_run(void **state)
{
	(void)state;
	start_link(&entries[0]);
	bus_post(entries[0].bus, BUS_CORE, new_forward("e2", 7, 1));
	expect_not_run(&entries[0], 7, "peer_down");
	bus_post(entries[0].bus, BUS_CORE, new_forward("nobody", 8, 1));
	expect_not_run(&entries[0], 8, "peer_down");
	send_kind(&entries[0], PEER_CLAIM, "e2");
	start_link(&entries[1]);
	assert_int_equal(wait_state(&entries[0], "e2", true, WAIT), 100);
	bus_post(entries[0].bus, BUS_CORE,
		 new_forward("e2", 9, PEER_FRAME_MAX));
	expect_not_run(&entries[0], 9, "too_large");
	assert_int_equal(metric(&entries[0], "peer_drops_total{kind=\"claim\","
					     "reason=\"peer_down\"} "),
			 1);
	assert_null(wait_kind(&entries[1], PEER_CLAIM, 0));
}

/* Reads until the other side closes; returns false after limit. */
static bool is_closed_within(int fd, cs_time limit)
{
	struct pollfd p = { .fd = fd, .events = POLLIN };
	cs_time end = task_now() + limit;
	char buf[4096];

	while (task_now() < end)
		if (poll(&p, 1, 100) == 1 && read(fd, buf, sizeof(buf)) <= 0)
			return true;
	return false;
}

static void write_frame(int fd, GBytes *content)
{
	gsize len;
	const void *data = g_bytes_get_data(content, &len);
	uint32_t head = htonl((uint32_t)len);

	assert_int_equal(write(fd, &head, 4), 4);
	assert_int_equal(write(fd, data, len), len);
	g_bytes_unref(content);
}

/*
 * The link must close connections without a valid handshake: a silent one after
 * 2 s, one with a frame that is too long, and one that sends a message instead
 * of a proof.
 */
static void unauthenticated_connections_are_closed(void **state)
{
	struct peer_hello hello = { .id = "e1", .data_centre = "dc0" };
	struct peer_msg claim = { .kind = PEER_CLAIM };
	int silent, large, unproved;

	(void)state;
	start_link(&entries[1]);
	silent = client_send(entries[1].options.address, "");
	large = client_send(entries[1].options.address, "");
	assert_int_equal(write(large, "\0\1\0\0", 4), 4);
	assert_true(is_closed_within(large, CS_SEC));
	unproved = client_send(entries[1].options.address, "");
	write_frame(unproved, peer_hello_encode(&hello));
	write_frame(unproved, peer_encode(&claim));
	assert_true(is_closed_within(unproved, CS_SEC));
	assert_true(is_closed_within(silent, 4 * CS_SEC));
	assert_null(wait_kind(&entries[1], PEER_CLAIM, 0));
	assert_int_equal(wait_state(&entries[1], "e1", true, 0), 0);
	close(silent);
	close(large);
	close(unproved);
}

/* Connects as e1 and exchanges hellos; *proof is set to the proof to send. */
static int raw_hello(struct test_entry *e, uint64_t incarnation, GBytes **proof)
{
	struct peer_hello mine = { .id = "e1",
				   .data_centre = "dc0",
				   .incarnation = incarnation };
	struct peer_hello theirs;
	uint8_t buf[PEER_HANDSHAKE_FRAME_MAX];
	int fd = client_send(e->options.address, "");
	uint32_t head;

	write_frame(fd, peer_hello_encode(&mine));
	assert_int_equal(recv(fd, &head, 4, MSG_WAITALL), 4);
	assert_in_range(ntohl(head), 1, sizeof(buf));
	assert_int_equal(recv(fd, buf, ntohl(head), MSG_WAITALL), ntohl(head));
	assert_int_equal(peer_hello_decode(buf, ntohl(head), &theirs, NULL),
			 CS_OK);
	*proof = peer_proof_encode(e->options.secret, PEER_ROLE_INITIATOR,
				   &mine, &theirs);
	return fd;
}

static int raw_handshake(struct test_entry *e)
{
	GBytes *proof;
	int fd = raw_hello(e, 100, &proof);

	write_frame(fd, proof);
	assert_int_equal(wait_state(e, "e1", true, WAIT), 100);
	return fd;
}

/* A slow handshake of an old process must not replace its successor. */
static void older_incarnation_is_refused(void **state)
{
	GBytes *old_proof, *new_proof;
	int old, new;

	(void)state;
	start_link(&entries[1]);
	old = raw_hello(&entries[1], 100, &old_proof);
	new = raw_hello(&entries[1], 101, &new_proof);
	write_frame(new, new_proof);
	assert_int_equal(wait_state(&entries[1], "e1", true, WAIT), 101);
	write_frame(old, old_proof);
	assert_true(is_closed_within(old, CS_SEC));
	assert_int_equal(wait_state(&entries[1], "e1", false, 0), 0);
	assert_int_equal(metric(&entries[1], "peers_up "), 1);
	close(old);
	close(new);
}

/*
 * A new connection must replace one that was lost silently at once, not only
 * after the timeout of the old one.
 */
static void newer_connection_replaces_the_older(void **state)
{
	int old, new;

	(void)state;
	start_link(&entries[1]);
	old = raw_handshake(&entries[1]);
	new = raw_handshake(&entries[1]);
	assert_int_equal(wait_state(&entries[1], "e1", false, WAIT), 100);
	assert_true(is_closed_within(old, CS_SEC));
	assert_int_equal(metric(&entries[1], "peers_up "), 1);
	close(old);
	close(new);
}

/* A peer that reads nothing must not make the output buffer grow unbounded. */
static void slow_reader_is_closed(void **state)
{
	uint64_t ref;
	int fd;

	(void)state;
	start_link(&entries[1]);
	fd = raw_handshake(&entries[1]);
	/* 16 MB: more than the limit and the socket buffers together. */
	for (ref = 1; ref <= 16; ref++)
		bus_post(entries[1].bus, BUS_CORE,
			 new_forward("e1", ref, BODY_LEN));
	assert_int_equal(wait_state(&entries[1], "e1", false, WAIT), 100);
	assert_true(metric(&entries[1], "peer_disconnects_total"
					"{reason=\"full\"} ") == 1);
	close(fd);
}

/* A reflected proof, or one for another hello, must be refused. */
static void proof_covers_role_and_hello(void **state)
{
	struct peer_hello a = { .id = "e1", .incarnation = 1 };
	struct peer_hello b = { .id = "e2", .incarnation = 1 };
	uint8_t secret[CS_DIGEST_LEN] = { 1 };
	GBytes *proof = peer_proof_encode(secret, PEER_ROLE_INITIATOR, &a, &b);
	gsize len;
	const uint8_t *data = g_bytes_get_data(proof, &len);

	(void)state;
	assert_int_equal(peer_proof_check(data, len, secret,
					  PEER_ROLE_INITIATOR, &a, &b, NULL),
			 CS_OK);
	assert_int_equal(peer_proof_check(data, len, secret,
					  PEER_ROLE_RESPONDER, &a, &b, NULL),
			 CS_ERR_DENIED);
	a.incarnation = 2;
	assert_int_equal(peer_proof_check(data, len, secret,
					  PEER_ROLE_INITIATOR, &a, &b, NULL),
			 CS_ERR_DENIED);
	a.incarnation = 1;
	a.nonce[0] = 1;
	assert_int_equal(peer_proof_check(data, len, secret,
					  PEER_ROLE_INITIATOR, &a, &b, NULL),
			 CS_ERR_DENIED);
	assert_int_equal(peer_proof_check(data, len - 1, secret,
					  PEER_ROLE_INITIATOR, &a, &b, NULL),
			 CS_ERR_INVALID);
	g_bytes_unref(proof);
}

#define LINK_TEST(name) cmocka_unit_test_setup_teardown(name, set_up, tear_down)

int main(void)
{
	const struct CMUnitTest tests[] = {
		LINK_TEST(messages_pass_both_ways),
		LINK_TEST(large_message_passes),
		LINK_TEST(wrong_secret_is_refused),
		LINK_TEST(wrong_data_centre_is_refused),
		LINK_TEST(restart_shows_the_newer_incarnation),
		LINK_TEST(silent_peer_is_closed),
		LINK_TEST(dropped_forward_is_answered_not_run),
		LINK_TEST(unauthenticated_connections_are_closed),
		LINK_TEST(newer_connection_replaces_the_older),
		LINK_TEST(older_incarnation_is_refused),
		LINK_TEST(slow_reader_is_closed),
		cmocka_unit_test(proof_covers_role_and_hello),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
