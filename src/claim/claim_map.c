#include "claim_map.h"

#include <assert.h>
#include <string.h>

#include "../base/error.h"

bool claim_member_equal(const struct claim_member *a,
			const struct claim_member *b)
{
	return a->incarnation == b->incarnation && !strcmp(a->entry, b->entry);
}

bool claim_member_is_none(const struct claim_member *m)
{
	return !*m->entry;
}

uint32_t claim_partition_of(const uint8_t digest[16])
{
	return digest[0] % CLAIM_PARTITIONS;
}

void claim_map_init(struct claim_map *map, const struct claim_member *self)
{
	size_t i;

	memset(map, 0, sizeof(*map));
	for (i = 0; i < CLAIM_PARTITIONS; i++)
		map->partitions[i].owner = *self;
}

/* Counts the partitions that m owns, and those it owns or is replica of. */
static void count_roles(const struct claim_map *map,
			const struct claim_member *m, size_t *owned,
			size_t *roles)
{
	size_t i;

	*owned = *roles = 0;
	for (i = 0; i < CLAIM_PARTITIONS; i++) {
		const struct claim_partition *p = &map->partitions[i];

		*owned += claim_member_equal(&p->owner, m);
		*roles += claim_member_equal(&p->owner, m) ||
			  claim_member_equal(&p->replica, m);
	}
}

static bool is_leaving(const struct claim_map *map,
		       const struct claim_member *m)
{
	size_t i;

	for (i = 0; i < map->leaving_nr; i++)
		if (claim_member_equal(&map->leaving[i], m))
			return true;
	return false;
}

/*
 * The live member with the fewest partitions, other than excluded and the
 * leaving ones; NULL if there is none.
 */
static const struct claim_member *least_loaded(
	const struct claim_map *map, const struct claim_membership *m,
	const struct claim_member *excluded, bool by_owned)
{
	const struct claim_member *best = NULL;
	size_t i, owned, roles, load, best_load = 0;

	for (i = 0; i < m->nr; i++) {
		if ((excluded && claim_member_equal(&m->live[i], excluded)) ||
		    is_leaving(map, &m->live[i]))
			continue;
		count_roles(map, &m->live[i], &owned, &roles);
		load = by_owned ? owned : roles;
		if (!best || load < best_load) {
			best = &m->live[i];
			best_load = load;
		}
	}
	return best;
}

static void clear_replica(struct claim_partition *p)
{
	memset(&p->replica, 0, sizeof(p->replica));
	p->is_synced = false;
}

/* The replica becomes owner; unless it was synchronized, it may lack claims. */
static void promote_replica(struct claim_partition *p, bool assume_complete)
{
	p->owner = p->replica;
	p->is_incomplete = (p->is_incomplete || !p->is_synced) &&
			   !assume_complete;
	clear_replica(p);
}

/* The owner and its synchronized replica exchange roles. */
static void swap_roles(struct claim_partition *p)
{
	struct claim_member owner = p->owner;

	assert(p->is_synced);
	p->owner = p->replica;
	p->replica = owner;
}

/*
 * Gives a partition a new owner if its owner is silent or dead; returns
 * whether it did.
 */
static bool take_over(struct claim_map *map, struct claim_partition *p,
		      const struct claim_member *self,
		      const struct claim_membership *m, bool assume_complete)
{
	const struct claim_member *successor;

	/* The owner can't grant without its replica: silence is enough. */
	if (claim_member_equal(&p->replica, self) &&
	    (m->is_silent(m->ctx, &p->owner) ||
	     m->is_dead(m->ctx, &p->owner))) {
		promote_replica(p, assume_complete);
		return true;
	}
	/* An owner without a replica grants alone: replaced only once dead. */
	if (!m->is_dead(m->ctx, &p->owner) ||
	    (!claim_member_is_none(&p->replica) &&
	     !m->is_dead(m->ctx, &p->replica)))
		return false;
	successor = least_loaded(map, m, NULL, true);
	if (!successor)
		return false;
	p->owner = *successor;
	p->is_incomplete = !assume_complete;
	clear_replica(p);
	return true;
}

/*
 * As owner, chooses a replica and balances the number of owned partitions.
 * Returns whether the partition was changed.
 */
static bool maintain_partition(struct claim_map *map, struct claim_partition *p,
			       const struct claim_member *self,
			       const struct claim_membership *m)
{
	const struct claim_member *other = least_loaded(map, m, self, false);
	size_t owned, roles, others_owned;

	if (!claim_member_is_none(&p->replica) &&
	    (m->is_silent(m->ctx, &p->replica) ||
	     m->is_dead(m->ctx, &p->replica) ||
	     (other && is_leaving(map, &p->replica)))) {
		clear_replica(p);
		if (other)
			p->replica = *other;
		return true;
	}
	if (claim_member_is_none(&p->replica)) {
		if (!other)
			return false;
		p->replica = *other;
		return true;
	}
	count_roles(map, self, &owned, &roles);
	count_roles(map, &p->replica, &others_owned, &roles);
	/* Acting on a difference of one would swap the roles back and forth. */
	if (p->is_synced && !p->is_incomplete &&
	    !is_leaving(map, &p->replica) && owned > others_owned + 1) {
		swap_roles(p);
		return true;
	}
	/* Prepares a handover to the member that owns the fewest. */
	other = least_loaded(map, m, self, true);
	if (!other || claim_member_equal(other, &p->replica) || !p->is_synced)
		return false;
	count_roles(map, other, &others_owned, &roles);
	if (owned <= others_owned + 1 || owned <= CLAIM_PARTITIONS / m->nr)
		return false;
	p->replica = *other;
	p->is_synced = false;
	return true;
}

size_t claim_map_assign(struct claim_map *map, const struct claim_member *self,
			const struct claim_membership *members,
			bool assume_complete)
{
	size_t i, changed = 0;

	for (i = 0; i < map->leaving_nr; i++)
		if (members->is_dead(members->ctx, &map->leaving[i])) {
			map->leaving[i--] = map->leaving[--map->leaving_nr];
			changed++;
		}
	for (i = 0; i < CLAIM_PARTITIONS; i++) {
		struct claim_partition *p = &map->partitions[i];

		if (claim_member_equal(&p->owner, self))
			changed += maintain_partition(map, p, self, members);
		else
			changed += take_over(map, p, self, members,
					     assume_complete);
	}
	assert(claim_map_is_valid(map));
	return changed;
}

int claim_map_set_synced(struct claim_map *map, uint32_t partition,
			 const struct claim_member *self,
			 const struct claim_member *replica)
{
	struct claim_partition *p = &map->partitions[partition];

	if (!claim_member_equal(&p->owner, self) ||
	    !claim_member_equal(&p->replica, replica))
		return CS_ERR_DENIED;
	p->is_synced = true;
	return CS_OK;
}

int claim_map_set_complete(struct claim_map *map, uint32_t partition,
			   const struct claim_member *self)
{
	struct claim_partition *p = &map->partitions[partition];

	if (!claim_member_equal(&p->owner, self))
		return CS_ERR_DENIED;
	p->is_incomplete = false;
	return CS_OK;
}

size_t claim_map_hand_over(struct claim_map *map,
			   const struct claim_member *self,
			   const struct claim_membership *members)
{
	size_t i, k, changed = 0;

	if (!is_leaving(map, self) && map->leaving_nr < CLAIM_LEAVING_MAX) {
		map->leaving[map->leaving_nr++] = *self;
		changed++;
	}
	for (i = 0; i < CLAIM_PARTITIONS; i++) {
		struct claim_partition *p = &map->partitions[i];

		if (!claim_member_equal(&p->owner, self) || !p->is_synced)
			continue;
		for (k = 0; k < members->nr; k++)
			if (claim_member_equal(&members->live[k],
					       &p->replica)) {
				promote_replica(p, false);
				changed++;
				break;
			}
	}
	return changed;
}

bool claim_map_is_valid(const struct claim_map *map)
{
	size_t i;

	for (i = 0; i < CLAIM_PARTITIONS; i++) {
		const struct claim_partition *p = &map->partitions[i];

		if (claim_member_is_none(&p->owner) ||
		    claim_member_equal(&p->owner, &p->replica) ||
		    (p->is_synced && claim_member_is_none(&p->replica)))
			return false;
	}
	return true;
}
