#include "dispatch_private.h"

#include <string.h>

#include "../base/error.h"

/* An isolated entry serves a team's queue that was last used in this time. */
#define RECENT_USE_WINDOW (600 * CS_SEC)

static void refuse(struct admission *out, const char *reason, int status)
{
	out->reason = reason;
	out->status = status;
}

/*
 * In an isolated data centre: true if the team used the queue within
 * RECENT_USE_WINDOW. Otherwise records this use and returns true.
 */
static bool was_used_recently(struct part_ctx *ctx, const char *team,
			      const char *queue)
{
	GHashTable *used = ctx->parts.dispatch->recently_used;
	char key[2 * CS_NAME_MAX];
	cs_time *last;
	bool is_recent;

	g_snprintf(key, sizeof(key), "%s %s", team, queue);
	last = g_hash_table_lookup(used, key);
	is_recent = last && ctx->now - *last <= RECENT_USE_WINDOW;
	if (config_sync_is_isolated(ctx))
		return is_recent; /* a use while isolated must not extend it */
	if (!last) {
		last = g_new0(cs_time, 1);
		g_hash_table_insert(used, g_strdup(key), last);
	}
	*last = ctx->now;
	return true;
}

/* Applies the setting for isolated data centres; see docs/design.md, 3.3. */
static bool is_allowed_isolated(struct part_ctx *ctx, const char *queue,
				bool is_open, const char *team)
{
	bool is_recent = was_used_recently(ctx, team, queue);

	if (!config_sync_is_isolated(ctx) || is_open)
		return true;
	switch (ctx->options->isolated) {
	case ISOLATED_REFUSE:
		return false;
	case ISOLATED_KNOWN:
		return is_recent;
	default:
		return true;
	}
}

void dispatch_admit(struct part_ctx *ctx, const struct submit *submit,
		    struct admission *out)
{
	struct dispatch *d = ctx->parts.dispatch;
	const struct document *doc = config_sync_document(ctx);
	const struct doc_queue *queue;
	const char *team = NULL;
	size_t nr;

	memset(out, 0, sizeof(*out));
	if (!document_revision(doc)) {
		refuse(out, "no_configuration", 503);
		return;
	}
	queue = document_queue(doc, submit->queue);
	if (!queue) {
		refuse(out, "no_such_queue", 404);
		return;
	}
	if (submit->has_key && !MUTANT(ctx, "admit-any-key"))
		team = team_index_by_key(d->teams, submit->key_digest);
	else if (submit->has_key)
		team = document_teams(doc, &nr)->name;
	if (submit->has_key && !team) {
		refuse(out, "key_not_accepted", 401);
		return;
	}
	if (!submit->has_key && !queue->is_open) {
		refuse(out, "key_required", 401);
		return;
	}
	if (!team)
		team = queue->team;
	if (!document_team(doc, team)) {
		refuse(out, "no_such_team", 403);
		return;
	}
	if (!is_allowed_isolated(ctx, queue->name, queue->is_open, team)) {
		refuse(out, "data_centre_isolated", 503);
		return;
	}
	cs_copy(out->team, sizeof(out->team), team);
	cs_copy(out->pool, sizeof(out->pool), queue->pool);
}
