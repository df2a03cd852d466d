#ifndef SCHED_RUN_TIMES_CODEC_H
#define SCHED_RUN_TIMES_CODEC_H

#include "run_times.h"

/*
 * The stored encoding of what is known of run times: a msgpack array with a
 * name, a format number and the groups, those of queues and steps first, then
 * those of workspaces as far as there is room, the one used last first. Groups
 * of jobs are not stored.
 */

/* Written every 15 s, this is 2.2 KB a second at most. */
#define RUN_TIMES_BYTES_MAX ((size_t)32 * 1024)

GBytes *run_times_encode(const struct run_times *run_times);
/*
 * NULL if the bytes are not what run_times_encode() returned, are of another
 * format, or a value is out of range.
 */
struct run_times *run_times_decode(const void *data, size_t size);

#endif
