#include "claim_codec.h"

#include <jansson.h>
#include <string.h>

#include "../base/error.h"
#include "../base/json.h"

GBytes *claim_map_encode(const struct claim_map *map)
{
	json_t *rows = json_array(), *leaving = json_array(), *root;
	size_t i;

	for (i = 0; i < CLAIM_PARTITIONS; i++) {
		const struct claim_partition *p = &map->partitions[i];

		json_array_append_new(
			rows, json_pack("[s,I,s,I,b,b]", p->owner.entry,
					(json_int_t)p->owner.incarnation,
					p->replica.entry,
					(json_int_t)p->replica.incarnation,
					p->is_synced, p->is_incomplete));
	}
	for (i = 0; i < map->leaving_nr; i++)
		json_array_append_new(
			leaving,
			json_pack("[s,I]", map->leaving[i].entry,
				  (json_int_t)map->leaving[i].incarnation));
	root = json_pack("{s:s,s:o,s:o}", "change", map->change_id,
			 "partitions", rows, "leaving", leaving);
	return json_to_bytes(root, 0);
}

/* Reads entry and incarnation of a member from two elements of a row. */
static bool decode_member(const json_t *row, size_t index,
			  struct claim_member *m)
{
	const char *entry = json_string_value(json_array_get(row, index));
	const json_t *number = json_array_get(row, index + 1);

	if (!entry || strlen(entry) >= sizeof(m->entry) ||
	    !json_is_integer(number) || json_integer_value(number) < 0)
		return false;
	cs_copy(m->entry, sizeof(m->entry), entry);
	m->incarnation = (uint64_t)json_integer_value(number);
	return true;
}

/* A row is owner, replica (two elements each), is_synced and is_incomplete. */
static bool decode_partition(const json_t *row, struct claim_partition *p)
{
	if (json_array_size(row) != 6 || !decode_member(row, 0, &p->owner) ||
	    !decode_member(row, 2, &p->replica) ||
	    !json_is_boolean(json_array_get(row, 4)) ||
	    !json_is_boolean(json_array_get(row, 5)))
		return false;
	p->is_synced = json_is_true(json_array_get(row, 4));
	p->is_incomplete = json_is_true(json_array_get(row, 5));
	return true;
}

int claim_map_decode(GBytes *bytes, struct claim_map *map, struct cs_error *err)
{
	struct claim_map out = { .change_id = "" };
	json_t *root = json_from_bytes(bytes, JSON_REJECT_DUPLICATES, NULL);
	const json_t *rows = json_object_get(root, "partitions");
	const json_t *leaving = json_object_get(root, "leaving");
	const char *change = json_string_value(json_object_get(root, "change"));
	bool is_valid = change && strlen(change) < sizeof(out.change_id) &&
			json_array_size(rows) == CLAIM_PARTITIONS &&
			json_array_size(leaving) <= CLAIM_LEAVING_MAX;
	size_t i;

	for (i = 0; is_valid && i < CLAIM_PARTITIONS; i++)
		is_valid = decode_partition(json_array_get(rows, i),
					    &out.partitions[i]);
	for (i = 0; is_valid && i < json_array_size(leaving); i++) {
		is_valid = decode_member(json_array_get(leaving, i), 0,
					 &out.leaving[i]);
		out.leaving_nr++;
	}
	if (is_valid)
		cs_copy(out.change_id, sizeof(out.change_id), change);
	json_decref(root);
	if (!is_valid || !claim_map_is_valid(&out))
		return cs_error_set(err, CS_ERR_INVALID, "claim_map_decode",
				    "claims/map",
				    "not a map of %d partitions with owners",
				    CLAIM_PARTITIONS);
	*map = out;
	return CS_OK;
}
