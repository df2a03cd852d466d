#include "../sched_private.h"

#include "pass_order.h"

struct pass_order_ops {
	struct job *(*next)(struct pass_order *o);
	bool (*is_over_share)(const struct pass_order *o, const struct job *j);
	void (*put_back)(struct pass_order *o);
};

static struct job *next_by_rank(struct pass_order *o)
{
	return o->next < o->nr ? g_ptr_array_index(o->jobs, o->next++) : NULL;
}

static bool never_over_share(const struct pass_order *o, const struct job *j)
{
	(void)o;
	(void)j;
	return false;
}

static void put_back_by_rank(struct pass_order *o)
{
	o->next--;
}

static const struct pass_order_ops by_rank = { next_by_rank, never_over_share,
					       put_back_by_rank };

static struct job *next_by_share(struct pass_order *o)
{
	int i = fair_order_next(o->fair);

	return i < 0 ? NULL : g_ptr_array_index(o->jobs, i);
}

static bool is_over_share(const struct pass_order *o, const struct job *j)
{
	return fair_shares_level(o->sched->fair_shares, o->pool, j->share_row) >
	       fair_order_level_max(o->fair);
}

static void put_back_by_share(struct pass_order *o)
{
	fair_order_put_back(o->fair);
}

static const struct pass_order_ops by_share = { next_by_share, is_over_share,
						put_back_by_share };

/*
 * Takes what the waiting tasks of ready steps need from the room. False as soon
 * as a task does not fit, so that no sum of needs overflows.
 */
static bool take_ready_need(const struct job *j, struct site_resources *room)
{
	struct batch *b = j->batch;
	int occurrence, step, n;

	for (occurrence = j->first_open_occurrence;
	     occurrence < batch_occurrences_end(b); occurrence++)
		for (step = 0; step < b->spec->steps_nr; step++) {
			const struct site_resources need =
				place_need(&b->spec->steps[step]);

			if (!batch_step_is_ready(b, occurrence, step))
				continue;
			for (n = batch_count_waiting(b, occurrence, step);
			     n > 0; n--) {
				if (need.cpu > room->cpu ||
				    need.memory_mb > room->memory_mb)
					return false;
				room->cpu -= need.cpu;
				room->memory_mb -= need.memory_mb;
			}
		}
	return true;
}

/*
 * True if tasks wait that do not fit: some did not in the last pass, or all
 * that wait need more than is free in total.
 */
static bool is_short_of_room(const struct pool *p, struct site_resources room)
{
	guint i;

	if (p->blocked[BLOCK_ROOM])
		return true;
	for (i = 0; i < p->waiting->len; i++)
		if (!take_ready_need(g_ptr_array_index(p->waiting, i), &room))
			return true;
	return false;
}

/* Sets the capacity of the pool. Returns what is free on usable servers. */
static struct site_resources update_capacity(struct sched *s,
					     const struct pool *p, cs_time now)
{
	struct site_resources capacity = { 0 }, room = { 0 };
	guint i;

	for (i = 0; i < p->servers->len; i++) {
		const struct server *v = g_ptr_array_index(p->servers, i);

		if (!v->is_listed || v->is_dead)
			continue;
		capacity = site_resources_add(capacity, v->info.capacity);
		if (place_is_usable(s, v, now))
			room = site_resources_add(
				room,
				site_resources_sub(v->info.capacity, v->used));
	}
	fair_shares_set_capacity(s->fair_shares, p->share_row, capacity);
	return room;
}

void pass_order_begin(struct pass_order *o, struct sched *s, struct pool *p,
		      cs_time now)
{
	*o = (struct pass_order){ .ops = &by_rank,
				  .sched = s,
				  .jobs = p->waiting,
				  .nr = p->waiting->len };
	s->ranked_jobs += o->nr;
	if (!s->fair_shares ||
	    !is_short_of_room(p, update_capacity(s, p, now))) {
		rank_jobs(p->waiting, NULL, now);
		return;
	}
	o->ops = &by_share;
	o->pool = p->share_row;
	o->items = g_new(struct fair_item, o->nr);
	rank_jobs(p->waiting, o->items, now);
	o->fair = fair_order_create(s->fair_shares, o->pool, o->items,
				    (int)o->nr);
	p->fair_passes++;
	counters_add(s->counters, "camphorshed_fair_passes_total", "", 1);
}

struct job *pass_order_next(struct pass_order *o)
{
	return o->ops->next(o);
}

bool pass_order_is_over_share(const struct pass_order *o, const struct job *j)
{
	return o->ops->is_over_share(o, j);
}

void pass_order_put_back(struct pass_order *o)
{
	o->ops->put_back(o);
}

void pass_order_end(struct pass_order *o)
{
	fair_order_destroy(o->fair);
	g_free(o->items);
}
