#include "estimate.h"

#include <glib.h>
#include <math.h>

/*
 * A linear regression of the logarithm of what tasks took on the logarithm of
 * what was told. Times spread by factors, so logarithms make the errors alike
 * at all sizes. With few tasks the line stays near "took what was told"; where
 * telling and taking are unrelated it becomes flat, the queue's usual time.
 */

/* Tasks that the first belief, what is told is right, weighs as much as. */
#define PRIOR_TASKS 6.0
/* Variance of the logarithm assumed for these: a factor of 1.6 either way. */
#define PRIOR_VARIANCE 0.25
/* Weight of the past at each new task; the last thousand tasks count. */
#define KEEP 0.999

struct estimate {
	double tasks; /* weight of all that was noted */
	double told, took; /* weighted sums of logarithms */
	double told2, took2, both; /* of their products */
};

struct estimate *estimate_create(void)
{
	return g_new0(struct estimate, 1);
}

void estimate_destroy(struct estimate *e)
{
	g_free(e);
}

void estimate_note(struct estimate *e, int64_t told_ms, int64_t took_ms)
{
	double x, y;

	if (took_ms < 1)
		took_ms = 1;
	y = log((double)took_ms);
	x = told_ms > 0 ? log((double)told_ms) : y;
	e->tasks = e->tasks * KEEP + 1;
	e->told = e->told * KEEP + x;
	e->took = e->took * KEEP + y;
	e->told2 = e->told2 * KEEP + x * x;
	e->took2 = e->took2 * KEEP + y * y;
	e->both = e->both * KEEP + x * y;
}

/* The regression's logarithm for a task, and the variance around it. */
static double predict(const struct estimate *e, int64_t told_ms,
		      double *variance)
{
	double n = e->tasks, mx, my, sxx, sxy, syy, slope, shift;
	double x = told_ms > 0 ? log((double)told_ms) : 0;

	*variance = 0;
	if (n < 1)
		return x;
	mx = e->told / n;
	my = e->took / n;
	if (told_ms <= 0)
		x = mx;
	sxx = fmax(e->told2 - n * mx * mx, 0) + PRIOR_TASKS * PRIOR_VARIANCE;
	syy = fmax(e->took2 - n * my * my, 0) + PRIOR_TASKS * PRIOR_VARIANCE;
	sxy = e->both - n * mx * my + PRIOR_TASKS * PRIOR_VARIANCE;
	slope = CLAMP(sxy / sxx, 0, 1);
	shift = (my - mx) * n / (n + PRIOR_TASKS);
	*variance = fmax(syy - slope * sxy, 0) / (n + PRIOR_TASKS);
	return mx + shift + slope * (x - mx);
}

int64_t estimate_usual_ms(const struct estimate *e, int64_t told_ms)
{
	double variance, y = predict(e, told_ms, &variance);

	return told_ms <= 0 && e->tasks < 1 ? 0 : llround(exp(y));
}

int64_t estimate_mean_ms(const struct estimate *e, int64_t told_ms)
{
	double variance, y = predict(e, told_ms, &variance);

	/* The mean of a log-normal distribution. */
	return told_ms <= 0 && e->tasks < 1 ? 0 :
					      llround(exp(y + variance / 2));
}
