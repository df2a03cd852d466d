#ifndef SCHED_RUNS_GRANTS_H
#define SCHED_RUNS_GRANTS_H

#include "server.h"

struct sched;

/*
 * Grants: which servers may have orders of an owner. One is stored before the
 * first start at a server, and removed when the server has certainly ended.
 */
struct grants *grants_create(void);
void grants_destroy(struct grants *grants);
/* A server may need a grant. */
void grants_wake(struct sched *s);
/* Takes over what is known of the grant of a server that has got a row. */
void grants_take_row(struct sched *s, struct server *v);
/*
 * True if the stored grant tells a successor how long the leases last that
 * orders by the clock of a former incarnation may have given.
 */
bool grants_tell_leases(const struct sched *s, const struct server *v);
/* Neither the stored grant of a server counts nor one that is being stored. */
void grants_invalidate(struct server *v);
/*
 * Marks the grant of a server for removal from the store. The server gets no
 * other one until the removal is known to be done: a removal that got no reply
 * and is carried out late must not remove a grant that was stored after it.
 */
void grants_end(struct sched *s, const char *id);
/* Number of grants that are marked. */
guint grants_count_ended(const struct sched *s);
/*
 * Number of servers of a pool without a row that may have a lease of a
 * predecessor.
 */
guint grants_count_unlisted(const struct sched *s, const char *pool);
/* Ends the grants of servers without a row whose leases have ended. */
void grants_check(struct sched *s, cs_time now);

#endif
