#include "store_calls.h"

#include "../base/slots.h"

/*
 * Pending calls: each open request has at most one, and there are 65,536 of
 * these at most. The rest is for views and transactions, so it is never full.
 */
#define PENDING_MAX (1u << 17)

/* Weight of a call in the moving average of the time that calls take. */
#define LATENCY_WEIGHT 0.3
/* The average says nothing of the present without a call for this long. */
#define LATENCY_AGE_MAX_US (3 * CS_SEC)

struct store_calls {
	const struct store_port *port;
	void *port_ctx;
	struct slots *pending;
	double latency_us; /* moving average */
	cs_time measured_at; /* the last reply that it includes; 0: none */
};

struct pending_call {
	store_reply_fn fn;
	void *ctx;
	uint64_t arg;
	bool is_measured; /* a watch waits, so it tells nothing of the store */
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
	row->is_measured = call->op != STORE_WATCH;
	c->port->call(c->port_ctx, call);
	return ref;
}

void store_calls_forget(struct store_calls *c, cs_handle call)
{
	slots_free(c->pending, call);
}

/* A refusal comes at once, however long a call takes that is carried out. */
static void measure(struct store_calls *c, const struct store_reply *reply,
		    cs_time now)
{
	double took = (double)(now - reply->sent);

	if (reply->result == STORE_REFUSED)
		return;
	if (!c->measured_at || now - c->measured_at > LATENCY_AGE_MAX_US)
		c->latency_us = took;
	c->latency_us += (took - c->latency_us) * LATENCY_WEIGHT;
	c->measured_at = now;
}

cs_time store_calls_latency(const struct store_calls *c, cs_time now)
{
	if (!c->measured_at || now - c->measured_at > LATENCY_AGE_MAX_US)
		return 0;
	return (cs_time)c->latency_us;
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
	if (copy.is_measured)
		measure(c, reply, now);
	copy.fn(copy.ctx, copy.arg, reply, now);
}
