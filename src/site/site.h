#ifndef SITE_SITE_H
#define SITE_SITE_H

#include <glib.h>

#include "../camphorshed.h"

/*
 * The operators' configuration of a site that runs jobs of several steps:
 * queues, pools, workspaces with their keys and limits. A configuration does
 * not change once it is built and checked; a new version replaces it as a
 * whole.
 */

/* Resources that a task needs or that a backend server has. */
struct site_resources {
	int64_t cpu; /* thousandths of a core */
	int64_t memory_mb;
	int64_t accelerators;
};

/* a + b and a - b, field by field. */
struct site_resources site_resources_add(struct site_resources a,
					 struct site_resources b);
struct site_resources site_resources_sub(struct site_resources a,
					 struct site_resources b);
/* True if room has at least what need asks for, in every field. */
bool site_resources_fit(struct site_resources need, struct site_resources room);

/* How the placement advisor must approve the tasks of a queue. */
struct site_advice {
	int64_t decision_ms; /* fixed part of the advisor's response time */
	int64_t per_worker_ms; /* part for each backend server in the call */
	int64_t validity_ms; /* of a ticket; 0: the queue needs no advice */
};

/*
 * Size of a name that others choose, with the final NUL: of a queue, a pool, a
 * workspace, a host, a data centre or a backend server, or a label. The
 * identifier of a server is part of a key of the store, which limits it to 192
 * bytes; nothing limits the others, so they may be as long.
 */
#define SITE_NAME_MAX 193
/* Bytes of a host name in the DNS, with the final NUL. */
#define SITE_HOST_MAX 256

/* How the jobs of a queue are handled. */
struct site_terms {
	char pool[SITE_NAME_MAX];
	int priority; /* 0 comes first */
	int attempts_max; /* failed runs of a task until its job fails */
	/* A job should end within stretch * critical path + target_ms. */
	double stretch;
	int64_t target_ms;
	struct site_advice advice;
};

struct site_queue {
	char name[SITE_NAME_MAX];
	char host[SITE_HOST_MAX]; /* of the callers' address */
	char *prefix; /* of the path, with the final "/" */
	struct site_terms terms;
	int64_t timeout_ms;
	bool is_open; /* no key is needed */
};

struct site_pool {
	char name[SITE_NAME_MAX];
	bool has_admission_check; /* its servers refuse tasks that don't fit */
	bool is_standby; /* its hosts are off and cost nothing */
};

struct site_workspace {
	char name[SITE_NAME_MAX];
	int64_t weight;
	struct site_resources limit; /* of all running tasks; 0: no limit */
};

struct site;

/*
 * Creates an empty configuration, to be filled with the functions below. After
 * that it is only read, and site_ref() and site_unref() share it.
 */
struct site *site_create(uint64_t version);
struct site *site_ref(struct site *site);
void site_unref(struct site *site);

/* Each copies its argument; site_add_queue() takes over q->prefix. */
void site_add_queue(struct site *site, const struct site_queue *q);
void site_add_pool(struct site *site, const struct site_pool *p);
/* Returns the index of the workspace for site_add_key(). */
int site_add_workspace(struct site *site, const struct site_workspace *w);
void site_add_key(struct site *site, int workspace, const char *key);
void site_set_body_max(struct site *site, int64_t bytes);

uint64_t site_version(const struct site *site);
/* Largest request body in bytes; 0: not configured. */
int64_t site_body_max(const struct site *site);

/*
 * The queue of a host and path: the one with the longest prefix of the path, or
 * NULL. *rest is set to the path after the prefix.
 */
const struct site_queue *site_route(const struct site *site, const char *host,
				    const char *path, const char **rest);

/* By name; NULL if there is none. */
const struct site_queue *site_find_queue(const struct site *site,
					 const char *name);
const struct site_pool *site_find_pool(const struct site *site,
				       const char *name);
const struct site_workspace *site_find_workspace(const struct site *site,
						 const char *name);
/* The workspace of a key, or NULL. */
const struct site_workspace *site_key_owner(const struct site *site,
					    const char *key);

/* Queues, pools and workspaces by index from 0; NULL past the last. */
const struct site_queue *site_queue_at(const struct site *site, guint i);
const struct site_pool *site_pool_at(const struct site *site, guint i);
const struct site_workspace *site_workspace_at(const struct site *site,
					       guint i);

#endif
