#ifndef BASE_TIMERS_H
#define BASE_TIMERS_H

#include "../camphorshed.h"

/*
 * One-shot timers without a clock of their own: the owner passes the time. The
 * callback of a periodic timer subscribes again.
 */
struct timers;

typedef void (*timer_fn)(void *ctx, uint64_t arg, cs_time now);

struct timers *timers_create(void);
void timers_destroy(struct timers *timers);

/*
 * Calls fn(ctx, arg, now) once when timers_advance() reaches due. Returns a
 * handle for timers_cancel(), or 0 if out of memory.
 */
cs_handle timers_subscribe(struct timers *timers, cs_time due, timer_fn fn,
			   void *ctx, uint64_t arg);

/* Returns false if the timer has already run or was cancelled. */
bool timers_cancel(struct timers *timers, cs_handle timer);

/*
 * Runs every timer that is due at now, the earliest first, in order of
 * subscription for equal times. It stops at a timer that was subscribed during
 * the call, which runs in the next one, so that the call always returns.
 */
void timers_advance(struct timers *timers, cs_time now);

/* Runs the earliest timer if it is due at now. Returns false if none is. */
bool timers_run_one(struct timers *timers, cs_time now);

/* The earliest due time, or CS_TIME_NEVER if there is no timer. */
cs_time timers_next_due(const struct timers *timers);

#endif
