#include "share.h"

#include <math.h>
#include <string.h>

#include "../base/error.h"
#include "../config/config_sync.h"
#include "../fleet/fleet.h"
#include "share_split.h"
#include "share_table.h"

/* How often slot time is added, quotas are set and summaries are sent. */
#define TICK_INTERVAL (500 * CS_MSEC)

/* Ticks between the summaries that a data centre sends to the others. */
#define DATA_CENTRE_TICKS 2

/*
 * Part of the 3 KB/s of control traffic of a node that summaries may use. The
 * rows that changed most are sent first.
 */
#define SUMMARY_BYTES_PER_SECOND 1500
#define ROW_BYTES 40
#define ROWS_MIN 2 /* in each summary */

/* Weight of the newest task in the mean length of a team's tasks. */
#define TASK_MEAN_WEIGHT 0.1

/* Unchanged demand is reported again after this long, before it expires. */
#define REPORT_INTERVAL (2 * CS_SEC)

struct share {
	struct share_table table;
	uint64_t ticks;
};

static struct share_row *get_row(const struct part_ctx *ctx, cs_handle h)
{
	return slots_get(ctx->parts.share->table.rows, h);
}

cs_handle share_find_or_add_row(struct part_ctx *ctx, const char *pool,
				const char *team, int weight)
{
	struct share_row *row = share_table_find_or_add_row(
		&ctx->parts.share->table, pool, team, weight > 0 ? weight : 1,
		ctx->now);

	return row ? row->self : 0;
}

const char *share_row_team(const struct part_ctx *ctx, cs_handle h)
{
	const struct share_row *row = get_row(ctx, h);

	return row ? row->team : "";
}

void share_add_queued(struct part_ctx *ctx, cs_handle h, int delta)
{
	struct share_row *row = get_row(ctx, h);

	if (!row)
		return;
	row->queued += delta;
	part_check_invariant(ctx, "share-counts", row->queued >= 0);
	share_row_update(&ctx->parts.share->table, row, ctx->now);
}

/*
 * Approximates first come, first served: returns a random team, weighted by
 * queue length. Only for the mutant share-fcfs.
 */
static cs_handle next_by_queue(struct part_ctx *ctx, const struct share_pool *p)
{
	int sum = 0, n;
	size_t i;

	for (i = 0; i < p->heap_nr; i++)
		sum += p->heap[i]->queued;
	n = sum ? g_rand_int_range(ctx->rng, 0, sum) : 0;
	for (i = 0; i + 1 < p->heap_nr && n >= p->heap[i]->queued; i++)
		n -= p->heap[i]->queued;
	return p->heap[i]->self;
}

cs_handle share_next_row(struct part_ctx *ctx, const char *pool)
{
	struct share_pool *p =
		share_table_find_pool(&ctx->parts.share->table, pool);

	if (p && p->heap_nr && MUTANT(ctx, "share-fcfs"))
		return next_by_queue(ctx, p);
	return p && p->heap_nr ? p->heap[0]->self : 0;
}

static void set_blocked(struct part_ctx *ctx, cs_handle h, bool is_blocked)
{
	struct share_row *row = get_row(ctx, h);

	if (!row || row->is_blocked == is_blocked)
		return;
	row->is_blocked = is_blocked;
	share_row_update(&ctx->parts.share->table, row, ctx->now);
}

void share_block(struct part_ctx *ctx, cs_handle h)
{
	set_blocked(ctx, h, true);
}

void share_unblock(struct part_ctx *ctx, cs_handle h)
{
	set_blocked(ctx, h, false);
}

void share_task_started(struct part_ctx *ctx, cs_handle h)
{
	struct share_row *row = get_row(ctx, h);

	if (!row)
		return;
	share_row_update(&ctx->parts.share->table, row, ctx->now);
	row->running++;
	share_row_update(&ctx->parts.share->table, row, ctx->now);
}

void share_task_ended(struct part_ctx *ctx, cs_handle h, cs_time slot_time)
{
	struct share_row *row = get_row(ctx, h);
	double ms = (double)slot_time / (double)CS_MSEC;

	if (!row)
		return;
	share_row_update(&ctx->parts.share->table, row, ctx->now);
	row->running--;
	part_check_invariant(ctx, "share-counts", row->running >= 0);
	row->task_ms += TASK_MEAN_WEIGHT * (ms - row->task_ms);
	share_row_update(&ctx->parts.share->table, row, ctx->now);
}

int share_quota(const struct part_ctx *ctx, const char *pool, int total)
{
	const struct share_pool *p =
		share_table_find_pool(&ctx->parts.share->table, pool);

	if (!p || p->quota < 0 || p->quota > total)
		return total;
	return p->quota;
}

int64_t share_usage_ms(struct part_ctx *ctx, const char *pool, const char *team)
{
	struct share_table *t = &ctx->parts.share->table;
	struct share_row *row = share_table_find_row(t, pool, team);

	if (!row)
		return 0;
	share_row_update(t, row, ctx->now);
	return (int64_t)((row->usage + row->remote_usage) /
			 share_table_scale(t, ctx->now));
}

/* Sums a source's reported demand for a pool over all teams. */
static void sum_source(const struct share_source *s, const struct share_pool *p,
		       cs_time now, int *queued, int *running)
{
	struct share_report remote;
	guint i;

	*queued = *running = 0;
	for (i = 0; i < p->rows->len; i++) {
		remote = share_source_get_report(
			s, g_ptr_array_index(p->rows, i), now);
		*queued += remote.queued;
		*running += remote.running;
	}
}

const char *share_spare_data_centre(const struct part_ctx *ctx,
				    const char *pool)
{
	struct share *sh = ctx->parts.share;
	struct share_pool *p = share_table_find_pool(&sh->table, pool);
	const struct doc_data_centre *dc;
	const struct share_source *s;
	int queued, running, spare, max_spare = 0;
	const char *best = NULL;
	size_t nr, i;

	dc = document_data_centres(config_sync_document(ctx), &nr);
	for (i = 0; i < nr; i++) {
		if (dc[i].is_out ||
		    !strcmp(dc[i].name, ctx->options->data_centre) ||
		    !part_leader_entry(ctx, dc[i].name))
			continue;
		queued = running = 0;
		s = g_hash_table_lookup(sh->table.sources, dc[i].name);
		if (s && p)
			sum_source(s, p, ctx->now, &queued, &running);
		spare = fleet_document_slots(ctx, pool, dc[i].name) - running -
			queued;
		if (spare > max_spare) {
			max_spare = spare;
			best = dc[i].name;
		}
	}
	return best;
}

int share_pool_demand(const struct part_ctx *ctx, const char *pool,
		      const char *data_centre)
{
	const struct share *sh = ctx->parts.share;
	const struct share_pool *p = share_table_find_pool(&sh->table, pool);
	bool is_own = !strcmp(data_centre, ctx->options->data_centre);
	const struct share_source *s;
	const struct share_row *row;
	int queued, running, sum = 0;
	GHashTableIter it;
	gpointer value;
	guint i;

	if (!p)
		return 0;
	for (i = 0; is_own && i < p->rows->len; i++) {
		row = g_ptr_array_index(p->rows, i);
		sum += row->queued + row->running;
	}
	g_hash_table_iter_init(&it, sh->table.sources);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		s = value;
		if (is_own ? s->is_data_centre :
			     !s->is_data_centre ||
				     strcmp(s->name, data_centre) != 0)
			continue;
		sum_source(s, p, ctx->now, &queued, &running);
		sum += queued + running;
	}
	return sum;
}

/* Demand of the teams for one pool in each data centre. */
struct demand_table {
	struct share_pool *pool;
	struct share_source **entries; /* the others of this data centre */
	size_t entries_nr;
	struct share_demand *demands;
	size_t demands_nr;
	int *capacity;
	size_t data_centres_nr;
};

static int own_demand(const struct share_row *row)
{
	return row->queued + row->running;
}

static int source_demand(const struct share_source *s,
			 const struct share_row *row, cs_time now)
{
	struct share_report remote = share_source_get_report(s, row, now);

	return remote.queued + remote.running;
}

static void add_demand(struct demand_table *d, int team, int data_centre,
		       int requested)
{
	struct share_demand *demand;

	if (requested <= 0)
		return;
	demand = &d->demands[d->demands_nr++];
	demand->team = team;
	demand->data_centre = data_centre;
	demand->requested = requested;
}

/*
 * Fills all of d but its pool; the caller frees the arrays. Data centre 0 is
 * this one. The others follow in the order of the sources.
 */
static void gather_demand(struct part_ctx *ctx, struct demand_table *d)
{
	struct share *sh = ctx->parts.share;
	struct share_pool *p = d->pool;
	GHashTableIter it;
	gpointer value;
	size_t i, e;

	d->entries = g_new0(struct share_source *,
			    g_hash_table_size(sh->table.sources) + 1);
	d->capacity = g_new0(int, g_hash_table_size(sh->table.sources) + 1);
	d->demands = g_new0(struct share_demand,
			    (gsize)p->rows->len *
				    (g_hash_table_size(sh->table.sources) + 1));
	d->capacity[0] = fleet_pool_slots(ctx, p->name);
	d->data_centres_nr = 1;
	g_hash_table_iter_init(&it, sh->table.sources);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		struct share_source *s = value;

		if (!s->is_data_centre) {
			d->entries[d->entries_nr++] = s;
			continue;
		}
		d->capacity[d->data_centres_nr] =
			fleet_document_slots(ctx, p->name, s->name);
		for (i = 0; i < p->rows->len; i++)
			add_demand(d, (int)i, (int)d->data_centres_nr,
				   source_demand(s,
						 g_ptr_array_index(p->rows, i),
						 ctx->now));
		d->data_centres_nr++;
	}
	for (i = 0; i < p->rows->len; i++) {
		const struct share_row *row = g_ptr_array_index(p->rows, i);
		int requested = own_demand(row);

		for (e = 0; e < d->entries_nr; e++)
			requested +=
				source_demand(d->entries[e], row, ctx->now);
		add_demand(d, (int)i, 0, requested);
	}
}

static int compare_names(gconstpointer a, gconstpointer b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

/*
 * Splits the slots allocated to teams in this data centre over its entries by
 * their demand, and the other slots evenly. Returns the quota of this entry.
 * Every entry rounds the same values in the same order of ids, so that all
 * quotas add up to the slots.
 */
static int own_quota(struct part_ctx *ctx, const struct demand_table *d)
{
	size_t nr = d->entries_nr + 1, i, e, self = 0;
	const char **ids = g_new0(const char *, nr);
	double *exact = g_new0(double, nr);
	int *quotas = g_new0(int, nr);
	int quota, allocated = 0;

	ids[0] = ctx->options->id;
	for (e = 0; e < d->entries_nr; e++)
		ids[e + 1] = d->entries[e]->name;
	qsort(ids, nr, sizeof(*ids), compare_names);
	for (e = 0; e < nr; e++)
		if (!strcmp(ids[e], ctx->options->id))
			self = e;
	for (i = 0; i < d->demands_nr; i++) {
		const struct share_demand *demand = &d->demands[i];
		const struct share_row *row;

		if (demand->data_centre != 0)
			continue;
		row = g_ptr_array_index(d->pool->rows, (guint)demand->team);
		allocated += demand->allocated;
		for (e = 0; e < nr; e++) {
			struct share_source *s = g_hash_table_lookup(
				ctx->parts.share->table.sources, ids[e]);
			int requested = e == self ?
						own_demand(row) :
						source_demand(s, row, ctx->now);

			exact[e] += (double)demand->allocated * requested /
				    demand->requested;
		}
	}
	for (e = 0; e < nr; e++)
		exact[e] += (double)(d->capacity[0] - allocated) / (double)nr;
	share_round_to_total(exact, quotas, nr, d->capacity[0]);
	quota = quotas[self];
	g_free(ids);
	g_free(exact);
	g_free(quotas);
	return quota;
}

/* True if any entry of this data centre has work waiting for the pool. */
static bool is_contended(const struct part_ctx *ctx, const struct share_pool *p)
{
	const struct share *sh = ctx->parts.share;
	int queued, running;
	GHashTableIter it;
	gpointer value;
	guint i;

	for (i = 0; i < p->rows->len; i++)
		if (((struct share_row *)g_ptr_array_index(p->rows, i))->queued)
			return true;
	g_hash_table_iter_init(&it, sh->table.sources);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (((struct share_source *)value)->is_data_centre)
			continue;
		sum_source(value, p, ctx->now, &queued, &running);
		if (queued)
			return true;
	}
	return false;
}

/*
 * Sets how many of the pool's slots this entry may use while work waits for
 * them. A pool without contention has no quota (-1).
 */
static void set_quota(struct part_ctx *ctx, struct share_pool *p)
{
	struct share *sh = ctx->parts.share;
	struct demand_table d = { .pool = p };
	double *weights, *average;
	guint i;

	if (!is_contended(ctx, p) || MUTANT(ctx, "share-no-quota")) {
		p->quota = -1;
		return;
	}
	weights = g_new0(double, p->rows->len);
	average = g_new0(double, p->rows->len);
	for (i = 0; i < p->rows->len; i++) {
		struct share_row *row = g_ptr_array_index(p->rows, i);

		weights[i] = row->weight;
		average[i] = share_row_average_slots(&sh->table, row, ctx->now);
	}
	gather_demand(ctx, &d);
	share_split(d.demands, d.demands_nr, weights, average, p->rows->len,
		    d.capacity, d.data_centres_nr);
	p->quota = own_quota(ctx, &d);
	g_free(weights);
	g_free(average);
	g_free(d.entries);
	g_free(d.capacity);
	g_free(d.demands);
}

/* Returns the report of a row for a summary of that scope. */
static struct share_report summarize_row(const struct share *sh,
					 const struct share_row *row,
					 enum share_scope scope, cs_time now)
{
	struct share_report out = { row->queued, row->running, row->usage,
				    now };
	struct share_report remote;
	GHashTableIter it;
	gpointer value;

	if (scope == SCOPE_ENTRY)
		return out;
	g_hash_table_iter_init(&it, sh->table.sources);
	while (g_hash_table_iter_next(&it, NULL, &value)) {
		if (((struct share_source *)value)->is_data_centre)
			continue;
		remote = share_source_get_report(value, row, now);
		out.queued += remote.queued;
		out.running += remote.running;
		out.usage += remote.usage;
	}
	return out;
}

/*
 * How much a row differs from its last report, in tasks; 0: need not be sent.
 * 100 ms of slot time weigh as much as one task. A change of less than 10 ms
 * alone is not sent.
 */
static double row_change(const struct share_report *a,
			 const struct share_report *b, double scale)
{
	double tasks =
		abs(a->queued - b->queued) + abs(a->running - b->running);
	double ms = fabs(a->usage - b->usage) / scale;

	if ((a->queued || a->running) && a->time - b->time >= REPORT_INTERVAL)
		tasks += 1;
	/* A change of tasks is always sent: receivers keep the last report. */
	if (tasks == 0 && ms < 10)
		return 0;
	return tasks + ms / 100;
}

struct candidate {
	struct share_row *row;
	struct share_report now;
	double change;
};

/* Orders by change, the largest first, and equal changes by handle. */
static int compare_change(gconstpointer a, gconstpointer b)
{
	const struct candidate *x = a, *y = b;

	if (x->change != y->change)
		return x->change < y->change ? 1 : -1;
	return x->row->self < y->row->self ? -1 : x->row->self > y->row->self;
}

/*
 * Returns the rows that changed since they were last sent, the largest change
 * first, as an array of struct candidate to be freed by the caller.
 */
static GArray *changed_rows(struct part_ctx *ctx, enum share_scope scope)
{
	struct share *sh = ctx->parts.share;
	double scale = share_table_scale(&sh->table, ctx->now);
	GArray *out = g_array_new(FALSE, FALSE, sizeof(struct candidate));
	struct candidate c;
	cs_handle h;

	for (h = slots_next(sh->table.rows, 0); h;
	     h = slots_next(sh->table.rows, h)) {
		c.row = slots_get(sh->table.rows, h);
		c.now = summarize_row(sh, c.row, scope, ctx->now);
		c.change = row_change(&c.now, &c.row->sent[scope], scale);
		if (c.change > 0)
			g_array_append_val(out, c);
	}
	g_array_sort(out, compare_change);
	return out;
}

static void send_summary(struct part_ctx *ctx, const char *peer,
			 const char *data_centre,
			 const struct summary_row *rows, size_t nr)
{
	struct msg *msg = part_peer_msg(PEER_SUMMARY, peer);

	cs_copy(msg->u.peer.u.summary.data_centre,
		sizeof(msg->u.peer.u.summary.data_centre), data_centre);
	msg->u.peer.u.summary.rows = g_memdup2(rows, nr * sizeof(*rows));
	msg->u.peer.u.summary.rows_nr = nr;
	part_emit(ctx, msg);
}

/*
 * Sends the rows to each connected entry that receives summaries of that scope,
 * and returns the number of these entries. If rows is NULL it only counts them.
 */
static size_t send_to_receivers(struct part_ctx *ctx, enum share_scope scope,
				const struct summary_row *rows, size_t nr)
{
	const struct entry_options *o = ctx->options;
	size_t i, count = 0;
	const char *leader;

	for (i = 0; i < o->peers_nr; i++) {
		bool is_same_data_centre =
			!strcmp(o->peers[i].data_centre, o->data_centre);

		if (!ctx->peers[i].is_up ||
		    is_same_data_centre != (scope == SCOPE_ENTRY))
			continue;
		leader = part_leader_entry(ctx, o->peers[i].data_centre);
		if (!is_same_data_centre && strcmp(leader, o->peers[i].id))
			continue;
		count++;
		if (rows)
			send_summary(ctx, o->peers[i].id,
				     is_same_data_centre ? "" : o->data_centre,
				     rows, nr);
	}
	return count;
}

/*
 * Sends the rows that changed most to the receivers of the scope: as many as
 * SUMMARY_BYTES_PER_SECOND allows, but at least ROWS_MIN. The others are sent
 * at later ticks.
 */
static void send_summaries(struct part_ctx *ctx, enum share_scope scope)
{
	struct share *sh = ctx->parts.share;
	double scale = share_table_scale(&sh->table, ctx->now);
	size_t receivers = send_to_receivers(ctx, scope, NULL, 0);
	struct summary_row *rows;
	size_t rows_nr, i;
	GArray *changed;

	if (!receivers)
		return;
	changed = changed_rows(ctx, scope);
	rows_nr = SUMMARY_BYTES_PER_SECOND * TICK_INTERVAL / CS_SEC /
		  (ROW_BYTES * receivers);
	if (rows_nr < ROWS_MIN)
		rows_nr = ROWS_MIN;
	if (rows_nr > changed->len)
		rows_nr = changed->len;
	rows = g_new0(struct summary_row, rows_nr + 1);
	for (i = 0; i < rows_nr; i++) {
		struct candidate *c =
			&g_array_index(changed, struct candidate, i);

		cs_copy(rows[i].pool, sizeof(rows[i].pool), c->row->pool->name);
		cs_copy(rows[i].team, sizeof(rows[i].team), c->row->team);
		rows[i].queued = c->now.queued;
		rows[i].running = c->now.running;
		rows[i].used_ms = (int64_t)(c->now.usage / scale);
		c->row->sent[scope] = c->now;
	}
	if (rows_nr)
		send_to_receivers(ctx, scope, rows, rows_nr);
	counters_add(ctx->counters, "share_rows_sent_total", "",
		     (int64_t)(rows_nr * receivers));
	g_free(rows);
	g_array_free(changed, TRUE);
}

/*
 * Updates usage and quotas and sends summaries: to the entries of this data
 * centre at every tick, to other data centres every DATA_CENTRE_TICKS and only
 * from the leader.
 */
static void on_tick(void *arg, uint64_t unused, cs_time now)
{
	struct part_ctx *ctx = arg;
	struct share *sh = ctx->parts.share;
	GHashTableIter it;
	gpointer value;
	const char *leader;
	cs_handle h;

	(void)unused;
	ctx->now = now;
	share_table_rescale(&sh->table, now);
	for (h = slots_next(sh->table.rows, 0); h;
	     h = slots_next(sh->table.rows, h))
		share_row_update(&sh->table, get_row(ctx, h), now);
	g_hash_table_iter_init(&it, sh->table.pools);
	while (g_hash_table_iter_next(&it, NULL, &value))
		set_quota(ctx, value);
	send_summaries(ctx, SCOPE_ENTRY);
	leader = part_leader_entry(ctx, ctx->options->data_centre);
	if (!(++sh->ticks % DATA_CENTRE_TICKS) &&
	    !strcmp(leader, ctx->options->id))
		send_summaries(ctx, SCOPE_DATA_CENTRE);
	timers_subscribe(ctx->timers, now + TICK_INTERVAL, on_tick, ctx, 0);
}

/* Relays the summary of another data centre to the entries of this one. */
static void relay_summary(struct part_ctx *ctx, const struct peer_msg *peer)
{
	const struct entry_options *o = ctx->options;
	size_t i;

	for (i = 0; i < o->peers_nr; i++)
		if (ctx->peers[i].is_up &&
		    !strcmp(o->peers[i].data_centre, o->data_centre))
			send_summary(ctx, o->peers[i].id,
				     peer->u.summary.data_centre,
				     peer->u.summary.rows,
				     peer->u.summary.rows_nr);
}

/*
 * Stores the rows of a summary. A summary that names a data centre covers all
 * of its entries; without a name it covers only the sender. One that comes from
 * another data centre is relayed within this one.
 */
static void share_on_peer(struct part_ctx *ctx, struct peer_msg *peer)
{
	struct share *sh = ctx->parts.share;
	const struct document *doc = config_sync_document(ctx);
	const char *data_centre = peer->u.summary.data_centre;
	int sender = part_peer_index(ctx, peer->peer);
	struct share_source *source;
	size_t i;

	if (sender < 0 || !strcmp(data_centre, ctx->options->data_centre))
		return;
	if (*data_centre && !document_data_centre(doc, data_centre))
		return;
	source = share_table_find_or_add_source(
		&sh->table, *data_centre ? data_centre : peer->peer,
		*data_centre);
	for (i = 0; i < peer->u.summary.rows_nr; i++) {
		const struct summary_row *r = &peer->u.summary.rows[i];
		const struct doc_team *team = document_team(doc, r->team);
		struct share_row *row;
		int64_t used_ms = MUTANT(ctx, "share-local") ? 0 : r->used_ms;

		if (!team || !document_pool(doc, r->pool) || r->queued < 0 ||
		    r->running < 0 || r->used_ms < 0)
			continue;
		row = share_table_find_or_add_row(&sh->table, r->pool, r->team,
						  team->share, ctx->now);
		if (row)
			share_source_set_report(&sh->table, source, row,
						r->queued, r->running, used_ms,
						ctx->now);
	}
	if (*data_centre && strcmp(ctx->options->peers[sender].data_centre,
				   ctx->options->data_centre))
		relay_summary(ctx, peer);
}

/*
 * A peer that connects may have missed changes, so all rows are sent again.
 * The demand of one that disconnects no longer counts.
 */
static void share_on_peer_state(struct part_ctx *ctx,
				const struct peer_state *state)
{
	struct share_table *t = &ctx->parts.share->table;
	struct share_row *row;
	cs_handle h;

	if (!state->is_up) {
		share_table_clear_demand(t, state->peer);
		return;
	}
	for (h = slots_next(t->rows, 0); h; h = slots_next(t->rows, h)) {
		row = get_row(ctx, h);
		memset(row->sent, 0, sizeof(row->sent));
	}
}

/* Updates the shares of teams and removes unused rows of removed teams. */
static void share_on_config(struct part_ctx *ctx, const struct document *doc)
{
	struct share_table *t = &ctx->parts.share->table;
	const struct doc_team *team;
	struct share_row *row;
	cs_handle h, next;

	for (h = slots_next(t->rows, 0); h; h = next) {
		next = slots_next(t->rows, h);
		row = get_row(ctx, h);
		team = document_team(doc, row->team);
		if (team) {
			row->weight = team->share > 0 ? team->share : 1;
			share_row_update(t, row, ctx->now);
		} else if (!row->queued && !row->running) {
			share_table_remove_row(t, row);
		}
	}
}

/*
 * The first tick is at a random time, so that entries that start together do
 * not send at the same time.
 */
static void share_start(struct part_ctx *ctx)
{
	ctx->parts.share->table.scale_start = ctx->now;
	timers_subscribe(ctx->timers,
			 ctx->now +
				 g_rand_int_range(ctx->rng, 1, 500) * CS_MSEC,
			 on_tick, ctx, 0);
}

static int share_create(struct part_ctx *ctx, struct cs_error *err)
{
	struct share *sh = g_new0(struct share, 1);

	ctx->parts.share = sh;
	if (!share_table_init(&sh->table))
		return cs_error_set(err, CS_ERR_NOMEM, "share", NULL,
				    "out of memory");
	return CS_OK;
}

static void share_destroy(struct part_ctx *ctx)
{
	if (!ctx->parts.share)
		return;
	share_table_clear(&ctx->parts.share->table);
	g_free(ctx->parts.share);
	ctx->parts.share = NULL;
}

const struct part_ops share_part = {
	.name = "share",
	.create = share_create,
	.destroy = share_destroy,
	.start = share_start,
	.on_peer = share_on_peer,
	.on_peer_state = share_on_peer_state,
	.on_config = share_on_config,
};
