#ifndef CLAIM_MAP_H
#define CLAIM_MAP_H

#include "../camphorshed.h"

/*
 * The claims map: which entry incarnation decides the claims of each of 64
 * partitions of the identifier space (its owner), and which one keeps a copy
 * of them (its replica).
 *
 * An owner with a replica grants nothing without the replica's
 * acknowledgement, so a replica may become owner at any time. If a new owner
 * may lack claims of the partition, the partition is incomplete: the owner
 * answers "unknown" to new identifiers for one window, counted on its own
 * clock from the moment it learned of its ownership, and then marks the
 * partition complete in the map.
 */

#define CLAIM_PARTITIONS 64

/*
 * Draining members that the map can list. A draining member beyond that may be
 * assigned partitions again.
 */
#define CLAIM_LEAVING_MAX 32

/* One incarnation of an entry; an empty name means none. */
struct claim_member {
	char entry[CS_NAME_MAX];
	uint64_t incarnation;
};

struct claim_partition {
	struct claim_member owner;
	struct claim_member replica;
	bool is_synced; /* the replica has all claims of the owner */
	bool is_incomplete; /* the owner may lack claims of the window */
};

/* The fields may be read directly; only the functions below change them. */
struct claim_map {
	char change_id[48]; /* of the last write */
	struct claim_partition partitions[CLAIM_PARTITIONS];
	struct claim_member leaving[CLAIM_LEAVING_MAX]; /* draining */
	size_t leaving_nr;
};

/* Liveness of the members as seen by the entry that changes the map. */
struct claim_membership {
	const struct claim_member *live; /* connected ones, self included */
	size_t nr;
	/* True if that incarnation is confirmed dead. */
	bool (*is_dead)(void *ctx, const struct claim_member *m);
	/* True if it was unreachable for so long that it is replaced. */
	bool (*is_silent)(void *ctx, const struct claim_member *m);
	void *ctx;
};

bool claim_member_equal(const struct claim_member *a,
			const struct claim_member *b);
bool claim_member_is_none(const struct claim_member *m);

/* The partition of an identifier's digest. */
uint32_t claim_partition_of(const uint8_t digest[16]);

/*
 * Initializes the first map of a fleet: self owns all partitions. No claim was
 * granted before there was a map, so all partitions are complete.
 */
void claim_map_init(struct claim_map *map, const struct claim_member *self);

/*
 * Makes the changes that self is allowed to make. It takes over partitions of
 * which it is the replica and the owner is silent, and partitions whose owner
 * and replica are dead. As owner it replaces silent replicas, and hands
 * partitions over to members that own fewer. Returns the number of changes.
 * With assume_complete, a takeover ignores that claims may be missing; this is
 * for the mutant "claim-forget".
 */
size_t claim_map_assign(struct claim_map *map, const struct claim_member *self,
			const struct claim_membership *members,
			bool assume_complete);

/*
 * Set a flag of a partition on behalf of its owner. Return CS_ERR_DENIED if
 * self is not the owner or if the partition has another replica.
 */
int claim_map_set_synced(struct claim_map *map, uint32_t partition,
			 const struct claim_member *self,
			 const struct claim_member *replica);
int claim_map_set_complete(struct claim_map *map, uint32_t partition,
			   const struct claim_member *self);

/*
 * Makes the live, synchronized replicas owners of the partitions of self,
 * which drains, and lists self as leaving, so that it gets no new ones.
 * Returns the number of changes.
 */
size_t claim_map_hand_over(struct claim_map *map,
			   const struct claim_member *self,
			   const struct claim_membership *members);

/*
 * True if every partition has an owner and, if it has one, a different member
 * as replica.
 */
bool claim_map_is_valid(const struct claim_map *map);

#endif
