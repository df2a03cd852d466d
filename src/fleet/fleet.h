#ifndef FLEET_H
#define FLEET_H

#include "../entry/part.h"

/*
 * Workers as this entry sees them: which pool they serve, how loaded and how
 * healthy they are, and which one the next task goes to.
 */

/* A worker chosen for one task. */
struct placement {
	cs_handle worker;
	char name[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX];
	char host[CS_NAME_MAX];
};

/* Workers that a request must not go to again. */
#define FLEET_EXCLUDE_MAX 8

/*
 * Chooses the least loaded healthy worker of the pool in this data centre
 * and counts one task on it. O(log n). CS_OK; CS_ERR_FULL if all its slots
 * that this entry may use are taken; CS_ERR_MISSING if the pool has no worker
 * here that may be used.
 */
int fleet_place(struct part_ctx *ctx, const char *pool,
		const cs_handle *exclude, size_t exclude_nr,
		struct placement *out);

enum fleet_result {
	FLEET_WORKED, /* an answer that is the worker's own success */
	FLEET_BUSY, /* the worker refused for want of a slot */
	FLEET_FAILED, /* the worker failed the task or broke off */
	FLEET_UNREACHABLE, /* no connection */
	FLEET_NEUTRAL /* ended for a reason of the caller's or the job's */
};

/* Ends the count made by fleet_place() and judges the worker's health. */
void fleet_finish(struct part_ctx *ctx, cs_handle worker,
		  enum fleet_result result);

/* Slots that this entry may still use in a pool, and all of them here. */
int fleet_free_slots(const struct part_ctx *ctx, const char *pool);
int fleet_pool_slots(const struct part_ctx *ctx, const char *pool);

/* Tasks of this entry on the pool. */
int fleet_pool_running(const struct part_ctx *ctx, const char *pool);

/* True if entry or host is confirmed dead by the host list. */
bool fleet_is_entry_dropped(const struct part_ctx *ctx, const char *entry);

/* Appends one line per worker for status: name, state, load, why. */
void fleet_describe(const struct part_ctx *ctx, GString *out);

#endif
