#include "admission.h"

/* A job still has some value up to this multiple of its objective. */
#define LATE_FACTOR 3
/*
 * A summary that is older refuses nothing, nor one whose time is as far in the
 * future. The owner publishes every 0.8 s; clocks of entries differ little.
 */
#define AGE_MAX_MS 2500
/*
 * A queue that refuses goes on until the work ahead takes this share of the
 * time that its jobs have: each summary is a sample, and without a margin the
 * entries would switch with each.
 */
#define RESUME_SHARE 0.8
/* Bounds of Retry-After. */
#define RETRY_MIN_MS 1000
#define RETRY_MAX_MS 10000
/* Accepted work takes seconds to end, and so does the memory that it holds. */
#define FULL_RETRY_MIN_MS 2000
/* Queues, and full workspaces, that are kept; those beyond refuse nothing. */
#define QUEUES_MAX 1024

struct queue_state {
	struct drain_summary summary;
	bool is_known; /* the last publication had the queue */
	bool is_refusing;
};

struct admission {
	GHashTable *queues; /* name -> struct queue_state */
	GHashTable *full; /* names of workspaces */
	int64_t published_unix_ms;
	GRand *rng;
};

struct admission *admission_create(uint32_t seed)
{
	struct admission *a = g_new0(struct admission, 1);

	a->queues =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	a->full = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	a->rng = g_rand_new_with_seed(seed);
	return a;
}

void admission_destroy(struct admission *a)
{
	g_hash_table_destroy(a->queues);
	g_hash_table_destroy(a->full);
	g_rand_free(a->rng);
	g_free(a);
}

/* Forgets a queue that the publication before the last one had not either. */
static gboolean age_queue(void *key, void *row, void *ctx)
{
	struct queue_state *q = row;

	(void)key;
	(void)ctx;
	if (!q->is_known)
		return TRUE;
	q->is_known = false;
	return FALSE;
}

void admission_begin(struct admission *a, int64_t unix_ms)
{
	g_hash_table_foreach_remove(a->queues, age_queue, NULL);
	g_hash_table_remove_all(a->full);
	a->published_unix_ms = unix_ms;
}

void admission_add_full(struct admission *a, const char *workspace)
{
	if (g_hash_table_size(a->full) < QUEUES_MAX)
		g_hash_table_add(a->full, g_strdup(workspace));
}

int64_t admission_full_ms(struct admission *a, const char *workspace)
{
	if (!g_hash_table_contains(a->full, workspace))
		return 0;
	return g_rand_int_range(a->rng, FULL_RETRY_MIN_MS, RETRY_MAX_MS + 1);
}

void admission_add(struct admission *a, const char *queue,
		   const struct drain_summary *summary)
{
	struct queue_state *q = g_hash_table_lookup(a->queues, queue);

	if (!q && g_hash_table_size(a->queues) >= QUEUES_MAX)
		return;
	if (!q) {
		q = g_new0(struct queue_state, 1);
		g_hash_table_insert(a->queues, g_strdup(queue), q);
	}
	q->summary = *summary;
	q->is_known = true;
}

/* True if the job's end within a time matters, and its hints tell how long. */
static bool has_known_end(const struct batch_spec *spec, int64_t path_ms)
{
	int i;

	if (path_ms <= 0 || spec->repeats > 0 || spec->start_unix_ms > 0)
		return false;
	for (i = 0; i < spec->steps_nr; i++)
		if (spec->steps[i].is_long_running ||
		    spec->steps[i].is_best_effort)
			return false;
	return true;
}

/* True if a task of a first step fits on a server now. */
static bool has_room(const struct drain_summary *summary,
		     const struct batch_spec *spec)
{
	int i;

	for (i = 0; i < spec->steps_nr; i++)
		if (!spec->steps[i].after_nr &&
		    spec->steps[i].need.cpu <= summary->free_cpu)
			return true;
	return false;
}

/*
 * The time that a job can wait at most until its first start, so that it ends
 * within LATE_FACTOR times its objective, ms.
 */
static double wait_max_ms(const struct site_terms *terms, int64_t path_ms)
{
	double objective =
		terms->stretch * (double)path_ms + (double)terms->target_ms;

	return LATE_FACTOR * objective - (double)path_ms;
}

/*
 * Callers come again once the work ahead has shrunk to what they can wait for,
 * spread over as long again, and a second at least: the room that appears then
 * takes that long to fill.
 */
static int64_t draw_retry_ms(struct admission *a, double excess_ms)
{
	double spread = MAX(excess_ms, RETRY_MIN_MS);
	double ms = excess_ms + g_rand_double(a->rng) * spread;

	return (int64_t)CLAMP(ms, RETRY_MIN_MS, RETRY_MAX_MS);
}

int64_t admission_refuse_ms(struct admission *a, const char *queue,
			    const struct batch_spec *spec,
			    const struct site_terms *terms, int64_t unix_ms)
{
	struct queue_state *q = g_hash_table_lookup(a->queues, queue);
	int64_t age = unix_ms - a->published_unix_ms, path_ms;
	double wait, most;

	if (!q || !q->is_known || age > AGE_MAX_MS || age < -AGE_MAX_MS)
		return 0;
	path_ms = batch_spec_hinted_path_ms(spec);
	if (!has_known_end(spec, path_ms) || has_room(&q->summary, spec)) {
		q->is_refusing = false;
		return 0;
	}
	wait = (double)q->summary.ahead_ms;
	most = wait_max_ms(terms, path_ms);
	if (most <= 0)
		return 0;
	q->is_refusing = wait > most * (q->is_refusing ? RESUME_SHARE : 1);
	return q->is_refusing ? draw_retry_ms(a, MAX(wait - most, 0)) : 0;
}
