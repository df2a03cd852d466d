#ifndef PEER_LINK_H
#define PEER_LINK_H

#include "../entry/bus.h"

/*
 * The task that connects an entry to the other entries. Each pair of entries
 * has one connection, opened by the entry with the lower identifier. Both sides
 * prove that they know the shared secret before any message is accepted.
 */
struct peer_link;

struct peer_link_options {
	char id[CS_NAME_MAX];
	char data_centre[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX]; /* to listen on */
	uint64_t incarnation;
	uint8_t secret[CS_DIGEST_LEN]; /* digest of the shared secret */
	const struct entry_peer *peers; /* copied */
	size_t peers_nr;
};

struct peer_link *peer_link_create(const struct peer_link_options *options,
				   struct bus *bus, struct cs_error *err);
void peer_link_destroy(struct peer_link *link);

#endif
