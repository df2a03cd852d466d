#include "fake_kv.h"

#include <string.h>

#include "../../src/base/error.h"

static void free_row(void *row)
{
	g_bytes_unref(((struct kv_row *)row)->value);
	g_free(row);
}

void fake_kv_init(struct fake_kv *kv)
{
	memset(kv, 0, sizeof(*kv));
	kv->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
	kv->watches = g_ptr_array_new_with_free_func(g_free);
}

void fake_kv_clear(struct fake_kv *kv)
{
	g_hash_table_unref(kv->rows);
	g_ptr_array_unref(kv->watches);
}

void fake_kv_put(struct fake_kv *kv, const char *key, GBytes *value)
{
	struct kv_row *row = g_new0(struct kv_row, 1);

	cs_copy(row->key, sizeof(row->key), key);
	row->version = ++kv->revision;
	row->value = g_bytes_ref(value);
	g_hash_table_replace(kv->rows, row->key, row);
}

GBytes *fake_kv_value(const struct fake_kv *kv, const char *key)
{
	const struct kv_row *row = g_hash_table_lookup(kv->rows, key);

	return row ? row->value : NULL;
}

static void add_row(struct kv_done *done, const struct kv_row *row)
{
	done->rows = g_renew(struct kv_row, done->rows, done->rows_nr + 1);
	done->rows[done->rows_nr] = *row;
	g_bytes_ref(done->rows[done->rows_nr++].value);
	done->version = row->version;
}

/* Rows with the call's prefix that were written after a revision. */
static struct msg *changed_rows(const struct fake_kv *kv,
				const struct kv_call *call, uint64_t since)
{
	struct msg *msg = msg_kv_done(call, KV_OK);
	GHashTableIter iter;
	void *row;

	msg->u.kv_done.revision = kv->revision;
	if (kv->revision <= since)
		return msg;
	g_hash_table_iter_init(&iter, kv->rows);
	while (g_hash_table_iter_next(&iter, NULL, &row)) {
		const struct kv_row *r = row;

		if (g_str_has_prefix(r->key, call->key) && r->version > since)
			add_row(&msg->u.kv_done, r);
	}
	return msg;
}

static struct msg *cas(struct fake_kv *kv, const struct kv_call *call,
		       enum fake_fault fault)
{
	const struct kv_row *row = g_hash_table_lookup(kv->rows, call->key);
	bool is_current = (row ? row->version : 0) == call->version;
	struct msg *msg;

	if (fault == FAKE_LOST_LATE || fault == FAKE_LOST_DROPPED)
		return msg_kv_done(call, KV_UNKNOWN);
	if (is_current)
		fake_kv_put(kv, call->key, call->value);
	if (fault == FAKE_LOST_APPLIED)
		return msg_kv_done(call, KV_UNKNOWN);
	msg = msg_kv_done(call, is_current ? KV_OK : KV_CONFLICT);
	if (is_current)
		msg->u.kv_done.version = kv->revision;
	else if (row)
		add_row(&msg->u.kv_done, row);
	return msg;
}

struct msg *fake_kv_call(struct fake_kv *kv, const struct kv_call *call,
			 enum fake_fault fault)
{
	const struct kv_row *row = g_hash_table_lookup(kv->rows, call->key);
	struct msg *msg;

	switch (call->op) {
	case KV_GET:
		msg = msg_kv_done(call, row ? KV_OK : KV_MISSING);
		if (row)
			add_row(&msg->u.kv_done, row);
		return msg;
	case KV_LIST:
		return changed_rows(kv, call, 0);
	case KV_CAS:
		return cas(kv, call, fault);
	default:
		return msg_kv_done(call, KV_UNAVAILABLE);
	}
}

void fake_kv_watch(struct fake_kv *kv, const struct kv_call *call, void *caller,
		   uint64_t incarnation, cs_time now)
{
	struct fake_watch *w = g_new0(struct fake_watch, 1);

	w->caller = caller;
	w->incarnation = incarnation;
	w->call = *call;
	w->until = now + call->wait_ms * CS_MSEC;
	g_ptr_array_add(kv->watches, w);
}

struct msg *fake_kv_poll(struct fake_kv *kv, cs_time now,
			 bool (*is_cut_off)(const void *caller),
			 struct fake_watch *ended)
{
	guint i;

	for (i = 0; i < kv->watches->len; i++) {
		struct fake_watch *w = g_ptr_array_index(kv->watches, i);
		struct msg *msg;

		if (is_cut_off(w->caller))
			msg = msg_kv_done(&w->call, KV_UNAVAILABLE);
		else
			msg = changed_rows(kv, &w->call, w->call.version);
		if (msg->u.kv_done.result == KV_OK && !msg->u.kv_done.rows_nr &&
		    now < w->until) {
			msg_free(msg);
			continue;
		}
		*ended = *w;
		g_ptr_array_remove_index_fast(kv->watches, i);
		return msg;
	}
	return NULL;
}
