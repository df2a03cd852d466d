#ifndef FAKE_FLEET_H
#define FAKE_FLEET_H

#include "../../src/entry/part.h"
#include "fake_kv.h"

/*
 * Simulates several entries with one part each, the platform's key-value
 * service and the links between the entries, in virtual time. All delays and
 * faults follow from the seed, so that a run can be repeated.
 */

#define FAKE_NODES_MAX 16

struct fake_fleet;

struct fake_node {
	struct part_ctx ctx; /* first, so that stubs can cast it to the node */
	struct entry_options options;
	struct entry_peer peers[FAKE_NODES_MAX];
	struct fake_fleet *fleet;
	cs_time last_turn;
	bool is_alive;
	bool is_paused;
	bool is_cut_off; /* the platform can't be reached */
	int segment; /* only entries of the same one are connected */
	void *user_data; /* of the test, which frees it */
};

struct fake_fleet {
	const struct part_ops *part;
	cs_time now;
	GRand *rng;
	struct fake_node *nodes[FAKE_NODES_MAX];
	int nodes_nr;
	struct fake_kv kv;
	GPtrArray *events; /* struct fake_event, unsorted */
	uint64_t sequence;
	uint64_t calls; /* to the platform, without watches */
	bool is_platform_down;
	int lost_percent; /* of writes, each with a random fault */
	enum fake_fault next_fault; /* for the next write */
	const char *fault_key; /* next_fault is for this key; NULL: any */
	void (*after_step)(struct fake_fleet *f);
};

struct fake_fleet *fake_fleet_create(const struct part_ops *part,
				     uint32_t seed);
void fake_fleet_destroy(struct fake_fleet *f);

/* Adds an entry without starting it. Add all entries before one starts. */
struct fake_node *fake_node_add(struct fake_fleet *f, const char *id,
				const char *data_centre);

/* Starts a process of the entry with the next incarnation. */
void fake_node_start(struct fake_node *n, const char *mutant);
void fake_node_kill(struct fake_node *n);
void fake_node_pause(struct fake_node *n);
void fake_node_resume(struct fake_node *n);

/* Moves a node to another network segment; its links go down or up. */
void fake_node_set_segment(struct fake_node *n, int segment);

/* Updates ctx->now and reports a clock jump to the part, as the core does. */
void fake_node_begin_turn(struct fake_node *n);

/* Runs events and timers for that much virtual time. */
void fake_fleet_run(struct fake_fleet *f, cs_time duration);

#endif
