#ifndef JOB_DISPATCH_H
#define JOB_DISPATCH_H

#include "../entry/part.h"

/*
 * Short requests: admission, queues, attempts, retries and answers. Long
 * work enters here too and is passed on to long_work.h after admission.
 */

/* Requests waiting and running at this entry, for status. */
struct dispatch_totals {
	int queued;
	int running;
};

struct dispatch_totals dispatch_team_totals(const struct part_ctx *ctx,
					    const char *team);

/*
 * Long jobs of a team that began or ceased to wait for a slot. They take
 * turns with the team's short requests.
 */
void dispatch_add_long_waiting(struct part_ctx *ctx, const char *pool,
			       const char *team, int delta);

/* Lets waiting requests start: permits or slots may have become free. */
void dispatch_process_pool(struct part_ctx *ctx, const char *pool);
void dispatch_kick_all(struct part_ctx *ctx);

/* Why a key gives access to a queue or not: admission rules. */
struct admission {
	char team[CS_NAME_MAX];
	char pool[CS_NAME_MAX];
	const char *reason; /* "no_such_queue", "key_required", ... */
	int status; /* HTTP status of the refusal, 0 if admitted */
};

/* Decides whether a submit may enter, by the document in force. */
void dispatch_admit(struct part_ctx *ctx, const struct submit *submit,
		    struct admission *out);

#endif
