#ifndef BASE_TASK_H
#define BASE_TASK_H

#include "../camphorshed.h"

struct event_base;
struct mailbox;
struct task;

/*
 * What a task does. A task is a thread with its own event base and mailbox.
 * Every function but create and destroy runs in the task's thread.
 */
struct task_ops {
	const char *name;
	/* Opens sockets and adds events; a failure ends the task's start. */
	int (*start)(void *state, struct task *task, struct cs_error *err);
	/* Takes one message; the task owns it now. */
	void (*on_msg)(void *state, struct task *task, void *msg);
	/* Closes sockets and removes events. Called once, if start passed. */
	void (*stop)(void *state, struct task *task);
};

/*
 * Starts the thread and waits until its start() has returned. Messages come
 * from mailbox, which stays the caller's, as does state; both must outlive
 * the task. NULL and err on failure.
 */
struct task *task_create(const struct task_ops *ops, void *state,
			 struct mailbox *mailbox, struct cs_error *err);

/* Asks the task to end, waits for its thread and releases it. NULL is fine. */
void task_destroy(struct task *task);

/* For the task's own thread: its event base. */
struct event_base *task_base(struct task *task);

/* The present time of CLOCK_BOOTTIME. */
cs_time task_now(void);

#endif
