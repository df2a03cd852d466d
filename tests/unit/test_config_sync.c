#include <string.h>

#include "../../src/config/codec.h"
#include "../../src/config/config_sync.h"
#include "fake_kv.h"
#include "sample_fleet.h"

/*
 * Configuration parts of several entries, connected by a message queue and a
 * fake platform. Entries 0 and 1 are in data centre a, 2 and 3 in b, 4 and 5
 * in c.
 */
#define NODES 6

struct cluster;

struct node {
	struct part_ctx ctx;
	struct entry_options options;
	struct cluster *cluster;
	int index;
	bool is_paused; /* gets no messages and runs no timers */
	bool is_platform_cut;
	int config_changes; /* calls of part_config_changed() */
	int code; /* result of the last change, 1 until it is known */
	int results; /* number of results */
	uint64_t revision;
	char detail[2048];
};

struct cluster {
	struct node nodes[NODES];
	struct entry_peer peers[NODES];
	int nr;
	bool is_up[NODES][NODES];
	cs_time last_sent[NODES][NODES];
	cs_time max_gap;
	cs_time now;
	GQueue messages; /* alternately a sender and its message */
	struct fake_kv kv;
	bool is_platform_down;
	int lose_answers; /* number of next writes that only lose the answer */
	int lose_calls; /* number of next writes that are lost */
	int platform_calls; /* number of calls */
};

/* Replaces the function of the core that notifies all parts: only counts. */
void part_config_changed(struct part_ctx *ctx, const struct document *doc)
{
	assert_ptr_equal(doc, config_sync_document(ctx));
	((struct node *)ctx)->config_changes++;
}

static void emit(void *arg, struct msg *msg)
{
	struct node *n = arg;

	g_queue_push_tail(&n->cluster->messages, n);
	g_queue_push_tail(&n->cluster->messages, msg);
}

static const struct outbox_ops outbox = { emit };

static void handle_kv_reply(struct node *n, struct msg *msg)
{
	if (!msg)
		return;
	n->ctx.now = n->cluster->now;
	if (!n->is_paused)
		config_sync_part.on_kv(&n->ctx, &msg->u.kv_done);
	msg_free(msg);
}

static void deliver_peer_msg(struct cluster *c, int from, struct msg *msg)
{
	int to = msg->u.peer.peer[1] - '0';

	c->last_sent[from][to] = c->now;
	if (!c->is_up[from][to] || c->nodes[to].is_paused)
		return;
	g_strlcpy(msg->u.peer.peer, c->nodes[from].options.id, CS_NAME_MAX);
	c->nodes[to].ctx.now = c->now;
	config_sync_part.on_peer(&c->nodes[to].ctx, &msg->u.peer);
}

static enum fake_fault next_fault(struct cluster *c)
{
	if (c->lose_calls > 0) {
		c->lose_calls--;
		return FAKE_LOST_DROPPED;
	}
	if (c->lose_answers > 0) {
		c->lose_answers--;
		return FAKE_LOST_APPLIED;
	}
	return FAKE_NO_FAULT;
}

static void handle_kv_call(struct cluster *c, struct node *n,
			   const struct kv_call *call)
{
	struct msg *msg = NULL;

	c->platform_calls++;
	if (c->is_platform_down || n->is_platform_cut)
		msg = msg_kv_done(call, KV_UNAVAILABLE);
	else if (call->op == KV_WATCH)
		fake_kv_watch(&c->kv, call, n, 1, c->now);
	else
		msg = fake_kv_call(&c->kv, call,
				   call->op == KV_CAS ? next_fault(c) :
							FAKE_NO_FAULT);
	handle_kv_reply(n, msg);
}

static bool is_platform_down(const void *caller)
{
	return ((const struct node *)caller)->cluster->is_platform_down;
}

/* Delivers messages and replies until there are none left. */
static void deliver_all(struct cluster *c)
{
	struct fake_watch ended;
	struct msg *reply;
	struct node *n;

	do {
		while ((n = g_queue_pop_head(&c->messages))) {
			struct msg *msg = g_queue_pop_head(&c->messages);

			if (msg->type == MSG_PEER)
				deliver_peer_msg(c, n->index, msg);
			else if (msg->type == MSG_KV_CALL)
				handle_kv_call(c, n, &msg->u.kv_call);
			msg_free(msg);
		}
		reply = fake_kv_poll(&c->kv, c->now, is_platform_down, &ended);
		if (reply) {
			n = ended.caller;
			if (n->is_platform_cut)
				reply->u.kv_done.result = KV_UNKNOWN;
			handle_kv_reply(n, reply);
		}
	} while (reply || !g_queue_is_empty(&c->messages));
}

static void run(struct cluster *c, int64_t ms)
{
	cs_time end = c->now + ms * CS_MSEC;
	int i, k;

	while (c->now < end) {
		c->now += 10 * CS_MSEC;
		for (i = 0; i < c->nr; i++) {
			c->nodes[i].ctx.now = c->now;
			if (!c->nodes[i].is_paused)
				timers_advance(c->nodes[i].ctx.timers, c->now);
		}
		deliver_all(c);
		for (i = 0; i < c->nr; i++)
			for (k = 0; k < c->nr; k++)
				if (i != k && c->is_up[i][k])
					c->max_gap = MAX(
						c->max_gap,
						c->now - c->last_sent[i][k]);
	}
}

static void set_link(struct cluster *c, int a, int b, bool is_up)
{
	int ends[2] = { a, b }, i;

	if (c->is_up[a][b] == is_up)
		return;
	c->is_up[a][b] = c->is_up[b][a] = is_up;
	for (i = 0; i < 2; i++) {
		struct peer_state st = { .is_up = is_up, .incarnation = 1 };

		g_strlcpy(st.peer, c->peers[ends[!i]].id, CS_NAME_MAX);
		c->nodes[ends[i]].ctx.now = c->now;
		config_sync_part.on_peer_state(&c->nodes[ends[i]].ctx, &st);
	}
}

static void set_links(struct cluster *c, int a, bool is_up)
{
	int b;

	for (b = 0; b < c->nr; b++)
		if (b != a)
			set_link(c, a, b, is_up);
}

static void add_node(struct cluster *c, int i)
{
	struct node *n = &c->nodes[i];

	n->cluster = c;
	n->index = i;
	n->options.incarnation = 1;
	/* tests/soak/mutants.sh disables one mechanism of a soak build. */
	n->options.mutant = getenv("MUTATE");
	n->options.peers = c->peers;
	n->options.peers_nr = (size_t)c->nr;
	g_strlcpy(n->options.id, c->peers[i].id, CS_NAME_MAX);
	g_strlcpy(n->options.data_centre, c->peers[i].data_centre, CS_NAME_MAX);
	n->ctx.options = &n->options;
	n->ctx.timers = timers_create();
	n->ctx.counters = counters_create();
	n->ctx.rng = g_rand_new_with_seed(1);
	n->ctx.outbox = &outbox;
	n->ctx.outbox_ctx = n;
	n->ctx.now = c->now;
	assert_int_equal(config_sync_part.create(&n->ctx, NULL), CS_OK);
}

/* Encodes doc as that revision and releases it. */
static GBytes *encoded(struct document *doc, uint64_t rev)
{
	GBytes *bytes;

	document_set_revision(doc, rev);
	bytes = document_codec_json.encode(doc);
	document_destroy(doc);
	return bytes;
}

static void put_document(struct cluster *c, struct document *doc, uint64_t rev)
{
	GBytes *bytes = encoded(doc, rev);

	fake_kv_put(&c->kv, "config/fleet", bytes);
	g_bytes_unref(bytes);
}

/* Creates and starts a cluster; the platform has a document of revision 1. */
static struct cluster *cluster_create(int nr, bool is_platform_down)
{
	struct cluster *c = g_new0(struct cluster, 1);
	int i, k;

	c->nr = nr;
	c->now = 100 * CS_SEC;
	g_queue_init(&c->messages);
	fake_kv_init(&c->kv);
	put_document(c, sample_fleet(2, 8, 2, 2), 1);
	c->is_platform_down = is_platform_down;
	for (i = 0; i < nr; i++) {
		g_snprintf(c->peers[i].id, CS_NAME_MAX, "e%d", i);
		g_snprintf(c->peers[i].data_centre, CS_NAME_MAX, "%c",
			   'a' + i / 2);
	}
	for (i = 0; i < nr; i++)
		add_node(c, i);
	for (i = 0; i < nr; i++)
		config_sync_part.start(&c->nodes[i].ctx);
	for (i = 0; i < nr; i++)
		for (k = 0; k < i; k++)
			set_link(c, i, k, true);
	deliver_all(c);
	return c;
}

static void cluster_destroy(struct cluster *c)
{
	int i;

	for (i = 0; i < c->nr; i++) {
		config_sync_part.destroy(&c->nodes[i].ctx);
		timers_destroy(c->nodes[i].ctx.timers);
		counters_destroy(c->nodes[i].ctx.counters);
		g_rand_free(c->nodes[i].ctx.rng);
	}
	while (g_queue_pop_head(&c->messages))
		msg_free(g_queue_pop_head(&c->messages));
	fake_kv_clear(&c->kv);
	g_free(c);
}

static uint64_t revision(const struct cluster *c, int i)
{
	return document_revision(config_sync_document(&c->nodes[i].ctx));
}

/* Asserts that one document was refused for that reason. */
static void expect_refused(const struct cluster *c, int i, const char *reason)
{
	char labels[48];

	g_snprintf(labels, sizeof(labels), "reason=\"%s\"", reason);
	assert_int_equal(counters_value(c->nodes[i].ctx.counters,
					"config_refused_total", labels),
			 1);
}

static void on_change_done(struct part_ctx *ctx, uint64_t ref, int code,
			   uint64_t rev, const char *detail)
{
	struct node *n = (struct node *)ctx;

	(void)ref;
	n->results++;
	n->code = code;
	n->revision = rev;
	g_strlcpy(n->detail, detail, sizeof(n->detail));
}

/* Requests a new pool at entry i; the result arrives during run(). */
static void request_pool(struct cluster *c, int i, const char *pool,
			 uint64_t expected)
{
	struct change change = { .op = CHANGE_POOL_SET, .budget_percent = 10 };
	struct node *n = &c->nodes[i];

	g_strlcpy(change.name, pool, CS_NAME_MAX);
	n->code = 1;
	n->results = 0;
	n->ctx.now = c->now;
	config_sync_change(&n->ctx, 7, &change, 1, expected, false,
			   on_change_done);
}

static bool has_pool(const struct cluster *c, int i, const char *pool)
{
	return document_pool(config_sync_document(&c->nodes[i].ctx), pool);
}

static void expect_all(const struct cluster *c, uint64_t expected)
{
	int i;

	for (i = 0; i < c->nr; i++)
		if (!c->nodes[i].is_paused)
			assert_int_equal(revision(c, i), expected);
}

/*
 * Guards against an accepted change that does not come into force everywhere,
 * or whose progress an entry can't report (I12).
 */
static void change_reaches_all_entries(void **state)
{
	struct cluster *c = cluster_create(NODES, false);
	GString *json = g_string_new(NULL);
	cs_time age;
	int i, calls_before;

	(void)state;
	expect_all(c, 1);
	run(c, 5000);
	calls_before = c->platform_calls;
	c->max_gap = 0;
	run(c, 20000);
	/* only watches, one of 3 s in each of 3 data centres */
	assert_in_range(c->platform_calls - calls_before, 18, 24);
	assert_true(c->max_gap <= 1 * CS_SEC);
	request_pool(c, 3, "new", 1);
	run(c, 10);
	assert_int_equal(c->nodes[3].code, CS_OK);
	assert_int_equal(c->nodes[3].revision, 2);
	assert_string_equal(c->nodes[3].detail,
			    "+ pool new is_spare=false budget_percent=10\n");
	expect_all(c, 2);
	run(c, 1000);
	for (i = 0; i < NODES; i++) {
		assert_int_equal(c->nodes[i].config_changes, 2);
		if (i == 3)
			continue;
		assert_int_equal(config_sync_peer_revision(&c->nodes[3].ctx,
							   c->peers[i].id,
							   &age),
				 2);
		assert_true(age <= 1 * CS_SEC);
	}
	config_sync_history(&c->nodes[0].ctx, json);
	assert_non_null(strstr(json->str, "\"revision\":2"));
	assert_non_null(strstr(json->str, "+ pool new is_spare"));
	g_string_free(json, TRUE);
	cluster_destroy(c);
}

static int64_t documents_sent(const struct cluster *c)
{
	int64_t sum = 0;
	int i;

	for (i = 0; i < c->nr; i++)
		sum += counters_value(c->nodes[i].ctx.counters,
				      "config_documents_sent_total", "");
	return sum;
}

/*
 * Guards against redundant copies of the document. Each data centre gets it by
 * its own watch; a copy from every other one would exceed the 3 KB/s of a node
 * many times (design 1.3), so it is sent only where the platform can't be read.
 */
static void one_document_copy_per_follower(void **state)
{
	struct cluster *c = cluster_create(NODES, false);
	int64_t sent;

	(void)state;
	run(c, 1000);
	sent = documents_sent(c);
	request_pool(c, 0, "one", 0);
	run(c, 1000);
	expect_all(c, 2);
	/* one copy for the follower in each of three data centres */
	assert_int_equal(documents_sent(c) - sent, 3);
	c->nodes[2].is_platform_cut = c->nodes[3].is_platform_cut = true;
	request_pool(c, 0, "two", 0);
	run(c, 1000); /* a relay needs much less, see design 1.1 */
	expect_all(c, 3);
	cluster_destroy(c);
}

/*
 * Guards against losing a change when only one entry reaches the platform and
 * most of its connections are down: the revisions in heartbeats must be enough
 * to distribute it.
 */
static void heartbeats_deliver_a_change(void **state)
{
	struct cluster *c = cluster_create(NODES, false);
	int i;

	(void)state;
	for (i = 1; i < NODES; i++)
		c->nodes[i].is_platform_cut = true;
	/* 0 is connected to 5 only, which is not the contact of c */
	for (i = 1; i < 5; i++)
		set_link(c, 0, i, false);
	request_pool(c, 0, "new", 0);
	run(c, 5000);
	expect_all(c, 2);
	cluster_destroy(c);
}

/*
 * Guards against overwriting a concurrent change: one of two operators must get
 * a conflict that lists what the other one changed.
 */
static void concurrent_changes_conflict(void **state)
{
	struct cluster *c = cluster_create(NODES, false);
	int winner, loser, i;

	(void)state;
	request_pool(c, 1, "one", 1);
	request_pool(c, 4, "two", 1);
	run(c, 10);
	winner = c->nodes[1].code == CS_OK ? 1 : 4;
	loser = 5 - winner;
	assert_int_equal(c->nodes[winner].code, CS_OK);
	assert_int_equal(c->nodes[loser].code, CS_ERR_CONFLICT);
	assert_non_null(strstr(c->nodes[loser].detail,
			       "revision 1 was expected, 2 is present\n"
			       "+ pool "));
	expect_all(c, 2);
	for (i = 0; i < NODES; i++)
		request_pool(c, i, c->peers[i].id, 0);
	run(c, 1000);
	for (i = 0; i < NODES; i++) {
		assert_int_equal(c->nodes[i].results, 1);
		if (c->nodes[i].code == CS_OK)
			assert_true(has_pool(c, 2, c->peers[i].id));
		else
			assert_false(has_pool(c, 2, c->peers[i].id));
	}
	/* five attempts are enough against five others that write once each */
	assert_int_equal(revision(c, 2) >= 2 + 5, 1);
	cluster_destroy(c);
}

/* Guards against reporting a failure although the write took effect (I12). */
static void lost_answer_is_verified(void **state)
{
	struct cluster *c = cluster_create(2, false);

	(void)state;
	c->lose_answers = 1;
	request_pool(c, 0, "one", 0);
	run(c, 10);
	assert_int_equal(c->nodes[0].code, CS_OK);
	assert_int_equal(c->nodes[0].revision, 2);
	/* the call itself is lost: it must be repeated */
	c->lose_calls = 1;
	request_pool(c, 1, "two", 2);
	run(c, 10);
	assert_int_equal(c->nodes[1].code, CS_OK);
	assert_int_equal(c->nodes[1].revision, 3);
	expect_all(c, 3);
	/* all calls are lost: the unknown outcome must be reported as such */
	c->lose_calls = 1000;
	request_pool(c, 1, "three", 0);
	run(c, 4900);
	assert_int_equal(c->nodes[1].results, 0);
	run(c, 700);
	assert_int_equal(c->nodes[1].code, CS_ERR_TIMEOUT);
	assert_int_equal(c->nodes[1].results, 1);
	expect_all(c, 3);
	cluster_destroy(c);
}

/*
 * Guards against a wrong result if the answer of a write is lost and another
 * operator replaces the row before it is read back.
 */
static void lost_answer_before_another_change(void **state)
{
	struct cluster *c = cluster_create(NODES, false);

	(void)state;
	c->lose_answers = 1;
	request_pool(c, 0, "one", 0);
	request_pool(c, 5, "two", 0);
	run(c, 1000);
	assert_int_equal(c->nodes[0].code, CS_OK);
	assert_int_equal(c->nodes[5].code, CS_OK);
	assert_int_equal(c->nodes[0].results, 1);
	assert_true(has_pool(c, 3, "one") && has_pool(c, 3, "two"));
	expect_all(c, 3);
	cluster_destroy(c);
}

/*
 * Guards against changes that are accepted, or wait forever, while the platform
 * is down.
 */
static void platform_down_refuses_changes(void **state)
{
	struct cluster *c = cluster_create(2, false);

	(void)state;
	c->is_platform_down = true;
	request_pool(c, 0, "one", 0);
	run(c, 1000);
	assert_int_equal(c->nodes[0].code, CS_ERR_IO);
	assert_false(config_sync_is_platform_up(&c->nodes[0].ctx));
	assert_false(config_sync_is_platform_up(&c->nodes[1].ctx));
	c->is_platform_down = false;
	run(c, 3000);
	assert_true(config_sync_is_platform_up(&c->nodes[0].ctx));
	assert_true(config_sync_is_platform_up(&c->nodes[1].ctx));
	expect_all(c, 1);
	cluster_destroy(c);
}

static void send_config(struct cluster *c, int from, int to, GBytes *bytes,
			uint64_t rev)
{
	struct peer_msg msg = { .kind = PEER_CONFIG };

	g_strlcpy(msg.peer, c->peers[from].id, CS_NAME_MAX);
	msg.u.config.revision = rev;
	msg.u.config.document = bytes;
	config_sync_part.on_peer(&c->nodes[to].ctx, &msg);
	g_bytes_unref(bytes);
}

/* Guards against an old or damaged document from any source (I12). */
static void bad_documents_are_refused(void **state)
{
	struct cluster *c = cluster_create(2, false);
	struct document *invalid = sample_fleet(2, 8, 2, 2);
	struct change limit = { .op = CHANGE_TEAM_SET,
				.name = "team-0",
				.share = 1,
				.limit = 1000000 };

	(void)state;
	request_pool(c, 0, "one", 0);
	run(c, 10);
	send_config(c, 1, 0, encoded(sample_fleet(2, 8, 2, 2), 1), 1);
	send_config(c, 1, 0, encoded(sample_fleet(2, 8, 2, 2), 2), 2);
	send_config(c, 1, 0, g_bytes_new_static("{\"a\":", 5), 9);
	sample_apply(invalid, limit);
	send_config(c, 1, 0, encoded(invalid, 3), 3);
	assert_int_equal(revision(c, 0), 2);
	assert_true(has_pool(c, 0, "one"));
	expect_refused(c, 0, "older");
	expect_refused(c, 0, "content");
	expect_refused(c, 0, "decode");
	expect_refused(c, 0, "check");
	/* the platform is restored to an older state */
	put_document(c, sample_fleet(2, 8, 2, 2), 1);
	run(c, 1000);
	expect_all(c, 2);
	request_pool(c, 1, "two", 0);
	run(c, 10);
	assert_int_equal(c->nodes[1].revision, 3);
	assert_true(has_pool(c, 0, "one"));
	cluster_destroy(c);
}

/*
 * Guards against an entry without a document if it starts while the platform is
 * down: it must get the document from its peers (design 3.3).
 */
static void starts_without_platform(void **state)
{
	struct cluster *c = cluster_create(4, true);

	(void)state;
	run(c, 3000);
	expect_all(c, 0);
	send_config(c, 2, 3, encoded(sample_fleet(2, 8, 2, 2), 4), 4);
	send_config(c, 2, 3, encoded(sample_fleet(2, 8, 2, 2), 5), 5);
	run(c, 2000);
	expect_all(c, 5);
	cluster_destroy(c);
}

/* Guards against missing changes after the watch holder dies or hangs (I12). */
static void watch_is_taken_over(void **state)
{
	struct cluster *c = cluster_create(NODES, false);
	int i;

	(void)state;
	run(c, 1000);
	/* killed: its connections are closed */
	c->nodes[0].is_paused = true;
	set_links(c, 0, false);
	/* hangs: its connections stay open */
	c->nodes[2].is_paused = true;
	run(c, 1900);
	/* only their own watches can deliver the change to 1 and 3 */
	for (i = 0; i < 4; i++)
		c->is_up[i][4] = c->is_up[i][5] = c->is_up[4][i] =
			c->is_up[5][i] = false;
	c->is_up[1][3] = c->is_up[3][1] = false;
	put_document(c, sample_fleet(2, 9, 2, 2), 2);
	run(c, 1600);
	expect_all(c, 2);
	/* the lowest ids return, and each watch has one holder again */
	for (i = 0; i < NODES; i++)
		c->nodes[i].is_paused = false;
	set_links(c, 0, true);
	run(c, 12000);
	i = c->platform_calls;
	run(c, 20000);
	assert_in_range(c->platform_calls - i, 18, 24);
	expect_all(c, 2);
	cluster_destroy(c);
}

/*
 * Guards against a watch that waits forever on a connection that has silently
 * failed. Without connections to other data centres, only a new watch can
 * deliver the change in time (I12).
 */
static void silent_watch_is_replaced(void **state)
{
	struct cluster *c = cluster_create(4, false);
	int i;

	(void)state;
	run(c, 5000);
	for (i = 0; i < 4; i++)
		set_link(c, i / 2, 2 + i % 2, false);
	g_ptr_array_set_size(c->kv.watches, 0);
	put_document(c, sample_fleet(2, 9, 2, 2), 2);
	run(c, 7000);
	expect_all(c, 2);
	cluster_destroy(c);
}

/* Guards against late or false detection of isolation (design 3.3: 5 s). */
static void isolation_is_detected(void **state)
{
	struct cluster *c = cluster_create(4, false);
	int i, k;

	(void)state;
	run(c, 20000);
	for (i = 0; i < 2; i++) {
		c->nodes[i].is_platform_cut = true;
		for (k = 2; k < 4; k++)
			set_link(c, i, k, false);
	}
	run(c, 2500);
	assert_false(config_sync_is_isolated(&c->nodes[0].ctx));
	assert_false(config_sync_is_isolated(&c->nodes[1].ctx));
	run(c, 2600);
	assert_true(config_sync_is_isolated(&c->nodes[0].ctx));
	assert_true(config_sync_is_isolated(&c->nodes[1].ctx));
	assert_false(config_sync_is_isolated(&c->nodes[3].ctx));
	set_link(c, 1, 3, true);
	run(c, 1000);
	assert_false(config_sync_is_isolated(&c->nodes[1].ctx));
	assert_true(config_sync_is_isolated(&c->nodes[0].ctx));
	cluster_destroy(c);
}

/*
 * Guards against false isolation in a fleet with a single data centre, where
 * only the platform shows that there is none.
 */
static void single_data_centre_is_not_isolated(void **state)
{
	struct cluster *c = cluster_create(2, false);
	int i;

	(void)state;
	for (i = 0; i < 200; i++) {
		run(c, 100);
		assert_false(config_sync_is_isolated(&c->nodes[0].ctx));
		assert_false(config_sync_is_isolated(&c->nodes[1].ctx));
	}
	c->is_platform_down = true;
	run(c, 5100);
	assert_true(config_sync_is_isolated(&c->nodes[0].ctx));
	assert_true(config_sync_is_isolated(&c->nodes[1].ctx));
	cluster_destroy(c);
}

static void clock_jump(struct cluster *c, int i)
{
	c->nodes[i].ctx.now = c->now;
	config_sync_part.on_jump(&c->nodes[i].ctx);
	assert_false(config_sync_is_fresh(&c->nodes[i].ctx));
}

/*
 * Guards against starting work under an outdated document after the process was
 * paused (I4, I6).
 */
static void clock_jump_refreshes_document(void **state)
{
	struct cluster *c = cluster_create(4, false);
	int i;

	(void)state;
	run(c, 3000);
	/* the platform answers */
	c->nodes[1].is_paused = true;
	run(c, 5000);
	request_pool(c, 2, "one", 0);
	run(c, 3000);
	c->nodes[1].is_paused = false;
	assert_int_equal(revision(c, 1), 1);
	clock_jump(c, 1);
	deliver_all(c);
	assert_true(config_sync_is_fresh(&c->nodes[1].ctx));
	assert_int_equal(revision(c, 1), 2);
	/* only an entry of another data centre answers */
	c->nodes[1].is_platform_cut = true;
	clock_jump(c, 1);
	deliver_all(c);
	assert_true(config_sync_is_fresh(&c->nodes[1].ctx));
	/* nobody answers */
	for (i = 2; i < 4; i++)
		set_link(c, 1, i, false);
	clock_jump(c, 1);
	run(c, 900);
	assert_false(config_sync_is_fresh(&c->nodes[1].ctx));
	run(c, 100);
	assert_true(config_sync_is_fresh(&c->nodes[1].ctx));
	cluster_destroy(c);
}

/*
 * Guards against requests that report only some of their faults, and against
 * refused requests, dry runs and changes without a difference that write.
 */
static void refusals_and_dry_runs_write_nothing(void **state)
{
	static const struct change bad[] = {
		{ .op = CHANGE_HOST_MOVE, .name = "host-0", .pool = "pool-1" },
		{ .op = CHANGE_TEAM_REMOVE, .name = "none" },
		{ .op = CHANGE_TEAM_SET,
		  .name = "team-0",
		  .share = 1,
		  .limit = 1000 },
	};
	struct cluster *c = cluster_create(2, false);
	struct part_ctx *ctx = &c->nodes[0].ctx;
	struct document *doc = sample_fleet(2, 7, 2, 2);

	(void)state;
	config_sync_change(ctx, 1, bad, 3, 0, false, on_change_done);
	run(c, 10);
	assert_int_equal(c->nodes[0].code, CS_ERR_INVALID);
	assert_string_equal(
		c->nodes[0].detail,
		"change 1 (host-move): host host-0 is not empty\n"
		"change 2 (team-remove): team \"none\" does not exist\n"
		"team team-0: limit 1000 is above the 256 slots of the "
		"fleet\n");
	config_sync_replace(ctx, 1, doc, 0, false, on_change_done);
	run(c, 10);
	assert_int_equal(c->nodes[0].code, CS_ERR_INVALID);
	assert_non_null(strstr(c->nodes[0].detail, "host host-7: must be "));
	document_destroy(doc);
	doc = sample_fleet(2, 9, 2, 2);
	config_sync_replace(ctx, 1, doc, 0, true, on_change_done);
	run(c, 10);
	assert_int_equal(c->nodes[0].code, CS_OK);
	assert_int_equal(c->nodes[0].revision, 2);
	assert_non_null(strstr(c->nodes[0].detail, "+ host host-8"));
	expect_all(c, 1);
	config_sync_replace(ctx, 1, doc, 1, false, on_change_done);
	run(c, 10);
	assert_int_equal(c->nodes[0].code, CS_OK);
	expect_all(c, 2);
	/* the same document again makes no difference and writes nothing */
	config_sync_replace(ctx, 1, doc, 2, false, on_change_done);
	run(c, 10);
	assert_int_equal(c->nodes[0].code, CS_OK);
	expect_all(c, 2);
	document_destroy(doc);
	cluster_destroy(c);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(change_reaches_all_entries),
		cmocka_unit_test(one_document_copy_per_follower),
		cmocka_unit_test(heartbeats_deliver_a_change),
		cmocka_unit_test(concurrent_changes_conflict),
		cmocka_unit_test(lost_answer_is_verified),
		cmocka_unit_test(lost_answer_before_another_change),
		cmocka_unit_test(platform_down_refuses_changes),
		cmocka_unit_test(bad_documents_are_refused),
		cmocka_unit_test(starts_without_platform),
		cmocka_unit_test(watch_is_taken_over),
		cmocka_unit_test(silent_watch_is_replaced),
		cmocka_unit_test(isolation_is_detected),
		cmocka_unit_test(single_data_centre_is_not_isolated),
		cmocka_unit_test(clock_jump_refreshes_document),
		cmocka_unit_test(refusals_and_dry_runs_write_nothing),
	};

	return cmocka_run_group_tests_name("config_sync", tests, NULL, NULL);
}
