#ifndef TEAM_SHARE_SPLIT_H
#define TEAM_SHARE_SPLIT_H

#include <glib.h>

#include "../camphorshed.h"

/*
 * The rule that splits the slots of one pool: weighted max-min over teams
 * with debts, over several data centres, and inside one data centre over its
 * entries. Pure arithmetic over arrays.
 */

/* Demand of one team in one data centre, in tasks queued or running. */
struct share_demand {
	int team; /* index into the weights */
	int data_centre; /* index into the capacities */
	int requested;
	int allocated; /* out: slots */
};

/*
 * Gives out capacity slot by slot, each to the team with the lowest
 * (average use + slots given) per weight that still wants one where one is
 * free. average holds decayed slots in use, as debt.
 */
void share_split(struct share_demand *demands, size_t demands_nr,
		 const double *weights, const double *average, size_t teams_nr,
		 const int *capacity, size_t data_centres_nr);

/*
 * Rounds parts to whole numbers whose sum is total: the floors, and one more
 * for the largest remainders, the lower index first.
 */
void share_round_to_total(const double *parts, int *out, size_t nr, int total);

#endif
