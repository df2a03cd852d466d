#ifndef LEDGER_PLAN_H
#define LEDGER_PLAN_H

#include "ledger.h"

/*
 * Decides how one entry changes the ledger documents: which permits it
 * assigns to itself, returns, asks for, sends and reclaims. The functions work
 * on a copy of a document and are independent of how it is written; after a
 * conflict, the same rules are applied to the newer document.
 */

/* How this entry uses the permits of one team. */
struct ledger_usage {
	char team[CS_NAME_MAX];
	int used; /* permits of running tasks */
	int waiting; /* more that queued work could use now */
	int withheld; /* held, but kept from new tasks, to be given up */
	cs_time refused_at; /* last refusal because no permit was free */
	cs_time contended_since; /* others lack permits since; 0: they don't */
	cs_time idle_since; /* permits are unused since; 0: none are */
};

/* What an entry knows when it plans. */
struct ledger_plan_input {
	const char *entry;
	uint64_t incarnation;
	cs_time now;
	const struct ledger *reserve; /* NULL: not known yet */
	GPtrArray *others; /* struct ledger: the other data centres */
	GArray *usages; /* struct ledger_usage, by team */
	int rank, entries_nr; /* position among all configured entries */
	int64_t run_ms; /* longest run of tasks that run or wait */
	bool is_draining;
	/* True if this entry is connected to that incarnation. */
	bool (*is_live)(void *ctx, const char *entry, uint64_t incarnation);
	/* True if the entry is confirmed dead. */
	bool (*is_dead)(void *ctx, const char *entry);
	/* True if all tasks of a marked holder have certainly ended. */
	bool (*can_reclaim)(void *ctx, const struct ledger_holder *h);
	void *ctx;
};

/* How soon a change should be written. */
enum ledger_urgency {
	LEDGER_WRITE_NONE,
	LEDGER_WRITE_DEFERRED, /* within seconds, so that entries don't race */
	LEDGER_WRITE_SOON, /* after a short random delay */
	LEDGER_WRITE_NOW
};

/*
 * Permits that an entry holds without work for them, unless others need them:
 * an equal part of the limit; 0 while it drains.
 */
int64_t ledger_base_share(const struct ledger_plan_input *in, int64_t limit);

/* Changes own, a copy of the document of this entry's data centre. */
enum ledger_urgency ledger_plan_own(struct ledger_plan_input *in,
				    struct ledger *own);

/*
 * Changes reserve, a copy of the reserve's document; own is the document of
 * this entry's data centre. limits are those of the fleet document in force.
 */
enum ledger_urgency ledger_plan_reserve(struct ledger_plan_input *in,
					struct ledger *reserve,
					const struct ledger *own,
					uint64_t revision,
					const struct ledger_limit *limits,
					size_t limits_nr);

#endif
