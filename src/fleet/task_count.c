#include "task_count.h"

void task_count_add(struct task_count *c, int delta, cs_time now)
{
	size_t i = c->changes_nr++ % TASK_COUNT_CHANGES;

	c->tasks += delta;
	c->changes[i].at = now;
	c->changes[i].tasks = c->tasks;
}

int task_count_at(const struct task_count *c, cs_time at)
{
	uint64_t i = c->changes_nr, n = 0;
	int tasks = c->tasks;

	for (; i > 0 && n < TASK_COUNT_CHANGES; i--, n++) {
		tasks = c->changes[(i - 1) % TASK_COUNT_CHANGES].tasks;
		if (c->changes[(i - 1) % TASK_COUNT_CHANGES].at <= at)
			return tasks;
	}
	return i > 0 ? tasks : 0;
}
