#ifndef SCHED_QUEUE_ASSIGN_H
#define SCHED_QUEUE_ASSIGN_H

#include "../../camphorshed.h"

struct sched;

void assign_tasks(struct sched *s, cs_time now);

#endif
