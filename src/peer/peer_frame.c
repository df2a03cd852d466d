#include "peer_frame.h"

bool peer_frame_peek(struct evbuffer *in, size_t max, const uint8_t **data,
		     size_t *len, int *code)
{
	uint8_t head[PEER_FRAME_HEADER_LEN];
	const uint8_t *all;

	*code = CS_OK;
	if (evbuffer_copyout(in, head, sizeof(head)) < PEER_FRAME_HEADER_LEN)
		return false;
	*len = (size_t)head[0] << 24 | (size_t)head[1] << 16 |
	       (size_t)head[2] << 8 | head[3];
	if (*len > max) {
		*code = CS_ERR_TOO_LARGE;
		return false;
	}
	if (evbuffer_get_length(in) < PEER_FRAME_HEADER_LEN + *len)
		return false;
	all = evbuffer_pullup(in, (ev_ssize_t)(PEER_FRAME_HEADER_LEN + *len));
	if (!all) {
		*code = CS_ERR_NOMEM;
		return false;
	}
	*data = all + PEER_FRAME_HEADER_LEN;
	return true;
}

void peer_frame_consume(struct evbuffer *in, size_t len)
{
	evbuffer_drain(in, PEER_FRAME_HEADER_LEN + len);
}

static void release(const void *data, size_t len, void *content)
{
	(void)data;
	(void)len;
	g_bytes_unref(content);
}

int peer_frame_add(struct evbuffer *out, GBytes *content)
{
	uint8_t head[PEER_FRAME_HEADER_LEN];
	gsize len;
	const void *data = g_bytes_get_data(content, &len);

	head[0] = (uint8_t)(len >> 24);
	head[1] = (uint8_t)(len >> 16);
	head[2] = (uint8_t)(len >> 8);
	head[3] = (uint8_t)len;
	if (evbuffer_add(out, head, sizeof(head)))
		return CS_ERR_NOMEM;
	if (evbuffer_add_reference(out, data, len, release,
				   g_bytes_ref(content))) {
		g_bytes_unref(content);
		return CS_ERR_NOMEM;
	}
	return CS_OK;
}
