#ifndef POOL_BUDGET_H
#define POOL_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

/*
 * Availability budgets as tokens. A host that is down, planned or not, holds
 * one token of its rack, one of its pool and one of its data centre. A
 * planned stop needs all three; a failure takes them without asking, so that
 * a wave of failures halts planned work. Groups are named by index.
 */
struct budget;

/* Where a host stands. */
struct budget_location {
	int rack, pool, data_centre;
};

/* The first group that has no token left. */
enum budget_result {
	BUDGET_GRANTED,
	BUDGET_NO_RACK,
	BUDGET_NO_POOL,
	BUDGET_NO_DATA_CENTRE
};

/* Groups without hosts; each pool at 0 percent. */
struct budget *budget_create(size_t racks, size_t pools, size_t data_centres);
void budget_destroy(struct budget *budget);

/*
 * Set before the first host is added. Hosts of a data centre that is out
 * count nowhere, and stopping them needs no token.
 */
void budget_set_pool(struct budget *budget, int pool, int percent);
void budget_exclude_data_centre(struct budget *budget, int data_centre);

/* Counts one host; one that is down holds its tokens from here on. */
void budget_add(struct budget *budget, const struct budget_location *place,
		bool is_down);

/* Whether a planned stop of a host that is not down may begin. */
enum budget_result budget_check(const struct budget *budget,
				const struct budget_location *place);

/* budget_check(), and takes the tokens if they are granted. */
enum budget_result budget_take(struct budget *budget,
			       const struct budget_location *place);

/*
 * Hosts of a group of that size that may be down at once: percent of them,
 * rounded down, but one for a group of two or more, which could otherwise
 * never be maintained.
 */
int budget_limit(int hosts, int percent);

#endif
