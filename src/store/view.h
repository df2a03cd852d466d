#ifndef STORE_VIEW_H
#define STORE_VIEW_H

#include "../base/timers.h"
#include "store_calls.h"

/*
 * A view: a prefix of the store, read once and kept current by watching it.
 * When the store has dropped the history that a watch needs, the view reads
 * the prefix again and reports as deleted what is no longer there.
 */
struct view;

struct view_ops {
	/* A key was written; item is good only during the call. */
	void (*on_put)(void *ctx, const struct store_item *item, cs_time now);
	void (*on_delete)(void *ctx, const char *key, cs_time now);
	/* The prefix has been read whole for the first time, or again. */
	void (*on_synced)(void *ctx, cs_time now);
};

struct view_options {
	const char *prefix;
	int64_t wait_ms; /* of one watch */
	int64_t slack_ms; /* beyond it, until the connection counts as dead */
	int64_t gap_ms; /* after changes, in which others gather */
};

/* Begins to read at once. All arguments but options must outlive the view. */
struct view *view_create(const struct view_options *options,
			 struct store_calls *calls, struct timers *timers,
			 const struct view_ops *ops, void *ctx, cs_time now);
void view_destroy(struct view *view);

/* True once the prefix has been read whole. */
bool view_is_synced(const struct view *view);

/*
 * The latest time for which the view is known to have been current, or 0. It
 * is when the last call that succeeded was sent.
 */
cs_time view_current_at(const struct view *view);

#endif
