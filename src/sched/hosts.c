#include "sched_private.h"

#include "../base/error.h"
#include "../base/log.h"

/*
 * The list of hosts, as the host service tells it. It lags, so an order that
 * was accepted counts more than a list that was asked for before.
 */

/* Between two readings; each page is a priced call. */
#define LIST_INTERVAL_US (1 * CS_SEC)

struct hosts {
	GHashTable *rows; /* name -> struct order_host, as listed last */
	GPtrArray *pages; /* of the list that is being read */
	bool is_open;
	cs_time begun_at; /* the present reading */
	cs_time listed_at; /* the last complete one; 0: none */
	cs_time next_at;
};

struct hosts *hosts_create(void)
{
	struct hosts *h = g_new0(struct hosts, 1);

	h->rows = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	h->pages = g_ptr_array_new_with_free_func(g_free);
	return h;
}

void hosts_destroy(struct hosts *h)
{
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

static void ask(struct sched *s, const char *page, cs_time now)
{
	struct order *o = order_new(ORDER_LIST_HOSTS);

	o->page = g_strdup(page);
	o->timeout_ms = HOST_TIMEOUT_MS;
	if (!page) {
		g_ptr_array_set_size(s->hosts->pages, 0);
		s->hosts->begun_at = now;
	}
	s->hosts->is_open = true;
	s->ops->send(s->ctx, o);
}

struct order *hosts_new_order(const struct sched *s, enum order_type type,
			      const char *host, cs_time now)
{
	struct order *o;

	if (!s->is_ready || s->is_paused || s->is_fenced ||
	    now - s->confirmed_at > HOST_ORDER_AGE_US ||
	    now - s->started_at < s->options.bounds.holder_pause_ms * CS_MSEC)
		return NULL;
	o = order_new(type);
	o->timeout_ms = HOST_TIMEOUT_MS;
	o->not_after = s->confirmed_at + HOST_ORDER_AGE_US;
	o->token = s->options.token;
	cs_copy(o->host, sizeof(o->host), host);
	cs_copy(o->holder, sizeof(o->holder), s->options.holder);
	return o;
}

void hosts_want(struct sched *s, cs_time now)
{
	if (s->hosts->is_open || now < s->hosts->next_at)
		return;
	s->hosts->next_at = now + LIST_INTERVAL_US;
	ask(s, NULL, now);
}

void hosts_on_done(struct sched *s, const struct order_done *d, cs_time now)
{
	struct hosts *h = s->hosts;
	GString *pairs;
	guint i;

	h->is_open = false;
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
		ask(s, d->next_page, now);
		return;
	}
	g_hash_table_remove_all(h->rows);
	for (i = 0; i < h->pages->len; i++) {
		struct order_host *row =
			g_memdup2(g_ptr_array_index(h->pages, i), sizeof(*row));

		g_hash_table_insert(h->rows, row->name, row);
	}
	h->listed_at = h->begun_at;
}
