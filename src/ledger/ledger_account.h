#ifndef LEDGER_ACCOUNT_H
#define LEDGER_ACCOUNT_H

#include "../entry/part.h"
#include "ledger.h"

/*
 * One ledger document as read from the platform, and at most one call for it
 * in flight. A write whose answer was lost may still take effect as long as
 * the document has the version that the write expected; until a newer version
 * is seen, the write stays in the list of unsettled ones.
 */
struct ledger_account {
	char key[128];
	struct ledger *doc; /* never NULL */
	uint64_t version; /* 0: not written yet */
	bool is_known; /* read, and present or never written */
	bool is_malformed; /* that version is malformed */
	uint64_t token; /* of the call in flight, 0: none */
	bool is_write;
	struct ledger *candidate; /* being written */
	uint64_t write_version; /* that the write expects */
	GPtrArray *in_doubt; /* struct ledger: writes of unknown outcome */
	uint64_t in_doubt_version; /* that they expected */
	bool must_read; /* before anything else is done */
	bool must_write; /* a read has left writes unsettled */
	cs_time due; /* when the planned change should be written */
	cs_time next_write; /* not before: the limit on writes */
	cs_time next_read; /* not before: delay after a failed read */
};

struct ledger_account *ledger_account_create(const char *name);
void ledger_account_destroy(struct ledger_account *a);

/*
 * Takes over a row of the platform if it is newer. Returns true if the
 * document changed. A malformed document makes the account unknown.
 */
bool ledger_account_update(struct part_ctx *ctx, struct ledger_account *a,
			   uint64_t version, GBytes *value);

/* Emits a read, or a write of candidate, whose ownership passes. */
void ledger_account_read(struct part_ctx *ctx, struct ledger_account *a,
			 uint64_t token);
void ledger_account_write(struct part_ctx *ctx, struct ledger_account *a,
			  struct ledger *candidate, uint64_t token);

/* Takes the answer to the call in flight. True if the document changed. */
bool ledger_account_handle_reply(struct part_ctx *ctx, struct ledger_account *a,
				 const struct kv_done *done);

/*
 * Calls fn for the document and for every write that may have taken effect,
 * so that a right is used only if all of them grant it.
 */
void ledger_account_for_each_state(const struct ledger_account *a,
				   void (*fn)(void *ctx,
					      const struct ledger *l),
				   void *ctx);

#endif
