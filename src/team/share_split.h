#ifndef TEAM_SHARE_SPLIT_H
#define TEAM_SHARE_SPLIT_H

#include <glib.h>

#include "../camphorshed.h"

/*
 * Splits the slots of one pool between teams over several data centres, by
 * weighted max-min fairness that takes past use into account, and rounds the
 * quotas of the entries of a data centre. Pure functions on arrays.
 */

/* Demand of one team in one data centre, in tasks queued or running. */
struct share_demand {
	int team; /* index of its weight */
	int data_centre; /* index of its capacity */
	int requested;
	int allocated; /* out: slots */
};

/*
 * Allocates the capacity slot by slot. Each slot goes to the team with the
 * lowest (average + allocated slots) / weight among those with unmet demand in
 * a data centre with free slots. average is the decayed mean of slots in use,
 * so teams with high recent use get fewer slots.
 */
void share_split(struct share_demand *demands, size_t demands_nr,
		 const double *weights, const double *average, size_t teams_nr,
		 const int *capacity, size_t data_centres_nr);

/*
 * Rounds the values, whose sum is total, to integers with the same sum, by the
 * largest remainder method. Of equal remainders the lower index is rounded up
 * first.
 */
void share_round_to_total(const double *values, int *out, size_t nr, int total);

#endif
