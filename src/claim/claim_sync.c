#include "claim_sync.h"

#include <inttypes.h>
#include <string.h>

#include "../base/error.h"
#include "../base/log.h"
#include "../base/slots.h"
#include "claim_codec.h"
#include "claim_detector.h"
#include "claim_table.h"

#define MAP_KEY "claims/map"

/* A verdict is given within this time, because its caller waits for it. */
#define VERDICT_TIMEOUT (500 * CS_MSEC)

/*
 * The owner waits this long for its replica, so that its verdict arrives within
 * VERDICT_TIMEOUT.
 */
#define REPLICA_TIMEOUT (400 * CS_MSEC)

/*
 * Delay before a call is repeated that was refused because the maps differ. The
 * newer map arrives within a few ms.
 */
#define RETRY_DELAY (20 * CS_MSEC)

/* Minimum time between writes: membership changes come in groups. */
#define WRITE_INTERVAL (250 * CS_MSEC)
#define WRITE_JITTER_MS 100

/*
 * Membership and windows are checked at this interval. That alone makes no
 * platform call.
 */
#define TICK CS_SEC

/* Delay between reads while the platform does not answer. */
#define READ_RETRY CS_SEC

/* A watch returns after this long without a change. */
#define WATCH_WAIT_MS 30000

/*
 * Claims kept at once, as owner and as replica: 1,700 a second over the window
 * of 10 min. A row takes 48 bytes, besides its slots in two tables.
 */
#define CLAIMS_MAX (1u << 20)

/* Outstanding calls to owners and replicas. */
#define CALLS_MAX (1u << 16)

/* Unacknowledged claims sent to a new replica, per partition. */
#define SYNC_WINDOW 64

enum call_kind {
	CALL_OWNER, /* asks the owner for a claim */
	CALL_REPLICA, /* as owner: asks the replica to record a new claim */
	CALL_SYNC /* as owner: sends an older claim to a new replica */
};

/* A call to another entry. Its handle is the ref of the peer message. */
struct claim_call {
	enum call_kind kind;
	bool is_remote;
	char peer[CS_NAME_MAX]; /* that gets the verdict, if remote */
	uint64_t ref; /* of the subscriber or peer; CALL_SYNC: the round */
	uint8_t digest[16];
	uint32_t partition;
	char holder[CS_NAME_MAX];
	struct claim_member target;
	cs_handle timer, retry;
};

/* Sends the claims of a partition to a new replica. */
struct replica_sync {
	struct claim_member replica; /* none: not in progress */
	GArray *rows; /* struct sync_row */
	guint sent, acked;
	uint64_t round; /* acknowledgements of earlier rounds are ignored */
};

struct sync_row {
	uint8_t digest[16];
	const char *holder;
};

struct claim_sync {
	claim_verdict_fn on_verdict;
	struct claim_detector *detector;
	struct claim_map map;
	uint64_t version;
	bool is_known; /* map is valid */
	bool is_stale; /* the map must be read again after a clock jump */
	/* 0 if the partition is complete or has another owner */
	cs_time incomplete_since[CLAIM_PARTITIONS];
	struct replica_sync syncs[CLAIM_PARTITIONS];
	struct claim_table *table;
	struct slots *calls;
	uint64_t last_token;
	struct claim_map candidate; /* being written */
	uint64_t token; /* of the read or write in flight */
	uint64_t reread_token; /* of the read that ends is_stale */
	bool must_read;
	cs_time next_read, next_write;
	uint64_t watch_token, watch_revision;
	cs_time next_watch;
	bool is_platform_down;
	cs_handle timer;
	cs_time timer_due;
};

static void on_timer(void *arg, uint64_t unused, cs_time now);
static void on_deadline(void *arg, uint64_t handle, cs_time now);
static void on_retry(void *arg, uint64_t handle, cs_time now);
static void handle_sync_ack(struct part_ctx *ctx, const struct claim_call *call,
			    enum claim_verdict verdict);

static struct claim_member self_member(const struct part_ctx *ctx)
{
	struct claim_member m = { .incarnation = ctx->options->incarnation };

	cs_copy(m.entry, sizeof(m.entry), ctx->options->id);
	return m;
}

/* Runs the plan at due, or earlier if an earlier time is set already. */
static void schedule_plan(struct part_ctx *ctx, cs_time due)
{
	struct claim_sync *cs = ctx->parts.claim;

	if (cs->timer && cs->timer_due <= due)
		return;
	if (cs->timer)
		timers_cancel(ctx->timers, cs->timer);
	cs->timer = timers_subscribe(ctx->timers, due, on_timer, ctx, 0);
	cs->timer_due = due;
}

/* Makes the plan read the map as soon as possible. */
static void request_read(struct part_ctx *ctx)
{
	ctx->parts.claim->must_read = true;
	schedule_plan(ctx, ctx->now);
}

static bool is_owner(const struct part_ctx *ctx, uint32_t partition)
{
	const struct claim_sync *cs = ctx->parts.claim;
	struct claim_member self = self_member(ctx);

	return cs->is_known && !cs->is_stale &&
	       claim_member_equal(&cs->map.partitions[partition].owner, &self);
}

/*
 * Allocates a call and starts its deadline, after which the verdict is
 * "unknown". Returns 0 if there are too many calls.
 */
static cs_handle alloc_call(struct part_ctx *ctx, enum call_kind kind,
			    struct claim_call **row)
{
	struct claim_sync *cs = ctx->parts.claim;
	cs_handle h = slots_alloc(cs->calls, (void **)row);

	if (!h)
		return 0;
	(*row)->kind = kind;
	(*row)->timer = timers_subscribe(ctx->timers,
					 ctx->now + (kind == CALL_OWNER ?
							     VERDICT_TIMEOUT :
							     REPLICA_TIMEOUT),
					 on_deadline, ctx, h);
	return h;
}

static void free_call(struct part_ctx *ctx, cs_handle h)
{
	struct claim_sync *cs = ctx->parts.claim;
	struct claim_call *call = slots_get(cs->calls, h);

	timers_cancel(ctx->timers, call->timer);
	timers_cancel(ctx->timers, call->retry);
	slots_free(cs->calls, h);
}

/* Sends a verdict to a peer in a message of that kind; ref is the peer's. */
static void send_verdict(struct part_ctx *ctx, enum peer_kind kind,
			 const char *peer, uint64_t ref,
			 enum claim_verdict verdict, const char *holder)
{
	struct msg *msg = part_peer_msg(kind, peer);

	msg->u.peer.ref = ref;
	msg->u.peer.u.claim_reply.map_version = ctx->parts.claim->version;
	msg->u.peer.u.claim_reply.verdict = verdict;
	cs_copy(msg->u.peer.u.claim_reply.holder, CS_NAME_MAX, holder);
	part_emit(ctx, msg);
}

/* Delivers a verdict to a peer, or to the subscriber if peer is NULL. */
static void deliver_verdict(struct part_ctx *ctx, const char *peer,
			    uint64_t ref, enum claim_verdict verdict,
			    const char *holder)
{
	struct claim_sync *cs = ctx->parts.claim;

	if (peer)
		send_verdict(ctx, PEER_CLAIM_REPLY, peer, ref, verdict, holder);
	else if (cs->on_verdict)
		cs->on_verdict(ctx, ref, verdict, holder);
}

/* Ends a call with its verdict. */
static void finish_call(struct part_ctx *ctx, cs_handle h,
			enum claim_verdict verdict, const char *holder)
{
	struct claim_call call =
		*(struct claim_call *)slots_get(ctx->parts.claim->calls, h);

	free_call(ctx, h);
	if (call.kind == CALL_SYNC)
		handle_sync_ack(ctx, &call, verdict);
	else
		deliver_verdict(ctx, call.is_remote ? call.peer : NULL,
				call.ref, verdict, holder);
}

static void on_deadline(void *arg, uint64_t handle, cs_time now)
{
	struct part_ctx *ctx = arg;

	(void)now;
	finish_call(ctx, handle, CLAIM_UNKNOWN, "");
}

/*
 * Sends the claim of call h to its target. The reply carries the handle back
 * as its ref.
 */
static void send_claim(struct part_ctx *ctx, enum peer_kind kind, cs_handle h)
{
	const struct claim_call *call = slots_get(ctx->parts.claim->calls, h);
	struct msg *msg = part_peer_msg(kind, call->target.entry);

	msg->u.peer.ref = h;
	msg->u.peer.u.claim.map_version = ctx->parts.claim->version;
	msg->u.peer.u.claim.partition = call->partition;
	memcpy(msg->u.peer.u.claim.digest, call->digest, sizeof(call->digest));
	cs_copy(msg->u.peer.u.claim.holder, CS_NAME_MAX, call->holder);
	part_emit(ctx, msg);
}

/*
 * True for one window after this entry became owner without all earlier
 * claims: it can't tell a first submission from a repeated one.
 */
static bool is_incomplete(const struct part_ctx *ctx, uint32_t partition)
{
	cs_time since = ctx->parts.claim->incomplete_since[partition];

	return since && ctx->now - since < CLAIM_WINDOW;
}

/*
 * Decides a claim as owner of its partition. If there is a replica, it must
 * acknowledge a new claim before that is granted.
 */
static void decide_claim(struct part_ctx *ctx, const char *peer, uint64_t ref,
			 const uint8_t digest[16], const char *holder)
{
	struct claim_sync *cs = ctx->parts.claim;
	uint32_t partition = claim_partition_of(digest);
	const struct claim_partition *p = &cs->map.partitions[partition];
	bool is_alone = claim_member_is_none(&p->replica);
	const char *claimed_by = claim_table_find(cs->table, digest, ctx->now);
	struct claim_call *call;
	cs_handle h = 0;

	if (claimed_by) {
		deliver_verdict(ctx, peer, ref, CLAIM_DUPLICATE, claimed_by);
		return;
	}
	if (is_incomplete(ctx, partition)) {
		deliver_verdict(ctx, peer, ref, CLAIM_UNKNOWN, "");
		return;
	}
	if (!is_alone && !claim_detector_is_live(cs->detector, &p->replica)) {
		deliver_verdict(ctx, peer, ref, CLAIM_STALE, "");
		return;
	}
	if (!is_alone)
		h = alloc_call(ctx, CALL_REPLICA, &call);
	if ((!is_alone && !h) ||
	    claim_table_add(cs->table, digest, holder, ctx->now)) {
		if (h)
			free_call(ctx, h);
		counters_add(ctx->counters, "claim_table_full_total", "", 1);
		deliver_verdict(ctx, peer, ref, CLAIM_UNKNOWN, "");
		return;
	}
	if (is_alone) {
		deliver_verdict(ctx, peer, ref, CLAIM_GRANTED, "");
		return;
	}
	call->is_remote = peer;
	cs_copy(call->peer, sizeof(call->peer), peer);
	cs_copy(call->holder, sizeof(call->holder), holder);
	call->ref = ref;
	call->partition = partition;
	call->target = p->replica;
	memcpy(call->digest, digest, sizeof(call->digest));
	send_claim(ctx, PEER_CLAIM_COPY, h);
	if (MUTANT(ctx, "claim-no-copy-ack"))
		finish_call(ctx, h, CLAIM_GRANTED, "");
}

void claim_sync_subscribe(struct part_ctx *ctx, claim_verdict_fn fn)
{
	ctx->parts.claim->on_verdict = fn;
}

/* Requests a claim from the owner of its partition, maybe this entry. */
static void request_claim(struct part_ctx *ctx, uint64_t ref,
			  const uint8_t digest[16])
{
	struct claim_sync *cs = ctx->parts.claim;
	uint32_t partition = claim_partition_of(digest);
	const struct claim_partition *p = &cs->map.partitions[partition];
	struct claim_call *call;
	cs_handle h;

	if (is_owner(ctx, partition)) {
		decide_claim(ctx, NULL, ref, digest, ctx->options->id);
		return;
	}
	if (!cs->is_known || cs->is_stale ||
	    !claim_detector_is_live(cs->detector, &p->owner) ||
	    !(h = alloc_call(ctx, CALL_OWNER, &call))) {
		deliver_verdict(ctx, NULL, ref, CLAIM_STALE, "");
		return;
	}
	call->ref = ref;
	call->partition = partition;
	call->target = p->owner;
	memcpy(call->digest, digest, sizeof(call->digest));
	cs_copy(call->holder, sizeof(call->holder), ctx->options->id);
	send_claim(ctx, PEER_CLAIM, h);
}

void claim_sync_request(struct part_ctx *ctx, uint64_t ref,
			const char *request_id)
{
	uint8_t digest[16];

	claim_digest(request_id, digest);
	request_claim(ctx, ref, digest);
}

static void send_release(struct part_ctx *ctx, const char *to,
			 const uint8_t digest[16], const char *holder)
{
	struct msg *msg = part_peer_msg(PEER_CLAIM_RELEASE, to);

	msg->u.peer.u.claim.map_version = ctx->parts.claim->version;
	msg->u.peer.u.claim.partition = claim_partition_of(digest);
	memcpy(msg->u.peer.u.claim.digest, digest, 16);
	cs_copy(msg->u.peer.u.claim.holder, CS_NAME_MAX, holder);
	part_emit(ctx, msg);
}

/* As owner: removes the claim here and at the replica. */
static void release_claim(struct part_ctx *ctx, const uint8_t digest[16],
			  const char *holder)
{
	struct claim_sync *cs = ctx->parts.claim;
	const struct claim_partition *p =
		&cs->map.partitions[claim_partition_of(digest)];

	if (claim_table_remove(cs->table, digest, holder) &&
	    !claim_member_is_none(&p->replica))
		send_release(ctx, p->replica.entry, digest, holder);
}

void claim_sync_release(struct part_ctx *ctx, const char *request_id)
{
	struct claim_sync *cs = ctx->parts.claim;
	uint8_t digest[16];
	uint32_t partition;

	claim_digest(request_id, digest);
	partition = claim_partition_of(digest);
	if (is_owner(ctx, partition))
		release_claim(ctx, digest, ctx->options->id);
	else if (cs->is_known)
		send_release(ctx, cs->map.partitions[partition].owner.entry,
			     digest, ctx->options->id);
}

/*
 * The claim of call h waited for a replica that refused and did not record it,
 * and the map now names another replica or owner. Removes the claim here and
 * requests it again according to the map.
 */
static void restart_claim(struct part_ctx *ctx, cs_handle h)
{
	struct claim_sync *cs = ctx->parts.claim;
	struct claim_call old = *(struct claim_call *)slots_get(cs->calls, h);

	free_call(ctx, h);
	claim_table_remove(cs->table, old.digest, old.holder);
	if (old.is_remote)
		deliver_verdict(ctx, old.peer, old.ref, CLAIM_STALE, "");
	else
		request_claim(ctx, old.ref, old.digest);
}

/* Repeats a call after a refusal that recorded nothing, by the current map. */
static void on_retry(void *arg, uint64_t handle, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct claim_sync *cs = ctx->parts.claim;
	struct claim_call *call = slots_get(cs->calls, handle);
	const struct claim_partition *p = &cs->map.partitions[call->partition];
	struct claim_call old = *call;

	(void)now;
	call->retry = 0;
	if (call->kind == CALL_REPLICA) {
		if (is_owner(ctx, call->partition) &&
		    claim_member_equal(&p->replica, &call->target))
			send_claim(ctx, PEER_CLAIM_COPY, handle);
		else
			restart_claim(ctx, handle);
		return;
	}
	if (is_owner(ctx, call->partition)) {
		free_call(ctx, handle);
		decide_claim(ctx, NULL, old.ref, old.digest, old.holder);
		return;
	}
	call->target = p->owner;
	if (claim_detector_is_live(cs->detector, &p->owner))
		send_claim(ctx, PEER_CLAIM, handle);
	else
		call->retry = timers_subscribe(ctx->timers,
					       ctx->now + RETRY_DELAY, on_retry,
					       ctx, handle);
}

/* The call that a reply answers, or NULL if it has ended. */
static struct claim_call *find_call(struct part_ctx *ctx,
				    const struct peer_msg *peer, bool by_owner)
{
	struct claim_call *call = slots_get(ctx->parts.claim->calls, peer->ref);

	if (!call || by_owner != (call->kind == CALL_OWNER) ||
	    strcmp(call->target.entry, peer->peer) ||
	    call->target.incarnation != peer->incarnation)
		return NULL;
	return call;
}

/* Repeats a call after RETRY_DELAY; it was refused because the maps differ. */
static void retry_later(struct part_ctx *ctx, struct claim_call *call,
			cs_handle h, uint64_t peer_version)
{
	if (peer_version > ctx->parts.claim->version)
		request_read(ctx);
	if (!call->retry)
		call->retry = timers_subscribe(
			ctx->timers, ctx->now + RETRY_DELAY, on_retry, ctx, h);
}

/*
 * Handles the owner's verdict on a claim of this entry. CLAIM_STALE means that
 * the maps differ, so the call is repeated later.
 */
static void handle_verdict(struct part_ctx *ctx, const struct peer_msg *peer)
{
	struct claim_call *call = find_call(ctx, peer, true);

	if (!call)
		return;
	if (peer->u.claim_reply.verdict == CLAIM_STALE)
		retry_later(ctx, call, peer->ref,
			    peer->u.claim_reply.map_version);
	else
		finish_call(ctx, peer->ref, peer->u.claim_reply.verdict,
			    peer->u.claim_reply.holder);
}

/*
 * Handles the replica's answer, either to a claim that this entry decides as
 * owner or to an older claim sent to a new replica.
 */
static void handle_copy_ack(struct part_ctx *ctx, const struct peer_msg *peer)
{
	const struct claim_sync *cs = ctx->parts.claim;
	enum claim_verdict verdict = peer->u.claim_reply.verdict;
	struct claim_call *call = find_call(ctx, peer, false);
	const struct claim_partition *p;

	if (!call)
		return;
	p = &cs->map.partitions[call->partition];
	if (call->kind == CALL_SYNC) {
		finish_call(ctx, peer->ref, verdict, "");
		return;
	}
	if (verdict == CLAIM_STALE) {
		retry_later(ctx, call, peer->ref,
			    peer->u.claim_reply.map_version);
		return;
	}
	/*
	 * The replica may have acknowledged to an owner that was replaced
	 * since. If the replica itself took over, it has the claim and refuses
	 * repeats.
	 */
	if (verdict == CLAIM_GRANTED &&
	    !claim_member_equal(&p->owner, &call->target) &&
	    (!is_owner(ctx, call->partition) ||
	     !claim_member_equal(&p->replica, &call->target)))
		verdict = CLAIM_UNKNOWN;
	finish_call(ctx, peer->ref, verdict, peer->u.claim_reply.holder);
}

/* Handles a claim that another entry requests from this one as owner. */
static void handle_claim(struct part_ctx *ctx, const struct peer_msg *peer)
{
	uint32_t partition = claim_partition_of(peer->u.claim.digest);

	if (peer->u.claim.map_version > ctx->parts.claim->version)
		request_read(ctx);
	if (!is_owner(ctx, partition))
		deliver_verdict(ctx, peer->peer, peer->ref, CLAIM_STALE, "");
	else
		decide_claim(ctx, peer->peer, peer->ref, peer->u.claim.digest,
			     peer->u.claim.holder);
}

/* True if the map names the sender as owner and this entry as replica. */
static bool is_replica_for(const struct part_ctx *ctx,
			   const struct peer_msg *peer, uint32_t partition)
{
	const struct claim_sync *cs = ctx->parts.claim;
	const struct claim_partition *p = &cs->map.partitions[partition];
	struct claim_member self = self_member(ctx);

	if (MUTANT(ctx, "claim-no-fence"))
		return true;
	return cs->is_known && !cs->is_stale &&
	       claim_member_equal(&p->replica, &self) &&
	       !strcmp(p->owner.entry, peer->peer) &&
	       p->owner.incarnation == peer->incarnation;
}

/*
 * Handles a claim that the owner asks this entry to record as replica. A sender
 * that the map does not name is refused, which fences an owner that was
 * replaced while it was paused.
 */
static void handle_copy(struct part_ctx *ctx, const struct peer_msg *peer)
{
	struct claim_sync *cs = ctx->parts.claim;
	const uint8_t *digest = peer->u.claim.digest;
	enum claim_verdict verdict = CLAIM_STALE;
	const char *claimed_by = "";

	if (peer->u.claim.map_version > cs->version)
		request_read(ctx);
	if (is_replica_for(ctx, peer, claim_partition_of(digest))) {
		claimed_by = claim_table_find(cs->table, digest, ctx->now);
		if (claimed_by)
			verdict = strcmp(claimed_by, peer->u.claim.holder) ?
					  CLAIM_DUPLICATE :
					  CLAIM_GRANTED;
		else
			verdict = claim_table_add(cs->table, digest,
						  peer->u.claim.holder,
						  ctx->now) ?
					  CLAIM_UNKNOWN :
					  CLAIM_GRANTED;
	}
	send_verdict(ctx, PEER_CLAIM_COPY_ACK, peer->peer, peer->ref, verdict,
		     claimed_by ? claimed_by : "");
}

/*
 * Handles a release, sent by the holder to the owner or by the owner to its
 * replica. Messages of one sender arrive in order, so a release never removes a
 * claim that was made after it.
 */
static void handle_release(struct part_ctx *ctx, const struct peer_msg *peer)
{
	const uint8_t *digest = peer->u.claim.digest;
	uint32_t partition = claim_partition_of(digest);

	if (is_owner(ctx, partition)) {
		if (!strcmp(peer->u.claim.holder, peer->peer))
			release_claim(ctx, digest, peer->peer);
	} else if (is_replica_for(ctx, peer, partition)) {
		claim_table_remove(ctx->parts.claim->table, digest,
				   peer->u.claim.holder);
	}
}

/* The kinds that the core routes to this part; see peer_parts in entry.c. */
static void on_peer(struct part_ctx *ctx, struct peer_msg *peer)
{
	switch (peer->kind) {
	case PEER_CLAIM:
		handle_claim(ctx, peer);
		break;
	case PEER_CLAIM_REPLY:
		handle_verdict(ctx, peer);
		break;
	case PEER_CLAIM_COPY:
		handle_copy(ctx, peer);
		break;
	case PEER_CLAIM_COPY_ACK:
		handle_copy_ack(ctx, peer);
		break;
	case PEER_CLAIM_RELEASE:
		handle_release(ctx, peer);
		break;
	default:
		break;
	}
}

/*
 * Ends a synchronization. The next round has another number, so that late
 * acknowledgements don't count.
 */
static void reset_sync(struct replica_sync *s)
{
	memset(&s->replica, 0, sizeof(s->replica));
	g_array_set_size(s->rows, 0);
	s->sent = s->acked = 0;
	s->round++;
}

static bool is_sync_done(const struct replica_sync *s)
{
	return !claim_member_is_none(&s->replica) && s->acked == s->rows->len;
}

/* Sends older claims to a new replica, up to SYNC_WINDOW at a time. */
static void send_sync_rows(struct part_ctx *ctx, uint32_t partition)
{
	struct replica_sync *s = &ctx->parts.claim->syncs[partition];

	while (s->sent < s->rows->len && s->sent - s->acked < SYNC_WINDOW) {
		const struct sync_row *row =
			&g_array_index(s->rows, struct sync_row, s->sent);
		struct claim_call *call;
		cs_handle h = alloc_call(ctx, CALL_SYNC, &call);

		if (!h)
			return;
		call->partition = partition;
		call->target = s->replica;
		call->ref = s->round;
		memcpy(call->digest, row->digest, sizeof(call->digest));
		cs_copy(call->holder, sizeof(call->holder), row->holder);
		s->sent++;
		send_claim(ctx, PEER_CLAIM_COPY, h);
	}
}

/*
 * Counts a row that the new replica has; CLAIM_DUPLICATE means that it had it
 * before. Any other verdict ends the round.
 */
static void handle_sync_ack(struct part_ctx *ctx, const struct claim_call *call,
			    enum claim_verdict verdict)
{
	struct replica_sync *s = &ctx->parts.claim->syncs[call->partition];

	if (call->ref != s->round)
		return;
	if (verdict != CLAIM_GRANTED && verdict != CLAIM_DUPLICATE) {
		/* Starts again at the next tick. */
		reset_sync(s);
		return;
	}
	s->acked++;
	send_sync_rows(ctx, call->partition);
	if (is_sync_done(s))
		schedule_plan(ctx, ctx->now);
}

/*
 * Starts to send the claims of a partition to its new replica. Later claims
 * need the replica's acknowledgement, so the list is complete.
 */
static void start_sync(struct part_ctx *ctx, uint32_t partition)
{
	struct claim_sync *cs = ctx->parts.claim;
	struct replica_sync *s = &cs->syncs[partition];
	struct sync_row row;
	cs_handle h = 0;

	s->replica = cs->map.partitions[partition].replica;
	while ((h = claim_table_next(cs->table, partition, h, row.digest,
				     &row.holder)))
		g_array_append_val(s->rows, row);
	send_sync_rows(ctx, partition);
}

/*
 * Applies the map to one partition: starts or ends its incomplete time and the
 * synchronization of its replica.
 */
static void update_partition(struct part_ctx *ctx, uint32_t partition)
{
	struct claim_sync *cs = ctx->parts.claim;
	const struct claim_partition *p = &cs->map.partitions[partition];
	struct replica_sync *s = &cs->syncs[partition];
	bool owns = is_owner(ctx, partition);

	if (!owns || !p->is_incomplete)
		cs->incomplete_since[partition] = 0;
	else if (!cs->incomplete_since[partition])
		cs->incomplete_since[partition] = ctx->now;
	if (!owns || p->is_synced ||
	    !claim_member_equal(&s->replica, &p->replica))
		reset_sync(s);
	if (owns && !p->is_synced && claim_member_is_none(&s->replica) &&
	    claim_detector_is_live(cs->detector, &p->replica))
		start_sync(ctx, partition);
}

static void update_partitions(struct part_ctx *ctx)
{
	uint32_t i;

	for (i = 0; i < CLAIM_PARTITIONS; i++)
		update_partition(ctx, i);
}

/* Replaces the map by a row read from the platform if that is newer. */
static void apply_map(struct part_ctx *ctx, uint64_t version, GBytes *value)
{
	struct claim_sync *cs = ctx->parts.claim;
	struct cs_error err = { 0 };
	GString *pairs;

	if (version <= cs->version)
		return;
	cs->version = version;
	cs->is_known = !claim_map_decode(value, &cs->map, &err);
	if (!cs->is_known) {
		pairs = g_string_new(NULL);
		log_pair(pairs, "event", "bad_document");
		log_pair(pairs, "message", err.message);
		part_event(ctx, LOG_ERROR, err.step, err.peer, NULL, pairs);
	}
	update_partitions(ctx);
}

static void read_map(struct part_ctx *ctx)
{
	struct claim_sync *cs = ctx->parts.claim;

	cs->token = cs->reread_token = ++cs->last_token;
	cs->must_read = false;
	part_emit(ctx, part_kv_call(PART_CLAIM, KV_GET, MAP_KEY, cs->token));
}

/*
 * Writes a changed map by compare-and-swap. It takes effect here once the
 * write is confirmed or the map is read.
 */
static void write_map(struct part_ctx *ctx, struct claim_map *map)
{
	struct claim_sync *cs = ctx->parts.claim;
	struct msg *msg;

	cs->token = ++cs->last_token;
	g_snprintf(map->change_id, sizeof(map->change_id),
		   "%.16s-%" PRIx64 "-%" PRIx64, ctx->options->id,
		   ctx->options->incarnation, cs->token);
	msg = part_kv_call(PART_CLAIM, KV_CAS, MAP_KEY, cs->token);
	msg->u.kv_call.version = cs->version;
	msg->u.kv_call.value = claim_map_encode(map);
	cs->candidate = *map;
	cs_copy(msg->u.kv_call.change_id, sizeof(msg->u.kv_call.change_id),
		map->change_id);
	cs->next_write =
		ctx->now + WRITE_INTERVAL +
		g_rand_int_range(ctx->rng, 0, WRITE_JITTER_MS) * CS_MSEC;
	counters_add(ctx->counters, "claim_map_writes_total", "", 1);
	part_emit(ctx, msg);
}

/* Makes all changes that this entry may make; returns their number. */
static size_t update_map(struct part_ctx *ctx, struct claim_map *map)
{
	struct claim_sync *cs = ctx->parts.claim;
	struct claim_member self = self_member(ctx);
	const struct claim_membership *m =
		claim_detector_membership(cs->detector);
	size_t changed = 0;
	uint32_t i;

	if (!cs->version) {
		claim_map_init(map, &self);
		return 1;
	}
	for (i = 0; i < CLAIM_PARTITIONS; i++) {
		if (!map->partitions[i].is_synced &&
		    is_sync_done(&cs->syncs[i]))
			changed += !claim_map_set_synced(map, i, &self,
							 &cs->syncs[i].replica);
		if (cs->incomplete_since[i] && !is_incomplete(ctx, i))
			changed += !claim_map_set_complete(map, i, &self);
	}
	if (ctx->is_draining)
		return changed + claim_map_hand_over(map, &self, m);
	return changed +
	       claim_map_assign(map, &self, m, MUTANT(ctx, "claim-forget"));
}

/*
 * Keeps one watch open on the map. A list comes first, because a watch needs a
 * start revision.
 */
static void ensure_watch(struct part_ctx *ctx)
{
	struct claim_sync *cs = ctx->parts.claim;
	struct msg *msg;

	if (cs->watch_token || cs->next_watch > ctx->now)
		return;
	cs->watch_token = ++cs->last_token;
	msg = part_kv_call(PART_CLAIM, cs->watch_revision ? KV_WATCH : KV_LIST,
			   MAP_KEY, cs->watch_token);
	msg->u.kv_call.version = cs->watch_revision;
	msg->u.kv_call.wait_ms = WATCH_WAIT_MS;
	part_emit(ctx, msg);
}

/* Reads, changes and writes the map as far as due, and sets the timer. */
static void run_plan(struct part_ctx *ctx)
{
	struct claim_sync *cs = ctx->parts.claim;
	struct claim_map map = cs->map;
	cs_time next = ctx->now + TICK;

	ensure_watch(ctx);
	claim_table_expire(cs->table, ctx->now);
	if (!cs->token && cs->must_read) {
		if (cs->next_read <= ctx->now)
			read_map(ctx);
		else
			next = MIN(next, cs->next_read);
	} else if (!cs->token && !cs->is_stale &&
		   (cs->is_known || !cs->version)) {
		update_partitions(ctx);
		if (update_map(ctx, &map)) {
			if (cs->next_write <= ctx->now)
				write_map(ctx, &map);
			else
				next = MIN(next, cs->next_write);
		}
	}
	schedule_plan(ctx, next);
}

static void on_timer(void *arg, uint64_t unused, cs_time now)
{
	struct part_ctx *ctx = arg;

	(void)unused;
	(void)now;
	ctx->parts.claim->timer = 0;
	run_plan(ctx);
}

/* Handles the answer to the list or watch; after a failure it lists again. */
static void handle_watch_reply(struct part_ctx *ctx, const struct kv_done *done)
{
	struct claim_sync *cs = ctx->parts.claim;
	size_t i;

	cs->watch_token = 0;
	if (done->result != KV_OK) {
		cs->watch_revision = 0;
		cs->next_watch = ctx->now + READ_RETRY;
		return;
	}
	for (i = 0; i < done->rows_nr; i++)
		if (!strcmp(done->rows[i].key, MAP_KEY))
			apply_map(ctx, done->rows[i].version,
				  done->rows[i].value);
	cs->watch_revision = done->revision;
	ensure_watch(ctx);
}

/*
 * Handles the answer to a read. Only a read that began after a clock jump
 * clears is_stale.
 */
static void handle_read_reply(struct part_ctx *ctx, const struct kv_done *done)
{
	struct claim_sync *cs = ctx->parts.claim;
	bool is_fresh = done->token == cs->reread_token && !cs->must_read;

	if (done->result == KV_OK && done->rows_nr)
		apply_map(ctx, done->rows[0].version, done->rows[0].value);
	else if (done->result != KV_MISSING || cs->version)
		goto read_failed;
	if (cs->is_stale && is_fresh) {
		cs->is_stale = false;
		update_partitions(ctx);
	}
	return;
read_failed:
	cs->must_read = true;
	cs->next_read = ctx->now + READ_RETRY;
}

/*
 * Handles the outcome of write_map(). A conflict delivers the newer map; no
 * change is lost, because the next plan makes it again.
 */
static void handle_write_reply(struct part_ctx *ctx, const struct kv_done *done)
{
	struct claim_sync *cs = ctx->parts.claim;

	switch (done->result) {
	case KV_CONFLICT:
		if (done->rows_nr)
			apply_map(ctx, done->rows[0].version,
				  done->rows[0].value);
		break;
	case KV_OK:
		if (done->version <= cs->version)
			break;
		cs->version = done->version;
		cs->map = cs->candidate;
		cs->is_known = true;
		update_partitions(ctx);
		break;
	case KV_UNKNOWN:
		/* The map must be read to see whether it was changed. */
		cs->must_read = true;
		break;
	default:
		break;
	}
}

/*
 * Apart from the watch, only one platform call is in flight at a time. A late
 * answer to an earlier one is ignored.
 */
static void on_kv(struct part_ctx *ctx, const struct kv_done *done)
{
	struct claim_sync *cs = ctx->parts.claim;

	if (!done->token)
		return;
	if (done->token == cs->watch_token) {
		handle_watch_reply(ctx, done);
	} else if (done->token == cs->token) {
		cs->token = 0;
		if (done->op == KV_CAS)
			handle_write_reply(ctx, done);
		else
			handle_read_reply(ctx, done);
	} else {
		return;
	}
	cs->is_platform_down = done->result == KV_UNKNOWN ||
			       done->result == KV_UNAVAILABLE;
	schedule_plan(ctx, ctx->now + CS_MSEC);
}

static void on_peer_state(struct part_ctx *ctx, const struct peer_state *state)
{
	struct claim_sync *cs = ctx->parts.claim;

	claim_detector_on_peer_state(cs->detector, state);
	update_partitions(ctx);
}

/*
 * While the process was paused the map may have changed: nothing is granted or
 * acknowledged before a read that begins now. Claims that wait for the replica
 * get "unknown", because a new owner may have granted them.
 */
static void on_jump(struct part_ctx *ctx)
{
	struct claim_sync *cs = ctx->parts.claim;
	cs_handle h = 0;

	cs->is_stale = true;
	cs->reread_token = 0;
	claim_detector_reset(cs->detector);
	while ((h = slots_next(cs->calls, h))) {
		const struct claim_call *call = slots_get(cs->calls, h);

		if (call->kind == CALL_REPLICA)
			finish_call(ctx, h, CLAIM_UNKNOWN, "");
	}
	request_read(ctx);
}

static void drain(struct part_ctx *ctx)
{
	schedule_plan(ctx, ctx->now);
}

/*
 * Drained when no call is outstanding and all partitions with a synchronized
 * live replica were handed over to it. Without the platform, or before the map
 * is read again, no map can be written, so draining does not wait for that.
 */
static bool is_drained(struct part_ctx *ctx)
{
	const struct claim_sync *cs = ctx->parts.claim;
	uint32_t i;

	if (slots_count(cs->calls))
		return false;
	if (cs->is_platform_down || cs->is_stale)
		return true;
	for (i = 0; i < CLAIM_PARTITIONS; i++) {
		const struct claim_partition *p = &cs->map.partitions[i];

		if (is_owner(ctx, i) && p->is_synced &&
		    claim_detector_is_live(cs->detector, &p->replica))
			return false;
	}
	return true;
}

static void start(struct part_ctx *ctx)
{
	ctx->parts.claim->must_read = true;
	run_plan(ctx);
}

/* Outstanding calls end without a verdict. */
static void destroy(struct part_ctx *ctx)
{
	struct claim_sync *cs = ctx->parts.claim;
	size_t i;

	if (!cs)
		return;
	for (i = 0; i < CLAIM_PARTITIONS; i++)
		g_array_unref(cs->syncs[i].rows);
	claim_detector_destroy(cs->detector);
	claim_table_destroy(cs->table);
	slots_destroy(cs->calls);
	g_free(cs);
	ctx->parts.claim = NULL;
}

/* Frees everything if it fails. */
static int create(struct part_ctx *ctx, struct cs_error *err)
{
	struct claim_sync *cs = g_new0(struct claim_sync, 1);
	size_t i;

	ctx->parts.claim = cs;
	for (i = 0; i < CLAIM_PARTITIONS; i++)
		cs->syncs[i].rows =
			g_array_new(FALSE, TRUE, sizeof(struct sync_row));
	cs->detector = claim_detector_create(ctx);
	cs->table = claim_table_create(CLAIMS_MAX);
	cs->calls = slots_create(sizeof(struct claim_call), CALLS_MAX);
	if (cs->table && cs->calls)
		return CS_OK;
	destroy(ctx);
	return cs_error_set(err, CS_ERR_NOMEM, "claim_create", NULL,
			    "out of memory");
}

const struct part_ops claim_sync_part = {
	.name = "claim",
	.create = create,
	.destroy = destroy,
	.start = start,
	.on_kv = on_kv,
	.on_peer = on_peer,
	.on_peer_state = on_peer_state,
	.on_jump = on_jump,
	.drain = drain,
	.is_drained = is_drained,
};
