#ifndef FLEET_H
#define FLEET_H

#include "../entry/part.h"

/*
 * The workers known to this entry, with their pools, load and health, and the
 * placement of tasks on them.
 */

/* The worker chosen for a task. */
struct placement {
	cs_handle worker;
	char name[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX];
	char host[CS_NAME_MAX];
};

/* Most workers that a request may exclude, since it already failed there. */
#define FLEET_EXCLUDE_MAX 8

/*
 * Chooses the least loaded healthy worker of the pool in this data centre
 * and counts one task on it. O(log n). Returns CS_OK; CS_ERR_FULL if all slots
 * that this entry may use are taken; CS_ERR_MISSING if the pool has no usable
 * worker here. Urgent work may exceed this entry's quota, since the slot that
 * long work leaves free may be in the quota of another entry.
 */
int fleet_place(struct part_ctx *ctx, const char *pool, bool is_urgent,
		const cs_handle *exclude, size_t exclude_nr,
		struct placement *out);

/*
 * Counts a task that already runs on the named worker and that another entry
 * hands over to this one. Returns CS_OK or CS_ERR_MISSING.
 */
int fleet_count_running_task(struct part_ctx *ctx, const char *worker,
			     struct placement *out);

/*
 * True if long work may take another slot of the pool here. Long work must
 * leave some slots free, since it does not free any within the 2.7 s in which
 * urgent work has to start.
 */
bool fleet_has_slot_for_long_work(const struct part_ctx *ctx, const char *pool);

/* True if tasks may be started on the worker. */
bool fleet_is_usable(const struct part_ctx *ctx, cs_handle worker);

enum fleet_result {
	FLEET_SUCCEEDED, /* the worker completed the task */
	FLEET_BUSY, /* the worker refused the task, having no free slot */
	FLEET_FAILED, /* the worker failed or did not complete the task */
	FLEET_UNREACHABLE, /* no connection */
	FLEET_NEUTRAL /* ended because of the caller or the job */
};

/*
 * Ends the task counted by fleet_place() and records the result in the worker's
 * health.
 */
void fleet_finish(struct part_ctx *ctx, cs_handle worker,
		  enum fleet_result result);

/*
 * Removes one failure that turned out to be caused by the job from the worker's
 * health. A worker that was ejected for it returns to service.
 */
void fleet_undo_failure(struct part_ctx *ctx, cs_handle worker);

/* Tasks of this entry on the pool's workers. */
int fleet_pool_running(const struct part_ctx *ctx, const char *pool);

/* Workers of the pool in this data centre that are not ejected. */
int fleet_pool_workers(const struct part_ctx *ctx, const char *pool);

/* Slots of usable workers of the pool in this data centre. */
int fleet_pool_slots(const struct part_ctx *ctx, const char *pool);

/*
 * Slots of assigned hosts of the pool in that data centre, by the fleet
 * document; 0 if the data centre is out of service.
 */
int fleet_document_slots(const struct part_ctx *ctx, const char *pool,
			 const char *data_centre);

/*
 * True if the platform's host list once contained a host or entry of that name
 * and has been without it for HOST_GONE_TIME (host_list.c).
 */
bool fleet_is_host_gone(const struct part_ctx *ctx, const char *name);

/* True if the host list marks the host as leaving. */
bool fleet_is_host_leaving(const struct part_ctx *ctx, const char *host);

/* True if a known host is missing from the host list or leaving. */
bool fleet_is_host_absent(const struct part_ctx *ctx, const char *host);

/* True if the last host list contains the host, not marked as leaving. */
bool fleet_is_host_live(const struct part_ctx *ctx, const char *host);

/* The load of a worker of this data centre. */
struct fleet_load {
	const char *host;
	int running; /* tasks of this entry and, by estimate, of others */
	bool is_idle; /* drained, and a later report shows no task */
	bool is_failed; /* ejected or unreachable */
};

/* Calls fn for each worker of this data centre, in no defined order. */
void fleet_for_each_load(const struct part_ctx *ctx,
			 void (*fn)(void *arg, const struct fleet_load *load),
			 void *arg);

/*
 * False from the start or a clock jump until the host list was read again, but
 * for at most 1 s. No task should start meanwhile, since workers may have begun
 * to leave.
 */
bool fleet_is_fresh(const struct part_ctx *ctx);

/* Ejected workers of the pool, for status and for the budgets. */
int fleet_pool_ejected(const struct part_ctx *ctx, const char *pool);

/* Appends the workers of this data centre as a JSON array, by name. */
void fleet_describe(const struct part_ctx *ctx, GString *json);

#endif
