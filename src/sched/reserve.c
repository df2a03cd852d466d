#include "sched_private.h"

/*
 * What a workspace may have running without our knowledge. After a change of
 * the owner, tasks of jobs that had begun may run on servers that do not
 * answer. Until each pool is settled they count against the limit of their
 * workspace, as if they ran.
 */

static void add(struct sched *s, const char *workspace, struct site_room need)
{
	struct site_room *r = g_hash_table_lookup(s->reserve, workspace);

	if (!r) {
		r = g_new0(struct site_room, 1);
		g_hash_table_insert(s->reserve, g_strdup(workspace), r);
	}
	*r = site_room_add(*r, need);
}

/* Adds the tasks of a job's open steps that have no known run. */
static void add_job(struct sched *s, const struct job *j)
{
	struct batch *b = j->batch;
	int round, step, i;

	for (round = j->round_first; round < b->rounds_nr; round++) {
		if (!b->rounds[round].tasks)
			continue;
		for (step = 0; step < b->spec->steps_nr; step++) {
			if (!batch_step_is_ready(b, round, step))
				continue;
			for (i = 0; i < b->spec->steps[step].count; i++)
				if (batch_task(b, round, step, i)->state ==
				    BATCH_TASK_WAITING)
					add(s, b->workspace,
					    b->spec->steps[step].need);
		}
	}
}

void reserve_turn(struct sched *s)
{
	GHashTableIter it;
	void *row;
	guint i;

	g_hash_table_remove_all(s->reserve);
	/* Later than this every pool is settled. */
	if (s->confirmed_at >= s->options.predecessor_end)
		return;
	g_hash_table_iter_init(&it, s->pools);
	while (g_hash_table_iter_next(&it, NULL, &row)) {
		const struct pool *p = row;

		if (servers_pool_settled(s, p))
			continue;
		for (i = 0; i < p->jobs->len; i++) {
			const struct job *j = g_ptr_array_index(p->jobs, i);

			/* The first start of a job is stored with it. */
			if (j->is_old && j->stored_revision &&
			    *j->batch->workspace)
				add_job(s, j);
		}
	}
}
