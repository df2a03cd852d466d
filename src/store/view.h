#ifndef STORE_VIEW_H
#define STORE_VIEW_H

#include "../base/timers.h"
#include "store_calls.h"

/*
 * A view follows a prefix of the store: it lists the keys once, then watches
 * for changes. When the store has dropped the history that the watch needs, the
 * view lists the prefix again and reports the missing keys as deleted.
 */
struct view;

struct view_ops {
	/* A key was written; item is valid only during the call. */
	void (*on_put)(void *ctx, const struct store_item *item, cs_time now);
	void (*on_delete)(void *ctx, const char *key, cs_time now);
	/* All keys have been listed, for the first time or again. */
	void (*on_synced)(void *ctx, cs_time now);
};

struct view_options {
	const char *prefix;
	int64_t wait_ms; /* longest time that one watch call waits */
	int64_t slack_ms; /* added to it for the call to a silent store */
	int64_t gap_ms; /* pause after changes, to get several at once */
};

/* Starts to list at once. All arguments but options must outlive the view. */
struct view *view_create(const struct view_options *options,
			 struct store_calls *calls, struct timers *timers,
			 const struct view_ops *ops, void *ctx, cs_time now);
void view_destroy(struct view *view);

/* True once all keys have been listed. */
bool view_is_synced(const struct view *view);

/*
 * The latest time at which the view is known to have been current, or 0: when
 * the last successful call was sent.
 */
cs_time view_current_at(const struct view *view);

#endif
