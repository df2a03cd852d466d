#include <stdio.h>
#include <string.h>

#include "../tests/soak/world.h"
#include "bench.h"

/*
 * Throughput of long work while a data centre is taken out of service and
 * returns, compared with jobs that restart from the beginning whenever they are
 * moved. Uses the simulation of the soak test, in virtual time and without
 * injected faults.
 */

#define SEED 11
#define ENTRIES 6
#define DATA_CENTRES 3
#define TEAMS 3

/* Slots of each simulated worker. */
#define WORKER_SLOTS 4

#define WARM_UP_TIME (60 * CS_SEC)
#define OUT_TIME (120 * CS_SEC)
#define RETURN_TIME (60 * CS_SEC)
#define SAMPLE_INTERVAL (100 * CS_MSEC)

/* Time limit for the last job to end. */
#define END_TIMEOUT (3600 * CS_SEC)

/* Jobs of one to two minutes, more than the slots can run before the return. */
#define JOBS_PER_WORKER 150
#define RUN_MIN_S 60
#define RUN_MAX_S 120

struct leave_run {
	struct world *w;
	int workers; /* of each pool in each data centre */
	int jobs;
	bool is_sampling;
	double in_use, available; /* slot seconds while sampling */
	double work; /* run time of all jobs, in slot seconds */
	double used; /* by all attempts, in slot seconds */
};

static struct model_job *job_at(struct world *w, guint i)
{
	return &g_array_index(w->jobs, struct model_job, i);
}

/* Slots that can serve queues, in data centres that are in service. */
static int slots_available(const struct world *w)
{
	const struct doc_data_centre *dc;
	const struct doc_host *h;
	size_t nr, i;
	int n = 0;

	h = document_hosts(w->doc, &nr);
	for (i = 0; i < nr; i++) {
		dc = document_data_centre(w->doc, h[i].data_centre);
		if (h[i].state == HOST_ASSIGNED && !dc->is_out &&
		    strcmp(h[i].pool, "spare") != 0)
			n += WORKER_SLOTS;
	}
	return n;
}

static void on_sample(void *ctx, uint64_t unused, cs_time now)
{
	struct leave_run *r = ctx;
	int i, n = 0;

	(void)unused;
	(void)now;
	if (!r->is_sampling)
		return;
	for (i = 0; i < r->w->workers_nr; i++)
		n += r->w->workers[i].running;
	r->in_use += n * (double)SAMPLE_INTERVAL / (double)CS_SEC;
	r->available += slots_available(r->w) * (double)SAMPLE_INTERVAL /
			(double)CS_SEC;
	world_after(r->w, SAMPLE_INTERVAL, on_sample, r, 0);
}

static void submit_all(struct world *w, int jobs)
{
	struct model_job *job;
	int i, index;

	for (i = 0; i < jobs; i++) {
		index = callers_new_job(w, i % TEAMS, true);
		job = job_at(w, (guint)index);
		job->run_time =
			world_random_int(w, RUN_MIN_S, RUN_MAX_S) * CS_SEC;
		job->is_idempotent = true;
		g_strlcpy(job->queue, i % 2 ? "qa" : "qb", sizeof(job->queue));
		callers_submit(w, index, i % ENTRIES);
	}
}

static void change_data_centre(struct world *w, enum change_op op)
{
	struct change c = { .op = op };

	g_strlcpy(c.name, w->data_centres[0].name, sizeof(c.name));
	faults_change(w, ENTRIES - 1, &c, 0);
}

static void run(struct leave_run *r, int workers, const char *mutant)
{
	struct world_options o = { .seed = SEED,
				   .mutant = mutant,
				   .entries = ENTRIES,
				   .data_centres = DATA_CENTRES,
				   .teams = TEAMS,
				   .workers = workers,
				   .no_faults = true,
				   .no_load = true,
				   .limit_share = 100 };
	cs_time end;
	guint i;

	r->workers = workers;
	r->jobs = JOBS_PER_WORKER * workers;
	r->w = world_create(&o);
	world_run_until(r->w, r->w->now + 5 * CS_SEC);
	submit_all(r->w, r->jobs);
	world_run_until(r->w, r->w->now + WARM_UP_TIME);
	change_data_centre(r->w, CHANGE_DATA_CENTRE_OUT);
	r->is_sampling = true;
	on_sample(r, 0, r->w->now);
	world_run_until(r->w, r->w->now + OUT_TIME);
	change_data_centre(r->w, CHANGE_DATA_CENTRE_IN);
	world_run_until(r->w, r->w->now + RETURN_TIME);
	r->is_sampling = false;
	end = r->w->now + END_TIMEOUT;
	while (r->w->long_done < (uint64_t)r->jobs && r->w->now < end)
		world_run_until(r->w, r->w->now + CS_SEC);
	for (i = 0; i < r->w->jobs->len; i++)
		r->work += (double)job_at(r->w, i)->run_time / (double)CS_SEC;
	for (i = 0; i < TEAMS; i++)
		r->used += r->w->teams[i].used;
}

static void print_result(const char *name, const struct leave_run *r)
{
	double wasted = r->used - r->work;

	printf("leave run=%s workers=%d seed=%d window_s=%d available_slot_s=%.0f "
	       "in_use_percent=%.1f wasted_slot_s=%.0f work_percent=%.1f "
	       "long_jobs=%d long_done=%" G_GUINT64_FORMAT
	       " violations=%" G_GUINT64_FORMAT "\n",
	       name, r->workers, SEED, (int)((OUT_TIME + RETURN_TIME) / CS_SEC),
	       r->available, 100 * r->in_use / r->available, wasted,
	       100 * (r->in_use - wasted) / r->available, r->jobs,
	       r->w->long_done, r->w->violations);
}

int bench_leave(void)
{
	/* 8 and 16 slots per pool and data centre, as at present sites. */
	static const int workers[] = { 2, 4 };
	int failures = 0;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(workers); i++) {
		struct leave_run with_checkpoints = { 0 };
#ifdef CS_SOAK
		struct leave_run from_start = { 0 };
#endif

		run(&with_checkpoints, workers[i], NULL);
		print_result("checkpoints", &with_checkpoints);
		failures += with_checkpoints.w->violations != 0;
		world_destroy(with_checkpoints.w);
#ifdef CS_SOAK
		/* Only the soak build can turn checkpoints off. */
		run(&from_start, workers[i], "long-from-start");
		print_result("from_start", &from_start);
		world_destroy(from_start.w);
#endif
	}
	return failures;
}
