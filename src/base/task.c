#include "task.h"

#include <event2/event.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <time.h>

#include "error.h"
#include "mailbox.h"

/*
 * Maximum messages handled at one wake-up. The limit lets the task serve its
 * sockets and timers in between under load.
 */
#define BATCH_MAX 256

struct task {
	const struct task_ops *ops;
	void *state;
	struct mailbox *mailbox;
	struct event_base *base;
	struct event *wake;
	pthread_t thread;
	pthread_mutex_t lock;
	pthread_cond_t started;
	bool is_started;
	int start_code;
	struct cs_error start_err;
	atomic_bool stopping;
};

cs_time task_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_BOOTTIME, &ts);
	return (cs_time)ts.tv_sec * CS_SEC + ts.tv_nsec / 1000;
}

/*
 * Handles at most BATCH_MAX messages. mailbox_take() leaves the eventfd
 * readable while more wait, so libevent calls this again.
 */
static void on_wake(evutil_socket_t fd, short events, void *arg)
{
	struct task *t = arg;
	void *batch[BATCH_MAX];
	size_t i, n;

	(void)fd;
	(void)events;
	n = mailbox_take(t->mailbox, batch, BATCH_MAX);
	for (i = 0; i < n; i++)
		t->ops->on_msg(t->state, t, batch[i]);
	if (atomic_load(&t->stopping))
		event_base_loopbreak(t->base);
}

/* The thread of the task. task_create() waits until start() has returned. */
static void *run(void *arg)
{
	struct task *t = arg;
	int code;

	code = t->ops->start(t->state, t, &t->start_err);
	pthread_mutex_lock(&t->lock);
	t->start_code = code;
	t->is_started = true;
	pthread_cond_signal(&t->started);
	pthread_mutex_unlock(&t->lock);
	if (code)
		return NULL;
	while (!atomic_load(&t->stopping))
		if (event_base_loop(t->base, EVLOOP_NO_EXIT_ON_EMPTY) < 0)
			break;
	t->ops->stop(t->state, t);
	return NULL;
}

/* Releases a task whose thread is not running. */
static void release(struct task *t)
{
	if (t->wake)
		event_free(t->wake);
	if (t->base)
		event_base_free(t->base);
	pthread_cond_destroy(&t->started);
	pthread_mutex_destroy(&t->lock);
	free(t);
}

/*
 * With the changelist, libevent removes a closed descriptor from its epoll set
 * late. If another thread has opened one with the same number by then, this
 * fails without an effect, as that one is not in the set. The thread sanitizer
 * reports it as a race, so builds with it have no changelist.
 */
#ifdef __SANITIZE_THREAD__
#define CHANGELIST_FLAG 0
#else
#define CHANGELIST_FLAG EVENT_BASE_FLAG_EPOLL_USE_CHANGELIST
#endif

/*
 * By default libevent rounds timers to milliseconds of a coarse clock, which
 * added 5 ms to work that takes 5 ms.
 */
static struct event_base *new_base(const struct task_ops *ops)
{
	int flags =
		(ops->has_coarse_timers ? 0 : EVENT_BASE_FLAG_PRECISE_TIMER) |
		(ops->uses_changelist ? CHANGELIST_FLAG : 0);
	struct event_config *config = event_config_new();
	struct event_base *base = NULL;

	if (!config)
		return NULL;
	if (!event_config_set_flag(config, flags))
		base = event_base_new_with_config(config);
	event_config_free(config);
	return base;
}

struct task *task_create(const struct task_ops *ops, void *state,
			 struct mailbox *mailbox, struct cs_error *err)
{
	struct task *t = calloc(1, sizeof(*t));

	if (!t) {
		cs_error_set(err, CS_ERR_NOMEM, ops->name, NULL,
			     "out of memory");
		return NULL;
	}
	t->ops = ops;
	t->state = state;
	pthread_mutex_init(&t->lock, NULL);
	pthread_cond_init(&t->started, NULL);
	t->mailbox = mailbox;
	t->base = new_base(ops);
	if (t->base)
		t->wake = event_new(t->base, mailbox_fd(t->mailbox),
				    EV_READ | EV_PERSIST, on_wake, t);
	if (!t->wake || event_add(t->wake, NULL)) {
		cs_error_set(err, CS_ERR_IO, ops->name, NULL,
			     "cannot create an event base");
		goto fail;
	}
	if (pthread_create(&t->thread, NULL, run, t)) {
		cs_error_set(err, CS_ERR_IO, ops->name, NULL,
			     "cannot create a thread");
		goto fail;
	}
	pthread_mutex_lock(&t->lock);
	while (!t->is_started)
		pthread_cond_wait(&t->started, &t->lock);
	pthread_mutex_unlock(&t->lock);
	if (t->start_code) {
		pthread_join(t->thread, NULL);
		if (err)
			*err = t->start_err;
		goto fail;
	}
	return t;
fail:
	release(t);
	return NULL;
}

void task_destroy(struct task *t)
{
	if (!t)
		return;
	atomic_store(&t->stopping, true);
	mailbox_wake(t->mailbox);
	pthread_join(t->thread, NULL);
	release(t);
}

struct event_base *task_event_base(struct task *t)
{
	return t->base;
}
