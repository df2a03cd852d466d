#include "long_private.h"

#include <inttypes.h>
#include <string.h>

#include "../base/error.h"
#include "../base/log.h"

/* A job that failed on this many hosts is itself taken as faulty. */
#define FAILED_HOSTS_MAX 3

/* The same after this many failures, for pools with fewer hosts. */
#define FAILURES_MAX 6

/* Pause before a failed job runs again. */
#define FAILURE_BACKOFF CS_SEC

/* Shortest interval between writes of progress: 100 jobs cause 10 a second. */
#define PROGRESS_INTERVAL (10 * CS_SEC)

static void renew_later(struct part_ctx *ctx, struct long_job *job);

static void set_phase_timer(struct part_ctx *ctx, struct long_job *job,
			    cs_time wait, timer_fn fn)
{
	timers_cancel(ctx->timers, job->timer);
	job->timer = timers_subscribe(ctx->timers, ctx->now + wait, fn, ctx,
				      job->self);
}

/*
 * The job of a timer, or NULL if it was removed. Also sets the part's time to
 * now.
 */
static struct long_job *timer_job(struct part_ctx *ctx, uint64_t handle,
				  cs_time now)
{
	ctx->now = now;
	return slots_get(ctx->parts.long_work->jobs, handle);
}

/* The lease is used by TASK_RENEW only. */
static void send_control(struct part_ctx *ctx, const struct long_job *job,
			 enum task_op op)
{
	struct msg *msg = msg_new(MSG_TASK_CONTROL);
	struct task_control *c = &msg->u.task_control;

	c->part = PART_LONG_WORK;
	c->attempt = job->self;
	c->op = op;
	c->lease_ms = LONG_LEASE / CS_MSEC;
	cs_copy(c->address, sizeof(c->address), job->record.address);
	cs_copy(c->task_id, sizeof(c->task_id), job->record.task_id);
	part_emit(ctx, msg);
}

void long_run_free_slot(struct part_ctx *ctx, struct long_job *job,
			enum fleet_result result)
{
	timers_cancel(ctx->timers, job->renew_timer);
	job->renew_timer = 0;
	if (!job->has_slot)
		return;
	job->has_slot = false;
	fleet_finish(ctx, job->placement.worker, result);
	ledger_sync_release(ctx, job->record.team);
	share_task_ended(ctx, job->share_row, ctx->now - job->started);
	dispatch_process_pool(ctx, job->record.pool);
}

/* Ends the job in a final state and writes its record. */
static void end_job(struct part_ctx *ctx, struct long_job *job,
		    enum long_state state, const char *reason)
{
	char labels[64];

	g_snprintf(labels, sizeof(labels), "state=\"%s\"",
		   long_state_name(state));
	counters_add(ctx->counters, "long_ended_total", labels, 1);
	job->record.state = state;
	cs_copy(job->record.reason, sizeof(job->record.reason), reason);
	job->phase = PHASE_STORING;
	long_store_record(ctx, job, AFTER_WRITE_REMOVE);
}

/*
 * Handles an attempt that ended before the work was done. An idempotent job
 * continues from its checkpoint. Any other does so only if is_restart_safe:
 * nothing ran, or the task was stopped after it wrote the checkpoint.
 */
static void continue_or_end(struct part_ctx *ctx, struct long_job *job,
			    bool is_restart_safe)
{
	if (job->record.is_cancelled) {
		end_job(ctx, job, LONG_CANCELLED, "cancelled");
		return;
	}
	if (!is_restart_safe && !job->record.is_idempotent &&
	    !MUTANT(ctx, "long-rerun-non-idempotent")) {
		end_job(ctx, job, LONG_UNKNOWN, "attempt_lost");
		return;
	}
	job->record.state = LONG_WAITING;
	long_job_wait(ctx, job);
}

/*
 * True if the conditions for a start, which were checked before the attempt was
 * recorded, still hold. The write may have taken long, or the process may have
 * been paused meanwhile.
 */
static bool is_start_valid(struct part_ctx *ctx, const struct long_job *job)
{
	return ctx->now - job->started <= PART_CLOCK_GAP_MAX &&
	       fleet_is_usable(ctx, job->placement.worker) &&
	       config_sync_is_fresh(ctx) && fleet_is_fresh(ctx) &&
	       !config_sync_is_data_centre_out(ctx,
					       ctx->options->data_centre) &&
	       !job->record.is_cancelled;
}

void long_run_start(struct part_ctx *ctx, struct long_job *job)
{
	struct msg *msg;
	struct task_start *s;

	if (!is_start_valid(ctx, job) && !MUTANT(ctx, "long-start-stale")) {
		long_run_free_slot(ctx, job, FLEET_NEUTRAL);
		continue_or_end(ctx, job, true);
		return;
	}
	msg = msg_new(MSG_TASK_START);
	s = &msg->u.task_start;
	job->phase = PHASE_STARTING;
	job->last_renewed = ctx->now;
	s->part = PART_LONG_WORK;
	s->attempt = job->self;
	s->work = WORK_LONG;
	s->lease_ms = LONG_LEASE / CS_MSEC;
	s->needs_live_connection = true;
	s->decided = ctx->now;
	s->deadline = ctx->now + LONG_RENEW_INTERVAL;
	s->trace = job->trace;
	s->body = g_bytes_ref(job->body);
	cs_copy(s->worker, sizeof(s->worker), job->placement.name);
	cs_copy(s->address, sizeof(s->address), job->placement.address);
	cs_copy(s->task_id, sizeof(s->task_id), job->record.task_id);
	if (!MUTANT(ctx, "long-from-start"))
		cs_copy(s->checkpoint, sizeof(s->checkpoint),
			job->record.checkpoint);
	cs_copy(s->content_type, sizeof(s->content_type),
		job->record.content_type);
	part_emit(ctx, msg);
}

void long_run_resume(struct part_ctx *ctx, struct long_job *job)
{
	job->phase = PHASE_RUNNING;
	job->last_renewed = ctx->now;
	send_control(ctx, job, TASK_RENEW);
	renew_later(ctx, job);
}

/* Releases the slot of a lost attempt, whose lease is over by now. */
static void on_lost_attempt_ended(void *arg, uint64_t handle, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct long_job *job = timer_job(ctx, handle, now);

	if (!job || job->phase != PHASE_ATTEMPT_LOST)
		return;
	long_run_free_slot(ctx, job, FLEET_FAILED);
	if (job->is_record_lost)
		long_job_remove(ctx, job);
	else
		continue_or_end(ctx, job, false);
}

/*
 * Stops an attempt of unknown state and waits until its lease is certainly
 * over.
 */
static void mark_attempt_lost(struct part_ctx *ctx, struct long_job *job)
{
	cs_time end = job->last_renewed + LONG_LEASE + LONG_LEASE_MARGIN;

	job->phase = PHASE_ATTEMPT_LOST;
	timers_cancel(ctx->timers, job->renew_timer);
	job->renew_timer = 0;
	send_control(ctx, job, TASK_STOP);
	set_phase_timer(ctx, job, end > ctx->now ? end - ctx->now : 0,
			on_lost_attempt_ended);
}

/*
 * Renews the lease on the worker, or marks the attempt as lost if no renewal
 * succeeded for the length of a lease. Leases of offered jobs are renewed too,
 * so that their task still runs when a peer takes it over.
 */
static void on_renew_timer(void *arg, uint64_t handle, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct long_job *job = timer_job(ctx, handle, now);

	if (!job)
		return;
	job->renew_timer = 0;
	if (job->phase != PHASE_RUNNING && job->phase != PHASE_OFFERED)
		return;
	if (now - job->last_renewed > LONG_LEASE) {
		mark_attempt_lost(ctx, job);
		return;
	}
	send_control(ctx, job, TASK_RENEW);
	renew_later(ctx, job);
}

static void renew_later(struct part_ctx *ctx, struct long_job *job)
{
	if (!job->renew_timer)
		job->renew_timer = timers_subscribe(
			ctx->timers, ctx->now + LONG_RENEW_INTERVAL,
			on_renew_timer, ctx, job->self);
}

/*
 * Retries after a failed attempt. It shares PHASE_ATTEMPT_LOST with lost ones,
 * but its end is known, so it does not wait for a lease.
 */
static void on_failure_backoff_end(void *arg, uint64_t handle, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct long_job *job = timer_job(ctx, handle, now);

	if (job && job->phase == PHASE_ATTEMPT_LOST)
		continue_or_end(ctx, job, true);
}

/*
 * Records the host and worker of a failed attempt. Returns false if the job
 * failed on that host before.
 */
static bool record_failed_host(struct long_job *job)
{
	int i;

	for (i = 0; i < FAILED_HOSTS_MAX; i++) {
		if (!strcmp(job->failed_hosts[i], job->placement.host))
			return false;
		if (*job->failed_hosts[i])
			continue;
		cs_copy(job->failed_hosts[i], sizeof(job->failed_hosts[i]),
			job->placement.host);
		job->failed_workers[i] = job->placement.worker;
		return true;
	}
	return true;
}

/* Handles a task that the worker reports as failed. */
static void attempt_failed(struct part_ctx *ctx, struct long_job *job)
{
	int i;

	job->record.failures++;
	record_failed_host(job);
	long_run_free_slot(ctx, job, FLEET_FAILED);
	/*
	 * Several hosts are unlikely to be all at fault, so the job is, and
	 * its failures don't count against the workers.
	 */
	for (i = 0;
	     *job->failed_hosts[FAILED_HOSTS_MAX - 1] && i < FAILED_HOSTS_MAX;
	     i++)
		fleet_undo_failure(ctx, job->failed_workers[i]);
	if (*job->failed_hosts[FAILED_HOSTS_MAX - 1] ||
	    job->record.failures >= FAILURES_MAX ||
	    !job->record.is_idempotent) {
		end_job(ctx, job, LONG_HELD, "failed_on_workers");
		return;
	}
	job->phase = PHASE_ATTEMPT_LOST;
	set_phase_timer(ctx, job, FAILURE_BACKOFF, on_failure_backoff_end);
}

void long_run_task_done(struct part_ctx *ctx, const struct task_done *done)
{
	struct long_job *job =
		slots_get(ctx->parts.long_work->jobs, done->attempt);

	if (!job || job->phase != PHASE_STARTING)
		return;
	switch (done->result) {
	case TASK_ANSWERED:
		if (done->status >= 300) {
			attempt_failed(ctx, job);
			break;
		}
		job->phase = PHASE_RUNNING;
		renew_later(ctx, job);
		if (job->record.is_cancelled)
			long_run_cancel(ctx, job);
		else if (config_sync_is_data_centre_out(
				 ctx, ctx->options->data_centre))
			long_run_move(ctx, job);
		break;
	case TASK_REFUSED:
	case TASK_NOT_SENT:
		long_run_free_slot(ctx, job,
				   done->result == TASK_REFUSED ?
					   FLEET_BUSY :
					   FLEET_UNREACHABLE);
		continue_or_end(ctx, job, true);
		break;
	case TASK_UNKNOWN:
		mark_attempt_lost(ctx, job);
		break;
	}
}

/*
 * Records progress and checkpoint. A new checkpoint is written to the platform
 * at most every PROGRESS_INTERVAL; progress alone causes no write.
 */
static void record_progress(struct part_ctx *ctx, struct long_job *job,
			    const struct task_control_done *done)
{
	bool is_new = *done->checkpoint &&
		      strcmp(done->checkpoint, job->record.checkpoint);

	if (is_new)
		cs_copy(job->record.checkpoint, sizeof(job->record.checkpoint),
			done->checkpoint);
	job->record.progress = done->progress;
	if (is_new && !job->is_writing && job->phase == PHASE_RUNNING &&
	    ctx->now - job->last_written >= PROGRESS_INTERVAL)
		long_store_record(ctx, job, AFTER_WRITE_NOTHING);
}

/*
 * Handles the task state that a renewal reports. An idempotent job whose task
 * was stopped or is missing continues from its last checkpoint.
 */
static void on_renewed(struct part_ctx *ctx, struct long_job *job,
		       const struct task_control_done *done)
{
	if (job->phase != PHASE_RUNNING && job->phase != PHASE_OFFERED)
		return;
	if (done->code)
		return; /* the timer detects the end of the lease */
	switch (done->state) {
	case TASK_STATE_RUNNING:
		job->last_renewed = ctx->now;
		record_progress(ctx, job, done);
		break;
	case TASK_STATE_DONE:
		job->phase = PHASE_FETCHING;
		send_control(ctx, job, TASK_RESULT);
		break;
	case TASK_STATE_FAILED:
		attempt_failed(ctx, job);
		break;
	case TASK_STATE_STOPPED:
	case TASK_STATE_MISSING:
		record_progress(ctx, job, done);
		long_run_free_slot(ctx, job, FLEET_NEUTRAL);
		continue_or_end(ctx, job, false);
		break;
	}
}

static void on_fetch_retry(void *arg, uint64_t handle, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct long_job *job = timer_job(ctx, handle, now);

	if (job && job->phase == PHASE_FETCHING)
		send_control(ctx, job, TASK_RESULT);
}

/*
 * Stores the result of a finished task and frees its slot. A failed fetch is
 * repeated every second for the length of five leases.
 */
static void on_result(struct part_ctx *ctx, struct long_job *job,
		      struct task_control_done *done)
{
	if (job->phase != PHASE_FETCHING)
		return;
	if (done->code) {
		/*
		 * A finished task needs no lease; its result is lost only with
		 * its worker.
		 */
		if (ctx->now - job->last_renewed > LONG_LEASE * 5)
			mark_attempt_lost(ctx, job);
		else
			set_phase_timer(ctx, job, CS_SEC, on_fetch_retry);
		return;
	}
	if (done->state == TASK_STATE_MISSING || !done->body) {
		mark_attempt_lost(ctx, job);
		return;
	}
	job->result = done->body;
	done->body = NULL;
	job->record.status = 200;
	cs_copy(job->record.result_type, sizeof(job->record.result_type),
		done->content_type);
	long_run_free_slot(ctx, job, FLEET_SUCCEEDED);
	counters_add(ctx->counters, "long_ended_total", "state=\"done\"", 1);
	job->phase = PHASE_STORING;
	long_store_result(ctx, job);
}

/*
 * Handles a task that finished or failed before it could be stopped. Returns
 * false for any other state.
 */
static bool handle_finished_task(struct part_ctx *ctx, struct long_job *job,
				 const struct task_control_done *done)
{
	if (done->code)
		return false;
	if (done->state == TASK_STATE_DONE) {
		timers_cancel(ctx->timers, job->timer);
		job->last_renewed = ctx->now;
		job->phase = PHASE_FETCHING;
		send_control(ctx, job, TASK_RESULT);
		return true;
	}
	if (done->state == TASK_STATE_FAILED) {
		timers_cancel(ctx->timers, job->timer);
		attempt_failed(ctx, job);
		return true;
	}
	return false;
}

/* Stops the task, whether or not the worker could write the checkpoint. */
static void on_checkpoint(struct part_ctx *ctx, struct long_job *job,
			  const struct task_control_done *done)
{
	if (job->phase != PHASE_CHECKPOINTING ||
	    handle_finished_task(ctx, job, done))
		return;
	/* A task whose lease has ended can't write a checkpoint any more. */
	job->is_checkpointed = !done->code && done->state == TASK_STATE_RUNNING;
	if (!done->code)
		record_progress(ctx, job, done);
	job->phase = PHASE_STOPPING;
	send_control(ctx, job, TASK_STOP);
}

/*
 * Handles the answer to a stop, which is sent to lost tasks and to tasks that
 * are to be moved or cancelled.
 */
static void on_stopped(struct part_ctx *ctx, struct long_job *job,
		       const struct task_control_done *done)
{
	if ((job->phase == PHASE_ATTEMPT_LOST ||
	     job->phase == PHASE_STOPPING) &&
	    job->has_slot && !job->is_record_lost &&
	    handle_finished_task(ctx, job, done))
		return;
	if (job->phase == PHASE_ATTEMPT_LOST && !done->code &&
	    done->state == TASK_STATE_STOPPED) {
		timers_cancel(ctx->timers, job->timer);
		on_lost_attempt_ended(ctx, job->self, ctx->now);
		return;
	}
	if (job->phase != PHASE_STOPPING)
		return;
	if (done->code || done->state == TASK_STATE_RUNNING) {
		mark_attempt_lost(ctx, job);
		return;
	}
	long_run_free_slot(ctx, job, FLEET_NEUTRAL);
	/*
	 * Without the requested checkpoint, the last known one may be older
	 * than the work that the task has done.
	 */
	if (job->record.is_cancelled || !job->is_checkpointed)
		continue_or_end(ctx, job, job->is_checkpointed);
	else
		long_move_release(ctx, job);
}

void long_run_control_done(struct part_ctx *ctx, struct task_control_done *done)
{
	struct long_job *job =
		slots_get(ctx->parts.long_work->jobs, done->attempt);

	if (!job)
		return;
	switch (done->op) {
	case TASK_RENEW:
		on_renewed(ctx, job, done);
		break;
	case TASK_RESULT:
		on_result(ctx, job, done);
		break;
	case TASK_CHECKPOINT:
		on_checkpoint(ctx, job, done);
		break;
	case TASK_STOP:
		on_stopped(ctx, job, done);
		break;
	case TASK_THROTTLE:
		break;
	}
}

void long_run_move(struct part_ctx *ctx, struct long_job *job)
{
	if (job->phase != PHASE_RUNNING && job->phase != PHASE_OFFERED)
		return;
	timers_cancel(ctx->timers, job->renew_timer);
	job->renew_timer = 0;
	job->phase = PHASE_CHECKPOINTING;
	job->is_checkpointed = false;
	send_control(ctx, job, TASK_CHECKPOINT);
}

void long_run_cancel(struct part_ctx *ctx, struct long_job *job)
{
	job->record.is_cancelled = true;
	switch (job->phase) {
	case PHASE_WAITING:
	case PHASE_LOADING:
		long_job_unqueue(ctx, job);
		end_job(ctx, job, LONG_CANCELLED, "cancelled");
		break;
	case PHASE_RUNNING:
	case PHASE_OFFERED:
		job->phase = PHASE_STOPPING;
		send_control(ctx, job, TASK_STOP);
		break;
	case PHASE_RECORDING_START:
		/* Nothing was started if the write has failed. */
		if (!job->is_writing) {
			long_run_free_slot(ctx, job, FLEET_NEUTRAL);
			end_job(ctx, job, LONG_CANCELLED, "cancelled");
		}
		break;
	default:
		/* The step in progress checks is_cancelled when it ends. */
		break;
	}
}

void long_run_record_lost(struct part_ctx *ctx, struct long_job *job,
			  const struct long_record *present)
{
	bool is_same_task = !strcmp(present->task_id, job->record.task_id);

	counters_add(ctx->counters, "long_lost_records_total", "", 1);
	/*
	 * If the new owner runs the same task, it holds the permit for it. A
	 * different task keeps the permit here until it has certainly ended.
	 */
	if (job->has_slot && !is_same_task) {
		job->is_record_lost = true;
		mark_attempt_lost(ctx, job);
		return;
	}
	long_run_free_slot(ctx, job, FLEET_NEUTRAL);
	long_job_remove(ctx, job);
}
