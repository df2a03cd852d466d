#include "node_private.h"

#include <string.h>

#include "../base/error.h"
#include "../base/log.h"
#include "../batch/batch_codec.h"

/*
 * The owner's writes. A transaction carries what has changed since the last
 * one, up to the store's limit, on the condition that the owner's key is still
 * the one of this term. Several are open at a time, so that a store with a high
 * latency does not limit the throughput; a batch is in one of them at most. The
 * progress of each batch and each grant is also conditional on its last
 * revision, so that a transaction that got no reply and is carried out late
 * can't undo a later one.
 */

/*
 * Grants are added before batches, as a server without a grant can't be used
 * and under load there are always more changed batches than a transaction
 * holds. This bound leaves part of each transaction to batches.
 */
#define GRANT_TXN_OPS_MAX (STORE_TXN_MAX * 2 / 3)
/* A condition and a write. */
#define GRANT_TXN_OPS 2
/* A condition and a write for each batch, and a second write at its end. */
#define BATCH_TXN_OPS 3
/*
 * Orders to hosts in one transaction. They are names in one value, and only one
 * such transaction is open at a time: with 8, a store that took 330 ms for a
 * call limited moves to 24 a second.
 */
#define HOST_ORDERS_MAX 64
/* Removals of grants in one transaction; each order may bring one. */
#define ENDED_GRANTS_MAX 20
/* A condition, and the keys of an expired batch, removed together. */
#define EXPIRED_TXN_OPS 4
/* Least time between two transactions, so that each carries many changes. */
#define COMMIT_GAP_US (12 * CS_MSEC)
#define RETRY_MIN_US (50 * CS_MSEC)
#define RETRY_MAX_US (800 * CS_MSEC)

static void on_committed(void *ctx, uint64_t arg, const struct store_reply *d,
			 cs_time now);

static void txn_destroy(struct commit_txn *t)
{
	if (!t->batches)
		return;
	g_array_free(t->batches, TRUE);
	g_array_free(t->grants, TRUE);
	g_ptr_array_free(t->ended_grants, TRUE);
}

static void clear_grant(void *row)
{
	g_free(((struct commit_grant *)row)->id);
}

/* Keeps the lists allocated: each turn of the owner uses a transaction. */
static void txn_clear(struct commit_txn *t)
{
	g_array_set_size(t->batches, 0);
	g_array_set_size(t->grants, 0);
	g_ptr_array_set_size(t->ended_grants, 0);
	t->is_open = t->has_host_orders = t->writes_ordered_hosts = false;
	t->expired = 0;
}

static void txn_open(struct commit_txn *t)
{
	if (!t->batches) {
		t->batches =
			g_array_new(FALSE, FALSE, sizeof(struct commit_batch));
		t->grants =
			g_array_new(FALSE, FALSE, sizeof(struct commit_grant));
		g_array_set_clear_func(t->grants, clear_grant);
		t->ended_grants = g_ptr_array_new_with_free_func(g_free);
	}
	t->is_open = true;
}

void commit_reset(struct node *n)
{
	struct commit *c = &n->commit;
	int i;

	timers_cancel(n->timers, c->timer);
	for (i = 0; i < COMMITS_MAX; i++)
		txn_destroy(&c->txns[i]);
	memset(c, 0, sizeof(*c));
}

static void add_batches(struct node *n, struct commit_txn *t,
			struct store_call *call)
{
	char job[STORE_KEY_MAX];
	cs_handle h;

	while (call->txn_ops->len + BATCH_TXN_OPS <= STORE_TXN_MAX &&
	       (h = sched_take_changed_batch(n->sched))) {
		const struct batch *b = sched_batch(n->sched, h);
		struct commit_batch row = { .batch = h, .version = b->version };

		g_snprintf(row.key, sizeof(row.key), KEY_PROGRESS "%s", b->id);
		store_call_expect(call, row.key,
				  sched_stored_revision(n->sched, h));
		store_call_write(call, row.key, batch_encode_progress(b), 0);
		g_array_append_val(t->batches, row);
		if (!batch_is_final(b))
			continue;
		/*
		 * Replaces the submission: reading thousands of those of ended
		 * jobs would delay the next owner.
		 */
		g_snprintf(job, sizeof(job), KEY_JOBS "%s", b->id);
		store_call_write(
			call, job,
			g_bytes_new_static(JOB_ENDED, strlen(JOB_ENDED)), 0);
	}
}

static bool has_room_for_grant(const struct store_call *call)
{
	return call->txn_ops->len + GRANT_TXN_OPS <= GRANT_TXN_OPS_MAX;
}

/* server: 0 for the grant of a silent server. */
static void add_grant(struct node *n, struct commit_txn *t,
		      struct store_call *call, cs_handle server,
		      const struct sched_grant *grant, cs_time now)
{
	struct commit_grant row = { .server = server,
				    .id = g_strdup(grant->id),
				    .revision = grant->revision };
	char *key = grant_key(grant->id);

	store_call_expect(call, key, grant->revision);
	grant_write(n, call, grant, now);
	g_array_append_val(t->grants, row);
	g_free(key);
}

static void add_grants(struct node *n, struct commit_txn *t,
		       struct store_call *call, cs_time now)
{
	struct sched_grant grant;
	cs_handle h;

	while (has_room_for_grant(call) &&
	       (h = sched_take_grant(n->sched, &grant)))
		add_grant(n, t, call, h, &grant, now);
	while (has_room_for_grant(call) &&
	       sched_take_silent_grant(n->sched, &grant))
		add_grant(n, t, call, 0, &grant, now);
}

/*
 * Adds orders to hosts and removals of grants. A transaction that got no reply
 * and is carried out late must not remove a grant that was given again
 * meanwhile. So each of these is conditional on the revision of
 * KEY_ORDERED_HOSTS, only one is open at a time, and after one without a reply
 * the next always writes that key.
 */
static void add_host_orders(struct node *n, struct commit_txn *t,
			    struct store_call *call, cs_time now)
{
	struct commit *c = &n->commit;
	char *text;
	guint i;

	if (c->is_ordered_write_open)
		return;
	t->has_host_orders = sched_take_host_orders(n->sched, HOST_ORDERS_MAX,
						    ENDED_GRANTS_MAX, now) > 0;
	sched_ended_grants(n->sched, t->ended_grants, ENDED_GRANTS_MAX);
	if (!t->has_host_orders && !t->ended_grants->len &&
	    !c->is_ordered_write_uncertain)
		return;
	text = sched_ordered_hosts(n->sched, now);
	store_call_expect(call, KEY_ORDERED_HOSTS, c->ordered_revision);
	store_call_write(call, KEY_ORDERED_HOSTS,
			 g_bytes_new_take(text, strlen(text)), 0);
	t->writes_ordered_hosts = c->is_ordered_write_open = true;
	for (i = 0; i < t->ended_grants->len; i++) {
		char *key = grant_key(g_ptr_array_index(t->ended_grants, i));

		store_call_remove(call, key);
		g_free(key);
	}
}

/*
 * Removes all keys of a batch that has passed its retention time. The condition
 * on its progress fails once they are gone, also if a caller has submitted
 * another batch with the identifier since.
 */
static void add_expired(struct node *n, struct commit_txn *t,
			struct store_call *call, cs_time now)
{
	cs_handle h = n->commit.is_removal_open ?
			      0 :
			      sched_next_expired(n->sched, now);
	const struct batch *b;
	char key[STORE_KEY_MAX];

	if (!h || call->txn_ops->len + EXPIRED_TXN_OPS > STORE_TXN_MAX)
		return;
	b = sched_batch(n->sched, h);
	t->expired = h;
	n->commit.is_removal_open = true;
	g_snprintf(key, sizeof(key), KEY_JOBS "%s", b->id);
	store_call_remove(call, key);
	g_snprintf(key, sizeof(key), KEY_PROGRESS "%s", b->id);
	store_call_expect(call, key, sched_stored_revision(n->sched, h));
	store_call_remove(call, key);
	g_snprintf(key, sizeof(key), KEY_CANCELS "%s", b->id);
	store_call_remove(call, key);
}

static void on_timer(void *ctx, uint64_t arg, cs_time now)
{
	struct node *n = ctx;

	(void)arg;
	(void)now;
	n->commit.timer = 0; /* node_turn() follows every timer */
}

void commit_turn(struct node *n, cs_time now)
{
	struct commit *c = &n->commit;
	struct store_call *call;
	struct commit_txn *t;
	int i;

	if (n->owner.state != OWNER_ACTIVE || n->owner.is_releasing)
		return;
	for (i = 0; i < COMMITS_MAX && c->txns[i].is_open; i++)
		;
	if (i == COMMITS_MAX)
		return;
	t = &c->txns[i];
	if (now < c->not_before) {
		if (!c->timer)
			c->timer = timers_subscribe(n->timers, c->not_before,
						    on_timer, n, 0);
		return;
	}
	call = store_call_new(STORE_TXN, NULL, STORE_TIMEOUT_MS);
	store_call_expect(call, KEY_OWNER, n->owner.key_revision);
	txn_open(t);
	add_host_orders(n, t, call, now);
	add_grants(n, t, call, now);
	add_expired(n, t, call, now);
	add_batches(n, t, call);
	if (call->txn_ops->len == 1) {
		txn_clear(t);
		store_call_free(call);
		return;
	}
	c->not_before = now + COMMIT_GAP_US;
	counters_add(n->counters, "camphorshed_commits_total", "", 1);
	store_calls_send(n->calls, call, on_committed, n,
			 n->owner.term * COMMITS_MAX + (uint64_t)i);
}

/*
 * Updates the revision of KEY_ORDERED_HOSTS after a transaction that wrote it.
 * Once the revision has changed, the condition of every earlier transaction
 * fails, so none can be carried out late.
 */
static void update_ordered_revision(struct commit *c,
				    const struct store_reply *d)
{
	uint64_t revision = c->ordered_revision;

	if (d->result == STORE_OK)
		revision = d->revision;
	else if (d->result == STORE_CONFLICT)
		revision = store_revision_after(d, KEY_ORDERED_HOSTS, revision);
	else if (d->result == STORE_UNKNOWN)
		c->is_ordered_write_uncertain = true;
	if (revision != c->ordered_revision)
		c->is_ordered_write_uncertain = false;
	c->ordered_revision = revision;
}

static void apply_grant_result(struct node *n, const struct commit_grant *row,
			       const struct store_reply *d)
{
	bool is_stored = d->result == STORE_OK;
	uint64_t revision = d->revision;
	char *key;

	if (!is_stored) {
		key = grant_key(row->id);
		revision = store_revision_after(d, key, row->revision);
		g_free(key);
	}
	if (row->server)
		sched_grant_stored(n->sched, row->server, is_stored, revision);
	else if (is_stored)
		sched_silent_grant_stored(n->sched, row->id, revision);
}

/* True if the keys of the batch are gone. */
static bool is_expired_removed(const struct node *n, cs_handle h,
			       const struct store_reply *d)
{
	const struct batch *b = sched_batch(n->sched, h);
	uint64_t known = sched_stored_revision(n->sched, h);
	char key[STORE_KEY_MAX];

	if (d->result == STORE_OK || !b)
		return true;
	/* By a transaction that got no reply. */
	g_snprintf(key, sizeof(key), KEY_PROGRESS "%s", b->id);
	return store_revision_after(d, key, known) != known;
}

static void apply_result(struct node *n, struct commit_txn *t,
			 const struct store_reply *d, cs_time now)
{
	struct commit *c = &n->commit;
	bool is_stored = d->result == STORE_OK;
	guint i;

	if (t->writes_ordered_hosts) {
		update_ordered_revision(c, d);
		c->is_ordered_write_open = false;
	}
	for (i = 0; i < t->batches->len; i++) {
		const struct commit_batch *row =
			&g_array_index(t->batches, struct commit_batch, i);
		uint64_t known = sched_stored_revision(n->sched, row->batch);

		if (is_stored)
			sched_batch_stored(n->sched, row->batch, row->version,
					   d->revision, now);
		else
			sched_batch_store_failed(
				n->sched, row->batch,
				store_revision_after(d, row->key, known));
	}
	for (i = 0; i < t->grants->len; i++)
		apply_grant_result(
			n, &g_array_index(t->grants, struct commit_grant, i),
			d);
	for (i = 0; is_stored && i < t->ended_grants->len; i++)
		sched_ended_grant_removed(
			n->sched, g_ptr_array_index(t->ended_grants, i));
	if (t->expired) {
		c->is_removal_open = false;
		if (is_expired_removed(n, t->expired, d))
			sched_expired_removed(n->sched, t->expired);
	}
	if (t->has_host_orders)
		sched_host_orders_stored(n->sched, is_stored,
					 owner_lease_end(n), now);
	sched_commit_finished(n->sched, now);
}

static void log_failed(struct node *n, const struct commit_txn *t,
		       const struct store_reply *d)
{
	GString *pairs = g_string_new(NULL);

	log_pair_int(pairs, "term", (int64_t)n->owner.term);
	log_pair(pairs, "result", store_result_name(d->result));
	log_pair_int(pairs, "batches", t->batches->len);
	log_pair(pairs, "step", d->error.step);
	log_pair(pairs, "message", d->error.message);
	node_log(n, "commit_failed", pairs);
}

static void on_committed(void *ctx, uint64_t arg, const struct store_reply *d,
			 cs_time now)
{
	struct node *n = ctx;
	struct commit *c = &n->commit;
	struct commit_txn *t = &c->txns[arg % COMMITS_MAX];

	if (n->owner.state != OWNER_ACTIVE ||
	    arg / COMMITS_MAX != n->owner.term)
		return;
	if (d->result == STORE_CONFLICT &&
	    store_revision_after(d, KEY_OWNER, n->owner.key_revision) !=
		    n->owner.key_revision) {
		owner_lost(n, "a write found another owner", now);
		return;
	}
	if (d->result == STORE_OK) {
		owner_confirm(n, d->sent);
		c->retry_pause = RETRY_MIN_US;
	} else {
		log_failed(n, t, d);
		/* Transactions that failed together double the pause once. */
		if (d->result != STORE_CONFLICT && now >= c->not_before) {
			c->retry_pause = CLAMP(2 * c->retry_pause, RETRY_MIN_US,
					       RETRY_MAX_US);
			c->not_before = now + c->retry_pause;
		}
	}
	apply_result(n, t, d, now);
	txn_clear(t);
}
