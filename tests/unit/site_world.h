#ifndef SITE_WORLD_H
#define SITE_WORLD_H

#include "../world/world.h"

/* A site in virtual time (tests/world) for unit tests. */

/*
 * Creates a site of three entries, with that many pools, servers a pool and
 * hosts in the standby pool, and lets it run for 3 s.
 */
struct world *make_world(int pools, int servers, int standby);
/* Fails the test if an invariant was violated, and frees the site. */
void end_world(struct world *world);

#endif
