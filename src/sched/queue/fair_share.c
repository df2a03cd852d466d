#include "fair_share.h"

#include <string.h>

#include "../../base/error.h"
#include "../../base/heap.h"

/*
 * Below this part of the level that each workspace is guaranteed, the given
 * order holds. Nearer to it the lowest level comes first: else the first ones
 * in the given order would stay above it by the size of a task or a turn, and
 * the last one below by the sum.
 */
#define LOW_PART 0.5
/* The part of a pool that a workspace may start at least in each turn. */
#define TURN_SHARE 0.005

struct fair_pool {
	char name[SITE_NAME_MAX];
	struct site_resources capacity;
	GArray *running; /* struct site_resources by workspace, as far as used
			  */
};

struct fair_workspace {
	char name[SITE_NAME_MAX];
	double weight;
};

struct fair_shares {
	GPtrArray *pools; /* struct fair_pool */
	GPtrArray *workspaces; /* struct fair_workspace */
	GHashTable *pool_by_name, *workspace_by_name; /* -> row */
};

static void pool_free(void *row)
{
	struct fair_pool *p = row;

	g_array_free(p->running, TRUE);
	g_free(p);
}

struct fair_shares *fair_shares_create(void)
{
	struct fair_shares *t = g_new0(struct fair_shares, 1);

	t->pools = g_ptr_array_new_with_free_func(pool_free);
	t->workspaces = g_ptr_array_new_with_free_func(g_free);
	t->pool_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	t->workspace_by_name = g_hash_table_new(g_str_hash, g_str_equal);
	fair_shares_workspace(t, "");
	return t;
}

void fair_shares_destroy(struct fair_shares *t)
{
	if (!t)
		return;
	g_hash_table_destroy(t->pool_by_name);
	g_hash_table_destroy(t->workspace_by_name);
	g_ptr_array_free(t->pools, TRUE);
	g_ptr_array_free(t->workspaces, TRUE);
	g_free(t);
}

int fair_shares_workspace(struct fair_shares *t, const char *name)
{
	struct fair_workspace *w;
	void *row;

	if (g_hash_table_lookup_extended(t->workspace_by_name, name, NULL,
					 &row))
		return GPOINTER_TO_INT(row);
	if (t->workspaces->len == FAIR_WORKSPACES_MAX)
		return 0;
	w = g_new0(struct fair_workspace, 1);
	cs_copy(w->name, sizeof(w->name), name);
	w->weight = FAIR_WEIGHT_MIN;
	g_hash_table_insert(t->workspace_by_name, w->name,
			    GINT_TO_POINTER((int)t->workspaces->len));
	g_ptr_array_add(t->workspaces, w);
	return (int)t->workspaces->len - 1;
}

int fair_shares_pool(struct fair_shares *t, const char *name)
{
	struct fair_pool *p;
	void *row;

	if (g_hash_table_lookup_extended(t->pool_by_name, name, NULL, &row))
		return GPOINTER_TO_INT(row);
	p = g_new0(struct fair_pool, 1);
	cs_copy(p->name, sizeof(p->name), name);
	p->running = g_array_new(FALSE, TRUE, sizeof(struct site_resources));
	g_hash_table_insert(t->pool_by_name, p->name,
			    GINT_TO_POINTER((int)t->pools->len));
	g_ptr_array_add(t->pools, p);
	return (int)t->pools->len - 1;
}

int fair_shares_workspaces_nr(const struct fair_shares *t)
{
	return (int)t->workspaces->len;
}

static struct fair_workspace *workspace_row(const struct fair_shares *t,
					    int workspace)
{
	return g_ptr_array_index(t->workspaces, workspace);
}

static struct fair_pool *pool_row(const struct fair_shares *t, int pool)
{
	return g_ptr_array_index(t->pools, pool);
}

const char *fair_shares_workspace_name(const struct fair_shares *t,
				       int workspace)
{
	return workspace_row(t, workspace)->name;
}

bool fair_shares_set_weight(struct fair_shares *t, int workspace,
			    int64_t weight)
{
	int64_t clamped = CLAMP(weight, FAIR_WEIGHT_MIN, FAIR_WEIGHT_MAX);

	workspace_row(t, workspace)->weight = (double)clamped;
	return clamped == weight;
}

void fair_shares_set_capacity(struct fair_shares *t, int pool,
			      struct site_resources capacity)
{
	pool_row(t, pool)->capacity = capacity;
}

void fair_shares_charge(struct fair_shares *t, int pool, int workspace,
			struct site_resources need, int sign)
{
	GArray *running = pool_row(t, pool)->running;
	struct site_resources *used;

	if ((int)running->len <= workspace)
		g_array_set_size(running, (guint)workspace + 1);
	used = &g_array_index(running, struct site_resources, workspace);
	*used = sign > 0 ? site_resources_add(*used, need) :
			   site_resources_sub(*used, need);
}

static double part_of(int64_t used, int64_t capacity)
{
	return capacity > 0 ? (double)used / (double)capacity : 0;
}

/* The larger of the workspace's parts of processor and memory. */
static double share_of(const struct fair_pool *p, int workspace)
{
	const struct site_resources *used;

	if ((int)p->running->len <= workspace)
		return 0;
	used = &g_array_index(p->running, struct site_resources, workspace);
	return MAX(part_of(used->cpu, p->capacity.cpu),
		   part_of(used->memory_mb, p->capacity.memory_mb));
}

double fair_shares_level(const struct fair_shares *t, int pool, int workspace)
{
	return share_of(pool_row(t, pool), workspace) /
	       workspace_row(t, workspace)->weight;
}

double fair_share_level(const struct fair_shares *t, const char *pool,
			const char *workspace)
{
	void *pool_at, *workspace_at;

	if (!g_hash_table_lookup_extended(t->pool_by_name, pool, NULL,
					  &pool_at) ||
	    !g_hash_table_lookup_extended(t->workspace_by_name, workspace, NULL,
					  &workspace_at))
		return 0;
	return fair_shares_level(t, GPOINTER_TO_INT(pool_at),
				 GPOINTER_TO_INT(workspace_at));
}

/* The items of a workspace in the present group, as a list. */
struct line {
	struct heap_node node; /* must be first */
	int workspace;
	int head, tail; /* items; -1: none */
	double level; /* at least the low level */
};

struct fair_order {
	const struct fair_shares *shares;
	int pool;
	const struct fair_item *items;
	int nr, loaded; /* items of the groups up to the present one */
	int *next; /* item -> the next one of its workspace; -1: none */
	struct line *lines; /* by workspace */
	struct heap heap; /* lines that are not empty, the next one first */
	struct line *current; /* of the last item; NULL: none */
	int last;
	double low_level;
};

static bool line_is_before(const struct heap_node *a, const struct heap_node *b)
{
	const struct line *x = (const struct line *)a;
	const struct line *y = (const struct line *)b;

	if (x->level < y->level || x->level > y->level)
		return x->level < y->level;
	return x->head < y->head;
}

/*
 * The level below which workspaces count as equal. Each workspace with runs or
 * items is guaranteed the level at which all of them use up the pool together.
 */
static double find_low_level(const struct fair_order *o)
{
	const struct fair_pool *p = pool_row(o->shares, o->pool);
	int n = (int)o->shares->workspaces->len, i;
	bool *is_active = g_new0(bool, n);
	double weights = 0;

	for (i = 0; i < o->nr; i++)
		is_active[o->items[i].workspace] = true;
	for (i = 0; i < n; i++)
		if (is_active[i] || share_of(p, i) > 0)
			weights += workspace_row(o->shares, i)->weight;
	g_free(is_active);
	return weights > 0 ? LOW_PART / weights : 0;
}

static void update_level(const struct fair_order *o, struct line *l)
{
	l->level = MAX(fair_shares_level(o->shares, o->pool, l->workspace),
		       o->low_level);
}

struct fair_order *fair_order_create(const struct fair_shares *t, int pool,
				     const struct fair_item *items, int nr)
{
	struct fair_order *o = g_new0(struct fair_order, 1);
	int i;

	o->shares = t;
	o->pool = pool;
	o->items = items;
	o->nr = nr;
	o->next = g_new(int, nr + 1);
	o->lines = g_new0(struct line, t->workspaces->len);
	for (i = 0; i < (int)t->workspaces->len; i++) {
		o->lines[i].node.pos = HEAP_POS_NONE;
		o->lines[i].workspace = i;
		o->lines[i].head = -1;
	}
	o->heap.is_before = line_is_before;
	o->low_level = find_low_level(o);
	return o;
}

void fair_order_destroy(struct fair_order *o)
{
	if (!o)
		return;
	heap_clear(&o->heap);
	g_free(o->lines);
	g_free(o->next);
	g_free(o);
}

static void add_item(struct fair_order *o, int i)
{
	struct line *l = &o->lines[o->items[i].workspace];

	o->next[i] = -1;
	if (l->head >= 0) {
		o->next[l->tail] = i;
		l->tail = i;
		return;
	}
	l->head = l->tail = i;
	update_level(o, l);
	heap_insert(&o->heap, &l->node);
}

/* Fills the lines from the next group. */
static void load_group(struct fair_order *o)
{
	int first = o->loaded;

	while (o->loaded < o->nr &&
	       o->items[o->loaded].group == o->items[first].group)
		add_item(o, o->loaded++);
}

int fair_order_next(struct fair_order *o)
{
	struct line *l = o->current;

	if (l && l->head < 0) {
		heap_remove(&o->heap, &l->node);
	} else if (l) {
		update_level(o, l);
		heap_update(&o->heap, &l->node);
	}
	o->current = NULL;
	if (!o->heap.nr)
		load_group(o);
	if (!o->heap.nr)
		return -1;
	l = o->current = (struct line *)o->heap.nodes[0];
	o->last = l->head;
	l->head = o->next[o->last];
	return o->last;
}

double fair_order_level_max(const struct fair_order *o)
{
	const struct line *l = o->current;
	/* The level of the line is that before the last item got its starts. */
	double turn =
		l->level +
		TURN_SHARE / workspace_row(o->shares, l->workspace)->weight;
	double other = o->low_level;
	size_t i;

	/* The second lowest is one of the two below the top of the heap. */
	for (i = 1; i < o->heap.nr && i <= 2; i++) {
		double level = ((struct line *)o->heap.nodes[i])->level;

		other = i == 1 ? level : MIN(other, level);
	}
	if (o->heap.nr == 1)
		return G_MAXDOUBLE;
	return MAX(turn, other);
}

void fair_order_put_back(struct fair_order *o)
{
	struct line *l = o->current;

	if (l->head < 0)
		l->tail = o->last;
	l->head = o->last;
}
