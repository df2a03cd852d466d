#ifndef CAMPHORSHED_H
#define CAMPHORSHED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/*
 * camphorshed as a library: error codes, time, and the decision core of one
 * entry. The core holds no socket, no thread and no clock. A caller passes it
 * a message and the present time, and receives messages through an outbox.
 * The entry process and the seeded test driver use this same interface. The
 * messages themselves are described in entry/message.h.
 */

#define CAMPHORSHED_VERSION "0.1.0"

/*
 * Microseconds of CLOCK_BOOTTIME. That clock goes on while a host is
 * suspended, so a suspended process can see that time has jumped.
 */
typedef int64_t cs_time;

#define CS_MSEC INT64_C(1000)
#define CS_SEC INT64_C(1000000)

/* A time later than every other: "never". */
#define CS_TIME_NEVER INT64_MAX

/*
 * A row of a table: index and generation. Zero names no row. A handle whose
 * row was freed finds nothing, even when the index has been used again.
 */
typedef uint64_t cs_handle;

/* Results of functions that can fail; CS_OK is zero, the rest negative. */
enum cs_code {
	CS_OK = 0,
	CS_ERR_NOMEM = -1, /* out of memory or table full */
	CS_ERR_INVALID = -2, /* the input breaks a documented rule */
	CS_ERR_MISSING = -3, /* no such row, key or file */
	CS_ERR_CONFLICT = -4, /* a newer version exists */
	CS_ERR_FULL = -5, /* a bounded queue has no room */
	CS_ERR_LIMIT = -6, /* no permit, token or budget left */
	CS_ERR_DENIED = -7, /* key or secret not accepted */
	CS_ERR_IO = -8, /* a socket or file operation failed */
	CS_ERR_TIMEOUT = -9, /* no answer within the time allowed */
	CS_ERR_STALE = -10, /* the state must be read again first */
	CS_ERR_TOO_LARGE = -11 /* a length limit is exceeded */
};

/* Names of hosts, teams, pools, queues and entries, with the final NUL. */
#define CS_NAME_MAX 64
/* A request identifier, with the final NUL: 128 characters. */
#define CS_REQUEST_ID_MAX 129
/* "255.255.255.255:65535" or "[v6]:65535", with the final NUL. */
#define CS_ADDRESS_MAX 64
/* BLAKE2b-256 digest of a key; keys themselves are never stored. */
#define CS_DIGEST_LEN 32
/* The platform stores values of at most one megabyte. */
#define CS_VALUE_MAX ((size_t)1024 * 1024)

/*
 * What went wrong, in which step, and with which peer. A function that
 * returns a negative code fills the cs_error it was given, if any.
 */
struct cs_error {
	int code;
	char step[32];
	char peer[CS_ADDRESS_MAX];
	char message[192];
};

struct entry;
struct msg;

/*
 * Where the core puts its output. emit() takes ownership of the message and
 * releases it with msg_free(). It must not call back into the core.
 */
struct outbox_ops {
	void (*emit)(void *ctx, struct msg *msg);
};

/* One other entry as the settings name it. */
struct entry_peer {
	char id[CS_NAME_MAX];
	char data_centre[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX];
};

/* What an entry does while its data centre is isolated. */
enum isolated_mode {
	ISOLATED_SERVE, /* serve on with the last configuration */
	ISOLATED_KNOWN, /* serve only keys and queues used recently */
	ISOLATED_REFUSE /* refuse all work that needs a key */
};

/* Fixed for the life of one core; the strings are copied. */
struct entry_options {
	char id[CS_NAME_MAX];
	char data_centre[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX]; /* the peer address */
	uint64_t incarnation; /* rises with every start of this entry */
	uint32_t seed;
	enum isolated_mode isolated;
	int queue_depth; /* requests waiting, per pool */
	const struct entry_peer *peers;
	size_t peers_nr;
	const char *mutant; /* soak build only: a mechanism turned off */
};

/*
 * Creates a core. The outbox must outlive it. The core emits its first
 * messages (reads of the platform) from entry_start(), not from here.
 * Returns NULL and fills err on failure.
 */
struct entry *entry_create(const struct entry_options *options,
			   const struct outbox_ops *outbox, void *outbox_ctx,
			   struct cs_error *err);

/* Begins to work at time now. Called once, before any other message. */
void entry_start(struct entry *entry, cs_time now);

/*
 * Takes one message. The core takes ownership of msg. Times must not fall
 * between calls. A message that names unknown rows is counted and dropped.
 */
void entry_handle(struct entry *entry, struct msg *msg, cs_time now);

/* Runs all timers that are due at now. */
void entry_advance(struct entry *entry, cs_time now);

/* The time at which entry_advance() has work next, or CS_TIME_NEVER. */
cs_time entry_next_due(const struct entry *entry);

/* True once a drain has been asked for. */
bool entry_is_draining(const struct entry *entry);

/* True once a drain has been asked for and nothing is in flight any more. */
bool entry_is_drained(const struct entry *entry);

/* The part that a drain still waits for, or NULL. For logs. */
const char *entry_drain_blocker(const struct entry *entry);

/* Revision of the fleet document in force at this entry; 0: none yet. */
uint64_t entry_revision(const struct entry *entry);

/* Releases everything. Accepts NULL. */
void entry_destroy(struct entry *entry);

#endif
