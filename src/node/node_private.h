#ifndef NODE_NODE_PRIVATE_H
#define NODE_NODE_PRIVATE_H

#include "../base/slots.h"
#include "../store/store_calls.h"
#include "../store/view.h"
#include "node.h"

/* Parts of the node, shared by the files of this folder only. */

/* Keys of entries. All entries watch the first prefix, the owner all. */
#define KEY_ROOT "camphorshed/"
#define KEY_CONTROL "camphorshed/control/"
#define KEY_OWNER "camphorshed/control/owner"
#define KEY_TERM "camphorshed/control/term"
#define KEY_QUEUES "camphorshed/control/queues"
#define KEY_JOBS "camphorshed/jobs/"
/* Value of a job's key once its end is stored; the work is not needed again. */
#define JOB_ENDED "ended"
#define KEY_CANCELS "camphorshed/cancels/"
/* Written by the owner and read by its successor; watched by nobody. */
#define KEY_PROGRESS "camphorshed-progress/"
#define KEY_GRANTS "camphorshed-grants/"
#define KEY_WAVES "camphorshed-waves/"
#define KEY_HOSTS "camphorshed-hosts/"
#define KEY_ORDERED_HOSTS                                                      \
	KEY_HOSTS "ordered" /* hosts that were ordered lately */

/* Until an answer of the store to a single call must be there, ms. */
#define STORE_TIMEOUT_MS 1200

/* Who decides: at most one entry, by a key in the store under a lease. */
enum owner_state {
	OWNER_FOLLOWER, /* another entry, or not known yet */
	OWNER_ACQUIRING, /* this entry tries to become the owner */
	OWNER_LOADING, /* it is, and reads what it must know */
	OWNER_ACTIVE
};

struct owner {
	enum owner_state state;
	bool is_key_present;
	uint64_t key_revision; /* of the owner's key; our own while owner */
	uint64_t term; /* of the last owner */
	uint64_t term_revision;
	int max_cpu_share; /* of a core that an owner has had, thousandths */
	uint64_t lease; /* ours; 0: none */
	cs_time confirmed_at; /* the ownership was valid at least then */
	cs_time renewed_at; /* the lease was, by a call sent then */
	cs_time acquired_at;
	cs_handle timer; /* next attempt or renewal */
	cs_handle call;
	bool is_fenced; /* a server has seen a higher token */
	uint64_t acquiring_term;
};

/* What the owner tells about a queue. */
struct queue_load {
	int64_t pending;
	int64_t wait_ms;
};

/* Transactions of the owner that may be open at once. */
#define COMMITS_MAX 16

struct commit_txn {
	bool is_open;
	GArray *batches; /* struct commit_batch */
	GArray *grants; /* cs_handle */
	GPtrArray *ended_grants; /* identifiers */
	bool has_host_orders, writes_ordered_hosts; /* KEY_ORDERED_HOSTS */
	cs_handle expired; /* batch; 0: none */
};

struct commit {
	struct commit_txn txns[COMMITS_MAX];
	uint64_t ordered_revision; /* of KEY_ORDERED_HOSTS */
	bool is_ordered_write_open; /* an open transaction writes it */
	bool is_ordered_write_uncertain; /* one without an answer may write it
					    yet */
	bool is_removal_open;
	cs_time not_before;
	cs_time retry_pause;
	cs_handle timer;
};

struct commit_batch {
	cs_handle batch;
	uint32_t version;
	char key[STORE_KEY_MAX];
};

struct node {
	struct node_options options;
	const struct node_ops *ops;
	void *ctx;
	const struct node_formats *formats;
	struct timers *timers;
	struct counters *counters;
	struct store_calls *calls;
	GRand *rng;
	int64_t unix_ms;
	cs_time unix_at;
	bool is_draining;
	cs_time started_at;
	/* Belief. */
	struct view *operators, *control; /* always */
	struct view *root, *servers; /* while owner */
	/* While loading. */
	struct view *progress, *grants, *wave_progress, *ordered_hosts;
	struct site *site;
	GHashTable *evacuated; /* data centres */
	GHashTable *waves; /* number as text -> GBytes */
	GHashTable *queue_loads; /* queue -> struct queue_load */
	/* Found while loading. */
	GHashTable *loaded_jobs; /* id -> struct store_item copy */
	GHashTable *loaded_progress;
	GHashTable *loaded_grants; /* id -> pool */
	GHashTable *loaded_cancels;
	GHashTable *loaded_wave_progress; /* wave as text -> GBytes */
	GBytes *loaded_ordered_hosts; /* NULL: none */
	struct owner owner;
	struct commit commit;
	struct sched *sched;
	char *published_queues; /* the queues as written last */
	cs_time next_publish_at;
	struct slots *requests;
	cs_time store_lost_at; /* 0: reachable */
};

/* node.c */
void node_log(struct node *n, const char *event, GString *pairs);
int64_t node_unix_ms(const struct node *n, cs_time now);

/* ownership.c */
void owner_on_put(struct node *n, const struct store_item *item, cs_time now);
void owner_on_delete(struct node *n, const char *key, cs_time now);
void owner_on_synced(struct node *n, cs_time now);
/*
 * Until when orders may leave that no successor's may follow too soon: the end
 * of the lease of the owner's key, as far as it is known to be renewed.
 */
cs_time owner_lease_end(const struct node *n);
/* A transaction under the owner's condition succeeded; it was sent at sent. */
void owner_confirm(struct node *n, cs_time sent);
/* Another owner has been seen. */
void owner_lost(struct node *n, const char *why, cs_time now);
void owner_release(struct node *n, cs_time now);
void owner_turn(struct node *n, cs_time now);
cs_time owner_predecessor_end(const struct node *n);

/* term.c: what the owner reads before it decides */
void term_begin(struct node *n, cs_time now);
void term_end(struct node *n);
void term_turn(struct node *n, cs_time now);
void term_add_wave(struct node *n, const char *number, GBytes *value,
		   cs_time now);

/* commit.c */
void commit_turn(struct node *n, cs_time now);
void commit_reset(struct node *n);
void commit_wave(void *ctx, uint64_t wave, const GPtrArray *done, bool is_done);

/* api.c */
void api_handle_request(struct node *n, struct desk_request *request,
			cs_time now);

/* queues.c */
void queues_publish(struct node *n, cs_time now);
void queues_read(struct node *n, GBytes *value);

#endif
