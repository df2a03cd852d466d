#ifndef RELAY_PAYLOADS_H
#define RELAY_PAYLOADS_H

/*
 * The payloads of the jobs whose tasks an owner has lately started through a
 * carrier. All tasks of a job have the same payload, so it crosses a connection
 * once. Both sides add the same payloads in the same order, so they agree on
 * which ones the other side still has.
 */
struct payloads;

struct payloads *payloads_create(void);
void payloads_destroy(struct payloads *payloads);

/*
 * Copies a payload; the oldest one is dropped beyond a fixed number of them.
 * task: the name of any task of the job.
 */
void payloads_add(struct payloads *payloads, const char *task,
		  const char *payload);
/* NULL if it was never added, or dropped. Valid until the next change. */
const char *payloads_find(const struct payloads *payloads, const char *task);

#endif
