#include "fake_config_kv.h"

#include <string.h>

struct waiting_watch {
	int node;
	struct kv_call call;
	cs_time deadline;
};

static void free_row(void *row)
{
	g_bytes_unref(((struct kv_row *)row)->value);
	g_free(row);
}

void fake_config_kv_init(struct fake_config_kv *kv)
{
	memset(kv, 0, sizeof(*kv));
	kv->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_row);
	g_queue_init(&kv->watches);
}

void fake_config_kv_clear(struct fake_config_kv *kv)
{
	g_hash_table_destroy(kv->rows);
	g_queue_clear_full(&kv->watches, g_free);
}

void fake_config_kv_put(struct fake_config_kv *kv, const char *key,
			GBytes *value)
{
	struct kv_row *row = g_new0(struct kv_row, 1);

	g_strlcpy(row->key, key, sizeof(row->key));
	row->version = ++kv->revision;
	row->value = g_bytes_ref(value);
	g_hash_table_replace(kv->rows, row->key, row);
}

static struct msg *answer(const struct kv_call *call, enum kv_result result)
{
	struct msg *msg = msg_new(MSG_KV_DONE);

	msg->u.kv_done.part = call->part;
	msg->u.kv_done.token = call->token;
	msg->u.kv_done.op = call->op;
	msg->u.kv_done.result = result;
	g_strlcpy(msg->u.kv_done.key, call->key, sizeof(call->key));
	return msg;
}

static void add_row(struct kv_done *done, const struct kv_row *row)
{
	done->rows = g_renew(struct kv_row, done->rows, done->rows_nr + 1);
	done->rows[done->rows_nr] = *row;
	g_bytes_ref(done->rows[done->rows_nr++].value);
	done->version = row->version;
}

/* Rows of the prefix after a revision; NULL if there are none. */
static struct msg *changes(struct fake_config_kv *kv,
			   const struct kv_call *call)
{
	struct msg *msg = answer(call, KV_OK);
	GHashTableIter iter;
	void *row;

	msg->u.kv_done.revision = kv->revision;
	g_hash_table_iter_init(&iter, kv->rows);
	while (g_hash_table_iter_next(&iter, NULL, &row)) {
		const struct kv_row *r = row;

		if (g_str_has_prefix(r->key, call->key) &&
		    r->version > call->version)
			add_row(&msg->u.kv_done, r);
	}
	return msg;
}

static struct msg *cas(struct fake_config_kv *kv, const struct kv_call *call)
{
	const struct kv_row *row = g_hash_table_lookup(kv->rows, call->key);
	struct msg *msg;

	if (kv->lose_calls > 0) {
		kv->lose_calls--;
		return answer(call, KV_UNKNOWN);
	}
	if (call->version != (row ? row->version : 0)) {
		msg = answer(call, KV_CONFLICT);
		if (row)
			add_row(&msg->u.kv_done, row);
		return msg;
	}
	fake_config_kv_put(kv, call->key, call->value);
	msg = answer(call, kv->lose_answers > 0 ? KV_UNKNOWN : KV_OK);
	if (kv->lose_answers > 0)
		kv->lose_answers--;
	else
		msg->u.kv_done.version = kv->revision;
	return msg;
}

struct msg *fake_config_kv_call(struct fake_config_kv *kv, int node,
				const struct kv_call *call, cs_time now)
{
	const struct kv_row *row = g_hash_table_lookup(kv->rows, call->key);
	struct waiting_watch *w;
	struct msg *msg;

	kv->calls++;
	if (kv->is_down)
		return answer(call, KV_UNAVAILABLE);
	if (call->op == KV_CAS)
		return cas(kv, call);
	if (call->op == KV_GET) {
		msg = answer(call, row ? KV_OK : KV_MISSING);
		if (row)
			add_row(&msg->u.kv_done, row);
		return msg;
	}
	msg = changes(kv, call);
	if (call->op == KV_LIST || msg->u.kv_done.rows_nr)
		return msg;
	msg_free(msg);
	w = g_new0(struct waiting_watch, 1);
	w->node = node;
	w->call = *call;
	w->deadline = now + call->wait_ms * CS_MSEC;
	g_queue_push_tail(&kv->watches, w);
	return NULL;
}

struct fake_config_answer fake_config_kv_poll(struct fake_config_kv *kv,
					      cs_time now)
{
	struct fake_config_answer out = { 0 };
	GList *i;

	for (i = kv->watches.head; i; i = i->next) {
		struct waiting_watch *w = i->data;
		struct msg *msg = kv->is_down ?
					  answer(&w->call, KV_UNAVAILABLE) :
					  changes(kv, &w->call);

		if (!kv->is_down && !msg->u.kv_done.rows_nr &&
		    now < w->deadline) {
			msg_free(msg);
			continue;
		}
		out.node = w->node;
		out.msg = msg;
		g_queue_delete_link(&kv->watches, i);
		g_free(w);
		return out;
	}
	return out;
}
