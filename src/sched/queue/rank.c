#include "../sched_private.h"

/*
 * The order in which jobs are assigned to servers. When a pool is overloaded,
 * jobs that can still meet their objective go first, the most urgent ahead.
 * Jobs that can't follow, so that a backlog does not make every later job miss
 * its objective as well.
 */

/*
 * Among jobs of a class, those that fall out of it unless they start within
 * this time come before shares. It is the time in which a pool of short tasks
 * has room again, so that a share never makes a job late, or worthless, for the
 * sake of one that could have waited.
 */
#define PRESSING_US (500 * CS_MSEC)

/* A late job still has value up to this multiple of its objective time. */
#define LATE_FACTOR 3

int64_t rank_critical_path_ms(const struct job *j)
{
	return batch_critical_path_ms(j->batch, j->first_open_occurrence,
				      false);
}

/* When the job is no longer of use. */
static cs_time worthless_at(const struct job *j)
{
	return j->submitted + LATE_FACTOR * (j->objective_at - j->submitted);
}

enum rank_class rank_class_of(const struct job *j, cs_time now)
{
	cs_time end = now + j->critical_path_ms * CS_MSEC;

	if (j->is_long_running)
		return RANK_LONG_RUNNING;
	if (end <= j->objective_at)
		return RANK_ON_TIME;
	if (end <= worthless_at(j))
		return RANK_LATE;
	return RANK_OVERDUE;
}

struct rank_key {
	struct job *job;
	int class;
	int priority;
	cs_time urgency; /* lowest first */
	bool is_pressing; /* keeps its class only if it starts soon */
};

static int compare(const void *a, const void *b)
{
	const struct rank_key *x = a, *y = b;

	if (x->class != y->class)
		return x->class < y->class ? -1 : 1;
	if (x->priority != y->priority)
		return x->priority < y->priority ? -1 : 1;
	if (x->is_pressing != y->is_pressing)
		return x->is_pressing ? -1 : 1;
	if (x->urgency != y->urgency)
		return x->urgency < y->urgency ? -1 : 1;
	return x->job->self < y->job->self ? -1 : x->job->self > y->job->self;
}

/* True if the job falls out of its class unless it starts soon. */
static bool is_pressing(const struct job *j, enum rank_class class, cs_time now)
{
	cs_time end = now + PRESSING_US + j->critical_path_ms * CS_MSEC;

	return (class == RANK_ON_TIME && end >= j->objective_at) ||
	       (class == RANK_LATE && end >= worthless_at(j));
}

static bool is_same_group(const struct rank_key *x, const struct rank_key *y)
{
	return x->class == y->class && x->priority == y->priority &&
	       x->is_pressing == y->is_pressing;
}

/*
 * Sorts the jobs of a pool by rank, the first to be assigned at the front.
 * items is NULL, or has room for a row of each job: the group of jobs among
 * which shares decide, and the workspace.
 */
void rank_jobs(GPtrArray *jobs, struct fair_item *items, cs_time now)
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
		keys[i].is_pressing = items &&
				      is_pressing(j, keys[i].class, now);
	}
	qsort(keys, jobs->len, sizeof(*keys), compare);
	for (i = 0; i < jobs->len; i++)
		jobs->pdata[i] = keys[i].job;
	for (i = 0; items && i < jobs->len; i++) {
		items[i].workspace = keys[i].job->share_row;
		items[i].group =
			i ? items[i - 1].group +
					!is_same_group(&keys[i - 1], &keys[i]) :
			    0;
	}
	g_free(keys);
}
