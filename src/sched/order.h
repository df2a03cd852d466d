#ifndef SCHED_ORDER_H
#define SCHED_ORDER_H

#include <glib.h>

#include "../batch/batch.h"

/*
 * Orders: requests of the scheduler to backend servers, the host service and
 * the placement advisor, and the replies to them. They are independent of the
 * encoding on the wire.
 */

/* Maximum number of server names in one request to the advisor. */
#define ORDER_ADVICE_MAX 100

enum order_type {
	ORDER_START, /* start a run of a task */
	ORDER_STOP,
	ORDER_HOLD, /* renew the server's lease; lists runs and ended runs */
	ORDER_LIST_RUNS, /* as a hold, but the reply comes at once */
	ORDER_PACE, /* limit the speed of a run, percent of full speed */
	ORDER_ADVISE, /* ask for tickets: which servers may run a step */
	ORDER_LIST_HOSTS,
	ORDER_MOVE_HOST, /* move a host to another pool */
	ORDER_MAINTAIN_HOST
};

enum order_result {
	ORDER_DONE,
	ORDER_REFUSED, /* not carried out; see enum order_reason */
	ORDER_NOT_SENT, /* never left this process */
	ORDER_UNKNOWN /* no reply; may still be carried out seconds later */
};

enum order_reason {
	ORDER_REASON_NONE,
	ORDER_REASON_FENCED, /* the server has seen a higher fencing token */
	ORDER_REASON_OLD_RUN, /* this run or a later one has ended there */
	ORDER_REASON_LATE, /* the deadline has passed on the server's clock */
	ORDER_REASON_NO_ROOM,
	ORDER_REASON_TICKET, /* missing or no longer valid */
	ORDER_REASON_BUSY, /* the host is not up, or is leaving */
	ORDER_REASON_WAVE, /* the host is not part of that wave */
	ORDER_REASON_INSTANCE, /* another identifier has the address */
	ORDER_REASON_OVERLOADED, /* overloaded or unhealthy */
	ORDER_REASON_INVALID, /* invalid, or unknown to the receiver */
	/* Not sent: the server has started again, at started_unix_ms. */
	ORDER_REASON_INCARNATION
};

struct order {
	enum order_type type;
	uint64_t ref; /* returned with the reply */
	cs_handle server; /* returned with the reply; 0: none */
	uint64_t started_unix_ms; /* of its incarnation; 0: not known */
	char address[CS_ADDRESS_MAX];
	char instance[SITE_NAME_MAX]; /* identifier of the server */
	char pool[SITE_NAME_MAX]; /* of the server; of a move: its destination
				   */
	uint64_t token; /* fencing token of the owner */
	int64_t deadline_ms; /* lease end, server's clock; 0: unchanged */
	int64_t timeout_ms; /* for the reply */
	cs_time not_after; /* latest time to send it; 0: no bound */
	/* start, stop, pace */
	char task[BATCH_TASK_NAME_MAX];
	uint32_t run;
	char *payload;
	char *checkpoint; /* NULL: none */
	char *ticket; /* NULL: none */
	int percent;
	/* hold */
	uint64_t acked_end; /* acknowledges ended runs up to this number */
	int64_t wait_ms; /* long poll: how long to wait for a run to end */
	/* advice */
	char step[BATCH_TASK_NAME_MAX];
	GPtrArray *servers; /* names */
	/* hosts */
	char host[SITE_NAME_MAX];
	char holder[CS_NAME_MAX]; /* the entry that sends orders to hosts */
	uint64_t wave;
	char *page; /* page token of the host list; NULL: the first page */
};

/* A run that a server reports as present. */
struct order_run {
	char task[BATCH_TASK_NAME_MAX];
	uint32_t run;
	char *checkpoint; /* latest checkpoint, "" if none */
	int percent; /* progress */
	/*
	 * Over the last half second: tail latency in ms of a serving task,
	 * CPU usage of any other task.
	 */
	int64_t tail_ms_or_cpu;
};

/* An ended run that a server reports until it is acknowledged. */
struct order_ended_run {
	uint64_t number; /* increases within one incarnation */
	char task[BATCH_TASK_NAME_MAX];
	uint32_t run;
	enum batch_end how;
	char *checkpoint; /* latest, "" if none */
};

enum order_host_state {
	ORDER_HOST_UP,
	ORDER_HOST_MOVING,
	ORDER_HOST_IN_MAINTENANCE,
	ORDER_HOST_DOWN
};

/* Labels of a host that are kept: its kind and its rack. */
#define ORDER_HOST_LABELS_MAX 2

struct order_host {
	char name[SITE_NAME_MAX];
	char pool[SITE_NAME_MAX];
	char data_centre[SITE_NAME_MAX];
	char server[SITE_NAME_MAX]; /* running on it now, or "" */
	char labels[ORDER_HOST_LABELS_MAX][SITE_NAME_MAX];
	int labels_nr;
	enum order_host_state state;
};

struct order_ticket {
	char server[SITE_NAME_MAX];
	char *ticket;
};

/* The reply to an order, or the reason why there is none. */
struct order_reply {
	enum order_type type;
	uint64_t ref;
	cs_handle server;
	uint64_t token; /* type to token: copied from the order */
	enum order_result result;
	enum order_reason reason;
	cs_time sent, received;
	int64_t clock_ms; /* the server's clock; -1: not reported */
	uint64_t started_unix_ms; /* start of the incarnation; 0: unknown */
	GPtrArray *runs; /* struct order_run */
	GPtrArray *ends; /* struct order_ended_run, the lowest numbers first */
	bool is_partial; /* the server may have more runs or ended runs */
	GPtrArray *hosts; /* struct order_host */
	GPtrArray *tickets; /* struct order_ticket */
	int64_t validity_ms; /* of the tickets */
	char *next_page; /* page token; NULL: the list of hosts is complete */
};

struct order *order_new(enum order_type type);
void order_free(struct order *order);

/*
 * True if the order must reach the incarnation that started at started_unix_ms
 * or none. Another one would take a start, with a lease by its own clock; other
 * orders leave its runs alone.
 */
bool order_is_for_incarnation(const struct order *order);

/* A reply to order with the result ORDER_NOT_SENT and empty lists. */
struct order_reply *order_reply_new(const struct order *order);
void order_reply_free(struct order_reply *reply);

const char *order_type_name(enum order_type type);
const char *order_result_name(enum order_result result);
const char *order_reason_name(enum order_reason reason);

#endif
