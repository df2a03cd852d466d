#ifndef BASE_BYTE_BUDGET_H
#define BASE_BYTE_BUDGET_H

#include "../camphorshed.h"

/*
 * Bounds the memory that the callers of one server make it hold. Each caller
 * has an account, which is charged where memory is taken. The budget decides
 * who stops reading and whom to end; its owner carries that out. No clock, no
 * sockets.
 */
struct byte_budget;
struct byte_account;

/*
 * The size of a budget: configured unless that is 0, else a share of the memory
 * of the machine that leaves the rest to the process's own state and to
 * connections; always room for a few of the largest requests.
 */
size_t byte_budget_size(size_t configured, size_t memory, size_t request_max);

struct byte_budget *byte_budget_create(size_t max);

/* All accounts must have been destroyed. */
void byte_budget_destroy(struct byte_budget *budget);

/* Bytes charged to all accounts. */
size_t byte_budget_used(const struct byte_budget *budget);

/* True if another n bytes fit. */
bool byte_budget_has_room(const struct byte_budget *budget, size_t n);

/*
 * Bytes that may be read before reading stops for the callers that hold more
 * than their share; 0 if it has stopped.
 */
size_t byte_budget_readable(const struct byte_budget *budget);

struct byte_account *byte_account_create(struct byte_budget *budget);

/* Releases all that is charged. Accepts NULL. */
void byte_account_destroy(struct byte_account *account);

/* Charges n bytes, also beyond the budget: they are already in memory. */
void byte_account_charge(struct byte_account *account, size_t n);
void byte_account_release(struct byte_account *account, size_t n);
size_t byte_account_bytes(const struct byte_account *account);

/*
 * True if nothing more is to be read for this account for now: the budget is
 * nearly used up, and the account holds more than a caller with a small
 * request.
 */
bool byte_account_must_wait(const struct byte_account *account);

/*
 * True if a caller with the first account is ended before one with the other:
 * the larger holder, or of equal ones that whose message began earlier.
 */
bool byte_account_ends_first(const struct byte_account *account, cs_time since,
			     const struct byte_account *other,
			     cs_time other_since);

#endif
