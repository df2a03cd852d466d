#ifndef RELAY_CODEC_H
#define RELAY_CODEC_H

#include "../node/submission.h"
#include "../sched/order.h"

/* The messages between the owner and the entries that carry its orders. */
enum relay_kind {
	RELAY_OFFER = 1, /* carrier: ready to carry orders */
	RELAY_PING, /* owner: asks for a pong */
	RELAY_PONG,
	RELAY_ORDER, /* owner: an order to a server */
	RELAY_REPLY, /* carrier: its reply */
	RELAY_LEAVE, /* carrier: takes no more orders */
	/*
	 * A reply with lists that are partial. It has a kind of its own so that
	 * an owner of a version that takes all lists for complete ignores it.
	 */
	RELAY_PARTIAL_REPLY,
	RELAY_SUBMISSION /* any entry: it has stored a job */
};
#define RELAY_KIND_MAX RELAY_SUBMISSION

struct relay_msg {
	enum relay_kind kind;
	cs_time sent; /* by the sender's clock */
	int cpu_share; /* of an offer, thousandths of a core */
	cs_handle call; /* of an order, returned with its reply */
	struct order *order; /* of an order */
	bool omits_payload; /* of an order: the carrier has it, see payloads.h
			     */
	struct order_reply *reply; /* of a reply */
	struct submission *submission; /* of a submission */
};

/* Encodes a message as one msgpack array. */
GBytes *relay_encode(const struct relay_msg *msg);

/*
 * Decodes untrusted bytes. Returns CS_OK, or CS_ERR_INVALID or CS_ERR_NOMEM
 * with err filled. The caller owns order, reply and
 * submission of the result. Type, ref,
 * server, token and times of a reply are not sent: the owner knows them from
 * its order.
 */
int relay_decode(const uint8_t *data, size_t len, struct relay_msg *msg,
		 struct cs_error *err);

#endif
