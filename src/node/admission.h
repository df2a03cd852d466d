#ifndef NODE_ADMISSION_H
#define NODE_ADMISSION_H

#include "../batch/batch.h"
#include "../sched/queue/drain.h"

/*
 * Decides whether an entry refuses a submission, from what the owner has
 * published. It knows no store and no clock. See docs/design/admission.md.
 */
struct admission;

struct admission *admission_create(uint32_t seed);
void admission_destroy(struct admission *admission);

/*
 * Takes over what the owner published at unix_ms by its clock: admission_begin,
 * then admission_add for each queue. A queue without one refuses nothing.
 */
void admission_begin(struct admission *admission, int64_t unix_ms);
void admission_add(struct admission *admission, const char *queue,
		   const struct drain_summary *summary);

/* Adds a workspace whose submissions are refused until the next publication. */
void admission_add_full(struct admission *admission, const char *workspace);
/*
 * When a caller of a workspace that may not submit more may come again, ms; 0:
 * it may submit. What was published last holds, however old it is.
 */
int64_t admission_full_ms(struct admission *admission, const char *workspace);

/*
 * When the caller of a job may come again, ms; 0: the job is accepted. unix_ms:
 * the present time by the entry's clock.
 */
int64_t admission_refuse_ms(struct admission *admission, const char *queue,
			    const struct batch_spec *spec,
			    const struct site_terms *terms, int64_t unix_ms);

#endif
