#include "start_window.h"

#include <glib.h>

/*
 * Additive increase and multiplicative decrease on the smoothed delay, so that
 * single servers that do not answer change little. The delay is held under the
 * time that a renewal of the owner's lease may take, which is 0.5 s.
 */
#define DELAY_HIGH_US (150.0 * CS_MSEC)
#define DELAY_LOW_US (80.0 * CS_MSEC)
/* Weight of a new delay in the smoothed one. */
#define DELAY_WEIGHT 0.05
#define WINDOW_MIN 8.0
#define WINDOW_MAX 1024.0
/* 3,700 starts a second with a reply after 20 ms need 74. */
#define WINDOW_INITIAL 256.0
#define DECREASE 0.8
/* Growth of the window in the time in which each start of it gets its reply. */
#define INCREASE 2.0
/* A change takes effect in the delay after about this time. */
#define DECREASE_INTERVAL_US (150 * CS_MSEC)

void start_window_init(struct start_window *w)
{
	w->size = WINDOW_INITIAL;
	w->delay_us = 0;
	w->changed_at = 0;
}

void start_window_on_reply(struct start_window *w, cs_time delay, cs_time now)
{
	w->delay_us += DELAY_WEIGHT * ((double)delay - w->delay_us);
	if (w->delay_us < DELAY_LOW_US) {
		w->size = MIN(w->size + INCREASE / w->size, WINDOW_MAX);
	} else if (w->delay_us > DELAY_HIGH_US &&
		   now - w->changed_at >= DECREASE_INTERVAL_US) {
		w->size = MAX(w->size * DECREASE, WINDOW_MIN);
		w->changed_at = now;
	}
}

int start_window_size(const struct start_window *w)
{
	return (int)w->size;
}
