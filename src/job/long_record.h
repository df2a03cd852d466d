#ifndef JOB_LONG_RECORD_H
#define JOB_LONG_RECORD_H

#include <glib.h>

#include "../camphorshed.h"

/*
 * The record of one long job in the platform's service, under jobs/<id>. The
 * body is under job-bodies/<id> and the result under job-results/<id>, so
 * that a list of all records stays small.
 */

enum long_state {
	LONG_WAITING, /* no attempt runs; the owner may be "" */
	LONG_RUNNING, /* an attempt was started or is about to be */
	LONG_DONE, /* the result is stored */
	LONG_CANCELLED,
	LONG_HELD, /* failed on several hosts; the reason is kept */
	LONG_UNKNOWN, /* non-idempotent, and an attempt was lost */
	LONG_STATE_NR
};

struct long_record {
	char id[CS_NAME_MAX];
	char team[CS_NAME_MAX];
	char pool[CS_NAME_MAX];
	char content_type[64]; /* of the body */
	bool is_idempotent;
	enum long_state state;
	bool is_cancelled; /* cancellation requested, at any entry */
	char owner[CS_NAME_MAX]; /* entry; "" if any may adopt the job */
	uint64_t incarnation; /* of the owner */
	int attempt; /* number of starts so far */
	int failures; /* attempts that failed on a worker */
	char worker[CS_NAME_MAX];
	char address[CS_ADDRESS_MAX];
	char task_id[CS_NAME_MAX];
	char checkpoint[256];
	int progress; /* percent */
	int status; /* HTTP status of the result */
	char result_type[64];
	char reason[64];
	char change_id[48]; /* of the last write */
};

/* True if nothing more will happen to the job. */
bool long_state_is_final(enum long_state state);
const char *long_state_name(enum long_state state);

/* The caller owns the result. */
GBytes *long_record_encode(const struct long_record *record);

/* CS_OK, or CS_ERR_INVALID with err filled. Any bytes may be passed in. */
int long_record_decode(GBytes *bytes, struct long_record *record,
		       struct cs_error *err);

/*
 * Bodies are stored as base64, since values are text. A body of NULL is encoded
 * like an empty one. The caller owns the results.
 */
GBytes *long_body_encode(GBytes *body);
GBytes *long_body_decode(GBytes *value);

/* Appends the JSON answer to a status query. */
void long_record_describe(const struct long_record *record, GString *json);

/*
 * The identifier of a job: the same for the same team and request identifier,
 * so that a repeated submission finds the first one; random if request_id is
 * empty.
 */
void long_record_id(const char *team, const char *request_id, GRand *rng,
		    char out[CS_NAME_MAX]);

#endif
