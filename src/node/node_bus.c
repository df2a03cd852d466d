#include "node_bus.h"

#include "../base/mailbox.h"

/* Capacity of a mailbox. It limits only callers' requests. */
#define MAILBOX_MAX 4096

struct node_bus {
	struct mailbox *boxes[NODE_TASK_NR];
	struct log *log;
};

static void metrics_free(void *body)
{
	struct node_metrics *m = body;

	if (m->text)
		g_string_free(m->text, TRUE);
	g_free(m);
}

static void free_request(void *body)
{
	api_request_free(body);
}

static void free_store_call(void *body)
{
	store_call_free(body);
}

static void free_store_reply(void *body)
{
	store_reply_free(body);
}

static void free_order(void *body)
{
	order_free(body);
}

static void free_order_reply(void *body)
{
	order_reply_free(body);
}

static void free_submission(void *body)
{
	submission_free(body);
}

static void (*const free_body[NODE_MSG_NR])(void *) = {
	[NODE_REQUEST] = free_request,
	[NODE_REPLY] = g_free,
	[NODE_STORE_CALL] = free_store_call,
	[NODE_STORE_REPLY] = free_store_reply,
	[NODE_ORDER] = free_order,
	[NODE_ORDER_REPLY] = free_order_reply,
	[NODE_OWNER] = g_free,
	[NODE_SUBMISSION] = free_submission,
	[NODE_METRICS] = metrics_free,
};

void node_msg_free(struct node_msg *msg)
{
	if (msg->body && free_body[msg->type])
		free_body[msg->type](msg->body);
	g_free(msg);
}

static void free_item(void *item)
{
	node_msg_free(item);
}

struct node_bus *node_bus_create(struct log *log, struct cs_error *err)
{
	struct node_bus *bus = g_new0(struct node_bus, 1);
	int i;

	bus->log = log;
	for (i = 0; i < NODE_TASK_NR; i++) {
		bus->boxes[i] = mailbox_create(MAILBOX_MAX, free_item, err);
		if (!bus->boxes[i]) {
			node_bus_destroy(bus);
			return NULL;
		}
	}
	return bus;
}

void node_bus_destroy(struct node_bus *bus)
{
	int i;

	if (!bus)
		return;
	for (i = 0; i < NODE_TASK_NR; i++)
		mailbox_destroy(bus->boxes[i]);
	g_free(bus);
}

struct mailbox *node_bus_mailbox(struct node_bus *bus, enum node_task task)
{
	return bus->boxes[task];
}

struct log *node_bus_log(struct node_bus *bus)
{
	return bus->log;
}

int node_bus_post(struct node_bus *bus, enum node_task to,
		  enum node_msg_type type, void *body)
{
	struct node_msg *msg = g_new(struct node_msg, 1);

	msg->type = type;
	msg->body = body;
	if (type != NODE_REQUEST) {
		mailbox_post_unbounded(bus->boxes[to], msg);
		return CS_OK;
	}
	if (mailbox_post(bus->boxes[to], msg)) {
		g_free(msg);
		return CS_ERR_FULL;
	}
	return CS_OK;
}
