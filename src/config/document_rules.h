#ifndef CONFIG_DOCUMENT_RULES_H
#define CONFIG_DOCUMENT_RULES_H

#include "document.h"

/*
 * True if the availability budgets allow that one more host, this one, is
 * down. If not, the reason is appended to why.
 */
bool document_check_stop(const struct document *doc,
			 const struct doc_host *host, GString *reason);

/* True if rack, data centre or pool of a host differ. */
bool document_host_differs(const struct doc_host *a, const struct doc_host *b);

/* The team that holds a key, or NULL. O(number of keys). */
const struct doc_team *document_key_team(const struct document *doc,
					 const uint8_t digest[CS_DIGEST_LEN]);

#endif
