#include "site.h"

#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "../src/base/error.h"
#include "../src/config/codec.h"
#include "../src/peer/peer_codec.h"
#include "../src/peer/peer_frame.h"
#include "../src/team/team.h"

/* Simulated latency of a platform call and of a peer message. */
#define KV_DELAY (3 * CS_MSEC)
#define PEER_DELAY CS_MSEC

/* Number of pools that the requests of one team go to. */
#define POOLS_PER_TEAM 3

/* A stored key; value is NULL after a deletion. */
struct site_value {
	uint64_t version, modified;
	GBytes *value;
};

/* A message in transit to a core. */
struct delivery {
	struct site_entry *e;
	struct msg *msg;
};

size_t site_heap_bytes(void)
{
	struct mallinfo2 m = mallinfo2();

	return m.uordblks + m.hblkhd;
}

double site_cpu_us(void)
{
	struct timespec t;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &t);
	return (double)t.tv_sec * 1e6 + (double)t.tv_nsec / 1e3;
}

uint64_t site_peer_bytes(const struct site_stats *t)
{
	uint64_t sum = 0;
	int k;

	for (k = 0; k < PEER_KIND_NR; k++)
		sum += t->peer_bytes[k];
	return sum;
}

static void apply_change(struct document *doc, const struct change *change)
{
	struct cs_error err = { 0 };

	if (document_apply(doc, change, &err))
		g_error("document: %s: %s", change->name, err.message);
}

static void add_host(struct document *doc, const struct site_size *size, int h)
{
	struct change c = { .op = CHANGE_HOST_SET };
	int i, w;

	g_snprintf(c.name, sizeof(c.name), "host-%04d", h);
	g_snprintf(c.rack, sizeof(c.rack), "rack-%03d", h / 4);
	g_snprintf(c.data_centre, sizeof(c.data_centre), "dc%02d",
		   h % size->data_centres + 1);
	g_snprintf(c.pool, sizeof(c.pool), "pool-%03d", h % size->pools);
	apply_change(doc, &c);
	c.op = CHANGE_WORKER_SET;
	memcpy(c.host, c.name, sizeof(c.host));
	c.slots = SITE_SLOTS_PER_WORKER;
	for (i = 0; i < SITE_WORKERS_PER_HOST; i++) {
		w = h * SITE_WORKERS_PER_HOST + i;
		if (w >= size->workers)
			break;
		g_snprintf(c.name, sizeof(c.name), "worker-%04d", w);
		g_snprintf(c.address, sizeof(c.address), "10.%d.%d.%d:8000",
			   w / 65536, w / 256 % 256, w % 256);
		apply_change(doc, &c);
	}
}

static void team_key(int team, int key, uint8_t *digest)
{
	char text[32];

	g_snprintf(text, sizeof(text), "key-%d-%d", team, key);
	team_key_digest(text, strlen(text), digest);
}

struct document *site_document(const struct site_size *size)
{
	struct document *doc = document_create();
	struct change c = { .op = CHANGE_POOL_SET, .budget_percent = 50 };
	int i, k;

	for (i = 0; i < size->pools; i++) {
		g_snprintf(c.name, sizeof(c.name), "pool-%03d", i);
		c.is_spare = i == size->pools - 1;
		apply_change(doc, &c);
	}
	for (i = 0; i * SITE_WORKERS_PER_HOST < size->workers; i++)
		add_host(doc, size, i);
	for (i = 0; i < size->teams; i++) {
		memset(&c, 0, sizeof(c));
		c.op = CHANGE_TEAM_SET;
		g_snprintf(c.name, sizeof(c.name), "team-%03d", i);
		c.share = 1 + i % 10;
		c.limit = MIN(500, size->workers * SITE_SLOTS_PER_WORKER);
		apply_change(doc, &c);
		c.op = CHANGE_KEY_GRANT;
		c.has_digest = true;
		for (k = 0; k < SITE_KEYS_PER_TEAM; k++) {
			team_key(i, k, c.digest);
			g_snprintf(c.label, sizeof(c.label), "key-%d", k);
			apply_change(doc, &c);
		}
	}
	for (i = 0; i < size->pools; i++) {
		memset(&c, 0, sizeof(c));
		c.op = CHANGE_QUEUE_SET;
		g_snprintf(c.name, sizeof(c.name), "queue-%03d", i);
		g_snprintf(c.pool, sizeof(c.pool), "pool-%03d", i);
		apply_change(doc, &c);
	}
	document_set_revision(doc, 1);
	return doc;
}

static void schedule(struct site *s, cs_time delay, timer_fn fn, void *ctx,
		     uint64_t arg)
{
	timers_subscribe(s->timers, s->now + delay, fn, ctx, arg);
}

static void on_delivery(void *ctx, uint64_t unused, cs_time now)
{
	struct delivery *d = ctx;

	(void)unused;
	(void)now;
	site_handle(d->e, d->msg);
	g_free(d);
}

static void deliver_after(struct site_entry *e, cs_time delay, struct msg *msg)
{
	struct delivery *d = g_new0(struct delivery, 1);

	d->e = e;
	d->msg = msg;
	schedule(e->s, delay, on_delivery, d, 0);
}

/* Platform */

static struct msg *new_reply(const struct kv_call *call, enum kv_result result)
{
	struct msg *msg = msg_new(MSG_KV_DONE);

	msg->u.kv_done.part = call->part;
	msg->u.kv_done.token = call->token;
	msg->u.kv_done.op = call->op;
	msg->u.kv_done.result = result;
	cs_copy(msg->u.kv_done.key, sizeof(msg->u.kv_done.key), call->key);
	return msg;
}

static void add_row(GArray *rows, const char *key, const struct site_value *v)
{
	struct kv_row row = { 0 };

	cs_copy(row.key, sizeof(row.key), key);
	if (v->value) {
		row.version = v->version;
		row.value = g_bytes_ref(v->value);
	}
	g_array_append_val(rows, row);
}

static void fill_rows(struct site *s, struct kv_done *d, const char *prefix,
		      uint64_t since)
{
	GArray *rows = g_array_new(FALSE, TRUE, sizeof(struct kv_row));
	GHashTableIter it;
	gpointer key, value;

	g_hash_table_iter_init(&it, s->values);
	while (g_hash_table_iter_next(&it, &key, &value)) {
		struct site_value *v = value;

		if (g_str_has_prefix(key, prefix) && v->modified > since &&
		    (v->value || since))
			add_row(rows, key, v);
	}
	d->rows_nr = rows->len;
	d->rows = (struct kv_row *)(void *)g_array_free(rows, FALSE);
	d->revision = s->revision;
}

static void count_rows(struct site_entry *e, const struct msg *msg)
{
	size_t i;

	for (i = 0; i < msg->u.kv_done.rows_nr; i++)
		if (msg->u.kv_done.rows[i].value)
			e->stats.kv_bytes +=
				g_bytes_get_size(msg->u.kv_done.rows[i].value);
	e->stats.hosts_rows += msg->u.kv_done.hosts_nr;
	/* Length of the JSON that a platform sends; design page, 2.5. */
	for (i = 0; i < msg->u.kv_done.hosts_nr; i++)
		e->stats.hosts_bytes +=
			sizeof("{'host':'','address':'','state':'live',"
			       "'data_centre':''}") +
			strlen(msg->u.kv_done.hosts[i].host) +
			strlen(msg->u.kv_done.hosts[i].address) +
			strlen(msg->u.kv_done.hosts[i].data_centre);
}

static void send_reply(struct site_entry *e, cs_time delay, struct msg *msg)
{
	count_rows(e, msg);
	deliver_after(e, delay, msg);
}

static void put_value(struct site *s, const char *key, GBytes *value)
{
	struct site_value *v = g_hash_table_lookup(s->values, key);
	guint i;

	if (!v) {
		v = g_new0(struct site_value, 1);
		g_hash_table_insert(s->values, g_strdup(key), v);
	}
	g_clear_pointer(&v->value, g_bytes_unref);
	v->value = value ? g_bytes_ref(value) : NULL;
	v->version++;
	v->modified = ++s->revision;
	for (i = 0; i < s->watches->len; i++) {
		struct site_watch *w = g_ptr_array_index(s->watches, i);
		struct msg *msg;

		if (w->is_ended || !g_str_has_prefix(key, w->call.key))
			continue;
		w->is_ended = true;
		msg = new_reply(&w->call, KV_OK);
		fill_rows(s, &msg->u.kv_done, w->call.key, w->call.version);
		send_reply(&s->entries[w->entry], KV_DELAY, msg);
	}
}

static void on_watch_end(void *ctx, uint64_t unused, cs_time now)
{
	struct site_watch *w = ctx;
	struct site *s = w->s;
	struct msg *msg;

	(void)unused;
	(void)now;
	if (!w->is_ended) {
		msg = new_reply(&w->call, KV_OK);
		msg->u.kv_done.revision = s->revision;
		send_reply(&s->entries[w->entry], 0, msg);
	}
	g_ptr_array_remove_fast(s->watches, w);
	g_free(w);
}

static void begin_watch(struct site_entry *e, const struct kv_call *call)
{
	struct msg *msg = new_reply(call, KV_OK);
	struct site_watch *w;

	fill_rows(e->s, &msg->u.kv_done, call->key, call->version);
	if (msg->u.kv_done.rows_nr) {
		send_reply(e, KV_DELAY, msg);
		return;
	}
	msg_free(msg);
	w = g_new0(struct site_watch, 1);
	w->entry = e->index;
	w->call = *call;
	w->call.value = NULL;
	w->s = e->s;
	g_ptr_array_add(e->s->watches, w);
	schedule(e->s, call->wait_ms * CS_MSEC, on_watch_end, w, 0);
}

static struct msg *handle_hosts(struct site *s, const struct kv_call *call)
{
	struct msg *msg = new_reply(call, KV_OK);
	struct kv_done *d = &msg->u.kv_done;
	const struct doc_host *hosts;
	size_t nr, i;
	int e;

	hosts = document_hosts(s->doc, &nr);
	d->hosts = g_new0(struct kv_host, nr + (size_t)s->entries_nr);
	for (i = 0; i < nr; i++) {
		struct kv_host *h = &d->hosts[d->hosts_nr++];

		cs_copy(h->host, sizeof(h->host), hosts[i].name);
		g_snprintf(h->address, sizeof(h->address), "10.0.%zu.%zu:8000",
			   i / 256, i % 256);
		cs_copy(h->data_centre, sizeof(h->data_centre),
			hosts[i].data_centre);
	}
	for (e = 0; e < s->entries_nr; e++) {
		struct kv_host *h = &d->hosts[d->hosts_nr++];

		cs_copy(h->host, sizeof(h->host), s->entries[e].id);
		cs_copy(h->data_centre, sizeof(h->data_centre),
			s->entries[e].data_centre);
	}
	return msg;
}

static struct msg *handle_write(struct site *s, const struct kv_call *call)
{
	struct site_value *v = g_hash_table_lookup(s->values, call->key);
	uint64_t version = v && v->value ? v->version : 0;
	struct msg *msg;

	if (version != call->version) {
		msg = new_reply(call, KV_CONFLICT);
		msg->u.kv_done.version = version;
		if (version)
			fill_rows(s, &msg->u.kv_done, call->key, 0);
		return msg;
	}
	put_value(s, call->key, call->op == KV_DELETE ? NULL : call->value);
	v = g_hash_table_lookup(s->values, call->key);
	msg = new_reply(call, KV_OK);
	msg->u.kv_done.version = v->version;
	return msg;
}

static struct msg *handle_read(struct site *s, const struct kv_call *call)
{
	struct site_value *v = g_hash_table_lookup(s->values, call->key);
	struct msg *msg;

	if (!v || !v->value)
		return new_reply(call, KV_MISSING);
	msg = new_reply(call, KV_OK);
	msg->u.kv_done.version = v->version;
	msg->u.kv_done.rows = g_new0(struct kv_row, 1);
	msg->u.kv_done.rows_nr = 1;
	cs_copy(msg->u.kv_done.rows[0].key, sizeof(msg->u.kv_done.rows[0].key),
		call->key);
	msg->u.kv_done.rows[0].version = v->version;
	msg->u.kv_done.rows[0].value = g_bytes_ref(v->value);
	return msg;
}

static void handle_kv_call(struct site_entry *e, const struct kv_call *call)
{
	struct site *s = e->s;
	struct msg *msg;

	e->stats.kv_nr[call->op]++;
	if (call->value)
		e->stats.kv_bytes += g_bytes_get_size(call->value);
	switch (call->op) {
	case KV_WATCH:
		begin_watch(e, call);
		return;
	case KV_HOSTS:
		msg = handle_hosts(s, call);
		break;
	case KV_CAS:
	case KV_DELETE:
		msg = handle_write(s, call);
		break;
	case KV_GET:
		msg = handle_read(s, call);
		break;
	case KV_LIST:
		msg = new_reply(call, KV_OK);
		fill_rows(s, &msg->u.kv_done, call->key, 0);
		break;
	default:
		msg = new_reply(call, KV_OK);
		msg->u.kv_done.lease = call->lease ? call->lease : ++s->lease;
		break;
	}
	send_reply(e, KV_DELAY, msg);
}

void site_publish_document(struct site *s)
{
	GBytes *bytes;

	document_set_revision(s->doc, document_revision(s->doc) + 1);
	bytes = document_codec_json.encode(s->doc);
	put_value(s, "config/fleet", bytes);
	g_bytes_unref(bytes);
}

/* Workers */

static void handle_task_start(struct site_entry *e,
			      const struct task_start *start)
{
	struct msg *msg = msg_new(MSG_TASK_DONE);
	struct task_done *d = &msg->u.task_done;
	bool is_long = start->work == WORK_LONG;

	e->stats.tasks++;
	d->part = start->part;
	d->attempt = start->attempt;
	d->result = TASK_ANSWERED;
	d->status = is_long ? 202 : 200;
	d->body = g_bytes_new_static("answer", 6);
	if (e->s->load.tasks_never_end && !is_long)
		msg_free(msg);
	else
		deliver_after(e,
			      is_long ? CS_MSEC : e->s->load.run_ms * CS_MSEC,
			      msg);
}

static void handle_task_control(struct site_entry *e,
				const struct task_control *c)
{
	struct msg *msg = msg_new(MSG_TASK_CONTROL_DONE);
	struct task_control_done *d = &msg->u.task_control_done;

	e->stats.controls++;
	d->part = c->part;
	d->attempt = c->attempt;
	d->op = c->op;
	d->state = c->op == TASK_STOP ? TASK_STATE_STOPPED : TASK_STATE_RUNNING;
	d->progress = 50;
	cs_copy(d->checkpoint, sizeof(d->checkpoint), "50");
	deliver_after(e, CS_MSEC, msg);
}

static void handle_usage_poll(struct site_entry *e,
			      const struct usage_poll *poll)
{
	struct msg *msg = msg_new(MSG_USAGE);

	e->stats.polls++;
	msg->u.usage.worker = poll->worker;
	msg->u.usage.slots = SITE_SLOTS_PER_WORKER;
	msg->u.usage.age_ms = 1000;
	deliver_after(e, CS_MSEC, msg);
}

/* An incarnation is a start time in us, so it differs between entries. */
static uint64_t incarnation_of(int index)
{
	return UINT64_C(1700000000000000) + (uint64_t)index * 1234567;
}

/* Takes ownership of msg. */
static void handle_peer_message(struct site_entry *e, struct msg *msg)
{
	struct site *s = e->s;
	enum peer_kind kind = msg->u.peer.kind;
	GBytes *bytes = peer_encode(&msg->u.peer);
	size_t len = g_bytes_get_size(bytes) + PEER_FRAME_HEADER_LEN;
	int i;

	g_bytes_unref(bytes);
	e->stats.peer_nr[kind]++;
	e->stats.peer_bytes[kind] += len;
	for (i = 0; i < s->entries_nr; i++)
		if (!strcmp(s->entries[i].id, msg->u.peer.peer))
			break;
	if (i == s->entries_nr) {
		msg_free(msg);
		return;
	}
	s->entries[i].stats.peer_in++;
	s->entries[i].stats.peer_in_bytes += len;
	cs_copy(msg->u.peer.peer, sizeof(msg->u.peer.peer), e->id);
	msg->u.peer.incarnation = incarnation_of(e->index);
	deliver_after(&s->entries[i], PEER_DELAY, msg);
}

static void handle_outgoing(struct site_entry *e, struct msg *msg)
{
	switch (msg->type) {
	case MSG_PEER:
		handle_peer_message(e, msg);
		return;
	case MSG_KV_CALL:
		handle_kv_call(e, &msg->u.kv_call);
		break;
	case MSG_TASK_START:
		handle_task_start(e, &msg->u.task_start);
		break;
	case MSG_TASK_CONTROL:
		handle_task_control(e, &msg->u.task_control);
		break;
	case MSG_USAGE_POLL:
		handle_usage_poll(e, &msg->u.usage_poll);
		break;
	case MSG_REPLY:
		e->stats.replies++;
		e->stats.answered += msg->u.reply.outcome == OUTCOME_ANSWERED ||
				     msg->u.reply.outcome == OUTCOME_ACCEPTED;
		break;
	default:
		break;
	}
	msg_free(msg);
}

static void collect_outgoing(void *ctx, struct msg *msg)
{
	struct site_entry *e = ctx;

	g_ptr_array_add(e->s->outgoing, msg);
}

static const struct outbox_ops outbox = { collect_outgoing };

static void on_wake(void *ctx, uint64_t arg, cs_time now);

/* Records the time of a call, then processes what the core sent, untimed. */
static void finish_call(struct site_entry *e, int cause, double start_us)
{
	struct site *s = e->s;
	double us = site_cpu_us() - start_us - s->clock_overhead_us;
	GPtrArray *out = s->outgoing;
	cs_time due;
	guint i;

	e->stats.calls++;
	e->stats.busy_us += us;
	e->stats.cause_us[cause] += us;
	e->stats.longest_call_us = MAX(e->stats.longest_call_us, us);
	s->outgoing = g_ptr_array_new();
	for (i = 0; i < out->len; i++)
		handle_outgoing(e, g_ptr_array_index(out, i));
	g_ptr_array_free(out, TRUE);
	due = entry_next_due(e->core);
	if (due >= e->next_wake)
		return;
	e->next_wake = MAX(due, s->now + 1);
	timers_subscribe(s->timers, e->next_wake, on_wake, e, 0);
}

static void on_wake(void *ctx, uint64_t arg, cs_time now)
{
	struct site_entry *e = ctx;
	double start_us;

	(void)arg;
	if (e->next_wake > now)
		return;
	e->next_wake = CS_TIME_NEVER;
	start_us = site_cpu_us();
	entry_advance(e->core, now);
	finish_call(e, SITE_CAUSE_TIMERS, start_us);
}

/* Index of the message in site_stats.cause_us. */
static int cause_of(const struct msg *msg)
{
	if (msg->type == MSG_KV_DONE)
		return SITE_CAUSE_PLATFORM + msg->u.kv_done.part;
	if (msg->type == MSG_PEER)
		return SITE_CAUSE_PEER + (int)msg->u.peer.kind;
	return (int)msg->type;
}

void site_handle(struct site_entry *e, struct msg *msg)
{
	int cause = cause_of(msg);
	double start_us = site_cpu_us();

	entry_handle(e->core, msg, e->s->now);
	finish_call(e, cause, start_us);
}

void site_submit(struct site_entry *e, int team, int pool, bool is_claimed,
		 bool is_long)
{
	struct site *s = e->s;
	struct msg *msg = msg_new(MSG_SUBMIT);
	struct submit *sub = &msg->u.submit;

	sub->caller = ++s->callers_nr;
	g_snprintf(sub->queue, sizeof(sub->queue), "queue-%03d", pool);
	sub->has_key = true;
	team_key(team, 0, sub->key_digest);
	sub->is_idempotent = !is_claimed;
	if (is_claimed || is_long)
		g_snprintf(sub->request_id, sizeof(sub->request_id),
			   "request-%" PRIu64, s->callers_nr);
	sub->work = is_long ? WORK_LONG : WORK_SHORT;
	sub->deadline_ms = is_long ? 3600000 : 30000;
	sub->body = g_bytes_new_static("work", 4);
	e->stats.submits++;
	site_handle(e, msg);
}

static void on_arrival(void *ctx, uint64_t unused, cs_time now)
{
	struct site_entry *e = ctx;
	struct site *s = e->s;
	const struct site_load *l = &s->load;
	int team, pool;
	bool is_long;

	(void)unused;
	(void)now;
	if (!s->is_loaded)
		return;
	is_long = g_rand_int_range(s->rng, 0, 100) < l->long_percent;
	/* Each team uses only POOLS_PER_TEAM pools. */
	team = g_rand_int_range(s->rng, 0, s->size.teams);
	pool = (team * 7 + g_rand_int_range(s->rng, 0, POOLS_PER_TEAM) * 31) %
	       (s->size.pools - 1);
	site_submit(e, team, pool,
		    g_rand_int_range(s->rng, 0, 100) < l->claimed_percent,
		    is_long);
	schedule(s, (cs_time)(1e6 / l->rate), on_arrival, e, 0);
}

void site_set_load(struct site *s, const struct site_load *load)
{
	bool was_loaded = s->is_loaded;
	int i;

	s->is_loaded = load && load->rate > 0;
	if (load)
		s->load = *load;
	for (i = 0; i < s->entries_nr && s->is_loaded && !was_loaded; i++)
		schedule(s, 1 + i * 37, on_arrival, &s->entries[i], 0);
}

static void announce_peers(struct site *s)
{
	int i, k;

	for (i = 0; i < s->entries_nr; i++) {
		for (k = 0; k < s->entries_nr; k++) {
			struct msg *msg = msg_new(MSG_PEER_STATE);
			struct peer_state *p = &msg->u.peer_state;

			cs_copy(p->peer, sizeof(p->peer), s->entries[k].id);
			cs_copy(p->data_centre, sizeof(p->data_centre),
				s->entries[k].data_centre);
			p->incarnation = incarnation_of(k);
			p->is_up = true;
			if (i == k)
				msg_free(msg);
			else
				deliver_after(&s->entries[i], CS_MSEC, msg);
		}
	}
}

static void start_entry(struct site *s, int index, uint32_t seed)
{
	struct entry_peer *peers = g_new0(struct entry_peer, s->entries_nr);
	struct site_entry *e = &s->entries[index];
	struct entry_options o = { 0 };
	struct cs_error err = { 0 };
	double start_us;
	int i;

	for (i = 0; i < s->entries_nr; i++) {
		if (i == index)
			continue;
		cs_copy(peers[o.peers_nr].id, CS_NAME_MAX, s->entries[i].id);
		cs_copy(peers[o.peers_nr++].data_centre, CS_NAME_MAX,
			s->entries[i].data_centre);
	}
	cs_copy(o.id, sizeof(o.id), e->id);
	cs_copy(o.data_centre, sizeof(o.data_centre), e->data_centre);
	o.incarnation = incarnation_of(index);
	o.seed = seed + (uint32_t)index;
	o.queue_depth = 65536;
	o.peers = peers;
	e->core = entry_create(&o, &outbox, e, &err);
	if (!e->core)
		g_error("entry_create: %s", err.message);
	start_us = site_cpu_us();
	entry_start(e->core, s->now);
	finish_call(e, SITE_CAUSE_TIMERS, start_us);
	g_free(peers);
}

static void free_value(gpointer data)
{
	struct site_value *v = data;

	if (v->value)
		g_bytes_unref(v->value);
	g_free(v);
}

struct site *site_create(const struct site_size *size, int entries_nr,
			 uint32_t seed)
{
	struct site *s = g_new0(struct site, 1);
	GBytes *bytes;
	double a;
	int i;

	s->size = *size;
	s->now = CS_SEC;
	s->timers = timers_create();
	s->rng = g_rand_new_with_seed(seed);
	s->values = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					  free_value);
	s->watches = g_ptr_array_new();
	s->outgoing = g_ptr_array_new();
	s->entries_nr = entries_nr;
	s->entries = g_new0(struct site_entry, entries_nr);
	a = site_cpu_us();
	for (i = 0; i < 1000; i++)
		site_cpu_us();
	s->clock_overhead_us = (site_cpu_us() - a) / 1000;
	s->doc = site_document(size);
	bytes = document_codec_json.encode(s->doc);
	put_value(s, "config/fleet", bytes);
	g_bytes_unref(bytes);
	for (i = 0; i < entries_nr; i++) {
		struct site_entry *e = &s->entries[i];

		e->s = s;
		e->index = i;
		e->next_wake = CS_TIME_NEVER;
		g_snprintf(e->id, sizeof(e->id), "entry-%02d", i + 1);
		g_snprintf(e->data_centre, sizeof(e->data_centre), "dc%02d",
			   i % size->data_centres + 1);
	}
	for (i = 0; i < entries_nr; i++)
		start_entry(s, i, seed);
	announce_peers(s);
	return s;
}

void site_destroy(struct site *s)
{
	int i;

	for (i = 0; i < s->entries_nr; i++)
		entry_destroy(s->entries[i].core);
	timers_destroy(s->timers);
	g_rand_free(s->rng);
	g_hash_table_destroy(s->values);
	g_ptr_array_free(s->watches, TRUE);
	g_ptr_array_free(s->outgoing, TRUE);
	document_destroy(s->doc);
	g_free(s->entries);
	g_free(s);
}

void site_run(struct site *s, cs_time span)
{
	cs_time end = s->now + span;

	while (timers_next_due(s->timers) <= end) {
		s->now = MAX(s->now, timers_next_due(s->timers));
		timers_run_one(s->timers, s->now);
	}
	s->now = end;
}

void site_reset_stats(struct site *s)
{
	int i;

	for (i = 0; i < s->entries_nr; i++)
		memset(&s->entries[i].stats, 0, sizeof(s->entries[i].stats));
}
