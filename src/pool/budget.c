#include "budget.h"

#include <glib.h>

/* Keeps 80 % of a data centre's hosts up, so that they can carry its load. */
#define DATA_CENTRE_PERCENT 20

/* The hosts of a rack share power and a switch, so only one stops at a time. */
#define RACK_LIMIT 1

struct budget_group {
	int hosts, down;
	int percent;
	bool is_out;
};

struct budget {
	struct budget_group *racks, *pools, *data_centres;
};

struct budget *budget_create(size_t racks, size_t pools, size_t data_centres)
{
	struct budget *b = g_new0(struct budget, 1);
	size_t i;

	b->racks = g_new0(struct budget_group, racks + 1);
	b->pools = g_new0(struct budget_group, pools + 1);
	b->data_centres = g_new0(struct budget_group, data_centres + 1);
	for (i = 0; i < data_centres; i++)
		b->data_centres[i].percent = DATA_CENTRE_PERCENT;
	return b;
}

void budget_destroy(struct budget *b)
{
	if (!b)
		return;
	g_free(b->racks);
	g_free(b->pools);
	g_free(b->data_centres);
	g_free(b);
}

void budget_set_pool(struct budget *b, int pool, int percent)
{
	b->pools[pool].percent = percent;
}

void budget_exclude_data_centre(struct budget *b, int data_centre)
{
	b->data_centres[data_centre].is_out = true;
}

int budget_limit(int hosts, int percent)
{
	int limit = (int)((long)hosts * percent / 100);

	return limit > 0 || hosts < 2 ? limit : 1;
}

static void take_tokens(struct budget *b,
			const struct budget_location *location)
{
	b->racks[location->rack].down++;
	b->pools[location->pool].down++;
	b->data_centres[location->data_centre].down++;
}

void budget_add(struct budget *b, const struct budget_location *location,
		bool is_down)
{
	if (b->data_centres[location->data_centre].is_out)
		return;
	b->racks[location->rack].hosts++;
	b->pools[location->pool].hosts++;
	b->data_centres[location->data_centre].hosts++;
	if (is_down)
		take_tokens(b, location);
}

static bool has_token(const struct budget_group *group)
{
	return group->down < budget_limit(group->hosts, group->percent);
}

enum budget_result budget_check(const struct budget *b,
				const struct budget_location *location)
{
	if (b->data_centres[location->data_centre].is_out)
		return BUDGET_GRANTED;
	if (b->racks[location->rack].down >= RACK_LIMIT)
		return BUDGET_NO_RACK;
	if (!has_token(&b->pools[location->pool]))
		return BUDGET_NO_POOL;
	if (!has_token(&b->data_centres[location->data_centre]))
		return BUDGET_NO_DATA_CENTRE;
	return BUDGET_GRANTED;
}

enum budget_result budget_take(struct budget *b,
			       const struct budget_location *location)
{
	enum budget_result result = budget_check(b, location);

	if (result == BUDGET_GRANTED &&
	    !b->data_centres[location->data_centre].is_out)
		take_tokens(b, location);
	return result;
}
