#ifndef BASE_TASK_H
#define BASE_TASK_H

#include "../camphorshed.h"

struct event_base;
struct mailbox;
struct task;

/*
 * The callbacks of a task, a thread with its own event base and mailbox. They
 * all run in the task's thread.
 */
struct task_ops {
	const char *name;
	/* Opens sockets and adds events. On failure, task_create() fails. */
	int (*start)(void *state, struct task *task, struct cs_error *err);
	/* Handles one message, which it takes over. */
	void (*on_msg)(void *state, struct task *task, void *msg);
	/* Closes sockets and removes events. Called if start succeeded. */
	void (*stop)(void *state, struct task *task);
	/*
	 * Its timers may fire up to 10 ms late, as they only end calls that
	 * take too long. Precise ones cost a system call in each turn of the
	 * event loop.
	 */
	bool has_coarse_timers;
	/*
	 * Merges the changes of events between two turns of the event loop,
	 * without which each HTTP call makes six calls of epoll_ctl(). For
	 * tasks with many HTTP calls only, see task.c.
	 */
	bool uses_changelist;
};

/*
 * Starts the thread and waits until start() has returned. mailbox and state
 * still belong to the caller and must outlive the task. Returns NULL with err
 * filled in on failure.
 */
struct task *task_create(const struct task_ops *ops, void *state,
			 struct mailbox *mailbox, struct cs_error *err);

/* Stops the task, waits for its thread and releases it. Accepts NULL. */
void task_destroy(struct task *task);

/* The task's event base, for use in its own thread. */
struct event_base *task_event_base(struct task *task);

/* The current time of CLOCK_BOOTTIME. */
cs_time task_now(void);

#endif
