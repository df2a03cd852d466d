#ifndef BATCH_BATCH_CODEC_H
#define BATCH_BATCH_CODEC_H

#include "batch.h"

/*
 * The stored encoding of a batch: the submission, written once, and its
 * progress, written again after changes. Both are msgpack arrays that begin
 * with a format number; any other format number is refused.
 */

/*
 * With the pools in which its tasks may start before any other record says so.
 */
GBytes *batch_encode_submission(const struct batch *b);
/* NULL if the bytes are not a submission. */
struct batch *batch_decode_submission(const void *data, size_t size);

GBytes *batch_encode_progress(const struct batch *b);
/*
 * Adds stored progress to a batch that has none yet. CS_ERR_INVALID if the
 * bytes are malformed or do not match the batch; the batch may then have a part
 * of the progress, and must not be used.
 */
int batch_decode_progress(struct batch *b, const void *data, size_t size);
/*
 * Decodes only the state and the workspace, for a reply to a caller. The
 * workspace is "" if an earlier version stored the progress.
 */
int batch_decode_state(const void *data, size_t size, enum batch_state *state,
		       char workspace[SITE_NAME_MAX]);

#endif
