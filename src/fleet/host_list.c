#include "host_list.h"

/*
 * The list lags, and a replica that is behind may reply. A host counts as gone
 * only if it was missing from every reply for this long.
 */
#define HOST_GONE_TIME (10 * CS_SEC)

/* Least number of these replies, so that one gap in the list is not enough. */
#define HOST_GONE_REPLIES 3

/*
 * Successive replies without a host after which it counts as absent. A single
 * one may come from a replica that is behind.
 */
#define HOST_ABSENT_REPLIES 2

struct host_row {
	bool is_leaving;
	cs_time last_seen; /* time of the last reply with it */
	uint64_t last_seen_reply; /* number of that reply */
};

struct host_list {
	GHashTable *rows; /* host name -> struct host_row */
	uint64_t replies_nr;
	cs_time last_reply_time;
};

struct host_list *host_list_create(void)
{
	struct host_list *l = g_new0(struct host_list, 1);

	l->rows =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return l;
}

void host_list_destroy(struct host_list *l)
{
	if (!l)
		return;
	g_hash_table_destroy(l->rows);
	g_free(l);
}

void host_list_update(struct host_list *l, const struct kv_host *hosts,
		      size_t nr, cs_time now)
{
	struct host_row *row;
	size_t i;

	l->replies_nr++;
	l->last_reply_time = now;
	for (i = 0; i < nr; i++) {
		row = g_hash_table_lookup(l->rows, hosts[i].host);
		if (!row) {
			row = g_new0(struct host_row, 1);
			g_hash_table_insert(l->rows, g_strdup(hosts[i].host),
					    row);
		}
		row->is_leaving = hosts[i].is_leaving;
		row->last_seen = now;
		row->last_seen_reply = l->replies_nr;
	}
}

bool host_list_is_leaving(const struct host_list *l, const char *host)
{
	const struct host_row *row = g_hash_table_lookup(l->rows, host);

	return row && row->is_leaving;
}

bool host_list_is_absent(const struct host_list *l, const char *host)
{
	const struct host_row *row = g_hash_table_lookup(l->rows, host);

	return row &&
	       (row->is_leaving ||
		l->replies_nr - row->last_seen_reply >= HOST_ABSENT_REPLIES);
}

bool host_list_is_live(const struct host_list *l, const char *host)
{
	const struct host_row *row = g_hash_table_lookup(l->rows, host);

	return row && !row->is_leaving && row->last_seen_reply == l->replies_nr;
}

bool host_list_is_gone(const struct host_list *l, const char *host, cs_time now)
{
	const struct host_row *row = g_hash_table_lookup(l->rows, host);

	/* Without recent replies nothing is known about missing hosts. */
	if (!row || now - l->last_reply_time > HOST_GONE_TIME)
		return false;
	return l->replies_nr - row->last_seen_reply >= HOST_GONE_REPLIES &&
	       now - row->last_seen >= HOST_GONE_TIME;
}
