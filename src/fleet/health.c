#include "health.h"

#include <math.h>

/* Half-life of the counts of results. */
#define HALF_LIFE (10 * CS_SEC)

/*
 * With fewer recent results than this the failure rate is taken as 0, so that
 * one failure after a restart does not eject a worker.
 */
#define RESULTS_MIN 5.0

/* A worker below this failure rate is never ejected. */
#define RATE_MIN 0.5

/*
 * How much higher than its peers' failure rate a worker's must be. If all
 * workers fail alike the cause is elsewhere, and ejections would only shrink
 * the pool.
 */
#define RATE_ABOVE_PEERS 0.3

/* Duration of the first ejection, and the limit of its doubling. */
#define EJECT_FIRST (5 * CS_SEC)
#define EJECT_MAX (80 * CS_SEC)

/* Successes in a row that end a trial. */
#define TRIAL_PASSES 3

static void decay(struct health *h, cs_time now)
{
	double factor;

	if (now <= h->updated)
		return;
	factor = exp2(-(double)(now - h->updated) / (double)HALF_LIFE);
	h->successes *= factor;
	h->failures *= factor;
	h->updated = now;
}

void health_record_result(struct health *h, bool is_good, cs_time now)
{
	decay(h, now);
	if (is_good)
		h->successes += 1;
	else
		h->failures += 1;
	if (h->state != HEALTH_TRIAL)
		return;
	if (!is_good) {
		health_eject(h, now);
	} else if (++h->trial_passes >= TRIAL_PASSES) {
		h->state = HEALTH_GOOD;
		h->ejections = 0;
		h->failures = 0;
	}
}

void health_undo_failure(struct health *h, cs_time now)
{
	decay(h, now);
	h->failures = h->failures > 1 ? h->failures - 1 : 0;
	if (h->state == HEALTH_EJECTED && !h->is_unreachable &&
	    health_failure_rate(h, now) < RATE_MIN) {
		h->state = HEALTH_GOOD;
		if (h->ejections)
			h->ejections--;
	}
}

double health_failure_rate(struct health *h, cs_time now)
{
	decay(h, now);
	if (h->successes + h->failures < RESULTS_MIN)
		return 0;
	return h->failures / (h->successes + h->failures);
}

bool health_should_eject(struct health *h, double peers_rate, cs_time now)
{
	double rate;

	if (h->state != HEALTH_GOOD)
		return false;
	rate = health_failure_rate(h, now);
	return rate >= RATE_MIN && rate >= peers_rate + RATE_ABOVE_PEERS;
}

void health_eject(struct health *h, cs_time now)
{
	cs_time duration = EJECT_FIRST;
	int i;

	for (i = 0; i < h->ejections && duration < EJECT_MAX; i++)
		duration *= 2;
	h->ejections++;
	h->state = HEALTH_EJECTED;
	h->ejected_until = now + duration;
	h->trial_passes = 0;
}

void health_end_ejection(struct health *h, cs_time now)
{
	if (h->state == HEALTH_EJECTED && now >= h->ejected_until) {
		h->state = HEALTH_TRIAL;
		h->trial_passes = 0;
	}
}

const char *health_state_name(enum health_state state)
{
	static const char *const names[] = { "good", "ejected", "trial" };

	return names[state];
}
