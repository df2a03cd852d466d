#ifndef FLEET_HEALTH_H
#define FLEET_HEALTH_H

#include "../camphorshed.h"

/*
 * The health of one worker: decaying counts of results, ejection, and
 * readmission after a trial. The caller passes the time, and the failure rate
 * of the pool's other workers for comparison.
 */

enum health_state {
	HEALTH_GOOD,
	HEALTH_EJECTED, /* gets no task until ejected_until */
	HEALTH_TRIAL /* gets one task at a time */
};

struct health {
	enum health_state state;
	double successes, failures; /* decaying counts */
	cs_time updated; /* when the counts were last decayed */
	cs_time ejected_until;
	int ejections; /* since the last passed trial */
	int trial_passes;
	bool is_unreachable; /* the last connection attempt failed */
};

/* Counts a result, which may end a trial or eject the worker again. */
void health_record_result(struct health *health, bool is_good, cs_time now);

/* Removes one failure, and the ejection if it no longer applies. */
void health_undo_failure(struct health *health, cs_time now);

/* Fraction of failures among recent results; 0 if there are too few results. */
double health_failure_rate(struct health *health, cs_time now);

/*
 * True if the worker's failure rate is so much higher than that of the pool's
 * other workers, peers_rate, that it should be ejected.
 */
bool health_should_eject(struct health *health, double peers_rate, cs_time now);

/*
 * Ejects the worker. Each ejection without a passed trial in between lasts
 * twice as long as the one before.
 */
void health_eject(struct health *health, cs_time now);

/* Starts the trial if the time of the ejection is over. */
void health_end_ejection(struct health *health, cs_time now);

/* "good", "ejected", "trial". */
const char *health_state_name(enum health_state state);

#endif
