#include "store.h"

static void item_free(void *row)
{
	struct store_item *i = row;

	g_free(i->key);
	if (i->value)
		g_bytes_unref(i->value);
	g_free(i);
}

static void txn_op_free(void *row)
{
	struct store_txn_op *e = row;

	g_free(e->key);
	if (e->value)
		g_bytes_unref(e->value);
	g_free(e);
}

struct store_call *store_call_new(enum store_op op, const char *key,
				  int64_t timeout_ms)
{
	struct store_call *c = g_new0(struct store_call, 1);

	c->op = op;
	c->key = g_strdup(key);
	c->timeout_ms = timeout_ms;
	if (op == STORE_TXN)
		c->txn_ops = g_ptr_array_new_with_free_func(txn_op_free);
	return c;
}

void store_call_free(struct store_call *c)
{
	if (!c)
		return;
	g_free(c->key);
	g_free(c->page_after);
	if (c->txn_ops)
		g_ptr_array_free(c->txn_ops, TRUE);
	g_free(c);
}

static struct store_txn_op *add_txn_op(struct store_call *c,
				       enum store_txn_op_kind kind,
				       const char *key)
{
	struct store_txn_op *e = g_new0(struct store_txn_op, 1);

	e->kind = kind;
	e->key = g_strdup(key);
	g_ptr_array_add(c->txn_ops, e);
	return e;
}

void store_call_expect(struct store_call *c, const char *key, uint64_t revision)
{
	add_txn_op(c, STORE_EXPECT, key)->revision = revision;
}

void store_call_write(struct store_call *c, const char *key, GBytes *value,
		      uint64_t lease)
{
	struct store_txn_op *e = add_txn_op(c, STORE_WRITE, key);

	e->value = value;
	e->lease = lease;
}

void store_call_remove(struct store_call *c, const char *key)
{
	add_txn_op(c, STORE_REMOVE, key);
}

struct store_reply *store_reply_new(const struct store_call *c)
{
	struct store_reply *d = g_new0(struct store_reply, 1);

	d->op = c->op;
	d->ref = c->ref;
	d->result = STORE_REFUSED;
	d->items = g_ptr_array_new_with_free_func(item_free);
	return d;
}

void store_reply_free(struct store_reply *d)
{
	if (!d)
		return;
	g_ptr_array_free(d->items, TRUE);
	g_free(d);
}

void store_reply_add(struct store_reply *d, const char *key, GBytes *value,
		     uint64_t revision, uint64_t created, uint64_t lease)
{
	struct store_item *i = g_new0(struct store_item, 1);

	i->key = g_strdup(key);
	i->value = value;
	i->revision = revision;
	i->created = created;
	i->lease = lease;
	g_ptr_array_add(d->items, i);
}

char *store_text(GBytes *value)
{
	gsize size;
	const char *data = g_bytes_get_data(value, &size);

	return size ? g_strndup(data, size) : g_strdup("");
}

bool store_value_is(GBytes *value, const char *text)
{
	gsize size;
	const void *data = g_bytes_get_data(value, &size);

	return size == strlen(text) && !memcmp(data, text, size);
}

uint64_t store_revision_after(const struct store_reply *d, const char *key,
			      uint64_t known)
{
	guint i;

	for (i = 0; d->result == STORE_CONFLICT && i < d->items->len; i++) {
		const struct store_item *item = g_ptr_array_index(d->items, i);

		if (!strcmp(item->key, key))
			return item->value ? item->revision : 0;
	}
	return d->result == STORE_CONFLICT ? 0 : known;
}

const char *store_op_name(enum store_op op)
{
	static const char *const names[] = { "get",   "list", "watch",	  "txn",
					     "lease", "keep", "lease_end" };

	return names[op];
}

const char *store_result_name(enum store_result result)
{
	static const char *const names[] = { "ok",	  "conflict", "missing",
					     "compacted", "refused",  "unknown",
					     "unreadable" };

	return names[result];
}
