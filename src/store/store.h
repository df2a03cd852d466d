#ifndef STORE_STORE_H
#define STORE_STORE_H

#include <glib.h>

#include "../camphorshed.h"

/*
 * The interface of the platform's key-value store: items with revisions,
 * conditional transactions, leases and watches. An implementation takes calls
 * through struct store_port and replies to each one exactly once.
 */

/* Largest number of conditions, writes and removals in one transaction. */
#define STORE_TXN_MAX 32
/* Size of a key with its final NUL. */
#define STORE_KEY_MAX 201

enum store_op {
	STORE_GET, /* one key */
	STORE_LIST, /* one page of a prefix */
	STORE_WATCH, /* changes of a prefix after a revision */
	STORE_TXN, /* conditional transaction */
	STORE_LEASE, /* grant a lease */
	STORE_KEEP, /* renew a lease */
	STORE_LEASE_END /* revoke a lease */
};

enum store_result {
	STORE_OK,
	STORE_CONFLICT, /* a condition failed; items hold the present state */
	STORE_MISSING, /* no such key or lease */
	STORE_COMPACTED, /* the store has dropped the history asked for */
	STORE_REFUSED, /* nothing was done: overloaded, down, or not sent */
	STORE_UNKNOWN, /* no reply: it may be done already, or later */
	/* Of a watch: the reply is too large or malformed, and stays so. */
	STORE_UNREADABLE
};

struct store_item {
	char *key;
	GBytes *value; /* NULL: deleted, or does not exist */
	uint64_t revision; /* of its last change */
	uint64_t created; /* revision of its creation */
	uint64_t lease; /* 0: none */
};

/* One condition, write or removal of a transaction. */
enum store_txn_op_kind { STORE_EXPECT, STORE_WRITE, STORE_REMOVE };

struct store_txn_op {
	enum store_txn_op_kind kind;
	char *key;
	uint64_t revision; /* expected; 0: the key does not exist */
	GBytes *value; /* of a write */
	uint64_t lease; /* of a write; 0: none */
};

struct store_call {
	enum store_op op;
	uint64_t ref; /* returned with the reply */
	char *key; /* or the prefix */
	/* Of a list: last key of the previous page; NULL: the first page. */
	char *page_after;
	uint64_t after; /* of a watch: revision */
	uint64_t lease;
	int64_t wait_ms; /* of a watch; of a new lease: its time to live */
	int64_t timeout_ms; /* for the reply */
	/* The call also ends when no part of the reply came for this long. */
	int64_t stall_ms; /* 0: it does not */
	GPtrArray *txn_ops; /* of a transaction: struct store_txn_op */
};

struct store_reply {
	enum store_op op;
	uint64_t ref;
	enum store_result result;
	GPtrArray *items; /* struct store_item; never NULL */
	uint64_t revision; /* of the store, or of the transaction */
	uint64_t lease;
	bool has_more;
	cs_time sent; /* when the call left this process */
	struct cs_error error; /* unless the result is STORE_OK */
};

/* An implementation of the store. call() takes over the call. */
struct store_port {
	void (*call)(void *ctx, struct store_call *call);
};

struct store_call *store_call_new(enum store_op op, const char *key,
				  int64_t timeout_ms);
void store_call_free(struct store_call *call);
void store_call_expect(struct store_call *call, const char *key,
		       uint64_t revision);
/* Takes over value. */
void store_call_write(struct store_call *call, const char *key, GBytes *value,
		      uint64_t lease);
void store_call_remove(struct store_call *call, const char *key);

/* A reply to call, with the result STORE_REFUSED and no items. */
struct store_reply *store_reply_new(const struct store_call *call);
void store_reply_free(struct store_reply *reply);
/* Takes over value, which is NULL for a deletion. */
void store_reply_add(struct store_reply *reply, const char *key, GBytes *value,
		     uint64_t revision, uint64_t created, uint64_t lease);

/* A copy of a value with a final NUL, "" if empty. The caller frees it. */
char *store_text(GBytes *value);

/* True if the value consists of that text. */
bool store_value_is(GBytes *value, const char *text);
/*
 * The revision that a failed transaction reports for a key, 0 if the key does
 * not exist. known if the transaction did not fail by a condition.
 */
uint64_t store_revision_after(const struct store_reply *reply, const char *key,
			      uint64_t known);

const char *store_op_name(enum store_op op);
const char *store_result_name(enum store_result result);

#endif
