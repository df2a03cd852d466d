#ifndef SCHED_RUNS_FENCE_H
#define SCHED_RUNS_FENCE_H

#include "server.h"

struct sched;

struct fence *fence_create(uint64_t token);
void fence_destroy(struct fence *fence);
/* Sets the token of the orders to a server that has got a row. */
void fence_add_server(struct sched *s, struct server *v, cs_time now);
/*
 * The server has another incarnation, which is to reject the orders that were
 * meant for the former one. Asks for a higher token if none is left.
 */
void fence_next_incarnation(struct sched *s, struct server *v);
/* The row of the server is removed; it may register again. */
void fence_remove_server(struct sched *s, const struct server *v, cs_time now);
/*
 * True if the reply shows that the server rejects all orders that were meant
 * for former incarnations.
 */
bool fence_is_effective(const struct server *v, const struct order_reply *d);
/*
 * True if a refusal for a lower token shows that another entry is the owner. An
 * order with a token from before the present one of the server is refused as it
 * should be.
 */
bool fence_is_of_successor(const struct server *v, const struct order_reply *d);

#endif
