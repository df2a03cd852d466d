#ifndef SCHED_RUNS_SERVERS_H
#define SCHED_RUNS_SERVERS_H

#include "server.h"

struct sched;
struct batch_step;

struct server *server_row(const struct sched *s, cs_handle h);
void servers_schedule_hold(struct sched *s, struct server *v, cs_time at);
void servers_on_hold(struct sched *s, struct server *v,
		     const struct order_reply *d, cs_time now);
/* An order to the present incarnation, with the timeout of short orders. */
struct order *servers_new_order(const struct server *v, enum order_type type);
/* A server has refused an order for its token. */
void servers_on_fenced(struct sched *s, const struct server *v,
		       const struct order_reply *d);
/*
 * Handles a reply from another server at the address: the addressed incarnation
 * has ended. A reply to an order for a former one tells nothing of the present
 * one, which may have another address.
 */
void servers_on_other_instance(struct sched *s, struct server *v,
			       const struct order_reply *d, cs_time now);
/* Requests the list of a server at once, even while a hold waits there. */
void servers_list_runs(struct sched *s, struct server *v, cs_time now);
void servers_on_list(struct sched *s, struct server *v,
		     const struct order_reply *d, cs_time now);
/* Updates the clock reading and reachability from any reply. */
void servers_on_reply(struct sched *s, struct server *v,
		      const struct order_reply *d, cs_time now);
/* Schedules holds that acknowledge the ends stored by now. */
void servers_ack_stored_ends(struct sched *s, cs_time now);
/* Reserves room on a server (sign 1), or releases it (sign -1). */
void servers_reserve(struct server *v, struct site_resources need, int sign);
/* Adds a run to those of its server and reserves its room. */
void servers_add_run(struct server *v, const struct run *r,
		     const struct batch_step *st);
/* The reverse of servers_add_run(). */
void servers_remove_run(struct server *v, const struct run *r,
			const struct batch_step *st);
/* Remembers to acknowledge the server's ends once they are stored. */
void servers_note_unstored(struct sched *s, struct server *v);
/* The deadline to send with an order, on the server's clock; 0: unknown. */
int64_t servers_deadline(struct server *v, cs_time now);
/* When all runs there have ended if the lease is not renewed again. */
cs_time servers_lease_end(const struct sched *s, const struct server *v);
/*
 * The incarnation has ended. Its runs count as lost once the ownership is
 * confirmed by a later call, since a successor may have recorded their ends
 * before.
 */
void servers_mark_dead(struct sched *s, struct server *v, const char *why,
		       cs_time now);
/* The same without a line in the log. */
void servers_end_incarnation(struct sched *s, struct server *v, cs_time now);
/*
 * Sets or clears a reason for which the server gets no starts. No effect if the
 * server has no row.
 */
void servers_set_cordon(struct sched *s, cs_handle server, enum cordon reason,
			bool is_set);
/* The pairs of a line of the log on a server, to which others may be added. */
GString *servers_describe(const struct server *v, const char *why);
/* Checks leases and removes rows that are no longer needed. */
void servers_check(struct sched *s, cs_time now);
/* True if it may have runs of a predecessor that are not known here. */
bool servers_may_have_unknown_runs(const struct sched *s,
				   const struct server *v);
/*
 * Finds the pools that are not settled: a server there may have runs of a
 * predecessor that are not known here.
 */
void servers_update_settled(struct sched *s);

#endif
