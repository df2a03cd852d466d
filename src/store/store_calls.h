#ifndef STORE_STORE_CALLS_H
#define STORE_STORE_CALLS_H

#include "store.h"

/*
 * The calls of one task to the store that have no answer yet, each with the
 * function that takes its answer.
 */
struct store_calls;

typedef void (*store_done_fn)(void *ctx, uint64_t arg,
			      const struct store_done *done, cs_time now);

struct store_calls *store_calls_create(const struct store_port *port,
				       void *port_ctx);
void store_calls_destroy(struct store_calls *calls);

/* Sends a call, which is taken over; fn(ctx, arg, ...) takes its answer. */
cs_handle store_calls_send(struct store_calls *calls, struct store_call *call,
			   store_done_fn fn, void *ctx, uint64_t arg);

/* The answer of this call, if it still comes, goes nowhere. */
void store_calls_forget(struct store_calls *calls, cs_handle call);

/* Passes an answer on. One that nobody waits for is dropped. */
void store_calls_answer(struct store_calls *calls,
			const struct store_done *done, cs_time now);

#endif
