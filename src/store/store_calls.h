#ifndef STORE_STORE_CALLS_H
#define STORE_STORE_CALLS_H

#include "store.h"

/*
 * The pending calls of one task to the store, each with the function that takes
 * its answer.
 */
struct store_calls;

typedef void (*store_done_fn)(void *ctx, uint64_t arg,
			      const struct store_reply *done, cs_time now);

struct store_calls *store_calls_create(const struct store_port *port,
				       void *port_ctx);
void store_calls_destroy(struct store_calls *calls);

/*
 * Takes over the call and sends it; fn(ctx, arg, ...) takes its answer. Returns
 * a handle, or 0, without a call of fn, if too many calls are pending.
 */
cs_handle store_calls_send(struct store_calls *calls, struct store_call *call,
			   store_done_fn fn, void *ctx, uint64_t arg);

/* Drops the answer of this call when it comes. */
void store_calls_forget(struct store_calls *calls, cs_handle call);

/* Passes an answer to the function that takes it. Ignores a forgotten call's.
 */
void store_calls_answer(struct store_calls *calls,
			const struct store_reply *done, cs_time now);

#endif
