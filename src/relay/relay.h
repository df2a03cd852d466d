#ifndef RELAY_RELAY_H
#define RELAY_RELAY_H

#include "../base/log.h"
#include "../node/submission.h"
#include "../sched/order.h"
#include "contact.h"

struct event_base;

/*
 * The connections between the owner and the entries that carry its orders to
 * servers. The owner's host could not make all calls to a large fleet: an HTTP
 * call takes it ten times as long as a message to a carrier, which goes with
 * others over one connection. All entries connect to the owner, which uses as
 * many of them as it needs. A relay belongs to the task that sends the orders;
 * all functions are for its thread.
 *
 * An order keeps its meaning on the way: it has the owner's fencing token and
 * the end of the lease, so a server refuses what comes too late. A carrier
 * sends an order only within its timeout, counted from the time when the owner
 * gave it. An order on a connection that ends counts as unknown, as the carrier
 * may have sent it.
 */
struct relay;

struct relay_options {
	struct relay_contact self;
	char data_centre[CS_NAME_MAX];
	int cpu_share; /* thousandths of a core */
	int direct_max; /* servers up to which the owner calls all itself */
};

struct relay_ops {
	/* Sends an order of the owner, and takes it over. */
	void (*carry)(void *ctx, cs_handle call, struct order *order);
	/* Handles the reply to an order of relay_send(), and takes it over. */
	void (*reply)(void *ctx, struct order_reply *reply);
	/* As the owner: takes over the notice of an entry. */
	void (*submission)(void *ctx, struct submission *submission);
};

/*
 * Copies options; the rest must outlive the relay. Listens on the address of
 * options->self, unless that is "". Returns NULL with err filled on failure.
 */
struct relay *relay_create(const struct relay_options *options,
			   struct event_base *base, const struct relay_ops *ops,
			   void *ctx, struct log *log, struct cs_error *err);
void relay_destroy(struct relay *relay);

/* The owner as its key in the store names it; it may be this entry. */
void relay_set_owner(struct relay *relay, const struct relay_contact *owner);

/*
 * Sends an order to a server through a carrier and takes it over. Returns false
 * if the owner is to send it directly.
 */
bool relay_send(struct relay *relay, struct order *order);

/* Passes the reply to a carried order to the owner; frees it. */
void relay_answer(struct relay *relay, cs_handle call,
		  struct order_reply *reply);

/*
 * Tells the owner of a job that this entry has stored. No effect without a
 * connection to the owner, which also learns of it from the store.
 */
void relay_notify(struct relay *relay, struct submission *submission);

/* This entry is about to end: it takes no more orders. */
void relay_leave(struct relay *relay);

#endif
