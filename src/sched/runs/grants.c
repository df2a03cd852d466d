#include "../sched_private.h"

#include <string.h>

#include "../../base/log.h"

/*
 * After this time a server that has not answered a new owner counts as silent:
 * its grant is stored again with a bound of its leases. Sound servers answer
 * within some 10 ms.
 */
#define SILENT_AFTER_US (1 * CS_SEC)

/* A grant of a predecessor, of a server that is not in the registry. */
struct unlisted_grant {
	char *pool;
	struct sched_grant grant; /* without names */
};

struct grants {
	GHashTable *unlisted; /* id -> struct unlisted_grant */
	GPtrArray *ended; /* identifiers to remove from the store */
	bool is_due; /* a server may need a grant */
	/* Identifiers of silent servers, once it is known which are. */
	GPtrArray *silent;
	guint next_silent; /* the next one to be taken */
	bool is_leaving; /* this owner gives no more orders */
};

static void unlisted_free(void *row)
{
	struct unlisted_grant *g = row;

	g_free(g->pool);
	g_free(g);
}

struct grants *grants_create(void)
{
	struct grants *g = g_new0(struct grants, 1);

	g->unlisted = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					    unlisted_free);
	g->ended = g_ptr_array_new_with_free_func(g_free);
	return g;
}

void grants_destroy(struct grants *g)
{
	g_hash_table_destroy(g->unlisted);
	g_ptr_array_free(g->ended, TRUE);
	if (g->silent)
		g_ptr_array_free(g->silent, TRUE);
	g_free(g);
}

void grants_wake(struct sched *s)
{
	s->grants->is_due = true;
}

static void set_grant(struct server *v, const struct sched_grant *grant)
{
	v->is_granted = v->was_granted = v->is_grant_inherited = true;
	v->is_grant_bounded = grant->is_bounded;
	v->unused_since = grant->unused_since;
	v->grant_revision = grant->revision;
	v->predecessor_longest_end = v->stored_longest_end = grant->longest_end;
	v->predecessor_started_unix_ms = grant->started_unix_ms;
	if (!v->is_taken_over)
		v->predecessor_lease_end = grant->lease_end;
}

void sched_server_granted(struct sched *s, const struct sched_grant *grant)
{
	struct server *v = g_hash_table_lookup(s->server_by_id, grant->id);
	struct unlisted_grant *row;

	if (v) {
		set_grant(v, grant);
		return;
	}
	row = g_new0(struct unlisted_grant, 1);
	row->pool = g_strdup(grant->pool);
	row->grant = *grant;
	row->grant.id = row->grant.pool = NULL;
	g_hash_table_insert(s->grants->unlisted, g_strdup(grant->id), row);
	sched_pool(s, grant->pool);
}

void grants_take_row(struct sched *s, struct server *v)
{
	const struct unlisted_grant *row =
		g_hash_table_lookup(s->grants->unlisted, v->info.id);

	if (!row)
		return;
	set_grant(v, &row->grant);
	g_hash_table_remove(s->grants->unlisted, v->info.id);
}

static bool is_ending(const struct sched *s, const char *id)
{
	const GPtrArray *ended = s->grants->ended;
	guint i;

	for (i = 0; i < ended->len; i++)
		if (!strcmp(g_ptr_array_index(ended, i), id))
			return true;
	return false;
}

void grants_invalidate(struct server *v)
{
	v->is_granted = false;
	v->is_grant_outdated = v->is_grant_pending;
}

void grants_end(struct sched *s, const char *id)
{
	if (!is_ending(s, id))
		g_ptr_array_add(s->grants->ended, g_strdup(id));
}

guint grants_count_ended(const struct sched *s)
{
	return s->grants->ended->len;
}

/* Never less than what is stored: a late write must not lower it. */
static cs_time longest_end(const struct sched *s, const struct server *v)
{
	return MAX(v->stored_longest_end,
		   incarnation_inherited_lease_end(s, v));
}

bool grants_tell_leases(const struct sched *s, const struct server *v)
{
	cs_time end = incarnation_inherited_lease_end(s, v);

	return end <= v->stored_longest_end || end <= s->confirmed_at;
}

/* A server that has answered may have runs whose lease must be renewed. */
static bool needs_grant(const struct sched *s, const struct server *v)
{
	if (v->is_grant_pending || is_ending(s, v->info.id))
		return false;
	if (v->is_granted && !grants_tell_leases(s, v))
		return true;
	if (v->is_dead)
		return false;
	if (v->is_granted)
		return v->is_grant_bounded && v->answered_at;
	return v->is_listed && !v->cordons && !v->info.is_draining;
}

cs_handle sched_take_grant(struct sched *s, struct sched_grant *grant)
{
	cs_handle h;

	if (!s->grants->is_due)
		return 0;
	for (h = slots_next(s->servers, 0); h; h = slots_next(s->servers, h)) {
		struct server *v = server_row(s, h);

		if (!needs_grant(s, v))
			continue;
		v->is_grant_pending = true;
		v->pending_longest_end = longest_end(s, v);
		*grant = (struct sched_grant){
			.id = v->info.id,
			.pool = v->info.pool,
			.revision = v->grant_revision,
			.longest_end = v->pending_longest_end,
			.started_unix_ms = v->info.started_unix_ms
		};
		return h;
	}
	s->grants->is_due = false;
	return 0;
}

void sched_grant_stored(struct sched *s, cs_handle h, bool is_stored,
			uint64_t revision)
{
	struct server *v = server_row(s, h);

	if (!v)
		return;
	v->is_grant_pending = false;
	v->grant_revision = revision;
	if (!is_stored)
		s->grants->is_due = true;
	if (!is_stored || v->is_grant_outdated) {
		v->is_grant_outdated = false;
		return;
	}
	v->is_granted = true;
	v->is_grant_bounded = v->is_grant_inherited = false;
	v->stored_longest_end = v->pending_longest_end;
	v->unused_since = 0;
	sched_wake_pool(s, v->pool);
}

/*
 * True if the grant of the server may be stored with a bound of its leases: it
 * has not answered this owner, or does not now that this one leaves.
 */
static bool is_silent(const struct sched *s, const struct server *v)
{
	if (!v->is_granted || is_ending(s, v->info.id))
		return false;
	if (s->grants->is_leaving)
		return v->unanswered_orders || !v->answered_at ||
		       !grants_tell_leases(s, v);
	if (v->is_grant_pending)
		return false;
	return v->is_grant_inherited && !v->answered_at && !v->runs->len;
}

static void find_silent(struct sched *s)
{
	struct grants *g = s->grants;
	GHashTableIter it;
	cs_handle h;
	void *id;

	if (g->silent)
		g_ptr_array_free(g->silent, TRUE);
	g->silent = g_ptr_array_new_with_free_func(g_free);
	g->next_silent = 0;
	for (h = slots_next(s->servers, 0); h; h = slots_next(s->servers, h)) {
		const struct server *v = server_row(s, h);

		/* A release has room for the first ones only. */
		if (is_silent(s, v))
			g_ptr_array_insert(g->silent,
					   grants_tell_leases(s, v) ? -1 : 0,
					   g_strdup(v->info.id));
	}
	g_hash_table_iter_init(&it, g->unlisted);
	while (g_hash_table_iter_next(&it, &id, NULL))
		g_ptr_array_add(g->silent, g_strdup(id));
}

/*
 * Start of the incarnation that owners have used. The registry may describe
 * another one, which this owner has not reached.
 */
static uint64_t told_start(const struct server *v)
{
	return v->answered_at ? v->info.started_unix_ms :
				v->predecessor_started_unix_ms;
}

/* Since when no owner has used a server, given that this one has not. */
static uint64_t still_unused_since(const struct sched *s, uint64_t before)
{
	return before ? before : s->options.revision;
}

static bool take_silent_server(const struct sched *s, struct server *v,
			       struct sched_grant *grant)
{
	if (!is_silent(s, v))
		return false;
	v->is_grant_bounded = true;
	*grant = (struct sched_grant){ .id = v->info.id,
				       .pool = v->pool->name,
				       .revision = v->grant_revision,
				       .lease_end = servers_lease_end(s, v),
				       .longest_end = longest_end(s, v),
				       .started_unix_ms = told_start(v),
				       .is_bounded = true };
	if (!v->answered_at)
		grant->unused_since = still_unused_since(s, v->unused_since);
	return true;
}

/* The same for a silent server without a row. */
static bool take_unlisted(const struct sched *s, const char *id,
			  struct sched_grant *grant)
{
	struct unlisted_grant *row =
		g_hash_table_lookup(s->grants->unlisted, id);

	if (!row || is_ending(s, id))
		return false;
	row->grant.is_bounded = true;
	*grant = row->grant;
	grant->id = id;
	grant->pool = row->pool;
	grant->unused_since = still_unused_since(s, row->grant.unused_since);
	return true;
}

bool sched_take_silent_grant(struct sched *s, struct sched_grant *grant)
{
	struct grants *g = s->grants;

	while (g->silent && g->next_silent < g->silent->len) {
		const char *id = g_ptr_array_index(g->silent, g->next_silent++);
		struct server *v = g_hash_table_lookup(s->server_by_id, id);

		if (v ? take_silent_server(s, v, grant) :
			take_unlisted(s, id, grant))
			return true;
	}
	return false;
}

void sched_silent_grant_stored(struct sched *s, const char *id,
			       uint64_t revision)
{
	struct server *v = g_hash_table_lookup(s->server_by_id, id);
	struct unlisted_grant *row =
		g_hash_table_lookup(s->grants->unlisted, id);

	if (v)
		v->grant_revision = MAX(v->grant_revision, revision);
	else if (row)
		row->grant.revision = revision;
}

void sched_restart_silent_grants(struct sched *s)
{
	s->grants->is_leaving = true;
	find_silent(s);
}

void sched_ended_grants(const struct sched *s, GPtrArray *ids, guint max)
{
	const GPtrArray *ended = s->grants->ended;
	guint i;

	for (i = 0; i < ended->len && ids->len < max; i++)
		g_ptr_array_add(ids, g_strdup(g_ptr_array_index(ended, i)));
}

void sched_ended_grant_removed(struct sched *s, const char *id)
{
	struct server *v = g_hash_table_lookup(s->server_by_id, id);
	GPtrArray *ended = s->grants->ended;
	guint i;

	if (v)
		v->grant_revision = 0;
	for (i = 0; i < ended->len; i++) {
		if (strcmp(g_ptr_array_index(ended, i), id))
			continue;
		g_ptr_array_remove_index(ended, i);
		return;
	}
}

guint grants_count_unlisted(const struct sched *s, const char *pool)
{
	GHashTableIter it;
	guint n = 0;
	void *row;

	g_hash_table_iter_init(&it, s->grants->unlisted);
	while (g_hash_table_iter_next(&it, NULL, &row))
		n += !strcmp(((struct unlisted_grant *)row)->pool, pool);
	return n;
}

/* As note_given_up() in servers.c, of a server without a row. */
static void log_given_up(struct sched *s, const char *id,
			 const struct unlisted_grant *u, cs_time now)
{
	GString *pairs = g_string_new(NULL);

	log_pair(pairs, "server", id);
	log_pair(pairs, "pool", u->pool);
	log_pair(pairs, "why", u->grant.is_bounded ? "bound" : "predecessor");
	log_pair_int(pairs, "is_listed", 0);
	log_pair_int(pairs, "term_age_ms", (now - s->started_at) / CS_MSEC);
	sched_log(s, "server_given_up", pairs);
}

void grants_check(struct sched *s, cs_time now)
{
	struct grants *g = s->grants;
	GHashTableIter it;
	void *id, *row;

	g->is_due = true;
	if (!s->is_ready)
		return;
	if (!g->silent && now - s->started_at >= SILENT_AFTER_US)
		find_silent(s);
	g_hash_table_iter_init(&it, g->unlisted);
	while (g_hash_table_iter_next(&it, &id, &row)) {
		const struct unlisted_grant *u = row;

		if (s->confirmed_at < u->grant.lease_end)
			continue;
		log_given_up(s, id, u, now);
		grants_end(s, id);
		g_hash_table_iter_remove(&it);
	}
}
