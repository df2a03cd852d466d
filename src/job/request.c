#include "request.h"

#include <string.h>

#include "../base/error.h"

/* Limits the memory of an entry: a request takes about 1 KB plus its body. */
#define REQUESTS_MAX 65536

struct request_table {
	struct slots *rows;
	GHashTable *pools; /* name -> struct pool_queue */
	GHashTable *teams; /* name -> struct team_totals */
	GHashTable *by_caller; /* &submit.caller -> struct request */
	GHashTable *by_origin; /* &struct origin_key -> struct request */
};

struct origin_key {
	char origin[CS_NAME_MAX];
	uint64_t ref;
};

static guint origin_hash(gconstpointer p)
{
	const struct origin_key *k = p;

	return g_str_hash(k->origin) ^ (guint)(k->ref * 2654435761u);
}

static gboolean origin_equal(gconstpointer a, gconstpointer b)
{
	const struct origin_key *x = a, *y = b;

	return x->ref == y->ref && !strcmp(x->origin, y->origin);
}

static void free_pool(gpointer data)
{
	struct pool_queue *p = data;

	g_hash_table_destroy(p->teams);
	g_free(p);
}

struct request_table *request_table_create(void)
{
	struct request_table *t = g_new0(struct request_table, 1);

	t->rows = slots_create(sizeof(struct request), REQUESTS_MAX);
	if (!t->rows) {
		g_free(t);
		return NULL;
	}
	t->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_pool);
	t->teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	t->by_caller = g_hash_table_new(g_int64_hash, g_int64_equal);
	t->by_origin =
		g_hash_table_new_full(origin_hash, origin_equal, g_free, NULL);
	return t;
}

void request_table_destroy(struct request_table *t)
{
	cs_handle h;

	if (!t)
		return;
	for (h = slots_next(t->rows, 0); h; h = slots_next(t->rows, h))
		g_bytes_unref(request_get(t, h)->submit.body);
	g_hash_table_destroy(t->by_caller);
	g_hash_table_destroy(t->by_origin);
	g_hash_table_destroy(t->pools);
	g_hash_table_destroy(t->teams);
	slots_destroy(t->rows);
	g_free(t);
}

struct pool_queue *request_pool_queue(struct request_table *t, const char *pool)
{
	struct pool_queue *p = g_hash_table_lookup(t->pools, pool);

	if (p)
		return p;
	p = g_new0(struct pool_queue, 1);
	cs_copy(p->name, sizeof(p->name), pool);
	p->teams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	retry_budget_init(&p->retry);
	g_hash_table_insert(t->pools, p->name, p);
	return p;
}

struct team_totals *request_team_totals(struct request_table *t,
					const char *team)
{
	struct team_totals *totals = g_hash_table_lookup(t->teams, team);

	if (totals)
		return totals;
	totals = g_new0(struct team_totals, 1);
	cs_copy(totals->team, sizeof(totals->team), team);
	retry_budget_init(&totals->retry);
	g_hash_table_insert(t->teams, totals->team, totals);
	return totals;
}

struct team_queue *request_team_queue(struct request_table *t,
				      struct pool_queue *p, const char *team)
{
	struct team_queue *q = g_hash_table_lookup(p->teams, team);

	if (q)
		return q;
	q = g_new0(struct team_queue, 1);
	cs_copy(q->team, sizeof(q->team), team);
	q->pool = p;
	q->totals = request_team_totals(t, team);
	g_hash_table_insert(p->teams, q->team, q);
	return q;
}

struct request *request_add(struct request_table *t,
			    const struct submit *submit, const char *pool,
			    const char *team)
{
	struct request *r;
	cs_handle h;

	h = slots_alloc(t->rows, (void **)&r);
	if (!h)
		return NULL;
	r->self = h;
	r->submit = *submit;
	r->submit.body = submit->body ? g_bytes_ref(submit->body) :
					g_bytes_new(NULL, 0);
	r->pool = request_pool_queue(t, pool);
	r->team = request_team_queue(t, r->pool, team);
	if (submit->caller)
		g_hash_table_insert(t->by_caller, &r->submit.caller, r);
	return r;
}

void request_set_origin(struct request_table *t, struct request *r,
			const char *origin, uint64_t ref)
{
	struct origin_key *k = g_new0(struct origin_key, 1);

	cs_copy(r->origin, sizeof(r->origin), origin);
	r->origin_ref = ref;
	cs_copy(k->origin, sizeof(k->origin), origin);
	k->ref = ref;
	g_hash_table_insert(t->by_origin, k, r);
}

void request_remove(struct request_table *t, struct request *r)
{
	struct origin_key k = { .ref = r->origin_ref };

	if (r->submit.caller &&
	    g_hash_table_lookup(t->by_caller, &r->submit.caller) == r)
		g_hash_table_remove(t->by_caller, &r->submit.caller);
	if (*r->origin) {
		cs_copy(k.origin, sizeof(k.origin), r->origin);
		g_hash_table_remove(t->by_origin, &k);
	}
	g_bytes_unref(r->submit.body);
	slots_free(t->rows, r->self);
}

struct request *request_get(const struct request_table *t, cs_handle h)
{
	return slots_get(t->rows, h);
}

struct request *request_by_caller(const struct request_table *t,
				  cs_handle caller)
{
	return g_hash_table_lookup(t->by_caller, &caller);
}

struct request *request_by_origin(const struct request_table *t,
				  const char *origin, uint64_t ref)
{
	struct origin_key k = { .ref = ref };

	cs_copy(k.origin, sizeof(k.origin), origin);
	return g_hash_table_lookup(t->by_origin, &k);
}

/* The links of a request in its pool's urgent list or in its team's queue. */
static struct request_links *links_of(struct request *r, bool is_urgent)
{
	return is_urgent ? &r->urgent_links : &r->links;
}

/*
 * Links a request at the head or the tail. An urgent request is in two lists:
 * its pool's urgent list and its team's queue; is_urgent chooses the links.
 */
static void list_insert(struct request_table *t, struct request_list *list,
			struct request *r, bool is_urgent, bool at_head)
{
	struct request_links *l = links_of(r, is_urgent);
	struct request *other;

	l->prev = at_head ? 0 : list->tail;
	l->next = at_head ? list->head : 0;
	other = request_get(t, at_head ? list->head : list->tail);
	if (other && at_head)
		links_of(other, is_urgent)->prev = r->self;
	else if (other)
		links_of(other, is_urgent)->next = r->self;
	if (at_head || !other)
		list->head = r->self;
	if (!at_head || !other)
		list->tail = r->self;
	list->nr++;
}

/* The request must be in this list. */
static void list_remove(struct request_table *t, struct request_list *list,
			struct request *r, bool is_urgent)
{
	struct request_links *l = links_of(r, is_urgent);
	struct request *prev = request_get(t, l->prev);
	struct request *next = request_get(t, l->next);

	if (prev)
		links_of(prev, is_urgent)->next = l->next;
	else
		list->head = l->next;
	if (next)
		links_of(next, is_urgent)->prev = l->prev;
	else
		list->tail = l->prev;
	l->prev = l->next = 0;
	list->nr--;
}

void request_enqueue(struct request_table *t, struct request *r, bool at_head)
{
	r->state = REQUEST_QUEUED;
	list_insert(t, &r->team->list, r, false, at_head);
	if (r->submit.is_urgent)
		list_insert(t, &r->pool->urgent, r, true, at_head);
	r->pool->queued++;
	r->team->totals->queued++;
}

void request_dequeue(struct request_table *t, struct request *r)
{
	list_remove(t, &r->team->list, r, false);
	if (r->submit.is_urgent)
		list_remove(t, &r->pool->urgent, r, true);
	r->pool->queued--;
	r->team->totals->queued--;
}

struct request *request_first(const struct request_table *t,
			      const struct team_queue *q)
{
	return request_get(t, q->list.head);
}

struct request *request_first_urgent(const struct request_table *t,
				     const struct pool_queue *p)
{
	return request_get(t, p->urgent.head);
}

struct request *request_next_urgent(const struct request_table *t,
				    const struct request *r)
{
	return request_get(t, r->urgent_links.next);
}

void request_for_each_pool(struct request_table *t,
			   void (*fn)(struct pool_queue *pool, void *arg),
			   void *arg)
{
	GHashTableIter it;
	gpointer value;

	g_hash_table_iter_init(&it, t->pools);
	while (g_hash_table_iter_next(&it, NULL, &value))
		fn(value, arg);
}

cs_handle request_next(const struct request_table *t, cs_handle after)
{
	return slots_next(t->rows, after);
}

uint32_t request_count(const struct request_table *t)
{
	return slots_count(t->rows);
}
