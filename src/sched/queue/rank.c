#include "../sched_private.h"

/*
 * The order in which jobs are assigned to servers. When a pool is overloaded,
 * jobs that can still meet their objective go first, the most urgent ahead.
 * Jobs that can't follow, so that a backlog does not make every later job miss
 * its objective as well.
 */

/* A late job still has value up to this multiple of its objective time. */
#define LATE_FACTOR 3

int64_t rank_critical_path_ms(const struct job *j)
{
	return batch_critical_path_ms(j->batch, j->first_open_occurrence,
				      false);
}

enum rank_class rank_class_of(const struct job *j, cs_time now)
{
	cs_time budget = j->objective_at - j->submitted;
	cs_time end = now + j->critical_path_ms * CS_MSEC;

	if (j->is_long_running)
		return RANK_LONG_RUNNING;
	if (end <= j->objective_at)
		return RANK_ON_TIME;
	if (end <= j->submitted + LATE_FACTOR * budget)
		return RANK_LATE;
	return RANK_OVERDUE;
}

struct rank_key {
	struct job *job;
	int class;
	int priority;
	cs_time urgency; /* lowest first */
};

static int compare(const void *a, const void *b)
{
	const struct rank_key *x = a, *y = b;

	if (x->class != y->class)
		return x->class < y->class ? -1 : 1;
	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->urgency != y->urgency)
		return x->urgency < y->urgency ? -1 : 1;
	return x->job->self < y->job->self ? -1 : x->job->self > y->job->self;
}

/* Sorts the jobs of a pool by rank, the first to be assigned at the front. */
void rank_jobs(GPtrArray *jobs, cs_time now)
{
	struct rank_key *keys = g_new(struct rank_key, jobs->len + 1);
	guint i;

	for (i = 0; i < jobs->len; i++) {
		struct job *j = g_ptr_array_index(jobs, i);

		keys[i].job = j;
		keys[i].class = rank_class_of(j, now);
		keys[i].priority = j->priority;
		keys[i].urgency =
			keys[i].class == RANK_ON_TIME ?
				j->objective_at -
					j->critical_path_ms * CS_MSEC :
				j->submitted;
	}
	qsort(keys, jobs->len, sizeof(*keys), compare);
	for (i = 0; i < jobs->len; i++)
		jobs->pdata[i] = keys[i].job;
	g_free(keys);
}
