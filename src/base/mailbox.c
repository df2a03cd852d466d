#include "mailbox.h"

#include <errno.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include "error.h"

struct mailbox {
	pthread_mutex_t lock;
	void **ring;
	size_t limit; /* of mailbox_post() */
	size_t alloc, head, nr; /* of ring */
	int fd;
	mailbox_free_fn free_item;
};

struct mailbox *mailbox_create(size_t capacity, mailbox_free_fn free_item,
			       struct cs_error *err)
{
	struct mailbox *m = calloc(1, sizeof(*m));

	if (!m)
		goto nomem;
	m->ring = calloc(capacity, sizeof(*m->ring));
	if (!m->ring)
		goto nomem;
	m->limit = m->alloc = capacity;
	m->free_item = free_item;
	m->fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (m->fd < 0) {
		cs_error_set(err, CS_ERR_IO, "mailbox_create", NULL,
			     "eventfd: %s", strerror(errno));
		goto fail;
	}
	pthread_mutex_init(&m->lock, NULL);
	return m;
nomem:
	cs_error_set(err, CS_ERR_NOMEM, "mailbox_create", NULL,
		     "out of memory");
fail:
	if (m)
		free(m->ring);
	free(m);
	return NULL;
}

void mailbox_destroy(struct mailbox *m)
{
	size_t i;

	if (!m)
		return;
	for (i = 0; i < m->nr; i++)
		m->free_item(m->ring[(m->head + i) % m->alloc]);
	close(m->fd);
	pthread_mutex_destroy(&m->lock);
	free(m->ring);
	free(m);
}

/* Adds 1 to the eventfd, whose counter never gets near its maximum. */
static void signal_fd(int fd)
{
	uint64_t one = 1;
	ssize_t n;

	do {
		n = write(fd, &one, sizeof(one));
	} while (n < 0 && errno == EINTR);
}

/* Resets the eventfd to 0. If it is 0 already, read() fails with EAGAIN. */
static void clear_fd(int fd)
{
	uint64_t count;
	ssize_t n;

	do {
		n = read(fd, &count, sizeof(count));
	} while (n < 0 && errno == EINTR);
}

/* Doubles the ring. The lock is held. */
static void grow(struct mailbox *m)
{
	size_t alloc = 2 * m->alloc;
	void **ring = calloc(alloc, sizeof(*ring));
	size_t i;

	if (!ring)
		abort(); /* as GLib does when out of memory */
	for (i = 0; i < m->nr; i++)
		ring[i] = m->ring[(m->head + i) % m->alloc];
	free(m->ring);
	m->ring = ring;
	m->alloc = alloc;
	m->head = 0;
}

/* Appends item; signals the owner if the ring was empty. The lock is held. */
static void append(struct mailbox *m, void *item)
{
	if (m->nr == m->alloc)
		grow(m);
	m->ring[(m->head + m->nr) % m->alloc] = item;
	if (!m->nr++)
		signal_fd(m->fd);
}

int mailbox_post(struct mailbox *m, void *item)
{
	int code = CS_OK;

	pthread_mutex_lock(&m->lock);
	if (m->nr >= m->limit)
		code = CS_ERR_FULL;
	else
		append(m, item);
	pthread_mutex_unlock(&m->lock);
	return code;
}

void mailbox_post_unbounded(struct mailbox *m, void *item)
{
	pthread_mutex_lock(&m->lock);
	append(m, item);
	pthread_mutex_unlock(&m->lock);
}

void mailbox_wake(struct mailbox *m)
{
	signal_fd(m->fd);
}

size_t mailbox_take(struct mailbox *m, void **out, size_t max)
{
	size_t n = 0;

	pthread_mutex_lock(&m->lock);
	while (n < max && m->nr) {
		out[n++] = m->ring[m->head];
		m->head = (m->head + 1) % m->alloc;
		m->nr--;
	}
	if (!m->nr)
		clear_fd(m->fd);
	pthread_mutex_unlock(&m->lock);
	return n;
}

int mailbox_fd(const struct mailbox *m)
{
	return m->fd;
}
