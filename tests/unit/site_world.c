#include "site_world.h"

#include "unit.h"

struct world *make_world(int pools, int servers, int standby)
{
	const struct world_options options = { .seed = 11,
					       .nodes = 3,
					       .servers = servers,
					       .pools = pools,
					       .standby = standby };
	struct world *w = world_create(&options);

	world_run(w, 3000);
	return w;
}

void end_world(struct world *w)
{
	if (world_violation(w))
		fail_msg("%s", world_violation(w));
	world_destroy(w);
}
