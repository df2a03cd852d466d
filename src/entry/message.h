#ifndef ENTRY_MESSAGE_H
#define ENTRY_MESSAGE_H

#include <glib.h>

#include "../base/counters.h"
#include "../base/trace.h"
#include "../camphorshed.h"
#include "../config/change.h"

/*
 * The messages between the decision core and the tasks around it. A message
 * has one owner at a time: whoever passes it on must not touch it again.
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
	/* admin <-> every task: counters as text */
	MSG_METRICS_CALL,
	MSG_METRICS_REPLY,
	/* signal handler -> core: finish what runs, then end */
	MSG_DRAIN,
	/* core -> log */
	MSG_EVENT,
	MSG_SPAN,
	MSG_TYPE_NR
};

/* What a caller may conclude about its request from an answer. */
enum outcome {
	OUTCOME_ANSWERED, /* the worker's whole answer is in the body */
	OUTCOME_ACCEPTED, /* long work was recorded and will be finished */
	OUTCOME_NOT_RUN, /* nothing ran, for this and earlier submissions */
	OUTCOME_UNKNOWN /* it may have run */
};

enum work_kind { WORK_SHORT, WORK_LONG };

/* A request as a caller sent it. */
struct submit {
	cs_handle caller; /* front's row, returned in the reply */
	char queue[CS_NAME_MAX];
	char request_id[CS_REQUEST_ID_MAX]; /* "" if the caller gave none */
	bool has_key;
	uint8_t key_digest[CS_DIGEST_LEN];
	bool is_idempotent;
	bool is_urgent;
	enum work_kind work;
	int64_t deadline_ms; /* from arrival; what is left when forwarded */
	int hops; /* entries passed so far */
	char content_type[64];
	GBytes *body;
	struct trace trace;
};

/* A question about, or the cancellation of, long work. */
struct job_query {
	cs_handle caller;
	char job[CS_NAME_MAX];
	bool wants_result;
	bool has_key;
	uint8_t key_digest[CS_DIGEST_LEN];
	struct trace trace;
};

/* The answer to a submit or a job query. */
struct reply {
	cs_handle caller;
	enum outcome outcome;
	int status; /* HTTP status */
	char reason[32]; /* of a refusal: "limit", "queue_full", ... */
	char step[32];
	char peer[CS_ADDRESS_MAX];
	int64_t retry_after_ms; /* 0: do not say */
	char job[CS_NAME_MAX]; /* for accepted long work */
	char content_type[64];
	GBytes *body; /* NULL for refusals */
	struct trace trace;
};

/* Starts a task on a worker. */
struct task_start {
	int part; /* enum part_id that asked */
	cs_handle attempt; /* returned in MSG_TASK_DONE */
	char worker[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX];
	char task_id[CS_NAME_MAX]; /* unique fleet-wide */
	enum work_kind work;
	int64_t lease_ms;
	bool needs_live_connection; /* non-idempotent work */
	cs_time decided; /* when the core chose to start it */
	cs_time deadline;
	char content_type[64];
	char checkpoint[256]; /* "" starts from the beginning */
	GBytes *body;
	struct trace trace;
};

enum task_result {
	TASK_ANSWERED, /* whole answer; for long work: task is running */
	TASK_REFUSED, /* the worker has no slot; nothing ran */
	TASK_NOT_SENT, /* no byte left this entry */
	TASK_UNKNOWN /* connection lost, timeout or truncated answer */
};

struct task_done {
	int part; /* enum part_id that asked */
	cs_handle attempt;
	enum task_result result;
	int status; /* HTTP status of an answer */
	char content_type[64];
	GBytes *body;
	struct cs_error error; /* step and peer when not answered */
};

enum task_op {
	TASK_RENEW,
	TASK_CHECKPOINT,
	TASK_THROTTLE,
	TASK_STOP,
	TASK_RESULT
};

struct task_control {
	int part; /* enum part_id that asked */
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
	int part; /* enum part_id that asked */
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
	int64_t age_ms; /* how old the worker's own figures are */
};

enum kv_op {
	KV_GET,
	KV_CAS, /* version 0 creates */
	KV_DELETE,
	KV_LIST,
	KV_WATCH,
	KV_LEASE_GRANT,
	KV_LEASE_RENEW,
	KV_HOSTS
};

/* One call of the platform's service. */
struct kv_call {
	int part; /* enum part_id, copied to the answer */
	uint64_t token; /* the part's own, copied to the answer */
	enum kv_op op;
	char key[128]; /* or prefix for KV_LIST and KV_WATCH */
	uint64_t version; /* expected version, or revision for KV_WATCH */
	char change_id[48]; /* KV_CAS: tells a lost answer's effect */
	GBytes *value;
	uint64_t lease; /* 0: none */
	int64_t ttl_ms; /* KV_LEASE_GRANT */
	int64_t wait_ms; /* KV_WATCH */
};

enum kv_result {
	KV_OK,
	KV_CONFLICT, /* version differs; the present row is in rows[0] */
	KV_MISSING,
	KV_UNKNOWN, /* the call may have taken effect */
	KV_UNAVAILABLE /* it did not take effect */
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
	uint64_t version; /* KV_GET, KV_CAS: version now */
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
	int64_t used_ms; /* decayed slot time, see team/share.h */
};

enum claim_verdict {
	CLAIM_GRANTED,
	CLAIM_DUPLICATE, /* seen before */
	CLAIM_UNKNOWN, /* an earlier submission can't be ruled out */
	CLAIM_STALE /* the asked entry does not own the partition */
};

/* One message between two entries; the kind says which field is used. */
struct peer_msg {
	enum peer_kind kind;
	char peer[CS_NAME_MAX]; /* out: to whom; in: from whom */
	uint64_t incarnation; /* in: of the sender */
	uint64_t ref; /* matches an answer to its question */
	union {
		struct {
			uint64_t revision; /* in force at the sender */
			bool holds_watch;
			bool platform_up;
			bool is_draining;
		} heartbeat;
		struct {
			char data_centre[CS_NAME_MAX]; /* aggregate of; or "" */
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
			char holder[CS_NAME_MAX]; /* entry that asks */
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
		} job_copy; /* PEER_JOB_COPY; the ACK uses job and version */
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
	ADMIN_CHANGE, /* a list of changes, applied together or not at all */
	ADMIN_APPLY, /* a whole fleet document as JSON in body */
	ADMIN_WAIT, /* answers when revision is in force everywhere */
	ADMIN_PLAN,
	ADMIN_HISTORY
};

struct admin_call {
	cs_handle caller;
	enum admin_op op;
	bool is_dry_run;
	uint64_t revision; /* ADMIN_WAIT; ADMIN_CHANGE: expected, 0 any */
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
	int source; /* enum task_id of the sender */
	GBytes *text;
};

/* One line for the log. */
struct event_line {
	int level; /* enum log_level */
	char step[32];
	char peer[CS_ADDRESS_MAX];
	struct trace trace;
	GString *pairs; /* "key=value ..." by log_pair() */
};

/* One finished hop of a request. */
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
 * The outcome of a refusal before the submission was sent anywhere. "Not run"
 * covers earlier submissions of a non-idempotent request as well, so with an
 * identifier whose claim this submission does not hold it can't be said.
 */
enum outcome submit_refusal_outcome(const struct submit *submit,
				    bool is_claimed);

/* A zeroed message of that type. Never NULL: GLib ends the process first. */
struct msg *msg_new(enum msg_type type);

/* The end of a call of the platform, without rows. */
struct msg *msg_kv_done(const struct kv_call *call, enum kv_result result);

/* A task's counters as text for the caller; source is an enum bus_task. */
struct msg *msg_metrics_reply(cs_handle caller, int source,
			      const struct counters *counters);

/* Releases a message and all that it holds. Accepts NULL. */
void msg_free(struct msg *msg);

/* msg_free() with the type that a mailbox asks for. */
void msg_free_item(void *msg);

/* Releases what a peer message holds, not the struct itself. */
void peer_msg_clear(struct peer_msg *peer);

/* "submit", "kv_done", ... for logs. */
const char *msg_type_name(enum msg_type type);
const char *peer_kind_name(enum peer_kind kind);

#endif
