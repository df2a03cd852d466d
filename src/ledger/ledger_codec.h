#ifndef LEDGER_CODEC_H
#define LEDGER_CODEC_H

#include "ledger.h"

/*
 * The JSON form of a ledger document. ledger_decode() checks every number and
 * name; for a malformed document it returns NULL and sets err to
 * CS_ERR_INVALID. Holdings and teams whose amounts are all 0 are not encoded.
 * The caller owns the results.
 */
struct ledger *ledger_decode(GBytes *bytes, const char *account,
			     struct cs_error *err);
GBytes *ledger_encode(const struct ledger *l);

#endif
