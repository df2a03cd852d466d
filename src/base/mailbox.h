#ifndef BASE_MAILBOX_H
#define BASE_MAILBOX_H

#include "../camphorshed.h"

/*
 * A bounded queue of messages from many threads to one, with a file
 * descriptor that is readable while it holds messages.
 */
struct mailbox;

typedef void (*mailbox_free_fn)(void *item);

/* capacity is in messages. free_item releases what is left at destroy. */
struct mailbox *mailbox_create(size_t capacity, mailbox_free_fn free_item,
			       struct cs_error *err);
void mailbox_destroy(struct mailbox *mailbox);

/*
 * Moves item into the queue, from any thread. Returns CS_OK, or CS_ERR_FULL
 * with the item left to the caller when capacity items wait already.
 */
int mailbox_post(struct mailbox *mailbox, void *item);

/*
 * The same without the limit, for answers to what was admitted before: their
 * number is bounded by the admitted work, and losing one would lose a request.
 */
void mailbox_post_answer(struct mailbox *mailbox, void *item);

/* Makes the descriptor readable though no item is posted. */
void mailbox_wake(struct mailbox *mailbox);

/*
 * Moves up to max items to out, oldest first, in the owner's thread. Returns
 * how many. Clears the descriptor when the queue becomes empty.
 */
size_t mailbox_take(struct mailbox *mailbox, void **out, size_t max);

/* The descriptor to watch for reading. It belongs to the mailbox. */
int mailbox_fd(const struct mailbox *mailbox);

#endif
