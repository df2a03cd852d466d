#include "fleet_private.h"

#include <string.h>

#include "../base/error.h"
#include "../base/log.h"
#include "../team/share.h"

/*
 * After a worker refused a task for lack of a slot, the estimate of other
 * entries' tasks is halved at this interval, so that the worker soon gets tasks
 * again.
 */
#define BUSY_DECAY_INTERVAL (10 * CS_MSEC)

/* Time until the trial of an unreachable worker. */
#define UNREACHABLE_RETRY CS_SEC

/* At most one fifth of a pool's workers may be ejected, but at least one. */
#define EJECT_DIVISOR 5

/* Long work leaves one twentieth of a pool's slots free, but at least one. */
#define RESERVE_DIVISOR 20

/* Counts one more task of this entry on the worker. */
static void count_task(struct part_ctx *ctx, struct worker_row *w,
		       struct placement *out)
{
	task_count_add(&w->own, 1, ctx->now);
	w->pool->running++;
	fleet_update_position(w);
	out->worker = w->key.worker;
	cs_copy(out->name, sizeof(out->name), w->name);
	cs_copy(out->address, sizeof(out->address), w->address);
	cs_copy(out->host, sizeof(out->host), w->host);
}

int fleet_place(struct part_ctx *ctx, const char *pool, bool is_urgent,
		const cs_handle *exclude, size_t exclude_nr,
		struct placement *out)
{
	struct fleet_pool *p = fleet_find_pool(ctx, pool);
	struct load_key *key;
	struct worker_row *w;

	if (!p || !p->slots)
		return CS_ERR_MISSING;
	if (!is_urgent && p->running >= share_quota(ctx, pool, p->slots))
		return CS_ERR_FULL;
	key = load_heap_best(&p->heap, exclude, exclude_nr);
	if (!key)
		return CS_ERR_FULL;
	w = fleet_get_worker(ctx, key->worker);
	if (!part_check_invariant(ctx, "worker-usable", w && w->is_usable) ||
	    !w)
		return CS_ERR_MISSING;
	count_task(ctx, w, out);
	return CS_OK;
}

int fleet_count_running_task(struct part_ctx *ctx, const char *worker,
			     struct placement *out)
{
	gpointer h = g_hash_table_lookup(ctx->parts.fleet->by_name, worker);
	struct worker_row *w = fleet_get_worker(ctx, fleet_handle(h));

	if (!w)
		return CS_ERR_MISSING;
	count_task(ctx, w, out);
	return CS_OK;
}

bool fleet_is_usable(const struct part_ctx *ctx, cs_handle worker)
{
	const struct worker_row *w = fleet_get_worker(ctx, worker);

	return w && w->is_usable && !w->is_removed;
}

bool fleet_has_slot_for_long_work(const struct part_ctx *ctx, const char *pool)
{
	const struct fleet_pool *p = fleet_find_pool(ctx, pool);
	int reserve = 0, quota;

	if (!p)
		return false;
	quota = share_quota(ctx, pool, p->slots);
	/*
	 * The data centre has one reserve, so only the leader keeps it.
	 * There is none with a quota of one slot, or long work would never
	 * run.
	 */
	if (quota > 1 &&
	    !strcmp(part_leader_entry(ctx, ctx->options->data_centre),
		    ctx->options->id))
		reserve = MAX(p->slots / RESERVE_DIVISOR, 1);
	return p->running + reserve < quota;
}

/*
 * Halves the estimate of other entries' tasks until it is 0, since the end of
 * their tasks is not known before the next usage report.
 */
static void on_busy_timer(void *arg, uint64_t worker, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct worker_row *w = fleet_get_worker(ctx, worker);

	ctx->now = now;
	if (!w)
		return;
	w->other_tasks /= 2;
	w->has_busy_timer = w->other_tasks > 0;
	if (w->has_busy_timer)
		timers_subscribe(ctx->timers, now + BUSY_DECAY_INTERVAL,
				 on_busy_timer, ctx, worker);
	if (!w->is_removed)
		fleet_update_position(w);
}

/*
 * The worker has no free slot, so the slots that this entry does not use are
 * taken by tasks of other entries.
 */
static void record_busy(struct part_ctx *ctx, cs_handle h, struct worker_row *w)
{
	counters_add(ctx->counters, "worker_busy_total", "", 1);
	w->other_tasks = w->slots > w->own.tasks ? w->slots - w->own.tasks : 0;
	if (w->has_busy_timer || !w->other_tasks)
		return;
	w->has_busy_timer = true;
	timers_subscribe(ctx->timers, ctx->now + BUSY_DECAY_INTERVAL,
			 on_busy_timer, ctx, h);
}

/*
 * Results decay over 20 s, so that a pool's failure rate is that of recent
 * tasks. The factor is linear in the time between calls, which is accurate
 * enough for a pool.
 */
static void decay_pool(struct fleet_pool *p, cs_time now)
{
	double factor =
		1.0 - (double)(now - p->updated) / (double)(20 * CS_SEC);

	if (factor < 0)
		factor = 0;
	p->successes *= factor;
	p->failures *= factor;
	p->updated = now;
}

/* Failure rate of the pool's other workers. */
static double peers_failure_rate(const struct fleet_pool *p,
				 const struct health *h)
{
	double failures = p->failures - h->failures;
	double all = p->successes + p->failures - h->successes - h->failures;

	if (all < 1 || failures <= 0)
		return 0;
	return failures / all;
}

/* Starts the trial of an ejected worker, which makes it available again. */
static void on_trial_timer(void *arg, uint64_t worker, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct worker_row *w = fleet_get_worker(ctx, worker);

	ctx->now = now;
	if (!w || w->health.state != HEALTH_EJECTED)
		return;
	health_end_ejection(&w->health, now);
	if (w->is_removed)
		return;
	if (w->health.state == HEALTH_EJECTED) {
		/* It was ejected again meanwhile. */
		timers_subscribe(ctx->timers, w->health.ejected_until,
				 on_trial_timer, ctx, worker);
		return;
	}
	w->pool->ejected--;
	fleet_update_position(w);
	fleet_log_worker_event(ctx, w, LOG_INFO, "worker_trial");
}

/*
 * Handles an ejection: the caller has set the state and ejected_until in the
 * worker's health.
 */
static void eject(struct part_ctx *ctx, cs_handle h, struct worker_row *w,
		  const char *event)
{
	counters_add(ctx->counters, "worker_ejections_total", "", 1);
	w->pool->ejected++;
	timers_subscribe(ctx->timers, w->health.ejected_until, on_trial_timer,
			 ctx, h);
	fleet_log_worker_event(ctx, w, LOG_WARN, event);
}

/* Limits ejections, which would otherwise make a whole pool unavailable. */
static bool can_eject_another(const struct fleet_pool *p)
{
	int limit = p->workers / EJECT_DIVISOR;

	return p->ejected < (limit ? limit : 1) && p->workers > 1;
}

/*
 * Records a result for the worker and its pool. Ejects a worker that failed its
 * trial or has a much higher failure rate than its peers.
 */
static void record_result(struct part_ctx *ctx, cs_handle h,
			  struct worker_row *w, bool is_good)
{
	enum health_state before = w->health.state;
	struct fleet_pool *p = w->pool;

	decay_pool(p, ctx->now);
	if (is_good)
		p->successes += 1;
	else
		p->failures += 1;
	w->health.is_unreachable = false;
	health_record_result(&w->health, is_good, ctx->now);
	if (before == HEALTH_TRIAL && w->health.state == HEALTH_EJECTED) {
		eject(ctx, h, w, "worker_trial_failed");
	} else if (!is_good && can_eject_another(p) &&
		   health_should_eject(&w->health,
				       peers_failure_rate(p, &w->health),
				       ctx->now) &&
		   !MUTANT(ctx, "fleet-no-ejection")) {
		health_eject(&w->health, ctx->now);
		eject(ctx, h, w, "worker_ejected");
	}
}

/*
 * A failed connection ejects the worker at once, whatever its failure rate. The
 * trial starts soon, since a restart takes seconds.
 */
static void record_unreachable(struct part_ctx *ctx, cs_handle h,
			       struct worker_row *w)
{
	bool was_ejected = w->health.state == HEALTH_EJECTED;

	w->health.state = HEALTH_EJECTED;
	w->health.is_unreachable = true;
	w->health.ejected_until = ctx->now + UNREACHABLE_RETRY;
	w->health.trial_passes = 0;
	if (!was_ejected)
		eject(ctx, h, w, "worker_unreachable");
}

void fleet_finish(struct part_ctx *ctx, cs_handle h, enum fleet_result result)
{
	struct worker_row *w = fleet_get_worker(ctx, h);

	if (!w)
		return;
	part_check_invariant(ctx, "worker-count", w->own.tasks > 0);
	task_count_add(&w->own, -1, ctx->now);
	w->pool->running--;
	/* A placement that was undone, as no permit was left, is no turn. */
	if (result != FLEET_NEUTRAL)
		w->key.last_used = ++ctx->parts.fleet->ended_tasks;
	if (w->is_removed) {
		fleet_remove_worker(ctx->parts.fleet, h, w);
		return;
	}
	switch (result) {
	case FLEET_SUCCEEDED:
		record_result(ctx, h, w, true);
		break;
	case FLEET_BUSY:
		record_busy(ctx, h, w);
		break;
	case FLEET_FAILED:
		record_result(ctx, h, w, false);
		break;
	case FLEET_UNREACHABLE:
		record_unreachable(ctx, h, w);
		break;
	case FLEET_NEUTRAL:
		break;
	}
	fleet_update_position(w);
}

void fleet_undo_failure(struct part_ctx *ctx, cs_handle h)
{
	struct worker_row *w = fleet_get_worker(ctx, h);
	bool was_ejected;

	if (!w || w->is_removed)
		return;
	was_ejected = w->health.state == HEALTH_EJECTED;
	health_undo_failure(&w->health, ctx->now);
	if (w->pool->failures > 1)
		w->pool->failures -= 1;
	if (was_ejected && w->health.state != HEALTH_EJECTED)
		w->pool->ejected--;
	fleet_update_position(w);
}
