#include "../sched_private.h"

#include "../../base/error.h"
#include "../../base/log.h"

/*
 * The list of hosts from the host service, and the queue of orders to hosts.
 * The list is delayed, so an accepted order takes precedence over a list that
 * was requested before.
 */

/* Interval of requests for the list; the site pays for each page. */
#define LIST_INTERVAL_US (1 * CS_SEC)

/* An order that waits to be stored. */
struct host_order {
	struct order *order;
	cs_handle server; /* on the host; 0: none */
};

/* A host that was sent an order recently. */
struct recent_order {
	char name[SITE_NAME_MAX];
	cs_time at;
};

struct hosts {
	GQueue queued; /* struct host_order */
	GQueue storing; /* the same, in a transaction that is not done yet */
	GQueue recent; /* struct recent_order, oldest first */
	/* Names of hosts with recent orders of a predecessor. */
	GHashTable *predecessor_ordered;
	GHashTable *rows; /* name -> struct order_host; last complete list */
	GPtrArray *pages; /* struct order_host; list that is being read */
	bool is_listing;
	cs_time requested_at; /* the list that is being read */
	cs_time listed_at; /* request of the last complete one; 0: none */
	cs_time next_list_at;
};

struct hosts *hosts_create(void)
{
	struct hosts *h = g_new0(struct hosts, 1);

	h->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	h->pages = g_ptr_array_new_with_free_func(g_free);
	h->predecessor_ordered =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return h;
}

static void host_order_free(void *row)
{
	struct host_order *p = row;

	order_free(p->order);
	g_free(p);
}

void hosts_destroy(struct hosts *h)
{
	g_queue_clear_full(&h->queued, host_order_free);
	g_queue_clear_full(&h->storing, host_order_free);
	g_queue_clear_full(&h->recent, g_free);
	g_hash_table_destroy(h->predecessor_ordered);
	g_hash_table_destroy(h->rows);
	g_ptr_array_free(h->pages, TRUE);
	g_free(h);
}

const struct order_host *hosts_find(const struct sched *s, const char *name)
{
	return g_hash_table_lookup(s->hosts->rows, name);
}

cs_time hosts_listed_at(const struct sched *s)
{
	return s->hosts->listed_at;
}

GHashTable *hosts_table(const struct sched *s)
{
	return s->hosts->rows;
}

static void request_page(struct sched *s, const char *page, cs_time now)
{
	struct order *o = order_new(ORDER_LIST_HOSTS);

	o->page = g_strdup(page);
	o->timeout_ms = HOST_TIMEOUT_MS;
	if (!page) {
		g_ptr_array_set_size(s->hosts->pages, 0);
		s->hosts->requested_at = now;
	}
	s->hosts->is_listing = true;
	s->ops->send(s->ctx, o);
}

struct order *hosts_new_order(const struct sched *s, enum order_type type,
			      const char *host, cs_time now)
{
	struct order *o;

	if (!s->is_ready || s->is_paused || s->is_fenced ||
	    now - s->confirmed_at > HOST_ORDER_CONFIRM_AGE_US ||
	    hosts_is_blocked(s, host, now))
		return NULL;
	o = order_new(type);
	o->timeout_ms = HOST_TIMEOUT_MS;
	o->token = s->options.token;
	cs_copy(o->host, sizeof(o->host), host);
	cs_copy(o->holder, sizeof(o->holder), s->options.holder);
	return o;
}

bool hosts_is_blocked(const struct sched *s, const char *host, cs_time now)
{
	return now - s->started_at <
		       s->options.limits.holder_pause_ms * CS_MSEC &&
	       g_hash_table_contains(s->hosts->predecessor_ordered, host);
}

bool hosts_may_have_late_order(const struct sched *s, const char *host,
			       cs_time now)
{
	return now - s->started_at < LATE_ORDER_US &&
	       g_hash_table_contains(s->hosts->predecessor_ordered, host);
}

void sched_note_predecessor_host_order(struct sched *s, const char *host)
{
	g_hash_table_add(s->hosts->predecessor_ordered, g_strdup(host));
}

void hosts_queue_order(struct sched *s, struct order *o, const struct server *v)
{
	struct host_order *p = g_new0(struct host_order, 1);

	p->order = o;
	p->server = v ? v->self : 0;
	g_queue_push_tail(&s->hosts->queued, p);
}

int sched_take_host_orders(struct sched *s, int max, guint ended_max,
			   cs_time now)
{
	struct hosts *h = s->hosts;
	int n = 0;

	for (; n < max && grants_count_ended(s) < ended_max &&
	       !g_queue_is_empty(&h->queued);
	     n++) {
		struct host_order *p = g_queue_pop_head(&h->queued);
		struct server *v = server_row(s, p->server);
		struct recent_order *row = g_new0(struct recent_order, 1);

		if (v && v->is_granted && !v->runs->len) {
			grants_invalidate(v);
			grants_end(s, v->info.id);
		}
		cs_copy(row->name, sizeof(row->name), p->order->host);
		row->at = now;
		g_queue_push_tail(&h->recent, row);
		g_queue_push_tail(&h->storing, p);
	}
	return n;
}

char *sched_ordered_hosts(const struct sched *s, cs_time now)
{
	struct hosts *h = s->hosts;
	cs_time keep = s->options.limits.holder_pause_ms * CS_MSEC +
		       HOST_ORDER_CONFIRM_AGE_US;
	GString *text = g_string_new(NULL);
	const struct recent_order *row;
	GHashTableIter it;
	const GList *l;
	void *name;

	/* A successor may take over before these hosts are free. */
	g_hash_table_iter_init(&it, h->predecessor_ordered);
	while (g_hash_table_iter_next(&it, &name, NULL))
		if (hosts_is_blocked(s, name, now))
			g_string_append_printf(text, "%s\n", (char *)name);
	while ((row = g_queue_peek_head(&h->recent)) && now - row->at > keep)
		g_free(g_queue_pop_head(&h->recent));
	for (l = h->recent.head; l; l = l->next) {
		row = l->data;
		g_string_append_printf(text, "%s\n", row->name);
	}
	return g_string_free(text, FALSE);
}

/* Completes an order that is not sent with the result ORDER_NOT_SENT. */
static void complete_unsent(struct sched *s, struct order *o, cs_time now)
{
	struct order_reply *d = order_reply_new(o);

	sched_order_reply(s, d, now);
	order_reply_free(d);
	order_free(o);
}

void sched_host_orders_stored(struct sched *s, bool is_stored,
			      cs_time not_after, cs_time now)
{
	struct host_order *p;

	while ((p = g_queue_pop_head(&s->hosts->storing))) {
		if (is_stored && now < not_after) {
			p->order->not_after = not_after;
			s->ops->send(s->ctx, p->order);
		} else {
			complete_unsent(s, p->order, now);
		}
		g_free(p);
	}
}

void hosts_refresh(struct sched *s, cs_time now)
{
	if (s->hosts->is_listing || now < s->hosts->next_list_at)
		return;
	s->hosts->next_list_at = now + LIST_INTERVAL_US;
	request_page(s, NULL, now);
}

void hosts_on_reply(struct sched *s, const struct order_reply *d, cs_time now)
{
	struct hosts *h = s->hosts;
	GString *pairs;
	guint i;

	h->is_listing = false;
	if (d->result != ORDER_DONE) {
		pairs = g_string_new(NULL);
		log_pair(pairs, "result", order_result_name(d->result));
		log_pair(pairs, "reason", order_reason_name(d->reason));
		log_pair_int(pairs, "list_age_ms",
			     h->listed_at ? (now - h->listed_at) / CS_MSEC :
					    -1);
		sched_log(s, "host_list_failed", pairs);
		return;
	}
	for (i = 0; i < d->hosts->len; i++)
		g_ptr_array_add(h->pages,
				g_memdup2(g_ptr_array_index(d->hosts, i),
					  sizeof(struct order_host)));
	if (d->next_page) {
		request_page(s, d->next_page, now);
		return;
	}
	g_hash_table_remove_all(h->rows);
	for (i = 0; i < h->pages->len; i++) {
		struct order_host *row =
			g_memdup2(g_ptr_array_index(h->pages, i), sizeof(*row));

		g_hash_table_insert(h->rows, row->name, row);
	}
	h->listed_at = h->requested_at;
}
