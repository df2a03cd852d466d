#ifndef FAKE_FLEET_H
#define FAKE_FLEET_H

#include "../../src/entry/part.h"

/*
 * Several entries with one part each, a key-value service and links between
 * the entries, in simulated time. One seed decides all delays and faults, so
 * that a run can be repeated.
 */

#define FAKE_NODES_MAX 16

/* What happens to one compare-and-swap. */
enum fake_fault {
	FAKE_NONE,
	FAKE_LOST_APPLIED, /* takes effect, the answer is lost */
	FAKE_LOST_DROPPED, /* has no effect, the answer is lost */
	FAKE_LOST_LATE /* the answer is lost, the effect comes 3 s later */
};

struct fake_fleet;

struct fake_node {
	struct part_ctx ctx; /* first, so that stubs find the node */
	struct entry_options options;
	struct entry_peer peers[FAKE_NODES_MAX];
	struct fake_fleet *fleet;
	cs_time last_turn;
	bool is_alive;
	bool is_paused;
	bool is_cut; /* the platform can't be reached */
	int island; /* entries of different islands don't hear each other */
	void *test; /* the test's own state */
};

struct fake_fleet {
	const struct part_ops *part;
	cs_time now;
	GRand *rng;
	struct fake_node *nodes[FAKE_NODES_MAX];
	int nodes_nr;
	GHashTable *rows; /* key -> struct fake_row */
	uint64_t revision;
	GPtrArray *events; /* struct fake_event, unsorted */
	GPtrArray *watches; /* struct fake_watch */
	uint64_t sequence;
	uint64_t calls; /* of the platform, watches not counted */
	bool is_down;
	int lost_percent; /* of writes, by random fault */
	enum fake_fault next_fault; /* of the next write */
	const char *fault_key; /* only of this key; NULL: any */
	void (*after_step)(struct fake_fleet *f);
};

struct fake_fleet *fake_fleet_create(const struct part_ops *part,
				     uint32_t seed);
void fake_fleet_destroy(struct fake_fleet *f);

/* Adds an entry that does not run yet; all are added before one starts. */
struct fake_node *fake_node_add(struct fake_fleet *f, const char *id,
				const char *data_centre);

/* Starts a process of the entry with the next incarnation. */
void fake_node_start(struct fake_node *n, const char *mutant);
void fake_node_kill(struct fake_node *n);
void fake_node_pause(struct fake_node *n);
void fake_node_resume(struct fake_node *n);

/* Moves a node to another island; the links go down or up. */
void fake_node_set_island(struct fake_node *n, int island);

/* Makes ctx->now current, and tells the part of a jump, as the core does. */
void fake_node_turn(struct fake_node *n);

/* Runs events and timers for that long. */
void fake_fleet_run(struct fake_fleet *f, cs_time duration);

/* The value of a key, or NULL. */
GBytes *fake_fleet_value(const struct fake_fleet *f, const char *key);

#endif
