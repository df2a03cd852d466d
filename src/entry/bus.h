#ifndef ENTRY_BUS_H
#define ENTRY_BUS_H

#include "../base/log.h"
#include "../base/mailbox.h"
#include "message.h"

/*
 * The mailboxes of all tasks of a process, and the routing table from message
 * types to tasks. Mailboxes exist before their tasks, so a message that is
 * posted early waits until its task has started.
 */
struct bus;

enum bus_task {
	BUS_CORE,
	BUS_FRONT,
	BUS_ADMIN,
	BUS_WORKER,
	BUS_PLATFORM,
	BUS_PEER,
	BUS_TASK_NR
};

/* Events and spans are written to log, which must outlive the bus. */
struct bus *bus_create(struct log *log, struct cs_error *err);
void bus_destroy(struct bus *bus);

/* Returns the mailbox of a task, for task_create(). The bus owns it. */
struct mailbox *bus_mailbox(struct bus *bus, enum bus_task task);

/*
 * Posts msg to the task that takes its type, from any thread. Returns CS_OK
 * and takes ownership of msg, or CS_ERR_FULL and leaves msg to the caller.
 * Only messages that begin new work can be refused: MSG_SUBMIT, MSG_JOB_QUERY,
 * MSG_JOB_CANCEL, MSG_ADMIN_CALL. from, the posting task, distinguishes a peer
 * message to be sent from one that was received.
 */
int bus_post(struct bus *bus, enum bus_task from, struct msg *msg);

/* Requests the counters of one task, which replies with MSG_METRICS_REPLY. */
void bus_request_metrics(struct bus *bus, enum bus_task task, cs_handle caller);

/* "core", "front", ... for logs. */
const char *bus_task_name(enum bus_task task);

struct log *bus_log(struct bus *bus);

#endif
