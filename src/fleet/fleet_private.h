#ifndef FLEET_PRIVATE_H
#define FLEET_PRIVATE_H

#include "../base/slots.h"
#include "fleet.h"
#include "health.h"
#include "host_list.h"
#include "load_heap.h"
#include "task_count.h"

/* Private to the files of the fleet part. */

struct fleet_pool {
	char name[CS_NAME_MAX];
	struct heap heap; /* struct load_key */
	int slots; /* of usable workers in this data centre */
	int running; /* tasks of this entry */
	int workers; /* of hosts of the pool in this data centre */
	int ejected;
	double successes, failures; /* decaying counts of all workers */
	cs_time updated;
};

struct worker_row {
	struct load_key key;
	char name[CS_NAME_MAX];
	char host[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX];
	struct fleet_pool *pool;
	int slots;
	struct task_count own; /* tasks of this entry */
	int other_tasks; /* of other entries, estimated */
	bool is_usable; /* the host is assigned and not leaving */
	cs_time usable_changed_at;
	cs_time reported_at; /* when the last report was made; 0: none */
	int reported_running;
	bool is_removed; /* from the document; kept until it has no own task */
	bool has_busy_timer;
	struct health health;
	uint64_t generation; /* of the last document that contains it */
};

struct fleet {
	struct slots *workers;
	GHashTable *by_name; /* worker name -> cs_handle, stored as a pointer */
	GHashTable *pools; /* pool name -> struct fleet_pool */
	GHashTable *document_slots; /* "pool data_centre" -> slots */
	struct host_list *hosts;
	uint64_t generation;
	uint64_t ended_tasks; /* all so far */
	cs_time stale_until; /* after a clock jump, see fleet_is_fresh() */
	cs_handle last_polled; /* worker whose usage was requested last */
};

/* Converts a value of by_name to a handle. */
cs_handle fleet_handle(gpointer p);
/* The row of a worker, or NULL for a stale handle. */
struct worker_row *fleet_get_worker(const struct part_ctx *ctx,
				    cs_handle handle);
struct fleet_pool *fleet_find_pool(const struct part_ctx *ctx,
				   const char *name);
/*
 * Updates the worker's position in its pool's heap, or removes it if it can't
 * take a task.
 */
void fleet_update_position(struct worker_row *worker);
/* Logs an event of a worker. */
void fleet_log_worker_event(struct part_ctx *ctx,
			    const struct worker_row *worker, int level,
			    const char *event);
/* Removes the worker; its row is freed after its last task has ended. */
void fleet_remove_worker(struct fleet *fleet, cs_handle handle,
			 struct worker_row *worker);

#endif
