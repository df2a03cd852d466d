#include <string.h>

#include "../base/error.h"
#include "../config/config_sync.h"
#include "../fleet/fleet.h"
#include "../team/share.h"
#include "planner_state.h"

/* The index of a row; nr, one past the last, if the row is NULL. */
#define ROW_INDEX(row, rows, nr) ((row) ? (int)((row) - (rows)) : (int)(nr))

struct host_record *planner_host_record(struct part_ctx *ctx,
					const struct doc_host *host)
{
	struct planner *p = ctx->parts.planner;
	struct record_table *t =
		g_hash_table_lookup(p->records, host->data_centre);
	cs_time period = plan_policy_of(PRESET_ORDINARY)->period;
	struct host_record *row;
	bool is_new;

	if (!t) {
		t = record_table_create(host->data_centre, ctx->now);
		g_hash_table_insert(p->records, t->data_centre, t);
	}
	row = record_table_get(t, host->name, period, ctx->now, &is_new);
	if (is_new)
		g_hash_table_add(p->dirty_records, t->data_centre);
	return row;
}

/* Clears fields for steps that were completed or overruled by operators. */
static void clear_finished_purpose(const struct document *doc,
				   struct host_record *row,
				   const struct doc_host *host)
{
	if (host->state == HOST_ASSIGNED) {
		/* The recorded drain did not take place. */
		if (row->purpose == PURPOSE_MOVE && !row->is_returning)
			cs_copy(row->target, sizeof(row->target), host->pool);
		row->purpose = PURPOSE_NONE;
		row->is_returning = false;
	}
	if (row->purpose != PURPOSE_NONE || !*row->home)
		return;
	/*
	 * A host that is not in the target of its last move was moved by an
	 * operator and stays where it is.
	 */
	if (!strcmp(row->home, host->pool) || strcmp(row->target, host->pool) ||
	    !document_pool(doc, row->home))
		*row->home = '\0';
}

/*
 * Updates what is known of a host. It counts as rebooted if it left the host
 * list and returned while it was empty.
 */
static struct host_observation *update_observation(struct part_ctx *ctx,
						   const struct doc_host *host)
{
	struct planner *p = ctx->parts.planner;
	struct host_observation *observation =
		g_hash_table_lookup(p->observations, host->name);

	if (!observation) {
		observation = g_new0(struct host_observation, 1);
		observation->state = host->state;
		observation->since = ctx->now;
		g_hash_table_insert(p->observations, g_strdup(host->name),
				    observation);
	}
	if (observation->state != host->state) {
		observation->state = host->state;
		observation->since = ctx->now;
		observation->was_absent = observation->is_rebooted = false;
	}
	if (host->state == HOST_EMPTY) {
		if (fleet_is_host_absent(ctx, host->name))
			observation->was_absent = true;
		else if (observation->was_absent &&
			 fleet_is_host_live(ctx, host->name))
			observation->is_rebooted = true;
	}
	return observation;
}

/*
 * Returns the number of tasks on the host: 0 if it was removed from the host
 * list, -1 if it is in another data centre, whose leader empties it.
 */
static int running_tasks(const struct part_ctx *ctx,
			 const struct doc_host *host, bool is_gone)
{
	const struct host_load *load;

	if (is_gone)
		return 0;
	if (strcmp(host->data_centre, ctx->options->data_centre) != 0)
		return -1;
	load = g_hash_table_lookup(ctx->parts.planner->loads, host->name);
	if (!load)
		return 0;
	if (host->state == HOST_DRAINING && !load->is_idle)
		return load->running > 0 ? load->running : 1;
	return load->running;
}

/*
 * Fills a row of the plan's input; out->location must be set. Pools are given
 * by their index in the document. The age is measured by the clock of the data
 * centre's records.
 */
static void fill_host(struct part_ctx *ctx, const struct document *doc,
		      const struct doc_host *host, struct plan_host *out)
{
	struct planner *p = ctx->parts.planner;
	struct host_record *row = planner_host_record(ctx, host);
	const struct record_table *t =
		g_hash_table_lookup(p->records, host->data_centre);
	const struct host_load *load =
		g_hash_table_lookup(p->loads, host->name);
	bool is_gone = fleet_is_host_gone(ctx, host->name);
	struct host_observation *observation = update_observation(ctx, host);
	const struct doc_pool *pools, *home, *target;
	size_t pools_nr;

	pools = document_pools(doc, &pools_nr);
	clear_finished_purpose(doc, row, host);
	home = document_pool(doc, row->home);
	target = document_pool(doc, row->target);
	out->state = host->state;
	out->is_failed = is_gone || (load && load->is_failed) ||
			 g_hash_table_contains(p->remote_down, host->name) ||
			 (host->state == HOST_ASSIGNED &&
			  fleet_is_host_leaving(ctx, host->name));
	out->running = running_tasks(ctx, host, is_gone);
	out->home = home ? (int)(home - pools) : out->location.pool;
	out->purpose = row->purpose;
	out->target = target ? (int)(target - pools) : out->location.pool;
	out->is_backed_off = observation->backoff_until > ctx->now;
	out->is_absent = fleet_is_host_absent(ctx, host->name);
	out->is_rebooted = observation->is_rebooted || row->is_returning;
	out->time_in_state = ctx->now - observation->since;
	out->age =
		(cs_time)((record_table_clock(t, ctx->now) - row->maintained) *
			  (double)CS_SEC);
}

/* Returns the index of a rack. Names of racks are unique in a data centre. */
static int rack_index(GHashTable *racks, const struct doc_host *host)
{
	char *key = g_strdup_printf("%s %s", host->rack, host->data_centre);
	gpointer value;

	if (g_hash_table_lookup_extended(racks, key, NULL, &value)) {
		g_free(key);
		return GPOINTER_TO_INT(value);
	}
	value = GINT_TO_POINTER((int)g_hash_table_size(racks));
	g_hash_table_insert(racks, key, value);
	return GPOINTER_TO_INT(value);
}

/*
 * Fills the table of hosts, in the order of the document, so that steps can
 * name hosts by index.
 */
static void gather_hosts(struct part_ctx *ctx, const struct document *doc,
			 struct plan_input *in)
{
	GHashTable *racks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	const struct doc_data_centre *dcs;
	const struct doc_worker *workers;
	const struct doc_host *hosts, *host;
	const struct doc_pool *pools;
	struct plan_host *rows;
	size_t nr, dcs_nr, pools_nr, i;

	dcs = document_data_centres(doc, &dcs_nr);
	pools = document_pools(doc, &pools_nr);
	hosts = document_hosts(doc, &in->hosts_nr);
	rows = g_new0(struct plan_host, in->hosts_nr + 1);
	for (i = 0; i < in->hosts_nr; i++) {
		rows[i].location.rack = rack_index(racks, &hosts[i]);
		rows[i].location.pool = ROW_INDEX(
			document_pool(doc, hosts[i].pool), pools, pools_nr);
		rows[i].location.data_centre = ROW_INDEX(
			document_data_centre(doc, hosts[i].data_centre), dcs,
			dcs_nr);
		fill_host(ctx, doc, &hosts[i], &rows[i]);
	}
	workers = document_workers(doc, &nr);
	for (i = 0; i < nr; i++) {
		host = document_host(doc, workers[i].host);
		if (host)
			rows[host - hosts].slots += workers[i].slots;
	}
	in->hosts = rows;
	in->racks_nr = g_hash_table_size(racks);
	g_hash_table_destroy(racks);
}

/* Demand in all data centres, since work is forwarded to free slots. */
static int pool_demand(const struct part_ctx *ctx, const struct document *doc,
		       const char *pool)
{
	const struct doc_data_centre *dcs;
	size_t nr, i;
	int sum = 0;

	dcs = document_data_centres(doc, &nr);
	for (i = 0; i < nr; i++)
		sum += share_pool_demand(ctx, pool, dcs[i].name);
	return sum;
}

void planner_input_gather(struct part_ctx *ctx, struct plan_input *in)
{
	const struct document *doc = config_sync_document(ctx);
	const struct doc_data_centre *dcs;
	const struct pool_history *history;
	const struct doc_pool *pools;
	size_t nr, i;
	bool *is_out;

	memset(in, 0, sizeof(*in));
	in->now = ctx->now;
	in->pace = ctx->parts.planner->pace;
	in->policy = *plan_policy_of(document_preset(doc));
	in->ignores_budget = MUTANT(ctx, "planner-ignore-budget");
	if (MUTANT(ctx, "planner-no-hysteresis"))
		plan_policy_disable_hysteresis(&in->policy);
	/* The last row stands for names that the document lacks. */
	dcs = document_data_centres(doc, &nr);
	in->data_centres_nr = nr + 1;
	is_out = g_new0(bool, nr + 1);
	for (i = 0; i < nr; i++)
		is_out[i] = dcs[i].is_out;
	in->is_out = is_out;
	pools = document_pools(doc, &nr);
	in->pools_nr = nr + 1;
	in->pools = g_new0(struct plan_pool, nr + 1);
	for (i = 0; i < nr; i++) {
		in->pools[i].is_spare = pools[i].is_spare;
		in->pools[i].budget_percent = pools[i].budget_percent;
		in->pools[i].demand = pool_demand(ctx, doc, pools[i].name);
		history = g_hash_table_lookup(ctx->parts.planner->history,
					      pools[i].name);
		if (history)
			in->pools[i].history = *history;
	}
	gather_hosts(ctx, doc, in);
}

void planner_input_save(struct part_ctx *ctx, const struct plan_input *in)
{
	struct planner *p = ctx->parts.planner;
	const struct doc_pool *pools;
	size_t nr, i;

	pools = document_pools(config_sync_document(ctx), &nr);
	p->pace = in->pace;
	g_hash_table_remove_all(p->history);
	for (i = 0; i < nr; i++)
		g_hash_table_insert(p->history, g_strdup(pools[i].name),
				    g_memdup2(&in->pools[i].history,
					      sizeof(in->pools[i].history)));
}

void planner_input_clear(struct plan_input *in)
{
	g_free(in->pools);
	g_free((void *)in->hosts);
	g_free((void *)in->is_out);
	memset(in, 0, sizeof(*in));
}
