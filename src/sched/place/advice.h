#ifndef SCHED_PLACE_ADVICE_H
#define SCHED_PLACE_ADVICE_H

#include "../queue/job.h"
#include "../runs/server.h"

struct sched;
struct advice;

struct advice *advice_create(void);
void advice_destroy(struct advice *a);
/* The valid ticket of a server for a step, or NULL. */
const char *advice_ticket(const struct sched *s, const struct job *j,
			  int occurrence, int step, const struct server *v,
			  cs_time now);
/* Requests tickets for a step unless valid ones are known or requested. */
void advice_request(struct sched *s, const struct job *j, int occurrence,
		    int step, cs_time now);
void advice_drop_ticket(struct sched *s, const struct job *j, int occurrence,
			int step, const struct server *v);
void advice_on_reply(struct sched *s, const struct order_reply *d, cs_time now);

#endif
