#include "../sched_private.h"

#include <string.h>

#include "../../base/error.h"
#include "../../base/log.h"

/* Retry delay of a task, multiplied by the number of its failures. */
#define FAILURE_PAUSE_US (100 * CS_MSEC)
/* Interval at which an unanswered stop is sent again. */
#define STOP_RETRY_US (500 * CS_MSEC)
/*
 * Time without starts on a server that refused one, even if the counted room
 * is sufficient.
 */
#define NO_ROOM_PAUSE_US (150 * CS_MSEC)
#define OVERLOADED_PAUSE_US (1 * CS_SEC)
/* Interval at which runs that take far longer than predicted are looked for. */
#define TAILS_INTERVAL_US (1 * CS_SEC)

struct run *run_row(const struct sched *s, cs_handle h)
{
	return slots_get(s->runs, h);
}

static struct job *job_of(const struct sched *s, const struct run *r)
{
	return slots_get(s->jobs, r->job);
}

static const struct batch_step *step_of(const struct job *j, int step)
{
	return &j->batch->spec->steps[step];
}

/* Adds need to the usage of the job's workspace, or subtracts it (sign -1). */
static void charge_usage(struct sched *s, const struct job *j,
			 struct site_resources need, int sign)
{
	struct site_resources *used;

	if (!*j->batch->workspace)
		return;
	used = g_hash_table_lookup(s->usage, j->batch->workspace);
	if (!used) {
		used = g_new0(struct site_resources, 1);
		g_hash_table_insert(s->usage, g_strdup(j->batch->workspace),
				    used);
	}
	*used = sign > 0 ? site_resources_add(*used, need) :
			   site_resources_sub(*used, need);
}

/* Counts a run in the shares of its workspace, or takes it out (sign -1). */
static void charge_share(struct sched *s, const struct job *j,
			 const struct run *r, int sign)
{
	if (s->fair_shares)
		fair_shares_charge(s->fair_shares, r->share_pool, j->share_row,
				   r->need, sign);
}

/* Counts the starts that have no reply yet. */
static void set_state(struct sched *s, struct run *r, enum run_state state)
{
	s->unanswered_starts +=
		(state == RUN_STARTING) - (r->state == RUN_STARTING);
	r->state = state;
}

static const struct batch_task *task_of(const struct task_ref *ref)
{
	return batch_find_task(ref->job->batch, ref->occurrence, ref->step,
			       ref->index);
}

static struct batch_task *task_row(const struct task_ref *ref)
{
	return batch_task_row(ref->job->batch, ref->occurrence, ref->step,
			      ref->index);
}

/* The task of that name; its job is NULL if it has none that is known here. */
static struct task_ref find_task(const struct sched *s, const char *name)
{
	struct task_ref ref = { 0 };
	char id[BATCH_ID_MAX];
	struct job *j = NULL;

	if (!batch_task_name_parse(name, id, &ref.occurrence, &ref.step,
				   &ref.index))
		j = g_hash_table_lookup(s->job_by_id, id);
	if (j && ref.occurrence < j->batch->occurrences_nr &&
	    ref.step < j->batch->spec->steps_nr &&
	    ref.index < j->batch->spec->steps[ref.step].count)
		ref.job = j;
	return ref;
}

/* Creates a row and reserves its room. The task does not name the run yet. */
static struct run *new_row(struct sched *s, const struct task_ref *ref,
			   struct server *v, uint32_t number, cs_time now)
{
	struct job *j = ref->job;
	const struct batch_step *st = step_of(j, ref->step);
	struct run *r;
	cs_handle h = slots_alloc(s->runs, (void **)&r);

	if (!h)
		return NULL;
	r->self = h;
	r->state = RUN_ACTIVE;
	r->job = j->self;
	r->server = v->self;
	r->occurrence = ref->occurrence;
	r->step = ref->step;
	r->index = ref->index;
	r->number = number;
	r->sent_at = now;
	r->pace = 100;
	r->expected_ms = st->expected_ms;
	r->need = place_need(st);
	servers_add_run(v, r, st);
	charge_usage(s, j, st->need, 1);
	r->share_pool = v->pool->share_row;
	charge_share(s, j, r, 1);
	j->rows++;
	return r;
}

/* Creates the row of a run that is the present one of its task. */
static struct run *new_run(struct sched *s, const struct task_ref *ref,
			   struct server *v, uint32_t number, cs_time now)
{
	struct run *r = new_row(s, ref, v, number, now);
	struct batch_task *t;

	if (!r)
		return NULL;
	t = task_row(ref);
	t->run_row = r->self;
	batch_task_started(ref->job->batch, t, number);
	sched_mark_changed(s, ref->job, now);
	return r;
}

/* Creates a run and orders its start. Returns NULL if the table is full. */
struct run *runs_start(struct sched *s, const struct task_ref *ref,
		       struct server *v, uint32_t number, const char *ticket,
		       cs_time now)
{
	bool is_first = ref->job->batch->state == BATCH_QUEUED;
	struct run *r = new_run(s, ref, v, number, now);
	struct order *o;

	if (!r)
		return NULL;
	if (is_first)
		counters_observe(s->counters, "camphorshed_job_wait_seconds",
				 "", now - ref->job->submitted);
	set_state(s, r, RUN_STARTING);
	r->was_started_in_term = true;
	o = servers_new_order(v, ORDER_START);
	o->timeout_ms = START_TIMEOUT_MS;
	o->ref = r->self;
	o->run = number;
	o->payload = g_strdup(ref->job->batch->spec->payload);
	o->checkpoint = g_strdup(task_of(ref)->checkpoint);
	r->has_checkpoint = o->checkpoint != NULL;
	o->ticket = g_strdup(ticket);
	o->deadline_ms = servers_deadline(v, now);
	batch_task_name(ref->job->batch, ref->occurrence, ref->step, ref->index,
			o->task);
	s->ops->send(s->ctx, o);
	health_on_start(s, v, now);
	counters_add(s->counters, "camphorshed_task_starts_total", "", 1);
	servers_schedule_hold(s, v, now);
	return r;
}

/* Creates the row of a run that a predecessor started. */
struct run *runs_adopt(struct sched *s, const struct task_ref *ref,
		       struct server *v, uint32_t number, cs_time now)
{
	struct run *r = new_run(s, ref, v, number, now);
	GString *pairs;

	if (!r)
		return NULL;
	r->start_confirmed_at = now;
	pacing_on_adopt(v, r);
	pairs = g_string_new(NULL);
	log_pair(pairs, "job", ref->job->batch->id);
	log_pair_int(pairs, "step", ref->step);
	log_pair_int(pairs, "index", ref->index);
	log_pair_int(pairs, "run", number);
	log_pair(pairs, "server", v->info.id);
	sched_log(s, "task_adopted", pairs);
	return r;
}

/* Sends a stop, but not within STOP_RETRY_US after the last one. */
static void order_stop(struct sched *s, struct run *r, const char *why,
		       cs_time now)
{
	struct server *v = server_row(s, r->server);
	struct job *j = job_of(s, r);
	struct order *o;
	GString *pairs;

	if (r->stop_at && now - r->stop_at < STOP_RETRY_US)
		return;
	if (!r->stop_at) {
		pairs = g_string_new(NULL);
		log_pair(pairs, "job", j->batch->id);
		log_pair_int(pairs, "step", r->step);
		log_pair_int(pairs, "index", r->index);
		log_pair_int(pairs, "run", r->number);
		log_pair(pairs, "server", v->info.id);
		log_pair(pairs, "why", why);
		log_pair_int(pairs, "percent", r->percent);
		sched_log(s, "task_stop", pairs);
		counters_add(s->counters, "camphorshed_task_stops_total", "",
			     1);
	}
	if (r->state != RUN_UNCONFIRMED && r->state != RUN_STARTING)
		set_state(s, r, RUN_STOPPING);
	r->stop_at = now;
	o = servers_new_order(v, ORDER_STOP);
	o->ref = r->self;
	o->run = r->number;
	batch_task_name(j->batch, r->occurrence, r->step, r->index, o->task);
	s->ops->send(s->ctx, o);
}

void runs_stop(struct sched *s, struct run *r, const char *why, cs_time now)
{
	r->is_stop_for_start = false;
	order_stop(s, r, why, now);
}

void runs_repeat_stop(struct sched *s, struct run *r, cs_time now)
{
	order_stop(s, r, "stop not answered", now);
}

/*
 * Has the server reject a start that got no reply and is missing from its list,
 * or stop the run if it begins meanwhile.
 */
static void rule_out_start(struct sched *s, struct run *r, cs_time now)
{
	r->is_stop_for_start = true;
	order_stop(s, r, "start not answered", now);
}

void runs_order_stop(struct sched *s, struct server *v, const char *task,
		     uint32_t number)
{
	struct order *o = servers_new_order(v, ORDER_STOP);

	o->run = number;
	cs_copy(o->task, sizeof(o->task), task);
	s->ops->send(s->ctx, o);
}

/* Stops a listed run that has no row and whose task does not need it. */
static void stop_stray(struct sched *s, struct server *v,
		       const struct task_ref *ref,
		       const struct order_run *reported, cs_time sent,
		       cs_time now)
{
	struct run *r = NULL;
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "task", reported->task);
	log_pair_int(pairs, "run", reported->run);
	log_pair(pairs, "server", v->info.id);
	sched_log(s, "stray_run_stopped", pairs);
	counters_add(s->counters, "camphorshed_stray_runs_total", "", 1);
	/* It counts against limits until it has stopped. */
	if (ref->job)
		r = new_row(s, ref, v, reported->run, now);
	if (!r) {
		runs_order_stop(s, v, reported->task, reported->run);
		return;
	}
	r->start_confirmed_at = now;
	r->listed_at = sent;
	runs_stop(s, r, "stray", now);
}

void runs_stop_all(struct sched *s, struct job *j, const char *why, cs_time now)
{
	const struct batch *b = j->batch;
	int end = batch_occurrences_end(b), occurrence, i;
	const struct batch_task *t;

	for (occurrence = b->first_occurrence; occurrence < end; occurrence++)
		for (i = -1; (t = batch_next_row(b, occurrence, &i));) {
			struct run *r = run_row(s, t->run_row);

			if (r)
				runs_stop(s, r, why, now);
		}
}

/* Releases the room of a run and frees its row. */
static void free_run(struct sched *s, struct run *r)
{
	struct server *v = server_row(s, r->server);
	struct job *j = job_of(s, r);
	struct batch_task *t =
		batch_task_row(j->batch, r->occurrence, r->step, r->index);

	if (t && t->run_row == r->self)
		t->run_row = 0;
	charge_usage(s, j, step_of(j, r->step)->need, -1);
	charge_share(s, j, r, -1);
	servers_remove_run(v, r, step_of(j, r->step));
	j->rows--;
	set_state(s, r, RUN_ACTIVE);
	slots_free(s->runs, r->self);
}

/* Frees the runs of a gang that is done; its members need no stop orders. */
static void free_gang_runs(struct sched *s, struct job *j, int occurrence,
			   int step)
{
	int i;

	for (i = 0; i < step_of(j, step)->count; i++) {
		const struct batch_task *t =
			batch_find_task(j->batch, occurrence, step, i);
		struct run *r = t ? run_row(s, t->run_row) : NULL;

		if (r)
			free_run(s, r);
	}
}

/*
 * Adds the run time and what it may depend on: the queue, workspace, size and
 * hint, whether the run was resumed or adopted, and the rack.
 */
static void log_run_time(GString *pairs, const struct job *j,
			 const struct run *r, const struct server *v,
			 cs_time now)
{
	const struct batch_step *st = step_of(j, r->step);

	log_pair_int(pairs, "ran_ms", (now - r->sent_at) / CS_MSEC);
	log_pair_int(pairs, "hint_ms", st->estimate_ms);
	log_pair_int(pairs, "expected_ms", r->expected_ms);
	log_pair(pairs, "queue", j->batch->queue);
	log_pair(pairs, "workspace", j->batch->workspace);
	log_pair_int(pairs, "cpu", st->need.cpu);
	log_pair_int(pairs, "is_resumed", r->has_checkpoint);
	log_pair_int(pairs, "is_adopted", !r->was_started_in_term);
	log_pair_int(pairs, "is_remote",
		     st->rack && strcmp(st->rack, v->info.rack));
}

/* r is NULL if the run has no row. */
static void log_end(struct sched *s, const struct task_ref *ref,
		    uint32_t number, enum batch_end how, const struct run *r,
		    const struct server *v, cs_time now)
{
	GString *pairs;

	/* Failures explain why a job failed, and are rare. */
	if (how == BATCH_END_DONE && !s->ops->admits_frequent_log(s->ctx))
		return;
	pairs = g_string_new(NULL);
	log_pair(pairs, "job", ref->job->batch->id);
	log_pair_int(pairs, "round", ref->occurrence);
	log_pair_int(pairs, "step", ref->step);
	log_pair_int(pairs, "index", ref->index);
	log_pair_int(pairs, "run", number);
	log_pair(pairs, "how", batch_end_name(how));
	log_pair(pairs, "server", v->info.id);
	if (r)
		log_run_time(pairs, ref->job, r, v, now);
	sched_log(s, "task_end", pairs);
}

/* Logs the final state of a job, and stops the runs of a failed one. */
static void end_job(struct sched *s, struct job *j, cs_time now)
{
	GString *pairs = g_string_new(NULL);
	char labels[32];

	log_pair(pairs, "job", j->batch->id);
	log_pair(pairs, "state", batch_state_name(j->batch->state));
	log_pair_int(pairs, "age_ms", (now - j->submitted) / CS_MSEC);
	log_pair_int(pairs, "slack_ms", (j->objective_at - now) / CS_MSEC);
	sched_log(s, "job_end", pairs);
	g_snprintf(labels, sizeof(labels), "state=\"%s\"",
		   batch_state_name(j->batch->state));
	counters_observe(s->counters, "camphorshed_job_seconds", labels,
			 now - j->submitted);
	if (j->batch->state == BATCH_FAILED)
		runs_stop_all(s, j, "job failed", now);
}

/* Records an end in the batch and updates the job accordingly. */
static void record_end(struct sched *s, const struct task_ref *ref,
		       uint32_t number, enum batch_end how,
		       const char *checkpoint, cs_handle server, cs_time now)
{
	struct job *j = ref->job;
	struct batch_task *t = task_row(ref);
	bool was_final = batch_is_final(j->batch);

	if (!t)
		return;
	if (how == BATCH_END_FAILED) {
		t->last_failed_server = server;
		t->not_before =
			now + FAILURE_PAUSE_US * (cs_time)(t->failures + 1);
	}
	if (how == BATCH_END_DONE && step_of(j, ref->step)->is_gang)
		free_gang_runs(s, j, ref->occurrence, ref->step);
	batch_task_ended(j->batch, ref->occurrence, ref->step, t, number, how,
			 checkpoint, sched_attempts_of(s, j));
	j->critical_path_ms = rank_critical_path_ms(j);
	if (batch_is_final(j->batch) && !was_final)
		end_job(s, j, now);
	sched_mark_changed(s, j, now);
	sched_job_waits(s, j);
}

/*
 * Records the run time of a run. Runs away from the rack of their data are
 * slower, so they are not representative. A run that did not do all work of its
 * task tells only that this takes longer.
 */
static void record_run_time(struct sched *s, const struct job *j,
			    const struct run *r, struct server *v,
			    enum batch_end how, cs_time now)
{
	const struct batch_step *st = step_of(j, r->step);
	struct run_times_key k = sched_run_times_key(j, r->step);
	/* A run that was lost may have ended long before that is known. */
	cs_time ended = how == BATCH_END_LOST || how == BATCH_END_LAPSED ?
				MAX(r->listed_at, r->start_confirmed_at) :
				now;
	int64_t ran_ms = (ended - r->sent_at) / CS_MSEC;
	bool is_whole = how == BATCH_END_DONE && !r->has_checkpoint &&
			r->was_started_in_term && r->state == RUN_ACTIVE;
	double speed =
		s->options.policy.has_server_scores ?
			server_score_speed(&v->score, &s->all_scores, now) :
			1;
	struct run_times_prediction p;
	char labels[SITE_NAME_MAX + 64];

	if (st->is_long_running || st->is_gang || st->is_best_effort ||
	    !r->start_confirmed_at ||
	    (st->rack && strcmp(st->rack, v->info.rack)))
		return;
	if (is_whole) {
		p = run_time_model_predict(s->run_times, &k);
		health_on_run(s, v, ran_ms, p.median_ms, p.p90_ms, now);
	}
	run_time_model_record(s->run_times, &k, ran_ms, !is_whole, speed);
	if (!is_whole)
		return;
	g_snprintf(labels, sizeof(labels), "queue=\"%s\",ran=\"%s\"",
		   j->batch->queue,
		   run_time_ratio_name(ran_ms, r->expected_ms));
	counters_add(s->counters, "camphorshed_run_time_predictions_total",
		     labels, 1);
}

void runs_ended(struct sched *s, struct run *r, enum batch_end how,
		const char *checkpoint, cs_time now)
{
	const struct task_ref ref = { job_of(s, r), r->occurrence, r->step,
				      r->index };
	struct server *v = server_row(s, r->server);
	uint32_t number = r->number;
	cs_handle server = r->server;

	log_end(s, &ref, number, how, r, v, now);
	if (how == BATCH_END_LOST && !r->start_confirmed_at)
		late_starts_add(s, r, now);
	record_run_time(s, ref.job, r, v, how, now);
	free_run(s, r);
	record_end(s, &ref, number, how, checkpoint, server, now);
}

/*
 * Undoes a start that certainly had no effect; the task waits again. It keeps
 * its run number, which is the highest one ordered.
 */
static void undo_start(struct sched *s, struct run *r, cs_time now)
{
	struct job *j = job_of(s, r);
	struct batch_task *t =
		batch_task_row(j->batch, r->occurrence, r->step, r->index);

	free_run(s, r);
	if (t)
		batch_task_undo_start(j->batch, t);
	sched_mark_changed(s, j, now);
	sched_job_waits(s, j);
}

static void log_refused(struct sched *s, const struct run *r,
			const struct server *v, const struct order_reply *d)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "job", job_of(s, r)->batch->id);
	log_pair_int(pairs, "step", r->step);
	log_pair_int(pairs, "index", r->index);
	log_pair_int(pairs, "run", r->number);
	log_pair(pairs, "server", v->info.id);
	log_pair(pairs, "result", order_result_name(d->result));
	log_pair(pairs, "reason", order_reason_name(d->reason));
	log_pair_int(pairs, "took_ms", (d->received - d->sent) / CS_MSEC);
	sched_log(s, "start_refused", pairs);
}

/* Updates the state of the server according to the reason of a refusal. */
static void handle_refusal(struct sched *s, struct server *v,
			   const struct run *r, const struct order_reply *d,
			   cs_time now)
{
	switch (d->reason) {
	case ORDER_REASON_FENCED:
		servers_on_fenced(s, v, d);
		break;
	case ORDER_REASON_NO_ROOM:
		v->refused_until = now + NO_ROOM_PAUSE_US;
		health_on_refusal(s, v, d->sent, now);
		break;
	case ORDER_REASON_OVERLOADED:
		v->refused_until = now + OVERLOADED_PAUSE_US;
		health_on_refusal(s, v, d->sent, now);
		break;
	case ORDER_REASON_TICKET:
		advice_drop_ticket(s, job_of(s, r), r->occurrence, r->step, v);
		break;
	case ORDER_REASON_INSTANCE:
		servers_on_other_instance(s, v, d, now);
		break;
	default:
		break;
	}
}

void runs_on_start(struct sched *s, struct server *v,
		   const struct order_reply *d, cs_time now)
{
	struct run *r = run_row(s, d->ref);

	if (d->result != ORDER_NOT_SENT)
		start_window_on_reply(&s->start_window, now - d->sent, now);
	/* Of pools that wait for room in the window. */
	s->is_turn_due |= s->are_pools_due;
	if (!r)
		return;
	if (d->result == ORDER_DONE) {
		r->start_confirmed_at = now;
		if (r->state == RUN_STARTING)
			set_state(s, r, r->stop_at ? RUN_STOPPING : RUN_ACTIVE);
		return;
	}
	log_refused(s, r, v, d);
	if (d->result == ORDER_UNKNOWN) {
		/* Often it is running, and the list has it. */
		set_state(s, r, RUN_UNCONFIRMED);
		r->start_unanswered_at = now;
		v->late_starts_until = r->sent_at + LATE_ORDER_US;
		servers_list_runs(s, v, now);
		return;
	}
	handle_refusal(s, v, r, d, now);
	r = run_row(s, d->ref); /* the server may have been marked dead */
	if (r)
		undo_start(s, r, now);
}

void runs_on_stop(struct sched *s, struct server *v,
		  const struct order_reply *d, cs_time now)
{
	struct run *r = run_row(s, d->ref);

	if (!r)
		return;
	if (d->result == ORDER_REFUSED && d->reason == ORDER_REASON_INSTANCE) {
		servers_on_other_instance(s, v, d, now);
		return;
	}
	if (d->result != ORDER_DONE || incarnation_is_stale(v, d))
		return; /* servers_check() sends it again */
	r->is_stop_answered = true;
	r->stop_answered_at = now;
	/* The stop of a run that was kept has been carried out after all. */
	if (r->state == RUN_ACTIVE) {
		r->stop_at = now;
		set_state(s, r, RUN_STOPPING);
	}
	/* A run that is not there yet has no end that a hold would return for.
	 */
	if (r->state == RUN_UNCONFIRMED)
		servers_list_runs(s, v, now);
	servers_schedule_hold(s, v, now);
}

/* Logs the first checkpoint of a run that is too long to be stored. */
static void note_long_checkpoint(struct sched *s, struct run *r,
				 const char *checkpoint)
{
	GString *pairs;

	if (r->has_long_checkpoint)
		return;
	r->has_long_checkpoint = true;
	pairs = g_string_new(NULL);
	log_pair(pairs, "job", job_of(s, r)->batch->id);
	log_pair_int(pairs, "step", r->step);
	log_pair_int(pairs, "index", r->index);
	log_pair_int(pairs, "run", r->number);
	log_pair(pairs, "server", server_row(s, r->server)->info.id);
	log_pair_int(pairs, "bytes", (int64_t)strlen(checkpoint));
	sched_log(s, "checkpoint_too_long", pairs);
}

/*
 * A start that was to be ruled out has begun, and no stop was answered: the run
 * is the one that its task needs. Stopping a run of a long-running step that is
 * at work could exceed the budget of its job.
 */
static void keep_late_run(struct sched *s, struct run *r)
{
	GString *pairs = g_string_new(NULL);

	r->is_stop_for_start = false;
	r->stop_at = 0;
	log_pair(pairs, "job", job_of(s, r)->batch->id);
	log_pair_int(pairs, "step", r->step);
	log_pair_int(pairs, "index", r->index);
	log_pair_int(pairs, "run", r->number);
	log_pair(pairs, "server", server_row(s, r->server)->info.id);
	sched_log(s, "late_run_kept", pairs);
}

/* Updates the row of a run from the server's list. */
static void update_run(struct sched *s, struct run *r,
		       const struct order_run *reported, cs_time now)
{
	struct job *j = job_of(s, r);
	struct batch_task *t =
		batch_task_row(j->batch, r->occurrence, r->step, r->index);

	if (r->state == RUN_STARTING || r->state == RUN_UNCONFIRMED) {
		if (r->is_stop_for_start && !r->is_stop_answered && t &&
		    t->run_row == r->self && !batch_is_final(j->batch))
			keep_late_run(s, r);
		set_state(s, r, r->stop_at ? RUN_STOPPING : RUN_ACTIVE);
		r->start_confirmed_at = now;
	}
	if (reported->percent == 100 && r->percent != 100)
		r->working_since = now;
	if (reported->percent != r->percent)
		r->progressed_at = now;
	r->percent = reported->percent;
	r->tail_ms_or_cpu = reported->tail_ms_or_cpu;
	if (t && reported->checkpoint && *reported->checkpoint &&
	    (!t->checkpoint || strcmp(t->checkpoint, reported->checkpoint)) &&
	    !batch_task_set_checkpoint(j->batch, t, reported->checkpoint))
		note_long_checkpoint(s, r, reported->checkpoint);
}

/*
 * Handles a listed run without a row: it is adopted if its task needs it, and
 * stopped otherwise. A run of a known job gets a row in both cases, because it
 * counts against limits until it has stopped.
 */
static void adopt_or_stop(struct sched *s, struct server *v,
			  const struct order_run *reported, cs_time sent,
			  cs_time now)
{
	struct task_ref ref = find_task(s, reported->task);
	const struct batch_task *t = NULL;
	bool is_needed;
	struct run *r;

	if (ref.job) {
		batch_open_occurrence(ref.job->batch, ref.occurrence);
		t = task_of(&ref);
	}
	if (!t || t->state != BATCH_TASK_WAITING || t->run_row) {
		stop_stray(s, v, &ref, reported, sent, now);
		return;
	}
	is_needed = !batch_is_final(ref.job->batch) &&
		    reported->run >= t->run && reported->run > t->ended_run;
	r = runs_adopt(s, &ref, v, reported->run, now);
	if (!r)
		return;
	update_run(s, r, reported, now);
	r->listed_at = sent;
	if (!is_needed)
		runs_stop(s, r, "not needed", now);
}

/*
 * The run of a task with that number on the server; NULL if it has no row. A
 * task that is done names no run any more, while one of it may be ending.
 */
static struct run *find_run(const struct sched *s, const struct server *v,
			    const char *task, uint32_t number)
{
	const struct task_ref ref = find_task(s, task);
	guint i;

	for (i = 0; ref.job && i < v->runs->len; i++) {
		struct run *r =
			run_row(s, g_array_index(v->runs, cs_handle, i));

		if (r->job == ref.job->self && r->number == number &&
		    r->index == ref.index && r->step == ref.step &&
		    r->occurrence == ref.occurrence)
			return r;
	}
	return NULL;
}

/*
 * True if a run that is missing from a list requested at sent has certainly
 * ended, or will never start.
 */
static bool has_certainly_ended(const struct run *r, cs_time sent)
{
	if (r->state == RUN_ACTIVE || r->state == RUN_STOPPING)
		return r->start_confirmed_at && r->start_confirmed_at <= sent &&
		       (!r->stop_at || !r->is_stop_answered ||
			r->stop_answered_at <= sent);
	/* The start got no reply: only an answered stop rules it out. */
	return r->is_stop_answered && r->stop_answered_at <= sent;
}

/* Updates the runs that a list shows. */
static void update_listed_runs(struct sched *s, struct server *v,
			       const struct order_reply *d, cs_time now)
{
	guint i;

	for (i = 0; i < d->runs->len; i++) {
		const struct order_run *reported =
			g_ptr_array_index(d->runs, i);
		struct run *r = find_run(s, v, reported->task, reported->run);

		if (!r)
			continue;
		update_run(s, r, reported, now);
		r->listed_at = d->sent;
	}
}

/* Ends the runs that a complete list lacks, as far as that is certain. */
static void end_missing_runs(struct sched *s, struct server *v,
			     const struct order_reply *d, cs_time now)
{
	guint i;

	for (i = v->runs->len; i-- > 0;) {
		struct run *r =
			run_row(s, g_array_index(v->runs, cs_handle, i));

		if (r->sent_at >= d->sent || r->listed_at == d->sent)
			continue;
		if (r->state == RUN_UNCONFIRMED && !r->is_stop_answered &&
		    (!r->stop_at || r->is_stop_for_start) &&
		    r->start_unanswered_at <= d->sent)
			rule_out_start(s, r, now);
		if (has_certainly_ended(r, d->sent)) {
			runs_ended(s, r, BATCH_END_LOST, NULL, now);
			i = v->runs->len; /* more than one may be removed */
		}
	}
}

void runs_reconcile(struct sched *s, struct server *v,
		    const struct order_reply *d, cs_time now)
{
	guint i;

	update_listed_runs(s, v, d, now);
	/* A run that is missing from a partial list may run or have ended. */
	if (!d->is_partial)
		end_missing_runs(s, v, d, now);
	/*
	 * Now, as a task whose run has just been lost waits until another run
	 * of it that is listed has stopped.
	 */
	for (i = 0; s->is_ready && i < d->runs->len; i++) {
		const struct order_run *reported =
			g_ptr_array_index(d->runs, i);

		if (!find_run(s, v, reported->task, reported->run))
			adopt_or_stop(s, v, reported, d->sent, now);
	}
}

/* Adds an end to those to acknowledge once their batches are stored. */
static void add_unstored_end(struct sched *s, struct server *v, uint64_t number,
			     const struct job *j)
{
	struct unstored_end u = { .number = number };

	if (j && j->batch->version != j->stored_version) {
		u.job = j->self;
		u.version = j->batch->version;
	}
	g_array_append_val(v->unstored, u);
	servers_note_unstored(s, v);
}

static bool has_failed_elsewhere(const struct task_ref *ref,
				 const struct server *v)
{
	const struct batch_task *t = task_of(ref);

	return t && t->last_failed_server && t->last_failed_server != v->self;
}

static void handle_end(struct sched *s, struct server *v,
		       const struct order_ended_run *e, cs_time now)
{
	const struct task_ref ref = find_task(s, e->task);
	cs_time started_at = 0;
	bool had_failed = false;
	struct run *r;

	if (ref.job) {
		had_failed = has_failed_elsewhere(&ref, v);
		r = find_run(s, v, e->task, e->run);
		started_at = r ? r->sent_at : 0;
		if (r) {
			runs_ended(s, r, e->how, e->checkpoint, now);
		} else {
			const struct batch_task *t;

			batch_open_occurrence(ref.job->batch, ref.occurrence);
			t = task_of(&ref);
			r = t ? run_row(s, t->run_row) : NULL;
			if (r && e->how == BATCH_END_DONE)
				runs_stop(s, r, "done by another run", now);
			log_end(s, &ref, e->run, e->how, NULL, v, now);
			record_end(s, &ref, e->run, e->how, e->checkpoint,
				   v->self, now);
		}
		health_on_end(s, v, e->how, started_at, had_failed, now);
	}
	add_unstored_end(s, v, e->number, ref.job);
}

void runs_handle_ends(struct sched *s, struct server *v,
		      const struct order_reply *d, cs_time now)
{
	guint i;

	if (!s->is_ready)
		return; /* jobs are not loaded yet; the ends are listed again */
	for (i = 0; i < d->ends->len; i++) {
		const struct order_ended_run *e = g_ptr_array_index(d->ends, i);

		if (e->number <= v->last_end)
			continue;
		handle_end(s, v, e, now);
		v->last_end = e->number;
	}
}

/* Logs that a run takes far longer than predicted, and why it may be. */
static void log_tail(struct sched *s, const struct run *r,
		     const struct server *v, int64_t age_ms)
{
	const struct job *j = job_of(s, r);
	GString *pairs = g_string_new(NULL);
	char labels[64];

	log_pair(pairs, "job", j->batch->id);
	log_pair_int(pairs, "step", r->step);
	log_pair_int(pairs, "index", r->index);
	log_pair_int(pairs, "run", r->number);
	log_pair(pairs, "server", v->info.id);
	log_pair(pairs, "why", run_time_tail_name(r->tail));
	log_pair_int(pairs, "age_ms", age_ms);
	log_pair_int(pairs, "expected_ms", step_of(j, r->step)->expected_ms);
	log_pair_int(pairs, "percent", r->percent);
	sched_log(s, "run_long", pairs);
	g_snprintf(labels, sizeof(labels), "why=\"%s\"",
		   run_time_tail_name(r->tail));
	counters_add(s->counters, "camphorshed_long_runs_total", labels, 1);
}

/* Once it was found to be long, a run is not looked at again. */
static void check_tail(struct sched *s, struct run *r, cs_time now)
{
	const struct job *j = job_of(s, r);
	struct server *v = server_row(s, r->server);
	const struct batch_step *st = step_of(j, r->step);
	int64_t age_ms = (now - r->sent_at) / CS_MSEC;
	cs_time progressed = MAX(r->progressed_at, r->sent_at);

	if (r->tail != RUN_TIME_USUAL || r->state != RUN_ACTIVE || !v ||
	    st->is_long_running || st->is_gang || st->is_best_effort)
		return;
	r->tail = run_time_tail_of(st->expected_ms, age_ms,
				   (now - progressed) / CS_MSEC,
				   (now - v->answered_at) / CS_MSEC);
	if (r->tail == RUN_TIME_USUAL)
		return;
	log_tail(s, r, v, age_ms);
	if (r->tail == RUN_TIME_STUCK)
		health_on_stuck(s, v, r->sent_at, now);
}

void runs_check_tails(struct sched *s, cs_time now)
{
	cs_handle h;

	if (now < s->tails_due_at)
		return;
	s->tails_due_at = now + TAILS_INTERVAL_US;
	for (h = slots_next(s->runs, 0); h; h = slots_next(s->runs, h))
		check_tail(s, run_row(s, h), now);
}

int runs_of_step(const struct sched *s, const struct server *v,
		 const struct job *j, int occurrence, int step)
{
	int n = 0;
	guint i;

	for (i = 0; i < v->runs->len; i++) {
		const struct run *r =
			run_row(s, g_array_index(v->runs, cs_handle, i));

		n += r->job == j->self && r->occurrence == occurrence &&
		     r->step == step;
	}
	return n;
}
