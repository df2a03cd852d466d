#ifndef SCHED_POOLS_HOSTS_H
#define SCHED_POOLS_HOSTS_H

#include "../runs/server.h"

struct sched;

struct hosts;

/*
 * The host service does not check fencing tokens everywhere, so orders to hosts
 * are given only if the ownership was confirmed within this time.
 */
#define HOST_ORDER_CONFIRM_AGE_US (1500 * CS_MSEC)
/* Creates an order to a host; NULL if no order may be given now. */
struct order *hosts_new_order(const struct sched *s, enum order_type type,
			      const char *host, cs_time now);
/*
 * Queues an order from hosts_new_order() and takes ownership of it; it is sent
 * once it is stored. server is the one on the host, which has no runs, or NULL.
 */
void hosts_queue_order(struct sched *s, struct order *o,
		       const struct server *server);
/*
 * True while the host can't get an order because a predecessor may have sent
 * one within the pause between holders.
 */
bool hosts_is_blocked(const struct sched *s, const char *host, cs_time now);
/*
 * True while an order of a predecessor may be carried out, as it was sent
 * within the pause before the term began. The service promises no bound; it is
 * that of orders to servers.
 */
bool hosts_may_have_late_order(const struct sched *s, const char *host,
			       cs_time now);
/* Timeout of calls to the host service. */
#define HOST_TIMEOUT_MS 2000
struct hosts *hosts_create(void);
void hosts_destroy(struct hosts *h);
/* The host in the last complete list; NULL if it is not there. */
const struct order_host *hosts_find(const struct sched *s, const char *name);
/* The last complete list: name -> struct order_host. */
GHashTable *hosts_table(const struct sched *s);
/* When the last complete list was requested; 0: there is none. */
cs_time hosts_listed_at(const struct sched *s);
/* Requests the list again unless the last request is too recent. */
void hosts_refresh(struct sched *s, cs_time now);
void hosts_on_reply(struct sched *s, const struct order_reply *d, cs_time now);

#endif
