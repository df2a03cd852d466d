#ifndef NODE_NODE_BUS_H
#define NODE_NODE_BUS_H

#include "../base/log.h"
#include "node.h"

/*
 * The mailboxes of an entry's tasks, and the messages between them. A message
 * is a type and a body, which belongs to the receiver.
 */
enum node_task {
	NODE_CORE, /* decisions: struct node_core */
	NODE_FRONT, /* HTTP server for callers */
	NODE_STORE, /* client of the store */
	NODE_FLEET, /* client of servers, host service and advisor */
	NODE_TASK_NR
};

enum node_msg_type {
	NODE_REQUEST, /* struct api_request, to the core */
	NODE_REPLY, /* struct api_reply, to the front */
	NODE_STORE_CALL, /* struct store_call, to the store client */
	NODE_STORE_REPLY, /* struct store_reply, to the core */
	NODE_ORDER, /* struct order, to the fleet client */
	NODE_ORDER_REPLY, /* struct order_reply, to the core */
	NODE_OWNER, /* struct relay_contact, to the fleet client */
	NODE_SUBMISSION, /* struct submission, to the owner's core */
	NODE_DRAIN, /* no body, to the core, front and fleet client */
	NODE_METRICS, /* struct node_metrics, to the core and back */
	NODE_MSG_NR
};

struct node_metrics {
	uint64_t exchange;
	GString *text;
};

struct node_msg {
	enum node_msg_type type;
	void *body;
};

struct node_bus;

/* Returns NULL, with err set, on failure. log must outlive the bus. */
struct node_bus *node_bus_create(struct log *log, struct cs_error *err);
/* Frees the messages that still wait, too. */
void node_bus_destroy(struct node_bus *bus);
struct mailbox;
struct mailbox *node_bus_mailbox(struct node_bus *bus, enum node_task task);
struct log *node_bus_log(struct node_bus *bus);

/*
 * Sends a message. Only a caller's request can fail, with CS_ERR_FULL when too
 * many messages wait for the core; the body then still belongs to the sender.
 */
int node_bus_post(struct node_bus *bus, enum node_task to,
		  enum node_msg_type type, void *body);

/* Releases a message and its body, which may be NULL. */
void node_msg_free(struct node_msg *msg);

#endif
