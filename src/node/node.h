#ifndef NODE_NODE_H
#define NODE_NODE_H

#include "../base/counters.h"
#include "../relay/contact.h"
#include "../sched/sched.h"
#include "../store/store.h"
#include "api.h"
#include "submission.h"

/*
 * The decision core of an entry on a platform with a shared store. It answers
 * callers, takes part in the choice of the owner, and while it is the owner
 * runs the scheduler. It has no socket, thread or clock: the code around it,
 * such as node_core, passes it messages and the time, and takes its output
 * through node_ops. What the operators and servers write to the store is
 * decoded by node_formats.
 */
struct node;

/* The output. Calls, orders and replies belong to the function called. */
struct node_ops {
	void (*store_call)(void *ctx, struct store_call *call);
	void (*order)(void *ctx, struct order *order);
	void (*reply)(void *ctx, struct api_reply *reply);
	void (*log)(void *ctx, const char *event, const char *pairs);
	/* The owner is another one; it may be this entry. */
	void (*owner_changed)(void *ctx, const struct relay_contact *owner);
	/* Tells the owner, another entry, of a job that was stored here. */
	void (*submission)(void *ctx, struct submission *submission);
	/*
	 * Asked before a line is formatted that is written for each task;
	 * false: there are too many lines, and this one is not written.
	 */
	bool (*admits_frequent_log)(void *ctx);
};

/*
 * Keys and encodings of what operators and servers write to the store, and of
 * the status that they read there. Functions return false, or NULL, for a value
 * that can't be decoded.
 */
struct node_formats {
	const char *operator_prefix;
	const char *configuration_key;
	const char *evacuation_prefix; /* followed by the data centre */
	const char *wave_prefix; /* followed by the number */
	const char *server_prefix; /* followed by the identifier */
	const char *wave_status_prefix; /* followed by the number */
	/*
	 * Leaves out rows with a field that is longer than its limit here; err
	 * then names the last one.
	 */
	struct site *(*read_site)(GBytes *value, struct cs_error *err);
	bool (*read_server)(const char *id, GBytes *value,
			    struct server_info *info, struct cs_error *err);
	/* The caller releases wave->hosts. */
	bool (*read_wave)(GBytes *value, struct wave_info *wave);
	GBytes *(*write_wave_status)(bool is_done);
};

struct node_options {
	struct relay_contact contact; /* of this entry */
	uint32_t seed;
	int cpu_share; /* of this process, thousandths of a core; 0: unknown */
	int64_t lease_min_ms; /* shortest lease that the store grants */
	/*
	 * A withdrawn key is refused after this time, also while the store
	 * can't be reached; 0: no bound.
	 */
	int64_t withdrawn_key_ms;
	struct sched_limits limits;
	struct sched_policy policy;
	size_t accepted_max; /* bytes held for accepted jobs; 0: no bound */
};

/* Copies options; ops, ctx and formats must outlive the node. */
struct node *node_create(const struct node_options *options,
			 const struct node_ops *ops, void *ctx,
			 const struct node_formats *formats);
void node_destroy(struct node *node);

/* Starts to read the store. Called once, before any other message. */
void node_start(struct node *node, int64_t unix_ms, cs_time now);

/* Messages. Only node_request() takes over what it is given. */
void node_request(struct node *node, struct api_request *request, cs_time now);
void node_store_reply(struct node *node, const struct store_reply *reply,
		      cs_time now);
void node_order_reply(struct node *node, const struct order_reply *reply,
		      cs_time now);
/* The notice of an entry; ignored unless this one is the owner it means. */
void node_submission_stored(struct node *node,
			    const struct submission *submission, cs_time now);

/*
 * Reports itself as not ready, and gives up ownership as soon as the store
 * answers.
 */
void node_drain(struct node *node, cs_time now);
/* True when the node drains, no request is open, and it is not the owner. */
bool node_is_drained(const struct node *node);

/* Does all work that is due. Called after messages, and at node_next_due(). */
void node_turn(struct node *node, int64_t unix_ms, cs_time now);
cs_time node_next_due(const struct node *node);

struct counters *node_counters(struct node *node);

#endif
