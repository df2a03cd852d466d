#include "ledger_account.h"

#include <inttypes.h>
#include <string.h>

#include "../base/error.h"
#include "../base/log.h"
#include "ledger_codec.h"

/* Minimum time between writes of a document by this entry. */
#define WRITE_INTERVAL CS_SEC

/* Spreads the writes of entries that react to the same change. */
#define WRITE_JITTER_MS 100

/* Delay between reads while the platform does not reply. */
#define READ_RETRY (CS_SEC / 2)

/*
 * Longest delay of the write that follows a conflict. It is shorter than
 * WRITE_INTERVAL, since the refused write changed nothing.
 */
#define CONFLICT_JITTER_MS 20

static cs_time jitter(struct part_ctx *ctx, int max_ms)
{
	return g_rand_int_range(ctx->rng, 0, max_ms) * CS_MSEC;
}

struct ledger_account *ledger_account_create(const char *name)
{
	struct ledger_account *a = g_new0(struct ledger_account, 1);

	g_snprintf(a->key, sizeof(a->key), "ledger/%s", name);
	a->doc = ledger_create(name);
	a->in_doubt =
		g_ptr_array_new_with_free_func((GDestroyNotify)ledger_destroy);
	a->due = CS_TIME_NEVER;
	return a;
}

void ledger_account_destroy(struct ledger_account *a)
{
	if (!a)
		return;
	ledger_destroy(a->doc);
	ledger_destroy(a->candidate);
	g_ptr_array_unref(a->in_doubt);
	g_free(a);
}

/* Once a newer version exists, writes in doubt can't take effect any more. */
static void set_version(struct ledger_account *a, uint64_t version)
{
	a->version = version;
	a->is_known = true;
	a->is_malformed = false;
	if (version > a->in_doubt_version) {
		g_ptr_array_set_size(a->in_doubt, 0);
		a->must_write = false;
	}
}

static void report_malformed(struct part_ctx *ctx,
			     const struct ledger_account *a,
			     const struct cs_error *err)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "event", "bad_document");
	log_pair(pairs, "key", a->key);
	log_pair(pairs, "message", err->message);
	part_event(ctx, LOG_ERROR, err->step, err->peer, NULL, pairs);
	counters_add(ctx->counters, "ledger_bad_documents_total", "", 1);
}

bool ledger_account_update(struct part_ctx *ctx, struct ledger_account *a,
			   uint64_t version, GBytes *value)
{
	struct cs_error err = { 0 };
	struct ledger *l;

	if (version <= a->version)
		return false;
	l = ledger_decode(value, a->doc->account, &err);
	if (!l) {
		report_malformed(ctx, a, &err);
		set_version(a, version);
		a->is_known = false;
		a->is_malformed = true;
		return true;
	}
	ledger_destroy(a->doc);
	a->doc = l;
	set_version(a, version);
	return true;
}

void ledger_account_read(struct part_ctx *ctx, struct ledger_account *a,
			 uint64_t token)
{
	a->token = token;
	a->is_write = false;
	a->must_read = false;
	part_emit(ctx, part_kv_call(PART_LEDGER, KV_GET, a->key, token));
}

void ledger_account_write(struct part_ctx *ctx, struct ledger_account *a,
			  struct ledger *candidate, uint64_t token)
{
	struct msg *msg = part_kv_call(PART_LEDGER, KV_CAS, a->key, token);
	struct kv_call *call = &msg->u.kv_call;

	g_snprintf(candidate->change_id, sizeof(candidate->change_id),
		   "%.16s-%" PRIx64 "-%" PRIx64, ctx->options->id,
		   ctx->options->incarnation, token);
	cs_copy(call->change_id, sizeof(call->change_id), candidate->change_id);
	call->version = a->version;
	call->value = ledger_encode(candidate);
	a->token = token;
	a->is_write = true;
	a->write_version = a->version;
	a->candidate = candidate;
	a->due = CS_TIME_NEVER;
	a->next_write =
		ctx->now + WRITE_INTERVAL + jitter(ctx, WRITE_JITTER_MS);
	counters_add(ctx->counters, "ledger_writes_total", "", 1);
	part_emit(ctx, msg);
}

/*
 * The candidate becomes the document, unless the watch has delivered this or a
 * newer version before the reply came.
 */
static void confirm_write(struct ledger_account *a, uint64_t version)
{
	if (version <= a->version)
		return;
	ledger_destroy(a->doc);
	a->doc = a->candidate;
	a->candidate = NULL;
	set_version(a, version);
}

/* Keeps a write that may have taken effect or may do so later. */
static void keep_in_doubt(struct part_ctx *ctx, struct ledger_account *a)
{
	counters_add(ctx->counters, "ledger_writes_lost_total", "", 1);
	if (MUTANT(ctx, "ledger-assume-lost-write-failed"))
		return;
	a->must_read = true;
	a->in_doubt_version = a->version;
	g_ptr_array_add(a->in_doubt, a->candidate);
	a->candidate = NULL;
}

/*
 * Handles the outcome of a write; returns whether the document may have
 * changed. The candidate is freed unless it became the document or is in
 * doubt.
 */
static bool handle_write_reply(struct part_ctx *ctx, struct ledger_account *a,
			       const struct kv_done *done)
{
	bool changed = false;

	switch (done->result) {
	case KV_OK:
		confirm_write(a, done->version);
		changed = true;
		break;
	case KV_CONFLICT:
		a->next_write = ctx->now + jitter(ctx, CONFLICT_JITTER_MS);
		counters_add(ctx->counters, "ledger_conflicts_total", "", 1);
		if (done->rows_nr && done->rows[0].version)
			changed = ledger_account_update(ctx, a,
							done->rows[0].version,
							done->rows[0].value);
		else
			a->must_read = true;
		break;
	case KV_UNAVAILABLE:
		break;
	default:
		/* A newer version from the watch rules this write out. */
		if (a->version == a->write_version)
			keep_in_doubt(ctx, a);
		break;
	}
	ledger_destroy(a->candidate);
	a->candidate = NULL;
	return changed;
}

/*
 * Handles the reply to a read; returns whether the document changed. A
 * document may be missing only if it was never seen. If writes are still in
 * doubt, another write is made, because only a newer version rules them out.
 */
static bool handle_read_reply(struct part_ctx *ctx, struct ledger_account *a,
			      const struct kv_done *done)
{
	bool changed = false;

	if (done->result == KV_OK && done->rows_nr) {
		changed = ledger_account_update(ctx, a, done->rows[0].version,
						done->rows[0].value);
		if (done->rows[0].version == a->version)
			a->is_known = !a->is_malformed;
	} else if (done->result == KV_MISSING && !a->version) {
		a->is_known = true;
	} else {
		/* A document is never removed; no task starts without it. */
		if (done->result == KV_MISSING)
			a->is_known = false;
		a->must_read = true;
		a->next_read =
			ctx->now + READ_RETRY + jitter(ctx, WRITE_JITTER_MS);
		return false;
	}
	a->must_write = a->in_doubt->len > 0;
	return changed;
}

bool ledger_account_handle_reply(struct part_ctx *ctx, struct ledger_account *a,
				 const struct kv_done *done)
{
	a->token = 0;
	if (!a->is_write)
		return handle_read_reply(ctx, a, done);
	return handle_write_reply(ctx, a, done);
}

void ledger_account_for_each_state(const struct ledger_account *a,
				   void (*fn)(void *ctx,
					      const struct ledger *l),
				   void *ctx)
{
	guint i;

	fn(ctx, a->doc);
	if (a->candidate)
		fn(ctx, a->candidate);
	for (i = 0; i < a->in_doubt->len; i++)
		fn(ctx, g_ptr_array_index(a->in_doubt, i));
}
