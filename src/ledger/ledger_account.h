#ifndef LEDGER_ACCOUNT_H
#define LEDGER_ACCOUNT_H

#include "../entry/part.h"
#include "ledger.h"

/*
 * One ledger document as read from the platform, and at most one call for it
 * in flight. A write whose reply was lost may still take effect as long as
 * the document has the version that the write expected. Such a write is in
 * doubt until a newer version is seen.
 */
struct ledger_account {
	char key[128];
	struct ledger *doc; /* never NULL */
	uint64_t version; /* 0: not written yet */
	bool is_known; /* doc is valid: read, or never written by anyone */
	bool is_malformed; /* the document of that version */
	uint64_t token; /* of the call in flight, 0: none */
	bool is_write; /* the call in flight */
	struct ledger *candidate; /* being written */
	uint64_t write_version; /* that the write in flight expects */
	GPtrArray *in_doubt; /* struct ledger: writes of unknown outcome */
	uint64_t in_doubt_version; /* that they expected */
	bool must_read; /* before anything else is done */
	bool must_write; /* writes are still in doubt after a read */
	cs_time due; /* of the planned write */
	cs_time next_write; /* earliest time, by the limit on writes */
	cs_time next_read; /* earliest time, after a failed read */
};

struct ledger_account *ledger_account_create(const char *name);
void ledger_account_destroy(struct ledger_account *a);

/*
 * Replaces the document by a row read from the platform if that is newer.
 * Returns true if so. A malformed document clears is_known.
 */
bool ledger_account_update(struct part_ctx *ctx, struct ledger_account *a,
			   uint64_t version, GBytes *value);

/* Emit a read, or a compare-and-swap to candidate. Takes over candidate. */
void ledger_account_read(struct part_ctx *ctx, struct ledger_account *a,
			 uint64_t token);
void ledger_account_write(struct part_ctx *ctx, struct ledger_account *a,
			  struct ledger *candidate, uint64_t token);

/* Handles the reply to the call in flight. True if the document changed. */
bool ledger_account_handle_reply(struct part_ctx *ctx, struct ledger_account *a,
				 const struct kv_done *done);

/*
 * Calls fn for the document and for every write that may have taken effect.
 * A permit may be used only if each of these states grants it.
 */
void ledger_account_for_each_state(const struct ledger_account *a,
				   void (*fn)(void *ctx,
					      const struct ledger *l),
				   void *ctx);

#endif
