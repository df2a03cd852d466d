#include "demand.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define BUCKET_US (100 * CS_MSEC)
/*
 * Length of the two windows that are compared, in buckets. Short windows detect
 * a rise sooner, long ones are less sensitive to noise. Within these bounds a
 * window is as long as the mean duration of work: in a shorter one a single
 * large job, whose work is spread over its duration, would look like a rise.
 */
#define WINDOW_MIN 8
#define WINDOW_MAX 16
#define BUCKETS ((int64_t)2 * WINDOW_MAX)
/* Weight of a new job in the moving average of durations. */
#define DURATION_WEIGHT 0.05
/*
 * A difference between the windows counts only beyond this many standard
 * errors, as jobs arrive at random times and differ in size by factors.
 */
#define NOISE_STD_ERRORS 0.5

struct bucket {
	double work;
	double sum_of_squares; /* of the work of each job */
};

struct demand {
	struct bucket buckets[BUCKETS]; /* ring buffer, indexed by time */
	double duration_ms; /* moving average */
	int64_t newest; /* time of the newest bucket, in units of BUCKET_US */
};

struct demand *demand_create(void)
{
	return g_new0(struct demand, 1);
}

void demand_destroy(struct demand *d)
{
	g_free(d);
}

/* Clears the buckets of the time that has passed since the last call. */
static void advance(struct demand *d, cs_time now)
{
	int64_t at = now / BUCKET_US;

	if (at - d->newest >= BUCKETS) {
		memset(d->buckets, 0, sizeof(d->buckets));
		d->newest = at;
	}
	while (d->newest < at)
		d->buckets[++d->newest % BUCKETS] = (struct bucket){ 0 };
}

void demand_add(struct demand *d, double work, double duration_ms, cs_time now)
{
	struct bucket *b;

	advance(d, now);
	if (d->duration_ms <= 0)
		d->duration_ms = duration_ms;
	d->duration_ms += (duration_ms - d->duration_ms) * DURATION_WEIGHT;
	b = &d->buckets[d->newest % BUCKETS];
	b->work += work;
	b->sum_of_squares += work * work;
}

/* Sums up the window that ends back buckets before the newest one. */
static struct bucket sum_window(const struct demand *d, int window, int back)
{
	struct bucket sum = { 0 };
	int i;

	for (i = 0; i < window; i++) {
		const struct bucket *b =
			&d->buckets[(d->newest - back - i + 2 * BUCKETS) %
				    BUCKETS];

		sum.work += b->work;
		sum.sum_of_squares += b->sum_of_squares;
	}
	return sum;
}

double demand_forecast(struct demand *d, cs_time ahead, cs_time now)
{
	int window = (int)CLAMP(d->duration_ms * CS_MSEC / BUCKET_US,
				WINDOW_MIN, WINDOW_MAX);
	double window_ms = (double)(window * BUCKET_US) / CS_MSEC;
	struct bucket last, before;
	double rise, error;

	advance(d, now);
	last = sum_window(d, window, 0);
	before = sum_window(d, window, window);
	rise = last.work - before.work;
	/* Variance of a compound Poisson sum: the sum of the squares. */
	error = sqrt(last.sum_of_squares + before.sum_of_squares);
	rise = fmax(rise - NOISE_STD_ERRORS * error, 0);
	/* The last window shows the mean rate, that of half a window ago. */
	return (last.work +
		rise * ((double)ahead / CS_MSEC / window_ms + 0.5)) /
	       window_ms;
}
