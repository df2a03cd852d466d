#include "fake_fleet.h"

#include <string.h>

#include "../../src/base/error.h"

struct fake_row {
	uint64_t version, revision;
	GBytes *value;
};

/* A message on its way to the platform or to a node. */
struct fake_event {
	cs_time due;
	uint64_t sequence;
	struct fake_node *from; /* of a call or peer message */
	struct fake_node *to; /* NULL: the platform */
	uint64_t incarnation; /* of the process concerned */
	struct msg *msg;
	bool is_mute; /* the call's answer was given already */
};

struct fake_watch {
	struct fake_node *node;
	uint64_t incarnation;
	struct kv_call call;
	cs_time until;
};

static void free_row(void *data)
{
	struct fake_row *row = data;

	g_bytes_unref(row->value);
	g_free(row);
}

static void free_event(void *data)
{
	struct fake_event *e = data;

	msg_free(e->msg);
	g_free(e);
}

static struct fake_event *post(struct fake_fleet *f, struct fake_node *from,
			       struct fake_node *to, struct msg *msg,
			       cs_time delay)
{
	struct fake_event *e = g_new0(struct fake_event, 1);

	e->due = f->now + delay;
	e->sequence = f->sequence++;
	e->from = from;
	e->to = to;
	if (to || from)
		e->incarnation = (to ? to : from)->options.incarnation;
	e->msg = msg;
	g_ptr_array_add(f->events, e);
	return e;
}

static cs_time delay(struct fake_fleet *f)
{
	return g_rand_int_range(f->rng, 200, 3000);
}

static void post_peer_state(struct fake_node *to, struct fake_node *peer,
			    bool is_up)
{
	struct msg *msg = msg_new(MSG_PEER_STATE);

	cs_copy(msg->u.peer_state.peer, CS_NAME_MAX, peer->options.id);
	cs_copy(msg->u.peer_state.data_centre, CS_NAME_MAX,
		peer->options.data_centre);
	msg->u.peer_state.incarnation = peer->options.incarnation;
	msg->u.peer_state.is_up = is_up;
	post(to->fleet, peer, to, msg, delay(to->fleet));
}

static bool is_linked(const struct fake_node *a, const struct fake_node *b)
{
	return a != b && a->is_alive && b->is_alive && !a->is_paused &&
	       !b->is_paused && a->island == b->island;
}

/* Takes the output of a part: it goes out with a delay. */
static void emit(void *arg, struct msg *msg)
{
	struct fake_node *n = arg;
	struct fake_fleet *f = n->fleet;
	int i;

	if (msg->type == MSG_KV_CALL) {
		f->calls += msg->u.kv_call.op != KV_WATCH;
		post(f, n, NULL, msg, delay(f));
		return;
	}
	if (msg->type == MSG_PEER)
		for (i = 0; i < f->nodes_nr; i++) {
			struct fake_node *to = f->nodes[i];

			if (strcmp(to->options.id, msg->u.peer.peer) ||
			    !is_linked(n, to))
				continue;
			cs_copy(msg->u.peer.peer, CS_NAME_MAX, n->options.id);
			msg->u.peer.incarnation = n->options.incarnation;
			post(f, n, to, msg, delay(f));
			return;
		}
	msg_free(msg);
}

static const struct outbox_ops outbox = { .emit = emit };

struct fake_fleet *fake_fleet_create(const struct part_ops *part, uint32_t seed)
{
	struct fake_fleet *f = g_new0(struct fake_fleet, 1);

	f->part = part;
	f->now = CS_SEC;
	f->rng = g_rand_new_with_seed(seed);
	f->rows = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					free_row);
	f->events = g_ptr_array_new_with_free_func(free_event);
	f->watches = g_ptr_array_new_with_free_func(g_free);
	return f;
}

void fake_fleet_destroy(struct fake_fleet *f)
{
	int i;

	for (i = 0; i < f->nodes_nr; i++)
		fake_node_kill(f->nodes[i]);
	for (i = 0; i < f->nodes_nr; i++)
		g_free(f->nodes[i]);
	g_ptr_array_unref(f->events);
	g_ptr_array_unref(f->watches);
	g_hash_table_unref(f->rows);
	g_rand_free(f->rng);
	g_free(f);
}

struct fake_node *fake_node_add(struct fake_fleet *f, const char *id,
				const char *data_centre)
{
	struct fake_node *n = g_new0(struct fake_node, 1);
	int i;

	n->fleet = f;
	cs_copy(n->options.id, CS_NAME_MAX, id);
	cs_copy(n->options.data_centre, CS_NAME_MAX, data_centre);
	n->options.peers = n->peers;
	for (i = 0; i < f->nodes_nr; i++) {
		struct entry_options *o = &f->nodes[i]->options;
		struct entry_peer *p = &f->nodes[i]->peers[o->peers_nr++];

		cs_copy(p->id, CS_NAME_MAX, id);
		p = &n->peers[n->options.peers_nr++];
		cs_copy(p->id, CS_NAME_MAX, o->id);
	}
	f->nodes[f->nodes_nr++] = n;
	return n;
}

static void announce(struct fake_node *n, bool is_up)
{
	struct fake_fleet *f = n->fleet;
	int i;

	for (i = 0; i < f->nodes_nr; i++) {
		struct fake_node *other = f->nodes[i];

		if (other == n || !other->is_alive)
			continue;
		if (is_up && !is_linked(n, other))
			continue;
		post_peer_state(other, n, is_up);
		if (n->is_alive)
			post_peer_state(n, other, is_up);
	}
}

void fake_node_start(struct fake_node *n, const char *mutant)
{
	struct fake_fleet *f = n->fleet;
	struct cs_error err;

	n->options.incarnation++;
	n->options.mutant = mutant;
	n->options.seed = g_rand_int(f->rng);
	memset(&n->ctx, 0, sizeof(n->ctx));
	n->ctx.options = &n->options;
	n->ctx.timers = timers_create();
	n->ctx.counters = counters_create();
	n->ctx.rng = g_rand_new_with_seed(n->options.seed);
	n->ctx.outbox = &outbox;
	n->ctx.outbox_ctx = n;
	n->ctx.now = n->last_turn = f->now;
	n->is_alive = true;
	n->is_paused = false;
	if (f->part->create(&n->ctx, &err))
		g_error("create: %s", err.message);
	f->part->start(&n->ctx);
	announce(n, true);
}

void fake_node_kill(struct fake_node *n)
{
	if (!n->is_alive)
		return;
	n->is_alive = false;
	announce(n, false);
	n->fleet->part->destroy(&n->ctx);
	timers_destroy(n->ctx.timers);
	counters_destroy(n->ctx.counters);
	g_rand_free(n->ctx.rng);
}

void fake_node_pause(struct fake_node *n)
{
	n->is_paused = true;
	announce(n, false);
}

void fake_node_resume(struct fake_node *n)
{
	n->is_paused = false;
	announce(n, true);
}

void fake_node_set_island(struct fake_node *n, int island)
{
	announce(n, false);
	n->island = island;
	announce(n, true);
}

void fake_node_turn(struct fake_node *n)
{
	bool jumped = n->fleet->now - n->last_turn > PART_JUMP_MAX;

	n->ctx.now = n->last_turn = n->fleet->now;
	if (jumped && n->fleet->part->on_jump)
		n->fleet->part->on_jump(&n->ctx);
}

static struct msg *answer_to(const struct kv_call *call, enum kv_result result)
{
	struct msg *msg = msg_new(MSG_KV_DONE);
	struct kv_done *d = &msg->u.kv_done;

	d->part = call->part;
	d->token = call->token;
	d->op = call->op;
	d->result = result;
	cs_copy(d->key, sizeof(d->key), call->key);
	return msg;
}

static void add_row(struct kv_done *d, const char *key,
		    const struct fake_row *row)
{
	struct kv_row *r;

	d->rows = g_renew(struct kv_row, d->rows, d->rows_nr + 1);
	r = &d->rows[d->rows_nr++];
	memset(r, 0, sizeof(*r));
	cs_copy(r->key, sizeof(r->key), key);
	r->version = row->version;
	r->value = g_bytes_ref(row->value);
}

/* Adds the rows of a prefix that changed after a revision. */
static void add_rows(const struct fake_fleet *f, struct kv_done *d,
		     const char *prefix, uint64_t since)
{
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, f->rows);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct fake_row *row = value;

		if (g_str_has_prefix(key, prefix) && row->revision > since)
			add_row(d, key, row);
	}
	d->revision = f->revision;
}

static void answer_watches(struct fake_fleet *f)
{
	guint i = 0;

	while (i < f->watches->len) {
		struct fake_watch *w = g_ptr_array_index(f->watches, i);
		bool is_lost = f->is_down || w->node->is_cut;
		struct msg *msg =
			answer_to(&w->call, is_lost ? KV_UNAVAILABLE : KV_OK);

		if (!is_lost)
			add_rows(f, &msg->u.kv_done, w->call.key,
				 w->call.version);
		if (!is_lost && !msg->u.kv_done.rows_nr && w->until > f->now) {
			msg_free(msg);
			i++;
			continue;
		}
		post(f, NULL, w->node, msg, delay(f))->incarnation =
			w->incarnation;
		g_ptr_array_remove_index_fast(f->watches, i);
	}
}

static enum kv_result compare_and_swap(struct fake_fleet *f,
				       const struct kv_call *call)
{
	struct fake_row *row = g_hash_table_lookup(f->rows, call->key);

	if ((row ? row->version : 0) != call->version)
		return KV_CONFLICT;
	row = g_new0(struct fake_row, 1);
	row->version = call->version + 1;
	row->revision = ++f->revision;
	row->value = g_bytes_ref(call->value);
	g_hash_table_replace(f->rows, g_strdup(call->key), row);
	answer_watches(f);
	return KV_OK;
}

static enum fake_fault choose_fault(struct fake_fleet *f,
				    const struct kv_call *call)
{
	enum fake_fault fault = f->next_fault;

	if (call->op != KV_CAS)
		return FAKE_NONE;
	if (fault && (!f->fault_key || !strcmp(f->fault_key, call->key))) {
		f->next_fault = FAKE_NONE;
		return fault;
	}
	if (g_rand_int_range(f->rng, 0, 100) < f->lost_percent)
		return g_rand_int_range(f->rng, FAKE_LOST_APPLIED,
					FAKE_LOST_LATE + 1);
	return FAKE_NONE;
}

/* Executes a compare-and-swap with its fault; returns the answer. */
static struct msg *do_cas(struct fake_fleet *f, struct fake_event *e)
{
	const struct kv_call *call = &e->msg->u.kv_call;
	enum fake_fault fault = e->is_mute ? FAKE_NONE : choose_fault(f, call);
	struct fake_row *row;
	struct msg *msg;

	if (fault == FAKE_LOST_LATE) {
		struct msg *late = msg_new(MSG_KV_CALL);

		late->u.kv_call = *call;
		late->u.kv_call.value = g_bytes_ref(call->value);
		post(f, e->from, NULL, late, 3 * CS_SEC)->is_mute = true;
	}
	if (fault == FAKE_LOST_LATE || fault == FAKE_LOST_DROPPED)
		return answer_to(call, KV_UNKNOWN);
	msg = answer_to(call, compare_and_swap(f, call));
	row = g_hash_table_lookup(f->rows, call->key);
	if (fault == FAKE_LOST_APPLIED)
		msg->u.kv_done.result = KV_UNKNOWN;
	else if (msg->u.kv_done.result == KV_CONFLICT && row)
		add_row(&msg->u.kv_done, call->key, row);
	else if (row)
		msg->u.kv_done.version = row->version;
	return msg;
}

static struct msg *do_call(struct fake_fleet *f, struct fake_event *e)
{
	const struct kv_call *call = &e->msg->u.kv_call;
	struct fake_row *row;
	struct fake_watch *w;
	struct msg *msg;

	if (!e->is_mute && (f->is_down || e->from->is_cut))
		return answer_to(call, KV_UNAVAILABLE);
	switch (call->op) {
	case KV_GET:
		row = g_hash_table_lookup(f->rows, call->key);
		msg = answer_to(call, row ? KV_OK : KV_MISSING);
		if (row)
			add_row(&msg->u.kv_done, call->key, row);
		return msg;
	case KV_LIST:
		msg = answer_to(call, KV_OK);
		add_rows(f, &msg->u.kv_done, call->key, 0);
		return msg;
	case KV_WATCH:
		w = g_new0(struct fake_watch, 1);
		w->node = e->from;
		w->incarnation = e->incarnation;
		w->call = *call;
		w->until = f->now + call->wait_ms * CS_MSEC;
		g_ptr_array_add(f->watches, w);
		answer_watches(f);
		return NULL;
	case KV_CAS:
		return do_cas(f, e);
	default:
		return answer_to(call, KV_UNAVAILABLE);
	}
}

static void deliver(struct fake_fleet *f, struct fake_event *e)
{
	struct fake_node *n = e->to;
	struct msg *msg;

	if (!n) {
		msg = do_call(f, e);
		if (msg && !e->is_mute)
			post(f, NULL, e->from, msg, delay(f))->incarnation =
				e->incarnation;
		else
			msg_free(msg);
		return;
	}
	if (!n->is_alive || n->options.incarnation != e->incarnation)
		return;
	fake_node_turn(n);
	if (e->msg->type == MSG_KV_DONE)
		f->part->on_kv(&n->ctx, &e->msg->u.kv_done);
	else if (e->msg->type == MSG_PEER && f->part->on_peer)
		f->part->on_peer(&n->ctx, &e->msg->u.peer);
	else if (e->msg->type == MSG_PEER_STATE)
		f->part->on_peer_state(&n->ctx, &e->msg->u.peer_state);
}

/* The event that is due first; events of paused nodes wait. */
static struct fake_event *first_event(struct fake_fleet *f, guint *index)
{
	struct fake_event *best = NULL;
	guint i;

	for (i = 0; i < f->events->len; i++) {
		struct fake_event *e = g_ptr_array_index(f->events, i);

		if (e->to && e->to->is_alive && e->to->is_paused)
			continue;
		if (best &&
		    (e->due > best->due ||
		     (e->due == best->due && e->sequence > best->sequence)))
			continue;
		best = e;
		*index = i;
	}
	return best;
}

static void run_timers(struct fake_fleet *f, cs_time *next)
{
	int i;

	for (i = 0; i < f->nodes_nr; i++) {
		struct fake_node *n = f->nodes[i];

		if (!n->is_alive || n->is_paused)
			continue;
		if (timers_next_due(n->ctx.timers) <= f->now) {
			fake_node_turn(n);
			timers_advance(n->ctx.timers, f->now);
		}
		*next = MIN(*next, timers_next_due(n->ctx.timers));
	}
}

void fake_fleet_run(struct fake_fleet *f, cs_time duration)
{
	cs_time end = f->now + duration;

	for (;;) {
		cs_time next = end;
		struct fake_event *e;
		guint index = 0;

		answer_watches(f);
		run_timers(f, &next);
		e = first_event(f, &index);
		if (e && e->due <= MAX(next, f->now) && e->due <= end) {
			f->now = MAX(f->now, e->due);
			g_ptr_array_steal_index(f->events, index);
			deliver(f, e);
			free_event(e);
		} else if (next >= end) {
			break;
		} else {
			f->now = MAX(next, f->now);
		}
		if (f->after_step)
			f->after_step(f);
	}
	f->now = end;
}

GBytes *fake_fleet_value(const struct fake_fleet *f, const char *key)
{
	struct fake_row *row = g_hash_table_lookup(f->rows, key);

	return row ? row->value : NULL;
}
