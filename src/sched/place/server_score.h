#ifndef SCHED_SERVER_SCORE_H
#define SCHED_SERVER_SCORE_H

#include "../../camphorshed.h"

/*
 * What is known of an incarnation of a server: its speed against predictions,
 * and how much of what it was asked for went wrong. All of it decays, so that a
 * server that has recovered is used again, and ends with the incarnation. The
 * same row is kept for all servers together: one server's failures and
 * slowness count only beyond theirs, as a broken job fails on every server and
 * a wrong prediction makes all of them look slow. Decisions, without side
 * effects outside the rows.
 */
struct server_score {
	cs_time at; /* of the sums */
	/* Logarithm of predicted by actual run time, weighted by certainty. */
	double speed_weight, speed;
	double good, bad; /* events */
	/* A suspected server gets one start at a time. */
	cs_time suspected_at; /* 0: not suspected */
	cs_time probe_at; /* the next start that it may get */
	cs_time probe_pause;
};

/* What went well or wrong, with its weight as an event in server_score.c. */
enum score_event {
	SCORE_DONE, /* a run */
	SCORE_FAILED, /* a run of a task that had not failed before */
	SCORE_FAILED_AGAIN, /* the task may be broken */
	SCORE_REFUSED, /* a start, without a reason that is known here */
	SCORE_SILENT, /* an order got no answer */
	SCORE_STUCK /* a run whose progress stands still */
};
#define SCORE_EVENTS (SCORE_STUCK + 1)

/* A slow or remote placement may cost this many times the run time. */
#define SCORE_SLOWDOWN_MAX 8.0

/* Forgets everything, in both rows, as for a new incarnation. */
void server_score_reset(struct server_score *row, struct server_score *all,
			cs_time now);

/*
 * Records a run that did all work of its task; p90_ms is that of the
 * prediction, so that uncertain ones count less.
 */
void server_score_on_run(struct server_score *row, struct server_score *all,
			 int64_t ran_ms, int64_t predicted_ms, int64_t p90_ms,
			 cs_time now);
/*
 * Records an event; started_at is the start of what it concerns. Returns true
 * if the server is suspected from now on, or no longer.
 */
bool server_score_on_event(struct server_score *row, struct server_score *all,
			   enum score_event event, cs_time started_at,
			   cs_time now);
/* A start was sent to the server. */
void server_score_on_start(struct server_score *row, cs_time now);

/* 1: nominal, 0.5: runs take twice as long. Of all: against predictions. */
double server_score_speed(const struct server_score *row,
			  const struct server_score *all, cs_time now);
bool server_score_is_suspect(const struct server_score *row);
/* False: it is suspected, and it is not time for a probe. */
bool server_score_admits(const struct server_score *row, cs_time now);
/*
 * Time that a task takes longer there than on a nominal server near its data.
 * expected_ms is 0 if its run time is not known.
 */
int64_t server_score_extra_ms(double speed, bool is_remote,
			      int64_t expected_ms);

#endif
