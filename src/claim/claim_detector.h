#ifndef CLAIM_DETECTOR_H
#define CLAIM_DETECTOR_H

#include "../entry/part.h"
#include "claim_map.h"

/*
 * A failure detector: which members of the claims map are live (connected),
 * silent (not connected for a second) or dead (confirmed by a newer incarnation
 * or by the host list), as seen by this entry.
 */
struct claim_detector;

struct claim_detector *claim_detector_create(const struct part_ctx *ctx);
void claim_detector_destroy(struct claim_detector *d);

/* Handles a link to a peer that went up or down. */
void claim_detector_on_peer_state(struct claim_detector *d,
				  const struct peer_state *state);

/* After a pause of this process: counts silence of all members from now. */
void claim_detector_reset(struct claim_detector *d);

/* True for this entry itself and for a connected incarnation. */
bool claim_detector_is_live(const struct claim_detector *d,
			    const struct claim_member *m);

/* The state in the form that claim_map needs; valid until the next call. */
const struct claim_membership *claim_detector_membership(
	struct claim_detector *d);

#endif
