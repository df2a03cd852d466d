#include "demand.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Work is counted in buckets of so long. */
#define BUCKET_US (100 * CS_MSEC)
/*
 * Two spans of so many buckets are compared. Shorter ones see a rise sooner,
 * longer ones see fewer that are chance. Within these bounds a span is as long
 * as the work lasts: a shorter one would take one large job, whose work is
 * spread over its time, for a climb.
 */
#define SPAN_MIN 8
#define SPAN_MAX 16
#define BUCKETS ((int64_t)2 * SPAN_MAX)
/* Share of each job in the mean time that work lasts. */
#define LASTS_SHARE 0.05
/*
 * A difference between the spans counts beyond this many standard errors. Jobs
 * come at random times and differ in size by factors.
 */
#define ERRORS 0.5

struct bucket {
	double work;
	double squares; /* of the work of each job */
};

struct demand {
	struct bucket buckets[BUCKETS]; /* by time, modulo their number */
	double lasts_ms; /* the mean of work that came lately */
	int64_t newest; /* time of the newest one, in units of BUCKET_US */
};

struct demand *demand_create(void)
{
	return g_new0(struct demand, 1);
}

void demand_destroy(struct demand *d)
{
	g_free(d);
}

/* Empties the buckets of the time that has passed since the last call. */
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

void demand_add(struct demand *d, double work, double lasts_ms, cs_time now)
{
	struct bucket *b;

	advance(d, now);
	if (d->lasts_ms <= 0)
		d->lasts_ms = lasts_ms;
	d->lasts_ms += (lasts_ms - d->lasts_ms) * LASTS_SHARE;
	b = &d->buckets[d->newest % BUCKETS];
	b->work += work;
	b->squares += work * work;
}

/* Adds up a span that ends so many buckets before the newest one. */
static struct bucket sum_span(const struct demand *d, int span, int back)
{
	struct bucket sum = { 0 };
	int i;

	for (i = 0; i < span; i++) {
		const struct bucket *b =
			&d->buckets[(d->newest - back - i + 2 * BUCKETS) %
				    BUCKETS];

		sum.work += b->work;
		sum.squares += b->squares;
	}
	return sum;
}

double demand_forecast(struct demand *d, cs_time ahead, cs_time now)
{
	int span = (int)CLAMP(d->lasts_ms * CS_MSEC / BUCKET_US, SPAN_MIN,
			      SPAN_MAX);
	double span_ms = (double)(span * BUCKET_US) / CS_MSEC;
	struct bucket last, before;
	double rise, error;

	advance(d, now);
	last = sum_span(d, span, 0);
	before = sum_span(d, span, span);
	rise = last.work - before.work;
	/* The variance of a sum of random many jobs is their squares' sum. */
	error = sqrt(last.squares + before.squares);
	rise = fmax(rise - ERRORS * error, 0);
	/* The last span shows the rate half a span ago. */
	return (last.work + rise * ((double)ahead / CS_MSEC / span_ms + 0.5)) /
	       span_ms;
}
