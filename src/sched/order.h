#ifndef SCHED_ORDER_H
#define SCHED_ORDER_H

#include <glib.h>

#include "../batch/batch.h"

/*
 * What the scheduler asks of backend servers, of the host service and of the
 * placement advisor, and what they answer. Orders carry no encoding.
 */

/* Names of servers in one question to the advisor. */
#define ORDER_ADVICE_MAX 100

enum order_type {
	ORDER_START, /* run a task */
	ORDER_STOP,
	ORDER_HOLD, /* extend the lease, report runs and ends */
	ORDER_PACE, /* set the share of its speed at which a task works */
	ORDER_ADVISE, /* which servers may run a step */
	ORDER_LIST_HOSTS,
	ORDER_MOVE_HOST, /* to another pool */
	ORDER_MAINTAIN_HOST
};

enum order_result {
	ORDER_DONE,
	ORDER_REFUSED, /* not carried out, for the reason given */
	ORDER_NOT_SENT, /* nothing left this process */
	ORDER_UNKNOWN /* may be carried out, even seconds from now */
};

enum order_reason {
	ORDER_REASON_NONE,
	ORDER_REASON_FENCED, /* a higher token was seen */
	ORDER_REASON_OLD_RUN, /* that run, or a later one, has ended there */
	ORDER_REASON_LATE, /* the deadline has passed on the server's clock */
	ORDER_REASON_NO_ROOM,
	ORDER_REASON_TICKET, /* missing or no longer valid */
	ORDER_REASON_BUSY, /* the host is not up, or is leaving */
	ORDER_REASON_WAVE, /* the host is not part of that wave */
	ORDER_REASON_INSTANCE, /* another incarnation answers there */
	ORDER_REASON_OVERLOADED, /* or unhealthy; nothing was done */
	ORDER_REASON_INVALID /* or unknown to the other side */
};

struct order {
	enum order_type type;
	uint64_t ref;
	cs_handle server;
	char address[CS_ADDRESS_MAX];
	char instance[CS_NAME_MAX]; /* the incarnation that is meant */
	uint64_t token; /* fencing token of the owner */
	int64_t deadline_ms; /* server's clock; 0: leaves the lease alone */
	int64_t timeout_ms; /* until the answer must be there */
	cs_time not_after; /* it must not be sent later; 0: no bound */
	/* start, stop, pace */
	char task[BATCH_TASK_NAME_MAX];
	uint32_t run;
	char *payload;
	char *checkpoint; /* NULL: none */
	char *ticket; /* NULL: none */
	int percent;
	/* hold */
	uint64_t seen; /* ends up to this number may be forgotten */
	int64_t wait_ms; /* the answer may wait this long for an end */
	/* advice */
	char step[BATCH_TASK_NAME_MAX];
	GPtrArray *servers; /* names */
	/* hosts */
	char host[CS_NAME_MAX];
	char pool[CS_NAME_MAX];
	char holder[CS_NAME_MAX]; /* who gives orders to hosts */
	uint64_t wave;
	char *page; /* of the list of hosts; NULL: the first */
};

/* A run that a server lists as present. */
struct order_run {
	char task[BATCH_TASK_NAME_MAX];
	uint32_t run;
	char *saved; /* newest checkpoint, "" if none */
	int percent; /* of its work */
	/* Last half second: tail in ms of a serving task, else cpu in use. */
	int64_t measure;
};

/* An end that a server lists. */
struct order_end {
	uint64_t number; /* rises within one incarnation */
	char task[BATCH_TASK_NAME_MAX];
	uint32_t run;
	enum batch_end how;
	char *saved;
};

enum host_state { HOST_UP, HOST_MOVING, HOST_MAINTAINED, HOST_DOWN };

struct order_host {
	char name[CS_NAME_MAX];
	char pool[CS_NAME_MAX];
	char data_centre[CS_NAME_MAX];
	char server[CS_NAME_MAX]; /* that runs on it now, or "" */
	enum host_state state;
};

struct order_ticket {
	char server[CS_NAME_MAX];
	char *ticket;
};

struct order_done {
	enum order_type type;
	uint64_t ref;
	cs_handle server;
	uint64_t token; /* of the order */
	enum order_result result;
	enum order_reason reason;
	cs_time sent, received;
	int64_t clock_ms; /* the server's clock; -1: not told */
	uint64_t born; /* the incarnation's start; 0: not told */
	GPtrArray *runs; /* struct order_run */
	GPtrArray *ends; /* struct order_end */
	GPtrArray *hosts; /* struct order_host */
	GPtrArray *tickets; /* struct order_ticket */
	int64_t validity_ms; /* of the tickets */
	char *next_page; /* NULL: the list of hosts is complete */
};

struct order *order_new(enum order_type type);
void order_free(struct order *order);

/* An answer to order: not sent, with empty lists, until it is filled in. */
struct order_done *order_done_new(const struct order *order);
void order_done_free(struct order_done *done);

const char *order_type_name(enum order_type type);
const char *order_result_name(enum order_result result);
const char *order_reason_name(enum order_reason reason);

#endif
