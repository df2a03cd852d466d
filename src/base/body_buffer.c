#include "body_buffer.h"

#include <event2/buffer.h>

/* Smallest memory of a body that is not empty. */
#define SIZE_MIN 512

struct body_buffer {
	struct byte_account *account;
	char *data;
	size_t len;
	size_t size; /* allocated and charged */
	size_t expected; /* 0: not known */
};

struct body_buffer *body_buffer_create(struct byte_account *account)
{
	struct body_buffer *b = g_new0(struct body_buffer, 1);

	b->account = account;
	return b;
}

void body_buffer_destroy(struct body_buffer *b)
{
	if (!b)
		return;
	body_buffer_clear(b);
	g_free(b);
}

void body_buffer_expect(struct body_buffer *b, size_t len)
{
	b->expected = len;
}

/* The memory for len bytes: twice the present one, or the announced length. */
static size_t size_for(const struct body_buffer *b, size_t len)
{
	size_t size = MAX(b->size, SIZE_MIN);

	while (size < len)
		size *= 2;
	if (len <= b->expected)
		size = MIN(size, b->expected);
	return size;
}

size_t body_buffer_growth(const struct body_buffer *b, size_t n)
{
	return b->len + n <= b->size ? 0 : size_for(b, b->len + n) - b->size;
}

void body_buffer_append(struct body_buffer *b, struct evbuffer *in)
{
	size_t n = evbuffer_get_length(in);
	size_t growth = body_buffer_growth(b, n);

	if (growth) {
		byte_account_charge(b->account, growth);
		b->size += growth;
		b->data = g_realloc(b->data, b->size);
	}
	if (n)
		evbuffer_remove(in, b->data + b->len, n);
	b->len += n;
}

void body_buffer_clear(struct body_buffer *b)
{
	byte_account_release(b->account, b->size);
	g_free(b->data);
	b->data = NULL;
	b->len = 0;
	b->size = 0;
	b->expected = 0;
}

GBytes *body_buffer_take(struct body_buffer *b, size_t *charge)
{
	GBytes *bytes = g_bytes_new_take(b->data, b->len);

	*charge = b->size;
	b->data = NULL;
	b->len = 0;
	b->size = 0;
	b->expected = 0;
	return bytes;
}
