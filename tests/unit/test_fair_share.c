#include "unit.h"

#include <math.h>

#include "../../src/sched/queue/fair_share.h"
#include "../../src/sched/queue/pass_order.h"
#include "../../src/sched/queue/rank.h"
#include "../../src/sched/queue/room_hold.h"
#include "../world/world.h"
#include "site_world.h"

/*
 * Shares of workspaces in a pool that is short of room. A model of a pool
 * starts tasks in the order under test; the targets are a mean distance from
 * the share of under 2% of the pool and a largest one of under 5%.
 */

#define WORKSPACES 20
#define SERVERS 64
#define SERVER_CPU ((int64_t)64000)
#define STEP_MS 10
#define MEAN_MAX 0.02
#define DISTANCE_MAX 0.05

struct model_job {
	int workspace, left;
	int64_t cpu, ms, submitted;
	bool wants_rack; /* only the first eighth of the servers will do */
};

struct model_run {
	int workspace, server;
	int64_t cpu, ends;
};

struct model {
	struct fair_shares *shares;
	int pool, rows[WORKSPACES];
	GRand *rng;
	GArray *waiting; /* struct model_job, in today's order */
	GArray *runs; /* struct model_run */
	int64_t used[SERVERS], now;
	int64_t wait_ms[WORKSPACES], starts[WORKSPACES];
	double distance_sum, distance_max;
	int distances;
};

static void model_init(struct model *m)
{
	const struct site_resources all = { SERVERS * SERVER_CPU,
					    SERVERS * SERVER_CPU, 0 };
	int i;

	*m = (struct model){ .shares = fair_shares_create(),
			     .rng = g_rand_new_with_seed(3) };
	m->pool = fair_shares_pool(m->shares, "pool");
	fair_shares_set_capacity(m->shares, m->pool, all);
	for (i = 0; i < WORKSPACES; i++) {
		char name[16];

		g_snprintf(name, sizeof(name), "ws%d", i);
		m->rows[i] = fair_shares_workspace(m->shares, name);
	}
	m->waiting = g_array_new(FALSE, FALSE, sizeof(struct model_job));
	m->runs = g_array_new(FALSE, FALSE, sizeof(struct model_run));
}

static void model_end(struct model *m)
{
	fair_shares_destroy(m->shares);
	g_rand_free(m->rng);
	g_array_free(m->waiting, TRUE);
	g_array_free(m->runs, TRUE);
}

static void submit(struct model *m, int workspace, int width, bool wants_rack)
{
	const struct model_job j = { workspace,
				     width,
				     g_rand_int_range(m->rng, 2000, 8000),
				     g_rand_int_range(m->rng, 300, 700),
				     m->now,
				     wants_rack };

	g_array_append_val(m->waiting, j);
}

/* Submits rate jobs on average. */
static void arrive(struct model *m, int workspace, double rate, int width)
{
	int whole = (int)rate, i;

	for (i = 0; i < whole; i++)
		submit(m, workspace, width, false);
	if (g_rand_double(m->rng) < rate - whole)
		submit(m, workspace, width, false);
}

static void end_run(struct model *m, guint at)
{
	const struct model_run *r =
		&g_array_index(m->runs, struct model_run, at);

	m->used[r->server] -= r->cpu;
	fair_shares_charge(m->shares, m->pool, m->rows[r->workspace],
			   (struct site_resources){ r->cpu, 0, 0 }, -1);
	g_array_remove_index_fast(m->runs, at);
}

static bool start_task(struct model *m, struct model_job *j)
{
	struct model_run r = { j->workspace, 0, j->cpu, m->now + j->ms };

	while (r.server < (j->wants_rack ? SERVERS / 8 : SERVERS) &&
	       m->used[r.server] + j->cpu > SERVER_CPU)
		r.server++;
	if (r.server == (j->wants_rack ? SERVERS / 8 : SERVERS))
		return false;
	m->used[r.server] += j->cpu;
	fair_shares_charge(m->shares, m->pool, m->rows[j->workspace],
			   (struct site_resources){ j->cpu, 0, 0 }, 1);
	g_array_append_val(m->runs, r);
	m->wait_ms[j->workspace] += m->now - j->submitted;
	m->starts[j->workspace]++;
	j->left--;
	return true;
}

/* A pass as that of assign.c, and the removal of what has started whole. */
static void pass(struct model *m)
{
	struct fair_item *items = g_new(struct fair_item, m->waiting->len + 1);
	struct fair_order *o;
	guint k;
	int i;

	for (k = 0; k < m->waiting->len; k++)
		items[k] = (struct fair_item){
			0,
			m->rows[g_array_index(m->waiting, struct model_job, k)
					.workspace]
		};
	o = fair_order_create(m->shares, m->pool, items, (int)k);
	while ((i = fair_order_next(o)) >= 0) {
		struct model_job *j =
			&g_array_index(m->waiting, struct model_job, i);
		int row = m->rows[j->workspace];

		while (j->left && start_task(m, j))
			if (fair_shares_level(m->shares, m->pool, row) >
			    fair_order_level_max(o)) {
				fair_order_put_back(o);
				break;
			}
	}
	fair_order_destroy(o);
	g_free(items);
	for (k = m->waiting->len; k-- > 0;)
		if (!g_array_index(m->waiting, struct model_job, k).left)
			g_array_remove_index(m->waiting, k);
}

static void advance(struct model *m)
{
	guint k;

	m->now += STEP_MS;
	for (k = m->runs->len; k-- > 0;)
		if (g_array_index(m->runs, struct model_run, k).ends <= m->now)
			end_run(m, k);
	pass(m);
}

static double share(const struct model *m, int workspace)
{
	return fair_share_level(m->shares, "pool",
				fair_shares_workspace_name(m->shares,
							   m->rows[workspace]));
}

static void measure(struct model *m, double distance)
{
	m->distance_sum += fabs(distance);
	m->distance_max = MAX(m->distance_max, fabs(distance));
	m->distances++;
}

static void assert_near_shares(const struct model *m)
{
	assert_true(m->distances > 0);
	assert_true(m->distance_sum / m->distances < MEAN_MAX);
	assert_true(m->distance_max < DISTANCE_MAX);
}

static bool has_waiting(const struct model *m, int workspace)
{
	guint k;

	for (k = 0; k < m->waiting->len; k++)
		if (g_array_index(m->waiting, struct model_job, k).workspace ==
		    workspace)
			return true;
	return false;
}

/*
 * One workspace sends ten times its usual. Guards against the jobs of the
 * others waiting behind its backlog: nobody else may wait longer than the
 * longest task for room.
 */
static void burst_delays_its_own_workspace(void **state)
{
	struct model m;
	int64_t wait = 0, starts = 0;
	int i, w;

	(void)state;
	model_init(&m);
	for (i = 0; i < 1000; i++) {
		/* About 0.8 of the room in total, and 0.4 more of the burst. */
		for (w = 0; w < WORKSPACES; w++)
			arrive(&m, w, w ? 0.33 : 3.3, 2);
		advance(&m);
	}
	for (w = 1; w < WORKSPACES; w++) {
		wait += m.wait_ms[w];
		starts += m.starts[w];
		assert_true(m.wait_ms[w] < 700 * m.starts[w]);
	}
	assert_true(m.wait_ms[0] / m.starts[0] > 5 * wait / starts);
	model_end(&m);
}

/*
 * 20 workspaces of unequal weight, all with a backlog. Guards against shares
 * that follow the order of arrival or the width of jobs.
 */
static void shares_follow_weights(void **state)
{
	double weights = WORKSPACES * (WORKSPACES + 1) / 2.0;
	struct model m;
	int i, w;

	(void)state;
	model_init(&m);
	for (w = 0; w < WORKSPACES; w++) {
		fair_shares_set_weight(m.shares, m.rows[w], w + 1);
		for (i = 0; i < 600; i++)
			submit(&m, w, w % 3 ? 4 : 60, false);
	}
	for (i = 0; i < 400; i++) {
		advance(&m);
		for (w = 0; i > 100 && w < WORKSPACES; w++)
			measure(&m, (w + 1) * (share(&m, w) - 1 / weights));
	}
	assert_near_shares(&m);
	model_end(&m);
}

/*
 * A pool at five times its room, half of the workspaces with a twentieth of
 * what the others ask for. Guards against room that is taken from those who ask
 * for less than their share, and against room that nobody gets.
 */
static void small_demand_is_met_at_five_times_the_room(void **state)
{
	struct model m;
	int i, w;

	(void)state;
	model_init(&m);
	for (i = 0; i < 1000; i++) {
		double light = 0, total = 0;

		for (w = 0; w < WORKSPACES; w++)
			arrive(&m, w, w % 2 ? 0.05 : 1, 8);
		advance(&m);
		for (w = 0; w < WORKSPACES; w++)
			total += share(&m, w);
		for (w = 1; w < WORKSPACES; w += 2)
			light += share(&m, w);
		if (i < 200)
			continue;
		assert_true(total > 0.95);
		for (w = 0; w < WORKSPACES; w += 2)
			measure(&m, share(&m, w) - (total - light) / 10);
	}
	for (w = 1; w < WORKSPACES; w += 2)
		assert_true(m.wait_ms[w] < 700 * m.starts[w]);
	assert_near_shares(&m);
	model_end(&m);
}

/*
 * Many jobs that only one rack can serve, of all workspaces. Guards against
 * jobs without room that keep those behind them, or the rest of the pool, from
 * their share.
 */
static void crowded_rack_leaves_the_rest_shared(void **state)
{
	struct model m;
	int i, w;

	(void)state;
	model_init(&m);
	for (i = 0; i < 400; i++)
		for (w = 0; w < WORKSPACES; w++)
			submit(&m, w, 4, i % 2 == 0);
	for (i = 0; i < 200; i++) {
		advance(&m);
		for (w = 0; i > 100 && w < WORKSPACES; w++)
			measure(&m, share(&m, w) - 1.0 / WORKSPACES);
	}
	assert_near_shares(&m);
	model_end(&m);
}

/*
 * Half of the workspaces cancel all they have. Guards against usage that stays
 * counted, so that the others do not get the room.
 */
static void cancelled_room_is_shared_again(void **state)
{
	struct model m;
	int i, w;
	guint k;

	(void)state;
	model_init(&m);
	for (i = 0; i < 800; i++)
		for (w = 0; w < WORKSPACES; w++)
			submit(&m, w, 4, false);
	for (i = 0; i < 100; i++)
		advance(&m);
	for (k = m.runs->len; k-- > 0;)
		if (g_array_index(m.runs, struct model_run, k).workspace % 2)
			end_run(&m, k);
	for (k = m.waiting->len; k-- > 0;)
		if (g_array_index(m.waiting, struct model_job, k).workspace % 2)
			g_array_remove_index(m.waiting, k);
	for (i = 0; i < 100; i++) {
		advance(&m);
		assert_true(has_waiting(&m, 0));
		for (w = 0; w < WORKSPACES; w++)
			measure(&m,
				share(&m, w) - (w % 2 ? 0 : 2.0 / WORKSPACES));
	}
	assert_near_shares(&m);
	model_end(&m);
}

/*
 * Guards against a job that becomes late, or of no use, because a workspace
 * with less running goes first, although that one's job has time; and against a
 * class or a priority that does not hold any more.
 */
static void pressing_jobs_go_first(void **state)
{
	static const int order[5] = { 2, 1, 0, 4, 3 };
	struct job rows[5];
	struct fair_item items[5];
	GPtrArray *jobs = g_ptr_array_new();
	cs_time now = 100 * CS_SEC;
	int i;

	(void)state;
	memset(rows, 0, sizeof(rows));
	for (i = 0; i < 5; i++) {
		rows[i].self = (cs_handle)i + 1;
		rows[i].submitted = now - CS_SEC;
		rows[i].objective_at = now + 10 * CS_SEC;
		rows[i].critical_path_ms = 1000;
		rows[i].share_row = i;
		g_ptr_array_add(jobs, &rows[i]);
	}
	rows[0].priority = 1;
	rows[2].objective_at = now + 1100 * CS_MSEC; /* pressing */
	rows[3].objective_at = now + 500 * CS_MSEC; /* late */
	/* Late as well, submitted after it, and of no use in 0.1 s. */
	rows[4].submitted = now - 900 * CS_MSEC;
	rows[4].objective_at = now - 230 * CS_MSEC;
	rank_jobs(jobs, items, now);
	for (i = 0; i < 5; i++) {
		assert_int_equal(items[i].group, i);
		assert_int_equal(items[i].workspace, order[i]);
	}
	g_ptr_array_free(jobs, TRUE);
}

/*
 * Guards against weights that give nothing, or everything, to a workspace, and
 * against tables that grow with names.
 */
static void odd_input_is_bounded(void **state)
{
	const struct site_resources unit = { 1, 1, 0 };
	struct fair_shares *t = fair_shares_create();
	int pool = 0, row = 0, i, k;
	char name[32];

	(void)state;
	for (i = 0; i < 113; i++) {
		g_snprintf(name, sizeof(name), "pool%d", i);
		pool = fair_shares_pool(t, name);
		fair_shares_set_capacity(
			t, pool, (struct site_resources){ 1000, 1000, 0 });
		for (k = 0; k < 370; k++) {
			g_snprintf(name, sizeof(name), "ws%d", k);
			row = fair_shares_workspace(t, name);
			fair_shares_charge(t, pool, row, unit, 1);
		}
	}
	assert_int_equal(fair_shares_workspaces_nr(t), 371);
	assert_false(fair_shares_set_weight(t, row, 0));
	assert_true(fair_shares_level(t, pool, row) <= 0.001);
	assert_false(fair_shares_set_weight(t, row, INT64_MIN));
	assert_true(fair_shares_level(t, pool, row) <= 0.001);
	assert_false(fair_shares_set_weight(t, row, INT64_MAX));
	assert_true(fair_shares_level(t, pool, row) > 0);
	assert_true(fair_shares_set_weight(t, row, 2));
	for (i = 0; i < 2 * FAIR_WORKSPACES_MAX; i++) {
		g_snprintf(name, sizeof(name), "other%d", i);
		row = fair_shares_workspace(t, name);
	}
	assert_int_equal(row, 0);
	assert_int_equal(fair_shares_workspaces_nr(t), FAIR_WORKSPACES_MAX);
	fair_shares_destroy(t);
}

/*
 * Guards against room held back for each task where tasks ask for no memory,
 * and on a server whose room long-running tasks never give back.
 */
static void only_useful_room_is_held(void **state)
{
	const struct site_resources size = { 32000, 32000, 0 };
	const struct room_hold_server servers[2] = {
		{ size, { 30000, 0, 0 }, { 30000, 0, 0 }, true },
		{ size, { 31000, 0, 0 }, { 0 }, true }
	};
	struct room_holds holds = { 0 };

	(void)state;
	room_holds_note_start(&holds, (struct site_resources){ 1000, 0, 0 });
	assert_false(room_hold_is_large(&holds,
					(struct site_resources){ 1000, 0, 0 }));
	assert_true(room_hold_is_large(&holds,
				       (struct site_resources){ 2000, 0, 0 }));
	assert_int_equal(
		room_hold_choose(servers, 2,
				 (struct site_resources){ 8000, 1, 0 }),
		1);
}

/*
 * Guards against large tasks that never find room because small ones take each
 * piece that becomes free: they are served at least half as often.
 */
static void large_tasks_do_not_starve(void **state)
{
	const struct world_options options = { .seed = 11,
					       .nodes = 3,
					       .servers = 3,
					       .pools = 1,
					       .policy = { .has_fair_shares =
								   true } };
	struct world_job small = { .steps = 1,
				   .width = 4,
				   .work_ms = 400,
				   .cpu = 8000,
				   .unavailable_max = -1 };
	struct world_job large = small;
	struct world *w = world_create(&options);
	int done[2] = { 0 }, all[2] = { 0 }, i;

	(void)state;
	large.width = 1;
	large.cpu = 28000;
	world_run(w, 3000);
	for (i = 0; i < 100; i++) {
		world_submit(w, i % 3, i % 10 ? &small : &large);
		world_run(w, 100);
	}
	for (i = 0; i < 100; i++) {
		bool is_large = i % 10 == 0;

		all[is_large]++;
		done[is_large] += world_job_is_done(w, i);
	}
	print_message("done %d of %d small, %d of %d large\n", done[0], all[0],
		      done[1], all[1]);
	assert_true(2 * done[1] * all[0] >= done[0] * all[1]);
	end_world(w);
}

/*
 * Guards against room held on a server that rules exclude: the other one, which
 * is the only one allowed, would be left to the small tasks.
 */
static void room_is_held_where_rules_allow_it(void **state)
{
	const struct world_options options = { .seed = 11,
					       .nodes = 3,
					       .servers = 2,
					       .pools = 1,
					       .policy = { .has_fair_shares =
								   true } };
	struct world_job small = { .steps = 1,
				   .width = 4,
				   .work_ms = 400,
				   .cpu = 3000,
				   .unavailable_max = -1 };
	struct world_job large = small;
	struct world *w = world_create(&options);
	int i, job;

	(void)state;
	large.width = 2;
	large.work_ms = 20000;
	large.cpu = 18000;
	large.per_server_max = 1;
	world_run(w, 3000);
	for (i = 0; i < 20; i++) {
		world_submit(w, i % 3, &small);
		world_run(w, 50);
	}
	job = world_submit(w, 0, &large);
	for (i = 0; i < 120; i++) {
		world_submit(w, i % 3, &small);
		world_run(w, 50);
	}
	assert_int_equal(world_job_starts(w, job), 2);
	world_destroy(w);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(burst_delays_its_own_workspace),
		cmocka_unit_test(shares_follow_weights),
		cmocka_unit_test(small_demand_is_met_at_five_times_the_room),
		cmocka_unit_test(crowded_rack_leaves_the_rest_shared),
		cmocka_unit_test(cancelled_room_is_shared_again),
		cmocka_unit_test(pressing_jobs_go_first),
		cmocka_unit_test(odd_input_is_bounded),
		cmocka_unit_test(only_useful_room_is_held),
		cmocka_unit_test(room_is_held_where_rules_allow_it),
		cmocka_unit_test(large_tasks_do_not_starve),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
