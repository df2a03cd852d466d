#include "node_private.h"

#include "../base/error.h"
#include "../base/log.h"

/*
 * What the owner has learned, stored for the next one. The key has a prefix of
 * its own, as all entries watch KEY_CONTROL and the owner watches KEY_ROOT.
 * Only a new owner reads it, while it loads.
 */

/* Interval of writing, and the time from the begin of a term to the first. */
#define STORE_INTERVAL_US (15 * CS_SEC)
#define FIRST_STORE_US (5 * CS_SEC)
/* Interval after a write that failed. */
#define RETRY_US (5 * CS_SEC)

static void on_stored(void *ctx, uint64_t arg, const struct store_reply *d,
		      cs_time now)
{
	struct node *n = ctx;

	(void)arg;
	n->learned.is_write_open = false;
	if (d->result == STORE_OK) {
		n->learned.revision = MAX(n->learned.revision, d->revision);
		owner_confirm(n, d->sent);
		return;
	}
	n->learned.revision =
		store_revision_after(d, KEY_LEARNED, n->learned.revision);
	n->learned.next_store_at = now + RETRY_US;
}

static void store(struct node *n, GBytes *value)
{
	struct store_call *call =
		store_call_new(STORE_TXN, NULL, STORE_TIMEOUT_MS);

	store_call_expect(call, KEY_OWNER, n->owner.key_revision);
	/* A write without a reply must not be carried out after a later one. */
	store_call_expect(call, KEY_LEARNED, n->learned.revision);
	store_call_write(call, KEY_LEARNED, value, 0);
	n->learned.is_write_open =
		store_calls_send(n->calls, call, on_stored, n, 0) != 0;
}

void learned_begin(struct node *n, cs_time now)
{
	n->learned.revision = 0;
	n->learned.next_store_at = now + FIRST_STORE_US;
}

void learned_turn(struct node *n, cs_time now)
{
	GBytes *value;

	if (n->owner.state != OWNER_ACTIVE || n->learned.is_write_open ||
	    now < n->learned.next_store_at)
		return;
	n->learned.next_store_at = now + STORE_INTERVAL_US;
	value = sched_learned(n->sched);
	if (value)
		store(n, value);
}

void learned_read(struct node *n, const struct store_item *item)
{
	gsize size;
	const void *data = g_bytes_get_data(item->value, &size);
	int code;
	GString *pairs;

	if (g_strcmp0(item->key, KEY_LEARNED) != 0)
		return;
	n->learned.revision = MAX(n->learned.revision, item->revision);
	code = sched_restore_learned(n->sched, data, size);
	pairs = g_string_new(NULL);
	log_pair_int(pairs, "bytes", (int64_t)size);
	log_pair_int(pairs, "revision", (int64_t)item->revision);
	node_log(n, code ? "learned_unreadable" : "learned_read", pairs);
	counters_add(n->counters,
		     code ? "camphorshed_unreadable_learned_total" :
			    "camphorshed_learned_reads_total",
		     "", 1);
}
