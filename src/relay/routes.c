#include "routes.h"

#include <glib.h>
#include <string.h>

#include "../base/error.h"
#include "../site/site.h"

/*
 * Servers that an entry with a whole core carries. A server with runs needs
 * about 10 calls a second, each of which takes 0.1 ms of processor.
 */
#define SERVERS_PER_CORE 130
/* A server that did not answer through its carrier is called directly. */
#define AVOID_US (5 * CS_SEC)
/* A server without an order for this long is forgotten. */
#define EXPIRE_US (10 * CS_SEC)

struct carrier {
	cs_handle self;
	int capacity; /* servers */
	int load; /* servers */
	char pool[SITE_NAME_MAX]; /* of the first of these servers */
};

struct route {
	cs_handle server;
	cs_handle carrier; /* 0: none */
	char pool[SITE_NAME_MAX];
	cs_time used_at;
	cs_time direct_until;
};

struct routes {
	int direct_max;
	GArray *carriers; /* struct carrier, largest capacity first */
	GHashTable *servers; /* server handle -> struct route */
};

struct routes *routes_create(int direct_max)
{
	struct routes *r = g_new0(struct routes, 1);

	r->direct_max = direct_max;
	r->carriers = g_array_new(FALSE, FALSE, sizeof(struct carrier));
	r->servers = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					   g_free);
	return r;
}

void routes_destroy(struct routes *r)
{
	if (!r)
		return;
	g_array_free(r->carriers, TRUE);
	g_hash_table_destroy(r->servers);
	g_free(r);
}

static struct carrier *carrier_at(const struct routes *r, guint i)
{
	return &g_array_index(r->carriers, struct carrier, i);
}

static struct carrier *find_carrier(const struct routes *r, cs_handle carrier)
{
	guint i;

	for (i = 0; carrier && i < r->carriers->len; i++)
		if (carrier_at(r, i)->self == carrier)
			return carrier_at(r, i);
	return NULL;
}

/* Gives a server another carrier, or none (0). */
static void set_carrier(const struct routes *r, struct route *route,
			cs_handle carrier)
{
	struct carrier *c = find_carrier(r, route->carrier);

	if (c)
		c->load--;
	route->carrier = carrier;
	c = find_carrier(r, carrier);
	if (!c)
		return;
	if (!c->load++)
		cs_copy(c->pool, sizeof(c->pool), route->pool);
}

void routes_clear(struct routes *r)
{
	guint i;

	g_hash_table_remove_all(r->servers);
	for (i = 0; i < r->carriers->len; i++)
		carrier_at(r, i)->load = 0;
}

void routes_add_carrier(struct routes *r, cs_handle carrier, int cpu_share)
{
	struct carrier c = { .self = carrier,
			     .capacity = MAX(
				     SERVERS_PER_CORE * cpu_share / 1000, 1) };
	guint i = 0;

	while (i < r->carriers->len && carrier_at(r, i)->capacity >= c.capacity)
		i++;
	g_array_insert_val(r->carriers, i, c);
}

void routes_remove_carrier(struct routes *r, cs_handle carrier)
{
	GHashTableIter it;
	void *row;
	guint i;

	g_hash_table_iter_init(&it, r->servers);
	while (g_hash_table_iter_next(&it, NULL, &row))
		if (((struct route *)row)->carrier == carrier)
			set_carrier(r, row, 0);
	for (i = 0; i < r->carriers->len; i++)
		if (carrier_at(r, i)->self == carrier)
			g_array_remove_index(r->carriers, i--);
}

int routes_load(const struct routes *r, cs_handle carrier)
{
	const struct carrier *c = find_carrier(r, carrier);

	return c ? c->load : 0;
}

/* Servers that carriers call. */
static int carried_servers(const struct routes *r)
{
	int n = 0;
	guint i;

	for (i = 0; i < r->carriers->len; i++)
		n += carrier_at(r, i)->load;
	return n;
}

/*
 * Rank of a carrier for a server of a pool, the lowest first: one of the pool
 * with room, an unused one, any other with room, a full one.
 */
static int rank_carrier(const struct carrier *c, const char *pool)
{
	if (c->load >= c->capacity)
		return 3;
	if (!c->load)
		return 1;
	return strcmp(c->pool, pool) ? 2 : 0;
}

/*
 * The carriers in the order of their capacity, as many as the servers need, so
 * that the smaller ones stay unused. If all are full, the one with the lowest
 * share of its capacity in excess.
 */
static cs_handle choose_carrier(const struct routes *r, const char *pool)
{
	const struct carrier *best = NULL;
	int needed = carried_servers(r) + 1, rank, best_rank = 0;
	guint i;

	for (i = 0; i < r->carriers->len && needed > 0; i++) {
		const struct carrier *c = carrier_at(r, i);

		needed -= c->capacity;
		rank = rank_carrier(c, pool);
		if (!best || rank < best_rank ||
		    (rank == best_rank &&
		     (int64_t)c->load * best->capacity <
			     (int64_t)best->load * c->capacity)) {
			best = c;
			best_rank = rank;
		}
	}
	return best ? best->self : 0;
}

cs_handle routes_find(struct routes *r, cs_handle server, const char *pool,
		      cs_time now)
{
	struct route *route = g_hash_table_lookup(r->servers, &server);

	if (!route) {
		route = g_new0(struct route, 1);
		route->server = server;
		cs_copy(route->pool, sizeof(route->pool), pool);
		g_hash_table_insert(r->servers, &route->server, route);
	}
	route->used_at = now;
	if (g_hash_table_size(r->servers) <= (guint)r->direct_max)
		set_carrier(r, route, 0);
	else if (!route->carrier && now >= route->direct_until)
		set_carrier(r, route, choose_carrier(r, pool));
	return route->carrier;
}

void routes_avoid(struct routes *r, cs_handle server, cs_time now)
{
	struct route *route = g_hash_table_lookup(r->servers, &server);

	if (!route)
		return;
	set_carrier(r, route, 0);
	route->direct_until = now + AVOID_US;
}

void routes_expire(struct routes *r, cs_time now)
{
	GHashTableIter it;
	void *row;

	g_hash_table_iter_init(&it, r->servers);
	while (g_hash_table_iter_next(&it, NULL, &row)) {
		struct route *route = row;

		if (now - route->used_at < EXPIRE_US)
			continue;
		set_carrier(r, route, 0);
		g_hash_table_iter_remove(&it);
	}
}
