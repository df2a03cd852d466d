#include "document.h"

#include <string.h>

#include "../base/error.h"
#include "document_rows.h"
#include "document_rules.h"
#include "schema.h"

/* The step that errors of this file report. */
#define ERROR_STEP "change"

static int set_missing_error(struct cs_error *err, enum doc_table table,
			     const char *name)
{
	return cs_error_set(err, CS_ERR_MISSING, ERROR_STEP, NULL,
			    "%s \"%s\" does not exist",
			    row_schemas[table].label, name);
}

/* Checks the name and the fields of a row before it is stored. */
static int check_row(enum doc_table table, const void *row,
		     struct cs_error *err)
{
	const struct row_schema *schema = &row_schemas[table];
	const struct field *invalid;
	GString *expected;

	if (!schema_is_name(row))
		return cs_error_set(err, CS_ERR_INVALID, ERROR_STEP, NULL,
				    "%s \"%s\": the name is not %s",
				    schema->label, (const char *)row,
				    field_name.expected);
	invalid = schema_invalid_field(schema->fields, schema->fields_nr, row);
	if (!invalid)
		return CS_OK;
	expected = g_string_new(NULL);
	schema_describe(invalid, expected);
	cs_error_set(err, CS_ERR_INVALID, ERROR_STEP, NULL,
		     "%s %s: %s is not %s", schema->label, (const char *)row,
		     invalid->name, expected->str);
	g_string_free(expected, TRUE);
	return CS_ERR_INVALID;
}

/*
 * Copies the row of that name to row, or initializes row with just the name.
 * Returns true if the row exists.
 */
static bool load_row(const struct document *doc, enum doc_table table,
		     const char *name, void *row)
{
	const void *current = doc_find(doc, table, name);

	memset(row, 0, doc_row_size(table));
	if (current)
		memcpy(row, current, doc_row_size(table));
	else
		cs_copy(row, CS_NAME_MAX, name);
	return current;
}

/* Checks row and stores it in its table. */
static int store_row(struct document *doc, enum doc_table table,
		     const void *row, struct cs_error *err)
{
	int ret = check_row(table, row, err);

	if (!ret)
		doc_put(doc, table, row);
	return ret;
}

static int apply_team_set(struct document *doc, const struct change *change,
			  struct cs_error *err)
{
	struct doc_team team;

	load_row(doc, DOC_TEAMS, change->name, &team);
	team.share = change->share;
	team.limit = change->limit;
	return store_row(doc, DOC_TEAMS, &team, err);
}

/* A team that is charged for the work of a queue can't be removed. */
static int apply_team_remove(struct document *doc, const struct change *change,
			     struct cs_error *err)
{
	const struct doc_queue *queues;
	size_t i, nr;

	if (!document_team(doc, change->name))
		return set_missing_error(err, DOC_TEAMS, change->name);
	queues = document_queues(doc, &nr);
	for (i = 0; i < nr; i++)
		if (!strcmp(queues[i].team, change->name))
			return cs_error_set(err, CS_ERR_INVALID, ERROR_STEP,
					    NULL,
					    "team %s is charged for queue %s",
					    change->name, queues[i].name);
	doc_remove(doc, DOC_TEAMS, change->name);
	return CS_OK;
}

/* Granting a key again under the same label has no effect. */
static int apply_key_grant(struct document *doc, const struct change *change,
			   struct cs_error *err)
{
	struct doc_team *team = doc_find(doc, DOC_TEAMS, change->name);
	const struct doc_team *owner;
	const struct doc_key *key;

	if (!team)
		return set_missing_error(err, DOC_TEAMS, change->name);
	if (!change->has_digest)
		return cs_error_set(err, CS_ERR_INVALID, ERROR_STEP, NULL,
				    "team %s: the key digest is missing",
				    team->name);
	if (!schema_is_name(change->label))
		return cs_error_set(err, CS_ERR_INVALID, ERROR_STEP, NULL,
				    "team %s: the key label is not %s",
				    team->name, field_name.expected);
	owner = document_key_team(doc, change->digest);
	if (owner && owner != team)
		return cs_error_set(err, CS_ERR_INVALID, ERROR_STEP, NULL,
				    "the key is already granted to team %s",
				    owner->name);
	key = doc_team_key(team, change->label);
	if (key && memcmp(key->digest, change->digest, CS_DIGEST_LEN) != 0)
		return cs_error_set(err, CS_ERR_INVALID, ERROR_STEP, NULL,
				    "team %s has another key labelled %s",
				    team->name, change->label);
	if (owner && !key)
		return cs_error_set(err, CS_ERR_INVALID, ERROR_STEP, NULL,
				    "team %s has this key under another label",
				    team->name);
	doc_team_put_key(team, change->label, change->digest);
	return CS_OK;
}

/*
 * Removes a key, found by its digest or, if the change has none, by its label.
 */
static int apply_key_withdraw(struct document *doc, const struct change *change,
			      struct cs_error *err)
{
	struct doc_team *team = doc_find(doc, DOC_TEAMS, change->name);
	const struct doc_key *key;

	if (!team)
		return set_missing_error(err, DOC_TEAMS, change->name);
	key = change->has_digest ?
		      doc_team_key_by_digest(team, change->digest) :
		      doc_team_key(team, change->label);
	if (!key)
		return cs_error_set(err, CS_ERR_MISSING, ERROR_STEP, NULL,
				    "team %s has no such key%s%s", team->name,
				    change->has_digest ? "" : ": ",
				    change->has_digest ? "" : change->label);
	doc_team_remove_key(team, key);
	return CS_OK;
}

static int apply_pool_set(struct document *doc, const struct change *change,
			  struct cs_error *err)
{
	struct doc_pool pool;

	load_row(doc, DOC_POOLS, change->name, &pool);
	pool.is_spare = change->is_spare;
	pool.budget_percent = change->budget_percent;
	return store_row(doc, DOC_POOLS, &pool, err);
}

/* An open queue must name the team that is charged for its work. */
static int apply_queue_set(struct document *doc, const struct change *change,
			   struct cs_error *err)
{
	struct doc_queue queue;

	if (!document_pool(doc, change->pool))
		return set_missing_error(err, DOC_POOLS, change->pool);
	if ((change->is_open || *change->team) &&
	    !document_team(doc, change->team))
		return set_missing_error(err, DOC_TEAMS, change->team);
	load_row(doc, DOC_QUEUES, change->name, &queue);
	cs_copy(queue.pool, sizeof(queue.pool), change->pool);
	cs_copy(queue.team, sizeof(queue.team), change->team);
	queue.is_open = change->is_open;
	return store_row(doc, DOC_QUEUES, &queue, err);
}

static int apply_preset(struct document *doc, const struct change *change,
			struct cs_error *err)
{
	if (preset_parse(&doc->preset, change->name))
		return cs_error_set(err, CS_ERR_INVALID, ERROR_STEP, NULL,
				    "\"%s\" is not ordinary, peak or "
				    "maintenance",
				    change->name);
	return CS_OK;
}

/* Takes a data centre out of service (invariant I6) or returns it. */
static int set_data_centre_out(struct document *doc, const char *name,
			       bool is_out, struct cs_error *err)
{
	struct doc_data_centre *dc = doc_find(doc, DOC_DATA_CENTRES, name);

	if (!dc)
		return set_missing_error(err, DOC_DATA_CENTRES, name);
	dc->is_out = is_out;
	return CS_OK;
}

static int apply_data_centre_out(struct document *doc,
				 const struct change *change,
				 struct cs_error *err)
{
	return set_data_centre_out(doc, change->name, true, err);
}

static int apply_data_centre_in(struct document *doc,
				const struct change *change,
				struct cs_error *err)
{
	return set_data_centre_out(doc, change->name, false, err);
}

/*
 * Adds or changes a host, and adds its data centre if that is new. The rack,
 * data centre or pool of a host changes only while it is empty, so that no
 * running work is interrupted.
 */
static int apply_host_set(struct document *doc, const struct change *change,
			  struct cs_error *err)
{
	struct doc_data_centre dc;
	struct doc_host host, old;
	bool exists;
	int ret;

	if (!document_pool(doc, change->pool))
		return set_missing_error(err, DOC_POOLS, change->pool);
	exists = load_row(doc, DOC_HOSTS, change->name, &host);
	old = host;
	cs_copy(host.rack, sizeof(host.rack), change->rack);
	cs_copy(host.data_centre, sizeof(host.data_centre),
		change->data_centre);
	cs_copy(host.pool, sizeof(host.pool), change->pool);
	ret = check_row(DOC_HOSTS, &host, err);
	if (ret)
		return ret;
	if (exists && old.state != HOST_EMPTY &&
	    document_host_differs(&old, &host))
		return cs_error_set(err, CS_ERR_INVALID, ERROR_STEP, NULL,
				    "host %s must be empty before its rack, "
				    "data centre or pool changes",
				    host.name);
	if (!load_row(doc, DOC_DATA_CENTRES, host.data_centre, &dc))
		doc_put(doc, DOC_DATA_CENTRES, &dc);
	doc_put(doc, DOC_HOSTS, &host);
	return CS_OK;
}

/* Changes the state of a host, which must be in state from. */
static int change_host_state(struct document *doc, const char *name,
			     enum host_state from, enum host_state to,
			     const char *expected, struct cs_error *err)
{
	struct doc_host *host = doc_find(doc, DOC_HOSTS, name);

	if (!host)
		return set_missing_error(err, DOC_HOSTS, name);
	if (host->state != from)
		return cs_error_set(err, CS_ERR_INVALID, ERROR_STEP, NULL,
				    "host %s is not %s", name, expected);
	host->state = to;
	return CS_OK;
}

/*
 * A planned stop must respect the availability budgets (invariant I1). The
 * host's state is checked by change_host_state().
 */
static int apply_host_drain(struct document *doc, const struct change *change,
			    struct cs_error *err)
{
	const struct doc_host *host = document_host(doc, change->name);
	GString *reason;
	int ret = CS_OK;

	if (host && host->state == HOST_ASSIGNED) {
		reason = g_string_new(NULL);
		if (!document_check_stop(doc, host, reason))
			ret = cs_error_set(err, CS_ERR_INVALID, ERROR_STEP,
					   NULL, "host %s may not stop: %s",
					   host->name, reason->str);
		g_string_free(reason, TRUE);
	}
	if (ret)
		return ret;
	return change_host_state(doc, change->name, HOST_ASSIGNED,
				 HOST_DRAINING, "assigned", err);
}

static int apply_host_empty(struct document *doc, const struct change *change,
			    struct cs_error *err)
{
	return change_host_state(doc, change->name, HOST_DRAINING, HOST_EMPTY,
				 "draining", err);
}

/* A drain may be cancelled before the host is empty. */
static int apply_host_return(struct document *doc, const struct change *change,
			     struct cs_error *err)
{
	const struct doc_host *host = document_host(doc, change->name);
	enum host_state from = HOST_EMPTY;

	if (host && host->state == HOST_DRAINING)
		from = HOST_DRAINING;
	return change_host_state(doc, change->name, from, HOST_ASSIGNED,
				 "draining or empty", err);
}

/*
 * The pool budgets need no check: the host is down already, and its new pool
 * has as many hosts in service as before.
 */
static int apply_host_move(struct document *doc, const struct change *change,
			   struct cs_error *err)
{
	struct doc_host *host = doc_find(doc, DOC_HOSTS, change->name);

	if (!host)
		return set_missing_error(err, DOC_HOSTS, change->name);
	if (!document_pool(doc, change->pool))
		return set_missing_error(err, DOC_POOLS, change->pool);
	if (host->state != HOST_EMPTY)
		return cs_error_set(err, CS_ERR_INVALID, ERROR_STEP, NULL,
				    "host %s is not empty", host->name);
	cs_copy(host->pool, sizeof(host->pool), change->pool);
	return CS_OK;
}

static int apply_worker_set(struct document *doc, const struct change *change,
			    struct cs_error *err)
{
	struct doc_worker worker;

	if (!document_host(doc, change->host))
		return set_missing_error(err, DOC_HOSTS, change->host);
	load_row(doc, DOC_WORKERS, change->name, &worker);
	cs_copy(worker.host, sizeof(worker.host), change->host);
	cs_copy(worker.address, sizeof(worker.address), change->address);
	worker.slots = change->slots;
	return store_row(doc, DOC_WORKERS, &worker, err);
}

static int (*const apply_table[CHANGE_OP_NR])(struct document *doc,
					      const struct change *change,
					      struct cs_error *err) = {
	[CHANGE_TEAM_SET] = apply_team_set,
	[CHANGE_TEAM_REMOVE] = apply_team_remove,
	[CHANGE_KEY_GRANT] = apply_key_grant,
	[CHANGE_KEY_WITHDRAW] = apply_key_withdraw,
	[CHANGE_POOL_SET] = apply_pool_set,
	[CHANGE_QUEUE_SET] = apply_queue_set,
	[CHANGE_PRESET] = apply_preset,
	[CHANGE_DATA_CENTRE_OUT] = apply_data_centre_out,
	[CHANGE_DATA_CENTRE_IN] = apply_data_centre_in,
	[CHANGE_HOST_SET] = apply_host_set,
	[CHANGE_HOST_DRAIN] = apply_host_drain,
	[CHANGE_HOST_EMPTY] = apply_host_empty,
	[CHANGE_HOST_RETURN] = apply_host_return,
	[CHANGE_HOST_MOVE] = apply_host_move,
	[CHANGE_WORKER_SET] = apply_worker_set,
};

/* Each function of the table changes the document only after all checks. */
int document_apply(struct document *doc, const struct change *change,
		   struct cs_error *err)
{
	if ((unsigned)change->op >= CHANGE_OP_NR)
		return cs_error_set(err, CS_ERR_INVALID, ERROR_STEP, NULL,
				    "unknown operation %d", (int)change->op);
	return apply_table[change->op](doc, change, err);
}
