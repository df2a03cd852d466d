#ifndef NODE_NODE_PRIVATE_H
#define NODE_NODE_PRIVATE_H

#include "../base/slots.h"
#include "../store/store_calls.h"
#include "../store/view.h"
#include "admission.h"
#include "node.h"

/* Internals of struct node, shared by the files of this folder only. */

/*
 * Keys that entries write. All entries watch KEY_CONTROL; the owner watches all
 * of KEY_ROOT.
 */
#define KEY_ROOT "camphorshed/"
#define KEY_CONTROL "camphorshed/control/"
#define KEY_OWNER "camphorshed/control/owner"
#define KEY_TERM "camphorshed/control/term"
#define KEY_QUEUES "camphorshed/control/queues"
#define KEY_JOBS "camphorshed/jobs/"
/*
 * Stands in the key of a job that was refused. Another submission of it
 * replaces the marker, a late write of a former one does not, as its condition
 * fails.
 */
#define JOB_REFUSED "refused"
/* Replaces the submission in a job's key once the job's end is stored. */
#define JOB_ENDED "ended"
/* Stands in a job's key that was cancelled before a submission was stored. */
#define JOB_WITHDRAWN "withdrawn"
#define KEY_CANCELS "camphorshed/cancels/"
/* Written by the owner, and read once by the next owner. */
#define KEY_PROGRESS "camphorshed-progress/"
#define KEY_GRANTS "camphorshed-grants/"
#define KEY_WAVES "camphorshed-waves/"
#define KEY_HOSTS "camphorshed-hosts/"
#define KEY_LEARNED_ROOT "camphorshed-learned/"
#define KEY_LEARNED KEY_LEARNED_ROOT "run_times"
/* Hosts that recently got an order. */
#define KEY_ORDERED_HOSTS KEY_HOSTS "ordered"

/* Timeout of a single call to the store, ms. */
#define STORE_TIMEOUT_MS 1200

/*
 * This entry's part in choosing the owner, the one entry that schedules. The
 * owner holds a key in the store under a lease.
 */
enum owner_state {
	OWNER_FOLLOWER, /* another entry is the owner, or none is known */
	OWNER_ACQUIRING, /* this entry tries to become the owner */
	OWNER_LOADING, /* it is the owner, and reads the stored state */
	OWNER_ACTIVE /* it is the owner, and schedules */
};

/* Changes of the owner that an entry remembers. */
#define SEEN_OWNERS_MAX 32

/* An owner that this entry has seen. */
struct seen_owner {
	uint64_t key_revision;
	cs_time at; /* not before it became the owner */
};

struct owner {
	enum owner_state state;
	bool is_key_present;
	uint64_t key_revision; /* of the key as this entry wrote it */
	uint64_t seen_revision; /* of the key, whoever wrote it; 0: none */
	uint64_t term; /* of the last owner; the first token of its orders */
	uint64_t stored_term; /* in KEY_TERM: the last token in use */
	uint64_t term_revision; /* of KEY_TERM */
	bool is_token_write_open; /* a further token is being reserved */
	cs_time token_not_before; /* when that may be tried again */
	struct seen_owner seen[SEEN_OWNERS_MAX]; /* the last one first */
	int seen_nr;
	int max_cpu_share; /* largest of any owner, thousandths of a core */
	uint64_t lease; /* of this entry; 0: none */
	cs_time confirmed_at; /* last time the ownership is known valid */
	cs_time renewed_at; /* when the last successful renewal was sent */
	cs_time acquired_at;
	cs_handle timer; /* next attempt or renewal */
	cs_handle call;
	bool is_fenced; /* a later owner was seen */
	bool is_releasing; /* the removal of the key has no reply yet */
	uint64_t acquiring_term; /* the term that the attempt would begin */
};

/* The backlog of a queue, as the owner publishes it. */
struct queue_load {
	int64_t pending;
	int64_t wait_ms;
};

/* Transactions of the owner that may be open at once. */
#define COMMITS_MAX 16

/* What an open transaction writes, needed when its reply comes. */
struct commit_txn {
	bool is_open;
	GArray *batches; /* struct commit_batch */
	GArray *grants; /* struct commit_grant */
	GPtrArray *ended_grants; /* identifiers of servers */
	bool has_host_orders;
	bool writes_ordered_hosts; /* the key KEY_ORDERED_HOSTS */
	cs_handle expired; /* the batch to remove; 0: none */
};

/* The owner's writes, see commit.c. */
struct commit {
	struct commit_txn txns[COMMITS_MAX];
	uint64_t ordered_revision; /* of KEY_ORDERED_HOSTS */
	bool is_ordered_write_open; /* an open transaction writes that key */
	/* One that got no reply may still be carried out. */
	bool is_ordered_write_uncertain;
	bool is_removal_open; /* an open transaction removes a batch */
	cs_time not_before; /* of the next transaction */
	cs_time retry_pause;
	cs_handle timer;
};

/* The progress of a batch in a transaction. */
struct commit_batch {
	cs_handle batch;
	uint32_t version; /* that is written */
	char key[STORE_KEY_MAX];
};

/* The grant of a server in a transaction. */
struct commit_grant {
	cs_handle server; /* 0: it is from sched_take_silent_grant() */
	char *id;
	uint64_t revision; /* the condition of the write */
};

/* Keys that withdrawn.c has to remove; kept by the owner. */
struct withdrawn_keys {
	GQueue rows; /* struct withdrawn, the first to expire first */
	bool is_removal_open;
	cs_time not_before; /* of the next removal */
};

/* The stored record of what the owner has learned, see learned.c. */
struct learned {
	uint64_t revision; /* last known one of KEY_LEARNED; 0: none */
	bool is_write_open;
	cs_time next_store_at;
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
	int64_t unix_ms; /* wall clock at unix_at */
	cs_time unix_at;
	bool is_draining;
	cs_time started_at;
	/* Views of the store: always, while owner, while loading. */
	struct view *operators, *control;
	struct view *root, *servers;
	struct view *progress, *grants, *wave_progress, *ordered_hosts;
	struct view *learned_view; /* NULL if nothing is kept beyond a term */
	/* State read from the views that are always open. */
	struct site *site;
	GHashTable *evacuated; /* names of data centres */
	GHashTable *waves; /* number as text -> GBytes */
	GHashTable *queue_loads; /* queue -> struct queue_load */
	struct admission *admission;
	/*
	 * State read while loading. It is released once the scheduler has it,
	 * but for loaded_wave_progress, which waves that come later need.
	 */
	GHashTable *loaded_jobs; /* id -> struct loaded_item */
	GHashTable *loaded_progress; /* id -> struct loaded_item */
	GPtrArray *loaded_grants; /* struct loaded_grant */
	GHashTable *loaded_cancels; /* ids of jobs */
	GHashTable *loaded_wave_progress; /* number as text -> GBytes */
	GBytes *loaded_ordered_hosts; /* NULL: none */
	struct owner owner;
	struct commit commit;
	struct withdrawn_keys withdrawn;
	struct learned learned;
	struct slots *wave_writes; /* struct wave_write; NULL: none */
	struct sched *sched; /* NULL unless owner */
	char *published_queues; /* last value written to KEY_QUEUES */
	cs_time next_publish_at;
	uint64_t queues_revision; /* last known one of KEY_QUEUES; 0: none */
	struct slots *requests; /* struct open_request */
	cs_time store_lost_at; /* 0: the store answers */
};

/* node.c */
void node_log(struct node *n, const char *event, GString *pairs);
int64_t node_unix_ms(const struct node *n, cs_time now);

/* ownership.c */
void owner_on_put(struct node *n, const struct store_item *item, cs_time now);
void owner_on_delete(struct node *n, const char *key, cs_time now);
void owner_on_synced(struct node *n, cs_time now);
/*
 * The end of the lease of the owner's key, as far as it is known to be renewed.
 * Host orders are sent only before it, so that the orders of a successor can't
 * follow them too soon.
 */
cs_time owner_lease_end(const struct node *n);
/* A call sent at that time succeeded and proves that the key was held. */
void owner_confirm(struct node *n, cs_time sent);
/* Ends the term, since the key is lost. No effect unless owner. */
void owner_lost(struct node *n, const char *reason, cs_time now);
void owner_release(struct node *n, cs_time now);
void owner_turn(struct node *n, cs_time now);
cs_time owner_predecessor_end(const struct node *n);
/*
 * The same for a server that no owner has used from the one on whose key has
 * that revision; 0: the last one has.
 */
cs_time owner_unused_lease_end(const struct node *n, uint64_t first);
/* True if the last owner before this one is known to have had that key. */
bool owner_is_predecessor(const struct node *n, uint64_t key_revision);

/* term.c: loads the stored state for the scheduler of a new owner */
void term_begin(struct node *n, cs_time now);
void term_end(struct node *n);
void term_turn(struct node *n, cs_time now);
/* Adds a job of which the watch has not told yet. */
void term_add_submission(struct node *n, const struct submission *s,
			 cs_time now);
void term_add_wave(struct node *n, const char *number, GBytes *value,
		   cs_time now);

/* commit.c */
void commit_turn(struct node *n, cs_time now);
void commit_reset(struct node *n);

/* grant.c */
/* A stored grant as it is read, see struct sched_grant. */
struct loaded_grant {
	char *id, *pool;
	uint64_t revision;
	cs_time read_at;
	bool is_bounded; /* it has the following fields */
	/* Revision of the key of the first owner without use of it; 0: none. */
	uint64_t unused_first;
	uint64_t owner; /* revision of the key of the owner that wrote it */
	int64_t left_ms; /* until the last lease has ended */
	/* See longest_end of struct sched_grant; 0: none. */
	int64_t longest_unix_ms;
	uint64_t started_unix_ms;
	bool is_longest_unreadable; /* the two fields before are 0 then */
};

/* The key of the grant of a server, which the caller frees. */
char *grant_key(const char *id);
void grant_write(const struct node *n, struct store_call *call,
		 const struct sched_grant *grant, cs_time now);
struct loaded_grant *grant_read(const struct store_item *item, cs_time now);
void loaded_grant_free(void *row);
/* Passes a grant to the scheduler of a new owner. */
void grant_add(struct node *n, const struct loaded_grant *loaded);

/* withdrawn.c */
/* Has the owner remove such a key once its retention has passed. */
void withdrawn_add(struct node *n, const char *id, uint64_t revision,
		   cs_time now);
void withdrawn_turn(struct node *n, cs_time now);
/* Forgets all keys, at the end of a term. */
void withdrawn_reset(struct node *n);

/* wave_status.c */
/* See wave_advanced() of struct sched_ops; ctx: the node. */
void wave_status_write(void *ctx, uint64_t wave, const GPtrArray *done_hosts,
		       bool is_done);
/* Forgets all writes, at the end of a term. */
void wave_status_reset(struct node *n);

/* api.c */
void api_handle_request(struct node *n, struct api_request *request,
			cs_time now);

/* learned.c */
/* Begins a term: its first record is written after some seconds. */
void learned_begin(struct node *n, cs_time now);
/* Stores a record if one is due. */
void learned_turn(struct node *n, cs_time now);
/* Passes a stored record to the scheduler of a new owner. */
void learned_read(struct node *n, const struct store_item *item);

/* queues.c */
void queues_publish(struct node *n, cs_time now);
void queues_read(struct node *n, const struct store_item *item);

#endif
