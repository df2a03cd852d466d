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
 * here that may be used. Urgent work may exceed this entry's quota, since the
 * slot that long work leaves free may be in the quota of another entry.
 */
int fleet_place(struct part_ctx *ctx, const char *pool, bool is_urgent,
		const cs_handle *exclude, size_t exclude_nr,
		struct placement *out);

/*
 * Counts one task that already runs on the named worker, whose owner hands
 * it over to this entry. CS_OK or CS_ERR_MISSING.
 */
int fleet_take_over(struct part_ctx *ctx, const char *worker,
		    struct placement *out);

/*
 * True if long work may take another slot of the pool here. It must leave a
 * few free, since it gives none back within the 2.7 s in which urgent work
 * has to start.
 */
bool fleet_has_room_for_long(const struct part_ctx *ctx, const char *pool);

/* True if a task may still be started on the worker. */
bool fleet_is_usable(const struct part_ctx *ctx, cs_handle worker);

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

/*
 * Takes back one failure that turned out to be the job's own. A worker that
 * was ejected for it serves again.
 */
void fleet_pardon(struct part_ctx *ctx, cs_handle worker);

/* Tasks of this entry on the pool's workers. */
int fleet_pool_running(const struct part_ctx *ctx, const char *pool);

/* Workers of the pool in this data centre that are not ejected. */
int fleet_pool_workers(const struct part_ctx *ctx, const char *pool);

/* Slots of usable workers of the pool in this data centre. */
int fleet_pool_slots(const struct part_ctx *ctx, const char *pool);

/* Slots that the fleet document gives the pool in any data centre. */
int fleet_document_slots(const struct part_ctx *ctx, const char *pool,
			 const char *data_centre);

/*
 * True if the platform's host list once held this entry and has now been
 * without it for long enough to be sure, see HOST_GONE_TIME in host_list.c.
 */
bool fleet_is_entry_dropped(const struct part_ctx *ctx, const char *entry);

/* True if the host list marks the host as leaving. */
bool fleet_is_host_leaving(const struct part_ctx *ctx, const char *host);

/* The host list knows the host, and has it missing or leaving at present. */
bool fleet_is_host_absent(const struct part_ctx *ctx, const char *host);

/* The last answer of the host list has the host, and not as leaving. */
bool fleet_is_host_live(const struct part_ctx *ctx, const char *host);

/* What this entry knows of one worker of its data centre. */
struct fleet_load {
	const char *host;
	int running; /* tasks, of this entry and by the last report */
	bool is_idle; /* drained, and a report since then shows no task */
	bool is_failed; /* ejected or unreachable */
};

/* Calls fn for each worker of this data centre, in no given order. */
void fleet_for_each_load(const struct part_ctx *ctx,
			 void (*fn)(void *arg, const struct fleet_load *load),
			 void *arg);

/*
 * False after a clock jump until the host list was asked for again: a worker
 * may have begun to leave meanwhile, and nothing should start.
 */
bool fleet_is_fresh(const struct part_ctx *ctx);

/* Ejected workers of the pool, for status and for the budgets. */
int fleet_pool_ejected(const struct part_ctx *ctx, const char *pool);

/* Appends the workers of this data centre as a JSON array, by name. */
void fleet_describe(const struct part_ctx *ctx, GString *json);

#endif
