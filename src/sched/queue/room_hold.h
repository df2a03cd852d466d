#ifndef SCHED_QUEUE_ROOM_HOLD_H
#define SCHED_QUEUE_ROOM_HOLD_H

#include "job.h"
#include "no_room.h"

/*
 * Room that is held back for tasks that found none for some time. Without it
 * smaller tasks take each piece of room that becomes free, and a large one
 * never starts while there are enough of them.
 */

struct pool;
struct sched;
struct server;

/* Most servers of a pool on which room is held back at the same time. */
#define ROOM_HOLDS_MAX 8

struct room_hold {
	cs_handle job, server;
	struct site_resources need;
};

struct room_holds {
	struct room_hold rows[ROOM_HOLDS_MAX];
	int nr;
	/* Of the tasks that started lately, smoothed. */
	double started_cpu, started_memory_mb;
	struct no_room no_server; /* needs without a server, in this pass */
};

/* A server as the choice sees it. */
struct room_hold_server {
	struct site_resources capacity, used;
	struct site_resources lasting; /* of used; does not end by itself */
	bool may_hold; /* the task may run there, and nothing is held yet */
};

/* Holds that a pool of that many servers may have. */
int room_holds_max(guint servers_nr);
/* Takes note of a start in the pool. */
void room_holds_note_start(struct room_holds *holds,
			   struct site_resources need);
/* True if tasks that start in the pool are much smaller. */
bool room_hold_is_large(const struct room_holds *holds,
			struct site_resources need);
/* True if the job has lacked room long enough and its start is still of use. */
bool room_hold_is_due(const struct job *j, cs_time now);
/*
 * The server that lacks the least for need, so that it has room first; -1 if
 * none is large enough.
 */
int room_hold_choose(const struct room_hold_server *servers, int nr,
		     struct site_resources need);

/* The first waiting task of the job that needs room for itself alone. */
bool room_hold_find_task(struct job *j, struct task_ref *ref);
/* Before a pass: drops holds without use, and reserves the room of the others.
 */
void room_holds_begin(struct sched *s, struct pool *p, cs_time now);
/* Releases the room of a job's hold for its attempt. True if it has one. */
bool room_holds_release(struct sched *s, struct pool *p, const struct job *j);
/* After the attempt: keeps the hold, makes one, or drops it. */
void room_holds_settle(struct sched *s, struct pool *p, struct job *j,
		       bool has_started, cs_time now);
/* True if room is held back on the server for another job. */
bool room_holds_has(const struct pool *p, const struct server *v,
		    const struct job *j);
/* True if the job has a hold or can get one. */
bool room_holds_may_keep(struct pool *p, const struct job *j);
/*
 * After room_holds_release(): holds back what the job lacks on that server, or,
 * if it is NULL, what was held where it was.
 */
void room_holds_keep(struct sched *s, struct pool *p, const struct job *j,
		     const struct server *v);
/* After a pass: what is reserved is room for the search of the next pass. */
void room_holds_end(struct sched *s, struct pool *p);

#endif
