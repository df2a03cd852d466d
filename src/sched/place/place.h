#ifndef SCHED_PLACE_PLACE_H
#define SCHED_PLACE_PLACE_H

#include "../queue/job.h"
#include "../runs/server.h"

/* Placement decisions, without side effects. */

struct sched;

bool place_is_usable(const struct sched *s, const struct server *v,
		     cs_time now);
/* True if the server has the label; NULL and "" are that of all. */
bool place_has_label(const struct server *v, const char *label);
/* What a search for a server saw; set by place_choose(). */
struct place_search {
	int64_t examined; /* servers that were looked at */
	bool has_room; /* a usable one with the step's label had room */
};
/*
 * The server with the lowest cost for a task, or NULL if none can take it.
 * members: servers on which room is reserved for other members of its gang,
 * each as often as it has one; or NULL.
 */
struct server *place_choose(const struct sched *s, const struct task_ref *ref,
			    const GPtrArray *members, cs_time now,
			    struct place_search *search);
/* True if the server may run the task as soon as it has room. */
bool place_allows(const struct sched *s, const struct task_ref *ref,
		  const struct server *v, cs_time now);
/* What is left of the limit of the job's workspace; INT64_MAX: no limit. */
struct site_resources place_headroom(const struct sched *s,
				     const struct job *j);
struct site_resources place_need(const struct batch_step *st);
bool place_within_limit(const struct sched *s, const struct job *j,
			struct site_resources need);

#endif
