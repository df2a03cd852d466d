#include <string.h>

#include "../../src/team/team.h"
#include "sample_fleet.h"

/* A withdrawn key must not be found by the index of the next revision (I4). */
static void finds_only_granted_keys(void **state)
{
	struct document *doc = sample_fleet(1, 400, 1, 370);
	struct change c = { .op = CHANGE_KEY_WITHDRAW,
			    .name = "team-7",
			    .label = "key-1" };
	uint8_t digest[CS_DIGEST_LEN];
	struct team_index *index = team_index_create(doc);
	const struct doc_team *teams;
	size_t i, nr;

	(void)state;
	teams = document_teams(doc, &nr);
	for (i = 0; i < nr; i++)
		assert_string_equal(team_index_by_key(index,
						      teams[i].keys[1].digest),
				    teams[i].name);
	memcpy(digest, document_team(doc, "team-7")->keys[1].digest,
	       CS_DIGEST_LEN);
	sample_apply(doc, c);
	/* An index keeps the keys of the revision that it was made from. */
	assert_string_equal(team_index_by_key(index, digest), "team-7");
	team_index_destroy(index);
	index = team_index_create(doc);
	assert_null(team_index_by_key(index, digest));
	/* Another digest with the same hash value must not match. */
	digest[CS_DIGEST_LEN - 1] ^= 1;
	assert_null(team_index_by_key(index, digest));
	team_index_destroy(index);
	document_destroy(doc);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(finds_only_granted_keys),
	};

	return cmocka_run_group_tests_name("team_index", tests, NULL, NULL);
}
