#include "site.h"

#include <string.h>
#include <strings.h>

/* The hash tables point to rows of the arrays. */
struct site {
	gint refs;
	uint64_t version;
	int64_t body_max;
	GPtrArray *queues; /* struct site_queue */
	GPtrArray *pools; /* struct site_pool */
	GPtrArray *workspaces; /* struct site_workspace */
	GHashTable *queue_by_name;
	GHashTable *keys; /* key -> struct site_workspace */
};

struct site_resources site_resources_add(struct site_resources a,
					 struct site_resources b)
{
	a.cpu += b.cpu;
	a.memory_mb += b.memory_mb;
	a.accelerators += b.accelerators;
	return a;
}

struct site_resources site_resources_sub(struct site_resources a,
					 struct site_resources b)
{
	a.cpu -= b.cpu;
	a.memory_mb -= b.memory_mb;
	a.accelerators -= b.accelerators;
	return a;
}

bool site_resources_fit(struct site_resources need, struct site_resources room)
{
	return need.cpu <= room.cpu && need.memory_mb <= room.memory_mb &&
	       need.accelerators <= room.accelerators;
}

static void queue_free(void *row)
{
	struct site_queue *q = row;

	g_free(q->prefix);
	g_free(q);
}

struct site *site_create(uint64_t version)
{
	struct site *s = g_new0(struct site, 1);

	s->refs = 1;
	s->version = version;
	s->queues = g_ptr_array_new_with_free_func(queue_free);
	s->pools = g_ptr_array_new_with_free_func(g_free);
	s->workspaces = g_ptr_array_new_with_free_func(g_free);
	s->queue_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	s->keys = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	return s;
}

struct site *site_ref(struct site *s)
{
	if (s)
		g_atomic_int_inc(&s->refs);
	return s;
}

/* Frees the configuration with its last reference. s may be NULL. */
void site_unref(struct site *s)
{
	if (!s || !g_atomic_int_dec_and_test(&s->refs))
		return;
	g_hash_table_destroy(s->queue_by_name);
	g_hash_table_destroy(s->keys);
	g_ptr_array_free(s->queues, TRUE);
	g_ptr_array_free(s->pools, TRUE);
	g_ptr_array_free(s->workspaces, TRUE);
	g_free(s);
}

void site_add_queue(struct site *s, const struct site_queue *q)
{
	struct site_queue *row = g_new(struct site_queue, 1);

	*row = *q;
	g_ptr_array_add(s->queues, row);
	g_hash_table_insert(s->queue_by_name, row->name, row);
}

void site_add_pool(struct site *s, const struct site_pool *p)
{
	struct site_pool *row = g_new(struct site_pool, 1);

	*row = *p;
	g_ptr_array_add(s->pools, row);
}

int site_add_workspace(struct site *s, const struct site_workspace *w)
{
	struct site_workspace *row = g_new(struct site_workspace, 1);

	*row = *w;
	g_ptr_array_add(s->workspaces, row);
	return (int)s->workspaces->len - 1;
}

void site_add_key(struct site *s, int workspace, const char *key)
{
	g_hash_table_insert(s->keys, g_strdup(key),
			    g_ptr_array_index(s->workspaces, workspace));
}

void site_set_body_max(struct site *s, int64_t bytes)
{
	s->body_max = bytes;
}

uint64_t site_version(const struct site *s)
{
	return s->version;
}

int64_t site_body_max(const struct site *s)
{
	return s->body_max;
}

const struct site_queue *site_route(const struct site *s, const char *host,
				    const char *path, const char **rest)
{
	const struct site_queue *found = NULL;
	size_t found_len = 0;
	guint i;

	for (i = 0; i < s->queues->len; i++) {
		const struct site_queue *q = g_ptr_array_index(s->queues, i);
		size_t len = strlen(q->prefix);

		if (len < found_len || strcasecmp(q->host, host) ||
		    strncmp(path, q->prefix, len))
			continue;
		found = q;
		found_len = len;
	}
	if (found && rest)
		*rest = path + found_len;
	return found;
}

const struct site_queue *site_find_queue(const struct site *s, const char *name)
{
	return g_hash_table_lookup(s->queue_by_name, name);
}

const struct site_pool *site_find_pool(const struct site *s, const char *name)
{
	guint i;

	for (i = 0; i < s->pools->len; i++) {
		const struct site_pool *p = g_ptr_array_index(s->pools, i);

		if (!strcmp(p->name, name))
			return p;
	}
	return NULL;
}

const struct site_workspace *site_find_workspace(const struct site *s,
						 const char *name)
{
	guint i;

	for (i = 0; i < s->workspaces->len; i++) {
		const struct site_workspace *w =
			g_ptr_array_index(s->workspaces, i);

		if (!strcmp(w->name, name))
			return w;
	}
	return NULL;
}

const struct site_workspace *site_key_owner(const struct site *s,
					    const char *key)
{
	return g_hash_table_lookup(s->keys, key);
}

const struct site_queue *site_queue_at(const struct site *s, guint i)
{
	return i < s->queues->len ? g_ptr_array_index(s->queues, i) : NULL;
}

const struct site_pool *site_pool_at(const struct site *s, guint i)
{
	return i < s->pools->len ? g_ptr_array_index(s->pools, i) : NULL;
}

const struct site_workspace *site_workspace_at(const struct site *s, guint i)
{
	return i < s->workspaces->len ? g_ptr_array_index(s->workspaces, i) :
					NULL;
}
