#ifndef ENTRY_MESSAGE_H
#define ENTRY_MESSAGE_H

#include <glib.h>

#include "../base/counters.h"
#include "../base/trace.h"
#include "../camphorshed.h"
#include "../config/change.h"

/*
 * The messages between the decision core and the other tasks. A message has
 * one owner at a time: after posting it the sender must not access it again.
 * Bodies are GBytes, and each message holds its own reference.
 */

enum msg_type {
	MSG_NONE,
	/* front -> core */
	MSG_SUBMIT,
	MSG_JOB_QUERY,
	MSG_JOB_CANCEL,
	MSG_CALLER_GONE,
	/* core -> front */
	MSG_REPLY,
	/* core -> worker */
	MSG_TASK_START,
	MSG_TASK_CONTROL,
	MSG_USAGE_POLL,
	/* worker -> core */
	MSG_TASK_DONE,
	MSG_TASK_CONTROL_DONE,
	MSG_USAGE,
	/* core -> platform, platform -> core */
	MSG_KV_CALL,
	MSG_KV_DONE,
	/* core <-> peer */
	MSG_PEER,
	MSG_PEER_STATE,
	/* admin <-> core */
	MSG_ADMIN_CALL,
	MSG_ADMIN_REPLY,
	/* admin -> every task, every task -> admin: counters as text */
	MSG_METRICS_CALL,
	MSG_METRICS_REPLY,
	/* main thread -> core, after SIGTERM: finish running work, then end */
	MSG_DRAIN,
	/* core -> log */
	MSG_EVENT,
	MSG_SPAN,
	MSG_TYPE_NR
};

/* Whether a request was run, as far as this entry can tell its caller. */
enum outcome {
	OUTCOME_ANSWERED, /* the body holds the worker's complete answer */
	OUTCOME_ACCEPTED, /* long work was recorded and will be finished */
	OUTCOME_NOT_RUN, /* neither this nor an earlier submission was run */
	OUTCOME_UNKNOWN /* it may have been run */
};

/*
 * The caller of short work waits for its answer. Long work is recorded as a
 * job, whose state and result are queried later.
 */
enum work_kind { WORK_SHORT, WORK_LONG };

/* A request of a caller, received directly or forwarded by a peer. */
struct submit {
	cs_handle caller; /* row of the front task, copied to the reply */
	char queue[CS_NAME_MAX];
	char request_id[CS_REQUEST_ID_MAX]; /* "" if the caller gave none */
	bool has_key;
	uint8_t key_digest[CS_DIGEST_LEN];
	bool is_idempotent;
	bool is_urgent;
	enum work_kind work;
	int64_t deadline_ms; /* from arrival; remaining time if forwarded */
	int hops; /* how often the request was forwarded */
	char content_type[64];
	GBytes *body;
	struct trace trace;
};

/* A query for the state or result of long work, or its cancellation. */
struct job_query {
	cs_handle caller;
	char job[CS_NAME_MAX];
	bool wants_result;
	bool has_key;
	uint8_t key_digest[CS_DIGEST_LEN];
	struct trace trace;
};

/* The reply to a submit or a job query. */
struct reply {
	cs_handle caller;
	enum outcome outcome;
	int status; /* HTTP status */
	char reason[32]; /* why it was refused: "limit", "queue_full", ... */
	char step[32];
	char peer[CS_ADDRESS_MAX];
	int64_t retry_after_ms; /* 0: no Retry-After header */
	char job[CS_NAME_MAX]; /* id of accepted long work */
	char content_type[64];
	GBytes *body; /* NULL for refusals */
	struct trace trace;
};

/* Starts a task on a worker. */
struct task_start {
	int part; /* enum part_id of the sender */
	cs_handle attempt; /* copied to MSG_TASK_DONE */
	char worker[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX];
	char task_id[CS_NAME_MAX]; /* unique in the fleet */
	enum work_kind work;
	int64_t lease_ms;
	bool needs_live_connection; /* non-idempotent work */
	cs_time decided; /* when the core decided to start it */
	cs_time deadline;
	char content_type[64];
	char checkpoint[256]; /* resume from here; "" for the beginning */
	GBytes *body;
	struct trace trace;
};

enum task_result {
	TASK_ANSWERED, /* complete answer; for long work: task is running */
	TASK_REFUSED, /* the worker has no free slot; nothing was run */
	TASK_NOT_SENT, /* not a byte of the request was sent */
	TASK_UNKNOWN /* connection lost, timeout or truncated answer */
};

struct task_done {
	int part; /* copied from the task_start */
	cs_handle attempt;
	enum task_result result;
	/* The worker ended the task with its lease; the result is unknown. */
	bool is_lease_over;
	int status; /* HTTP status of an answer */
	char content_type[64];
	GBytes *body;
	struct cs_error error; /* set unless the result is TASK_ANSWERED */
};

enum task_op {
	TASK_RENEW,
	TASK_CHECKPOINT,
	TASK_THROTTLE,
	TASK_STOP,
	TASK_RESULT
};

struct task_control {
	int part; /* enum part_id of the sender */
	cs_handle attempt;
	enum task_op op;
	char address[CS_ADDRESS_MAX];
	char task_id[CS_NAME_MAX];
	int64_t lease_ms; /* TASK_RENEW */
	int percent; /* TASK_THROTTLE */
};

enum task_state {
	TASK_STATE_RUNNING,
	TASK_STATE_DONE,
	TASK_STATE_FAILED,
	TASK_STATE_STOPPED,
	TASK_STATE_MISSING /* the worker does not know the task */
};

struct task_control_done {
	int part; /* copied from the task_control */
	cs_handle attempt;
	enum task_op op;
	int code; /* CS_OK, or CS_ERR_IO / CS_ERR_TIMEOUT: state unknown */
	enum task_state state;
	int progress; /* percent */
	char checkpoint[256];
	char content_type[64];
	GBytes *body; /* TASK_RESULT */
};

struct usage_poll {
	cs_handle worker;
	char address[CS_ADDRESS_MAX];
};

struct usage {
	cs_handle worker;
	int code;
	int slots, running;
	int64_t age_ms; /* age of the worker's figures when it sent them */
};

enum kv_op {
	KV_GET,
	KV_CAS, /* compare and swap; expected version 0 creates the key */
	KV_DELETE,
	KV_LIST,
	KV_WATCH,
	KV_LEASE_GRANT,
	KV_LEASE_RENEW,
	KV_HOSTS /* the platform's host list */
};

/* One call of the platform's key-value service. */
struct kv_call {
	int part; /* enum part_id of the sender, copied to the result */
	uint64_t token; /* chosen by the part, copied to the result */
	enum kv_op op;
	char key[128]; /* or prefix for KV_LIST and KV_WATCH */
	uint64_t version; /* expected version, or revision for KV_WATCH */
	/* KV_CAS: shows after a lost reply whether the call took effect. */
	char change_id[48];
	GBytes *value;
	uint64_t lease; /* 0: none */
	int64_t ttl_ms; /* KV_LEASE_GRANT */
	int64_t wait_ms; /* KV_WATCH */
};

enum kv_result {
	KV_OK,
	KV_CONFLICT, /* another version; rows[0] holds the current row */
	KV_MISSING,
	KV_UNKNOWN, /* the call may have taken effect */
	KV_UNAVAILABLE /* the call did not take effect */
};

struct kv_row {
	char key[128];
	uint64_t version; /* 0: deleted */
	GBytes *value;
};

struct kv_host {
	char host[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX];
	char data_centre[CS_NAME_MAX];
	bool is_leaving;
};

struct kv_done {
	int part;
	uint64_t token;
	enum kv_op op;
	enum kv_result result;
	char key[128]; /* key or prefix of the call */
	uint64_t version; /* KV_GET, KV_CAS: current version */
	uint64_t revision; /* KV_WATCH, KV_LIST */
	uint64_t lease; /* KV_LEASE_GRANT */
	struct kv_row *rows;
	size_t rows_nr;
	struct kv_host *hosts; /* KV_HOSTS */
	size_t hosts_nr;
};

enum peer_kind {
	PEER_HEARTBEAT,
	PEER_SUMMARY,
	PEER_CONFIG,
	PEER_CONFIG_ACK,
	PEER_FORWARD,
	PEER_FORWARD_REPLY,
	PEER_FORWARD_CANCEL,
	PEER_CLAIM,
	PEER_CLAIM_REPLY,
	PEER_CLAIM_COPY,
	PEER_CLAIM_COPY_ACK,
	PEER_CLAIM_RELEASE,
	PEER_JOB_COPY,
	PEER_JOB_COPY_ACK,
	PEER_KIND_NR
};

/* Demand and use of one team in one pool. */
struct summary_row {
	char pool[CS_NAME_MAX];
	char team[CS_NAME_MAX];
	int32_t queued;
	int32_t running;
	int64_t used_ms; /* slot time with decay, see team/share.h */
};

enum claim_verdict {
	CLAIM_GRANTED,
	CLAIM_DUPLICATE, /* the identifier was already claimed */
	CLAIM_UNKNOWN, /* an earlier submission can't be ruled out */
	CLAIM_STALE /* the replying entry does not own the partition */
};

/* One message between two entries; kind selects the member of u. */
struct peer_msg {
	enum peer_kind kind;
	char peer[CS_NAME_MAX]; /* receiver; of a received message: sender */
	uint64_t incarnation; /* of the sender, set on receipt */
	uint64_t ref; /* matches a reply to its request */
	union {
		struct {
			uint64_t revision; /* in force at the sender */
			bool holds_watch; /* watches for its data centre */
			bool platform_up;
			bool is_draining;
		} heartbeat;
		struct {
			/* "" if the rows are the sender's own figures */
			char data_centre[CS_NAME_MAX];
			struct summary_row *rows;
			size_t rows_nr;
		} summary;
		struct {
			uint64_t revision;
			uint64_t version; /* of the platform's row */
			GBytes *document;
		} config;
		struct {
			uint64_t revision;
		} config_ack;
		struct submit forward;
		struct reply forward_reply;
		struct {
			uint64_t map_version;
			uint32_t partition;
			uint8_t digest[16]; /* of the request identifier */
			char holder[CS_NAME_MAX]; /* the claiming entry */
		} claim; /* PEER_CLAIM, _COPY and _RELEASE */
		struct {
			uint64_t map_version;
			enum claim_verdict verdict;
			char holder[CS_NAME_MAX]; /* of a duplicate */
		} claim_reply; /* PEER_CLAIM_REPLY and PEER_CLAIM_COPY_ACK */
		struct {
			char job[CS_NAME_MAX];
			uint64_t version;
			GBytes *record;
		} job_copy; /* PEER_JOB_COPY; PEER_JOB_COPY_ACK has no record */
	} u;
};

struct peer_state {
	char peer[CS_NAME_MAX];
	char data_centre[CS_NAME_MAX];
	uint64_t incarnation;
	bool is_up;
};

enum admin_op {
	ADMIN_STATUS,
	ADMIN_READY,
	ADMIN_CONFIG_GET,
	ADMIN_CHANGE, /* a list of changes, applied atomically */
	ADMIN_APPLY, /* replaces the fleet document by the JSON in body */
	ADMIN_WAIT, /* waits until revision is in force everywhere */
	ADMIN_PLAN,
	ADMIN_HISTORY
};

struct admin_call {
	cs_handle caller;
	enum admin_op op;
	bool is_dry_run;
	uint64_t revision; /* to wait for; or expected by a change, 0: any */
	struct change *changes;
	size_t changes_nr;
	GBytes *body;
	struct trace trace;
};

struct admin_reply {
	cs_handle caller;
	int status; /* HTTP status */
	GBytes *body; /* JSON */
};

struct metrics_call {
	cs_handle caller;
};

struct metrics_reply {
	cs_handle caller;
	int source; /* enum bus_task of the sender */
	GBytes *text;
};

/* One log line. */
struct event_line {
	int level; /* enum log_level */
	char step[32];
	char peer[CS_ADDRESS_MAX];
	struct trace trace;
	GString *pairs; /* "key=value ..." by log_pair() */
};

/* One finished span of a request's trace. */
struct span {
	char name[32];
	char peer[CS_ADDRESS_MAX];
	struct trace trace;
	cs_time start, end;
	char result[32];
};

struct msg {
	enum msg_type type;
	union {
		struct submit submit;
		struct job_query job_query; /* query and cancel */
		cs_handle caller; /* MSG_CALLER_GONE */
		struct reply reply;
		struct task_start task_start;
		struct task_control task_control;
		struct usage_poll usage_poll;
		struct task_done task_done;
		struct task_control_done task_control_done;
		struct usage usage;
		struct kv_call kv_call;
		struct kv_done kv_done;
		struct peer_msg peer;
		struct peer_state peer_state;
		struct admin_call admin_call;
		struct admin_reply admin_reply;
		struct metrics_call metrics_call;
		struct metrics_reply metrics_reply;
		struct event_line event;
		struct span span;
	} u;
};

/*
 * Returns the outcome of a refusal before the submission was sent anywhere.
 * OUTCOME_NOT_RUN covers earlier submissions of a non-idempotent request as
 * well, so it can't be returned for a request identifier that this submission
 * has not claimed.
 */
enum outcome submit_refusal_outcome(const struct submit *submit,
				    bool is_claimed);

/*
 * Allocates a zeroed message of that type. Never returns NULL: GLib aborts the
 * process when memory runs out.
 */
struct msg *msg_new(enum msg_type type);

/* Creates the result of a platform call, without rows. */
struct msg *msg_kv_done(const struct kv_call *call, enum kv_result result);

/* Creates the reply to MSG_METRICS_CALL; source is the sender's bus_task. */
struct msg *msg_metrics_reply(cs_handle caller, int source,
			      const struct counters *counters);

/* Releases a message and all that it holds. Accepts NULL. */
void msg_free(struct msg *msg);

/* msg_free() as the destructor of a mailbox's items. */
void msg_free_item(void *msg);

/* Releases the body, rows or document of a message, not the struct itself. */
void peer_msg_clear(struct peer_msg *peer);

/* "submit", "kv_done", ... for logs. */
const char *msg_type_name(enum msg_type type);
const char *peer_kind_name(enum peer_kind kind);

#endif
