#include "document.h"

#include <stdlib.h>
#include <string.h>

#include "../base/error.h"
#include "document_rows.h"

static const size_t row_sizes[DOC_TABLE_NR] = {
	[DOC_DATA_CENTRES] = sizeof(struct doc_data_centre),
	[DOC_POOLS] = sizeof(struct doc_pool),
	[DOC_HOSTS] = sizeof(struct doc_host),
	[DOC_WORKERS] = sizeof(struct doc_worker),
	[DOC_TEAMS] = sizeof(struct doc_team),
	[DOC_QUEUES] = sizeof(struct doc_queue),
};

static const char *const preset_names[PRESET_NR] = {
	[PRESET_ORDINARY] = "ordinary",
	[PRESET_PEAK] = "peak",
	[PRESET_MAINTENANCE] = "maintenance",
};

const char *preset_name(enum preset preset)
{
	return (unsigned)preset < PRESET_NR ? preset_names[preset] : "invalid";
}

/* CS_OK, or CS_ERR_INVALID if no preset has that name. */
int preset_parse(enum preset *preset, const char *name)
{
	int i;

	for (i = 0; i < PRESET_NR; i++) {
		if (!strcmp(preset_names[i], name)) {
			*preset = i;
			return CS_OK;
		}
	}
	return CS_ERR_INVALID;
}

size_t doc_row_size(enum doc_table table)
{
	return row_sizes[table];
}

void *doc_row(const struct document *doc, enum doc_table table, size_t i)
{
	return (char *)doc->tables[table].rows + i * row_sizes[table];
}

/* Index of the first row whose name is not less than name. */
static size_t lower_bound(const struct document *doc, enum doc_table table,
			  const char *name)
{
	size_t low = 0, high = doc->tables[table].nr;

	while (low < high) {
		size_t mid = low + (high - low) / 2;

		if (strcmp(doc_row(doc, table, mid), name) < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

void *doc_find(const struct document *doc, enum doc_table table,
	       const char *name)
{
	size_t i = lower_bound(doc, table, name);

	if (i == doc->tables[table].nr || strcmp(doc_row(doc, table, i), name))
		return NULL;
	return doc_row(doc, table, i);
}

/* Inserts an uninitialized row at index i and returns it. */
static void *insert_gap(struct document *doc, enum doc_table table, size_t i)
{
	struct doc_rows *t = &doc->tables[table];
	size_t size = row_sizes[table];

	if (t->nr == t->alloc) {
		t->alloc = t->alloc ? 2 * t->alloc : 16;
		t->rows = g_realloc_n(t->rows, t->alloc, size);
	}
	memmove((char *)t->rows + (i + 1) * size, (char *)t->rows + i * size,
		(t->nr - i) * size);
	t->nr++;
	return (char *)t->rows + i * size;
}

void doc_put(struct document *doc, enum doc_table table, const void *row)
{
	void *place = doc_find(doc, table, row);

	if (!place)
		place = insert_gap(doc, table, lower_bound(doc, table, row));
	memcpy(place, row, row_sizes[table]);
}

void doc_remove(struct document *doc, enum doc_table table, const char *name)
{
	struct doc_rows *t = &doc->tables[table];
	size_t i = lower_bound(doc, table, name), size = row_sizes[table];
	char *row = doc_find(doc, table, name);

	if (!row)
		return;
	if (table == DOC_TEAMS)
		g_free(((struct doc_team *)(void *)row)->keys);
	memmove(row, row + size, (t->nr - i - 1) * size);
	t->nr--;
}

void *doc_append(struct document *doc, enum doc_table table, const char *name)
{
	void *row = insert_gap(doc, table, doc->tables[table].nr);

	memset(row, 0, row_sizes[table]);
	cs_copy(row, CS_NAME_MAX, name);
	return row;
}

static int compare_rows(const void *a, const void *b)
{
	return strcmp(a, b);
}

static int compare_keys(const void *a, const void *b)
{
	const struct doc_key *x = a, *y = b;

	return strcmp(x->label, y->label);
}

static void sort_keys(struct doc_team *team)
{
	if (team->keys_nr)
		qsort(team->keys, team->keys_nr, sizeof(*team->keys),
		      compare_keys);
}

void doc_sort(struct document *doc)
{
	struct doc_rows *teams = &doc->tables[DOC_TEAMS];
	size_t i;

	for (i = 0; i < DOC_TABLE_NR; i++)
		if (doc->tables[i].nr)
			qsort(doc->tables[i].rows, doc->tables[i].nr,
			      row_sizes[i], compare_rows);
	for (i = 0; i < teams->nr; i++)
		sort_keys(doc_row(doc, DOC_TEAMS, i));
}

struct doc_key *doc_team_key(const struct doc_team *team, const char *label)
{
	size_t i;

	for (i = 0; i < team->keys_nr; i++)
		if (!strcmp(team->keys[i].label, label))
			return &team->keys[i];
	return NULL;
}

struct doc_key *doc_team_key_by_digest(const struct doc_team *team,
				       const uint8_t digest[CS_DIGEST_LEN])
{
	size_t i;

	for (i = 0; i < team->keys_nr; i++)
		if (!memcmp(team->keys[i].digest, digest, CS_DIGEST_LEN))
			return &team->keys[i];
	return NULL;
}

void doc_team_put_key(struct doc_team *team, const char *label,
		      const uint8_t digest[CS_DIGEST_LEN])
{
	struct doc_key *key = doc_team_key(team, label);

	if (!key) {
		team->keys =
			g_renew(struct doc_key, team->keys, team->keys_nr + 1);
		key = &team->keys[team->keys_nr++];
		memset(key, 0, sizeof(*key));
		cs_copy(key->label, sizeof(key->label), label);
	}
	memcpy(key->digest, digest, CS_DIGEST_LEN);
	sort_keys(team);
}

void doc_team_remove_key(struct doc_team *team, const struct doc_key *key)
{
	size_t i = (size_t)(key - team->keys);

	memmove(&team->keys[i], &team->keys[i + 1],
		(team->keys_nr - i - 1) * sizeof(*team->keys));
	team->keys_nr--;
}

struct document *document_create(void)
{
	return g_new0(struct document, 1);
}

/* Returns a deep copy. */
struct document *document_copy(const struct document *doc)
{
	struct document *copy = g_new(struct document, 1);
	size_t i;

	*copy = *doc;
	for (i = 0; i < DOC_TABLE_NR; i++) {
		struct doc_rows *t = &copy->tables[i];

		t->alloc = t->nr;
		t->rows = g_memdup2(t->rows, t->nr * row_sizes[i]);
	}
	for (i = 0; i < copy->tables[DOC_TEAMS].nr; i++) {
		struct doc_team *team = doc_row(copy, DOC_TEAMS, i);

		team->keys = g_memdup2(team->keys,
				       team->keys_nr * sizeof(*team->keys));
	}
	return copy;
}

void document_destroy(struct document *doc)
{
	size_t i;

	if (!doc)
		return;
	for (i = 0; i < doc->tables[DOC_TEAMS].nr; i++)
		g_free(((struct doc_team *)doc_row(doc, DOC_TEAMS, i))->keys);
	for (i = 0; i < DOC_TABLE_NR; i++)
		g_free(doc->tables[i].rows);
	g_free(doc);
}

uint64_t document_revision(const struct document *doc)
{
	return doc->revision;
}

void document_set_revision(struct document *doc, uint64_t revision)
{
	doc->revision = revision;
}

const char *document_change_id(const struct document *doc)
{
	return doc->change_id;
}

void document_set_change_id(struct document *doc, const char *change_id)
{
	cs_copy(doc->change_id, sizeof(doc->change_id), change_id);
}

enum preset document_preset(const struct document *doc)
{
	return doc->preset;
}

static const void *table_rows(const struct document *doc, enum doc_table table,
			      size_t *nr)
{
	*nr = doc->tables[table].nr;
	return doc->tables[table].rows;
}

const struct doc_data_centre *document_data_centres(const struct document *doc,
						    size_t *nr)
{
	return table_rows(doc, DOC_DATA_CENTRES, nr);
}

const struct doc_host *document_hosts(const struct document *doc, size_t *nr)
{
	return table_rows(doc, DOC_HOSTS, nr);
}

const struct doc_worker *document_workers(const struct document *doc,
					  size_t *nr)
{
	return table_rows(doc, DOC_WORKERS, nr);
}

const struct doc_pool *document_pools(const struct document *doc, size_t *nr)
{
	return table_rows(doc, DOC_POOLS, nr);
}

const struct doc_queue *document_queues(const struct document *doc, size_t *nr)
{
	return table_rows(doc, DOC_QUEUES, nr);
}

const struct doc_team *document_teams(const struct document *doc, size_t *nr)
{
	return table_rows(doc, DOC_TEAMS, nr);
}

const struct doc_data_centre *document_data_centre(const struct document *doc,
						   const char *name)
{
	return doc_find(doc, DOC_DATA_CENTRES, name);
}

const struct doc_host *document_host(const struct document *doc,
				     const char *name)
{
	return doc_find(doc, DOC_HOSTS, name);
}

const struct doc_worker *document_worker(const struct document *doc,
					 const char *name)
{
	return doc_find(doc, DOC_WORKERS, name);
}

const struct doc_pool *document_pool(const struct document *doc,
				     const char *name)
{
	return doc_find(doc, DOC_POOLS, name);
}

const struct doc_queue *document_queue(const struct document *doc,
				       const char *name)
{
	return doc_find(doc, DOC_QUEUES, name);
}

const struct doc_team *document_team(const struct document *doc,
				     const char *name)
{
	return doc_find(doc, DOC_TEAMS, name);
}
