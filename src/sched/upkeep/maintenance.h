#ifndef SCHED_UPKEEP_MAINTENANCE_H
#define SCHED_UPKEEP_MAINTENANCE_H

#include "../sched.h"

struct sched;
struct maintenance;

/* True while a wave empties the host or the host is under maintenance. */
bool maintenance_has_host(const struct sched *s, const char *host);
struct maintenance *maintenance_create(struct sched *s);
void maintenance_destroy(struct maintenance *m);
void maintenance_on_reply(struct sched *s, const struct order_reply *d,
			  cs_time now);

#endif
