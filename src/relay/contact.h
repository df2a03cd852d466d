#ifndef RELAY_CONTACT_H
#define RELAY_CONTACT_H

#include "../camphorshed.h"

/*
 * How the other entries reach the owner: the value of its key in the store. An
 * entry that can read the key is trusted, so the key holds the secret of the
 * connections, which is another one for each start of an entry.
 */
struct relay_contact {
	char name[CS_NAME_MAX];
	uint64_t incarnation; /* differs between starts of one entry */
	char address[CS_ADDRESS_MAX]; /* "": the owner accepts no connections */
	uint8_t secret[CS_DIGEST_LEN];
};

/* "NAME INCARNATION ADDRESS SECRET", without the last two if there are none. */
char *relay_contact_format(const struct relay_contact *contact);
/* Parses untrusted text. Returns false if it is malformed. */
bool relay_contact_parse(const char *text, struct relay_contact *contact);

#endif
