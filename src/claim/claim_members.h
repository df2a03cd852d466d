#ifndef CLAIM_MEMBERS_H
#define CLAIM_MEMBERS_H

#include "../entry/part.h"
#include "claim_map.h"

/*
 * Which members of the claims map answer, are silent or are dead, as this
 * entry sees it.
 */
struct claim_view;

struct claim_view *claim_view_create(const struct part_ctx *ctx);
void claim_view_destroy(struct claim_view *v);

/* Takes notice of a link that went up or down. */
void claim_view_link(struct claim_view *v, const struct peer_state *state);

/* After a pause: silence is counted from now, since none was heard. */
void claim_view_reset(struct claim_view *v);

/* True for this entry itself and for an incarnation that answers. */
bool claim_view_is_live(const struct claim_view *v,
			const struct claim_member *m);

/* The same facts for the rules of the map; good until the next call. */
const struct claim_members *claim_view_members(struct claim_view *v);

#endif
