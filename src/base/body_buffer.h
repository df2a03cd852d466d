#ifndef BASE_BODY_BUFFER_H
#define BASE_BODY_BUFFER_H

#include <glib.h>

#include "byte_budget.h"

struct evbuffer;

/*
 * The body of a message that is being received, in one piece of memory, so that
 * a body in many small chunks takes no more than its bytes. Its memory is
 * charged to an account.
 */
struct body_buffer;

/* The account must outlive the buffer. */
struct body_buffer *body_buffer_create(struct byte_account *account);
void body_buffer_destroy(struct body_buffer *body);

/*
 * Sets the length that the head announces: no memory beyond it is taken before
 * more than that has come. 0: not known.
 */
void body_buffer_expect(struct body_buffer *body, size_t len);

/* Bytes by which the memory grows when n more are appended. */
size_t body_buffer_growth(const struct body_buffer *body, size_t n);

/* Moves all bytes of the evbuffer to the end of the body. */
void body_buffer_append(struct body_buffer *body, struct evbuffer *in);

/* Frees the memory and takes it off the account. */
void body_buffer_clear(struct body_buffer *body);

/*
 * Returns the body and empties the buffer. The memory stays charged, as the
 * receiver holds it; the size of the charge is stored in *charge.
 */
GBytes *body_buffer_take(struct body_buffer *body, size_t *charge);

#endif
