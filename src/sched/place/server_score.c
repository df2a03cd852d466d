#include "server_score.h"

#include <glib.h>
#include <math.h>

/* Time after which what was seen counts for a third. */
#define MEMORY_US (6 * CS_SEC)
/* Weight of the prior that a server is nominal: a deviation of 0.3. */
#define PRIOR_WEIGHT 11.0
/* Variance of run times that is not the server's, even if well predicted. */
#define RUN_VARIANCE 0.05
/* A normal distribution's 90% is this many deviations above its median. */
#define P90_DEVIATIONS 1.2816
/* Largest logarithm of a speed that one run shows. */
#define RUN_SPEED_MAX 2.0
/* Smaller differences of speed don't matter against packing. */
#define SPEED_CHANCE 0.2
/* Bad events from which a server may be suspected, and their least part. */
#define BAD_MIN 2.5
#define BAD_SHARE_MIN 0.34
/* The part must be beyond this many times that of all servers, and a tenth. */
#define BAD_SHARE_FACTOR 2.0
#define BAD_SHARE_MARGIN 0.1
/*
 * From this share on the others don't matter: servers on which all fails at
 * once get many tasks, and would make each other look usual.
 */
#define ALL_BAD_SHARE 0.9
#define ALL_BAD_MIN 3.0
/* Pause before the first probe; it doubles with each one that fails. */
#define PROBE_MIN_US (1 * CS_SEC)
#define PROBE_MAX_US (8 * CS_SEC)
/* Of a task away from its data; the platform's figure is 2 to 3. */
#define REMOTE_SLOWDOWN 2.0
/*
 * Assumed for a task of unknown run time, so that its rack still counts: with
 * the cost of each ms in place.c, as much as without scores.
 */
#define UNKNOWN_RUN_MS 10000

/*
 * A refusal costs one call, and the server is left alone for a while anyway; a
 * task that failed elsewhere as well is likely to be the cause itself.
 */
static const double bad_weights[SCORE_EVENTS] = { 0, 1, 0.25, 0.5, 1, 1 };

/* What is left of the sums of a row. */
static double left_of(const struct server_score *r, cs_time now)
{
	return now > r->at ? exp(-(double)(now - r->at) / (double)MEMORY_US) :
			     1;
}

static void decay(struct server_score *r, cs_time now)
{
	double left = left_of(r, now);

	r->speed_weight *= left;
	r->speed *= left;
	r->good *= left;
	r->bad *= left;
	r->at = MAX(r->at, now);
}

/* Takes the bad events of a server out of those of all servers. */
static void drop_bad(struct server_score *r, struct server_score *all)
{
	all->bad = fmax(all->bad - r->bad, 0);
	r->bad = 0;
}

void server_score_reset(struct server_score *r, struct server_score *all,
			cs_time now)
{
	decay(r, now);
	decay(all, now);
	drop_bad(r, all);
	all->good = fmax(all->good - r->good, 0);
	all->speed -= r->speed;
	all->speed_weight = fmax(all->speed_weight - r->speed_weight, 0);
	*r = (struct server_score){ 0 };
}

static void add_speed(struct server_score *r, double speed, double weight,
		      cs_time now)
{
	decay(r, now);
	r->speed += speed * weight;
	r->speed_weight += weight;
}

void server_score_on_run(struct server_score *r, struct server_score *all,
			 int64_t ran_ms, int64_t predicted_ms, int64_t p90_ms,
			 cs_time now)
{
	double speed, deviation;

	if (predicted_ms <= 0 || ran_ms <= 0)
		return;
	speed = log((double)predicted_ms / (double)ran_ms);
	deviation =
		log((double)MAX(p90_ms, predicted_ms) / (double)predicted_ms) /
		P90_DEVIATIONS;
	speed = CLAMP(speed, -RUN_SPEED_MAX, RUN_SPEED_MAX);
	add_speed(r, speed, 1 / (deviation * deviation + RUN_VARIANCE), now);
	add_speed(all, speed, 1 / (deviation * deviation + RUN_VARIANCE), now);
}

static double bad_share(double good, double bad)
{
	return bad > 0 ? bad / (bad + fmax(good, 0)) : 0;
}

/*
 * The part of bad events from which a server is suspected, given all others.
 * They count with one good event more: the differences are not exact, and what
 * is left of a single bad event would otherwise be a share of 1.
 */
static double limit_of(const struct server_score *r,
		       const struct server_score *all)
{
	double share =
		bad_share(fmax(all->good - r->good, 0) + 1, all->bad - r->bad);

	return fmax(BAD_SHARE_MIN, BAD_SHARE_FACTOR * share + BAD_SHARE_MARGIN);
}

static bool is_bad(const struct server_score *r, const struct server_score *all)
{
	double share = bad_share(r->good, r->bad);

	return (r->bad >= BAD_MIN && share >= limit_of(r, all)) ||
	       (r->bad >= ALL_BAD_MIN && share >= ALL_BAD_SHARE);
}

static void suspect(struct server_score *r, cs_time now)
{
	r->probe_pause = r->suspected_at ?
				 MIN(r->probe_pause * 2, PROBE_MAX_US) :
				 PROBE_MIN_US;
	r->suspected_at = now;
	r->probe_at = now + r->probe_pause;
}

bool server_score_on_event(struct server_score *r, struct server_score *all,
			   enum score_event event, cs_time started_at,
			   cs_time now)
{
	double bad = bad_weights[event];
	bool was_suspect = r->suspected_at != 0;

	decay(r, now);
	decay(all, now);
	r->bad += bad;
	all->bad += bad;
	if (event == SCORE_DONE) {
		r->good += 1;
		all->good += 1;
		/* Only what started since then is a probe. */
		if (!was_suspect || started_at < r->suspected_at)
			return false;
		r->suspected_at = r->probe_at = r->probe_pause = 0;
		drop_bad(r, all);
		return true;
	}
	if (was_suspect) {
		if (started_at >= r->suspected_at)
			suspect(r, now);
		return false;
	}
	if (!is_bad(r, all))
		return false;
	suspect(r, now);
	return true;
}

void server_score_on_start(struct server_score *r, cs_time now)
{
	if (r->suspected_at)
		r->probe_at = now + PROBE_MAX_US;
}

bool server_score_is_suspect(const struct server_score *r)
{
	return r->suspected_at != 0;
}

bool server_score_admits(const struct server_score *r, cs_time now)
{
	return !r->suspected_at || now >= r->probe_at;
}

/* The mean logarithm of the speed, drawn to 0 by the prior. */
static double log_speed(const struct server_score *r, cs_time now)
{
	double left = left_of(r, now);

	return r->speed * left / (r->speed_weight * left + PRIOR_WEIGHT);
}

double server_score_speed(const struct server_score *r,
			  const struct server_score *all, cs_time now)
{
	double speed = log_speed(r, now) - log_speed(all, now);

	if (fabs(speed) < SPEED_CHANCE)
		return 1;
	return exp(CLAMP(speed, -RUN_SPEED_MAX, RUN_SPEED_MAX));
}

int64_t server_score_extra_ms(double speed, bool is_remote, int64_t expected_ms)
{
	double slowdown = (is_remote ? REMOTE_SLOWDOWN : 1) / speed;

	slowdown = CLAMP(slowdown, 0.1, SCORE_SLOWDOWN_MAX);
	if (expected_ms <= 0)
		expected_ms = UNKNOWN_RUN_MS;
	return (int64_t)((double)expected_ms * (slowdown - 1));
}
