#include "forecast.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define BUCKET_US (100 * CS_MSEC)
/*
 * Length of the window whose work is the last value, in buckets. Within these
 * bounds it is as long as the mean duration of work: in a shorter one a single
 * large job, whose work is spread over its duration, would look like a peak.
 */
#define LEVEL_MIN 8
#define LEVEL_MAX 16
/*
 * Length of the two windows whose numbers of jobs are compared, in buckets. The
 * standard error of the slope falls with the power 1.5 of the length, and its
 * delay grows with it.
 */
#define TREND_WINDOW 10
#define BUCKETS ((int64_t)2 * LEVEL_MAX)
/*
 * A difference between the windows counts only beyond this many standard
 * errors, as jobs arrive at random times.
 */
#define NOISE_STD_ERRORS 0.5
/* The same for a trend that one of 40 differences by chance exceeds. */
#define SURE_STD_ERRORS 2.0
/* Share of a slope that goes on until the horizon, as a rise ends in a peak. */
#define TREND_DAMPING 0.7
/* Weight of a new job in the moving averages of durations and of work. */
#define JOB_WEIGHT 0.05

/* Horizon at which methods are compared, in buckets: that of moves. */
#define CHECK_AHEAD 25
/* Forecasts that wait for what comes; the last value lags by half a window. */
#define CHECKS (CHECK_AHEAD + LEVEL_MAX / 2 + 1)
/* Weight of a new bucket in the moving averages of errors: about 5 s. */
#define ERROR_WEIGHT 0.02
/*
 * Cost of CPU that was forecast too low, against CPU forecast too high: callers
 * wait, while servers in a pool only cost their time.
 */
#define SHORT_COST 4.0
/*
 * A method that sees rises early is given up for one that costs less than this
 * share: on a load without rises both cost the same until the first one comes.
 */
#define SWITCH_SHARE 0.9

struct bucket {
	double work;
	double jobs;
};

struct method_state {
	double pending[CHECKS]; /* ring buffer, by the bucket it is for */
	double cost, too_low; /* moving averages */
};

struct forecast {
	struct bucket buckets[BUCKETS]; /* ring buffer, indexed by time */
	double duration_ms, job_work; /* moving averages */
	int64_t newest; /* time of the newest bucket, in units of BUCKET_US */
	int64_t checked_from; /* forecasts for earlier buckets don't exist */
	struct method_state methods[FORECAST_METHODS];
	enum forecast_method in_use;
};

struct method {
	const char *name;
	/* CPU in ahead_ms, thousandths of a core. */
	double (*expect)(const struct forecast *f, double ahead_ms);
};

struct forecast *forecast_create(void)
{
	struct forecast *f = g_new0(struct forecast, 1);

	f->in_use = FORECAST_TREND;
	f->checked_from = INT64_MAX;
	return f;
}

void forecast_destroy(struct forecast *f)
{
	g_free(f);
}

/* Sums up the window that ends back buckets before the newest one. */
static struct bucket sum_window(const struct forecast *f, int window, int back)
{
	struct bucket sum = { 0 };
	int i;

	for (i = 0; i < window; i++) {
		const struct bucket *b =
			&f->buckets[(f->newest - back - i + 2 * BUCKETS) %
				    BUCKETS];

		sum.work += b->work;
		sum.jobs += b->jobs;
	}
	return sum;
}

/* Length of the window of the last value, in buckets. */
static int level_window(const struct forecast *f)
{
	return (int)CLAMP(f->duration_ms * CS_MSEC / BUCKET_US, LEVEL_MIN,
			  LEVEL_MAX);
}

static double window_ms(int window)
{
	return (double)(window * BUCKET_US) / CS_MSEC;
}

/* CPU of the work of the last window. */
static double expect_last(const struct forecast *f, double ahead_ms)
{
	int window = level_window(f);

	(void)ahead_ms;
	return sum_window(f, window, 0).work / window_ms(window);
}

/*
 * Extends a rise in the number of jobs, each with the mean work of the queue's
 * jobs. The sizes of jobs differ by factors, so that a rise in work is seen
 * with twice the error of a rise in their number.
 */
static double extend_rise(const struct forecast *f, double ahead_ms,
			  double std_errors)
{
	double last = sum_window(f, TREND_WINDOW, 0).jobs;
	double before = sum_window(f, TREND_WINDOW, TREND_WINDOW).jobs;
	double length = window_ms(TREND_WINDOW);
	/* The variance of a Poisson count is the count. */
	double rise = last - before - std_errors * sqrt(last + before);

	/* The last value is that of half a window ago. */
	return expect_last(f, ahead_ms) +
	       TREND_DAMPING * fmax(rise, 0) / length / length * f->job_work *
		       (ahead_ms + window_ms(level_window(f)) / 2);
}

static double expect_trend(const struct forecast *f, double ahead_ms)
{
	return extend_rise(f, ahead_ms, NOISE_STD_ERRORS);
}

static double expect_sure_trend(const struct forecast *f, double ahead_ms)
{
	return extend_rise(f, ahead_ms, SURE_STD_ERRORS);
}

static const struct method methods[FORECAST_METHODS] = {
	[FORECAST_TREND] = { "trend", expect_trend },
	[FORECAST_SURE_TREND] = { "sure_trend", expect_sure_trend },
	[FORECAST_LAST] = { "last", expect_last },
};

/* Compares what the methods have forecast for a bucket with what came. */
static void check_methods(struct forecast *f, int64_t bucket, double came)
{
	double least = INFINITY;
	int i;

	for (i = 0; i < FORECAST_METHODS; i++) {
		struct method_state *m = &f->methods[i];
		double low = came - m->pending[bucket % CHECKS];
		double cost = low > 0 ? SHORT_COST * low : -low;

		m->cost += (cost - m->cost) * ERROR_WEIGHT;
		m->too_low += (fmax(low, 0) - m->too_low) * ERROR_WEIGHT;
		least = fmin(least, m->cost);
	}
	for (i = 0; f->methods[i].cost * SWITCH_SHARE > least;)
		i++;
	f->in_use = i;
}

/* Compares and makes forecasts; the newest bucket has just ended. */
static void end_bucket(struct forecast *f)
{
	int64_t centre = f->newest - level_window(f) / 2;
	double came = expect_last(f, 0);
	int i;

	if (centre >= f->checked_from)
		check_methods(f, centre, came);
	f->checked_from = MIN(f->checked_from, f->newest + CHECK_AHEAD);
	for (i = 0; i < FORECAST_METHODS; i++)
		f->methods[i].pending[(f->newest + CHECK_AHEAD) % CHECKS] =
			methods[i].expect(f, window_ms(CHECK_AHEAD));
}

/* Ends the buckets of the time that has passed since the last call. */
static void advance(struct forecast *f, cs_time now)
{
	int64_t at = now / BUCKET_US;

	if (at - f->newest >= BUCKETS + CHECKS) {
		memset(f->buckets, 0, sizeof(f->buckets));
		f->newest = at;
		f->checked_from = INT64_MAX;
	}
	while (f->newest < at) {
		end_bucket(f);
		f->buckets[++f->newest % BUCKETS] = (struct bucket){ 0 };
	}
}

void forecast_add(struct forecast *f, double work, double duration_ms,
		  cs_time now)
{
	struct bucket *b;

	advance(f, now);
	/* What a long job does later than the horizon needs no CPU until then.
	 */
	if (duration_ms > window_ms(CHECK_AHEAD))
		work *= window_ms(CHECK_AHEAD) / duration_ms;
	if (f->duration_ms <= 0)
		f->duration_ms = duration_ms;
	if (f->job_work <= 0)
		f->job_work = work;
	f->duration_ms += (duration_ms - f->duration_ms) * JOB_WEIGHT;
	f->job_work += (work - f->job_work) * JOB_WEIGHT;
	b = &f->buckets[f->newest % BUCKETS];
	b->work += work;
	b->jobs++;
}

struct forecast_value forecast_at(struct forecast *f, cs_time ahead,
				  cs_time now)
{
	struct forecast_value v;

	advance(f, now);
	v.present = expect_last(f, 0);
	v.expected = methods[f->in_use].expect(f, (double)ahead / CS_MSEC);
	v.error = f->methods[f->in_use].too_low;
	return v;
}

enum forecast_method forecast_method(const struct forecast *f)
{
	return f->in_use;
}

const char *forecast_method_name(enum forecast_method method)
{
	return methods[method].name;
}
