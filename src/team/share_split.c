#include "share_split.h"

#include <math.h>

/*
 * Returns the team's unmet demand in the data centre with the most free slots,
 * or NULL.
 */
static struct share_demand *open_demand(struct share_demand *demands, size_t nr,
					int team, const int *free_slots)
{
	struct share_demand *best = NULL;
	size_t i;

	for (i = 0; i < nr; i++) {
		struct share_demand *d = &demands[i];

		if (d->team != team || d->allocated >= d->requested ||
		    !free_slots[d->data_centre])
			continue;
		if (!best ||
		    free_slots[d->data_centre] > free_slots[best->data_centre])
			best = d;
	}
	return best;
}

void share_split(struct share_demand *demands, size_t demands_nr,
		 const double *weights, const double *average, size_t teams_nr,
		 const int *capacity, size_t data_centres_nr)
{
	int *free_slots =
		g_memdup2(capacity, data_centres_nr * sizeof(*capacity));
	int *allocated = g_new0(int, teams_nr);
	bool *is_satisfied = g_new0(bool, teams_nr);
	struct share_demand *d;
	double level, lowest;
	size_t i;
	int team;

	for (i = 0; i < demands_nr; i++)
		demands[i].allocated = 0;
	for (;;) {
		team = -1;
		lowest = 0;
		for (i = 0; i < teams_nr; i++) {
			if (is_satisfied[i])
				continue;
			level = (average[i] + allocated[i]) / weights[i];
			if (team < 0 || level < lowest) {
				team = (int)i;
				lowest = level;
			}
		}
		if (team < 0)
			break;
		d = open_demand(demands, demands_nr, team, free_slots);
		if (!d) {
			is_satisfied[team] = true;
			continue;
		}
		d->allocated++;
		allocated[team]++;
		free_slots[d->data_centre]--;
	}
	g_free(free_slots);
	g_free(allocated);
	g_free(is_satisfied);
}

void share_round_to_total(const double *values, int *out, size_t nr, int total)
{
	size_t i, best;
	int sum = 0;

	for (i = 0; i < nr; i++) {
		out[i] = (int)floor(values[i]);
		sum += out[i];
	}
	while (nr && sum < total) {
		best = 0;
		for (i = 1; i < nr; i++)
			if (values[i] - out[i] > values[best] - out[best])
				best = i;
		out[best]++;
		sum++;
	}
}
