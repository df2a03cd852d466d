#include "run_times.h"

#include <math.h>
#include <string.h>

/*
 * A group's line is fitted to what the wider group's line leaves over, with a
 * prior of no difference, so a group without runs predicts as the wider one
 * does. The widest group starts from the line "the hint is right".
 *
 * A censored run counts by how much of the predicted distribution it rules out:
 * one that was stopped early says nothing, one that ran for longer than
 * predicted counts as the mean of what is still possible.
 */

const double run_times_weights[RUN_TIMES_LEVELS] = { 6, 24, 24, 1 };

/* Runs that count in a group, about. Wide groups are averages of many. */
static const double memory_runs[RUN_TIMES_LEVELS] = { 256, 128, 32, 32 };

/* Variance of each logarithm in the prior: a factor of 1.6 either way. */
#define PRIOR_VARIANCE 0.25
/* Weight of the wider group's slopes, as a number of runs. */
static const double slope_weights[RUN_TIMES_LEVELS] = { 6, 30, 60, 60 };
/*
 * Part of the variance that the tasks of a job's step have in common, so that
 * 16 tasks say little more than one.
 */
#define ALIKE 0.7
/* Weight of a wider group's error, as a number of runs. */
#define ERROR_WEIGHT 6.0
/* Logarithm of 24 h in ms: hints and run times beyond count as that long. */
#define LOG_MAX 18.3
/* Logarithm of 1,000 cores. */
#define LOG_CPU_MAX 13.9
/* Largest error that is recorded: a factor of 20. */
#define ERROR_MAX 3.0
/* Deviation from which a run counts less in the wider groups. */
#define FAR_DEVIATIONS 2.0
/* Hints and sizes further from the workspace's usual one count as that far. */
#define HINT_RANGE 2.0
/* Largest part of a queue's runs that may be one workspace's. */
#define SHARE_MAX 0.25
/* Runs over which that part is measured. */
#define SHARE_RUNS 64.0
/* A censored run that rules out less than this is not recorded. */
#define CENSORED_WEIGHT_MIN 0.02
/* Differences of a factor of 1.15 are chance, however even the runs were. */
#define CHANCE_VARIANCE_MIN 0.02
/* Longer identifiers of jobs are cut. */
#define JOB_ID_MAX 24
/* 90% of a normal distribution are below this many deviations. */
#define P90_DEVIATIONS 1.2816
/* Bound of the deviation in use, as the mean grows with its square. */
#define DEVIATION_MAX 1.5

struct group {
	struct run_times_group g;
	char job[JOB_ID_MAX]; /* "" unless RUN_TIMES_JOB */
	GList *link; /* in the list by last use */
	/* Of a workspace: its part of the queue's runs, as of seen_at. */
	double share;
	uint64_t seen_at;
	uint64_t seen; /* of a queue: runs recorded */
};

struct run_times {
	GHashTable *groups; /* a set of struct group */
	/* struct group, the one used last first; those of jobs are apart. */
	GQueue used, used_jobs;
};

/* Run time = at + hint * of_hint + size * of_size, in logarithms. */
struct line {
	double at, of_hint, of_size;
};

/* A point in logarithms. */
struct point {
	double x, z, y;
};

static guint group_hash(gconstpointer row)
{
	const struct group *r = row;

	return g_str_hash(r->g.queue) + 31 * g_str_hash(r->g.workspace) +
	       961 * g_str_hash(r->job) +
	       (guint)(r->g.step * RUN_TIMES_LEVELS + (int)r->g.level);
}

static gboolean group_equal(gconstpointer a, gconstpointer b)
{
	const struct group *x = a, *y = b;

	return x->g.level == y->g.level && x->g.step == y->g.step &&
	       !strcmp(x->g.queue, y->g.queue) &&
	       !strcmp(x->g.workspace, y->g.workspace) &&
	       !strcmp(x->job, y->job);
}

struct run_times *run_times_create(void)
{
	struct run_times *t = g_new0(struct run_times, 1);

	t->groups =
		g_hash_table_new_full(group_hash, group_equal, g_free, NULL);
	return t;
}

void run_times_destroy(struct run_times *t)
{
	if (!t)
		return;
	g_queue_clear(&t->used);
	g_queue_clear(&t->used_jobs);
	g_hash_table_destroy(t->groups);
	g_free(t);
}

guint run_times_count(const struct run_times *t)
{
	return g_hash_table_size(t->groups);
}

/* Sets the fields that name the group of a key at a level. */
static void name_group(struct group *r, const struct run_times_key *k,
		       enum run_times_level level)
{
	r->g.level = level;
	r->g.step = level > RUN_TIMES_QUEUE ?
			    CLAMP(k->step, 0, RUN_TIMES_STEP_MAX) :
			    0;
	g_strlcpy(r->g.queue, k->queue, sizeof(r->g.queue));
	*r->g.workspace = *r->job = '\0';
	if (level >= RUN_TIMES_WORKSPACE)
		g_strlcpy(r->g.workspace, k->workspace, sizeof(r->g.workspace));
	if (level == RUN_TIMES_JOB)
		g_strlcpy(r->job, k->job, sizeof(r->job));
}

static int levels_of(const struct run_times_key *k)
{
	return k->job && *k->job ? RUN_TIMES_LEVELS : RUN_TIMES_JOB;
}

static struct group *find(const struct run_times *t,
			  const struct run_times_key *k,
			  enum run_times_level level)
{
	struct group name = { 0 };

	name_group(&name, k, level);
	return g_hash_table_lookup(t->groups, &name);
}

/* Open jobs are many and soon over, so they don't displace other groups. */
static GQueue *used_of(struct run_times *t, enum run_times_level level)
{
	return level == RUN_TIMES_JOB ? &t->used_jobs : &t->used;
}

static guint max_of(enum run_times_level level)
{
	return level == RUN_TIMES_JOB ? RUN_TIMES_JOBS_MAX :
					RUN_TIMES_GROUPS_MAX;
}

/* Adds an empty group, which then is the one used last. */
static struct group *add(struct run_times *t, const struct group *name)
{
	struct group *r = g_new0(struct group, 1);
	GQueue *used = used_of(t, name->g.level);

	if (used->length >= max_of(name->g.level))
		g_hash_table_remove(t->groups, g_queue_pop_tail(used));
	*r = *name;
	g_queue_push_head(used, r);
	r->link = used->head;
	g_hash_table_add(t->groups, r);
	return r;
}

/*
 * Finds or adds the group of a key and marks it as used. Wider groups are used
 * with each narrower one, so they are never evicted before it.
 */
static struct group *touch(struct run_times *t, const struct run_times_key *k,
			   enum run_times_level level)
{
	struct group name = { 0 }, *r = find(t, k, level);
	GQueue *used = used_of(t, level);

	if (!r) {
		name_group(&name, k, level);
		return add(t, &name);
	}
	g_queue_unlink(used, r->link);
	g_queue_push_head_link(used, r->link);
	return r;
}

static double at(const struct line *l, double x, double z)
{
	return l->at + l->of_hint * x + l->of_size * z;
}

/*
 * Weight of the wider group for the level of a line. It is less if the group's
 * mean contradicts the wider group by more than chance: a workspace whose hints
 * are off by a constant factor does not stay between that and the truth.
 */
static double prior_weight(const struct run_times_group *g, double mean_left,
			   double variance)
{
	double beyond;

	variance = fmax(variance, CHANCE_VARIANCE_MIN);
	beyond = mean_left * mean_left - 4 * variance / g->weight;

	return run_times_weights[g->level] * variance /
	       (variance + fmax(beyond, 0));
}

/*
 * Weight of the wider group for a slope, in units of the sum of squares. Like
 * prior_weight(), it is less if the group contradicts the wider one: left is
 * the sum of products that the wider slope leaves over.
 */
static double slope_prior(const struct run_times_group *g, double left,
			  double squares, double variance)
{
	double chance = 4 * squares * fmax(variance, CHANCE_VARIANCE_MIN);
	double prior = slope_weights[g->level] * PRIOR_VARIANCE;

	return left * left > chance ? prior * chance / (left * left) : prior;
}

/*
 * The line of a group, given that of the wider group and the variance around
 * it: ridge regression of what the wider line leaves over, around the means.
 */
static struct line fit(const struct run_times_group *g, struct line wider,
		       double variance)
{
	double n = g->weight, mx, mz, left, left_x, left_z, xx, xz, zz, det;
	struct line l = wider;

	if (n <= 0)
		return wider;
	mx = g->x / n;
	mz = g->z / n;
	xx = g->xx;
	xz = g->xz;
	zz = g->zz;
	left = g->y / n - at(&wider, mx, mz);
	left_x = g->xy - wider.of_hint * xx - wider.of_size * xz;
	left_z = g->zy - wider.of_hint * xz - wider.of_size * zz;
	xx += slope_prior(g, left_x, xx, variance);
	zz += slope_prior(g, left_z, zz, variance);
	det = xx * zz - xz * xz;
	if (det > 0) {
		l.of_hint += (left_x * zz - left_z * xz) / det;
		l.of_size += (left_z * xx - left_x * xz) / det;
	}
	l.of_hint = CLAMP(l.of_hint, 0, 1);
	l.of_size = CLAMP(l.of_size, -1, 1);
	left *= n / (n + prior_weight(g, left, variance));
	l.at = at(&wider, mx, mz) + left - l.of_hint * mx - l.of_size * mz;
	return l;
}

/* The variance around the line of a group, given that of the wider group. */
static double variance_of(const struct run_times_group *g, double wider)
{
	return (g->error + ERROR_WEIGHT * wider) /
	       (g->error_weight + ERROR_WEIGHT);
}

/*
 * The variance around a line of runs of one workspace: without the differences
 * between workspaces, against which a group's own are measured.
 */
static double variance_within(const struct run_times_group *g,
			      const struct line *l, double wider)
{
	double left = g->yy - 2 * (l->of_hint * g->xy + l->of_size * g->zy) +
		      l->of_hint * l->of_hint * g->xx +
		      2 * l->of_hint * l->of_size * g->xz +
		      l->of_size * l->of_size * g->zz;

	return (fmax(left, 0) + ERROR_WEIGHT * wider) /
	       (g->weight + ERROR_WEIGHT);
}

static double log_of(int64_t value, double max)
{
	return value > 1 ? fmin(log((double)value), max) : 0;
}

/* The point of a hint and a size; y is not set. queue may be NULL. */
static struct point point_of(const struct group *queue,
			     const struct run_times_key *k)
{
	struct point p = { .x = log_of(k->hint_ms, LOG_MAX),
			   .z = log_of(k->cpu, LOG_CPU_MAX) };

	/* Without a hint, the usual one of the queue. */
	if (k->hint_ms <= 0 && queue && queue->g.weight > 0)
		p.x = queue->g.x / queue->g.weight;
	return p;
}

/* A level of a prediction: the value and the variance around it. */
struct stage {
	double y, variance;
};

/* Fills stages for the levels of the groups, some of which may be NULL. */
static void predict_stages(struct group *const *groups, int levels,
			   struct point p, struct stage *stages)
{
	struct line l = { 0, 1, 0 };
	double variance = PRIOR_VARIANCE, within = PRIOR_VARIANCE;
	int i;

	for (i = 0; i < levels; i++) {
		if (groups[i]) {
			l = fit(&groups[i]->g, l, within);
			within = variance_within(&groups[i]->g, &l, within);
			variance = variance_of(&groups[i]->g, variance);
		}
		stages[i].y = CLAMP(at(&l, p.x, p.z), 0, LOG_MAX);
		stages[i].variance = variance;
	}
}

static int64_t to_ms(double y)
{
	return llround(exp(fmin(y, LOG_MAX)));
}

struct run_times_prediction run_times_predict(const struct run_times *t,
					      const struct run_times_key *k)
{
	struct run_times_prediction result = { 0 };
	struct group *groups[RUN_TIMES_LEVELS] = { NULL };
	struct stage stages[RUN_TIMES_LEVELS], *last;
	int i, levels = levels_of(k);
	double deviation;

	for (i = 0; i < levels; i++)
		groups[i] = find(t, k, (enum run_times_level)i);
	if (k->hint_ms <= 0 && !groups[RUN_TIMES_QUEUE])
		return result;
	predict_stages(groups, levels, point_of(groups[RUN_TIMES_QUEUE], k),
		       stages);
	last = &stages[levels - 1];
	/* The hint itself, until a run has ended. */
	deviation = groups[RUN_TIMES_QUEUE] ?
			    fmin(sqrt(last->variance), DEVIATION_MAX) :
			    0;
	result.median_ms = to_ms(last->y);
	result.mean_ms = to_ms(last->y + deviation * deviation / 2);
	result.p90_ms = to_ms(last->y + P90_DEVIATIONS * deviation);
	if (groups[RUN_TIMES_WORKSPACE])
		result.weight = groups[RUN_TIMES_WORKSPACE]->g.weight;
	return result;
}

/* How far a run is from the means of a workspace's group, before it is added.
 */
static struct point deviation_of(const struct run_times_group *g,
				 struct point p)
{
	struct point d = { 0 };

	if (g->weight <= 0)
		return d;
	d.x = CLAMP(p.x - g->x / g->weight, -HINT_RANGE, HINT_RANGE);
	d.z = CLAMP(p.z - g->z / g->weight, -HINT_RANGE, HINT_RANGE);
	d.y = CLAMP(p.y - g->y / g->weight, -ERROR_MAX, ERROR_MAX);
	return d;
}

/* Decays the sums of a group by one run of that weight, and adds it. */
static void add_point(struct run_times_group *g, struct point p, struct point d,
		      double weight)
{
	double keep = 1 - weight / memory_runs[g->level];

	g->weight = g->weight * keep + weight;
	g->x = g->x * keep + weight * p.x;
	g->z = g->z * keep + weight * p.z;
	g->y = g->y * keep + weight * p.y;
	g->xx = g->xx * keep + weight * d.x * d.x;
	g->xz = g->xz * keep + weight * d.x * d.z;
	g->zz = g->zz * keep + weight * d.z * d.z;
	g->xy = g->xy * keep + weight * d.x * d.y;
	g->zy = g->zy * keep + weight * d.z * d.y;
	g->yy = g->yy * keep + weight * d.y * d.y;
}

static void add_error(struct run_times_group *g, double error, double weight)
{
	double keep = 1 - weight / memory_runs[g->level];

	error = fmin(fabs(error), ERROR_MAX);
	g->error_weight = g->error_weight * keep + weight;
	g->error = g->error * keep + weight * error * error;
}

/*
 * Weight of a run in a group of several workspaces: the square, as a run at a
 * distance of 10 must not move the mean as far as five at a distance of 2.
 */
static double wide_weight(struct point p, const struct stage *predicted)
{
	double left = p.y - predicted->y;
	double far = left * left /
		     (FAR_DEVIATIONS * FAR_DEVIATIONS * predicted->variance);

	return far > 1 ? 1 / far : 1;
}

/*
 * Counts a run of a workspace, and returns the factor that keeps its part of
 * the runs in the wider groups small.
 */
static double share_weight(struct group *queue, struct group *workspace)
{
	double gap = (double)(++queue->seen - workspace->seen_at);

	workspace->seen_at = queue->seen;
	workspace->share = workspace->share * pow(1 - 1 / SHARE_RUNS, gap) +
			   1 / SHARE_RUNS;
	return fmin(1, SHARE_MAX / workspace->share);
}

/*
 * Replaces the bound of a censored run by the mean of the predicted
 * distribution above it. Returns the weight of the run: the part of the
 * distribution that it rules out.
 */
static double expand_censored(struct point *p, const struct stage *predicted)
{
	double deviation = sqrt(predicted->variance);
	double a = (p->y - predicted->y) / deviation;
	double above = erfc(a / G_SQRT2) / 2;
	double density = exp(-a * a / 2) / sqrt(2 * G_PI);

	/* Far beyond, the mean of the rest lies close above the bound. */
	if (a > 4)
		p->y += deviation / a;
	else
		p->y = predicted->y + deviation * density / above;
	p->y = fmin(p->y, LOG_MAX);
	return 1 - above;
}

void run_times_record(struct run_times *t, const struct run_times_key *k,
		      int64_t ran_ms, bool is_censored, double server_speed)
{
	struct group *groups[RUN_TIMES_LEVELS] = { NULL };
	struct stage stages[RUN_TIMES_LEVELS];
	struct point p, d;
	int i, levels = levels_of(k);
	double weight = 1, share, alike;

	if (!(server_speed > 0.01 && server_speed < 100))
		server_speed = 1;
	for (i = 0; i < levels; i++)
		groups[i] = find(t, k, (enum run_times_level)i);
	p = point_of(groups[RUN_TIMES_QUEUE], k);
	p.y = CLAMP(log_of(ran_ms, LOG_MAX) + log(server_speed), 0, LOG_MAX);
	if (k->hint_ms <= 0 && !groups[RUN_TIMES_QUEUE])
		p.x = p.y;
	predict_stages(groups, levels, p, stages);
	if (is_censored)
		weight = expand_censored(&p, &stages[levels - 1]);
	if (weight < CENSORED_WEIGHT_MIN)
		return;
	/* From the narrowest, so that a wider group is evicted after it. */
	for (i = levels - 1; i >= 0; i--)
		groups[i] = touch(t, k, (enum run_times_level)i);
	share = share_weight(groups[RUN_TIMES_QUEUE],
			     groups[RUN_TIMES_WORKSPACE]);
	d = deviation_of(&groups[RUN_TIMES_WORKSPACE]->g, p);
	alike = 1 / (1 + (MAX(k->tasks, 1) - 1) * ALIKE);
	for (i = 0; i < levels; i++) {
		struct run_times_group *g = &groups[i]->g;
		double w = i < RUN_TIMES_JOB ? weight * alike : weight;

		if (i < RUN_TIMES_WORKSPACE)
			w *= share * wide_weight(p, &stages[i]);
		/* The first run of a job is predicted by the wider groups. */
		if (!is_censored && (i < RUN_TIMES_JOB || g->weight > 0))
			add_error(g, p.y - stages[i].y, w);
		add_point(g, p, d, w);
	}
}

void run_times_for_each(const struct run_times *t, run_times_group_fn fn,
			void *ctx)
{
	const GList *link;

	for (link = t->used.head; link; link = link->next)
		fn(ctx, &((const struct group *)link->data)->g);
}

/*
 * Share by which sums may be beyond their bounds, as they are stored as floats.
 * It is relative: beside a tiny weight, any fixed margin is a mean out of
 * range.
 */
#define ROUNDING 1.001

/* True if the sums can be those of points in range. */
static bool are_sums_valid(const struct run_times_group *g)
{
	double n = g->weight, most = memory_runs[g->level] + 1;
	const double sums[] = { g->x, g->z, g->y };
	const double products[] = { g->xx, g->xz, g->zz, g->xy, g->zy, g->yy };
	const double product_max = ERROR_MAX * ERROR_MAX * n * ROUNDING;
	size_t i;

	if (!(n >= 0 && n <= most && g->error_weight >= 0 &&
	      g->error_weight <= most && g->error >= 0 &&
	      g->error <= ERROR_MAX * ERROR_MAX * g->error_weight * ROUNDING))
		return false;
	for (i = 0; i < G_N_ELEMENTS(sums); i++)
		if (!(sums[i] >= 0 && sums[i] <= n * LOG_MAX * ROUNDING))
			return false;
	for (i = 0; i < G_N_ELEMENTS(products); i++)
		if (!(fabs(products[i]) <= product_max))
			return false;
	return g->xx >= 0 && g->zz >= 0 && g->yy >= 0;
}

bool run_times_add_group(struct run_times *t, const struct run_times_group *g)
{
	struct group *r, name = { .g = *g };

	if ((int)g->level < RUN_TIMES_QUEUE || g->level >= RUN_TIMES_JOB ||
	    g->step < 0 || g->step > RUN_TIMES_STEP_MAX || !*g->queue ||
	    (g->level == RUN_TIMES_QUEUE && g->step) ||
	    (g->level < RUN_TIMES_WORKSPACE && *g->workspace) ||
	    !are_sums_valid(g) || g_hash_table_contains(t->groups, &name) ||
	    t->used.length >= RUN_TIMES_GROUPS_MAX)
		return false;
	r = add(t, &name);
	/* The order is that of run_times_for_each(). */
	g_queue_unlink(&t->used, r->link);
	g_queue_push_tail_link(&t->used, r->link);
	return true;
}
