#include "http_client.h"

#include <arpa/inet.h>
#include <poll.h>

#include "../../src/base/error.h"
#include "../../src/base/task.h"
#include "../../src/peer/peer_codec.h"
#include "../../src/peer/peer_handshake.h"
#include "../../src/peer/peer_link.h"

/* The longest wait for something that must happen. */
#define WAIT (5 * CS_SEC)

/* A body of many reads, as long as the platform's longest value. */
#define BODY_LEN ((size_t)1024 * 1024)

/* One entry: a link, and the test in place of its core. */
struct node {
	struct peer_link_options options;
	struct entry_peer peers[2];
	struct bus *bus;
	struct peer_link *link;
	GQueue seen; /* messages that were taken while waiting for others */
};

static struct node nodes[3];

static void start_link(struct node *n)
{
	struct cs_error err = { 0 };

	n->link = peer_link_create(&n->options, n->bus, &err);
	if (!n->link)
		fail_msg("%s: %s", err.step, err.message);
}

/* Names, addresses and secrets of nr entries that know each other. */
static int set_up(void **state)
{
	int i, j, k;

	(void)state;
	memset(nodes, 0, sizeof(nodes));
	for (i = 0; i < 3; i++) {
		struct peer_link_options *o = &nodes[i].options;

		g_snprintf(o->id, sizeof(o->id), "e%d", i + 1);
		g_snprintf(o->data_centre, sizeof(o->data_centre), "dc%d", i);
		client_free_address(o->address);
		o->incarnation = 100;
		memset(o->secret, 's', sizeof(o->secret));
		nodes[i].bus = bus_create(NULL, NULL);
	}
	for (i = 0; i < 3; i++) {
		for (j = k = 0; j < 3; j++) {
			struct entry_peer *p = &nodes[i].peers[k];

			if (i == j)
				continue;
			cs_copy(p->id, sizeof(p->id), nodes[j].options.id);
			cs_copy(p->data_centre, sizeof(p->data_centre),
				nodes[j].options.data_centre);
			cs_copy(p->address, sizeof(p->address),
				nodes[j].options.address);
			k++;
		}
		nodes[i].options.peers = nodes[i].peers;
		nodes[i].options.peers_nr = 2;
	}
	return 0;
}

static int tear_down(void **state)
{
	int i;

	(void)state;
	for (i = 0; i < 3; i++) {
		peer_link_destroy(nodes[i].link);
		g_queue_clear_full(&nodes[i].seen, msg_free_item);
		bus_destroy(nodes[i].bus);
	}
	return 0;
}

typedef bool (*match_fn)(const struct msg *msg, const void *arg);

static struct msg *find_seen(struct node *n, match_fn match, const void *arg)
{
	GList *l;
	struct msg *msg;

	for (l = n->seen.head; l; l = l->next) {
		msg = l->data;
		if (match(msg, arg)) {
			g_queue_delete_link(&n->seen, l);
			return msg;
		}
	}
	return NULL;
}

/* The first message to the core that matches, or NULL after limit. */
static struct msg *take(struct node *n, match_fn match, const void *arg,
			cs_time limit)
{
	struct mailbox *box = bus_mailbox(n->bus, BUS_CORE);
	struct pollfd p = { .fd = mailbox_fd(box), .events = POLLIN };
	cs_time end = task_now() + limit, left;
	struct msg *msg;
	void *item;

	while (!(msg = find_seen(n, match, arg))) {
		left = end - task_now();
		if (left <= 0)
			return NULL;
		poll(&p, 1, (int)(left / CS_MSEC) + 1);
		while (mailbox_take(box, &item, 1))
			g_queue_push_tail(&n->seen, item);
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

/* Waits for the state and returns the incarnation; 0 if it did not come. */
static uint64_t wait_state(struct node *n, const char *peer, bool is_up,
			   cs_time limit)
{
	struct state_key key = { peer, is_up };
	struct msg *msg = take(n, is_state, &key, limit);
	uint64_t incarnation = msg ? msg->u.peer_state.incarnation : 0;

	msg_free(msg);
	return incarnation;
}

static bool is_kind(const struct msg *msg, const void *arg)
{
	return msg->type == MSG_PEER &&
	       msg->u.peer.kind == *(const enum peer_kind *)arg;
}

static struct msg *take_kind(struct node *n, enum peer_kind kind, cs_time limit)
{
	return take(n, is_kind, &kind, limit);
}

static struct msg *new_peer_msg(enum peer_kind kind, const char *to,
				uint64_t ref)
{
	struct msg *msg = msg_new(MSG_PEER);

	msg->u.peer.kind = kind;
	msg->u.peer.ref = ref;
	msg->u.peer.incarnation = 999; /* must not be believed */
	cs_copy(msg->u.peer.peer, sizeof(msg->u.peer.peer), to);
	return msg;
}

static void send_kind(struct node *n, enum peer_kind kind, const char *to)
{
	bus_post(n->bus, BUS_CORE, new_peer_msg(kind, to, 5));
}

static void connect_two(void)
{
	start_link(&nodes[0]);
	start_link(&nodes[1]);
	assert_int_equal(wait_state(&nodes[0], "e2", true, WAIT), 100);
	assert_int_equal(wait_state(&nodes[1], "e1", true, WAIT), 100);
}

/* The value of one of the link's counters; -1 if there is none. */
static int64_t metric(struct node *n, const char *name)
{
	char *text = client_metrics(n->bus, BUS_PEER);
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

/* Messages must arrive under the name of the handshake, whatever they say. */
static void messages_pass_both_ways(void **state)
{
	struct msg *msg;
	int i;

	(void)state;
	for (i = 0; i < 3; i++)
		start_link(&nodes[i]);
	for (i = 0; i < 3; i++) {
		assert_int_equal(wait_state(&nodes[i], nodes[i].peers[0].id,
					    true, WAIT),
				 100);
		assert_int_equal(wait_state(&nodes[i], nodes[i].peers[1].id,
					    true, WAIT),
				 100);
	}
	send_kind(&nodes[0], PEER_CLAIM, "e3");
	send_kind(&nodes[2], PEER_CONFIG_ACK, "e1");
	msg = take_kind(&nodes[2], PEER_CLAIM, WAIT);
	assert_non_null(msg);
	assert_string_equal(msg->u.peer.peer, "e1");
	assert_int_equal(msg->u.peer.incarnation, 100);
	assert_int_equal(msg->u.peer.ref, 5);
	msg_free(msg);
	msg = take_kind(&nodes[0], PEER_CONFIG_ACK, WAIT);
	assert_non_null(msg);
	assert_string_equal(msg->u.peer.peer, "e3");
	msg_free(msg);
	assert_int_equal(metric(&nodes[0], "peer_messages_total{direction="
					   "\"out\",kind=\"claim\"} "),
			 1);
	assert_int_equal(metric(&nodes[0], "peers_up "), 2);
	assert_int_equal(metric(&nodes[0], "peer_connects_total "), 2);
}

/* A document of 1 MB must pass whole although it takes many reads. */
static void large_message_passes(void **state)
{
	struct msg *msg = new_peer_msg(PEER_CONFIG, "e2", 1);
	uint8_t *data = g_malloc(BODY_LEN);
	GBytes *body;

	(void)state;
	memset(data, 'd', BODY_LEN);
	body = g_bytes_new_take(data, BODY_LEN);
	msg->u.peer.u.config.document = g_bytes_ref(body);
	connect_two();
	bus_post(nodes[0].bus, BUS_CORE, msg);
	msg = take_kind(&nodes[1], PEER_CONFIG, WAIT);
	assert_non_null(msg);
	assert_true(g_bytes_equal(msg->u.peer.u.config.document, body));
	msg_free(msg);
	g_bytes_unref(body);
}

/* Neither side may trust, or be told of, a peer with another secret. */
static void wrong_secret_is_refused(void **state)
{
	(void)state;
	nodes[1].options.secret[31] ^= 1;
	start_link(&nodes[0]);
	start_link(&nodes[1]);
	assert_int_equal(wait_state(&nodes[0], "e2", true, CS_SEC / 2), 0);
	assert_int_equal(wait_state(&nodes[1], "e1", true, 0), 0);
	assert_true(metric(&nodes[0], "peer_handshake_failures_total"
				      "{reason=\"denied\"} ") >= 1 ||
		    metric(&nodes[1], "peer_handshake_failures_total"
				      "{reason=\"denied\"} ") >= 1);
}

/* An entry that settings place elsewhere would get the wrong permits. */
static void wrong_data_centre_is_refused(void **state)
{
	(void)state;
	cs_copy(nodes[1].options.data_centre,
		sizeof(nodes[1].options.data_centre), "elsewhere");
	start_link(&nodes[0]);
	start_link(&nodes[1]);
	assert_int_equal(wait_state(&nodes[0], "e2", true, CS_SEC / 2), 0);
	assert_int_equal(wait_state(&nodes[1], "e1", true, 0), 0);
}

/* The core must see down, then up with the new incarnation, not the old. */
static void restart_shows_the_newer_incarnation(void **state)
{
	int i;

	(void)state;
	connect_two();
	for (i = 0; i < 2; i++) {
		struct node *other = &nodes[!i];
		const char *id = nodes[i].options.id;

		peer_link_destroy(nodes[i].link);
		assert_int_equal(wait_state(other, id, false, WAIT), 100);
		nodes[i].options.incarnation = 101;
		start_link(&nodes[i]);
		assert_int_equal(wait_state(other, id, true, WAIT), 101);
		assert_true(
			wait_state(&nodes[i], other->options.id, true, WAIT));
	}
	/* An older process that comes back must stay out. */
	peer_link_destroy(nodes[1].link);
	assert_int_equal(wait_state(&nodes[0], "e2", false, WAIT), 101);
	nodes[1].options.incarnation = 100;
	start_link(&nodes[1]);
	assert_int_equal(wait_state(&nodes[0], "e2", true, CS_SEC), 0);
}

/*
 * A path that went silent must be noticed, and one with heartbeats must not
 * be cut.
 */
static void silent_peer_is_closed(void **state)
{
	cs_time began;
	int i;

	(void)state;
	connect_two();
	began = task_now();
	for (i = 0; i < 5; i++) {
		send_kind(&nodes[0], PEER_HEARTBEAT, "e2");
		send_kind(&nodes[1], PEER_HEARTBEAT, "e1");
		assert_int_equal(wait_state(&nodes[0], "e2", false, CS_SEC / 2),
				 0);
	}
	assert_int_equal(wait_state(&nodes[0], "e2", false, WAIT), 100);
	assert_in_range(task_now() - began, 3 * CS_SEC, 6 * CS_SEC);
	assert_int_equal(wait_state(&nodes[1], "e1", false, WAIT), 100);
	assert_int_equal(wait_state(&nodes[0], "e2", true, WAIT), 100);
}

static void expect_not_run(struct node *n, uint64_t ref, const char *reason)
{
	struct msg *msg = take_kind(n, PEER_FORWARD_REPLY, WAIT);

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

/* A request that never left must be answered, or its caller would wait. */
static void dropped_forward_is_answered_not_run(void **state)
{
	(void)state;
	start_link(&nodes[0]);
	bus_post(nodes[0].bus, BUS_CORE, new_forward("e2", 7, 1));
	expect_not_run(&nodes[0], 7, "peer_down");
	bus_post(nodes[0].bus, BUS_CORE, new_forward("nobody", 8, 1));
	expect_not_run(&nodes[0], 8, "peer_down");
	send_kind(&nodes[0], PEER_CLAIM, "e2");
	start_link(&nodes[1]);
	assert_int_equal(wait_state(&nodes[0], "e2", true, WAIT), 100);
	bus_post(nodes[0].bus, BUS_CORE, new_forward("e2", 9, PEER_FRAME_MAX));
	expect_not_run(&nodes[0], 9, "too_large");
	assert_int_equal(metric(&nodes[0], "peer_drops_total{kind=\"claim\","
					   "reason=\"peer_down\"} "),
			 1);
	assert_null(take_kind(&nodes[1], PEER_CLAIM, 0));
}

/* Reads until the other side closes; returns false if it takes too long. */
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
 * A stranger must be cut off: one that says nothing after 2 s, one that
 * sends too much at once, and one that sends messages without a proof.
 */
static void strangers_are_cut_off(void **state)
{
	struct peer_hello hello = { .id = "e1", .data_centre = "dc0" };
	struct peer_msg claim = { .kind = PEER_CLAIM };
	int silent, large, unproved;

	(void)state;
	start_link(&nodes[1]);
	silent = client_send(nodes[1].options.address, "");
	large = client_send(nodes[1].options.address, "");
	assert_int_equal(write(large, "\0\1\0\0", 4), 4);
	assert_true(is_closed_within(large, CS_SEC));
	unproved = client_send(nodes[1].options.address, "");
	write_frame(unproved, peer_hello_encode(&hello));
	write_frame(unproved, peer_encode(&claim));
	assert_true(is_closed_within(unproved, CS_SEC));
	assert_true(is_closed_within(silent, 4 * CS_SEC));
	assert_null(take_kind(&nodes[1], PEER_CLAIM, 0));
	assert_int_equal(wait_state(&nodes[1], "e1", true, 0), 0);
	close(silent);
	close(large);
	close(unproved);
}

/* Connects as e1 and exchanges hellos; the proof is left in *proof. */
static int raw_hello(struct node *n, uint64_t incarnation, GBytes **proof)
{
	struct peer_hello mine = { .id = "e1",
				   .data_centre = "dc0",
				   .incarnation = incarnation };
	struct peer_hello theirs;
	uint8_t buf[PEER_HANDSHAKE_FRAME_MAX];
	int fd = client_send(n->options.address, "");
	uint32_t head;

	write_frame(fd, peer_hello_encode(&mine));
	assert_int_equal(recv(fd, &head, 4, MSG_WAITALL), 4);
	assert_in_range(ntohl(head), 1, sizeof(buf));
	assert_int_equal(recv(fd, buf, ntohl(head), MSG_WAITALL), ntohl(head));
	assert_int_equal(peer_hello_decode(buf, ntohl(head), &theirs, NULL),
			 CS_OK);
	*proof = peer_proof_encode(n->options.secret, PEER_ROLE_INITIATOR,
				   &mine, &theirs);
	return fd;
}

static int raw_handshake(struct node *n)
{
	GBytes *proof;
	int fd = raw_hello(n, 100, &proof);

	write_frame(fd, proof);
	assert_int_equal(wait_state(n, "e1", true, WAIT), 100);
	return fd;
}

/* A replaced process must not take its place back by a slow handshake. */
static void older_incarnation_stays_out(void **state)
{
	GBytes *old_proof, *new_proof;
	int old, new;

	(void)state;
	start_link(&nodes[1]);
	old = raw_hello(&nodes[1], 100, &old_proof);
	new = raw_hello(&nodes[1], 101, &new_proof);
	write_frame(new, new_proof);
	assert_int_equal(wait_state(&nodes[1], "e1", true, WAIT), 101);
	write_frame(old, old_proof);
	assert_true(is_closed_within(old, CS_SEC));
	assert_int_equal(wait_state(&nodes[1], "e1", false, 0), 0);
	assert_int_equal(metric(&nodes[1], "peers_up "), 1);
	close(old);
	close(new);
}

/* After a silent loss the peer must not wait until its old path is closed. */
static void newer_connection_replaces_the_older(void **state)
{
	int old, new;

	(void)state;
	start_link(&nodes[1]);
	old = raw_handshake(&nodes[1]);
	new = raw_handshake(&nodes[1]);
	assert_int_equal(wait_state(&nodes[1], "e1", false, WAIT), 100);
	assert_true(is_closed_within(old, CS_SEC));
	assert_int_equal(metric(&nodes[1], "peers_up "), 1);
	close(old);
	close(new);
}

/* A peer that reads nothing must not make the output grow without bound. */
static void slow_reader_is_closed(void **state)
{
	uint64_t ref;
	int fd;

	(void)state;
	start_link(&nodes[1]);
	fd = raw_handshake(&nodes[1]);
	/* 16 MB: more than the limit and the socket buffers together. */
	for (ref = 1; ref <= 16; ref++)
		bus_post(nodes[1].bus, BUS_CORE,
			 new_forward("e1", ref, BODY_LEN));
	assert_int_equal(wait_state(&nodes[1], "e1", false, WAIT), 100);
	assert_true(metric(&nodes[1], "peer_disconnects_total"
				      "{reason=\"full\"} ") == 1);
	close(fd);
}

/* A proof sent back to its maker, or with other facts, must be worth nothing.
 */
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
		LINK_TEST(strangers_are_cut_off),
		LINK_TEST(newer_connection_replaces_the_older),
		LINK_TEST(older_incarnation_stays_out),
		LINK_TEST(slow_reader_is_closed),
		cmocka_unit_test(proof_covers_role_and_hello),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
