#ifndef CONFIG_DOCUMENT_H
#define CONFIG_DOCUMENT_H

#include <glib.h>

#include "change.h"

/*
 * The fleet document: the whole configuration that operators set. Each table
 * is sorted by name, so that look-ups are binary searches and encodings are
 * stable. A document is changed only by document_apply() and the setters of
 * revision and change id.
 */
struct document;

struct doc_data_centre {
	char name[CS_NAME_MAX];
	char region[CS_NAME_MAX];
	bool is_out;
};

enum host_state {
	HOST_ASSIGNED, /* serves its pool */
	HOST_DRAINING, /* gets no new work; still counts in its pool */
	HOST_EMPTY /* runs nothing; may be moved or maintained */
};

struct doc_host {
	char name[CS_NAME_MAX];
	char rack[CS_NAME_MAX];
	char data_centre[CS_NAME_MAX];
	char pool[CS_NAME_MAX]; /* exactly one, whatever the state */
	enum host_state state;
};

struct doc_worker {
	char name[CS_NAME_MAX];
	char host[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX];
	int slots;
};

struct doc_pool {
	char name[CS_NAME_MAX];
	bool is_spare;
	int budget_percent; /* of the hosts that may be down at once */
};

struct doc_queue {
	char name[CS_NAME_MAX];
	char pool[CS_NAME_MAX];
	bool is_open; /* accepts work without a key */
	char team[CS_NAME_MAX]; /* charged for work without a key */
};

struct doc_key {
	uint8_t digest[CS_DIGEST_LEN];
	char label[CS_NAME_MAX];
};

struct doc_team {
	char name[CS_NAME_MAX];
	int share;
	int limit;
	struct doc_key *keys;
	size_t keys_nr;
};

/* The presets are fixed; operators choose which one is in force. */
enum preset { PRESET_ORDINARY, PRESET_PEAK, PRESET_MAINTENANCE, PRESET_NR };

/* Creates an empty document: revision 0, preset ordinary. */
struct document *document_create(void);
struct document *document_copy(const struct document *doc);
void document_destroy(struct document *doc);

uint64_t document_revision(const struct document *doc);
void document_set_revision(struct document *doc, uint64_t revision);

/*
 * Identifies the change that wrote this revision, "" if unknown. A writer
 * whose reply was lost compares it to find out whether its write took effect.
 */
#define DOCUMENT_CHANGE_ID_MAX 48
const char *document_change_id(const struct document *doc);
void document_set_change_id(struct document *doc, const char *change_id);

enum preset document_preset(const struct document *doc);
const char *preset_name(enum preset preset);
int preset_parse(enum preset *preset, const char *name);

/* Each returns the first row of a table and sets nr to the number of rows. */
const struct doc_data_centre *document_data_centres(const struct document *doc,
						    size_t *nr);
const struct doc_host *document_hosts(const struct document *doc, size_t *nr);
const struct doc_worker *document_workers(const struct document *doc,
					  size_t *nr);
const struct doc_pool *document_pools(const struct document *doc, size_t *nr);
const struct doc_queue *document_queues(const struct document *doc, size_t *nr);
const struct doc_team *document_teams(const struct document *doc, size_t *nr);

/* Look-ups by name, O(log n); NULL if there is no such row. */
const struct doc_data_centre *document_data_centre(const struct document *doc,
						   const char *name);
const struct doc_host *document_host(const struct document *doc,
				     const char *name);
const struct doc_worker *document_worker(const struct document *doc,
					 const char *name);
const struct doc_pool *document_pool(const struct document *doc,
				     const char *name);
const struct doc_queue *document_queue(const struct document *doc,
				       const char *name);
const struct doc_team *document_team(const struct document *doc,
				     const char *name);

/*
 * Applies one change. Returns CS_OK, CS_ERR_MISSING if it names a row that
 * does not exist, or CS_ERR_INVALID if it breaks a rule. The document is
 * unchanged on failure. Rules that depend on the document before the change,
 * such as host states and availability budgets, are checked here.
 */
int document_apply(struct document *doc, const struct change *change,
		   struct cs_error *err);

/*
 * Checks the whole document: all fields are valid, all references exist, no
 * key is granted to two teams, no limit is above the slots of the fleet.
 * Appends one line per fault to faults and returns their number.
 */
size_t document_check(const struct document *doc, GString *faults);

/*
 * Checks that next may replace doc as a whole. A new host must be assigned. A
 * host must be empty to be removed or to change its rack, data centre or pool.
 * Replacing must not stop a host: only the changes host-drain and host-empty
 * do, since the availability budgets are checked there. Appends one line per
 * fault to faults and returns their number.
 */
size_t document_check_replace(const struct document *doc,
			      const struct document *next, GString *faults);

/* Appends one line per difference from a to b, in a stable order. */
void document_diff(const struct document *a, const struct document *b,
		   GString *out);

#endif
