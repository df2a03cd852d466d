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

void health_on_end(struct sched *s, struct server *v, enum batch_end how,
		   cs_time now)
{
	GString *pairs;

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
