#ifndef LEDGER_H
#define LEDGER_H

#include <glib.h>

#include "../camphorshed.h"

/*
 * One ledger document: the permits of every team in one account. An account
 * is the reserve or a data centre. The fields may be read freely; they change
 * only through the functions below, which keep this rule:
 *
 *   For each team, the balances of all accounts plus the transfers that were
 *   not received yet are equal to the limit credited in the reserve.
 *
 * A transfer has a number that rises with every transfer of its giver, and a
 * receiver takes the transfers of one giver in that order. It therefore
 * remembers one number for each giver instead of a list of ids, and a reader
 * with an old copy of the giver's document can't credit a transfer twice.
 */
struct ledger {
	char account[CS_NAME_MAX];
	char change_id[48]; /* of the last write */
	uint64_t revision; /* fleet document the limits come from; reserve */
	uint64_t sequence; /* number of the last transfer sent */
	uint64_t marks; /* number of the last mark set on a holder */
	GArray *teams; /* struct ledger_team, by name */
	GArray *holders; /* struct ledger_holder, by entry, incarnation */
	GArray *outgoing; /* struct ledger_transfer, by id */
	GArray *receipts; /* struct ledger_receipt, by giver */
};

/* What no entry holds. Only the reserve's balance may be negative. */
struct ledger_team {
	char team[CS_NAME_MAX];
	int64_t limit; /* credited so far; reserve only */
	int64_t balance;
	int64_t expected_sum; /* sum of the team in this document; not encoded
			       */
};

/* What an entry holds of one team, and how much more it could use. */
struct ledger_share {
	char team[CS_NAME_MAX];
	int64_t balance;
	int64_t wanted;
};

/* One incarnation of an entry. */
struct ledger_holder {
	char entry[CS_NAME_MAX];
	uint64_t incarnation;
	int64_t run_ms; /* no task it starts runs longer than this */
	uint64_t mark; /* not 0: others hold it for dead, see ledger_mark_dead()
			*/
	GArray *shares; /* struct ledger_share, by team */
};

struct ledger_transfer {
	uint64_t id;
	char to[CS_NAME_MAX];
	char team[CS_NAME_MAX];
	int64_t amount;
};

/* All transfers of the giver up to that number were received. */
struct ledger_receipt {
	char sender[CS_NAME_MAX];
	uint64_t last_id;
};

/* A limit as the fleet document has it. */
struct ledger_limit {
	char team[CS_NAME_MAX];
	int64_t limit;
};

#define LEDGER_RESERVE "reserve"

/* Larger figures are taken for damage; sums of them fit 64 bits by far. */
#define LEDGER_AMOUNT_MAX INT64_C(1000000000)

/* Transfers on the way at once; keeps a document well below one megabyte. */
#define LEDGER_OUTGOING_MAX 2048

struct ledger *ledger_create(const char *account);
struct ledger *ledger_copy(const struct ledger *l);
void ledger_destroy(struct ledger *l);

bool ledger_is_reserve(const struct ledger *l);

/* Look-ups; the makers add a zeroed row if there is none. */
const struct ledger_team *ledger_find_team(const struct ledger *l,
					   const char *team);
struct ledger_team *ledger_add_team(struct ledger *l, const char *team);
const struct ledger_holder *ledger_find_holder(const struct ledger *l,
					       const char *entry,
					       uint64_t incarnation);
struct ledger_holder *ledger_add_holder(struct ledger *l, const char *entry,
					uint64_t incarnation);
const struct ledger_share *ledger_find_share(const struct ledger_holder *h,
					     const char *team);
struct ledger_share *ledger_add_share(struct ledger_holder *h,
				      const char *team);

/* Balance of a team outside all holders; 0 for an unknown team. */
int64_t ledger_balance(const struct ledger *l, const char *team);

/* Last transfer of that giver that was received; 0: none. */
uint64_t ledger_last_received(const struct ledger *l, const char *sender);

/* True if the document has a newer incarnation of the entry. */
bool ledger_is_superseded(const struct ledger *l, const char *entry,
			  uint64_t incarnation);

/*
 * Sets the limits of all teams; a team that is not named gets 0. Returns
 * CS_ERR_STALE if the document already has that revision or a newer one.
 */
int ledger_set_limits(struct ledger *l, uint64_t revision,
		      const struct ledger_limit *limits, size_t nr);

/*
 * Moves n permits between the account's balance and a holder. Return
 * CS_ERR_LIMIT, and change nothing, if the source has fewer than n.
 */
int ledger_assign(struct ledger *l, struct ledger_holder *h, const char *team,
		  int64_t amount);
int ledger_unassign(struct ledger *l, struct ledger_holder *h, const char *team,
		    int64_t amount);

/* Says how many more permits of the team the holder could use. */
void ledger_set_wanted(struct ledger_holder *h, const char *team,
		       int64_t amount);

/*
 * Takes n permits from the account's balance and records them as a transfer.
 * CS_ERR_LIMIT if there are fewer, CS_ERR_FULL if too many are on the way.
 */
int ledger_send(struct ledger *l, const char *team, const char *to,
		int64_t amount);

/* Credits what giver has sent here. Returns the number of permits. */
int64_t ledger_receive(struct ledger *l, const struct ledger *sender);

/* Removes transfers that receiver has credited. Returns how many. */
size_t ledger_remove_received(struct ledger *l, const struct ledger *receiver);

/*
 * Announces that the holder is taken for dead. The holder, if it lives,
 * removes the mark with its next write; until then it starts nothing. Each
 * mark has its own number, so that a mark that was removed and set again is
 * not taken for the first one.
 */
void ledger_mark_dead(struct ledger *l, struct ledger_holder *h);
void ledger_clear_mark(struct ledger_holder *h);

/* Removes the holder; all it held returns to the account's balance. */
int ledger_reclaim(struct ledger *l, const char *entry, uint64_t incarnation);

/* True if every team has the sum that the recorded steps lead to. */
bool ledger_is_balanced(const struct ledger *l);

/* Fixes the expected sums after the rows were filled in by a decoder. */
void ledger_init_expected(struct ledger *l);

#endif
