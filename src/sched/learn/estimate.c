#include "estimate.h"

#include <glib.h>
#include <math.h>

/*
 * Linear regression of the logarithm of the actual run time (y) on the
 * logarithm of the hint (x). Run times vary by factors, and the logarithm makes
 * the errors comparable at all sizes. The prior is that hints are correct, so
 * with few tasks the line stays near y = x. If hints and run times are
 * unrelated, the slope approaches 0 and the estimate the queue's median.
 */

/* Weight of the prior, as a number of tasks. */
#define PRIOR_WEIGHT 6.0
/* Variance of the logarithm in the prior: a factor of 1.6 either way. */
#define PRIOR_VARIANCE 0.25
/* Decay of old tasks with each new one: about the last 1,000 tasks count. */
#define DECAY 0.999

struct estimate {
	double weight; /* sum of the weights of all recorded tasks */
	double sum_x, sum_y; /* weighted sums of logarithms */
	double sum_xx, sum_yy, sum_xy; /* weighted sums of their products */
};

struct estimate *estimate_create(void)
{
	return g_new0(struct estimate, 1);
}

void estimate_destroy(struct estimate *e)
{
	g_free(e);
}

void estimate_record(struct estimate *e, int64_t hint_ms, int64_t actual_ms)
{
	double x, y;

	if (actual_ms < 1)
		actual_ms = 1;
	y = log((double)actual_ms);
	x = hint_ms > 0 ? log((double)hint_ms) : y;
	e->weight = e->weight * DECAY + 1;
	e->sum_x = e->sum_x * DECAY + x;
	e->sum_y = e->sum_y * DECAY + y;
	e->sum_xx = e->sum_xx * DECAY + x * x;
	e->sum_yy = e->sum_yy * DECAY + y * y;
	e->sum_xy = e->sum_xy * DECAY + x * y;
}

/* Predicts the logarithm of the run time, and the variance around it. */
static double predict(const struct estimate *e, int64_t hint_ms,
		      double *variance)
{
	double n = e->weight, mx, my, sxx, sxy, syy, slope, shift;
	double x = hint_ms > 0 ? log((double)hint_ms) : 0;

	*variance = 0;
	if (n < 1)
		return x;
	mx = e->sum_x / n;
	my = e->sum_y / n;
	if (hint_ms <= 0)
		x = mx;
	sxx = fmax(e->sum_xx - n * mx * mx, 0) + PRIOR_WEIGHT * PRIOR_VARIANCE;
	syy = fmax(e->sum_yy - n * my * my, 0) + PRIOR_WEIGHT * PRIOR_VARIANCE;
	sxy = e->sum_xy - n * mx * my + PRIOR_WEIGHT * PRIOR_VARIANCE;
	slope = CLAMP(sxy / sxx, 0, 1);
	shift = (my - mx) * n / (n + PRIOR_WEIGHT);
	*variance = fmax(syy - slope * sxy, 0) / (n + PRIOR_WEIGHT);
	return mx + shift + slope * (x - mx);
}

int64_t estimate_median_ms(const struct estimate *e, int64_t hint_ms)
{
	double variance, y = predict(e, hint_ms, &variance);

	return hint_ms <= 0 && e->weight < 1 ? 0 : llround(exp(y));
}

int64_t estimate_mean_ms(const struct estimate *e, int64_t hint_ms)
{
	double variance, y = predict(e, hint_ms, &variance);

	/* Mean of a log-normal distribution. */
	return hint_ms <= 0 && e->weight < 1 ? 0 :
					       llround(exp(y + variance / 2));
}
