#include "node_private.h"

#include <inttypes.h>
#include <string.h>

#include "../base/log.h"

/*
 * The owner's writes of the progress of maintenance waves: the status that
 * operators read, and the hosts done, which a successor reads. They are rare,
 * so each has a transaction of its own. At most one is open for a wave, and it
 * is conditional on the revision of the last one: a transaction that got no
 * reply and is carried out late can't undo a later one.
 */

/* Pause before a failed write is repeated. */
#define RETRY_US (200 * CS_MSEC)
/* Waves of one term. */
#define WAVES_MAX 4096

struct wave_write {
	cs_handle self;
	uint64_t wave;
	uint64_t revision; /* of the key of the hosts done; 0: not known */
	char *done_hosts; /* what is to be written, a line for each host */
	bool is_done;
	bool is_open; /* a transaction is on its way */
	bool is_changed; /* since it was sent */
	cs_handle timer; /* of the next attempt; 0: none */
};

static void on_written(void *ctx, uint64_t arg, const struct store_reply *d,
		       cs_time now);

static void send_write(struct node *n, struct wave_write *w)
{
	struct store_call *call =
		store_call_new(STORE_TXN, NULL, STORE_TIMEOUT_MS);
	char *status_key = g_strdup_printf(
		"%s%" PRIu64, n->formats->wave_status_prefix, w->wave);
	char *progress_key = g_strdup_printf(KEY_WAVES "%" PRIu64, w->wave);

	w->is_open = true;
	w->is_changed = false;
	store_call_expect(call, KEY_OWNER, n->owner.key_revision);
	store_call_expect(call, progress_key, w->revision);
	store_call_write(call, status_key,
			 n->formats->write_wave_status(w->is_done), 0);
	store_call_write(call, progress_key,
			 g_bytes_new(w->done_hosts, strlen(w->done_hosts)), 0);
	store_calls_send(n->calls, call, on_written, n, w->self);
	g_free(status_key);
	g_free(progress_key);
}

static void on_retry(void *ctx, uint64_t arg, cs_time now)
{
	struct node *n = ctx;
	struct wave_write *w = slots_get(n->wave_writes, arg);

	(void)now;
	if (!w)
		return;
	w->timer = 0;
	send_write(n, w);
}

static void log_failed(struct node *n, const struct wave_write *w,
		       const struct store_reply *d)
{
	GString *pairs = g_string_new(NULL);

	log_pair_int(pairs, "wave", (int64_t)w->wave);
	log_pair(pairs, "result", store_result_name(d->result));
	log_pair(pairs, "message", d->error.message);
	node_log(n, "wave_write_failed", pairs);
}

/* The revision of the hosts done that a failed transaction reports. */
static uint64_t present_revision(const struct store_reply *d)
{
	guint i;

	for (i = 0; i < d->items->len; i++) {
		const struct store_item *item = g_ptr_array_index(d->items, i);

		if (item->value && g_str_has_prefix(item->key, KEY_WAVES))
			return item->revision;
	}
	return 0;
}

/* The row is gone if the term has ended meanwhile. */
static void on_written(void *ctx, uint64_t arg, const struct store_reply *d,
		       cs_time now)
{
	struct node *n = ctx;
	struct wave_write *w = slots_get(n->wave_writes, arg);

	if (!w)
		return;
	w->is_open = false;
	if (d->result == STORE_OK) {
		w->revision = d->revision;
		if (w->is_changed)
			send_write(n, w);
		return;
	}
	/* Of a predecessor, or of a write that got no reply. */
	if (d->result == STORE_CONFLICT)
		w->revision = present_revision(d);
	else
		log_failed(n, w, d);
	w->timer = timers_subscribe(n->timers, now + RETRY_US, on_retry, n,
				    w->self);
}

static struct wave_write *find_write(struct node *n, uint64_t wave)
{
	struct wave_write *w;
	cs_handle h;

	if (!n->wave_writes)
		n->wave_writes = slots_create(sizeof(*w), WAVES_MAX);
	for (h = slots_next(n->wave_writes, 0); h;
	     h = slots_next(n->wave_writes, h)) {
		w = slots_get(n->wave_writes, h);
		if (w->wave == wave)
			return w;
	}
	h = slots_alloc(n->wave_writes, (void **)&w);
	if (!h)
		return NULL;
	w->self = h;
	w->wave = wave;
	return w;
}

void wave_status_write(void *ctx, uint64_t wave, const GPtrArray *done_hosts,
		       bool is_done)
{
	struct node *n = ctx;
	struct wave_write *w = find_write(n, wave);
	GString *names, *pairs;
	guint i;

	if (!w) {
		pairs = g_string_new(NULL);
		log_pair_int(pairs, "wave", (int64_t)wave);
		log_pair(pairs, "result", "too many waves");
		node_log(n, "wave_write_failed", pairs);
		return;
	}
	names = g_string_new(NULL);
	for (i = 0; i < done_hosts->len; i++)
		g_string_append_printf(
			names, "%s\n",
			(const char *)g_ptr_array_index(done_hosts, i));
	g_free(w->done_hosts);
	w->done_hosts = g_string_free(names, FALSE);
	w->is_done = is_done;
	w->is_changed = true;
	if (!w->is_open && !w->timer)
		send_write(n, w);
}

void wave_status_reset(struct node *n)
{
	cs_handle h, next;

	if (!n->wave_writes)
		return;
	/* The table stays: replies to these writes must not find new rows. */
	for (h = slots_next(n->wave_writes, 0); h; h = next) {
		struct wave_write *w = slots_get(n->wave_writes, h);

		next = slots_next(n->wave_writes, h);
		timers_cancel(n->timers, w->timer);
		g_free(w->done_hosts);
		slots_free(n->wave_writes, h);
	}
}
