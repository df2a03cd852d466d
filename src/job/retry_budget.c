#include "retry_budget.h"

/* Retries per first attempt. */
#define EARN 0.1

/* A quiet team may still retry a few requests in a row. */
#define TOKENS_FIRST 3.0

/* Saved tokens are bounded, so that a quiet hour can't pay for a storm. */
#define TOKENS_MAX 10.0

void retry_budget_init(struct retry_budget *b)
{
	b->tokens = TOKENS_FIRST;
}

void retry_budget_earn(struct retry_budget *b)
{
	b->tokens += EARN;
	if (b->tokens > TOKENS_MAX)
		b->tokens = TOKENS_MAX;
}

bool retry_budget_spend(struct retry_budget *a, struct retry_budget *b)
{
	if (a->tokens < 1 || b->tokens < 1)
		return false;
	a->tokens -= 1;
	b->tokens -= 1;
	return true;
}
