#ifndef SCHED_RUNS_INCARNATION_H
#define SCHED_RUNS_INCARNATION_H

#include "server.h"

struct sched;

/*
 * Another incarnation has the identifier of the server. It gets no orders until
 * incarnation_start_next().
 */
void incarnation_note_next(struct sched *s, struct server *v,
			   uint64_t started_unix_ms, const char *why,
			   cs_time now);
/*
 * Makes the next incarnation the present one, which has to list its runs. Runs
 * that may be of either one stay in the table.
 */
void incarnation_start_next(struct sched *s, struct server *v, cs_time now);
/*
 * The incarnation has listed its runs under a token that rejects all orders to
 * former ones.
 */
void incarnation_taken_over(struct sched *s, struct server *v, cs_time now);
/*
 * When a lease has ended that an order to a former incarnation gave this one;
 * 0: there is none.
 */
cs_time incarnation_inherited_lease_end(const struct sched *s,
					const struct server *v);
/*
 * When a lease that a predecessor gave a server that has not answered yet has
 * ended; 0: there is none. One that has started lately may have got it by the
 * clock of its former incarnation.
 */
cs_time incarnation_predecessor_end(const struct sched *s,
				    const struct server *v);
/* The longest lease that servers allow, by the slowest of their clocks. */
cs_time incarnation_longest_lease_us(const struct sched *s);
/* False if the server may have started again since its last answer. */
bool incarnation_is_certain(const struct server *v);
/* True if the order may have reached a former incarnation. */
bool incarnation_is_stale(const struct server *v, const struct order_reply *d);
/*
 * Takes over the reading of the server's clock in a reply, unless it is of
 * another incarnation. Requests the list of a server whose clock has jumped.
 */
void incarnation_read_clock(struct sched *s, struct server *v,
			    const struct order_reply *d, cs_time now);

#endif
