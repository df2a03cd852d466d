#ifndef STORE_STORE_CALLS_H
#define STORE_STORE_CALLS_H

#include "store.h"

/*
 * The pending calls of one task to the store, each with the function that
 * handles the reply.
 */
struct store_calls;

typedef void (*store_reply_fn)(void *ctx, uint64_t arg,
			       const struct store_reply *reply, cs_time now);

struct store_calls *store_calls_create(const struct store_port *port,
				       void *port_ctx);
void store_calls_destroy(struct store_calls *calls);

/*
 * Takes over the call and sends it; fn(ctx, arg, ...) handles the reply.
 * Returns a handle, or 0, without a call of fn, if too many calls are pending.
 */
cs_handle store_calls_send(struct store_calls *calls, struct store_call *call,
			   store_reply_fn fn, void *ctx, uint64_t arg);

/* Drops the reply to this call when it comes. */
void store_calls_forget(struct store_calls *calls, cs_handle call);

/* Passes a reply to its function, unless the call was forgotten. */
void store_calls_on_reply(struct store_calls *calls,
			  const struct store_reply *reply, cs_time now);

/* How long calls other than watches take at present; 0: not known. */
cs_time store_calls_latency(const struct store_calls *calls, cs_time now);

#endif
