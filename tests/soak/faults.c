#include "world.h"

#include <stdlib.h>
#include <string.h>

#include "../../src/base/error.h"

/* Time between two faults. */
#define FAULT_MIN_MS 300
#define FAULT_MAX_MS 3000

/* Limits set by operators, so low that teams reach them most of the time. */
#define LIMIT_LOW 3
#define LIMIT_HIGH 8

/* Limit in the settling phase, so that waiting jobs can run. */
#define LIMIT_MAX 24

static int random_entry(struct world *w)
{
	return world_random_int(w, 0, w->opt.entries - 1);
}

static struct model_worker *random_worker(struct world *w)
{
	return &w->workers[world_random_int(w, 0, w->workers_nr - 1)];
}

static void on_restart(void *ctx, uint64_t entry, cs_time now)
{
	struct world *w = ctx;

	(void)now;
	if (!w->entries[entry].core)
		world_start_entry(w, (int)entry);
}

static void inject_kill(struct world *w)
{
	int i = random_entry(w);

	if (!w->entries[i].core)
		return;
	world_kill_entry(w, i);
	world_after(w, world_random_int(w, 200, 20000) * CS_MSEC, on_restart, w,
		    (uint64_t)i);
	w->injected[FAULT_KILL]++;
}

static void on_resume(void *ctx, uint64_t entry, cs_time now)
{
	(void)now;
	world_pause_entry(ctx, (int)entry, false);
}

static void inject_pause(struct world *w)
{
	int i = random_entry(w);

	if (!w->entries[i].core || w->entries[i].is_paused)
		return;
	world_pause_entry(w, i, true);
	/* Long pauses make the other entries treat this one as dead. */
	world_after(w,
		    (world_random_percent(w, 25) ?
			     world_random_int(w, 20000, 90000) :
			     world_random_int(w, 100, 20000)) *
			    CS_MSEC,
		    on_resume, w, (uint64_t)i);
	w->injected[FAULT_PAUSE]++;
}

static void cut(struct world *w, int a, int b, bool is_cut)
{
	w->data_centres[a].is_cut[b] = w->data_centres[b].is_cut[a] = is_cut;
	world_log_event(w, "cut %d-%d %s", a, b, is_cut ? "begins" : "ends");
}

/* pair: one data centre * 16 + the other. */
static void on_cut_end(void *ctx, uint64_t pair, cs_time now)
{
	(void)now;
	cut(ctx, (int)(pair / 16), (int)(pair % 16), false);
}

/* One data centre is cut off from all others. */
static void inject_data_centre_cut(struct world *w)
{
	int a = world_random_int(w, 0, w->opt.data_centres - 1), b;
	cs_time span = world_random_int(w, 500, 30000) * CS_MSEC;

	for (b = 0; b < w->opt.data_centres; b++) {
		if (b == a)
			continue;
		cut(w, a, b, true);
		world_after(w, span, on_cut_end, w,
			    (uint64_t)a * 16 + (uint64_t)b);
	}
	w->injected[FAULT_DATA_CENTRE_CUT]++;
}

static void on_platform_reconnected(void *ctx, uint64_t data_centre,
				    cs_time now)
{
	struct world *w = ctx;

	(void)now;
	w->data_centres[data_centre].is_platform_cut = false;
}

static void inject_platform_cut(struct world *w)
{
	int a = world_random_int(w, 0, w->opt.data_centres - 1);

	if (w->data_centres[a].is_platform_cut)
		return;
	w->data_centres[a].is_platform_cut = true;
	world_after(w, world_random_int(w, 500, 30000) * CS_MSEC,
		    on_platform_reconnected, w, (uint64_t)a);
	w->injected[FAULT_PLATFORM_CUT]++;
}

static void on_outage_end(void *ctx, uint64_t unused, cs_time now)
{
	struct world *w = ctx;

	(void)unused;
	(void)now;
	kv_model_set_state(w->kv, false, false);
	record_reachability(w);
	w->is_platform_out = w->is_platform_slow = false;
	world_log_event(w, "platform is back");
}

static void begin_outage(struct world *w, bool is_out)
{
	kv_model_set_state(w->kv, is_out, !is_out);
	w->is_platform_out = is_out;
	w->is_platform_slow = !is_out;
	world_log_event(w, is_out ? "platform is down" : "platform is slow");
	world_after(w, world_random_int(w, 500, 20000) * CS_MSEC, on_outage_end,
		    w, 0);
}

static void inject_outage(struct world *w)
{
	begin_outage(w, true);
	w->injected[FAULT_OUTAGE]++;
}

static void inject_slow_platform(struct world *w)
{
	begin_outage(w, false);
	w->injected[FAULT_SLOW_PLATFORM]++;
}

static void on_worker_recovery(void *ctx, uint64_t worker, cs_time now)
{
	struct world *w = ctx;
	struct model_worker *wk = &w->workers[worker];

	(void)now;
	wk->is_down = wk->is_failing_all = wk->is_silent = false;
	wk->leaving_since = 0;
}

static void schedule_worker_recovery(struct world *w,
				     const struct model_worker *wk)
{
	world_after(w, world_random_int(w, 1000, 15000) * CS_MSEC,
		    on_worker_recovery, w, (uint64_t)(wk - w->workers));
}

/* A worker that goes down loses its running tasks. */
static void drop_tasks(struct world *w, const struct model_worker *wk)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, w->tasks);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct model_task *t = value;

		if (!t->is_running || &w->workers[t->worker] != wk)
			continue;
		t->is_running = false;
		t->state = TASK_STATE_MISSING;
		w->workers[t->worker].running--;
		w->teams[t->team].running--;
	}
}

static void inject_worker_down(struct world *w)
{
	struct model_worker *wk = random_worker(w);

	wk->is_down = true;
	drop_tasks(w, wk);
	schedule_worker_recovery(w, wk);
	w->injected[FAULT_WORKER_DOWN]++;
}

static void inject_worker_failure(struct world *w)
{
	struct model_worker *wk = random_worker(w);

	wk->is_failing_all = true;
	schedule_worker_recovery(w, wk);
	w->injected[FAULT_WORKER_FAILS]++;
}

static void inject_worker_silence(struct world *w)
{
	struct model_worker *wk = random_worker(w);

	wk->is_silent = true;
	schedule_worker_recovery(w, wk);
	w->injected[FAULT_WORKER_SILENT]++;
}

static void inject_worker_leaving(struct world *w)
{
	struct model_worker *wk = random_worker(w);

	if (wk->leaving_since)
		return;
	wk->leaving_since = w->now;
	world_after(w, world_random_int(w, 8000, 25000) * CS_MSEC,
		    on_worker_recovery, w, (uint64_t)(wk - w->workers));
	w->injected[FAULT_WORKER_LEAVES]++;
}

void faults_change(struct world *w, int entry, const struct change *change,
		   uint64_t expected)
{
	struct msg *msg = msg_new(MSG_ADMIN_CALL);

	msg->u.admin_call.caller = 1;
	msg->u.admin_call.op = ADMIN_CHANGE;
	msg->u.admin_call.revision = expected;
	msg->u.admin_call.changes = g_memdup2(change, sizeof(*change));
	msg->u.admin_call.changes_nr = 1;
	world_send(w, entry, world_random_int(w, 300, 1500), msg);
}

void faults_on_admin(struct world *w, int entry, struct admin_reply *reply)
{
	gsize len = 0;
	const char *text = reply->body ? g_bytes_get_data(reply->body, &len) :
					 "";

	world_log_event(w, "operator at %s: %d %.*s", w->entries[entry].id,
			reply->status, (int)MIN(len, 120), text);
}

/* Raises the limits of all teams, so that waiting jobs can finish. */
static void raise_limits(void *ctx, uint64_t unused, cs_time now)
{
	struct world *w = ctx;
	struct change c = { .op = CHANGE_TEAM_SET };
	bool is_done = true;
	int i;

	(void)unused;
	(void)now;
	for (i = 0; i < w->opt.teams; i++) {
		if (w->teams[i].limit == LIMIT_MAX)
			continue;
		is_done = false;
		cs_copy(c.name, sizeof(c.name), w->teams[i].name);
		c.share = w->teams[i].share;
		c.limit = LIMIT_MAX;
		faults_change(w, random_entry(w), &c, 0);
	}
	if (!is_done)
		world_after(w, CS_SEC, raise_limits, w, 0);
}

static struct change data_centre_change(const struct world *w, int data_centre,
					bool is_out)
{
	struct change c = { .op = is_out ? CHANGE_DATA_CENTRE_OUT :
					   CHANGE_DATA_CENTRE_IN };

	cs_copy(c.name, sizeof(c.name), w->data_centres[data_centre].name);
	return c;
}

static void on_data_centre_return(void *ctx, uint64_t data_centre, cs_time now)
{
	struct world *w = ctx;
	struct change c = data_centre_change(w, (int)data_centre, false);

	(void)now;
	faults_change(w, random_entry(w), &c, 0);
	if (!w->is_settling)
		return;
	/* While settling, retries until the data centre is back in service. */
	if (w->data_centres[data_centre].out_since)
		world_after(w, CS_SEC, on_data_centre_return, w, data_centre);
}

static void inject_data_centre_out(struct world *w)
{
	int data_centre = world_random_int(w, 0, w->opt.data_centres - 1), i;
	struct change c = data_centre_change(w, data_centre, true);

	for (i = 0; i < w->opt.data_centres; i++)
		if (w->data_centres[i].out_since)
			return; /* operators take out one at a time */
	faults_change(w, random_entry(w), &c, 0);
	world_after(w, world_random_int(w, 8000, 30000) * CS_MSEC,
		    on_data_centre_return, w, (uint64_t)data_centre);
	w->injected[FAULT_DATA_CENTRE_OUT]++;
}

static struct change key_change(const struct world *w, int team, int key,
				bool is_grant)
{
	struct change c = { .op = is_grant ? CHANGE_KEY_GRANT :
					     CHANGE_KEY_WITHDRAW,
			    .has_digest = true };

	cs_copy(c.name, sizeof(c.name), w->teams[team].name);
	g_snprintf(c.label, sizeof(c.label), "k%d", key);
	memcpy(c.digest, w->teams[team].keys[key], sizeof(c.digest));
	return c;
}

static void on_key_regranted(void *ctx, uint64_t which, cs_time now)
{
	struct world *w = ctx;
	struct change c = key_change(w, (int)(which / KEYS_PER_TEAM),
				     (int)(which % KEYS_PER_TEAM), true);

	(void)now;
	faults_change(w, random_entry(w), &c, 0);
}

static void inject_key_withdrawal(struct world *w)
{
	int team = world_random_int(w, 0, w->opt.teams - 1);
	int key = world_random_int(w, 0, KEYS_PER_TEAM - 1);
	struct change c = key_change(w, team, key, false);

	faults_change(w, random_entry(w), &c, 0);
	world_after(w, world_random_int(w, 8000, 20000) * CS_MSEC,
		    on_key_regranted, w,
		    (uint64_t)team * KEYS_PER_TEAM + (uint64_t)key);
	w->injected[FAULT_KEY_WITHDRAWN]++;
}

static void inject_limit_change(struct world *w)
{
	struct model_team *t =
		&w->teams[world_random_int(w, 0, w->opt.teams - 1)];
	struct change c = { .op = CHANGE_TEAM_SET, .share = t->share };

	cs_copy(c.name, sizeof(c.name), t->name);
	c.limit = world_random_int(w, LIMIT_LOW, LIMIT_HIGH);
	faults_change(w, random_entry(w), &c, 0);
	w->injected[FAULT_LIMIT_CHANGED]++;
}

/* Two operators change the preset from the same revision. */
static void inject_operator_race(struct world *w)
{
	struct change c = { .op = CHANGE_PRESET };
	uint64_t expected = w->doc ? document_revision(w->doc) : 0;
	int i;

	for (i = 0; i < 2; i++) {
		cs_copy(c.name, sizeof(c.name),
			preset_name((enum preset)world_random_int(w, 0, 2)));
		faults_change(w, random_entry(w), &c, expected);
	}
	w->injected[FAULT_OPERATOR_RACE]++;
}

/* which: generation of the entry * 16 + its index. */
static void on_drain_check(void *ctx, uint64_t which, cs_time now)
{
	struct world *w = ctx;
	struct model_entry *e = &w->entries[which % 16];

	(void)now;
	if (!e->core || !e->drain_started_at || e->generation != which / 16)
		return;
	if (e->is_paused || !entry_is_drained(e->core)) {
		/*
		 * Operators kill the entry if the drain takes longer than 40 s,
		 * since long work may have no other entry to go to.
		 */
		if (w->now - e->drain_started_at < 40 * CS_SEC) {
			world_after(w, 50 * CS_MSEC, on_drain_check, w, which);
			return;
		}
	} else {
		check(w, INV_GRACEFUL, e->waiting_callers == 0,
		      "entry %s ended with %d callers waiting", e->id,
		      e->waiting_callers);
	}
	world_kill_entry(w, e->index);
	world_after(w, world_random_int(w, 200, 5000) * CS_MSEC, on_restart, w,
		    (uint64_t)e->index);
}

static void inject_drain(struct world *w)
{
	struct model_entry *e = &w->entries[random_entry(w)];

	if (!e->core || e->is_paused || e->drain_started_at)
		return;
	e->drain_started_at = w->now;
	e->last_fault_at = w->now;
	world_log_event(w, "drain entry=%s", e->id);
	world_send(w, e->index, 1, msg_new(MSG_DRAIN));
	world_after(w, CS_SEC, on_drain_check, w,
		    e->generation * 16 + (uint64_t)e->index);
	w->injected[FAULT_DRAIN]++;
}

/* Many callers of one entry close their connections at once. */
static void inject_cancel_wave(struct world *w)
{
	int entry = random_entry(w);
	struct model_call *call;
	struct msg *msg;
	guint i = w->calls->len > 300 ? w->calls->len - 300 : 0;

	for (; i < w->calls->len; i++) {
		call = &g_array_index(w->calls, struct model_call, i);
		if (call->entry != entry || call->is_answered ||
		    call->is_gone ||
		    call->generation != w->entries[entry].generation)
			continue;
		call->is_gone = true;
		w->entries[entry].waiting_callers--;
		msg = msg_new(MSG_CALLER_GONE);
		msg->u.caller = i + 1;
		world_send(w, entry, 1 + i % 7, msg);
	}
	w->injected[FAULT_CANCEL_WAVE]++;
}

typedef void (*inject_fn)(struct world *w);

static const inject_fn injectors[] = {
	inject_kill,	       inject_pause,	       inject_data_centre_cut,
	inject_platform_cut,   inject_outage,	       inject_slow_platform,
	inject_worker_down,    inject_worker_failure,  inject_worker_silence,
	inject_worker_leaving, inject_data_centre_out, inject_key_withdrawal,
	inject_limit_change,   inject_operator_race,   inject_drain,
	inject_cancel_wave,
};

static void on_fault(void *ctx, uint64_t unused, cs_time now)
{
	struct world *w = ctx;

	(void)unused;
	(void)now;
	if (w->is_settling)
		return;
	injectors[world_random_int(w, 0, G_N_ELEMENTS(injectors) - 1)](w);
	/* Sometimes two faults start at once. */
	if (world_random_percent(w, 20))
		injectors[world_random_int(w, 0, G_N_ELEMENTS(injectors) - 1)](
			w);
	world_after(w,
		    world_random_int(w, FAULT_MIN_MS, FAULT_MAX_MS) * CS_MSEC,
		    on_fault, w, 0);
}

void faults_start(struct world *w)
{
	world_after(w, 8 * CS_SEC, on_fault, w, 0);
}

void faults_end_all(struct world *w)
{
	int i, b;

	w->is_settling = true;
	kv_model_set_state(w->kv, false, false);
	record_reachability(w);
	w->is_platform_out = w->is_platform_slow = false;
	for (i = 0; i < w->opt.data_centres; i++) {
		w->data_centres[i].is_platform_cut = false;
		for (b = 0; b < w->opt.data_centres; b++)
			w->data_centres[i].is_cut[b] = false;
		if (w->data_centres[i].out_since)
			on_data_centre_return(w, (uint64_t)i, w->now);
	}
	raise_limits(w, 0, w->now);
	for (i = 0; i < w->workers_nr; i++)
		on_worker_recovery(w, (uint64_t)i, w->now);
	for (i = 0; i < w->opt.entries; i++) {
		world_pause_entry(w, i, false);
		if (!w->entries[i].core)
			world_start_entry(w, i);
	}
}
