#include "sched_private.h"

#include "../base/log.h"

/*
 * Servers that fail what they start. A hopeless job fails everywhere and soon
 * ends by its attempts, so only failures in a row, without a success between
 * them, count against a server.
 */
#define FAILURES_MAX 3
/* A wrong suspicion costs one server for this long. */
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
