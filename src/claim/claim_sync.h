#ifndef CLAIM_SYNC_H
#define CLAIM_SYNC_H

#include "../entry/part.h"

/*
 * Claims on request identifiers: a non-idempotent request with an identifier
 * runs only after its claim was granted. The answer comes back through the
 * function given to claim_sync_subscribe(), possibly from inside
 * claim_sync_request() itself.
 */

typedef void (*claim_verdict_fn)(struct part_ctx *ctx, uint64_t ref,
				 enum claim_verdict verdict,
				 const char *holder);

/* Sets the one subscriber: the dispatch part. */
void claim_sync_subscribe(struct part_ctx *ctx, claim_verdict_fn fn);

/*
 * Asks for the claim on a request identifier. ref comes back with the verdict;
 * exactly one verdict comes for each call. When owner or copy can't be
 * reached in time the verdict is CLAIM_UNKNOWN, or CLAIM_STALE if the call
 * never left this entry, so that nothing was recorded anywhere.
 */
void claim_sync_request(struct part_ctx *ctx, uint64_t ref,
			const char *request_id);

/*
 * Gives a granted claim back after a refusal that says "not run", so that the
 * caller may submit the same identifier again. If the message is lost, that
 * later submission is answered with "unknown", which is safe.
 */
void claim_sync_release(struct part_ctx *ctx, const char *request_id);

#endif
