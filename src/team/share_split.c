#include "share_split.h"

#include <math.h>

/* The demand of a team that is not met and has the most free capacity. */
static struct share_demand *open_demand(struct share_demand *demands, size_t nr,
					int team, const int *left)
{
	struct share_demand *best = NULL;
	size_t i;

	for (i = 0; i < nr; i++) {
		struct share_demand *d = &demands[i];

		if (d->team != team || d->given >= d->wanted || !left[d->place])
			continue;
		if (!best || left[d->place] > left[best->place])
			best = d;
	}
	return best;
}

void share_split(struct share_demand *demands, size_t demands_nr,
		 const double *weights, const double *average, size_t teams_nr,
		 const int *capacity, size_t places_nr)
{
	int *left = g_memdup2(capacity, places_nr * sizeof(*capacity));
	int *given = g_new0(int, teams_nr);
	bool *is_done = g_new0(bool, teams_nr);
	struct share_demand *d;
	double level, lowest;
	size_t i;
	int team;

	for (i = 0; i < demands_nr; i++)
		demands[i].given = 0;
	for (;;) {
		team = -1;
		lowest = 0;
		for (i = 0; i < teams_nr; i++) {
			if (is_done[i])
				continue;
			level = (average[i] + given[i]) / weights[i];
			if (team < 0 || level < lowest) {
				team = (int)i;
				lowest = level;
			}
		}
		if (team < 0)
			break;
		d = open_demand(demands, demands_nr, team, left);
		if (!d) {
			is_done[team] = true;
			continue;
		}
		d->given++;
		given[team]++;
		left[d->place]--;
	}
	g_free(left);
	g_free(given);
	g_free(is_done);
}

void share_round(const double *parts, int *out, size_t nr, int total)
{
	size_t i, best;
	int sum = 0;

	for (i = 0; i < nr; i++) {
		out[i] = (int)floor(parts[i]);
		sum += out[i];
	}
	while (nr && sum < total) {
		best = 0;
		for (i = 1; i < nr; i++)
			if (parts[i] - out[i] > parts[best] - out[best])
				best = i;
		out[best]++;
		sum++;
	}
}
