#ifndef POOL_PLANNER_H
#define POOL_PLANNER_H

#include "../entry/part.h"

/* Appends the present plan as JSON: each move or refusal with its reason. */
void planner_describe(const struct part_ctx *ctx, GString *out);

#endif
