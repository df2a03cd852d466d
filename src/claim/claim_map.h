#ifndef CLAIM_MAP_H
#define CLAIM_MAP_H

#include "../camphorshed.h"

/*
 * The claims map: which entry incarnation decides the claims of each of 64
 * partitions of the identifier space, and which one keeps a copy.
 *
 * Rules: an owner with a copy grants nothing without the copy's
 * acknowledgement, so a copy may become owner at any time. Whoever becomes
 * owner without the whole memory of the partition makes it blank: it then
 * answers "unknown" for one window, counted on its own clock from the moment
 * it learned of its ownership, and ends the blank state in the map.
 */

#define CLAIM_PARTITIONS 64

/* Members that drain at once; more of them are given partitions again. */
#define CLAIM_LEAVING_MAX 32

/* One incarnation of an entry; an empty name means none. */
struct claim_member {
	char entry[CS_NAME_MAX];
	uint64_t incarnation;
};

struct claim_partition {
	struct claim_member owner;
	struct claim_member replica;
	bool is_synced; /* the copy knows every claim of the window */
	bool is_incomplete; /* the owner does not know every claim */
};

/* Read freely; changed only through the functions below. */
struct claim_map {
	char change_id[48]; /* of the last write */
	struct claim_partition partitions[CLAIM_PARTITIONS];
	struct claim_member leaving[CLAIM_LEAVING_MAX];
	size_t leaving_nr;
};

/* What is known of the members by whoever changes the map. */
struct claim_membership {
	const struct claim_member *live; /* those that answer, self included */
	size_t nr;
	/* True if that incarnation is confirmed dead. */
	bool (*is_dead)(void *ctx, const struct claim_member *m);
	/* True if it has not answered for so long that it is replaced. */
	bool (*is_silent)(void *ctx, const struct claim_member *m);
	void *ctx;
};

bool claim_member_is(const struct claim_member *a,
		     const struct claim_member *b);
bool claim_member_is_none(const struct claim_member *m);

/* The partition of an identifier's digest. */
uint32_t claim_partition_of(const uint8_t digest[16]);

/*
 * The first map of a fleet: self owns all. No claim was ever granted without
 * a map, so nothing is blank.
 */
void claim_map_init(struct claim_map *map, const struct claim_member *self);

/*
 * Applies what self may change: takes over where self is copy of an owner
 * that is silent, or where owner and copy are dead; as owner replaces silent
 * copies, and hands partitions over to owners that have fewer. Returns the
 * number of partitions changed. With forget, a takeover ignores that memory
 * is missing; it exists for the mutant of that name.
 */
size_t claim_map_assign(struct claim_map *map, const struct claim_member *self,
			const struct claim_membership *members,
			bool assume_complete);

/*
 * Changes that the owner asks for. CS_ERR_DENIED if self is not the owner, or
 * if the copy is not the one named.
 */
int claim_map_set_synced(struct claim_map *map, uint32_t partition,
			 const struct claim_member *self,
			 const struct claim_member *replica);
int claim_map_set_complete(struct claim_map *map, uint32_t partition,
			   const struct claim_member *self);

/*
 * A draining owner gives its partitions to their copies, and is named as
 * leaving, so that nobody gives it new ones.
 */
size_t claim_map_hand_over(struct claim_map *map,
			   const struct claim_member *self,
			   const struct claim_membership *members);

/* True if every partition obeys the rules of this file. */
bool claim_map_is_valid(const struct claim_map *map);

#endif
