#ifndef LEDGER_CODEC_H
#define LEDGER_CODEC_H

#include "ledger.h"

/*
 * The JSON form of a ledger document. Decoding checks every figure and name;
 * a document that breaks a rule is CS_ERR_INVALID with err filled, and NULL
 * is returned. Rows that hold nothing are not encoded.
 */
struct ledger *ledger_decode(GBytes *bytes, const char *account,
			     struct cs_error *err);
GBytes *ledger_encode(const struct ledger *l);

#endif
