#ifndef SCHED_POOLS_BALANCE_H
#define SCHED_POOLS_BALANCE_H

#include "../sched.h"

struct sched;
struct balance;

struct balance *balance_create(struct sched *s, cs_time now);
void balance_destroy(struct balance *b);
void balance_on_reply(struct sched *s, const struct order_reply *d,
		      cs_time now);
/* True until the list of hosts shows that a move has ended. */
bool balance_is_moving(const struct sched *s, const char *host);

#endif
