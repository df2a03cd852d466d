#include "../sched_private.h"

#include "../../base/log.h"

/*
 * Detects servers on which all tasks fail. A broken job fails on every server
 * and soon runs out of attempts, so only consecutive failures, without a
 * success in between, count against a server.
 */
#define FAILURES_MAX 3
/* Time without starts; short, as a wrong suspicion costs one server. */
#define SUSPECT_US (3 * CS_SEC)

/* Records an event, and logs when a suspicion begins or ends. */
static void score(struct sched *s, struct server *v, enum score_event event,
		  cs_time started_at, cs_time now)
{
	const struct server_score *r = &v->score;
	GString *pairs;

	if (!s->options.policy.has_server_scores ||
	    !server_score_on_event(&v->score, &s->all_scores, event, started_at,
				   now))
		return;
	pairs = g_string_new(NULL);
	log_pair(pairs, "server", v->info.id);
	log_pair(pairs, "pool", v->info.pool);
	log_pair_int(pairs, "is_suspect", server_score_is_suspect(r));
	log_pair_int(pairs, "bad_percent", (int64_t)(r->bad * 100));
	log_pair_int(pairs, "good_percent", (int64_t)(r->good * 100));
	log_pair_int(
		pairs, "speed_percent",
		(int64_t)(server_score_speed(r, &s->all_scores, now) * 100));
	sched_log(s, "server_score", pairs);
	counters_add(s->counters, "camphorshed_server_suspicions_total", "",
		     server_score_is_suspect(r));
}

bool health_admits(const struct sched *s, const struct server *v, cs_time now)
{
	return s->options.policy.has_server_scores ?
		       server_score_admits(&v->score, now) :
		       now >= v->suspect_until;
}

void health_on_start(struct sched *s, struct server *v, cs_time now)
{
	(void)s;
	server_score_on_start(&v->score, now);
}

void health_on_refusal(struct sched *s, struct server *v, cs_time sent,
		       cs_time now)
{
	score(s, v, SCORE_REFUSED, sent, now);
}

void health_on_silence(struct sched *s, struct server *v, cs_time sent,
		       cs_time now)
{
	score(s, v, SCORE_SILENT, sent, now);
}

void health_on_stuck(struct sched *s, struct server *v, cs_time started_at,
		     cs_time now)
{
	score(s, v, SCORE_STUCK, started_at, now);
}

void health_on_run(struct sched *s, struct server *v, int64_t ran_ms,
		   int64_t predicted_ms, int64_t p90_ms, cs_time now)
{
	if (s->options.policy.has_server_scores)
		server_score_on_run(&v->score, &s->all_scores, ran_ms,
				    predicted_ms, p90_ms, now);
}

void health_on_end(struct sched *s, struct server *v, enum batch_end how,
		   cs_time started_at, bool had_failed, cs_time now)
{
	GString *pairs;

	if (how == BATCH_END_DONE)
		score(s, v, SCORE_DONE, started_at, now);
	if (how == BATCH_END_FAILED)
		score(s, v, had_failed ? SCORE_FAILED_AGAIN : SCORE_FAILED,
		      started_at, now);
	if (s->options.policy.has_server_scores)
		return;
	if (how == BATCH_END_DONE)
		v->failed_in_row = 0;
	if (how != BATCH_END_FAILED || ++v->failed_in_row < FAILURES_MAX)
		return;
	v->suspect_until = now + SUSPECT_US;
	pairs = g_string_new(NULL);
	log_pair(pairs, "server", v->info.id);
	log_pair_int(pairs, "failed_in_row", v->failed_in_row);
	log_pair_int(pairs, "for_ms", SUSPECT_US / CS_MSEC);
	sched_log(s, "server_suspect", pairs);
}
