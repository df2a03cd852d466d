#include "long_private.h"

#include <string.h>

#include "../base/error.h"
#include "../base/log.h"

/*
 * Interval at which the leader of a data centre lists the records, to find jobs
 * without an owner. 11 data centres cause about two reads a second.
 */
#define SCAN_INTERVAL (5 * CS_SEC)

/* Jobs adopted in one scan, so that a data centre that returns fills slowly. */
#define ADOPT_PER_SCAN 32

/* A job waits this long for a slot before it is released to another entry. */
#define RELEASE_AFTER (5 * CS_SEC)

/* Jobs released in one scan; see release_waiting(). */
#define RELEASE_PER_SCAN 4

/* Time for another entry to accept a running job. */
#define OFFER_TIMEOUT (2 * CS_SEC)

/* Finished jobs are deleted after this long; callers can fetch them before. */
#define FINISHED_RETENTION (3600 * CS_SEC)

/*
 * A running job writes its progress every 10 s, so the owner of a record that
 * has not changed for this long may have lost the job.
 */
#define NOTIFY_OWNER_AFTER (60 * CS_SEC)

/* True if the owner of the record has certainly ended. */
static bool is_owner_dead(const struct part_ctx *ctx,
			  const struct long_record *r)
{
	int i;

	if (!strcmp(r->owner, ctx->options->id))
		return r->incarnation != ctx->options->incarnation;
	i = part_peer_index(ctx, r->owner);
	if (i >= 0 && ctx->peers[i].is_up &&
	    ctx->peers[i].incarnation > r->incarnation)
		return true;
	return fleet_is_host_gone(ctx, r->owner);
}

/* The state of a record in the scans of this entry. */
struct scanned_record {
	cs_time unchanged_since; /* or when its owner was last notified */
	uint64_t version;
	uint64_t last_scan; /* the last scan that listed it */
};

/* Records that the scan lists a record, and since when it is unchanged. */
static struct scanned_record *track_record(struct part_ctx *ctx, const char *id,
					   uint64_t version)
{
	GHashTable *scanned = ctx->parts.long_work->scanned;
	struct scanned_record *s = g_hash_table_lookup(scanned, id);

	if (!s) {
		s = g_new0(struct scanned_record, 1);
		g_hash_table_insert(scanned, g_strdup(id), s);
	}
	s->last_scan = ctx->parts.long_work->scans;
	if (s->version != version) {
		s->version = version;
		s->unchanged_since = ctx->now;
	}
	return s;
}

/*
 * Writes this entry into the record as its owner. The body is loaded once that
 * has succeeded. placement is that of a running task, NULL if none runs.
 * Returns false if the job is here already or the table of jobs is full.
 */
static bool adopt(struct part_ctx *ctx, const struct long_record *found,
		  uint64_t version, const struct placement *placement)
{
	struct long_job *job = long_job_add(ctx, found);
	struct msg *msg;
	char key[128];

	if (!job)
		return false;
	cs_copy(job->record.owner, sizeof(job->record.owner), ctx->options->id);
	job->record.incarnation = ctx->options->incarnation;
	job->version = version;
	job->phase = PHASE_LOADING;
	if (placement) {
		job->placement = *placement;
		job->has_slot = true;
		job->started = ctx->now;
		job->share_row = share_find_or_add_row(ctx, job->record.pool,
						       job->record.team, 1);
		share_task_started(ctx, job->share_row);
	} else if (job->record.state == LONG_RUNNING) {
		if (!job->record.is_idempotent &&
		    !MUTANT(ctx, "long-rerun-non-idempotent")) {
			job->record.state = LONG_UNKNOWN;
			cs_copy(job->record.reason, sizeof(job->record.reason),
				"owner_lost");
		} else {
			job->record.state = LONG_WAITING;
		}
	}
	long_change_id(ctx, job->record.change_id);
	g_snprintf(key, sizeof(key), "jobs/%s", job->record.id);
	msg = part_kv_call(PART_LONG_WORK, KV_CAS, key,
			   long_token_make(TOKEN_ADOPT, job->self));
	msg->u.kv_call.version = version;
	msg->u.kv_call.value = long_record_encode(&job->record);
	cs_copy(msg->u.kv_call.change_id, sizeof(msg->u.kv_call.change_id),
		job->record.change_id);
	part_emit(ctx, msg);
	return true;
}

/* Tells the entry that offered a job whether it was adopted; version 0: no. */
static void answer_offer(struct part_ctx *ctx, const char *peer, const char *id,
			 uint64_t version)
{
	struct msg *msg = part_peer_msg(PEER_JOB_COPY_ACK, peer);

	cs_copy(msg->u.peer.u.job_copy.job, sizeof(msg->u.peer.u.job_copy.job),
		id);
	msg->u.peer.u.job_copy.version = version;
	part_emit(ctx, msg);
}

void long_move_on_adopted(struct part_ctx *ctx, const struct kv_done *done)
{
	struct long_work *lw = ctx->parts.long_work;
	struct long_job *job =
		slots_get(lw->jobs, long_token_handle(done->token));
	bool is_ours = done->result == KV_OK;
	struct long_record present;
	uint64_t version = done->version;

	if (!job)
		return;
	if (done->result == KV_CONFLICT && done->rows_nr &&
	    !long_record_decode(done->rows[0].value, &present, NULL)) {
		is_ours = !strcmp(present.change_id, job->record.change_id);
		version = done->rows[0].version;
	}
	if (!is_ours && done->result == KV_UNKNOWN) {
		/* A repeated write shows if the first took effect. */
		struct msg *msg = part_kv_call(PART_LONG_WORK, KV_CAS,
					       done->key, done->token);

		msg->u.kv_call.version = job->version;
		msg->u.kv_call.value = long_record_encode(&job->record);
		part_emit(ctx, msg);
		return;
	}
	if (*job->offer_peer)
		answer_offer(ctx, job->offer_peer, job->record.id,
			     is_ours ? version : 0);
	*job->offer_peer = '\0';
	if (!is_ours) {
		long_run_free_slot(ctx, job, FLEET_NEUTRAL);
		long_job_remove(ctx, job);
		return;
	}
	job->version = version;
	counters_add(ctx->counters, "long_adopted_total", "", 1);
	if (long_state_is_final(job->record.state))
		long_job_remove(ctx, job);
	else
		long_store_load_body(ctx, job);
}

/* Sends a record to another entry, which may adopt it at that version. */
static void send_record(struct part_ctx *ctx, const struct long_record *r,
			uint64_t version, const char *peer)
{
	struct msg *msg = part_peer_msg(PEER_JOB_COPY, peer);

	cs_copy(msg->u.peer.u.job_copy.job, sizeof(msg->u.peer.u.job_copy.job),
		r->id);
	msg->u.peer.u.job_copy.version = version;
	msg->u.peer.u.job_copy.record = long_record_encode(r);
	part_emit(ctx, msg);
}

/* Deletes the record of a finished job, but neither its body nor its result. */
static void delete_record(struct part_ctx *ctx, const char *id,
			  uint64_t version)
{
	struct msg *msg;
	char key[128];

	g_snprintf(key, sizeof(key), "jobs/%s", id);
	msg = part_kv_call(PART_LONG_WORK, KV_DELETE, key,
			   long_token_make(TOKEN_DELETE, 0));
	msg->u.kv_call.version = version;
	part_emit(ctx, msg);
}

/*
 * Sends a record that has not changed for long to its owner, which is up but
 * may have lost the job: the platform can apply the write of an adoption after
 * the entry has given it up. A record of this entry itself is adopted again;
 * the result is then true.
 */
static bool notify_owner(struct part_ctx *ctx, const struct long_record *r,
			 struct scanned_record *scanned)
{
	bool is_own = !strcmp(r->owner, ctx->options->id);

	if (ctx->now - scanned->unchanged_since < NOTIFY_OWNER_AFTER)
		return false;
	if (is_own)
		return !g_hash_table_contains(ctx->parts.long_work->by_id,
					      r->id) &&
		       adopt(ctx, r, scanned->version, NULL);
	scanned->unchanged_since = ctx->now;
	if (part_peer_is_up(ctx, r->owner))
		send_record(ctx, r, scanned->version, r->owner);
	return false;
}

/* Handles one record of the scan. Returns true if it was adopted. */
static bool scan_record(struct part_ctx *ctx, const struct kv_row *row)
{
	struct scanned_record *scanned;
	struct long_record r;

	if (long_record_decode(row->value, &r, NULL)) {
		counters_add(ctx->counters, "long_bad_records_total", "", 1);
		return false;
	}
	scanned = track_record(ctx, r.id, row->version);
	if (long_state_is_final(r.state)) {
		if (ctx->now - scanned->unchanged_since >= FINISHED_RETENTION)
			delete_record(ctx, r.id, row->version);
		return false;
	}
	if (!*r.owner)
		return fleet_has_slot_for_long_work(ctx, r.pool) &&
		       adopt(ctx, &r, row->version, NULL);
	if (!is_owner_dead(ctx, &r))
		return notify_owner(ctx, &r, scanned);
	if (ctx->now - scanned->unchanged_since <
		    LONG_LEASE + LONG_LEASE_MARGIN &&
	    !MUTANT(ctx, "long-adopt-early"))
		return false;
	return adopt(ctx, &r, row->version, NULL);
}

/* True for a record that the scan in arg did not list. */
static gboolean is_deleted_record(gpointer id, gpointer value, gpointer arg)
{
	const struct scanned_record *scanned = value;

	(void)id;
	return scanned->last_scan != *(const uint64_t *)arg;
}

void long_move_on_list(struct part_ctx *ctx, const struct kv_done *done)
{
	struct long_work *lw = ctx->parts.long_work;
	size_t i;
	int n = 0;

	if (done->result != KV_OK || ctx->is_draining)
		return;
	lw->scans++;
	for (i = 0; i < done->rows_nr && n < ADOPT_PER_SCAN; i++)
		n += scan_record(ctx, &done->rows[i]);
	/* After a whole scan, drop the state of deleted records. */
	if (i == done->rows_nr)
		g_hash_table_foreach_remove(lw->scanned, is_deleted_record,
					    &lw->scans);
}

/*
 * Releases waiting jobs if another data centre has spare slots, but only a few
 * at a time, since the load of the other is known with a delay of a second.
 */
static void release_waiting(struct part_ctx *ctx)
{
	struct long_work *lw = ctx->parts.long_work;
	struct long_job *job;
	cs_handle h, next;
	int n = 0;

	for (h = slots_next(lw->jobs, 0); h && n < RELEASE_PER_SCAN; h = next) {
		next = slots_next(lw->jobs, h);
		job = slots_get(lw->jobs, h);
		if (job->phase != PHASE_WAITING ||
		    ctx->now - job->waiting_since < RELEASE_AFTER ||
		    !share_spare_data_centre(ctx, job->record.pool))
			continue;
		long_move_release(ctx, job);
		n++;
	}
}

/*
 * Lists all records of long work if this entry is the leader of its data centre
 * and that is in service; one reader in each keeps the number of reads low.
 * Then releases jobs that have waited for long.
 */
static void on_scan(void *arg, uint64_t unused, cs_time now)
{
	struct part_ctx *ctx = arg;
	const char *leader = part_leader_entry(ctx, ctx->options->data_centre);

	(void)unused;
	ctx->now = now;
	if (!strcmp(leader, ctx->options->id) && config_sync_is_fresh(ctx) &&
	    !config_sync_is_data_centre_out(ctx, ctx->options->data_centre))
		part_emit(ctx, part_kv_call(PART_LONG_WORK, KV_LIST, "jobs/",
					    long_token_make(TOKEN_LIST, 0)));
	release_waiting(ctx);
	timers_subscribe(ctx->timers,
			 now + SCAN_INTERVAL +
				 g_rand_int_range(ctx->rng, 0, 500) * CS_MSEC,
			 on_scan, ctx, 0);
}

void long_move_scan_start(struct part_ctx *ctx)
{
	timers_subscribe(ctx->timers, ctx->now + SCAN_INTERVAL, on_scan, ctx,
			 0);
}

void long_move_release(struct part_ctx *ctx, struct long_job *job)
{
	long_job_unqueue(ctx, job);
	job->phase = PHASE_RELEASING;
	job->record.state = LONG_WAITING;
	job->record.owner[0] = '\0';
	long_store_record(ctx, job, AFTER_WRITE_OFFER);
}

/* The id of a random entry of the data centre that is up, or NULL. */
static const char *choose_entry(struct part_ctx *ctx, const char *data_centre)
{
	const struct entry_options *o = ctx->options;
	const char *chosen = NULL;
	int candidates = 0;
	size_t i;

	for (i = 0; data_centre && i < o->peers_nr; i++)
		if (ctx->peers[i].is_up &&
		    !strcmp(o->peers[i].data_centre, data_centre) &&
		    !g_rand_int_range(ctx->rng, 0, ++candidates))
			chosen = o->peers[i].id;
	return chosen;
}

/*
 * Sends a record that has no owner any more to another entry, which can then
 * adopt the job before its next scan.
 */
void long_move_offer_released(struct part_ctx *ctx, struct long_job *job)
{
	const char *peer = choose_entry(
		ctx, share_spare_data_centre(ctx, job->record.pool));

	if (!peer)
		peer = choose_entry(ctx, ctx->options->data_centre);
	if (peer)
		send_record(ctx, &job->record, job->version, peer);
	counters_add(ctx->counters, "long_released_total", "", 1);
	long_job_remove(ctx, job);
}

/* Moves a job by checkpoint and stop if its offer was not answered in time. */
static void on_offer_timeout(void *arg, uint64_t handle, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct long_job *job = slots_get(ctx->parts.long_work->jobs, handle);

	ctx->now = now;
	if (job && job->phase == PHASE_OFFERED)
		long_run_move(ctx, job);
}

/*
 * Offers a running job to another entry of the data centre, which then renews
 * the lease of the same task. The job is checkpointed and stopped instead if
 * there is no such entry or the data centre is taken out of service.
 */
static void hand_over_running(struct part_ctx *ctx, struct long_job *job)
{
	const char *peer = NULL;

	if (!config_sync_is_data_centre_out(ctx, ctx->options->data_centre))
		peer = choose_entry(ctx, ctx->options->data_centre);
	if (!peer) {
		long_run_move(ctx, job);
		return;
	}
	job->phase = PHASE_OFFERED;
	cs_copy(job->offer_peer, sizeof(job->offer_peer), peer);
	job->timer = timers_subscribe(ctx->timers, ctx->now + OFFER_TIMEOUT,
				      on_offer_timeout, ctx, job->self);
	send_record(ctx, &job->record, job->version, peer);
}

void long_move_hand_over(struct part_ctx *ctx)
{
	struct long_work *lw = ctx->parts.long_work;
	struct long_job *job;
	cs_handle h, next;

	for (h = slots_next(lw->jobs, 0); h; h = next) {
		next = slots_next(lw->jobs, h);
		job = slots_get(lw->jobs, h);
		if (job->phase == PHASE_RUNNING)
			hand_over_running(ctx, job);
		else if (job->phase == PHASE_WAITING)
			long_move_release(ctx, job);
	}
}

/* Acquires a permit and the slot of a task that runs in this data centre. */
static bool acquire_running(struct part_ctx *ctx, const struct long_record *r,
			    struct placement *placement)
{
	if (ledger_sync_acquire_for(ctx, r->team, LONG_LEASE / CS_MSEC))
		return false;
	if (!fleet_count_running_task(ctx, r->worker, placement))
		return true;
	ledger_sync_release(ctx, r->team);
	return false;
}

/*
 * Decides whether to adopt a job that another entry offers. For a running task
 * a permit and the slot of its worker are needed. The offer is refused at once,
 * or accepted once the record is written.
 */
static void on_offer(struct part_ctx *ctx, const struct peer_msg *peer)
{
	struct placement placement;
	bool is_running, will_adopt;
	struct long_record r;
	struct long_job *job;

	if (long_record_decode(peer->u.job_copy.record, &r, NULL) ||
	    strcmp(r.id, peer->u.job_copy.job)) {
		counters_add(ctx->counters, "long_bad_records_total", "", 1);
		return;
	}
	if (g_hash_table_contains(ctx->parts.long_work->by_id, r.id))
		return; /* this entry has the job already */
	/* If this entry owns the record but not the job, no task runs. */
	is_running = *r.owner && strcmp(r.owner, ctx->options->id);
	will_adopt =
		!ctx->is_draining && config_sync_is_fresh(ctx) &&
		!config_sync_is_data_centre_out(ctx, ctx->options->data_centre);
	if (will_adopt && is_running)
		will_adopt = acquire_running(ctx, &r, &placement);
	if (will_adopt && !adopt(ctx, &r, peer->u.job_copy.version,
				 is_running ? &placement : NULL)) {
		will_adopt = false;
		if (is_running) {
			fleet_finish(ctx, placement.worker, FLEET_NEUTRAL);
			ledger_sync_release(ctx, r.team);
		}
	}
	if (!will_adopt) {
		answer_offer(ctx, peer->peer, r.id, 0);
		return;
	}
	job = g_hash_table_lookup(ctx->parts.long_work->by_id, r.id);
	cs_copy(job->offer_peer, sizeof(job->offer_peer), peer->peer);
}

/*
 * Handles the answer to an offer. Version 0 refuses the job, which is then
 * moved by checkpoint and stop. Any other version means that the peer has
 * written itself into the record as the owner.
 */
static void on_offer_answer(struct part_ctx *ctx, const struct peer_msg *peer)
{
	struct long_job *job = g_hash_table_lookup(ctx->parts.long_work->by_id,
						   peer->u.job_copy.job);

	if (!job || job->phase != PHASE_OFFERED ||
	    strcmp(job->offer_peer, peer->peer))
		return;
	timers_cancel(ctx->timers, job->timer);
	if (!peer->u.job_copy.version) {
		long_run_move(ctx, job);
		return;
	}
	counters_add(ctx->counters, "long_handed_over_total", "", 1);
	long_run_free_slot(ctx, job, FLEET_NEUTRAL);
	long_job_remove(ctx, job);
}

void long_move_on_peer(struct part_ctx *ctx, const struct peer_msg *peer)
{
	if (peer->kind == PEER_JOB_COPY)
		on_offer(ctx, peer);
	else
		on_offer_answer(ctx, peer);
}
