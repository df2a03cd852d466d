#ifndef ENTRY_PART_H
#define ENTRY_PART_H

#include <glib.h>

#include "../base/counters.h"
#include "../base/timers.h"
#include "../config/document.h"
#include "message.h"

/*
 * The decision core consists of parts. A part owns the state of one concern
 * and has a row in the table of parts; the core calls it through part_ops.
 * Parts call one another through the functions of their public headers and
 * find one another's state in struct parts.
 */

enum part_id {
	PART_CONFIG, /* fleet document: watch, relay to peers, changes */
	PART_LEDGER, /* permits for upper limits */
	PART_CLAIM, /* deduplication of request identifiers */
	PART_FLEET, /* workers, health, placement, host list */
	PART_SHARE, /* fair sharing among teams and entries */
	PART_DISPATCH, /* short requests and their attempts */
	PART_LONG_WORK, /* long work: records, adoption */
	PART_PLANNER, /* host moves and maintenance */
	PART_ADMIN, /* requests of operators */
	PART_NR
};

struct config_sync;
struct ledger_sync;
struct claim_sync;
struct fleet;
struct share;
struct dispatch;
struct long_work;
struct planner;
struct admin_part;

/* The parts of one core, each set once at creation. */
struct parts {
	struct config_sync *config;
	struct ledger_sync *ledger;
	struct claim_sync *claim;
	struct fleet *fleet;
	struct share *share;
	struct dispatch *dispatch;
	struct long_work *long_work;
	struct planner *planner;
	struct admin_part *admin;
};

/* The last state of a peer's connection that the peer task reported. */
struct peer_status {
	bool is_up;
	uint64_t incarnation;
};

/* State and services that all parts of a core share. Outlives the parts. */
struct part_ctx {
	const struct entry_options *options;
	struct parts parts;
	struct peer_status *peers; /* one for each of options->peers */
	struct timers *timers;
	struct counters *counters;
	GRand *rng;
	cs_time now; /* set by the core before each call */
	bool is_draining;
	const struct outbox_ops *outbox;
	void *outbox_ctx;
};

/*
 * The functions of a part. create stores the part in ctx->parts; the other
 * functions find it there. Any function but create and destroy may be NULL.
 */
struct part_ops {
	const char *name;
	int (*create)(struct part_ctx *ctx, struct cs_error *err);
	void (*destroy)(struct part_ctx *ctx);
	/* Called once, after all parts were created and ctx->now was set. */
	void (*start)(struct part_ctx *ctx);
	/* Handles a message from a task; the core frees it afterwards. */
	void (*on_msg)(struct part_ctx *ctx, struct msg *msg);
	/* Handles the result of a kv_call of this part. */
	void (*on_kv)(struct part_ctx *ctx, const struct kv_done *done);
	/* Handles a peer message; the core frees it afterwards. */
	void (*on_peer)(struct part_ctx *ctx, struct peer_msg *peer);
	void (*on_peer_state)(struct part_ctx *ctx,
			      const struct peer_state *state);
	/* Called when a new fleet document is in force at this entry. */
	void (*on_config)(struct part_ctx *ctx, const struct document *doc);
	/* Called after a clock jump, see PART_CLOCK_GAP_MAX. */
	void (*on_jump)(struct part_ctx *ctx);
	/* Begins the drain: releases what other entries can use. */
	void (*drain)(struct part_ctx *ctx);
	/* Returns true when no work that must be finished is left. */
	bool (*is_drained)(struct part_ctx *ctx);
};

extern const struct part_ops config_sync_part;
extern const struct part_ops ledger_sync_part;
extern const struct part_ops claim_sync_part;
extern const struct part_ops fleet_part;
extern const struct part_ops share_part;
extern const struct part_ops dispatch_part;
extern const struct part_ops long_work_part;
extern const struct part_ops planner_part;
extern const struct part_ops admin_part;

/*
 * A longer gap between two calls of the core means that the process was
 * paused. Other entries may have treated it as failed meanwhile, so parts read
 * their state again before they use it. A lease lasts three times this long.
 */
#define PART_CLOCK_GAP_MAX (2 * CS_SEC)

/* Returns the index into options->peers and ctx->peers, or -1. */
int part_peer_index(const struct part_ctx *ctx, const char *id);

/* Returns true if the connection to that entry is up. */
bool part_peer_is_up(const struct part_ctx *ctx, const char *id);

/*
 * Returns the leader of a data centre: the entry with the lowest id among
 * those that are up, this entry included. NULL if there is none. The leader
 * acts on behalf of its data centre.
 */
const char *part_leader_entry(const struct part_ctx *ctx,
			      const char *data_centre);

/* Sends msg to the task that takes its type, and takes ownership of it. */
void part_emit(struct part_ctx *ctx, struct msg *msg);

/* Calls on_config of every part, in the order of the table. */
void part_config_changed(struct part_ctx *ctx, const struct document *doc);

/* Returns a new platform call of that part, to be filled in and emitted. */
struct msg *part_kv_call(enum part_id part, enum kv_op op, const char *key,
			 uint64_t token);

/* Returns a new message to that peer, to be filled in and emitted. */
struct msg *part_peer_msg(enum peer_kind kind, const char *peer);

/* Emits a log event and takes ownership of pairs, which may be NULL. */
void part_event(struct part_ctx *ctx, int level, const char *step,
		const char *peer, const struct trace *trace, GString *pairs);

/*
 * Checks an invariant in every build. If it does not hold, a fatal event with
 * its name is logged and the core stops taking new work. Returns holds.
 */
bool part_check_invariant(struct part_ctx *ctx, const char *name, bool holds);

/*
 * True in a soak build whose options disable the mechanism of that name, to
 * check that a test fails without it. False, and compiled away, in every other
 * build.
 */
#ifdef CS_SOAK
#define MUTANT(ctx, name)                                                      \
	((ctx)->options->mutant && !strcmp((ctx)->options->mutant, name))
#else
#define MUTANT(ctx, name) ((void)(ctx), false)
#endif

#endif
