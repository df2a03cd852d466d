#include "planner.h"

#include <inttypes.h>
#include <string.h>

#include "../base/error.h"
#include "../base/log.h"
#include "../config/config_sync.h"
#include "../fleet/fleet.h"
#include "planner_state.h"

/*
 * Only one entry plans at a time, to save work. Safety does not depend on it:
 * every change is a compare-and-swap of the fleet document at the revision on
 * which it was planned.
 */

/* Time between rounds; bursts last minutes, and drains take seconds. */
#define ROUND_INTERVAL (2 * CS_SEC)
#define ROUND_JITTER_MS 200

/* After a clock jump, demand and the host list have to be received again. */
#define PAUSE_AFTER_CLOCK_JUMP (10 * CS_SEC)

/*
 * While the outcome of a change is unknown, nothing is planned. A change that
 * took effect arrives within 7 s, the bound for configuration.
 */
#define PAUSE_AFTER_UNKNOWN_OUTCOME (10 * CS_SEC)

/* How long a state waits for the replies to its calls. */
#define PLANNER_CALL_TIMEOUT (20 * CS_SEC)

/* How often the reports of other data centres are read. */
#define DOWN_READ_INTERVAL (10 * CS_SEC)

/*
 * All records are written at least this often. A planner that fails loses the
 * time since the last write from their clocks.
 */
#define RECORD_INTERVAL (3600 * CS_SEC)

/* Most steps in one change of the document; later rounds take the others. */
#define STEPS_MAX 32

/* A host whose step the document refused gets no step for this long. */
#define HOST_BACKOFF_TIME (60 * CS_SEC)

struct msg *planner_new_call(struct part_ctx *ctx, enum planner_call kind,
			     enum kv_op op, const char *key)
{
	struct planner *p = ctx->parts.planner;
	struct msg *msg =
		part_kv_call(PART_PLANNER, op, key, p->epoch * CALL_NR + kind);

	if (op == KV_CAS)
		g_snprintf(msg->u.kv_call.change_id,
			   sizeof(msg->u.kv_call.change_id),
			   "p%08x-%" PRIx64 "-%" PRIx64,
			   g_str_hash(ctx->options->id),
			   ctx->options->incarnation, (uint64_t)ctx->now);
	return msg;
}

/* Callers set p->pending_calls afterwards if the state waits for replies. */
static void set_state(struct part_ctx *ctx, enum planner_state state)
{
	struct planner *p = ctx->parts.planner;

	p->state = state;
	p->since = ctx->now;
	p->pending_calls = 0;
}

/* Discards the plan under way. The document holds the steps taken so far. */
static void stop_planning(struct part_ctx *ctx, const char *reason)
{
	struct planner *p = ctx->parts.planner;

	p->idle_reason = reason;
	if (p->state == PLANNER_IDLE)
		return;
	p->epoch++;
	set_state(ctx, PLANNER_IDLE);
	g_array_set_size(p->changes, 0);
	g_hash_table_remove_all(p->dirty_records);
	g_hash_table_remove_all(p->records);
	memset(&p->pace, 0, sizeof(p->pace));
	g_hash_table_remove_all(p->history);
	g_hash_table_remove_all(p->observations);
	g_free(p->last_plan);
	p->last_plan = NULL;
}

static void read_down_reports(struct part_ctx *ctx)
{
	ctx->parts.planner->remote_down_read = ctx->now;
	part_emit(ctx, planner_new_call(ctx, CALL_OTHER_REPORTS, KV_LIST,
					DOWN_PREFIX));
}

/*
 * Reads the records and the reports of failed hosts. The new epoch makes the
 * planner ignore late replies to earlier calls.
 */
static void start_reading(struct part_ctx *ctx)
{
	struct planner *p = ctx->parts.planner;

	p->epoch++;
	g_array_set_size(p->changes, 0);
	set_state(ctx, PLANNER_READING);
	p->pending_calls = 2;
	part_emit(ctx,
		  planner_new_call(ctx, CALL_RECORDS, KV_LIST, RECORD_PREFIX));
	read_down_reports(ctx);
}

/*
 * True if this entry is the leader of the first data centre that is in service
 * and has one.
 */
static bool is_planning_entry(const struct part_ctx *ctx)
{
	const struct doc_data_centre *dcs;
	const char *leader;
	size_t nr, i;

	dcs = document_data_centres(config_sync_document(ctx), &nr);
	for (i = 0; i < nr; i++) {
		if (dcs[i].is_out)
			continue;
		leader = part_leader_entry(ctx, dcs[i].name);
		if (leader)
			return !strcmp(leader, ctx->options->id);
	}
	return false;
}

static bool is_leader(const struct part_ctx *ctx)
{
	return !strcmp(part_leader_entry(ctx, ctx->options->data_centre),
		       ctx->options->id);
}

/* Returns why this entry must not change the document now, or NULL. */
static const char *reason_not_to_plan(const struct part_ctx *ctx)
{
	const struct planner *p = ctx->parts.planner;

	if (ctx->is_draining)
		return "draining";
	if (!document_revision(config_sync_document(ctx)))
		return "no_document";
	if (!config_sync_is_platform_up(ctx))
		return "platform_down";
	if (config_sync_is_isolated(ctx))
		return "isolated";
	if (!config_sync_is_fresh(ctx))
		return "configuration_not_fresh";
	if (ctx->now < p->planning_paused_until)
		return "clock_jump_or_unknown_outcome";
	return NULL;
}

/* Logs a planned step. The document may still refuse its change. */
static void log_step(struct part_ctx *ctx, const struct change *c,
		     enum plan_reason reason)
{
	static const char *const names[CHANGE_OP_NR] = {
		[CHANGE_HOST_DRAIN] = "host_drain",
		[CHANGE_HOST_EMPTY] = "host_empty",
		[CHANGE_HOST_RETURN] = "host_return",
		[CHANGE_HOST_MOVE] = "host_move",
	};
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "event", names[c->op]);
	log_pair(pairs, "host", c->name);
	if (*c->pool)
		log_pair(pairs, "pool", c->pool);
	log_pair(pairs, "reason", plan_reason_name(reason));
	part_event(ctx, LOG_INFO, "planner", NULL, NULL, pairs);
}

static void add_change(struct part_ctx *ctx, enum change_op op,
		       const char *host, const char *pool,
		       enum plan_reason reason)
{
	struct change c = { .op = op };

	cs_copy(c.name, sizeof(c.name), host);
	cs_copy(c.pool, sizeof(c.pool), pool);
	g_array_append_val(ctx->parts.planner->changes, c);
	log_step(ctx, &c, reason);
}

/* Notes the purpose of a drain in the host's record. */
static void record_drain(struct part_ctx *ctx, const struct doc_host *host,
			 const struct plan_step *s, const char *pool)
{
	struct host_record *row = planner_host_record(ctx, host);
	bool is_home = !*row->home;

	row->purpose = s->purpose;
	if (s->purpose == PURPOSE_MOVE) {
		if (is_home)
			cs_copy(row->home, sizeof(row->home), host->pool);
		cs_copy(row->target, sizeof(row->target), pool);
	}
}

/* Translates a step into changes and updates the host's record. */
static void translate_step(struct part_ctx *ctx, const struct plan_step *s)
{
	struct planner *p = ctx->parts.planner;
	const struct document *doc = config_sync_document(ctx);
	const struct doc_host *host;
	const struct doc_pool *pool;
	struct host_record *row;
	size_t nr;

	host = &document_hosts(doc, &nr)[s->host];
	pool = &document_pools(doc, &nr)[s->pool];
	if ((size_t)s->pool >= nr)
		return; /* the host's pool is not in the document */
	if (s->op == PLAN_EMPTY) {
		add_change(ctx, CHANGE_HOST_EMPTY, host->name, "", s->reason);
		return;
	}
	row = planner_host_record(ctx, host);
	g_hash_table_add(p->dirty_records,
			 ((struct record_table *)g_hash_table_lookup(
				  p->records, host->data_centre))
				 ->data_centre);
	if (s->op == PLAN_DRAIN) {
		record_drain(ctx, host, s, pool->name);
		add_change(ctx, CHANGE_HOST_DRAIN, host->name, "", s->reason);
		return;
	}
	row->is_returning = true;
	if (s->purpose == PURPOSE_MOVE)
		cs_copy(row->target, sizeof(row->target), pool->name);
	if (s->purpose == PURPOSE_MAINTAIN)
		row->maintained = record_table_clock(
			g_hash_table_lookup(p->records, host->data_centre),
			ctx->now);
	if (strcmp(pool->name, host->pool) != 0)
		add_change(ctx, CHANGE_HOST_MOVE, host->name, pool->name,
			   s->reason);
	add_change(ctx, CHANGE_HOST_RETURN, host->name, "", s->reason);
}

/* Delays further steps of the hosts of a refused change. */
static void back_off_hosts(struct part_ctx *ctx)
{
	struct planner *p = ctx->parts.planner;
	struct host_observation *observation;
	guint i;

	for (i = 0; i < p->changes->len; i++) {
		observation = g_hash_table_lookup(
			p->observations,
			g_array_index(p->changes, struct change, i).name);
		if (observation)
			observation->backoff_until =
				ctx->now + HOST_BACKOFF_TIME;
	}
}

/*
 * Handles the result of a change. After a timeout planning pauses, because the
 * change may still take effect. After an invalid change its hosts back off.
 */
static void on_change_result(struct part_ctx *ctx, uint64_t ref, int code,
			     uint64_t revision, const char *detail)
{
	struct planner *p = ctx->parts.planner;
	GString *pairs;
	char labels[64];

	g_snprintf(labels, sizeof(labels), "result=\"%s\"",
		   code ? cs_code_name(code) : "ok");
	counters_add(ctx->counters, "planner_changes_total", labels, 1);
	if (ref != p->epoch || p->state != PLANNER_CHANGING)
		return;
	if (code == CS_OK)
		p->min_revision = revision;
	else if (code == CS_ERR_TIMEOUT)
		p->planning_paused_until =
			ctx->now + PAUSE_AFTER_UNKNOWN_OUTCOME;
	else if (code == CS_ERR_INVALID)
		back_off_hosts(ctx);
	if (code) {
		pairs = g_string_new(NULL);
		log_pair(pairs, "event", "plan_refused");
		log_pair(pairs, "code", cs_code_name(code));
		log_pair(pairs, "detail", detail ? detail : "");
		part_event(ctx, LOG_INFO, "planner", NULL, NULL, pairs);
	}
	set_state(ctx, PLANNER_READY);
}

/* Sends all steps as one change, so that all or none are applied. */
static void send_changes(struct part_ctx *ctx)
{
	struct planner *p = ctx->parts.planner;

	if (!p->changes->len) {
		set_state(ctx, PLANNER_READY);
		return;
	}
	set_state(ctx, PLANNER_CHANGING);
	config_sync_change(ctx, p->epoch, (struct change *)p->changes->data,
			   p->changes->len, p->planned_revision, false,
			   on_change_result);
}

/* Writes the changed records. The changes are sent when all are stored. */
static void write_records(struct part_ctx *ctx)
{
	struct planner *p = ctx->parts.planner;
	const struct record_table *t;
	GHashTableIter it;
	gpointer value;
	struct msg *msg;
	char key[128];

	set_state(ctx, PLANNER_RECORDING);
	g_hash_table_iter_init(&it, p->dirty_records);
	while (g_hash_table_iter_next(&it, &value, NULL)) {
		t = g_hash_table_lookup(p->records, value);
		g_snprintf(key, sizeof(key), RECORD_PREFIX "%s",
			   t->data_centre);
		msg = planner_new_call(ctx, CALL_RECORDS, KV_CAS, key);
		msg->u.kv_call.version = t->version;
		msg->u.kv_call.value = record_table_encode(t, ctx->now);
		p->pending_calls++;
		part_emit(ctx, msg);
	}
	counters_add(ctx->counters, "planner_record_writes_total", "",
		     p->pending_calls);
	g_hash_table_remove_all(p->dirty_records);
}

/* Marks all records to be written if RECORD_INTERVAL has passed. */
static void mark_records_if_due(struct part_ctx *ctx)
{
	struct planner *p = ctx->parts.planner;
	GHashTableIter it;
	gpointer key;

	if (ctx->now - p->records_written < RECORD_INTERVAL)
		return;
	p->records_written = ctx->now;
	g_hash_table_iter_init(&it, p->records);
	while (g_hash_table_iter_next(&it, &key, NULL))
		g_hash_table_add(p->dirty_records, key);
}

/*
 * Makes a plan and sends its steps, unless the plan would exceed a budget.
 * Records are written before the changes, so that another planner can finish
 * the steps that this one began.
 */
static void run_round(struct part_ctx *ctx)
{
	struct planner *p = ctx->parts.planner;
	struct plan_input in;
	guint i;

	planner_input_gather(ctx, &in);
	plan_decide(p->plan, &in);
	planner_input_save(ctx, &in);
	g_free(p->last_plan);
	p->last_plan = planner_render(ctx);
	if (part_check_invariant(ctx, "availability-budget",
				 plan_respects_budgets(p->plan, &in))) {
		p->planned_revision =
			document_revision(config_sync_document(ctx));
		g_array_set_size(p->changes, 0);
		for (i = 0; i < p->plan->steps->len && i < STEPS_MAX; i++)
			translate_step(ctx,
				       &g_array_index(p->plan->steps,
						      struct plan_step, i));
		mark_records_if_due(ctx);
		if (g_hash_table_size(p->dirty_records))
			write_records(ctx);
		else
			send_changes(ctx);
	}
	planner_input_clear(&in);
}

/*
 * Advances the planner by one round. If a state has waited for a reply longer
 * than PLANNER_CALL_TIMEOUT, everything is read again.
 */
static void advance_planner(struct part_ctx *ctx)
{
	struct planner *p = ctx->parts.planner;

	switch (p->state) {
	case PLANNER_IDLE:
		p->records_written = ctx->now;
		start_reading(ctx);
		break;
	case PLANNER_READY:
		if (document_revision(config_sync_document(ctx)) <
		    p->min_revision)
			break;
		if (ctx->now - p->remote_down_read >= DOWN_READ_INTERVAL)
			read_down_reports(ctx);
		run_round(ctx);
		break;
	default:
		if (ctx->now - p->since >= PLANNER_CALL_TIMEOUT)
			start_reading(ctx);
		break;
	}
}

/*
 * A refused change needs no action: the next round finds the same hosts
 * draining and tries again on the new document.
 */
static void on_empty_result(struct part_ctx *ctx, uint64_t ref, int code,
			    uint64_t revision, const char *detail)
{
	(void)ref;
	(void)code;
	(void)revision;
	(void)detail;
	ctx->parts.planner->is_emptying = false;
}

/* Marks draining hosts of this data centre without tasks as empty. */
static void mark_idle_hosts_empty(struct part_ctx *ctx)
{
	struct planner *p = ctx->parts.planner;
	const struct document *doc = config_sync_document(ctx);
	const struct host_load *load;
	const struct doc_host *hosts;
	struct change changes[STEPS_MAX];
	size_t nr, i, n = 0;

	hosts = document_hosts(doc, &nr);
	for (i = 0; i < nr && n < STEPS_MAX; i++) {
		if (hosts[i].state != HOST_DRAINING ||
		    strcmp(hosts[i].data_centre, ctx->options->data_centre) !=
			    0)
			continue;
		load = g_hash_table_lookup(p->loads, hosts[i].name);
		if (load && !load->is_idle)
			continue;
		memset(&changes[n], 0, sizeof(changes[n]));
		changes[n].op = CHANGE_HOST_EMPTY;
		cs_copy(changes[n].name, sizeof(changes[n].name),
			hosts[i].name);
		log_step(ctx, &changes[n++], REASON_NOTHING_RUNS);
	}
	if (!n)
		return;
	p->is_emptying = true;
	config_sync_change(ctx, 0, changes, n, document_revision(doc), false,
			   on_empty_result);
}

/*
 * Does the work of a leader for its data centre. The planning entry empties
 * hosts by its plan.
 */
static void run_leader_duties(struct part_ctx *ctx, bool is_planning_here)
{
	struct planner *p = ctx->parts.planner;

	down_report_send(ctx);
	if (!is_planning_here && !p->is_emptying)
		mark_idle_hosts_empty(ctx);
}

/*
 * Each round checks whether this entry is the planning entry, and whether it is
 * the leader of its data centre, which reports the failed hosts there.
 */
static void on_round_timer(void *arg, uint64_t unused, cs_time now)
{
	struct part_ctx *ctx = arg;
	const char *reason;
	bool is_planning_here;

	(void)unused;
	ctx->now = now;
	timers_subscribe(ctx->timers,
			 now + ROUND_INTERVAL +
				 g_rand_int_range(ctx->rng, -ROUND_JITTER_MS,
						  ROUND_JITTER_MS) *
					 CS_MSEC,
			 on_round_timer, ctx, 0);
	reason = reason_not_to_plan(ctx);
	is_planning_here = !reason && is_planning_entry(ctx);
	if (!is_planning_here)
		stop_planning(ctx, reason ? reason : "another_entry_plans");
	if (reason || !is_leader(ctx)) {
		ctx->parts.planner->report.is_current = false;
		return;
	}
	down_report_update_loads(ctx);
	run_leader_duties(ctx, is_planning_here);
	if (is_planning_here)
		advance_planner(ctx);
}

/* Replaces the records by those that the platform stores. */
static void load_records(struct part_ctx *ctx, const struct kv_done *done)
{
	struct planner *p = ctx->parts.planner;
	struct record_table *t;
	struct cs_error err;
	GString *pairs;
	size_t i;

	g_hash_table_remove_all(p->dirty_records);
	g_hash_table_remove_all(p->records);
	for (i = 0; i < done->rows_nr; i++) {
		const struct kv_row *row = &done->rows[i];

		if (!row->version || !row->value ||
		    !g_str_has_prefix(row->key, RECORD_PREFIX))
			continue;
		t = record_table_create(row->key + strlen(RECORD_PREFIX),
					ctx->now);
		t->version = row->version;
		g_hash_table_replace(p->records, t->data_centre, t);
		if (!record_table_decode(t, row->value, ctx->now, &err))
			continue;
		/* The hosts of a malformed table are treated as new. */
		pairs = g_string_new(NULL);
		log_pair(pairs, "event", "record_malformed");
		log_pair(pairs, "message", err.message);
		part_event(ctx, LOG_ERROR, err.step, row->key, NULL, pairs);
	}
}

/*
 * Handles the results of reading and writing records. After any unexpected
 * result the planner starts again.
 */
static void on_records(struct part_ctx *ctx, const struct kv_done *done)
{
	struct planner *p = ctx->parts.planner;
	struct record_table *t;

	if (done->op == KV_LIST && p->state == PLANNER_READING &&
	    (done->result == KV_OK || done->result == KV_MISSING)) {
		load_records(ctx, done);
		if (!--p->pending_calls)
			set_state(ctx, PLANNER_READY);
		return;
	}
	t = g_str_has_prefix(done->key, RECORD_PREFIX) ?
		    g_hash_table_lookup(p->records,
					done->key + strlen(RECORD_PREFIX)) :
		    NULL;
	if (done->op == KV_CAS && p->state == PLANNER_RECORDING && t &&
	    done->result == KV_OK) {
		t->version = done->version;
		if (!--p->pending_calls)
			send_changes(ctx);
		return;
	}
	/* Another planner wrote, or the outcome is unknown: start again. */
	stop_planning(ctx, "records_not_current");
}

/*
 * Dispatches a result by the purpose in its token. Results of earlier epochs
 * are ignored, except for this entry's own report, which does not depend on a
 * plan.
 */
static void planner_on_kv(struct part_ctx *ctx, const struct kv_done *done)
{
	struct planner *p = ctx->parts.planner;

	switch ((enum planner_call)(done->token % CALL_NR)) {
	case CALL_OWN_REPORT:
		down_report_on_kv(ctx, done);
		break;
	case CALL_OTHER_REPORTS:
		if (done->token / CALL_NR != p->epoch)
			break;
		down_report_read_others(ctx, done);
		if (p->state == PLANNER_READING && !--p->pending_calls)
			set_state(ctx, PLANNER_READY);
		break;
	case CALL_RECORDS:
		if (done->token / CALL_NR == p->epoch)
			on_records(ctx, done);
		break;
	default:
		break;
	}
}

void planner_describe(const struct part_ctx *ctx, GString *out)
{
	const struct planner *p = ctx->parts.planner;

	if (p->last_plan)
		g_string_append(out, p->last_plan);
	else
		g_string_append_printf(out,
				       "{\"planning\":false,\"reason\":\"%s\","
				       "\"steps\":[],\"refusals\":[]}",
				       p->idle_reason ? p->idle_reason :
							"starting");
}

/* Others may have changed the state during the jump. */
static void planner_on_jump(struct part_ctx *ctx)
{
	stop_planning(ctx, "clock_jump");
	ctx->parts.planner->planning_paused_until =
		ctx->now + PAUSE_AFTER_CLOCK_JUMP;
}

static void planner_drain(struct part_ctx *ctx)
{
	stop_planning(ctx, "draining");
}

/*
 * The first round is at a random time, so that entries that start together do
 * not read at the same time.
 */
static void planner_start(struct part_ctx *ctx)
{
	timers_subscribe(ctx->timers,
			 ctx->now +
				 g_rand_int_range(ctx->rng, 1, 2000) * CS_MSEC,
			 on_round_timer, ctx, 0);
}

static void free_table(gpointer table)
{
	record_table_destroy(table);
}

/* dirty_records borrows its keys from records; the other tables own theirs. */
static int planner_create(struct part_ctx *ctx, struct cs_error *err)
{
	struct planner *p = g_new0(struct planner, 1);

	(void)err;
	ctx->parts.planner = p;
	p->epoch = 1;
	p->records = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					   free_table);
	p->dirty_records = g_hash_table_new(g_str_hash, g_str_equal);
	p->history =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->observations =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->loads =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	p->remote_down =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	p->changes = g_array_new(FALSE, FALSE, sizeof(struct change));
	p->plan = plan_create();
	return CS_OK;
}

/* dirty_records is destroyed before records, whose keys it borrows. */
static void planner_destroy(struct part_ctx *ctx)
{
	struct planner *p = ctx->parts.planner;

	if (!p)
		return;
	g_hash_table_destroy(p->dirty_records);
	g_hash_table_destroy(p->records);
	g_hash_table_destroy(p->history);
	g_hash_table_destroy(p->observations);
	g_hash_table_destroy(p->loads);
	g_hash_table_destroy(p->remote_down);
	g_array_free(p->changes, TRUE);
	plan_destroy(p->plan);
	g_free(p->last_plan);
	g_free(p->report.stored_text);
	g_free(p->report.sent_text);
	g_free(p);
	ctx->parts.planner = NULL;
}

const struct part_ops planner_part = {
	.name = "planner",
	.create = planner_create,
	.destroy = planner_destroy,
	.start = planner_start,
	.on_kv = planner_on_kv,
	.on_jump = planner_on_jump,
	.drain = planner_drain,
};
