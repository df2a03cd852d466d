#ifndef SCHED_RUN_TIMES_H
#define SCHED_RUN_TIMES_H

#include <glib.h>

#include "../../site/site.h"

/*
 * Predicts how long a task will run, as a distribution, from runs that have
 * ended. A group of runs has a line from hint and size to run time, in
 * logarithms. Groups are nested: all runs of a queue, those of a step number in
 * it, those of a workspace in that, and those of one job. A group starts from
 * the line of the next wider one, which counts as run_times_weights[] runs.
 *
 * What one workspace's runs and hints can do to the wider groups is bounded: a
 * run far from the line counts less there, a slope comes only from differences
 * within a workspace, and the runs of a workspace that has many count less.
 *
 * Recording and predicting cost the same whatever is known. At most
 * RUN_TIMES_GROUPS_MAX groups and RUN_TIMES_JOBS_MAX groups of jobs are kept;
 * the one unused for longest goes first.
 */
struct run_times;

/* From the widest group to the narrowest. */
enum run_times_level {
	RUN_TIMES_QUEUE,
	RUN_TIMES_STEP,
	RUN_TIMES_WORKSPACE,
	RUN_TIMES_JOB
};
#define RUN_TIMES_LEVELS (RUN_TIMES_JOB + 1)

/*
 * 370 workspaces that use three queues with three steps are 3,330 groups, and
 * 300 jobs a second that take 3 s, with two steps, 1,800. A group takes 400
 * bytes with its place in the table, so all of them 2.5 MB.
 */
#define RUN_TIMES_GROUPS_MAX 4096
#define RUN_TIMES_JOBS_MAX 2048
/* Higher step numbers share the group of this one. */
#define RUN_TIMES_STEP_MAX 15

/* Weight of the wider group in each level, as a number of runs. */
extern const double run_times_weights[RUN_TIMES_LEVELS];

/* What a run time may depend on. Strings are copied where they are kept. */
struct run_times_key {
	const char *queue;
	const char *workspace; /* "" if there is none */
	const char *job; /* identifier; NULL: of no job yet */
	int step;
	int tasks; /* of the job's step, which are alike; 0: one */
	int64_t cpu; /* of one task, thousandths of a core */
	int64_t hint_ms; /* the caller's estimate; 0: none */
};

/* Durations on a server of nominal speed. All 0: nothing is known. */
struct run_times_prediction {
	int64_t mean_ms, median_ms, p90_ms;
	double weight; /* runs of the workspace's group that it is based on */
};

struct run_times *run_times_create(void);
void run_times_destroy(struct run_times *run_times);

/*
 * Records a run that has ended. is_censored: it did not do all work of its task
 * (stopped, lapsed, lost, resumed or adopted), so ran_ms is only a lower bound.
 * server_speed is 1 for a nominal server, 2 for one that is twice as fast.
 */
void run_times_record(struct run_times *run_times,
		      const struct run_times_key *key, int64_t ran_ms,
		      bool is_censored, double server_speed);

struct run_times_prediction run_times_predict(const struct run_times *run_times,
					      const struct run_times_key *key);

/* Number of groups; for metrics and tests. */
guint run_times_count(const struct run_times *run_times);

/*
 * A group as it is stored. The sums are of values that decay; x, y and z are
 * logarithms of the hint, the run time and the size.
 */
struct run_times_group {
	enum run_times_level level;
	int step; /* 0 in RUN_TIMES_QUEUE */
	char queue[SITE_NAME_MAX];
	char workspace[SITE_NAME_MAX]; /* "" in wider groups */
	double weight; /* of all runs */
	double x, z, y; /* sums */
	/* Sums of products of deviations from the means of the workspaces. */
	double xx, xz, zz, xy, zy, yy;
	double error_weight, error; /* sum of squared errors of predictions */
};

/* Groups of jobs are not stored. */
typedef void (*run_times_group_fn)(void *ctx,
				   const struct run_times_group *group);
/* Calls fn for each other group, the one used last first. */
void run_times_for_each(const struct run_times *run_times,
			run_times_group_fn fn, void *ctx);
/*
 * Adds a stored group. False: it is malformed, known already, or the table is
 * full; nothing was added.
 */
bool run_times_add_group(struct run_times *run_times,
			 const struct run_times_group *group);

#endif
