#ifndef JOB_DISPATCH_H
#define JOB_DISPATCH_H

#include "../entry/part.h"

/*
 * Short requests: admission, queues, attempts, retries and answers. Long work
 * is admitted here as well and then passed to long_work_submit().
 */

/* Requests queued and running at this entry, for status. */
struct dispatch_totals {
	int queued;
	int running;
};

struct dispatch_totals dispatch_team_totals(const struct part_ctx *ctx,
					    const char *team);

/*
 * Adds delta to the number of the team's long jobs that wait for a slot. They
 * take turns with the team's short requests.
 */
void dispatch_add_long_waiting(struct part_ctx *ctx, const char *pool,
			       const char *team, int delta);

/* Starts waiting requests after permits or slots may have become free. */
void dispatch_process_pool(struct part_ctx *ctx, const char *pool);
void dispatch_process_all_pools(struct part_ctx *ctx);

/* The result of the admission rules for a submission. */
struct admission {
	char team[CS_NAME_MAX];
	char pool[CS_NAME_MAX];
	const char *reason; /* "no_such_queue", "key_required", ... */
	int status; /* HTTP status of the refusal, 0 if admitted */
};

/* Applies the admission rules of the document in force to a submission. */
void dispatch_admit(struct part_ctx *ctx, const struct submit *submit,
		    struct admission *out);

#endif
