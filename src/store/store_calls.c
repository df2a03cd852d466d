#include "store_calls.h"

#include "../base/slots.h"

/*
 * Pending calls: each open request has at most one, and there are 65,536 of
 * these at most. The rest is for views and transactions, so it is never full.
 */
#define PENDING_MAX (1u << 17)

struct store_calls {
	const struct store_port *port;
	void *port_ctx;
	struct slots *pending;
};

struct pending_call {
	store_reply_fn fn;
	void *ctx;
	uint64_t arg;
};

struct store_calls *store_calls_create(const struct store_port *port,
				       void *port_ctx)
{
	struct store_calls *c = g_new0(struct store_calls, 1);

	c->port = port;
	c->port_ctx = port_ctx;
	c->pending = slots_create(sizeof(struct pending_call), PENDING_MAX);
	return c;
}

void store_calls_destroy(struct store_calls *c)
{
	if (!c)
		return;
	slots_destroy(c->pending);
	g_free(c);
}

cs_handle store_calls_send(struct store_calls *c, struct store_call *call,
			   store_reply_fn fn, void *ctx, uint64_t arg)
{
	struct pending_call *row;
	cs_handle ref = slots_alloc(c->pending, (void **)&row);

	call->ref = ref;
	if (!ref) {
		store_call_free(call);
		return 0;
	}
	row->fn = fn;
	row->ctx = ctx;
	row->arg = arg;
	c->port->call(c->port_ctx, call);
	return ref;
}

void store_calls_forget(struct store_calls *c, cs_handle call)
{
	slots_free(c->pending, call);
}

void store_calls_on_reply(struct store_calls *c,
			  const struct store_reply *reply, cs_time now)
{
	struct pending_call *row = slots_get(c->pending, reply->ref);
	struct pending_call copy;

	if (!row)
		return;
	copy = *row;
	slots_free(c->pending, reply->ref);
	copy.fn(copy.ctx, copy.arg, reply, now);
}
