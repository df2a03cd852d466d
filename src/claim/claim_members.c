#include "claim_members.h"

#include <string.h>

#include "../base/error.h"
#include "../fleet/fleet.h"

/*
 * A link that is down for this long makes a member silent. A reconnect takes
 * a few hundred milliseconds; callers wait for a new owner meanwhile.
 */
#define SILENT_AFTER CS_SEC

/* A member that does not answer, and since when. */
struct silence {
	struct claim_member member;
	cs_time since;
};

struct claim_view {
	const struct part_ctx *ctx;
	GArray *live; /* struct claim_member, self first */
	GArray *silent; /* struct silence */
	struct claim_members members;
};

/*
 * A member's death is confirmed when a newer incarnation is live or the host
 * list has dropped the entry.
 */
static bool is_dead(void *arg, const struct claim_member *m)
{
	const struct claim_view *v = arg;
	guint i;

	for (i = 0; i < v->live->len; i++) {
		const struct claim_member *l =
			&g_array_index(v->live, struct claim_member, i);

		if (!strcmp(l->entry, m->entry))
			return l->incarnation > m->incarnation;
	}
	return fleet_is_entry_dropped(v->ctx, m->entry);
}

/*
 * True once a member that is not live was first asked about at least
 * SILENT_AFTER ago. The first question starts that time.
 */
static bool is_silent(void *arg, const struct claim_member *m)
{
	struct claim_view *v = arg;
	struct silence s = { .member = *m, .since = v->ctx->now };
	guint i;

	if (claim_view_is_live(v, m))
		return false;
	for (i = 0; i < v->silent->len; i++) {
		const struct silence *old =
			&g_array_index(v->silent, struct silence, i);

		if (claim_member_is(&old->member, m))
			return v->ctx->now - old->since >= SILENT_AFTER;
	}
	g_array_append_val(v->silent, s);
	return false;
}

struct claim_view *claim_view_create(const struct part_ctx *ctx)
{
	struct claim_view *v = g_new0(struct claim_view, 1);
	struct claim_member self = { .incarnation = ctx->options->incarnation };

	v->ctx = ctx;
	v->live = g_array_new(FALSE, TRUE, sizeof(struct claim_member));
	v->silent = g_array_new(FALSE, TRUE, sizeof(struct silence));
	cs_copy(self.entry, sizeof(self.entry), ctx->options->id);
	g_array_append_val(v->live, self);
	return v;
}

void claim_view_destroy(struct claim_view *v)
{
	if (!v)
		return;
	g_array_unref(v->live);
	g_array_unref(v->silent);
	g_free(v);
}

void claim_view_link(struct claim_view *v, const struct peer_state *state)
{
	struct claim_member m = { .incarnation = state->incarnation };
	guint i;

	for (i = 1; i < v->live->len; i++) {
		const struct claim_member *old =
			&g_array_index(v->live, struct claim_member, i);

		if (strcmp(old->entry, state->peer))
			continue;
		/* A late word about an older process changes nothing. */
		if (state->incarnation && state->incarnation < old->incarnation)
			return;
		g_array_remove_index(v->live, i--);
	}
	cs_copy(m.entry, sizeof(m.entry), state->peer);
	if (!state->is_up) {
		is_silent(v, &m); /* notes the time */
		return;
	}
	g_array_append_val(v->live, m);
	for (i = 0; i < v->silent->len; i++)
		if (!strcmp(g_array_index(v->silent, struct silence, i)
				    .member.entry,
			    state->peer))
			g_array_remove_index_fast(v->silent, i--);
}

void claim_view_reset(struct claim_view *v)
{
	g_array_set_size(v->silent, 0);
}

bool claim_view_is_live(const struct claim_view *v,
			const struct claim_member *m)
{
	guint i;

	for (i = 0; i < v->live->len; i++)
		if (claim_member_is(m, &g_array_index(v->live,
						      struct claim_member, i)))
			return true;
	return false;
}

const struct claim_members *claim_view_members(struct claim_view *v)
{
	v->members = (struct claim_members){
		.live = (const struct claim_member *)v->live->data,
		.nr = v->live->len,
		.is_dead = is_dead,
		.is_silent = is_silent,
		.ctx = v,
	};
	return &v->members;
}
