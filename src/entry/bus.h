#ifndef ENTRY_BUS_H
#define ENTRY_BUS_H

#include "../base/log.h"
#include "../base/mailbox.h"
#include "message.h"

/*
 * The mailboxes of all tasks of a process, and the table that says which task
 * takes which message. Mailboxes exist before their tasks, so that a message
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

/* log takes the events and spans of the core; it must outlive the bus. */
struct bus *bus_create(struct log *log, struct cs_error *err);
void bus_destroy(struct bus *bus);

/* The mailbox of a task, for task_create(). It belongs to the bus. */
struct mailbox *bus_mailbox(struct bus *bus, enum bus_task task);

/*
 * Moves msg to the task that takes its type, from any thread. Returns CS_OK,
 * or CS_ERR_FULL with msg left to the caller. Only what begins new work can
 * be refused: MSG_SUBMIT, MSG_JOB_QUERY, MSG_JOB_CANCEL, MSG_ADMIN_CALL.
 * from tells a peer message that goes out from one that came in.
 */
int bus_post(struct bus *bus, enum bus_task from, struct msg *msg);

/* Asks one task for its counters; the answer is MSG_METRICS_REPLY. */
void bus_request_metrics(struct bus *bus, enum bus_task task, cs_handle caller);

/* "core", "front", ... for logs. */
const char *bus_task_name(enum bus_task task);

struct log *bus_log(struct bus *bus);

#endif
