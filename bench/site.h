#ifndef BENCH_SITE_H
#define BENCH_SITE_H

#include <glib.h>

#include "../src/base/timers.h"
#include "../src/config/document.h"
#include "../src/entry/part.h"

/*
 * Several decision cores of the design size in virtual time, with a platform
 * and workers that never fail. It counts what each core sends and the
 * processor time it takes; encodings are counted but no socket is used.
 */

/* Sizes of a fleet document. */
struct site_size {
	int workers, pools, teams, data_centres;
};

/* Workers on one host, slots of one worker, keys of one team. */
#define SITE_WORKERS_PER_HOST 4
#define SITE_SLOTS 8
#define SITE_KEYS 2

struct site_load {
	double rate; /* requests a second at each entry */
	int run_ms;
	int claimed_percent; /* identified and not idempotent */
	int long_percent;
	bool is_stuck; /* tasks never end */
};

/* What a core was called for: types of messages first, then these. */
#define SITE_CAUSE_TIMERS 0
#define SITE_CAUSE_PLATFORM (int)MSG_TYPE_NR
#define SITE_CAUSE_PEER (SITE_CAUSE_PLATFORM + (int)PART_NR)
#define SITE_CAUSE_NR (SITE_CAUSE_PEER + (int)PEER_KIND_NR)

/* What one core did since site_reset(). */
struct site_tally {
	uint64_t peer_nr[PEER_KIND_NR], peer_bytes[PEER_KIND_NR];
	uint64_t peer_in, peer_in_bytes;
	uint64_t kv_nr[KV_HOSTS + 1];
	uint64_t kv_bytes; /* of values, both ways, without headers */
	uint64_t hosts_rows, hosts_bytes;
	uint64_t tasks, controls, polls, replies, answered, submits;
	uint64_t calls; /* of the core */
	double busy_us, longest_us; /* processor time */
	double cause_us[SITE_CAUSE_NR];
};

struct site;

/* A call that waits for a change; kept until its time is over. */
struct site_watch {
	struct site *s;
	int entry;
	struct kv_call call;
	bool is_ended;
};

struct site_entry {
	struct site *s;
	int index;
	char id[CS_NAME_MAX], data_centre[CS_NAME_MAX];
	struct entry *core;
	cs_time wake;
	struct site_tally tally;
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
	GPtrArray *out; /* messages of the call in progress */
	struct site_load load;
	bool is_loaded;
	GHashTable *long_ends; /* task id -> when it ends */
	uint64_t callers;
	double clock_us; /* cost of reading the clock twice */
};

/* A fleet document of that size; revision 1. */
struct document *site_document(const struct site_size *size);
/* entries_nr cores, spread over the data centres, with the platform up. */
struct site *site_create(const struct site_size *size, int entries_nr,
			 uint32_t seed);
void site_destroy(struct site *s);
void site_run(struct site *s, cs_time time);
void site_reset(struct site *s);
void site_set_load(struct site *s, const struct site_load *load);
/* Hands a message to a core and delivers what it sends. */
void site_handle(struct site_entry *e, struct msg *msg);
/* Puts the next revision of the document into the platform. */
void site_change(struct site *s);
/* Submits one short or long request. */
void site_submit(struct site_entry *e, int team, int pool, bool is_claimed,
		 bool is_long);
/* Bytes of memory in use. */
size_t site_heap(void);
double site_cpu_us(void);
uint64_t site_peer_bytes(const struct site_tally *t);

#endif
