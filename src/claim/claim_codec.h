#ifndef CLAIM_CODEC_H
#define CLAIM_CODEC_H

#include <glib.h>

#include "claim_map.h"

/*
 * The JSON form of the claims map. For a malformed map claim_map_decode() sets
 * err, returns CS_ERR_INVALID and leaves map unchanged. The caller owns the
 * result of claim_map_encode().
 */
int claim_map_decode(GBytes *bytes, struct claim_map *map,
		     struct cs_error *err);
GBytes *claim_map_encode(const struct claim_map *map);

#endif
