#ifndef FLEET_HEALTH_H
#define FLEET_HEALTH_H

#include "../camphorshed.h"

/*
 * The health of one worker: a decaying count of results, and ejection with
 * readmission by trial. It holds no clock and knows no other worker; the
 * owner passes the failure rate of the pool as the standard.
 */

enum health_state {
	HEALTH_GOOD,
	HEALTH_EJECTED, /* gets no work until the time is up */
	HEALTH_TRIAL /* gets one task at a time */
};

struct health {
	enum health_state state;
	double successes, failures; /* decaying counts */
	cs_time updated; /* when the counts were last decayed */
	cs_time ejected_until; /* end of the ejection */
	int ejections; /* in a row */
	int trial_passes;
	bool is_unreachable; /* the last try found no connection */
};

/* Counts one result at time now. */
void health_record_result(struct health *health, bool is_good, cs_time now);

/* Takes one failure back. */
void health_undo_failure(struct health *health, cs_time now);

/* Share of failures among recent results, 0 to 1; 0 with too few results. */
double health_failure_rate(struct health *health, cs_time now);

/*
 * True if the worker fails so much more than its pool, whose failure rate
 * without it is peers, that it should be ejected.
 */
bool health_should_eject(struct health *health, double peers, cs_time now);

/* Ejects; each ejection in a row lasts twice as long as the one before. */
void health_eject(struct health *health, cs_time now);

/* Moves an ejection whose time is up on to the trial. */
void health_end_ejection(struct health *health, cs_time now);

/* "good", "ejected", "trial". */
const char *health_state_name(enum health_state state);

#endif
