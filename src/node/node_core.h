#ifndef NODE_NODE_CORE_H
#define NODE_NODE_CORE_H

#include "node_bus.h"

/*
 * The task that owns the decision core of an entry, struct node. It passes
 * messages and the time to the node, and sends the node's output as messages.
 */
struct node_core;

/*
 * Starts the task. Returns NULL, with err set, on failure. formats and bus must
 * outlive the core.
 */
struct node_core *node_core_create(const struct node_options *options,
				   const struct node_formats *formats,
				   struct node_bus *bus, struct cs_error *err);
void node_core_destroy(struct node_core *core);

/* Readable once the core has drained. It belongs to the core. */
int node_core_drained_fd(const struct node_core *core);

#endif
