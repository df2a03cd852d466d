#ifndef SCHED_POOLS_FORECAST_H
#define SCHED_POOLS_FORECAST_H

#include "../../camphorshed.h"

/*
 * Forecasts the CPU that arriving work of a pool needs, with the error that
 * such forecasts have had. Several methods forecast side by side and are
 * compared with what came; one that is worse than the last value is not used.
 * The state has a fixed size for each pool.
 */
struct forecast;

struct forecast_value {
	double present; /* what it needs now, thousandths of a core */
	double expected; /* the same, at the time asked for */
	double error; /* by which it has been too low on average, the same */
};

/* Methods that are compared, the earliest to see a rise first. */
enum forecast_method {
	FORECAST_TREND, /* a rise in the number of jobs goes on */
	FORECAST_SURE_TREND, /* the same if it is hardly by chance */
	FORECAST_LAST, /* the last value holds */
	FORECAST_METHODS
};

struct forecast *forecast_create(void);
void forecast_destroy(struct forecast *forecast);

/*
 * Records arriving work, in thousandths of a core times milliseconds.
 * duration_ms is its run time if it gets all the CPU that it can use.
 */
void forecast_add(struct forecast *forecast, double work, double duration_ms,
		  cs_time now);

/* The CPU that arriving work needs at now + ahead. */
struct forecast_value forecast_at(struct forecast *forecast, cs_time ahead,
				  cs_time now);

/* The method in use. */
enum forecast_method forecast_method(const struct forecast *forecast);
const char *forecast_method_name(enum forecast_method method);

#endif
