#ifndef SCHED_PLACE_HEALTH_H
#define SCHED_PLACE_HEALTH_H

#include "../runs/server.h"

struct sched;

/*
 * Suspends starts on a server: after several failed runs in a row, or, with the
 * switch has_server_scores, by its score; see server_score.h.
 */

/* False: the server is suspected, and gets no task now. */
bool health_admits(const struct sched *s, const struct server *v, cs_time now);
/* A start was sent, refused, or an order got no answer. */
void health_on_start(struct sched *s, struct server *v, cs_time now);
void health_on_refusal(struct sched *s, struct server *v, cs_time sent,
		       cs_time now);
void health_on_silence(struct sched *s, struct server *v, cs_time sent,
		       cs_time now);
/* The progress of a run stands still; see run_time_tail_of(). */
void health_on_stuck(struct sched *s, struct server *v, cs_time started_at,
		     cs_time now);
/* A run did all work of its task. */
void health_on_run(struct sched *s, struct server *v, int64_t ran_ms,
		   int64_t predicted_ms, int64_t p90_ms, cs_time now);
/*
 * A run ended; started_at is its start, and had_failed is true if a run of the
 * task had failed on another server before.
 */
void health_on_end(struct sched *s, struct server *v, enum batch_end how,
		   cs_time started_at, bool had_failed, cs_time now);

#endif
