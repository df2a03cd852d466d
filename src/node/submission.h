#ifndef NODE_SUBMISSION_H
#define NODE_SUBMISSION_H

#include "../batch/batch.h"

/*
 * The notice of an entry to the owner that it has stored a job. The owner
 * learns of the job from its watch as well, but later if the store is slow.
 */
struct submission {
	char id[BATCH_ID_MAX];
	uint64_t revision; /* of the job's key */
	/*
	 * The job was stored on the condition of this revision of the owner's
	 * key, so no other entry was the owner before.
	 */
	uint64_t owner_revision;
	GBytes *value; /* of the job's key */
};

/* Copies id and takes a reference to value. */
struct submission *submission_new(const char *id, uint64_t revision,
				  uint64_t owner_revision, GBytes *value);
void submission_free(struct submission *submission);

#endif
