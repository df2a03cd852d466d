#ifndef POOL_BUDGET_H
#define POOL_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Availability budgets, kept as tokens. A host that is down for any reason
 * holds one token of its rack, one of its pool and one of its data centre. A
 * planned stop is allowed only if all three groups have a token left. A failure
 * takes its tokens unconditionally, so many failures at once block planned
 * stops. Racks, pools and data centres are identified by index.
 */
struct budget;

/* The groups that a host belongs to. */
struct budget_location {
	int rack, pool, data_centre;
};

/* Granted, or the first group that has no token left. */
enum budget_result {
	BUDGET_GRANTED,
	BUDGET_NO_RACK,
	BUDGET_NO_POOL,
	BUDGET_NO_DATA_CENTRE
};

/* Creates groups without hosts. The budget of each pool is 0 percent. */
struct budget *budget_create(size_t racks, size_t pools, size_t data_centres);
void budget_destroy(struct budget *budget);

/* Both are to be called before the first host is added. */
void budget_set_pool(struct budget *budget, int pool, int percent);
/*
 * Marks a data centre as out of service: its hosts count in no group, and
 * stopping them needs no token.
 */
void budget_exclude_data_centre(struct budget *budget, int data_centre);

/* Adds a host to its groups. A host that is down takes its tokens at once. */
void budget_add(struct budget *budget, const struct budget_location *location,
		bool is_down);

/* Checks whether a planned stop of a host that is up may begin. */
enum budget_result budget_check(const struct budget *budget,
				const struct budget_location *location);

/* Does budget_check() and takes the tokens if they are granted. */
enum budget_result budget_take(struct budget *budget,
			       const struct budget_location *location);

/*
 * Returns how many hosts of a group may be down at once: percent of them,
 * rounded down, but at least one in a group of two or more hosts, which could
 * otherwise never be maintained.
 */
int budget_limit(int hosts, int percent);

#endif
