#ifndef BASE_MAILBOX_H
#define BASE_MAILBOX_H

#include "../camphorshed.h"

/*
 * A bounded queue of messages from many threads to one, with a file
 * descriptor that is readable while the queue holds messages.
 */
struct mailbox;

typedef void (*mailbox_free_fn)(void *item);

/*
 * capacity is in messages. free_item releases those left at destruction. NULL
 * with err filled on failure.
 */
struct mailbox *mailbox_create(size_t capacity, mailbox_free_fn free_item,
			       struct cs_error *err);
void mailbox_destroy(struct mailbox *mailbox);

/*
 * Appends item to the queue, from any thread. Returns CS_OK, or CS_ERR_FULL if
 * the queue already holds capacity items; the caller then keeps item.
 */
int mailbox_post(struct mailbox *mailbox, void *item);

/*
 * The same without the limit, for replies to requests that were admitted: the
 * admitted requests bound their number, and a lost reply would lose a request.
 */
void mailbox_post_unbounded(struct mailbox *mailbox, void *item);

/* Makes the descriptor readable without an item. */
void mailbox_wake(struct mailbox *mailbox);

/*
 * Moves up to max items to out, oldest first, in the owner's thread. Returns
 * their number. The descriptor is no longer readable once the queue is empty.
 */
size_t mailbox_take(struct mailbox *mailbox, void **out, size_t max);

/* The descriptor to poll for reading. It belongs to the mailbox. */
int mailbox_fd(const struct mailbox *mailbox);

#endif
