#ifndef SCHED_RUNS_RUNS_H
#define SCHED_RUNS_RUNS_H

#include "../queue/job.h"
#include "server.h"

struct sched;

struct run *run_row(const struct sched *s, cs_handle h);
struct run *runs_start(struct sched *s, const struct task_ref *ref,
		       struct server *v, uint32_t number, const char *ticket,
		       cs_time now);
struct run *runs_adopt(struct sched *s, const struct task_ref *ref,
		       struct server *v, uint32_t number, cs_time now);
void runs_stop(struct sched *s, struct run *r, const char *why, cs_time now);
/* Sends the stop of a run again, for the same reason. */
void runs_repeat_stop(struct sched *s, struct run *r, cs_time now);
/* Records the end of a run and frees its row. */
void runs_ended(struct sched *s, struct run *r, enum batch_end how,
		const char *checkpoint, cs_time now);
void runs_on_start(struct sched *s, struct server *v,
		   const struct order_reply *d, cs_time now);
void runs_on_stop(struct sched *s, struct server *v,
		  const struct order_reply *d, cs_time now);
/* Reconciles the complete list of runs of a server with the table of runs. */
void runs_reconcile(struct sched *s, struct server *v,
		    const struct order_reply *d, cs_time now);
void runs_handle_ends(struct sched *s, struct server *v,
		      const struct order_reply *d, cs_time now);
void runs_stop_all(struct sched *s, struct job *j, const char *why,
		   cs_time now);
/* Orders a stop of a run that has no row, or has the server reject it. */
void runs_order_stop(struct sched *s, struct server *v, const char *task,
		     uint32_t number);
/*
 * Logs and counts each run that takes far longer than predicted, once: the
 * prediction was too short, its progress stands still, or its server is silent.
 */
void runs_check_tails(struct sched *s, cs_time now);
/* Number of runs of a step on a server. */
int runs_of_step(const struct sched *s, const struct server *v,
		 const struct job *j, int occurrence, int step);

#endif
