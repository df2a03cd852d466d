#ifndef BENCH_SITE_H
#define BENCH_SITE_H

#include <glib.h>

#include "../src/base/timers.h"
#include "../src/config/document.h"
#include "../src/entry/part.h"

/*
 * A simulated site: the decision cores of several entries in virtual time, with
 * a platform and workers that never fail. It measures the messages, bytes and
 * processor time of each core. Messages are only encoded to count their bytes;
 * no socket is used.
 */

/* Number of rows of each kind in the fleet document. */
struct site_size {
	int workers, pools, teams, data_centres;
};

#define SITE_WORKERS_PER_HOST 4
#define SITE_SLOTS_PER_WORKER 8
#define SITE_KEYS_PER_TEAM 2

struct site_load {
	double rate; /* requests a second at each entry */
	int run_ms;
	int claimed_percent; /* with a request id and not idempotent */
	int long_percent;
	bool tasks_never_end; /* of short requests */
};

/*
 * Indexes of site_stats.cause_us: why a core was called. Timers use the index
 * of MSG_NONE, other message types their own; then come platform replies by
 * part and peer messages by kind.
 */
#define SITE_CAUSE_TIMERS 0
#define SITE_CAUSE_PLATFORM (int)MSG_TYPE_NR
#define SITE_CAUSE_PEER (SITE_CAUSE_PLATFORM + (int)PART_NR)
#define SITE_CAUSE_NR (SITE_CAUSE_PEER + (int)PEER_KIND_NR)

/* Counters of one core since site_reset_stats(). */
struct site_stats {
	uint64_t peer_nr[PEER_KIND_NR], peer_bytes[PEER_KIND_NR];
	uint64_t peer_in, peer_in_bytes;
	uint64_t kv_nr[KV_HOSTS + 1];
	uint64_t kv_bytes; /* values read and written, without headers */
	uint64_t hosts_rows, hosts_bytes;
	uint64_t tasks, controls, polls, replies, answered, submits;
	uint64_t calls; /* into the core */
	double busy_us, longest_call_us; /* processor time */
	double cause_us[SITE_CAUSE_NR];
};

struct site;

/* A watch call in progress; freed when its waiting time expires. */
struct site_watch {
	struct site *s;
	int entry;
	struct kv_call call;
	bool is_ended; /* a reply was sent */
};

struct site_entry {
	struct site *s;
	int index;
	char id[CS_NAME_MAX], data_centre[CS_NAME_MAX];
	struct entry *core;
	cs_time next_wake; /* when the core is called next */
	struct site_stats stats;
};

struct site {
	struct site_size size;
	struct timers *timers;
	GRand *rng;
	cs_time now;
	struct site_entry *entries;
	int entries_nr;
	struct document *doc;
	GHashTable *values; /* key -> struct site_value */
	GPtrArray *watches;
	uint64_t revision, lease;
	GPtrArray *outgoing; /* messages sent during the current call */
	struct site_load load;
	bool is_loaded;
	GHashTable *long_ends; /* task id -> end time */
	uint64_t callers_nr;
	double clock_overhead_us; /* subtracted from measured times */
};

/* Creates a fleet document with revision 1. */
struct document *site_document(const struct site_size *size);
/*
 * Creates a site of entries_nr entries, spread over the data centres. The
 * platform already stores the document.
 */
struct site *site_create(const struct site_size *size, int entries_nr,
			 uint32_t seed);
void site_destroy(struct site *s);
/* Runs the simulation for a span of virtual time. */
void site_run(struct site *s, cs_time span);
void site_reset_stats(struct site *s);
/* Starts or changes the load at all entries; NULL ends it. */
void site_set_load(struct site *s, const struct site_load *load);
/*
 * Passes a message to a core and processes the messages that it sends. Takes
 * ownership of msg.
 */
void site_handle(struct site_entry *e, struct msg *msg);
/* Writes the next revision of the document to the platform. */
void site_publish_document(struct site *s);
/* Submits a request for short or long work. */
void site_submit(struct site_entry *e, int team, int pool, bool is_claimed,
		 bool is_long);
/* Bytes of heap memory in use by this process. */
size_t site_heap_bytes(void);
/* Processor time of this thread, in us. */
double site_cpu_us(void);
/* Bytes of all messages sent to peers. */
uint64_t site_peer_bytes(const struct site_stats *t);

#endif
