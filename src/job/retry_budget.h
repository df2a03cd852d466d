#ifndef JOB_RETRY_BUDGET_H
#define JOB_RETRY_BUDGET_H

#include "../camphorshed.h"

/*
 * Limits retries to a share of the first attempts, so that they can't multiply
 * the load of a failing pool. Each team and each pool has its own budget.
 */
struct retry_budget {
	double tokens;
};

/* Sets the initial tokens. */
void retry_budget_init(struct retry_budget *budget);

/* Adds a part of a token for a first attempt. */
void retry_budget_deposit(struct retry_budget *budget);

/*
 * Takes one token from both budgets for a retry. Returns false and takes none
 * if either has less than one.
 */
bool retry_budget_withdraw(struct retry_budget *a, struct retry_budget *b);

#endif
