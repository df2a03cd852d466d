#ifndef LEDGER_PLAN_H
#define LEDGER_PLAN_H

#include "ledger.h"

/*
 * Decides how one entry changes the ledger documents: what it takes, gives,
 * asks for, sends and reclaims. The functions work on a copy of a document
 * and know nothing of how it is written; when the write is refused, the same
 * rules are applied to the newer document.
 */

/* One team as this entry uses it. */
struct ledger_usage {
	char team[CS_NAME_MAX];
	int used; /* permits of running tasks */
	int waiting; /* more that queued work could use now */
	int withheld; /* permits not to be used again, to be given up */
	cs_time refused_at; /* last refusal for want of a permit */
	cs_time contended_since; /* since when others lack a fair part; 0: not
				  */
	cs_time idle_since; /* since when permits lie unused; 0: not */
};

/* What an entry knows when it plans. */
struct ledger_plan_input {
	const char *entry;
	uint64_t incarnation;
	cs_time now;
	const struct ledger *reserve; /* NULL: not known yet */
	GPtrArray *others; /* struct ledger: the other data centres */
	GArray *usages; /* struct ledger_usage, by team */
	int rank, entries_nr; /* place among all configured entries */
	int64_t run_ms; /* longest run of tasks that run or wait */
	bool is_draining;
	/* True if that incarnation answers peers. */
	bool (*is_live)(void *ctx, const char *entry, uint64_t incarnation);
	/* True if the entry is confirmed dead. */
	bool (*is_dead)(void *ctx, const char *entry);
	/* True if the mark was seen for so long that tasks have ended. */
	bool (*can_reclaim)(void *ctx, const struct ledger_holder *h);
	void *ctx;
};

/* How soon a change should be written. */
enum ledger_urgency {
	LEDGER_WRITE_NONE,
	LEDGER_WRITE_DEFERRED, /* within seconds, so that entries don't race */
	LEDGER_WRITE_SOON, /* at once but for a short jitter */
	LEDGER_WRITE_NOW
};

/* Permits that stay at an entry while nobody asks for them. */
int64_t ledger_base_share(const struct ledger_plan_input *in, int64_t limit);

/* Changes own, a copy of the document of this entry's data centre. */
enum ledger_urgency ledger_plan_own(struct ledger_plan_input *in,
				    struct ledger *own);

/*
 * Changes reserve, a copy of the reserve; own is the document of this entry's
 * data centre. limits are those of the fleet document in force.
 */
enum ledger_urgency ledger_plan_reserve(struct ledger_plan_input *in,
					struct ledger *reserve,
					const struct ledger *own,
					uint64_t revision,
					const struct ledger_limit *limits,
					size_t limits_nr);

#endif
