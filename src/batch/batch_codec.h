#ifndef BATCH_BATCH_CODEC_H
#define BATCH_BATCH_CODEC_H

#include "batch.h"

/*
 * How a batch is stored: the submission, written once, and its progress,
 * written again with each change. Both are msgpack arrays that begin with a
 * format number; a newer format is refused.
 */

GBytes *batch_encode_submission(const struct batch *b);
/* NULL if the bytes are not a submission. */
struct batch *batch_decode_submission(const void *data, size_t size);

GBytes *batch_encode_progress(const struct batch *b);
/*
 * Adds stored progress to a batch that has none yet. CS_ERR_INVALID if the
 * bytes can't be read or do not fit the batch; it is then unchanged or partly
 * advanced, and must not be used.
 */
int batch_decode_progress(struct batch *b, const void *data, size_t size);
/* Reads only the state, for an answer to a caller. */
int batch_decode_state(const void *data, size_t size, enum batch_state *state);

#endif
