#ifndef SCHED_QUEUE_ACCEPTED_WORK_H
#define SCHED_QUEUE_ACCEPTED_WORK_H

#include "../../camphorshed.h"

/*
 * Bounds the memory that the owner holds for accepted jobs. Each workspace has
 * a row, which is charged where memory is taken. The budget decides whose
 * submissions the entries refuse; the part of each workspace follows its
 * weight. No clock and no encoding. See docs/design/accepted-work.md.
 */
struct accepted_work;

/*
 * The size of a budget: configured unless that is 0, else a share of the memory
 * of the machine, but no more than the smallest usual machine can hold, as that
 * may be the next owner.
 */
size_t accepted_work_size(size_t configured, size_t memory);

/* max: bytes of all workspaces together; 0: no bound. */
struct accepted_work *accepted_work_create(size_t max);
void accepted_work_destroy(struct accepted_work *work);

/* The row of a workspace, which is created if there is none. */
int accepted_work_row(struct accepted_work *work, const char *workspace);

/*
 * Takes over the weights of a configuration: accepted_work_clear_weights, then
 * accepted_work_set_weight for each workspace. Those without one have no part.
 */
void accepted_work_clear_weights(struct accepted_work *work);
void accepted_work_set_weight(struct accepted_work *work, const char *workspace,
			      int64_t weight);

/* Replaces the from bytes that were charged for a job by to bytes. */
void accepted_work_charge(struct accepted_work *work, int row, size_t from,
			  size_t to);

size_t accepted_work_bytes(const struct accepted_work *work);

/*
 * True if submissions of the workspace are to be refused: all workspaces
 * together hold half of the budget, and this one has its part. The parts add up
 * to the budget, so a workspace that holds less is never refused for others.
 */
bool accepted_work_is_full(const struct accepted_work *work, int row);

struct accepted_work_state {
	const char *workspace;
	size_t bytes, part;
	bool is_full;
	bool is_new; /* is_full was different in the last report */
};
typedef void (*accepted_work_fn)(void *ctx,
				 const struct accepted_work_state *state);
/* True if a workspace has become full since the last report. */
bool accepted_work_is_report_due(const struct accepted_work *work);
/* Reports each workspace. */
void accepted_work_report(struct accepted_work *work, accepted_work_fn fn,
			  void *ctx);

#endif
