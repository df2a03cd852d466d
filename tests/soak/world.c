#include "world.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "../../src/base/error.h"
#include "../../src/config/codec.h"
#include "../../src/team/team.h"

/* An unreachable peer is reported as down after this time. */
#define LINK_SILENCE (2 * CS_SEC)

/* Interval between checks of the links, and between retransmissions. */
#define LINK_CHECK (100 * CS_MSEC)

/* Messages that are queued for a paused process; more are dropped. */
#define INBOX_MAX 100000

int world_random_int(struct world *w, int lo, int hi)
{
	return hi <= lo ? lo : g_rand_int_range(w->rng, lo, hi + 1);
}

bool world_random_percent(struct world *w, double percent)
{
	return g_rand_double_range(w->rng, 0, 100) < percent;
}

void world_log_event(struct world *w, const char *fmt, ...)
{
	char **line = &w->event_log[w->event_log_next++ % EVENT_LINES];
	GString *text = g_string_new(NULL);
	va_list args;

	g_string_printf(text, "t=%.6f ", (double)w->now / (double)CS_SEC);
	va_start(args, fmt);
	g_string_append_vprintf(text, fmt, args);
	va_end(args);
	g_free(*line);
	*line = g_string_free(text, FALSE);
}

void world_after(struct world *w, cs_time delay, timer_fn fn, void *ctx,
		 uint64_t arg)
{
	timers_subscribe(w->timers, w->now + (delay > 0 ? delay : 0), fn, ctx,
			 arg);
}

static void schedule_wake(struct model_entry *e);

static cs_time local_time(const struct model_entry *e)
{
	return e->w->now + e->clock_offset;
}

/* Schedules the next wake-up of a core after it has run. */
static void reschedule_core(struct model_entry *e)
{
	if (e->core)
		schedule_wake(e);
}

static void on_wake(void *ctx, uint64_t generation, cs_time now)
{
	struct model_entry *e = ctx;

	(void)now;
	if (!e->core || e->generation != generation || e->is_paused ||
	    e->next_wake > e->w->now)
		return;
	e->next_wake = CS_TIME_NEVER;
	entry_advance(e->core, local_time(e));
	reschedule_core(e);
}

static void schedule_wake(struct model_entry *e)
{
	cs_time due = entry_next_due(e->core);

	if (due == CS_TIME_NEVER)
		return;
	due -= e->clock_offset;
	if (due <= e->w->now)
		due = e->w->now + 1;
	if (due >= e->next_wake)
		return;
	e->next_wake = due;
	world_after(e->w, due - e->w->now, on_wake, e, e->generation);
}

struct delivery {
	struct world *w;
	int entry;
	uint64_t generation;
	struct msg *msg;
	struct model_link *link; /* NULL: not from a peer */
	uint64_t epoch;
	int from;
};

static void deliver_now(struct model_entry *e, struct msg *msg)
{
	if (!e->core) {
		msg_free(msg);
		return;
	}
	if (e->is_paused) {
		if (g_queue_get_length(&e->inbox) < INBOX_MAX)
			g_queue_push_tail(&e->inbox, msg);
		else
			msg_free(msg);
		return;
	}
	entry_handle(e->core, msg, local_time(e));
	reschedule_core(e);
}

static void on_delivery(void *ctx, uint64_t unused, cs_time now)
{
	struct delivery *d = ctx;
	struct model_entry *e = &d->w->entries[d->entry];

	(void)unused;
	(void)now;
	if (e->generation != d->generation ||
	    (d->link && d->link->epoch != d->epoch)) {
		msg_free(d->msg);
		g_free(d);
		return;
	}
	if (d->link && !world_reachable(d->w, d->from, d->entry) &&
	    !e->is_paused) {
		/* TCP retransmits until the connection ends. */
		world_after(d->w, LINK_CHECK, on_delivery, d, 0);
		return;
	}
	deliver_now(e, d->msg);
	g_free(d);
}

void world_send(struct world *w, int entry, cs_time delay, struct msg *msg)
{
	struct delivery *d = g_new0(struct delivery, 1);

	d->w = w;
	d->entry = entry;
	d->generation = w->entries[entry].generation;
	d->msg = msg;
	world_after(w, delay, on_delivery, d, 0);
}

static struct model_link *link_of(struct world *w, int a, int b)
{
	return a < b ? &w->links[a][b] : &w->links[b][a];
}

bool world_reachable(const struct world *w, int a, int b)
{
	const struct model_entry *x = &w->entries[a], *y = &w->entries[b];

	return x->core && y->core && !x->is_paused && !y->is_paused &&
	       !w->data_centres[x->data_centre].is_cut[y->data_centre];
}

/* The reply of the peer task to a forward that it could not send. */
static void refuse_forward(struct model_entry *e, const struct peer_msg *peer)
{
	struct msg *msg = msg_new(MSG_PEER);

	msg->u.peer.kind = PEER_FORWARD_REPLY;
	msg->u.peer.ref = peer->ref;
	cs_copy(msg->u.peer.peer, sizeof(msg->u.peer.peer), peer->peer);
	msg->u.peer.u.forward_reply.outcome = OUTCOME_NOT_RUN;
	msg->u.peer.u.forward_reply.status = 503;
	cs_copy(msg->u.peer.u.forward_reply.reason,
		sizeof(msg->u.peer.u.forward_reply.reason), "peer_down");
	world_send(e->w, e->index, 1, msg);
}

/* The approximate size of the encoded message, for benchmarks. */
static uint64_t peer_size(const struct peer_msg *peer)
{
	switch (peer->kind) {
	case PEER_SUMMARY:
		return 32 + 40 * peer->u.summary.rows_nr;
	case PEER_CONFIG:
		return 32 + g_bytes_get_size(peer->u.config.document);
	default:
		return 48;
	}
}

static void send_peer(struct model_entry *e, struct msg *msg)
{
	struct world *w = e->w;
	struct model_link *link;
	struct delivery *d;
	cs_time arrival, *last;
	int to;

	for (to = 0; to < w->opt.entries; to++)
		if (!strcmp(w->entries[to].id, msg->u.peer.peer))
			break;
	if (to == w->opt.entries || to == e->index ||
	    !link_of(w, e->index, to)->is_up) {
		if (msg->u.peer.kind == PEER_FORWARD)
			refuse_forward(e, &msg->u.peer);
		msg_free(msg);
		return;
	}
	w->peer_bytes += peer_size(&msg->u.peer);
	link = link_of(w, e->index, to);
	cs_copy(msg->u.peer.peer, sizeof(msg->u.peer.peer), e->id);
	msg->u.peer.incarnation = e->incarnation;
	last = &link->last_arrival[e->index < to];
	arrival = w->now + world_random_int(w, 200, 2000);
	/* A lost packet delays all messages behind it. */
	if (!w->opt.no_faults && !w->is_settling &&
	    world_random_percent(w, 0.2)) {
		arrival += world_random_int(w, 50, 1200) * CS_MSEC;
		w->injected[FAULT_SLOW_LINK]++;
	}
	if (arrival <= *last)
		arrival = *last + 1;
	*last = arrival;
	d = g_new0(struct delivery, 1);
	d->w = w;
	d->entry = to;
	d->generation = w->entries[to].generation;
	d->msg = msg;
	d->link = link;
	d->epoch = link->epoch;
	d->from = e->index;
	world_after(w, arrival - w->now, on_delivery, d, 0);
}

static void log_core_event(struct model_entry *e, const struct msg *msg)
{
	const struct event_line *line = &msg->u.event;

	world_log_event(e->w, "entry=%s step=%s peer=%s %s", e->id, line->step,
			line->peer, line->pairs ? line->pairs->str : "");
	if (line->pairs && strstr(line->pairs->str, "invariant_violated"))
		check(e->w, INV_INTERNAL, false, "entry %s: %s", e->id,
		      line->pairs->str);
}

/* Adds up how often a core has checked its own invariants. */
static void count_core_checks(struct world *w, GBytes *text)
{
	static const char name[] = "invariant_checks_total{";
	gsize len;
	const char *s = g_bytes_get_data(text, &len);
	gchar **lines, **line;
	gchar *copy = g_strndup(s, len);

	lines = g_strsplit(copy, "\n", -1);
	for (line = lines; *line; line++)
		if (g_str_has_prefix(*line, name))
			w->checks[INV_INTERNAL] +=
				g_ascii_strtoull(strrchr(*line, ' '), NULL, 10);
	g_strfreev(lines);
	g_free(copy);
}

/* Handles the output messages of a core. */
static void emit(void *ctx, struct msg *msg)
{
	struct model_entry *e = ctx;
	struct world *w = e->w;

	switch (msg->type) {
	case MSG_REPLY:
		callers_on_reply(w, e->index, &msg->u.reply);
		break;
	case MSG_TASK_START:
		worker_model_start(w, e->index, &msg->u.task_start);
		break;
	case MSG_TASK_CONTROL:
		worker_model_control(w, e->index, &msg->u.task_control);
		break;
	case MSG_USAGE_POLL:
		worker_model_poll(w, e->index, &msg->u.usage_poll);
		break;
	case MSG_KV_CALL:
		w->kv_calls++;
		kv_model_call(w, e->index, &msg->u.kv_call);
		break;
	case MSG_PEER:
		send_peer(e, msg);
		return; /* send_peer() owns it now */
	case MSG_ADMIN_REPLY:
		faults_on_admin(w, e->index, &msg->u.admin_reply);
		break;
	case MSG_EVENT:
		log_core_event(e, msg);
		break;
	case MSG_METRICS_REPLY:
		count_core_checks(w, msg->u.metrics_reply.text);
		break;
	default:
		break;
	}
	msg_free(msg);
}

static const struct outbox_ops outbox = { emit };

static void fill_peers(struct world *w, int self, struct entry_peer *peers)
{
	int i, n = 0;

	for (i = 0; i < w->opt.entries; i++) {
		if (i == self)
			continue;
		cs_copy(peers[n].id, sizeof(peers[n].id), w->entries[i].id);
		cs_copy(peers[n].data_centre, sizeof(peers[n].data_centre),
			w->data_centres[w->entries[i].data_centre].name);
		n++;
	}
}

void world_start_entry(struct world *w, int i)
{
	struct model_entry *e = &w->entries[i];
	struct entry_peer peers[ENTRIES_MAX];
	struct entry_options o = { 0 };
	struct cs_error err = { 0 };

	memset(peers, 0, sizeof(peers));
	fill_peers(w, i, peers);
	cs_copy(o.id, sizeof(o.id), e->id);
	cs_copy(o.data_centre, sizeof(o.data_centre),
		w->data_centres[e->data_centre].name);
	o.incarnation = ++e->incarnation;
	o.seed = g_rand_int(w->rng);
	o.isolated = ISOLATED_SERVE;
	o.queue_depth = 200;
	o.peers = peers;
	o.peers_nr = (size_t)w->opt.entries - 1;
	o.mutant = w->opt.mutant;
	e->generation++;
	e->is_paused = false;
	e->drain_started_at = 0;
	e->next_wake = CS_TIME_NEVER;
	e->revision = 0;
	e->waiting_callers = 0;
	e->last_fault_at = w->now;
	e->stopped_at = 0;
	e->clock_offset = (cs_time)world_random_int(w, 1, 1000000) * CS_SEC;
	e->core = entry_create(&o, &outbox, e, &err);
	if (!e->core)
		g_error("entry_create: %s", err.message);
	world_log_event(w, "start entry=%s incarnation=%" PRIu64, e->id,
			e->incarnation);
	entry_start(e->core, local_time(e));
	reschedule_core(e);
}

static void set_link(struct world *w, int a, int b, bool is_up)
{
	struct model_link *link = link_of(w, a, b);
	int ends[2] = { a, b }, i;

	link->is_up = is_up;
	link->epoch++;
	world_log_event(w, "link %s-%s %s", w->entries[a].id, w->entries[b].id,
			is_up ? "up" : "down");
	for (i = 0; i < 2; i++) {
		struct model_entry *other = &w->entries[ends[!i]];
		struct msg *msg = msg_new(MSG_PEER_STATE);

		cs_copy(msg->u.peer_state.peer, sizeof(msg->u.peer_state.peer),
			other->id);
		cs_copy(msg->u.peer_state.data_centre,
			sizeof(msg->u.peer_state.data_centre),
			w->data_centres[other->data_centre].name);
		msg->u.peer_state.incarnation = other->incarnation;
		msg->u.peer_state.is_up = is_up;
		world_send(w, ends[i], 1, msg);
	}
}

static void check_links(struct world *w)
{
	int a, b;

	for (a = 0; a < w->opt.entries; a++) {
		for (b = a + 1; b < w->opt.entries; b++) {
			struct model_link *link = link_of(w, a, b);
			bool ok = world_reachable(w, a, b);

			if (ok) {
				link->unreachable_since = 0;
				if (!link->is_up)
					set_link(w, a, b, true);
				continue;
			}
			if (!link->unreachable_since)
				link->unreachable_since = w->now;
			if (link->is_up &&
			    w->now - link->unreachable_since >= LINK_SILENCE)
				set_link(w, a, b, false);
		}
	}
}

static void on_link_check(void *ctx, uint64_t unused, cs_time now)
{
	struct world *w = ctx;

	(void)unused;
	(void)now;
	check_links(w);
	record_reachability(w);
	check_periodic(w);
	world_after(w, LINK_CHECK, on_link_check, w, 0);
}

void world_collect_checks(struct world *w, int i)
{
	struct model_entry *e = &w->entries[i];

	if (e->core)
		entry_handle(e->core, msg_new(MSG_METRICS_CALL), local_time(e));
}

void world_kill_entry(struct world *w, int i)
{
	struct model_entry *e = &w->entries[i];
	struct msg *msg;
	int other;

	if (!e->core)
		return;
	world_collect_checks(w, i);
	world_log_event(w, "kill entry=%s", e->id);
	entry_destroy(e->core);
	e->core = NULL;
	e->generation++;
	e->stopped_at = w->now;
	e->last_fault_at = w->now;
	while ((msg = g_queue_pop_head(&e->inbox)))
		msg_free(msg);
	callers_on_entry_stop(w, i);
	/* The kernel closes its connections, so its peers notice at once. */
	for (other = 0; other < w->opt.entries; other++)
		if (other != i && link_of(w, i, other)->is_up)
			set_link(w, i, other, false);
}

void world_pause_entry(struct world *w, int i, bool is_paused)
{
	struct model_entry *e = &w->entries[i];
	struct msg *msg;

	if (!e->core || e->is_paused == is_paused)
		return;
	world_log_event(w, "%s entry=%s", is_paused ? "pause" : "resume",
			e->id);
	e->is_paused = is_paused;
	e->paused_at = w->now;
	e->last_fault_at = w->now;
	if (is_paused)
		return;
	while (e->core && (msg = g_queue_pop_head(&e->inbox)))
		entry_handle(e->core, msg, local_time(e));
	e->next_wake = CS_TIME_NEVER;
	reschedule_core(e);
}

void world_accept_document(struct world *w, GBytes *value)
{
	GString *faults = g_string_new(NULL);
	struct document *doc =
		document_codec_json.decode(value, "platform", faults);
	const struct doc_data_centre *dc;
	const struct doc_team *dt;
	size_t k;
	int i, key;

	check(w, INV_ONE_POOL, doc != NULL, "stored document is broken: %s",
	      faults->str);
	g_string_free(faults, TRUE);
	if (!doc)
		return;
	if (w->doc)
		check_document(w, w->doc, doc);
	for (i = 0; i < w->opt.data_centres; i++) {
		dc = document_data_centre(doc, w->data_centres[i].name);
		if (!dc || !dc->is_out)
			w->data_centres[i].out_since = 0;
		else if (!w->data_centres[i].out_since)
			w->data_centres[i].out_since = w->now;
	}
	for (i = 0; i < w->opt.teams; i++) {
		struct model_team *t = &w->teams[i];

		dt = document_team(doc, t->name);
		if (!dt)
			continue;
		if (dt->limit < t->limit)
			t->limit_lowered_at = w->now;
		t->limit = dt->limit;
		if (t->limit_in_use_max < t->limit)
			t->limit_in_use_max = t->limit;
		for (key = 0; key < KEYS_PER_TEAM; key++) {
			bool is_there = false;

			for (k = 0; k < dt->keys_nr; k++)
				if (!memcmp(dt->keys[k].digest, t->keys[key],
					    CS_DIGEST_LEN))
					is_there = true;
			if (is_there && t->withdrawn_at[key])
				t->granted_at[key] = w->now;
			if (is_there)
				t->withdrawn_at[key] = 0;
			else if (!t->withdrawn_at[key])
				t->withdrawn_at[key] = w->now;
		}
	}
	document_destroy(w->doc);
	w->doc = doc;
	w->doc_time = w->now;
	world_log_event(w, "accepted revision=%" PRIu64,
			document_revision(doc));
}

static void apply(struct document *doc, const struct change *change)
{
	struct cs_error err = { 0 };

	if (document_apply(doc, change, &err))
		g_error("first document: %s: %s", change->name, err.message);
}

static void add_host(struct world *w, struct document *doc, int data_centre,
		     const char *pool, int n)
{
	struct change c = { .op = CHANGE_HOST_SET };
	struct model_worker *wk = &w->workers[w->workers_nr++];

	g_snprintf(c.name, sizeof(c.name), "h-%s-%s-%d",
		   w->data_centres[data_centre].name, pool, n);
	g_snprintf(c.rack, sizeof(c.rack), "r-%s-%d",
		   w->data_centres[data_centre].name, n);
	cs_copy(c.data_centre, sizeof(c.data_centre),
		w->data_centres[data_centre].name);
	cs_copy(c.pool, sizeof(c.pool), pool);
	apply(doc, &c);
	cs_copy(wk->host, sizeof(wk->host), c.name);
	c.op = CHANGE_WORKER_SET;
	cs_copy(c.host, sizeof(c.host), wk->host);
	g_snprintf(c.name, sizeof(c.name), "w-%s-%s-%d",
		   w->data_centres[data_centre].name, pool, n);
	g_snprintf(c.address, sizeof(c.address), "127.0.0.1:%d",
		   10000 + w->workers_nr);
	c.slots = 4;
	apply(doc, &c);
	cs_copy(wk->name, sizeof(wk->name), c.name);
	cs_copy(wk->address, sizeof(wk->address), c.address);
	wk->data_centre = data_centre;
	wk->slots = c.slots;
}

static void add_teams(struct world *w, struct document *doc, int slots)
{
	struct change c = { 0 };
	char key[32];
	int i, k;

	for (i = 0; i < w->opt.teams; i++) {
		struct model_team *t = &w->teams[i];

		memset(&c, 0, sizeof(c));
		c.op = CHANGE_TEAM_SET;
		g_snprintf(t->name, sizeof(t->name), "team-%d", i);
		cs_copy(c.name, sizeof(c.name), t->name);
		c.share = t->share = 1 + i % 3;
		c.limit = t->limit = t->limit_in_use_max =
			MAX(1, slots * w->opt.limit_share / 100);
		apply(doc, &c);
		for (k = 0; k < KEYS_PER_TEAM; k++) {
			c.op = CHANGE_KEY_GRANT;
			g_snprintf(key, sizeof(key), "key-%d-%d", i, k);
			team_key_digest(key, strlen(key), t->keys[k]);
			memcpy(c.digest, t->keys[k], sizeof(c.digest));
			c.has_digest = true;
			g_snprintf(c.label, sizeof(c.label), "k%d", k);
			apply(doc, &c);
		}
	}
}

static void add_queue(struct document *doc, const char *name, const char *pool,
		      bool is_open)
{
	struct change c = { .op = CHANGE_QUEUE_SET, .is_open = is_open };

	cs_copy(c.name, sizeof(c.name), name);
	cs_copy(c.pool, sizeof(c.pool), pool);
	if (is_open)
		cs_copy(c.team, sizeof(c.team), "team-0");
	apply(doc, &c);
}

/* Stores the initial configuration document. */
static void make_document(struct world *w)
{
	static const char *const pools[] = { "a", "b", "spare" };
	struct document *doc = document_create();
	struct change c = { .op = CHANGE_POOL_SET, .budget_percent = 50 };
	int data_centre, p, n, slots = 0;

	for (p = 0; p < 3; p++) {
		cs_copy(c.name, sizeof(c.name), pools[p]);
		c.is_spare = p == 2;
		apply(doc, &c);
	}
	w->workers =
		g_new0(struct model_worker, (size_t)w->opt.data_centres * 3 *
						    (size_t)w->opt.workers);
	for (data_centre = 0; data_centre < w->opt.data_centres; data_centre++)
		for (p = 0; p < 3; p++)
			for (n = 0; n < (p == 2 ? 1 : w->opt.workers); n++) {
				add_host(w, doc, data_centre, pools[p], n);
				slots += p == 2 ? 0 : 4;
			}
	add_teams(w, doc, slots);
	add_queue(doc, "qa", "a", false);
	add_queue(doc, "qb", "b", false);
	add_queue(doc, "open", "a", true);
	document_set_revision(doc, 1);
	kv_model_put(w, "config/fleet", document_codec_json.encode(doc));
	document_destroy(doc);
}

struct world *world_create(const struct world_options *options)
{
	struct world *w = g_new0(struct world, 1);
	int i;

	w->opt = *options;
	w->rng = g_rand_new_with_seed(options->seed);
	w->timers = timers_create();
	w->now = 1000 * CS_SEC; /* more than any span the checks look back */
	w->jobs = g_array_new(FALSE, TRUE, sizeof(struct model_job));
	w->calls = g_array_new(FALSE, TRUE, sizeof(struct model_call));
	w->reasons =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	w->tasks = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	for (i = 0; i < options->data_centres; i++)
		g_snprintf(w->data_centres[i].name,
			   sizeof(w->data_centres[i].name), "dc%d", i + 1);
	w->kv = kv_model_create(w);
	make_document(w);
	for (i = 0; i < options->entries; i++) {
		w->entries[i].w = w;
		w->entries[i].index = i;
		w->entries[i].data_centre = i % options->data_centres;
		w->entries[i].incarnation = 100;
		g_queue_init(&w->entries[i].inbox);
		g_snprintf(w->entries[i].id, sizeof(w->entries[i].id), "e%d",
			   i + 1);
	}
	for (i = 0; i < options->entries; i++)
		world_start_entry(w, i);
	on_link_check(w, 0, w->now);
	if (!options->no_load)
		callers_start(w);
	if (!options->no_faults)
		faults_start(w);
	return w;
}

void world_destroy(struct world *w)
{
	struct msg *msg;
	int i;

	for (i = 0; i < w->opt.entries; i++) {
		entry_destroy(w->entries[i].core);
		while ((msg = g_queue_pop_head(&w->entries[i].inbox)))
			msg_free(msg);
	}
	for (i = 0; i < EVENT_LINES; i++)
		g_free(w->event_log[i]);
	kv_model_destroy(w->kv);
	document_destroy(w->doc);
	g_array_free(w->jobs, TRUE);
	g_array_free(w->calls, TRUE);
	g_hash_table_destroy(w->tasks);
	g_hash_table_destroy(w->reasons);
	timers_destroy(w->timers);
	g_rand_free(w->rng);
	g_free(w->workers);
	g_free(w);
}

bool world_step(struct world *w)
{
	cs_time due = timers_next_due(w->timers);

	if (due == CS_TIME_NEVER)
		return false;
	if (due > w->now)
		w->now = due;
	timers_run_one(w->timers, w->now);
	w->steps++;
	return true;
}

void world_run_until(struct world *w, cs_time end)
{
	while (timers_next_due(w->timers) <= end && !w->violations)
		world_step(w);
	if (w->now < end)
		w->now = end;
}
