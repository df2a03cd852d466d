#include "fake_fleet.h"

#include <string.h>

#include "../../src/base/error.h"

/* A message in transit to the platform or to a node. */
struct fake_event {
	cs_time due;
	uint64_t sequence;
	struct fake_node *from; /* of a call or peer message */
	struct fake_node *to; /* NULL: the platform */
	uint64_t incarnation; /* of the process concerned */
	struct msg *msg;
	bool is_answered; /* the caller has its answer already */
};

static void free_event(void *data)
{
	struct fake_event *e = data;

	msg_free(e->msg);
	g_free(e);
}

static struct fake_event *add_event(struct fake_fleet *f,
				    struct fake_node *from,
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

static cs_time random_delay(struct fake_fleet *f)
{
	return g_rand_int_range(f->rng, 200, 3000);
}

static void send_peer_state(struct fake_node *to, struct fake_node *peer,
			    bool is_up)
{
	struct msg *msg = msg_new(MSG_PEER_STATE);

	cs_copy(msg->u.peer_state.peer, CS_NAME_MAX, peer->options.id);
	cs_copy(msg->u.peer_state.data_centre, CS_NAME_MAX,
		peer->options.data_centre);
	msg->u.peer_state.incarnation = peer->options.incarnation;
	msg->u.peer_state.is_up = is_up;
	add_event(to->fleet, peer, to, msg, random_delay(to->fleet));
}

static bool is_connected(const struct fake_node *a, const struct fake_node *b)
{
	return a != b && a->is_alive && b->is_alive && !a->is_paused &&
	       !b->is_paused && a->segment == b->segment;
}

/* The outbox of a part: sends each message with a random delay. */
static void emit(void *arg, struct msg *msg)
{
	struct fake_node *n = arg;
	struct fake_fleet *f = n->fleet;
	int i;

	if (msg->type == MSG_KV_CALL) {
		f->calls += msg->u.kv_call.op != KV_WATCH;
		add_event(f, n, NULL, msg, random_delay(f));
		return;
	}
	if (msg->type == MSG_PEER)
		for (i = 0; i < f->nodes_nr; i++) {
			struct fake_node *to = f->nodes[i];

			if (strcmp(to->options.id, msg->u.peer.peer) ||
			    !is_connected(n, to))
				continue;
			cs_copy(msg->u.peer.peer, CS_NAME_MAX, n->options.id);
			msg->u.peer.incarnation = n->options.incarnation;
			add_event(f, n, to, msg, random_delay(f));
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
	fake_kv_init(&f->kv);
	f->events = g_ptr_array_new_with_free_func(free_event);
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
	fake_kv_clear(&f->kv);
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

static void broadcast_peer_state(struct fake_node *n, bool is_up)
{
	struct fake_fleet *f = n->fleet;
	int i;

	for (i = 0; i < f->nodes_nr; i++) {
		struct fake_node *other = f->nodes[i];

		if (other == n || !other->is_alive)
			continue;
		if (is_up && !is_connected(n, other))
			continue;
		send_peer_state(other, n, is_up);
		if (n->is_alive)
			send_peer_state(n, other, is_up);
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
	broadcast_peer_state(n, true);
}

void fake_node_kill(struct fake_node *n)
{
	if (!n->is_alive)
		return;
	n->is_alive = false;
	broadcast_peer_state(n, false);
	n->fleet->part->destroy(&n->ctx);
	timers_destroy(n->ctx.timers);
	counters_destroy(n->ctx.counters);
	g_rand_free(n->ctx.rng);
}

void fake_node_pause(struct fake_node *n)
{
	n->is_paused = true;
	broadcast_peer_state(n, false);
}

void fake_node_resume(struct fake_node *n)
{
	n->is_paused = false;
	broadcast_peer_state(n, true);
}

void fake_node_set_segment(struct fake_node *n, int segment)
{
	broadcast_peer_state(n, false);
	n->segment = segment;
	broadcast_peer_state(n, true);
}

void fake_node_begin_turn(struct fake_node *n)
{
	bool jumped = n->fleet->now - n->last_turn > PART_CLOCK_GAP_MAX;

	n->ctx.now = n->last_turn = n->fleet->now;
	if (jumped && n->fleet->part->on_jump)
		n->fleet->part->on_jump(&n->ctx);
}

static bool is_cut_off(const void *caller)
{
	const struct fake_node *n = caller;

	return n->fleet->is_platform_down || n->is_cut_off;
}

static void answer_watches(struct fake_fleet *f)
{
	struct fake_watch w;
	struct msg *msg;

	while ((msg = fake_kv_poll(&f->kv, f->now, is_cut_off, &w)))
		add_event(f, NULL, w.caller, msg, random_delay(f))
			->incarnation = w.incarnation;
}

static enum fake_fault choose_fault(struct fake_fleet *f,
				    const struct kv_call *call)
{
	enum fake_fault fault = f->next_fault;

	if (call->op != KV_CAS)
		return FAKE_NO_FAULT;
	if (fault && (!f->fault_key || !strcmp(f->fault_key, call->key))) {
		f->next_fault = FAKE_NO_FAULT;
		return fault;
	}
	if (g_rand_int_range(f->rng, 0, 100) < f->lost_percent)
		return g_rand_int_range(f->rng, FAKE_LOST_APPLIED,
					FAKE_LOST_LATE + 1);
	return FAKE_NO_FAULT;
}

/* Executes a platform call; returns the answer, or NULL for a watch. */
static struct msg *execute_call(struct fake_fleet *f, struct fake_event *e)
{
	const struct kv_call *call = &e->msg->u.kv_call;
	enum fake_fault fault = FAKE_NO_FAULT;
	struct msg *msg = NULL;

	if (!e->is_answered && is_cut_off(e->from))
		return msg_kv_done(call, KV_UNAVAILABLE);
	if (!e->is_answered)
		fault = choose_fault(f, call);
	if (fault == FAKE_LOST_LATE) {
		struct msg *late = msg_new(MSG_KV_CALL);

		late->u.kv_call = *call;
		late->u.kv_call.value = g_bytes_ref(call->value);
		add_event(f, e->from, NULL, late, 3 * CS_SEC)->is_answered =
			true;
	}
	if (call->op == KV_WATCH)
		fake_kv_watch(&f->kv, call, e->from, e->incarnation, f->now);
	else
		msg = fake_kv_call(&f->kv, call, fault);
	answer_watches(f);
	return msg;
}

static void deliver(struct fake_fleet *f, struct fake_event *e)
{
	struct fake_node *n = e->to;
	struct msg *msg;

	if (!n) {
		msg = execute_call(f, e);
		if (msg && !e->is_answered)
			add_event(f, NULL, e->from, msg, random_delay(f))
				->incarnation = e->incarnation;
		else
			msg_free(msg);
		return;
	}
	if (!n->is_alive || n->options.incarnation != e->incarnation)
		return;
	fake_node_begin_turn(n);
	if (e->msg->type == MSG_KV_DONE)
		f->part->on_kv(&n->ctx, &e->msg->u.kv_done);
	else if (e->msg->type == MSG_PEER && f->part->on_peer)
		f->part->on_peer(&n->ctx, &e->msg->u.peer);
	else if (e->msg->type == MSG_PEER_STATE)
		f->part->on_peer_state(&n->ctx, &e->msg->u.peer_state);
}

/* The event that is due first, except those to paused nodes. */
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
			fake_node_begin_turn(n);
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
