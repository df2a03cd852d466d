#include "submission.h"

#include "../base/error.h"

struct submission *submission_new(const char *id, uint64_t revision,
				  uint64_t owner_revision, GBytes *value)
{
	struct submission *s = g_new0(struct submission, 1);

	cs_copy(s->id, sizeof(s->id), id);
	s->revision = revision;
	s->owner_revision = owner_revision;
	s->value = g_bytes_ref(value);
	return s;
}

void submission_free(struct submission *s)
{
	if (!s)
		return;
	g_bytes_unref(s->value);
	g_free(s);
}
