#include "document_rules.h"

#include <inttypes.h>
#include <string.h>

#include "document_rows.h"
#include "schema.h"

/*
 * At most a fifth of the hosts of a data centre may be down for planned work,
 * so that the rest can carry the load.
 */
#define DATA_CENTRE_BUDGET_PERCENT 20

/*
 * Hosts of one rack, pool or data centre. Hosts of a data centre that is out
 * of service are not counted.
 */
struct host_count {
	int64_t hosts, down;
};

/*
 * Number of hosts that may be down at once. Rounded down, but at least 1 for a
 * group of two or more hosts: otherwise a small group could not be maintained.
 */
static int64_t budget_hosts(int64_t hosts, int percent)
{
	int64_t budget = hosts * percent / 100;

	return budget > 0 || hosts < 2 ? budget : 1;
}

static void count_host(struct host_count *count, const struct doc_host *host)
{
	count->hosts++;
	count->down += host->state != HOST_ASSIGNED;
}

static bool is_out(const struct document *doc, const char *data_centre)
{
	const struct doc_data_centre *dc;

	dc = document_data_centre(doc, data_centre);
	return dc && dc->is_out;
}

/* Returns false and appends the reason if no further host may go down. */
static bool is_within_budget(const struct host_count *count, int64_t budget,
			     const char *kind, const char *name,
			     GString *reason)
{
	if (count->down + 1 <= budget)
		return true;
	g_string_append_printf(reason,
			       "%s %s has %" PRId64 " of %" PRId64
			       " hosts down and its budget is %" PRId64,
			       kind, name, count->down, count->hosts, budget);
	return false;
}

/*
 * Racks are identified by data centre and name. A data centre that is out of
 * service has no budget, since it does no work.
 */
bool document_check_stop(const struct document *doc,
			 const struct doc_host *host, GString *reason)
{
	struct host_count rack = { 0 }, pool = { 0 }, dc = { 0 };
	const struct doc_pool *pool_row = document_pool(doc, host->pool);
	const struct doc_host *hosts;
	size_t i, nr;

	if (is_out(doc, host->data_centre))
		return true;
	hosts = document_hosts(doc, &nr);
	for (i = 0; i < nr; i++) {
		bool same_dc = !strcmp(hosts[i].data_centre, host->data_centre);

		if (same_dc)
			count_host(&dc, &hosts[i]);
		if (same_dc && !strcmp(hosts[i].rack, host->rack))
			count_host(&rack, &hosts[i]);
		if (!strcmp(hosts[i].pool, host->pool) &&
		    !is_out(doc, hosts[i].data_centre))
			count_host(&pool, &hosts[i]);
	}
	return is_within_budget(&rack, 1, "rack", host->rack, reason) &&
	       is_within_budget(
		       &pool,
		       budget_hosts(pool.hosts,
				    pool_row ? pool_row->budget_percent : 0),
		       "pool", host->pool, reason) &&
	       is_within_budget(
		       &dc, budget_hosts(dc.hosts, DATA_CENTRE_BUDGET_PERCENT),
		       "data centre", host->data_centre, reason);
}

const struct doc_team *document_key_team(const struct document *doc,
					 const uint8_t digest[CS_DIGEST_LEN])
{
	const struct doc_team *teams;
	size_t i, nr;

	teams = document_teams(doc, &nr);
	for (i = 0; i < nr; i++)
		if (doc_team_key_by_digest(&teams[i], digest))
			return &teams[i];
	return NULL;
}

/* State of one check of a document. */
struct check_state {
	const struct document *doc;
	GString *faults;
	size_t faults_nr;
	int64_t slots; /* of the fleet */
	GHashTable *keys; /* digest -> struct doc_team */
};

static void add_fault(struct check_state *st, const char *kind,
		      const char *name, const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

/* Appends "KIND NAME: ..." as one line. */
static void add_fault(struct check_state *st, const char *kind,
		      const char *name, const char *fmt, ...)
{
	va_list args;

	g_string_append_printf(st->faults, "%s %s: ", kind, name);
	va_start(args, fmt);
	g_string_append_vprintf(st->faults, fmt, args);
	va_end(args);
	g_string_append_c(st->faults, '\n');
	st->faults_nr++;
}

/* Checks each name and field on its own. */
static void check_fields(struct check_state *st)
{
	GString *expected = g_string_new(NULL);
	size_t table, i;

	for (table = 0; table < DOC_TABLE_NR; table++) {
		const struct row_schema *schema = &row_schemas[table];

		for (i = 0; i < st->doc->tables[table].nr; i++) {
			const char *row = doc_row(st->doc, table, i);
			const struct field *invalid = schema_invalid_field(
				schema->fields, schema->fields_nr, row);

			if (!schema_is_name(row))
				add_fault(st, schema->label, row,
					  "the name is not %s",
					  field_name.expected);
			if (!invalid)
				continue;
			g_string_truncate(expected, 0);
			schema_describe(invalid, expected);
			add_fault(st, schema->label, row, "%s is not %s",
				  invalid->name, expected->str);
		}
	}
	g_string_free(expected, TRUE);
}

/* Checks that the row to which a field refers exists. */
static void check_reference(struct check_state *st, enum doc_table from,
			    const char *row, enum doc_table to,
			    const char *name)
{
	if (!doc_find(st->doc, to, name))
		add_fault(st, row_schemas[from].label, row,
			  "%s \"%s\" does not exist", row_schemas[to].label,
			  name);
}

static void check_host(struct check_state *st, const void *row)
{
	const struct doc_host *host = row;

	check_reference(st, DOC_HOSTS, host->name, DOC_POOLS, host->pool);
	check_reference(st, DOC_HOSTS, host->name, DOC_DATA_CENTRES,
			host->data_centre);
}

static void check_worker(struct check_state *st, const void *row)
{
	const struct doc_worker *worker = row;

	check_reference(st, DOC_WORKERS, worker->name, DOC_HOSTS, worker->host);
}

/* An open queue must name a team; for any other queue it is optional. */
static void check_queue(struct check_state *st, const void *row)
{
	const struct doc_queue *queue = row;

	check_reference(st, DOC_QUEUES, queue->name, DOC_POOLS, queue->pool);
	if (queue->is_open || *queue->team)
		check_reference(st, DOC_QUEUES, queue->name, DOC_TEAMS,
				queue->team);
}

/*
 * A key may be granted to one team only. The keys of a team are sorted by
 * label, so equal labels are adjacent.
 */
static void check_keys(struct check_state *st, const struct doc_team *team)
{
	size_t i;

	for (i = 0; i < team->keys_nr; i++) {
		const struct doc_key *key = &team->keys[i];
		GBytes *digest = g_bytes_new_static(key->digest, CS_DIGEST_LEN);
		const struct doc_team *other =
			g_hash_table_lookup(st->keys, digest);

		if (!schema_is_name(key->label))
			add_fault(st, "team", team->name,
				  "the key label \"%s\" is not %s", key->label,
				  field_name.expected);
		if (i && !strcmp(key->label, team->keys[i - 1].label))
			add_fault(st, "team", team->name,
				  "two keys have the label %s", key->label);
		if (other)
			add_fault(st, "team", team->name,
				  "key %s is also granted to team %s",
				  key->label, other->name);
		g_hash_table_insert(st->keys, digest, (void *)team);
	}
}

/* A team's limit must not be above the sum of all workers' slots. */
static void check_team(struct check_state *st, const void *row)
{
	const struct doc_team *team = row;

	check_keys(st, team);
	if (team->limit > st->slots)
		add_fault(st, "team", team->name,
			  "limit %d is above the %" PRId64
			  " slots of the fleet",
			  team->limit, st->slots);
}

static void (*const row_checks[DOC_TABLE_NR])(struct check_state *st,
					      const void *row) = {
	[DOC_HOSTS] = check_host,
	[DOC_WORKERS] = check_worker,
	[DOC_QUEUES] = check_queue,
	[DOC_TEAMS] = check_team,
};

size_t document_check(const struct document *doc, GString *faults)
{
	struct check_state st = { .doc = doc, .faults = faults };
	const struct doc_worker *workers;
	size_t i, nr, table;

	st.keys = g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
					(GDestroyNotify)g_bytes_unref, NULL);
	workers = document_workers(doc, &nr);
	for (i = 0; i < nr; i++)
		st.slots += workers[i].slots;
	check_fields(&st);
	for (table = 0; table < DOC_TABLE_NR; table++)
		for (i = 0; row_checks[table] && i < doc->tables[table].nr; i++)
			row_checks[table](&st, doc_row(doc, table, i));
	g_hash_table_destroy(st.keys);
	return st.faults_nr;
}

bool document_host_differs(const struct doc_host *a, const struct doc_host *b)
{
	return strcmp(a->rack, b->rack) != 0 ||
	       strcmp(a->data_centre, b->data_centre) != 0 ||
	       strcmp(a->pool, b->pool) != 0;
}

/* Checks a host that is in both documents; see document_check_replace(). */
static void check_same_host(struct check_state *st, const struct doc_host *old,
			    const struct doc_host *host)
{
	if (document_host_differs(old, host) && old->state != HOST_EMPTY)
		add_fault(st, "host", host->name,
			  "must be empty before its rack, data centre or pool "
			  "changes");
	if (host->state != old->state && host->state != HOST_ASSIGNED)
		add_fault(st, "host", host->name,
			  "is stopped only by host-drain and host-empty");
}

size_t document_check_replace(const struct document *doc,
			      const struct document *next, GString *faults)
{
	struct check_state st = { .doc = doc, .faults = faults };
	const struct doc_host *hosts, *other;
	size_t i, nr;

	hosts = document_hosts(doc, &nr);
	for (i = 0; i < nr; i++) {
		other = document_host(next, hosts[i].name);
		if (other)
			check_same_host(&st, &hosts[i], other);
		else if (hosts[i].state != HOST_EMPTY)
			add_fault(&st, "host", hosts[i].name,
				  "must be empty before it is removed");
	}
	hosts = document_hosts(next, &nr);
	for (i = 0; i < nr; i++)
		if (hosts[i].state != HOST_ASSIGNED &&
		    !document_host(doc, hosts[i].name))
			add_fault(&st, "host", hosts[i].name,
				  "is new and must be assigned");
	return st.faults_nr;
}
