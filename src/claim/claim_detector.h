#ifndef CLAIM_DETECTOR_H
#define CLAIM_DETECTOR_H

#include "../entry/part.h"
#include "claim_map.h"

/*
 * Which members of the claims map answer, are silent or are dead, as this
 * entry sees it.
 */
struct claim_detector;

struct claim_detector *claim_detector_create(const struct part_ctx *ctx);
void claim_detector_destroy(struct claim_detector *d);

/* Takes notice of a link that went up or down. */
void claim_detector_on_peer_state(struct claim_detector *d,
				  const struct peer_state *state);

/* After a pause: silence is counted from now, since none was heard. */
void claim_detector_reset(struct claim_detector *d);

/* True for this entry itself and for an incarnation that answers. */
bool claim_detector_is_live(const struct claim_detector *d,
			    const struct claim_member *m);

/* The same facts for the rules of the map; good until the next call. */
const struct claim_membership *claim_detector_membership(
	struct claim_detector *d);

#endif
