#ifndef LEDGER_H
#define LEDGER_H

#include <glib.h>

#include "../camphorshed.h"

/*
 * One ledger document: the permits of every team in one account. An account
 * is the reserve or a data centre. The fields may be read directly; they
 * change only through the functions below, which keep this invariant:
 *
 *   For each team, the balances of all accounts plus the transfers that were
 *   not received yet are equal to the limit credited in the reserve.
 *
 * Transfer ids rise with every transfer of a sender, and a receiver credits
 * the transfers of one sender in that order. It therefore stores one id for
 * each sender instead of a list of ids, and a reader with an old copy of the
 * sender's document can't credit a transfer twice.
 */
struct ledger {
	char account[CS_NAME_MAX];
	char change_id[48]; /* of the last write */
	uint64_t revision; /* of the fleet document with the limits; reserve */
	uint64_t sequence; /* id of the last transfer sent */
	uint64_t marks; /* number of the last mark set on a holder */
	GArray *teams; /* struct ledger_team, by name */
	GArray *holders; /* struct ledger_holder, by entry, incarnation */
	GArray *outgoing; /* struct ledger_transfer, by id */
	GArray *receipts; /* struct ledger_receipt, by sender */
};

/* Permits of a team outside all holders. Only the reserve's may be negative. */
struct ledger_team {
	char team[CS_NAME_MAX];
	int64_t limit; /* credited so far; reserve only */
	int64_t balance;
	int64_t expected_sum; /* of the team in this document; not encoded */
};

/* Permits of one team that an entry holds, and how many more it could use. */
struct ledger_holding {
	char team[CS_NAME_MAX];
	int64_t balance;
	int64_t wanted;
};

/* One incarnation of an entry, with the permits it holds. */
struct ledger_holder {
	char entry[CS_NAME_MAX];
	uint64_t incarnation;
	int64_t run_ms; /* no task it starts runs longer than this */
	uint64_t mark; /* not 0: presumed dead, see ledger_mark_dead() */
	GArray *holdings; /* struct ledger_holding, by team */
};

struct ledger_transfer {
	uint64_t id;
	char to[CS_NAME_MAX];
	char team[CS_NAME_MAX];
	int64_t amount;
};

/* All transfers of the sender up to last_id were received. */
struct ledger_receipt {
	char sender[CS_NAME_MAX];
	uint64_t last_id;
};

/* The limit of a team in the fleet document. */
struct ledger_limit {
	char team[CS_NAME_MAX];
	int64_t limit;
};

#define LEDGER_RESERVE "reserve"

/*
 * A document with a larger amount is malformed. Sums of such amounts are far
 * from overflowing 64 bits.
 */
#define LEDGER_AMOUNT_MAX INT64_C(1000000000)

/* Transfers not yet received; keeps a document well below one megabyte. */
#define LEDGER_OUTGOING_MAX 2048

struct ledger *ledger_create(const char *account);
struct ledger *ledger_copy(const struct ledger *l);
void ledger_destroy(struct ledger *l);

bool ledger_is_reserve(const struct ledger *l);

/*
 * The find functions return NULL if there is no such row; the add functions
 * then insert one with all amounts 0. A row may move in memory when another of
 * its kind is added or removed, so no pointer is kept across such a call.
 */
const struct ledger_team *ledger_find_team(const struct ledger *l,
					   const char *team);
struct ledger_team *ledger_add_team(struct ledger *l, const char *team);
const struct ledger_holder *ledger_find_holder(const struct ledger *l,
					       const char *entry,
					       uint64_t incarnation);
struct ledger_holder *ledger_add_holder(struct ledger *l, const char *entry,
					uint64_t incarnation);
const struct ledger_holding *ledger_find_holding(const struct ledger_holder *h,
						 const char *team);
struct ledger_holding *ledger_add_holding(struct ledger_holder *h,
					  const char *team);

/* Balance of a team outside all holders; 0 for an unknown team. */
int64_t ledger_balance(const struct ledger *l, const char *team);

/* Id of the last transfer received from a sender; 0 if there is none. */
uint64_t ledger_last_received(const struct ledger *l, const char *sender);

/* True if the document has a newer incarnation of the entry. */
bool ledger_is_superseded(const struct ledger *l, const char *entry,
			  uint64_t incarnation);

/*
 * Sets the limits of all teams; a team that is not listed gets 0. Returns
 * CS_ERR_STALE if the document already has that revision or a newer one.
 */
int ledger_set_limits(struct ledger *l, uint64_t revision,
		      const struct ledger_limit *limits, size_t nr);

/*
 * Move permits from the account's balance to a holder, and back. Return
 * CS_ERR_LIMIT, and change nothing, if the source has fewer than amount.
 */
int ledger_assign(struct ledger *l, struct ledger_holder *h, const char *team,
		  int64_t amount);
int ledger_unassign(struct ledger *l, struct ledger_holder *h, const char *team,
		    int64_t amount);

/* Records how many more permits of the team the holder could use. */
void ledger_set_wanted(struct ledger_holder *h, const char *team,
		       int64_t amount);

/*
 * Moves permits from the account's balance to a new transfer. CS_ERR_LIMIT if
 * the balance is smaller, CS_ERR_FULL at LEDGER_OUTGOING_MAX transfers.
 */
int ledger_send(struct ledger *l, const char *team, const char *to,
		int64_t amount);

/* Credits the transfers of sender to l. Returns the number of permits. */
int64_t ledger_receive(struct ledger *l, const struct ledger *sender);

/* Removes the transfers that receiver has credited. Returns how many. */
size_t ledger_remove_received(struct ledger *l, const struct ledger *receiver);

/*
 * Marks the holder as presumed dead. A holder that is alive removes the mark
 * with its next write and starts nothing before. Each mark has its own
 * number, so that a mark that was removed and set again can be told from the
 * first one.
 */
void ledger_mark_dead(struct ledger *l, struct ledger_holder *h);
void ledger_clear_mark(struct ledger_holder *h);

/*
 * Removes the holder and returns its permits to the account's balance.
 * CS_ERR_MISSING if there is no such holder.
 */
int ledger_reclaim(struct ledger *l, const char *entry, uint64_t incarnation);

/*
 * True if the permits of every team add up to its expected sum, and no balance
 * is negative outside the reserve.
 */
bool ledger_is_balanced(const struct ledger *l);

/* Sets the expected sums from the rows, after a decoder has filled them in. */
void ledger_init_expected(struct ledger *l);

#endif
