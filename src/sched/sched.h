#ifndef SCHED_SCHED_H
#define SCHED_SCHED_H

#include "../base/counters.h"
#include "../base/timers.h"
#include "order.h"

/*
 * The scheduler: decides which task runs where and when. One entry at a time
 * owns the fleet and has a scheduler, which is created for each term of
 * ownership. The caller passes it the state of the store, the replies of
 * servers and the requests of callers, and sends the orders that it gives. It
 * has no socket, no codec and no clock.
 *
 * The scheduler of a new term does not know the last orders of its
 * predecessor. It starts a task that is older than the term only when every
 * server that may have received an order of a predecessor has answered under
 * the new token, or the lease of that server has expired.
 */
struct sched;

/*
 * How long a batch can be queried after its end. The platform requires 120 s;
 * the margin covers clock differences between entries.
 */
#define SCHED_RETENTION_US (130 * CS_SEC)

/* Labels of a server: its kind, its rack, and others. */
#define SCHED_LABELS_MAX 8

/* A server's record in the registry, a part of the store. */
struct server_info {
	char id[SITE_NAME_MAX]; /* of this incarnation */
	char pool[SITE_NAME_MAX];
	char address[CS_ADDRESS_MAX];
	char data_centre[SITE_NAME_MAX];
	char labels[SCHED_LABELS_MAX][SITE_NAME_MAX];
	int labels_nr;
	char rack[SITE_NAME_MAX]; /* the label that names the rack, or "" */
	char version[SITE_NAME_MAX]; /* of its software */
	struct site_resources capacity; /* total for all tasks */
	bool is_draining;
	int64_t remaining_ms; /* minimum time left while draining */
	uint64_t started_unix_ms; /* start of the incarnation; 0: unknown */
};

/* A maintenance wave as requested by the operators. */
struct wave_info {
	uint64_t number;
	GPtrArray *hosts; /* names */
	int64_t duration_ms; /* in which all of its hosts are to be done */
	int at_once_max; /* hosts that may be down at the same time */
	GPtrArray *done; /* names of hosts done by a predecessor, or NULL */
};

/* Limits of the platform. */
struct sched_limits {
	int host_calls_per_s; /* rate limit of the host service */
	/* Minimum time between orders of two entries to the same host. */
	int64_t holder_pause_ms;
	/* Servers shorten a longer lease to this, by their own clock. */
	int64_t server_lease_max_ms;
};

/*
 * Decisions under load that an entry's settings switch on. With all of them off
 * the scheduler orders jobs by their objective and packs servers by room.
 */
struct sched_policy {
	bool has_fair_shares; /* queue/fair_share.h */
	bool has_admission; /* queue/drain.h, node/admission.h */
	bool has_preemption; /* queue/preempt.h */
	bool has_server_scores; /* place/server_score.h */
	bool has_demand_forecast; /* pools/forecast.h */
	bool has_learned_run_times; /* learn/run_times.h */
};

struct sched_options {
	char holder[CS_NAME_MAX]; /* this entry */
	/* First fencing token of the term; sched_set_token() adds others. */
	uint64_t token;
	uint64_t revision; /* of the store when the term began */
	/* Latest end of a lease that a predecessor may have renewed. */
	cs_time predecessor_end;
	struct sched_limits limits;
	struct sched_policy policy;
	size_t accepted_max; /* bytes held for accepted jobs; 0: no bound */
};

struct sched_ops {
	/* Sends an order and takes ownership of it. */
	void (*send)(void *ctx, struct order *order);
	/* Writes a line to the log; pairs are key=value. */
	void (*log)(void *ctx, const char *event, const char *pairs);
	/* False: a line that is written for each task is not to be written. */
	bool (*admits_frequent_log)(void *ctx);
	/* A server has seen a higher fencing token. */
	void (*fenced)(void *ctx);
	/*
	 * Reports the progress of a wave: done holds the names of the hosts
	 * whose maintenance has begun; is_done is true if no host is left.
	 */
	void (*wave_advanced)(void *ctx, uint64_t wave, const GPtrArray *done,
			      bool is_done);
};

/* Copies options; ops, ctx, timers and counters must outlive the scheduler. */
struct sched *sched_create(const struct sched_options *options,
			   const struct sched_ops *ops, void *ctx,
			   struct timers *timers, struct counters *counters,
			   cs_time now);
void sched_destroy(struct sched *sched);

/* The state of the store. The scheduler keeps a reference to site. */
void sched_set_site(struct sched *sched, struct site *site, cs_time now);
void sched_set_evacuated(struct sched *sched, const char *data_centre,
			 bool is_evacuated, cs_time now);
void sched_server_registered(struct sched *sched,
			     const struct server_info *info, cs_time now);
void sched_server_deregistered(struct sched *sched, const char *id,
			       cs_time now);
/* A stored grant: an owner may have sent orders to a server. */
struct sched_grant {
	const char *id, *pool; /* of the server */
	uint64_t revision; /* of the grant in the store */
	/* No lease that an owner gave the server lasts longer. */
	cs_time lease_end;
	/*
	 * When leases have ended that orders gave by the clock of a former
	 * incarnation; 0: none was given.
	 */
	cs_time longest_end;
	/*
	 * Start of the incarnation that the server had when the grant was
	 * stored; 0: not known.
	 */
	uint64_t started_unix_ms;
	/*
	 * The stored grant bounds the leases that were given, so that another
	 * one has to be stored before the server is used.
	 */
	bool is_bounded;
	/*
	 * The server got no starts and no leases from the owner whose key has
	 * this revision, nor from later ones; 0: the last owner may have given
	 * some.
	 */
	uint64_t unused_since;
};

/* A predecessor stored a grant. */
void sched_server_granted(struct sched *sched, const struct sched_grant *grant);
/*
 * Adds a batch and takes ownership of it. revision is the store revision of
 * its submission, stored_revision that of its progress, or 0 if no progress is
 * stored. If the identifier is already known, or the table of jobs is full, the
 * batch is freed instead.
 */
void sched_add_batch(struct sched *sched, struct batch *batch,
		     uint64_t revision, uint64_t stored_revision,
		     int64_t unix_ms, cs_time now);
/* If the identifier is not known yet, its batch is cancelled when added. */
void sched_cancel(struct sched *sched, const char *id, cs_time now);
/* Copies wave. No effect if a wave of that number is known. */
void sched_add_wave(struct sched *sched, const struct wave_info *wave,
		    cs_time now);
void sched_remove_wave(struct sched *sched, uint64_t wave);

/*
 * What has been learned of run times, to be stored for the next owner; NULL if
 * nothing is kept beyond the term. The caller frees it.
 */
GBytes *sched_learned(const struct sched *sched);
/*
 * Takes over what a predecessor has stored, before any end of a run is known.
 * CS_ERR_INVALID if it is malformed; it is then not used.
 */
int sched_restore_learned(struct sched *sched, const void *data, size_t size);

/* All submissions in the store have been added; tasks may be started. */
void sched_set_ready(struct sched *sched, cs_time now);

/*
 * True if servers wait for a higher fencing token than the present one, which
 * is to be reserved in the store: no later owner may use it or a lower one.
 */
bool sched_needs_token(const struct sched *sched);
/* A token is reserved for this owner; it is higher than those before. */
void sched_set_token(struct sched *sched, uint64_t token, cs_time now);

/* Handles the reply to an order; the caller keeps it. */
void sched_order_reply(struct sched *sched, const struct order_reply *reply,
		       cs_time now);

/* Makes all decisions that are due. unix_ms is the present time. */
void sched_turn(struct sched *sched, int64_t unix_ms, cs_time now);

/*
 * The ownership was confirmed by a store call sent at the given time: no other
 * entry gave orders before it. While is_paused, no task is started and no lease
 * is renewed.
 */
void sched_confirm_ownership(struct sched *sched, cs_time at, bool is_paused);

/*
 * Progress to be stored. sched_take_changed_batch() returns the next batch
 * whose progress has changed, or 0. The caller then reports either
 * sched_batch_stored(), with the version that was written and its new revision,
 * or sched_batch_store_failed(), with the present revision.
 */
cs_handle sched_take_changed_batch(struct sched *sched);
const struct batch *sched_batch(const struct sched *sched, cs_handle batch);
uint64_t sched_stored_revision(const struct sched *sched, cs_handle batch);
void sched_batch_stored(struct sched *sched, cs_handle batch, uint32_t version,
			uint64_t revision, cs_time now);
void sched_batch_store_failed(struct sched *sched, cs_handle batch,
			      uint64_t revision);
/* The results of all batches of a transaction have been reported. */
void sched_commit_finished(struct sched *sched, cs_time now);

/* When sched_turn() is to be called next, or CS_TIME_NEVER. */
cs_time sched_next_turn(const struct sched *sched);

/*
 * The next server that needs a grant, which is copied to grant, or 0. A grant
 * is stored before a server gets its first order, so that a successor knows all
 * servers that may have received orders. It is stored again when the server has
 * started again, since orders by its former clock give longer leases. Each is
 * stored on the condition of its revision, 0 if there is none: one that is
 * carried out late must not replace a later one.
 */
cs_handle sched_take_grant(struct sched *sched, struct sched_grant *grant);
const struct server_info *sched_server(const struct sched *sched,
				       cs_handle server);
/*
 * The result of storing a grant from sched_take_grant(), and the revision that
 * the grant has in the store now, as far as it is known.
 */
void sched_grant_stored(struct sched *sched, cs_handle server, bool is_stored,
			uint64_t revision);
/*
 * The next grant of a silent server, to be stored again with the bound of its
 * leases, so that the next owner need not wait anew for those that this one
 * could have given. It names a predecessor's grant whose server has not
 * answered this owner, and is stored on the condition of its revision. False:
 * none is left. One that is not stored is not tried again.
 */
bool sched_take_silent_grant(struct sched *sched, struct sched_grant *grant);
/* A grant from sched_take_silent_grant() is stored with that revision. */
void sched_silent_grant_stored(struct sched *sched, const char *id,
			       uint64_t revision);
/*
 * Begins anew with the grants of all servers that do not answer now, as this
 * owner gives no more orders.
 */
void sched_restart_silent_grants(struct sched *sched);
/*
 * Adds copies of the identifiers of ended grants, which are to be removed from
 * the store, until ids has max elements.
 */
void sched_ended_grants(const struct sched *sched, GPtrArray *ids, guint max);
void sched_ended_grant_removed(struct sched *sched, const char *id);

/*
 * Takes up to max queued orders to hosts, which are stored before they are
 * sent: a successor sends no orders to hosts that its predecessor sent orders
 * to within the pause between holders. They stay pending until
 * sched_host_orders_stored(). The servers on these hosts run nothing and get
 * no more orders, so their grants end; no order is taken while ended_max grants
 * are to be removed.
 * Returns the number of orders.
 */
int sched_take_host_orders(struct sched *sched, int max, guint ended_max,
			   cs_time now);
/*
 * Returns the names of hosts with recent orders, one per line, as a string that
 * the caller frees.
 */
char *sched_ordered_hosts(const struct sched *sched, cs_time now);
/* Sends the pending orders, not later than not_after, or drops them. */
void sched_host_orders_stored(struct sched *sched, bool is_stored,
			      cs_time not_after, cs_time now);
/* A predecessor may have sent an order to this host recently. */
void sched_note_predecessor_host_order(struct sched *sched, const char *host);

/* A batch whose retention time has passed, to be removed; 0: none. */
cs_handle sched_next_expired(struct sched *sched, cs_time now);
void sched_expired_removed(struct sched *sched, cs_handle batch);
/*
 * The same once the watch tells that the submission of a batch is gone, by a
 * removal without a reply: the identifier may be submitted again at once.
 */
void sched_batch_removed(struct sched *sched, const char *id);

/*
 * Finds a batch by identifier; NULL if it is unknown. Sets is_stored if its
 * progress is stored.
 */
const struct batch *sched_find_batch(const struct sched *sched, const char *id,
				     bool *is_stored);

/*
 * Calls fn for each queue that has a batch: pending is the number of due
 * batches that have not started, wait_ms the estimated wait of a new batch.
 */
typedef void (*sched_queue_fn)(void *ctx, const char *queue, int pending,
			       int64_t wait_ms);
void sched_for_each_queue(const struct sched *sched, sched_queue_fn fn,
			  void *ctx);

/* True if a workspace has become full since the last call of the next one. */
bool sched_has_new_full_workspace(const struct sched *sched);
typedef void (*sched_workspace_fn)(void *ctx, const char *workspace);
/*
 * Calls fn for each workspace whose submissions are to be refused, as it holds
 * its part of the memory for accepted jobs; see queue/accepted_work.h. Logs the
 * changes since the last call.
 */
void sched_for_each_full_workspace(struct sched *sched, sched_workspace_fn fn,
				   void *ctx);

#endif
