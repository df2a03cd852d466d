#ifndef JOB_REQUEST_H
#define JOB_REQUEST_H

#include "../base/slots.h"
#include "../fleet/fleet.h"
#include "retry_budget.h"

/*
 * Requests that this entry has accepted, and the queues they wait in. Each
 * pool has one queue for each team, and one for the urgent requests of all
 * teams. The table only stores requests; dispatch.c decides about them.
 */

enum request_state {
	REQUEST_CLAIMING, /* waits for the claim on its identifier */
	REQUEST_QUEUED,
	REQUEST_RUNNING, /* an attempt was sent to a worker */
	REQUEST_BACKOFF, /* waits before the next attempt */
	REQUEST_FORWARDED /* another entry serves it */
};

struct request_links {
	cs_handle prev, next;
};

struct request {
	cs_handle self;
	enum request_state state;
	struct submit submit; /* holds a reference on the body */
	struct pool_queue *pool;
	struct team_queue *team;
	char origin[CS_NAME_MAX]; /* entry that forwarded it, or "" */
	uint64_t origin_ref;
	cs_time arrived;
	cs_time deadline;
	cs_handle deadline_timer;
	cs_handle wait_timer; /* of the backoff */
	struct request_links links; /* in the queue of its team */
	struct request_links urgent_links;
	bool is_claimed; /* the claim on its identifier was granted */
	bool may_have_run; /* an attempt failed or has an unknown outcome */
	bool is_abandoned; /* the caller disconnected */
	int attempts;
	cs_handle tried_workers[FLEET_EXCLUDE_MAX];
	char tried_hosts[FLEET_EXCLUDE_MAX][CS_NAME_MAX];
	size_t tried_nr;
	int failures; /* attempts that failed on a worker */
	struct placement placement; /* of the running attempt */
	char task_id[CS_NAME_MAX];
	cs_time started; /* of the running attempt */
	cs_handle probe_timer; /* next probe of the running attempt */
	int probes_pending; /* probes without an answer, of all attempts */
	int probes_ended; /* probes that found the running task ended */
	char forwarded_to[CS_NAME_MAX];
	bool is_forward_refused; /* not to be forwarded again */
};

struct request_list {
	cs_handle head, tail;
	int nr;
};

/* Requests of one team that wait for one pool. */
struct team_queue {
	char team[CS_NAME_MAX];
	struct pool_queue *pool;
	cs_handle share_row;
	struct request_list list;
	struct team_totals *totals;
	bool is_blocked; /* skipped, mostly because no permit was free */
	int long_waiting; /* long jobs of the team, see long_work.h */
	bool last_was_long; /* its last start was a long job */
};

/* Retry budget and counts of a team over all pools. */
struct team_totals {
	char team[CS_NAME_MAX];
	struct retry_budget retry;
	int queued, running;
	int long_waiting; /* long jobs that wait for a slot */
};

struct pool_queue {
	char name[CS_NAME_MAX];
	GHashTable *teams; /* team name -> struct team_queue */
	struct request_list urgent;
	struct retry_budget retry;
	int queued;
	int long_waiting;
	bool last_was_urgent; /* its last start was urgent */
};

struct request_table;

struct request_table *request_table_create(void);
/* Releases all requests as well. */
void request_table_destroy(struct request_table *table);

/*
 * Takes a copy of submit, with its own reference on the body. Returns the
 * request, not queued, or NULL when the table is full.
 */
struct request *request_add(struct request_table *table,
			    const struct submit *submit, const char *pool,
			    const char *team);

/* Frees a request; it must not be queued. */
void request_remove(struct request_table *table, struct request *request);

struct request *request_get(const struct request_table *table,
			    cs_handle handle);

/* The request of a caller of this entry's front, or NULL. */
struct request *request_by_caller(const struct request_table *table,
				  cs_handle caller);

/* The request that another entry forwarded, or NULL. */
struct request *request_by_origin(const struct request_table *table,
				  const char *origin, uint64_t ref);
/* Indexes the request for request_by_origin(). */
void request_set_origin(struct request_table *table, struct request *request,
			const char *origin, uint64_t ref);

/*
 * Queues at the end, or at the head for a request that was queued before. The
 * state becomes REQUEST_QUEUED.
 */
void request_enqueue(struct request_table *table, struct request *request,
		     bool at_head);
void request_dequeue(struct request_table *table, struct request *request);

/* The first request in the queue of a team, or NULL. */
struct request *request_first(const struct request_table *table,
			      const struct team_queue *queue);
/* The first urgent request of a pool and the one after a request, or NULL. */
struct request *request_first_urgent(const struct request_table *table,
				     const struct pool_queue *pool);
struct request *request_next_urgent(const struct request_table *table,
				    const struct request *request);

struct pool_queue *request_pool_queue(struct request_table *table,
				      const char *pool);
struct team_queue *request_team_queue(struct request_table *table,
				      struct pool_queue *pool,
				      const char *team);
/* Calls fn for each pool that has had work. */
void request_for_each_pool(struct request_table *table,
			   void (*fn)(struct pool_queue *pool, void *arg),
			   void *arg);
struct team_totals *request_team_totals(struct request_table *table,
					const char *team);

/*
 * The request after the given one in table order; 0 gives the first. Returns 0
 * at the end.
 */
cs_handle request_next(const struct request_table *table, cs_handle after);
uint32_t request_count(const struct request_table *table);

#endif
