#include "../sched_private.h"

#include <string.h>

#include "../../base/error.h"
#include "../../base/log.h"
#include "room_hold.h"

/*
 * Time without room after which room is held back: a few ends of short tasks,
 * after which it is not by chance that none left enough.
 */
#define HOLD_AFTER_US (200 * CS_MSEC)
/* One server of that many may have room held back, and one in any case. */
#define SERVERS_PER_HOLD 16
/*
 * Holds are for tasks of at least this many times the size of those that start:
 * others find room in their turn, and held room is idle meanwhile.
 */
#define LARGE_FACTOR 2
/* Weight of a start in the smoothed size. */
#define START_WEIGHT (1 / 64.0)

int room_holds_max(guint servers_nr)
{
	return MIN(1 + (int)(servers_nr / SERVERS_PER_HOLD), ROOM_HOLDS_MAX);
}

void room_holds_note_start(struct room_holds *holds, struct site_resources need)
{
	double weight = holds->started_cpu > 0 ? START_WEIGHT : 1;

	/* Best-effort tasks reserve none, and say nothing about the others. */
	if (!need.cpu)
		return;
	holds->started_cpu += weight * ((double)need.cpu - holds->started_cpu);
	holds->started_memory_mb +=
		weight * ((double)need.memory_mb - holds->started_memory_mb);
}

bool room_hold_is_large(const struct room_holds *holds,
			struct site_resources need)
{
	/* Tasks that ask for no memory are not large by it. */
	return (double)need.cpu >= LARGE_FACTOR * holds->started_cpu ||
	       (need.memory_mb > 0 &&
		(double)need.memory_mb >=
			LARGE_FACTOR * holds->started_memory_mb);
}

bool room_hold_is_due(const struct job *j, cs_time now)
{
	return j->lacking_since && now - j->lacking_since >= HOLD_AFTER_US &&
	       rank_class_of(j, now) != RANK_OVERDUE;
}

/* What is missing of need, as the larger part of processor and memory. */
static double missing_part(const struct room_hold_server *v,
			   struct site_resources need)
{
	double cpu = (double)(need.cpu + v->used.cpu - v->capacity.cpu) /
		     (double)MAX(v->capacity.cpu, 1);
	double memory = (double)(need.memory_mb + v->used.memory_mb -
				 v->capacity.memory_mb) /
			(double)MAX(v->capacity.memory_mb, 1);

	return MAX(cpu, memory);
}

int room_hold_choose(const struct room_hold_server *servers, int nr,
		     struct site_resources need)
{
	double best_missing = G_MAXDOUBLE;
	int best = -1, i;

	for (i = 0; i < nr; i++) {
		const struct room_hold_server *v = &servers[i];

		if (!v->may_hold ||
		    !site_resources_fit(need, site_resources_sub(v->capacity,
								 v->lasting)) ||
		    missing_part(v, need) >= best_missing)
			continue;
		best = i;
		best_missing = missing_part(v, need);
	}
	return best;
}

static struct room_hold *find_hold(struct pool *p, const struct job *j)
{
	int i;

	for (i = 0; i < p->holds.nr; i++)
		if (p->holds.rows[i].job == j->self)
			return &p->holds.rows[i];
	return NULL;
}

static void drop_hold(struct pool *p, struct room_hold *hold)
{
	*hold = p->holds.rows[--p->holds.nr];
}

static bool is_held(const struct pool *p, const struct server *v)
{
	int i;

	for (i = 0; i < p->holds.nr; i++)
		if (p->holds.rows[i].server == v->self)
			return true;
	return false;
}

bool room_hold_find_task(struct job *j, struct task_ref *ref)
{
	struct batch *b = j->batch;
	int occurrence, step, i;

	for (occurrence = j->first_open_occurrence;
	     occurrence < batch_occurrences_end(b); occurrence++)
		for (step = 0; step < b->spec->steps_nr; step++) {
			const struct batch_step *st = &b->spec->steps[step];

			if (!batch_step_is_ready(b, occurrence, step) ||
			    st->is_gang || st->is_best_effort)
				continue;
			for (i = 0; i < st->count; i++) {
				const struct batch_task *t =
					batch_find_task(b, occurrence, step, i);

				if (t->state != BATCH_TASK_WAITING ||
				    t->run_row)
					continue;
				*ref = (struct task_ref){ j, occurrence, step,
							  i };
				return true;
			}
		}
	return false;
}

static void add_hold(struct sched *s, struct pool *p, struct job *j,
		     cs_time now)
{
	struct room_hold_server *rows =
		g_new0(struct room_hold_server, p->servers->len);
	struct task_ref ref = { .job = j };
	bool has_task = room_hold_find_task(j, &ref);
	const struct server *v;
	GString *pairs;
	int i;

	for (i = 0; i < (int)p->servers->len; i++) {
		v = g_ptr_array_index(p->servers, i);
		rows[i].capacity = v->info.capacity;
		rows[i].used = v->used;
		rows[i].lasting.cpu = v->long_running_cpu;
		rows[i].may_hold = place_is_usable(s, v, now) &&
				   place_has_label(v, j->lacking_label) &&
				   !is_held(p, v) &&
				   (!has_task || place_allows(s, &ref, v, now));
	}
	i = room_hold_choose(rows, (int)p->servers->len, j->lacking_need);
	g_free(rows);
	if (i < 0) {
		no_room_add(&p->holds.no_server, j->lacking_label,
			    j->lacking_need);
		return;
	}
	v = g_ptr_array_index(p->servers, i);
	p->holds.rows[p->holds.nr++] =
		(struct room_hold){ j->self, v->self, j->lacking_need };
	counters_add(s->counters, "camphorshed_room_holds_total", "", 1);
	pairs = g_string_new(NULL);
	log_pair(pairs, "job", j->batch->id);
	log_pair(pairs, "server", v->info.id);
	log_pair_int(pairs, "waited_ms", (now - j->lacking_since) / CS_MSEC);
	log_pair_int(pairs, "cpu", j->lacking_need.cpu);
	log_pair_int(pairs, "memory_mb", j->lacking_need.memory_mb);
	sched_log(s, "room_held", pairs);
}

static void reserve(struct sched *s, const struct room_hold *hold, int sign)
{
	servers_reserve(server_row(s, hold->server), hold->need, sign);
}

void room_holds_begin(struct sched *s, struct pool *p, cs_time now)
{
	int i;

	p->holds.no_server.rows_nr = 0;
	for (i = p->holds.nr; i-- > 0;) {
		struct room_hold *hold = &p->holds.rows[i];
		const struct job *j = slots_get(s->jobs, hold->job);
		const struct server *v = server_row(s, hold->server);

		if (!j || j->pool != p || j->final_at || !j->is_waiting ||
		    !room_hold_is_due(j, now) || !v || v->pool != p ||
		    !place_is_usable(s, v, now)) {
			drop_hold(p, hold);
			continue;
		}
	}
	for (i = 0; i < p->holds.nr; i++)
		reserve(s, &p->holds.rows[i], 1);
}

bool room_holds_release(struct sched *s, struct pool *p, const struct job *j)
{
	const struct room_hold *hold = p->holds.nr ? find_hold(p, j) : NULL;

	if (hold)
		reserve(s, hold, -1);
	return hold != NULL;
}

void room_holds_settle(struct sched *s, struct pool *p, struct job *j,
		       bool has_started, cs_time now)
{
	struct room_hold *hold = p->holds.nr ? find_hold(p, j) : NULL;

	if (!j->lacks_room)
		j->lacking_since = 0;
	else if (!j->lacking_since || has_started)
		j->lacking_since = now;
	if (hold && !room_hold_is_due(j, now)) {
		drop_hold(p, hold);
		return;
	}
	if (!hold && (!s->fair_shares || !room_hold_is_due(j, now) ||
		      !room_hold_is_large(&p->holds, j->lacking_need) ||
		      p->holds.nr >= room_holds_max(p->servers->len) ||
		      no_room_covers(&p->holds.no_server, j->lacking_label,
				     j->lacking_need)))
		return;
	if (!hold) {
		int before = p->holds.nr;

		add_hold(s, p, j, now);
		if (p->holds.nr == before)
			return;
		hold = &p->holds.rows[before];
	}
	hold->need = j->lacking_need;
	reserve(s, hold, 1);
}

bool room_holds_has(const struct pool *p, const struct server *v,
		    const struct job *j)
{
	int i;

	for (i = 0; i < p->holds.nr; i++)
		if (p->holds.rows[i].server == v->self &&
		    p->holds.rows[i].job != j->self)
			return true;
	return false;
}

bool room_holds_may_keep(struct pool *p, const struct job *j)
{
	return p->holds.nr < ROOM_HOLDS_MAX || find_hold(p, j);
}

void room_holds_keep(struct sched *s, struct pool *p, const struct job *j,
		     const struct server *v)
{
	struct room_hold *hold = find_hold(p, j);

	if (!hold && !v)
		return;
	if (!hold && p->holds.nr < ROOM_HOLDS_MAX)
		hold = &p->holds.rows[p->holds.nr++];
	if (!hold)
		return;
	if (v)
		*hold = (struct room_hold){ j->self, v->self, j->lacking_need };
	reserve(s, hold, 1);
}

void room_holds_end(struct sched *s, struct pool *p)
{
	int i;

	for (i = 0; i < p->holds.nr; i++)
		reserve(s, &p->holds.rows[i], -1);
}
