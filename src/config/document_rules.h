#ifndef CONFIG_DOCUMENT_RULES_H
#define CONFIG_DOCUMENT_RULES_H

#include "document.h"

/*
 * True if the availability budgets allow this host, which is in service, to be
 * stopped. Otherwise appends the reason.
 */
bool document_check_stop(const struct document *doc,
			 const struct doc_host *host, GString *reason);

/* True if the rack, data centre or pool differs. */
bool document_host_differs(const struct doc_host *a, const struct doc_host *b);

/* The team to which a key is granted, or NULL. O(number of keys). */
const struct doc_team *document_key_team(const struct document *doc,
					 const uint8_t digest[CS_DIGEST_LEN]);

#endif
