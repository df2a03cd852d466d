#ifndef SCHED_START_WINDOW_H
#define SCHED_START_WINDOW_H

#include "../../camphorshed.h"

/*
 * How many starts may be without a reply at the same time. The owner's link or
 * processor may carry less than the fleet could run. Without a limit the queue
 * in front of it grows until renewals of leases wait in it too: leases of
 * servers lapse, and the ownership is lost.
 */
struct start_window {
	double size; /* starts */
	double delay_us; /* smoothed time to the reply */
	cs_time changed_at;
};

void start_window_init(struct start_window *window);
/* A start got its reply, or none within its timeout, after delay. */
void start_window_on_reply(struct start_window *window, cs_time delay,
			   cs_time now);
int start_window_size(const struct start_window *window);

#endif
