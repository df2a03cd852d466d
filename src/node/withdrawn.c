#include "node_private.h"

#include <string.h>

#include "../base/error.h"
#include "../base/log.h"

/*
 * Identifiers that were cancelled while no job was stored under them. A write
 * of the submission that got no reply may be carried out seconds later, so the
 * cancellation takes the job's key: a submission is stored only if the key does
 * not exist. The owner removes the key again after the time for which ended
 * jobs are kept, by then no such write is left.
 */

/* Pause after a removal that failed. */
#define RETRY_US (1 * CS_SEC)

struct withdrawn {
	char id[BATCH_ID_MAX];
	uint64_t revision;
	cs_time expires_at;
};

void withdrawn_add(struct node *n, const char *id, uint64_t revision,
		   cs_time now)
{
	struct withdrawn *row;

	if (!batch_id_is_valid(id))
		return;
	row = g_new0(struct withdrawn, 1);
	cs_copy(row->id, sizeof(row->id), id);
	row->revision = revision;
	row->expires_at = now + SCHED_RETENTION_US;
	g_queue_push_tail(&n->withdrawn.rows, row);
}

void withdrawn_reset(struct node *n)
{
	g_queue_clear_full(&n->withdrawn.rows, g_free);
	memset(&n->withdrawn, 0, sizeof(n->withdrawn));
}

static void on_removed(void *ctx, uint64_t arg, const struct store_reply *d,
		       cs_time now)
{
	struct node *n = ctx;
	GString *pairs;

	if (n->owner.state != OWNER_ACTIVE || arg != n->owner.term)
		return;
	n->withdrawn.is_removal_open = false;
	/* After a conflict the key is gone, or another owner removes it. */
	if (d->result == STORE_OK || d->result == STORE_CONFLICT) {
		g_free(g_queue_pop_head(&n->withdrawn.rows));
		return;
	}
	n->withdrawn.not_before = now + RETRY_US;
	pairs = g_string_new(NULL);
	log_pair(pairs, "result", store_result_name(d->result));
	node_log(n, "withdrawn_removal_failed", pairs);
}

void withdrawn_turn(struct node *n, cs_time now)
{
	const struct withdrawn *row = g_queue_peek_head(&n->withdrawn.rows);
	struct store_call *call;
	char key[STORE_KEY_MAX];

	if (!row || n->owner.state != OWNER_ACTIVE ||
	    n->withdrawn.is_removal_open || now < row->expires_at ||
	    now < n->withdrawn.not_before)
		return;
	g_snprintf(key, sizeof(key), KEY_JOBS "%s", row->id);
	call = store_call_new(STORE_TXN, NULL, STORE_TIMEOUT_MS);
	store_call_expect(call, KEY_OWNER, n->owner.key_revision);
	store_call_expect(call, key, row->revision);
	store_call_remove(call, key);
	n->withdrawn.is_removal_open = true;
	if (!store_calls_send(n->calls, call, on_removed, n, n->owner.term))
		n->withdrawn.is_removal_open = false;
}
