#include "../camphorshed.h"

#include <string.h>

#include "../base/error.h"
#include "../base/log.h"
#include "../config/config_sync.h"
#include "part.h"

struct entry {
	struct part_ctx ctx;
	struct entry_options options;
	struct entry_peer *peers;
	char *mutant;
	cs_time last_now; /* time of the last call, 0 before the first */
	bool drain_requested;
};

static const struct part_ops *const part_table[PART_NR] = {
	[PART_CONFIG] = &config_sync_part,  [PART_LEDGER] = &ledger_sync_part,
	[PART_CLAIM] = &claim_sync_part,    [PART_FLEET] = &fleet_part,
	[PART_SHARE] = &share_part,	    [PART_DISPATCH] = &dispatch_part,
	[PART_LONG_WORK] = &long_work_part, [PART_PLANNER] = &planner_part,
	[PART_ADMIN] = &admin_part,
};

/* Returns the part that handles a message from a task, or -1 if none does. */
static int part_of_msg(const struct msg *msg)
{
	switch (msg->type) {
	case MSG_SUBMIT:
	case MSG_CALLER_GONE:
		return PART_DISPATCH;
	case MSG_TASK_DONE:
		return msg->u.task_done.part;
	case MSG_TASK_CONTROL_DONE:
		return msg->u.task_control_done.part;
	case MSG_JOB_QUERY:
	case MSG_JOB_CANCEL:
		return PART_LONG_WORK;
	case MSG_USAGE:
		return PART_FLEET;
	case MSG_ADMIN_CALL:
		return PART_ADMIN;
	default:
		return -1;
	}
}

/* The part that handles each kind of peer message. */
static const enum part_id peer_parts[PEER_KIND_NR] = {
	[PEER_HEARTBEAT] = PART_CONFIG,
	[PEER_SUMMARY] = PART_SHARE,
	[PEER_CONFIG] = PART_CONFIG,
	[PEER_CONFIG_ACK] = PART_CONFIG,
	[PEER_FORWARD] = PART_DISPATCH,
	[PEER_FORWARD_REPLY] = PART_DISPATCH,
	[PEER_FORWARD_CANCEL] = PART_DISPATCH,
	[PEER_CLAIM] = PART_CLAIM,
	[PEER_CLAIM_REPLY] = PART_CLAIM,
	[PEER_CLAIM_COPY] = PART_CLAIM,
	[PEER_CLAIM_COPY_ACK] = PART_CLAIM,
	[PEER_CLAIM_RELEASE] = PART_CLAIM,
	[PEER_JOB_COPY] = PART_LONG_WORK,
	[PEER_JOB_COPY_ACK] = PART_LONG_WORK,
};

/* Copies the options and what they point to. */
static void copy_options(struct entry *e, const struct entry_options *options)
{
	e->options = *options;
	e->peers = g_memdup2(options->peers,
			     options->peers_nr * sizeof(*options->peers));
	e->options.peers = e->peers;
	e->ctx.peers = g_new0(struct peer_status, options->peers_nr + 1);
	e->mutant = g_strdup(options->mutant);
	e->options.mutant = e->mutant;
}

struct entry *entry_create(const struct entry_options *options,
			   const struct outbox_ops *outbox, void *outbox_ctx,
			   struct cs_error *err)
{
	struct entry *e = g_new0(struct entry, 1);
	int i;

	copy_options(e, options);
	e->ctx.options = &e->options;
	e->ctx.outbox = outbox;
	e->ctx.outbox_ctx = outbox_ctx;
	e->ctx.counters = counters_create();
	e->ctx.rng = g_rand_new_with_seed(options->seed);
	e->ctx.timers = timers_create();
	if (!e->ctx.timers) {
		cs_error_set(err, CS_ERR_NOMEM, "entry_create", NULL,
			     "out of memory");
		goto fail;
	}
	for (i = 0; i < PART_NR; i++)
		if (part_table[i]->create(&e->ctx, err))
			goto fail;
	return e;
fail:
	entry_destroy(e);
	return NULL;
}

void entry_destroy(struct entry *e)
{
	int i;

	if (!e)
		return;
	for (i = PART_NR - 1; i >= 0; i--)
		part_table[i]->destroy(&e->ctx);
	timers_destroy(e->ctx.timers);
	counters_destroy(e->ctx.counters);
	g_rand_free(e->ctx.rng);
	g_free(e->ctx.peers);
	g_free(e->peers);
	g_free(e->mutant);
	g_free(e);
}

/* Sets the time and notifies every part if the clock jumped. */
static void update_clock(struct entry *e, cs_time now)
{
	bool jumped = e->last_now && now - e->last_now > PART_CLOCK_GAP_MAX;
	int i;

	e->ctx.now = now;
	e->last_now = now;
	if (!jumped || MUTANT(&e->ctx, "no-jump-check"))
		return;
	counters_add(e->ctx.counters, "clock_jumps_total", "", 1);
	part_event(&e->ctx, LOG_WARN, "turn", NULL, NULL,
		   g_string_new("event=clock_jump"));
	for (i = 0; i < PART_NR; i++)
		if (part_table[i]->on_jump)
			part_table[i]->on_jump(&e->ctx);
}

void entry_start(struct entry *e, cs_time now)
{
	int i;

	update_clock(e, now);
	for (i = 0; i < PART_NR; i++)
		if (part_table[i]->start)
			part_table[i]->start(&e->ctx);
}

static void route_kv(struct entry *e, const struct kv_done *done)
{
	if (done->part < 0 || done->part >= PART_NR ||
	    !part_table[done->part]->on_kv)
		return;
	part_table[done->part]->on_kv(&e->ctx, done);
}

static void route_peer(struct entry *e, struct peer_msg *peer)
{
	const struct part_ops *ops;

	if ((unsigned)peer->kind >= PEER_KIND_NR)
		return;
	ops = part_table[peer_parts[peer->kind]];
	if (ops->on_peer)
		ops->on_peer(&e->ctx, peer);
}

static void route_peer_state(struct entry *e, const struct peer_state *state)
{
	int i = part_peer_index(&e->ctx, state->peer);

	if (i < 0)
		return; /* not in the settings */
	e->ctx.peers[i].is_up = state->is_up;
	e->ctx.peers[i].incarnation = state->incarnation;
	for (i = 0; i < PART_NR; i++)
		if (part_table[i]->on_peer_state)
			part_table[i]->on_peer_state(&e->ctx, state);
}

void part_config_changed(struct part_ctx *ctx, const struct document *doc)
{
	int i;

	for (i = 0; i < PART_NR; i++)
		if (part_table[i]->on_config)
			part_table[i]->on_config(ctx, doc);
}

/* Begins the drain; a repeated SIGTERM has no effect. */
static void drain(struct entry *e)
{
	int i;

	if (e->drain_requested)
		return;
	e->drain_requested = true;
	e->ctx.is_draining = true;
	for (i = 0; i < PART_NR; i++)
		if (part_table[i]->drain)
			part_table[i]->drain(&e->ctx);
}

void entry_handle(struct entry *e, struct msg *msg, cs_time now)
{
	int part;

	update_clock(e, now);
	switch (msg->type) {
	case MSG_KV_DONE:
		route_kv(e, &msg->u.kv_done);
		break;
	case MSG_PEER:
		route_peer(e, &msg->u.peer);
		break;
	case MSG_PEER_STATE:
		route_peer_state(e, &msg->u.peer_state);
		break;
	case MSG_DRAIN:
		drain(e);
		break;
	case MSG_METRICS_CALL:
		/* 0 is BUS_CORE; the core does not depend on the bus. */
		part_emit(&e->ctx, msg_metrics_reply(msg->u.metrics_call.caller,
						     0, e->ctx.counters));
		break;
	default:
		part = part_of_msg(msg);
		if (part >= 0 && part < PART_NR && part_table[part]->on_msg)
			part_table[part]->on_msg(&e->ctx, msg);
		break;
	}
	msg_free(msg);
}

void entry_advance(struct entry *e, cs_time now)
{
	update_clock(e, now);
	timers_advance(e->ctx.timers, now);
}

cs_time entry_next_due(const struct entry *e)
{
	return timers_next_due(e->ctx.timers);
}

const char *entry_drain_blocker(const struct entry *e)
{
	struct part_ctx *ctx = (struct part_ctx *)&e->ctx;
	int i;

	for (i = 0; i < PART_NR; i++)
		if (part_table[i]->is_drained &&
		    !part_table[i]->is_drained(ctx))
			return part_table[i]->name;
	return NULL;
}

bool entry_is_draining(const struct entry *e)
{
	return e->drain_requested;
}

bool entry_is_drained(const struct entry *e)
{
	return e->drain_requested && !entry_drain_blocker(e);
}

uint64_t entry_revision(const struct entry *e)
{
	return document_revision(config_sync_document(&e->ctx));
}
