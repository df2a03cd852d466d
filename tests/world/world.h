#ifndef WORLD_WORLD_H
#define WORLD_WORLD_H

#include "../../src/node/node.h"

/*
 * A site in virtual time: a store, backend servers, a host service, entries
 * (struct node) and callers, with faults between them. It keeps the truth
 * about every run, and checks each start against what must always hold. Tests
 * script it; the seeded driver lets it run with random faults.
 */
struct world;

struct world_options {
	uint32_t seed;
	int nodes; /* entries */
	int servers; /* per pool */
	int pools;
	int standby; /* hosts in a pool that is off, the last one */
	bool is_verbose; /* logs of entries go to standard error */
};

struct world *world_create(const struct world_options *options);
void world_destroy(struct world *world);

/* Advances virtual time by that much; every event that is due runs. */
void world_run(struct world *world, int64_t ms);
int64_t world_now_ms(const struct world *world);
GRand *world_random(struct world *world);

/* The first broken rule, with its time; NULL: none. */
const char *world_broken(const struct world *world);

/*
 * Entries. A cut from the store or from servers loses calls and answers
 * silently. A pause holds up all that the entry would do.
 */
void world_node_start(struct world *world, int node);
/* Processor of the entry from its next start on, thousandths of a core. */
void world_node_share(struct world *world, int node, int cpu_share);
void world_node_kill(struct world *world, int node);
void world_node_drain(struct world *world, int node);
void world_node_pause(struct world *world, int node, int64_t ms);
void world_node_cut_store(struct world *world, int node, bool is_cut);
void world_node_cut_server(struct world *world, int node, int server,
			   bool is_cut);
bool world_node_is_up(const struct world *world, int node);
/* The entry that wrote the owner's key last and holds it; -1: nobody. */
int world_owner(const struct world *world);

/* The store. */
void world_store_down(struct world *world, bool is_down, bool leases_expire);
/* Share of writes, per mille, whose answer is lost; they may come late. */
void world_store_set_lost_replies(struct world *world, int per_mille,
				  bool is_late);
/* Each answer takes that much longer. */
void world_store_slow(struct world *world, int64_t ms);
void world_store_compact(struct world *world);
int world_store_count(const struct world *world, const char *prefix);
/* Bytes of all values under a prefix. */
int64_t world_store_bytes(const struct world *world, const char *prefix);

/* Servers. */
int world_servers(const struct world *world);
void world_server_crash(struct world *world, int server, int64_t back_ms);
void world_server_drain(struct world *world, int server);
/* Share of starts, per mille, that get no answer and run seconds later. */
void world_servers_late(struct world *world, int per_mille);
/* The server fails what it starts. */
void world_server_set_failing(struct world *world, int server, bool is_failing);
int world_server_runs(const struct world *world, int server);
/* Lets the server's ends wait: its holds get no answer until released. */
void world_server_set_silent(struct world *world, int server, bool is_silent);

/* Operators. */
void world_set_evacuated(struct world *world, int data_centre,
			 bool is_evacuated);
void world_limit(struct world *world, int64_t cpu);
void world_wave(struct world *world, uint64_t number, int first, int count,
		int at_once_max, int64_t duration_ms);

/* Callers. */
struct world_job {
	int pool;
	int steps; /* each waits for the one before */
	int width; /* tasks of a step */
	int64_t work_ms;
	int64_t caller_estimate_ms; /* what the caller tells of it; 0: the truth
				     */
	int64_t cpu;
	bool is_long_running, is_checkpointing, is_gang;
	int unavailable_max; /* of lasting tasks; -1: no bound */
	int64_t fails_after_ms; /* lasting tasks fail by themselves; 0: no */
	int failures; /* of the first task of each step, before it works */
};
/* Submits a job through an entry. Returns its number. */
int world_submit(struct world *world, int node, const struct world_job *job);
/* Submits the same job again, through another entry. */
void world_submit_again(struct world *world, int node, int job);
void world_cancel(struct world *world, int node, int job);
void world_ask(struct world *world, int node, int job);

enum world_answer { WORLD_NONE, WORLD_ACCEPTED, WORLD_REFUSED, WORLD_UNKNOWN };
enum world_answer world_answer(const struct world *world, int job);
/* When the caller was asked to come again at its last refusal. */
int64_t world_retry_after_ms(const struct world *world, int job);
int world_job_count(const struct world *world);
bool world_job_is_done(const struct world *world, int job);
bool world_job_is_long_running(const struct world *world, int job);
/* Orders to hosts that have arrived. */
int world_host_orders(const struct world *world);
/* From its submission to its last end; -1: not done. */
int64_t world_job_took_ms(const struct world *world, int job);
/* Milliseconds that hosts have spent in pools that are on. */
int64_t world_pool_ms(const struct world *world);
/* The last state that was shown, -1: none. */
int world_job_state(const struct world *world, int job);
/* Runs of a job that have begun. */
int world_job_starts(const struct world *world, int job);
/* Lasting tasks of a job that are at work now. */
int world_job_at_work(const struct world *world, int job);
/* Accepted jobs that are neither done, failed, cancelled nor lasting. */
int world_unfinished(const struct world *world);
/* What is known of the first of them, for a message. */
const char *world_describe_unfinished(struct world *world);

#endif
