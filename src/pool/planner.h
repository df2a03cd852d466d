#ifndef POOL_PLANNER_H
#define POOL_PLANNER_H

#include "../entry/part.h"

/* Appends the last plan as JSON: each step or refusal with its reason. */
void planner_describe(const struct part_ctx *ctx, GString *out);

#endif
