#ifndef CLAIM_SYNC_H
#define CLAIM_SYNC_H

#include "../entry/part.h"

/*
 * Claims on request identifiers: a non-idempotent request with an identifier
 * runs only after its claim was granted. The verdict is delivered through the
 * function given to claim_sync_subscribe(), possibly before
 * claim_sync_request() returns.
 */

typedef void (*claim_verdict_fn)(struct part_ctx *ctx, uint64_t ref,
				 enum claim_verdict verdict,
				 const char *holder);

/* Sets the only subscriber, the dispatch part. */
void claim_sync_subscribe(struct part_ctx *ctx, claim_verdict_fn fn);

/*
 * Requests the claim on a request identifier. Each call gets exactly one
 * verdict, with its ref. If the owner or the replica can't be reached in time
 * the verdict is CLAIM_UNKNOWN, or CLAIM_STALE if the request never left this
 * entry, so that nothing was recorded anywhere.
 */
void claim_sync_request(struct part_ctx *ctx, uint64_t ref,
			const char *request_id);

/*
 * Releases a granted claim after a refusal that says "not run", so that the
 * caller may submit the same identifier again. If the message is lost, that
 * later submission is answered with "unknown", which is safe.
 */
void claim_sync_release(struct part_ctx *ctx, const char *request_id);

#endif
