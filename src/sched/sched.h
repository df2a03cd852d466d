#ifndef SCHED_SCHED_H
#define SCHED_SCHED_H

#include "../base/counters.h"
#include "../base/timers.h"
#include "order.h"

/*
 * The scheduler: decides which task runs where and when. One entry at a time
 * owns the fleet and has a scheduler, made anew for each term of ownership.
 * It is told what the store, the servers and callers say, and gives orders;
 * it has no socket, no codec and no clock of its own.
 *
 * A scheduler of a new term does not know what its predecessor ordered last.
 * It starts a task that is older than the term only when every server that
 * may hold an order of a predecessor has answered under the new token, or its
 * lease there has run out.
 */
struct sched;

/* Labels of a server: its kind, its rack, and others. */
#define SCHED_LABELS_MAX 8

/* What a server says of itself in the register. */
struct server_info {
	char id[CS_NAME_MAX]; /* of this incarnation */
	char pool[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX];
	char data_centre[CS_NAME_MAX];
	char labels[SCHED_LABELS_MAX][CS_NAME_MAX];
	int labels_nr;
	char rack[CS_NAME_MAX]; /* the label that names the rack, or "" */
	char version[CS_NAME_MAX]; /* of its software */
	struct site_room room; /* for all that runs on it */
	bool is_draining;
	int64_t remaining_ms; /* at least, while it drains */
	uint64_t born; /* start of the incarnation, unix ms; 0: not told */
};

/* A maintenance wave as the operators asked for it. */
struct wave_info {
	uint64_t number;
	GPtrArray *hosts; /* names */
	int64_t duration_ms;
	int at_once_max;
	GPtrArray *done; /* names of hosts done by a predecessor, or NULL */
};

/* Figures of the platform that bind decisions. */
struct sched_bounds {
	int host_calls_per_s; /* that the host service takes */
	int64_t holder_pause_ms; /* between two holders of host orders */
};

struct sched_options {
	char holder[CS_NAME_MAX]; /* this entry */
	uint64_t token; /* of the term; rises with every term */
	uint64_t revision; /* of the store when the term began */
	/* Until then a predecessor may have extended leases. */
	cs_time predecessor_end;
	struct sched_bounds bounds;
};

struct sched_ops {
	/* Sends an order, which it takes over. */
	void (*send)(void *ctx, struct order *order);
	/* Writes a line to the log; pairs are key=value. */
	void (*log)(void *ctx, const char *event, const char *pairs);
	/* A server has seen a higher token. */
	void (*fenced)(void *ctx);
	/*
	 * A wave has advanced: done holds the names of the hosts whose
	 * maintenance has begun, is_done says that none is left.
	 */
	void (*wave_advanced)(void *ctx, uint64_t wave, const GPtrArray *done,
			      bool is_done);
};

struct sched *sched_create(const struct sched_options *options,
			   const struct sched_ops *ops, void *ctx,
			   struct timers *timers, struct counters *counters,
			   cs_time now);
void sched_destroy(struct sched *sched);

/* Belief, from the store. */
void sched_set_site(struct sched *sched, struct site *site, cs_time now);
void sched_set_evacuated(struct sched *sched, const char *data_centre,
			 bool is_evacuated, cs_time now);
void sched_server_seen(struct sched *sched, const struct server_info *info,
		       cs_time now);
void sched_server_gone(struct sched *sched, const char *id, cs_time now);
/* A server of which a predecessor noted that it might send orders there. */
void sched_server_granted(struct sched *sched, const char *id, const char *pool,
			  cs_time now);
/*
 * Takes over the batch. revision is that of its submission in the store;
 * stored_revision that of its progress, 0 if there is none. Ignored, and the
 * batch released, if its identifier is known.
 */
void sched_add(struct sched *sched, struct batch *batch, uint64_t revision,
	       uint64_t stored_revision, int64_t unix_ms, cs_time now);
void sched_cancel(struct sched *sched, const char *id, cs_time now);
void sched_wave(struct sched *sched, const struct wave_info *wave, cs_time now);
void sched_wave_gone(struct sched *sched, uint64_t wave);

/* All submissions of the store have been passed on; starts may begin. */
void sched_ready(struct sched *sched, cs_time now);

/* The answer to an order. */
void sched_order_done(struct sched *sched, const struct order_done *done,
		      cs_time now);

/* Decides what has become due since the last call. unix_ms is the present. */
void sched_turn(struct sched *sched, int64_t unix_ms, cs_time now);

/*
 * The ownership was confirmed by a call that was sent at that time: until
 * then nobody else gave orders. No start is ordered and no lease extended
 * while is_paused.
 */
void sched_set_confirmed(struct sched *sched, cs_time at, bool is_paused);

/*
 * What is to be stored. sched_take_changed() returns the next batch whose
 * progress changed, 0 if there is none; it is then either stored, with the
 * version that was written and its new revision, or given back with the present
 * revision.
 */
cs_handle sched_take_changed(struct sched *sched);
const struct batch *sched_batch(const struct sched *sched, cs_handle batch);
uint64_t sched_stored_revision(const struct sched *sched, cs_handle batch);
void sched_stored(struct sched *sched, cs_handle batch, uint32_t version,
		  uint64_t revision, cs_time now);
void sched_store_failed(struct sched *sched, cs_handle batch,
			uint64_t revision);
/* All batches of a transaction have been told. */
void sched_commit_ended(struct sched *sched, cs_time now);

/* When sched_turn() has something to do next, or CS_TIME_NEVER. */
cs_time sched_next_turn(const struct sched *sched);

/* Servers about to get their first order: the store must know them first. */
cs_handle sched_take_grant(struct sched *sched);
const struct server_info *sched_server(const struct sched *sched,
				       cs_handle server);
/* The end of what sched_take_grant() began. */
void sched_grant_stored(struct sched *sched, cs_handle server, bool is_stored);
/* Adds copies of the first grants that are over, up to max in all. */
void sched_ended_grants(const struct sched *sched, GPtrArray *ids, guint max);
void sched_ended_grant_removed(struct sched *sched, const char *id);

/*
 * Orders to hosts, which the store must know first: a successor leaves the
 * hosts alone that its predecessor ordered within the pause between holders.
 * Takes up to max that are planned, which stay open until they are stored or
 * not. The grants of their servers, which run nothing and get nothing more,
 * are over with it; their identifiers are added to ended. Returns how many.
 */
int sched_take_host_orders(struct sched *sched, int max, GPtrArray *ended,
			   cs_time now);
/* Names of hosts that were ordered lately, one a line. */
char *sched_ordered_hosts(const struct sched *sched, cs_time now);
/* The open orders are sent, not later than not_after, or given up. */
void sched_host_orders_stored(struct sched *sched, bool is_stored,
			      cs_time not_after, cs_time now);
/* A predecessor may have ordered that host lately. */
void sched_host_was_ordered(struct sched *sched, const char *host);

/* A batch that callers may no longer ask for, to be removed; 0: none. */
cs_handle sched_next_expired(struct sched *sched, cs_time now);
void sched_expired_removed(struct sched *sched, cs_handle batch);

/* The state of a batch that is known, by identifier; false if it is not. */
bool sched_find(const struct sched *sched, const char *id,
		enum batch_state *state, bool *is_stored);

/*
 * For each queue: how many batches wait without a start, and how long a new
 * one would wait, in ms. fn is called once for each queue with a batch.
 */
typedef void (*sched_queue_fn)(void *ctx, const char *queue, int pending,
			       int64_t wait_ms);
void sched_queues(const struct sched *sched, sched_queue_fn fn, void *ctx);

#endif
