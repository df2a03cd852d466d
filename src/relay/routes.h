#ifndef RELAY_ROUTES_H
#define RELAY_ROUTES_H

#include "../camphorshed.h"

/*
 * Which entry carries the owner's orders to which server. A small fleet is
 * called directly. In a larger one each server is called by one carrier, and no
 * more entries are carriers than the number of servers needs, so that the owner
 * sends many orders at once over few connections.
 */
struct routes;

/* direct_max: servers up to which all are called directly. */
struct routes *routes_create(int direct_max);
void routes_destroy(struct routes *routes);
/* Forgets all servers; carriers stay. */
void routes_clear(struct routes *routes);

/* cpu_share: of the entry, thousandths of a core. */
void routes_add_carrier(struct routes *routes, cs_handle carrier,
			int cpu_share);
/* Its servers get another carrier with their next order. */
void routes_remove_carrier(struct routes *routes, cs_handle carrier);
/* Number of servers that a carrier calls. */
int routes_load(const struct routes *routes, cs_handle carrier);

/*
 * The carrier for an order to a server of a pool; 0: call it directly. Servers
 * of one pool share carriers as far as possible, since a job runs in one pool
 * and its payload crosses each connection once.
 */
cs_handle routes_find(struct routes *routes, cs_handle server, const char *pool,
		      cs_time now);
/*
 * The server did not answer through its carrier: it is called directly for some
 * time, as one of the two may be cut off from the other.
 */
void routes_avoid(struct routes *routes, cs_handle server, cs_time now);
/* Forgets servers that got no order lately. */
void routes_expire(struct routes *routes, cs_time now);

#endif
