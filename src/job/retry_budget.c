#include "retry_budget.h"

/* At most one retry for ten first attempts in the long run. */
#define TOKENS_PER_ATTEMPT 0.1

/* Lets a team with few requests still retry three of them in a row. */
#define TOKENS_INITIAL 3.0

/* Limits a burst of retries after a long time without any. */
#define TOKENS_MAX 10.0

void retry_budget_init(struct retry_budget *b)
{
	b->tokens = TOKENS_INITIAL;
}

void retry_budget_deposit(struct retry_budget *b)
{
	b->tokens += TOKENS_PER_ATTEMPT;
	if (b->tokens > TOKENS_MAX)
		b->tokens = TOKENS_MAX;
}

bool retry_budget_withdraw(struct retry_budget *a, struct retry_budget *b)
{
	if (a->tokens < 1 || b->tokens < 1)
		return false;
	a->tokens -= 1;
	b->tokens -= 1;
	return true;
}
