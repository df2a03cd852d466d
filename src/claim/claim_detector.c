#include "claim_detector.h"

#include <string.h>

#include "../base/error.h"
#include "../fleet/fleet.h"

/*
 * A member is silent if its link is down for this long. A reconnect takes a
 * few hundred milliseconds; a longer time delays callers, which wait for a new
 * owner.
 */
#define SILENT_AFTER CS_SEC

/* A member that is not live, and since when. */
struct silence {
	struct claim_member member;
	cs_time since;
};

struct claim_detector {
	const struct part_ctx *ctx;
	GArray *live; /* struct claim_member, self first */
	GArray *silences; /* struct silence */
	struct claim_membership membership;
};

/*
 * A member's death is confirmed when a newer incarnation is live or the host
 * list has dropped the entry.
 */
static bool is_dead(void *arg, const struct claim_member *m)
{
	const struct claim_detector *d = arg;
	guint i;

	for (i = 0; i < d->live->len; i++) {
		const struct claim_member *l =
			&g_array_index(d->live, struct claim_member, i);

		if (!strcmp(l->entry, m->entry))
			return l->incarnation > m->incarnation;
	}
	return fleet_is_host_gone(d->ctx, m->entry);
}

/*
 * True if a member is not live and the first call for it is at least
 * SILENT_AFTER ago. The first call records the time.
 */
static bool is_silent(void *arg, const struct claim_member *m)
{
	struct claim_detector *d = arg;
	struct silence s = { .member = *m, .since = d->ctx->now };
	guint i;

	if (claim_detector_is_live(d, m))
		return false;
	for (i = 0; i < d->silences->len; i++) {
		const struct silence *old =
			&g_array_index(d->silences, struct silence, i);

		if (claim_member_equal(&old->member, m))
			return d->ctx->now - old->since >= SILENT_AFTER;
	}
	g_array_append_val(d->silences, s);
	return false;
}

struct claim_detector *claim_detector_create(const struct part_ctx *ctx)
{
	struct claim_detector *d = g_new0(struct claim_detector, 1);
	struct claim_member self = { .incarnation = ctx->options->incarnation };

	d->ctx = ctx;
	d->live = g_array_new(FALSE, TRUE, sizeof(struct claim_member));
	d->silences = g_array_new(FALSE, TRUE, sizeof(struct silence));
	cs_copy(self.entry, sizeof(self.entry), ctx->options->id);
	g_array_append_val(d->live, self);
	return d;
}

void claim_detector_destroy(struct claim_detector *d)
{
	if (!d)
		return;
	g_array_unref(d->live);
	g_array_unref(d->silences);
	g_free(d);
}

void claim_detector_on_peer_state(struct claim_detector *d,
				  const struct peer_state *state)
{
	struct claim_member m = { .incarnation = state->incarnation };
	guint i;

	for (i = 1; i < d->live->len; i++) {
		const struct claim_member *old =
			&g_array_index(d->live, struct claim_member, i);

		if (strcmp(old->entry, state->peer))
			continue;
		/* Ignores late messages about an older incarnation. */
		if (state->incarnation && state->incarnation < old->incarnation)
			return;
		g_array_remove_index(d->live, i--);
	}
	cs_copy(m.entry, sizeof(m.entry), state->peer);
	if (!state->is_up) {
		is_silent(d, &m); /* records the time */
		return;
	}
	g_array_append_val(d->live, m);
	for (i = 0; i < d->silences->len; i++)
		if (!strcmp(g_array_index(d->silences, struct silence, i)
				    .member.entry,
			    state->peer))
			g_array_remove_index_fast(d->silences, i--);
}

void claim_detector_reset(struct claim_detector *d)
{
	g_array_set_size(d->silences, 0);
}

bool claim_detector_is_live(const struct claim_detector *d,
			    const struct claim_member *m)
{
	guint i;

	for (i = 0; i < d->live->len; i++)
		if (claim_member_equal(
			    m, &g_array_index(d->live, struct claim_member, i)))
			return true;
	return false;
}

const struct claim_membership *claim_detector_membership(
	struct claim_detector *d)
{
	d->membership = (struct claim_membership){
		.live = (const struct claim_member *)d->live->data,
		.nr = d->live->len,
		.is_dead = is_dead,
		.is_silent = is_silent,
		.ctx = d,
	};
	return &d->membership;
}
