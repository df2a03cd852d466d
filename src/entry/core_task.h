#ifndef ENTRY_CORE_TASK_H
#define ENTRY_CORE_TASK_H

#include "bus.h"

/* The task that runs the decision core. Owns no socket. */
struct core_task;

/*
 * Creates the core and starts its thread. Returns NULL, with err filled, on
 * failure. options is copied; bus must outlive the task.
 */
struct core_task *core_task_create(const struct entry_options *options,
				   struct bus *bus, struct cs_error *err);
void core_task_destroy(struct core_task *core);

/*
 * Returns a descriptor that becomes readable when a drain has finished, that
 * is, no work is in flight. The task owns it.
 */
int core_task_drained_fd(const struct core_task *core);

#endif
