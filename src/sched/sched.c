#include "sched_private.h"

#include <limits.h>
#include <string.h>

#include "../base/error.h"
#include "../base/log.h"

/* Maximum sizes of the tables; rows are allocated on demand. */
#define SERVERS_MAX (1u << 14)
#define JOBS_MAX (1u << 18)
#define RUNS_MAX (1u << 18)
/* Of a job beside its batch: its row, table entries and allocations. */
#define JOB_BYTES (sizeof(struct job) + 128)

/*
 * Minimum time between two turns. Events in between are handled together, as
 * ranking the jobs of a pool costs the same for one event as for many.
 */
#define MIN_TURN_INTERVAL_US (4 * CS_MSEC)
/*
 * Added for each job that the last turn ranked, which takes a quarter of a
 * microsecond: ranking a long backlog takes an eighth of a core at most.
 */
#define RANKED_JOB_PAUSE_US 2
/* Interval of turns for decisions that depend on time alone. */
#define PERIODIC_TURN_US (50 * CS_MSEC)
/* Interval at which the expected run times of open jobs are refreshed. */
#define EXPECTED_TIMES_INTERVAL_US (500 * CS_MSEC)

static void pool_free(void *row)
{
	struct pool *p = row;

	g_ptr_array_free(p->servers, TRUE);
	g_array_free(p->former_servers, TRUE);
	g_ptr_array_free(p->jobs, TRUE);
	g_ptr_array_free(p->waiting, TRUE);
	room_index_destroy(p->room);
	demand_destroy(p->arrivals);
	forecast_destroy(p->forecast);
	g_free(p);
}

static void on_turn_timer(void *ctx, uint64_t arg, cs_time now)
{
	struct sched *s = ctx;

	(void)arg;
	s->are_servers_due = true;
	sched_wake(s);
	s->turn_timer = timers_subscribe(s->timers, now + PERIODIC_TURN_US,
					 on_turn_timer, s, 0);
}

struct sched *sched_create(const struct sched_options *options,
			   const struct sched_ops *ops, void *ctx,
			   struct timers *timers, struct counters *counters,
			   cs_time now)
{
	struct sched *s = g_new0(struct sched, 1);

	s->options = *options;
	s->ops = ops;
	s->ctx = ctx;
	s->timers = timers;
	s->counters = counters;
	s->started_at = now;
	start_window_init(&s->start_window);
	s->servers = slots_create(sizeof(struct server), SERVERS_MAX);
	s->jobs = slots_create(sizeof(struct job), JOBS_MAX);
	s->runs = slots_create(sizeof(struct run), RUNS_MAX);
	s->server_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	s->job_by_id = g_hash_table_new(g_str_hash, g_str_equal);
	s->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, pool_free);
	s->evacuated =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->reserve =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->cancelled =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	s->usage =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->allowed_cpu_left =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	s->run_times =
		run_time_model_create(options->policy.has_learned_run_times ?
					      &run_time_model_learned :
					      &run_time_model_line);
	s->grants = grants_create();
	s->unsettled_pools = g_ptr_array_new();
	s->pool_list = g_ptr_array_new();
	s->unstored_servers = g_array_new(FALSE, FALSE, sizeof(cs_handle));
	s->hosts = hosts_create();
	s->maintenance = maintenance_create(s);
	s->balance = balance_create(s, now);
	s->advice = advice_create();
	s->late_starts = late_starts_create();
	s->fence = fence_create(options->token);
	s->accepted = accepted_work_create(options->accepted_max);
	if (s->options.policy.has_fair_shares)
		s->fair_shares = fair_shares_create();
	s->turn_timer = timers_subscribe(timers, now + PERIODIC_TURN_US,
					 on_turn_timer, s, 0);
	return s;
}

void sched_destroy(struct sched *s)
{
	cs_handle h;

	if (!s)
		return;
	timers_cancel(s->timers, s->turn_timer);
	for (h = slots_next(s->servers, 0); h; h = slots_next(s->servers, h)) {
		struct server *v = slots_get(s->servers, h);

		timers_cancel(s->timers, v->hold_timer);
		g_array_free(v->runs, TRUE);
		g_array_free(v->unstored, TRUE);
	}
	for (h = slots_next(s->jobs, 0); h; h = slots_next(s->jobs, h)) {
		struct job *j = slots_get(s->jobs, h);

		batch_destroy(j->batch);
	}
	balance_destroy(s->balance);
	maintenance_destroy(s->maintenance);
	hosts_destroy(s->hosts);
	advice_destroy(s->advice);
	late_starts_destroy(s->late_starts);
	fence_destroy(s->fence);
	fair_shares_destroy(s->fair_shares);
	accepted_work_destroy(s->accepted);
	g_hash_table_destroy(s->server_by_id);
	g_hash_table_destroy(s->job_by_id);
	g_hash_table_destroy(s->pools);
	g_hash_table_destroy(s->evacuated);
	g_hash_table_destroy(s->cancelled);
	g_hash_table_destroy(s->reserve);
	g_hash_table_destroy(s->usage);
	run_time_model_destroy(s->run_times);
	g_hash_table_destroy(s->allowed_cpu_left);
	grants_destroy(s->grants);
	g_ptr_array_free(s->unsettled_pools, TRUE);
	g_ptr_array_free(s->pool_list, TRUE);
	g_array_free(s->unstored_servers, TRUE);
	g_queue_clear(&s->begins);
	g_queue_clear(&s->changed);
	g_queue_clear(&s->final);
	slots_destroy(s->servers);
	slots_destroy(s->jobs);
	slots_destroy(s->runs);
	site_unref(s->site);
	g_free(s);
}

/* Returns the pool of that name; creates it if necessary. */
struct pool *sched_pool(struct sched *s, const char *name)
{
	struct pool *p = g_hash_table_lookup(s->pools, name);

	if (p)
		return p;
	p = g_new0(struct pool, 1);
	cs_copy(p->name, sizeof(p->name), name);
	p->servers = g_ptr_array_new();
	p->former_servers = g_array_new(FALSE, FALSE, sizeof(cs_handle));
	p->room = room_index_create();
	p->jobs = g_ptr_array_new();
	p->waiting = g_ptr_array_new();
	p->arrivals = demand_create();
	p->forecast = forecast_create();
	if (s->fair_shares)
		p->share_row = fair_shares_pool(s->fair_shares, name);
	g_hash_table_insert(s->pools, p->name, p);
	g_ptr_array_add(s->pool_list, p);
	return p;
}

/* Makes all pools due in the next turn. */
void sched_wake(struct sched *s)
{
	s->is_turn_due = s->are_pools_due = true;
}

/* Makes one pool due in the next turn. */
void sched_wake_pool(struct sched *s, struct pool *p)
{
	s->is_turn_due = true;
	if (p)
		p->is_due = true;
}

/* Logs an event and frees its pairs. */
void sched_log(struct sched *s, const char *event, GString *pairs)
{
	s->ops->log(s->ctx, event, pairs->str);
	g_string_free(pairs, TRUE);
}

/* The configured queue of a job; NULL: it was removed. */
static const struct site_queue *queue_of(const struct sched *s,
					 const struct job *j)
{
	return s->site ? site_find_queue(s->site, j->batch->queue) : NULL;
}

const struct site_terms *sched_terms_of(const struct sched *s,
					const struct job *j)
{
	/* Of a job that an earlier version accepted, for a queue that is gone.
	 */
	static const struct site_terms unknown = { .attempts_max = INT_MAX,
						   .stretch = 1.0 };
	const struct site_queue *q = queue_of(s, j);

	if (q)
		return &q->terms;
	return j->batch->has_terms ? &j->batch->terms : &unknown;
}

/* Not the present number: an operator's mistake must not fail running jobs. */
int sched_attempts_of(const struct sched *s, const struct job *j)
{
	return j->batch->has_terms ? j->batch->terms.attempts_max :
				     sched_terms_of(s, j)->attempts_max;
}

/*
 * The pool of a job: that of its queue. A job of a removed queue stays where it
 * is, and with a new owner where its tasks were started last.
 */
static const char *pool_name_of(const struct sched *s, const struct job *j)
{
	const struct site_queue *q = queue_of(s, j);
	const GPtrArray *pools = j->batch->pools;

	if (q)
		return q->terms.pool;
	if (j->pool)
		return j->pool->name;
	if (pools)
		return g_ptr_array_index(pools, pools->len - 1);
	return j->batch->terms.pool;
}

bool sched_job_begin_is_stored(const struct job *j)
{
	/* Versions wrap around, so the difference is compared. */
	return j->stored_revision &&
	       (int32_t)(j->stored_version - j->begin_version) >= 0;
}

static void close_begin(struct job *j)
{
	if (j->is_begin_open)
		j->begun_pool->open_begins--;
	j->is_begin_open = false;
}

void sched_begin_job(struct sched *s, struct job *j, cs_time now)
{
	close_begin(j);
	if (batch_begin(j->batch, j->pool->name))
		j->begin_version = j->batch->version;
	j->begun_pool = j->pool;
	if (sched_job_begin_is_stored(j))
		return;
	j->is_begin_open = true;
	j->pool->open_begins++;
	sched_mark_changed(s, j, now);
}

bool sched_job_may_have_runs_in(const struct job *j, const struct pool *p)
{
	return j->may_have_runs &&
	       (!j->knows_pools || batch_may_run_in(j->batch, p->name));
}

bool sched_job_is_settled(const struct sched *s, const struct job *j)
{
	guint i;

	for (i = 0; j->may_have_runs && i < s->unsettled_pools->len; i++)
		if (sched_job_may_have_runs_in(
			    j, g_ptr_array_index(s->unsettled_pools, i)))
			return false;
	return true;
}

void sched_job_waits(struct sched *s, struct job *j)
{
	if (!j->pool || j->final_at)
		return;
	j->lacks_room = false;
	j->next_attempt_at = 0;
	if (!j->is_waiting) {
		j->is_waiting = true;
		g_ptr_array_add(j->pool->waiting, j);
	}
	sched_wake_pool(s, j->pool);
}

/* Takes a job out of its pool, if it has one. */
static void leave_pool(struct job *j)
{
	struct pool *p = j->pool;
	struct job *last;

	if (!p)
		return;
	last = g_ptr_array_index(p->jobs, p->jobs->len - 1);
	last->pool_position = j->pool_position;
	g_ptr_array_remove_index_fast(p->jobs, j->pool_position);
}

/* A begin is stored first, as the job's first start waits for it. */
static void queue_changed(struct sched *s, struct job *j)
{
	j->is_changed = true;
	g_queue_push_tail(sched_job_begin_is_stored(j) ? &s->changed :
							 &s->begins,
			  GSIZE_TO_POINTER((gsize)j->self));
}

/* Charges what a job takes now to its workspace. */
static void charge_job(struct sched *s, struct job *j)
{
	size_t bytes = JOB_BYTES + batch_bytes(j->batch);

	accepted_work_charge(s->accepted, j->accepted_row, j->charged, bytes);
	j->charged = bytes;
}

/* Adds a changed job to the list of jobs to store, and records its end. */
void sched_mark_changed(struct sched *s, struct job *j, cs_time now)
{
	/* Nothing of an ended job starts any more. */
	if (batch_is_final(j->batch))
		batch_drop_payload(j->batch);
	charge_job(s, j);
	if (j->batch->version != j->stored_version && !j->is_changed &&
	    !j->is_being_stored)
		queue_changed(s, j);
	if (!batch_is_final(j->batch) || j->final_at)
		return;
	j->final_at = now;
	g_queue_push_tail(&s->final, GSIZE_TO_POINTER((gsize)j->self));
	leave_pool(j);
}

/* Takes a job out of the waiting ones of its pool. */
static void stop_waiting(struct job *j)
{
	if (j->is_waiting)
		g_ptr_array_remove_fast(j->pool->waiting, j);
	j->is_waiting = false;
}

/* Moves a job that is not final to its pool. */
static void set_pool(struct sched *s, struct job *j)
{
	const char *name = pool_name_of(s, j);
	struct pool *p;

	/* Without a name it waits until its queue is configured again. */
	if (!*name || j->final_at)
		return;
	p = sched_pool(s, name);
	if (p == j->pool)
		return;
	stop_waiting(j);
	leave_pool(j);
	j->pool = p;
	j->pool_position = p->jobs->len;
	g_ptr_array_add(p->jobs, j);
	sched_job_waits(s, j);
}

struct run_times_key sched_run_times_key(const struct job *j, int step)
{
	const struct batch_step *st = &j->batch->spec->steps[step];
	struct run_times_key k = { .queue = j->batch->queue,
				   .workspace = j->batch->workspace,
				   .job = j->batch->id,
				   .step = step,
				   .tasks = st->count,
				   .cpu = st->need.cpu,
				   .hint_ms = st->estimate_ms };

	return k;
}

static struct run_times_prediction predict_step(const struct sched *s,
						const struct job *j, int step)
{
	struct run_times_key k = sched_run_times_key(j, step);

	return run_time_model_predict(s->run_times, &k);
}

/* Sets the expected run times of a job's tasks from what has been learned. */
static void update_expected_times(struct sched *s, struct job *j)
{
	const struct batch_spec *spec = j->batch->spec;
	int i;

	for (i = 0; i < spec->steps_nr; i++)
		if (!spec->steps[i].is_long_running)
			batch_set_expected_ms(j->batch, i,
					      predict_step(s, j, i).median_ms);
	sched_set_objective(s, j);
	j->critical_path_ms = rank_critical_path_ms(j);
}

void sched_record_arrival(struct sched *s, const struct job *j, cs_time now)
{
	const struct batch_spec *spec = j->batch->spec;
	double work = 0, widest = 0;
	int i;

	for (i = 0; i < spec->steps_nr; i++) {
		const struct batch_step *st = &spec->steps[i];
		double cpu = (double)st->count * (double)st->need.cpu;

		if (st->is_long_running || st->is_best_effort)
			continue;
		work += cpu * (double)predict_step(s, j, i).mean_ms;
		widest = MAX(widest, cpu);
	}
	if (work > 0)
		pool_size_add_arrival(
			s, j->pool,
			work * pool_size_allowed_cpu(s, j, widest) / widest,
			work / widest, now);
}

/* Refreshes the expected times of open jobs, as estimates change over time. */
static void refresh_expected_times(struct sched *s, cs_time now)
{
	GHashTableIter it;
	void *row;
	guint i;

	if (now < s->expected_times_due_at)
		return;
	s->expected_times_due_at = now + EXPECTED_TIMES_INTERVAL_US;
	g_hash_table_iter_init(&it, s->pools);
	while (g_hash_table_iter_next(&it, NULL, &row)) {
		const struct pool *p = row;

		for (i = 0; i < p->jobs->len; i++)
			update_expected_times(s, g_ptr_array_index(p->jobs, i));
	}
}

/*
 * Sets the objective of the present occurrence: stretch times its critical
 * path, plus the target of the queue.
 */
void sched_set_objective(struct sched *s, struct job *j)
{
	const struct site_terms *terms = sched_terms_of(s, j);
	int64_t due = batch_due_unix_ms(j->batch, j->first_open_occurrence);
	cs_time from = j->submitted;

	if (due > 0 && s->unix_ms > 0 &&
	    s->unix_at + (due - s->unix_ms) * CS_MSEC > from)
		from = s->unix_at + (due - s->unix_ms) * CS_MSEC;
	j->objective_at =
		from +
		(int64_t)(terms->stretch *
			  (double)batch_critical_path_ms(
				  j->batch, j->first_open_occurrence, true)) *
			CS_MSEC +
		terms->target_ms * CS_MSEC;
}

/*
 * Sets the weights of the workspaces with a row of shares, from the first one
 * on. A row whose workspace was removed keeps its weight.
 */
static void update_weights(struct sched *s, int first)
{
	const char *clamped = NULL;
	int i, clamped_nr = 0, n = fair_shares_workspaces_nr(s->fair_shares);
	GString *pairs;

	for (i = first; s->site && i < n; i++) {
		const char *name =
			fair_shares_workspace_name(s->fair_shares, i);
		const struct site_workspace *w =
			site_find_workspace(s->site, name);

		if (!w || fair_shares_set_weight(s->fair_shares, i, w->weight))
			continue;
		clamped = name;
		clamped_nr++;
	}
	if (!clamped)
		return;
	pairs = g_string_new(NULL);
	log_pair_int(pairs, "workspaces", clamped_nr);
	log_pair(pairs, "last", clamped);
	log_pair_int(pairs, "min", FAIR_WEIGHT_MIN);
	log_pair_int(pairs, "max", FAIR_WEIGHT_MAX);
	sched_log(s, "weight_clamped", pairs);
}

/* Jobs on open queues without a key belong to a workspace without a name. */
static void update_accepted_weights(struct sched *s)
{
	const struct site_workspace *w;
	const struct site_queue *q;
	guint i;

	accepted_work_clear_weights(s->accepted);
	for (i = 0; (w = site_workspace_at(s->site, i)); i++)
		accepted_work_set_weight(s->accepted, w->name, w->weight);
	for (i = 0; (q = site_queue_at(s->site, i)); i++)
		if (q->is_open)
			accepted_work_set_weight(s->accepted, "", 1);
}

/* Gives a job the row of its workspace in the table of shares. */
static void set_share_row(struct sched *s, struct job *j)
{
	int n;

	if (!s->fair_shares)
		return;
	n = fair_shares_workspaces_nr(s->fair_shares);
	j->share_row =
		fair_shares_workspace(s->fair_shares, j->batch->workspace);
	if (j->share_row >= n)
		update_weights(s, n);
}

/* Takes over what the terms of a job say now. */
static void update_terms(struct sched *s, struct job *j)
{
	set_pool(s, j);
	j->priority = sched_terms_of(s, j)->priority;
	sched_set_objective(s, j);
}

void sched_set_site(struct sched *s, struct site *site, cs_time now)
{
	cs_handle h;

	(void)now;
	site_unref(s->site);
	s->site = site_ref(site);
	if (s->fair_shares)
		update_weights(s, 0);
	update_accepted_weights(s);
	for (h = slots_next(s->jobs, 0); h; h = slots_next(s->jobs, h)) {
		struct job *j = slots_get(s->jobs, h);

		update_terms(s, j);
	}
	sched_wake(s);
}

void sched_set_evacuated(struct sched *s, const char *data_centre,
			 bool is_evacuated, cs_time now)
{
	(void)now;
	if (is_evacuated)
		g_hash_table_add(s->evacuated, g_strdup(data_centre));
	else
		g_hash_table_remove(s->evacuated, data_centre);
	sched_wake(s);
}

/* The job stays in the store, and the next owner finds it there. */
static void log_full_table(struct sched *s, const struct batch *b)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "job", b->id);
	log_pair_int(pairs, "jobs_max", JOBS_MAX);
	sched_log(s, "job_table_full", pairs);
}

void sched_add_batch(struct sched *s, struct batch *b, uint64_t revision,
		     uint64_t stored_revision, int64_t unix_ms, cs_time now)
{
	struct job *j;
	cs_handle h;

	if (g_hash_table_contains(s->job_by_id, b->id)) {
		batch_destroy(b);
		return;
	}
	h = slots_alloc(s->jobs, (void **)&j);
	if (!h) {
		log_full_table(s, b);
		batch_destroy(b);
		return;
	}
	s->unix_ms = unix_ms;
	s->unix_at = now;
	j->self = h;
	j->batch = b;
	j->revision = revision;
	j->stored_revision = stored_revision;
	j->stored_version = b->version;
	j->is_from_predecessor = revision <= s->options.revision;
	/* Progress is stored before the first start, so without it none ran. */
	j->may_have_runs = j->is_from_predecessor && stored_revision;
	j->knows_pools = b->pools != NULL;
	j->begin_version = b->version;
	j->submitted = now - (unix_ms - b->submitted_unix_ms) * CS_MSEC;
	if (j->submitted > now)
		j->submitted = now; /* the submitting entry's clock is ahead */
	j->is_long_running = b->spec->steps_nr > 0 &&
			     b->spec->steps[0].is_long_running;
	g_hash_table_insert(s->job_by_id, b->id, j);
	set_share_row(s, j);
	j->accepted_row = accepted_work_row(s->accepted, b->workspace);
	charge_job(s, j);
	update_terms(s, j);
	if (batch_is_final(b)) {
		sched_mark_changed(s, j, now);
	} else {
		update_expected_times(s, j);
	}
	if (g_hash_table_remove(s->cancelled, b->id))
		sched_cancel(s, b->id, now);
	sched_wake_pool(s, j->pool);
}

void sched_cancel(struct sched *s, const char *id, cs_time now)
{
	struct job *j = g_hash_table_lookup(s->job_by_id, id);
	GString *pairs;

	/* A re-read of the store delivers cancellations before jobs. */
	if (!j)
		g_hash_table_add(s->cancelled, g_strdup(id));
	if (!j || !batch_cancel(j->batch))
		return;
	pairs = g_string_new(NULL);
	log_pair(pairs, "job", id);
	log_pair_int(pairs, "running", j->batch->running);
	sched_log(s, "job_cancelled", pairs);
	runs_stop_all(s, j, "cancelled", now);
	sched_mark_changed(s, j, now);
}

void sched_set_ready(struct sched *s, cs_time now)
{
	s->is_ready = true;
	servers_update_settled(s);
	/* So that the first pass over the pools' sizes can move hosts. */
	hosts_refresh(s, now);
	sched_wake(s);
}

void sched_confirm_ownership(struct sched *s, cs_time at, bool is_paused)
{
	if (s->is_paused != is_paused)
		sched_wake(s);
	s->confirmed_at = at;
	s->is_paused = is_paused;
}

bool sched_may_have_successor(const struct sched *s, cs_time now)
{
	return now - s->confirmed_at >= SUCCESSOR_AFTER_US;
}

void sched_order_reply(struct sched *s, const struct order_reply *d,
		       cs_time now)
{
	struct server *v = server_row(s, d->server);
	char labels[64];

	g_snprintf(labels, sizeof(labels), "type=\"%s\",result=\"%s\"",
		   order_type_name(d->type), order_result_name(d->result));
	if (d->type != ORDER_HOLD) /* a long poll has no meaningful latency */
		counters_observe(s->counters, "camphorshed_order_seconds",
				 labels, d->received - d->sent);
	if (v)
		servers_on_reply(s, v, d, now);
	switch (d->type) {
	case ORDER_START:
		if (v)
			runs_on_start(s, v, d, now);
		break;
	case ORDER_STOP:
		if (v)
			runs_on_stop(s, v, d, now);
		break;
	case ORDER_HOLD:
		if (v)
			servers_on_hold(s, v, d, now);
		break;
	case ORDER_LIST_RUNS:
		if (v)
			servers_on_list(s, v, d, now);
		break;
	case ORDER_PACE:
		pacing_on_reply(s, d);
		break;
	case ORDER_ADVISE:
		advice_on_reply(s, d, now);
		break;
	case ORDER_LIST_HOSTS:
		hosts_on_reply(s, d, now);
		break;
	case ORDER_MOVE_HOST:
		balance_on_reply(s, d, now);
		break;
	case ORDER_MAINTAIN_HOST:
		maintenance_on_reply(s, d, now);
		break;
	}
}

/* Adds the work of this turn to the counters. */
static void count_work(struct sched *s)
{
	counters_add(s->counters, "camphorshed_ranked_jobs_total", "",
		     s->ranked_jobs);
	counters_add(s->counters, "camphorshed_examined_tasks_total", "",
		     s->examined_tasks);
	counters_add(s->counters, "camphorshed_examined_servers_total", "",
		     s->examined_servers);
	s->ranked_jobs = s->examined_tasks = s->examined_servers = 0;
}

void sched_turn(struct sched *s, int64_t unix_ms, cs_time now)
{
	if (!s->is_turn_due || now < s->next_turn_at)
		return;
	s->is_turn_due = false;
	s->unix_ms = unix_ms;
	s->unix_at = now;
	if (s->are_servers_due)
		servers_check(s, now);
	refresh_expected_times(s, now);
	runs_check_tails(s, now);
	s->are_servers_due = false;
	if (s->is_ready && !s->is_paused && !s->is_fenced)
		assign_tasks(s, now);
	s->next_turn_at = now + MIN_TURN_INTERVAL_US +
			  s->ranked_jobs * RANKED_JOB_PAUSE_US;
	count_work(s);
}

cs_time sched_next_turn(const struct sched *s)
{
	return s->is_turn_due ? s->next_turn_at : CS_TIME_NEVER;
}

GBytes *sched_learned(const struct sched *s)
{
	return run_time_model_encode(s->run_times);
}

int sched_restore_learned(struct sched *s, const void *data, size_t size)
{
	return run_time_model_restore(s->run_times, data, size);
}

cs_handle sched_take_changed_batch(struct sched *s)
{
	while (!g_queue_is_empty(&s->begins) ||
	       !g_queue_is_empty(&s->changed)) {
		GQueue *queue = g_queue_is_empty(&s->begins) ? &s->changed :
							       &s->begins;
		cs_handle h =
			(cs_handle)GPOINTER_TO_SIZE(g_queue_pop_head(queue));
		struct job *j = slots_get(s->jobs, h);

		if (!j)
			continue;
		j->is_changed = false;
		j->is_being_stored = true;
		return h;
	}
	return 0;
}

const struct batch *sched_batch(const struct sched *s, cs_handle h)
{
	const struct job *j = slots_get(s->jobs, h);

	return j ? j->batch : NULL;
}

uint64_t sched_stored_revision(const struct sched *s, cs_handle h)
{
	const struct job *j = slots_get(s->jobs, h);

	return j ? j->stored_revision : 0;
}

void sched_batch_stored(struct sched *s, cs_handle h, uint32_t version,
			uint64_t revision, cs_time now)
{
	struct job *j = slots_get(s->jobs, h);

	if (!j)
		return;
	j->is_being_stored = false;
	j->stored_version = version;
	j->stored_revision = revision;
	if (j->is_begin_open && sched_job_begin_is_stored(j)) {
		/* Others may wait for the place as well. */
		sched_wake_pool(s, j->begun_pool);
		close_begin(j);
	}
	sched_mark_changed(s, j, now);
}

void sched_commit_finished(struct sched *s, cs_time now)
{
	servers_ack_stored_ends(s, now);
}

void sched_batch_store_failed(struct sched *s, cs_handle h, uint64_t revision)
{
	struct job *j = slots_get(s->jobs, h);

	if (!j)
		return;
	j->is_being_stored = false;
	j->stored_revision = revision;
	queue_changed(s, j);
}

cs_handle sched_next_expired(struct sched *s, cs_time now)
{
	cs_handle h = (cs_handle)GPOINTER_TO_SIZE(g_queue_peek_head(&s->final));
	struct job *j = slots_get(s->jobs, h);

	if (!j || now - j->final_at < SCHED_RETENTION_US || j->batch->running ||
	    j->rows || j->is_being_stored ||
	    j->batch->version != j->stored_version)
		return 0;
	return h;
}

void sched_expired_removed(struct sched *s, cs_handle h)
{
	struct job *j = slots_get(s->jobs, h);

	if (!j)
		return;
	g_queue_remove(&s->final, GSIZE_TO_POINTER((gsize)h));
	close_begin(j);
	g_hash_table_remove(s->job_by_id, j->batch->id);
	stop_waiting(j);
	accepted_work_charge(s->accepted, j->accepted_row, j->charged, 0);
	batch_destroy(j->batch);
	slots_free(s->jobs, h);
}

void sched_batch_removed(struct sched *s, const char *id)
{
	const struct job *j = g_hash_table_lookup(s->job_by_id, id);

	/* Not that of a later submission, of which the owner was told first. */
	if (j && batch_is_final(j->batch))
		sched_expired_removed(s, j->self);
}

const struct batch *sched_find_batch(const struct sched *s, const char *id,
				     bool *is_stored)
{
	const struct job *j = g_hash_table_lookup(s->job_by_id, id);

	if (!j)
		return NULL;
	*is_stored = j->batch->version == j->stored_version;
	return j->batch;
}

/* True if the job is due and no task has started. */
static bool is_pending(const struct sched *s, const struct job *j)
{
	if (j->batch->state != BATCH_QUEUED)
		return false;
	return batch_due_unix_ms(j->batch, 0) <= s->unix_ms;
}

/*
 * Work left in a job's present occurrence, in thousandths of a core times
 * milliseconds.
 */
double sched_work_left(const struct job *j)
{
	double work = 0;
	int i;

	for (i = 0; i < j->batch->spec->steps_nr; i++) {
		const struct batch_step *st = &j->batch->spec->steps[i];
		int left =
			batch_count_left(j->batch, j->first_open_occurrence, i);

		if (!st->is_long_running && !st->is_best_effort)
			work += (double)left * (double)st->need.cpu *
				(double)st->expected_ms;
	}
	return work;
}

/* CPU capacity of the usable servers of a pool, thousandths of a core. */
static double pool_cpu(const struct sched *s, const struct pool *p, cs_time now)
{
	double cpu = 0;
	guint i;

	for (i = 0; i < p->servers->len; i++) {
		const struct server *v = g_ptr_array_index(p->servers, i);

		if (place_is_usable(s, v, now))
			cpu += (double)v->info.capacity.cpu;
	}
	return cpu;
}

void sched_for_each_queue(const struct sched *s, sched_queue_fn fn, void *ctx)
{
	const struct site_queue *q;
	guint i, k;

	for (i = 0; s->site && (q = site_queue_at(s->site, i)); i++) {
		struct pool *p = g_hash_table_lookup(s->pools, q->terms.pool);
		double work = 0, cpu;
		int pending = 0;
		bool is_used = false;

		for (k = 0; p && k < p->jobs->len; k++) {
			const struct job *j = g_ptr_array_index(p->jobs, k);

			work += sched_work_left(j);
			if (strcmp(j->batch->queue, q->name))
				continue;
			is_used = true;
			pending += is_pending(s, j);
		}
		if (!is_used)
			continue;
		cpu = pool_cpu(s, p, s->unix_at);
		fn(ctx, q->name, pending, cpu > 0 ? (int64_t)(work / cpu) : 0);
	}
}

struct full_report {
	struct sched *sched;
	sched_workspace_fn fn;
	void *ctx;
};

static void report_full(void *ctx, const struct accepted_work_state *state)
{
	const struct full_report *r = ctx;
	GString *pairs;

	if (state->is_full)
		r->fn(r->ctx, state->workspace);
	if (!state->is_new)
		return;
	pairs = g_string_new(NULL);
	log_pair(pairs, "workspace", state->workspace);
	log_pair_int(pairs, "bytes", (int64_t)state->bytes);
	log_pair_int(pairs, "part", (int64_t)state->part);
	log_pair_int(pairs, "all_bytes",
		     (int64_t)accepted_work_bytes(r->sched->accepted));
	sched_log(r->sched,
		  state->is_full ? "workspace_full" : "workspace_has_room",
		  pairs);
}

bool sched_has_new_full_workspace(const struct sched *s)
{
	return accepted_work_is_report_due(s->accepted);
}

void sched_for_each_full_workspace(struct sched *s, sched_workspace_fn fn,
				   void *ctx)
{
	struct full_report report = { s, fn, ctx };

	counters_set(s->counters, "camphorshed_accepted_bytes", "",
		     (int64_t)accepted_work_bytes(s->accepted));
	accepted_work_report(s->accepted, report_full, &report);
}
