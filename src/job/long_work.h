#ifndef JOB_LONG_WORK_H
#define JOB_LONG_WORK_H

#include "../entry/part.h"

/*
 * Long work: recorded before it is acknowledged, run under a renewed lease,
 * and adopted by another entry when its owner is gone.
 */

/* Takes over an admitted long request; replies through the outbox. */
void long_work_submit(struct part_ctx *ctx, const struct submit *submit,
		      const char *team, const char *pool);

/* Long jobs owned by this entry. */
int long_work_count(const struct part_ctx *ctx);

#endif
