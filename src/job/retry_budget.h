#ifndef JOB_RETRY_BUDGET_H
#define JOB_RETRY_BUDGET_H

#include "../camphorshed.h"

/*
 * Retries as a share of first attempts, so that retries of a failing pool
 * can't multiply its load. One budget for each team and one for each pool.
 */
struct retry_budget {
	double tokens;
};

/* A budget with the tokens that a quiet team may begin with. */
void retry_budget_init(struct retry_budget *budget);

/* Counts a first attempt. */
void retry_budget_earn(struct retry_budget *budget);

/* True if both allow one more retry, which is then taken from both. */
bool retry_budget_spend(struct retry_budget *a, struct retry_budget *b);

#endif
