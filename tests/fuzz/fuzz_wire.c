#include <string.h>

#include "../../src/admin/admin_decode.h"
#include "../../src/base/error.h"
#include "../../src/front/front_decode.h"
#include "../../src/peer/peer_codec.h"
#include "../../src/team/team.h"
#include "fuzz.h"

/* Input from the network: peer frames and HTTP requests. */

static void run_peer(GBytes *input)
{
	struct peer_msg first, second;
	struct cs_error err = { 0 };
	GBytes *frame, *again;
	gsize len;
	const uint8_t *data = g_bytes_get_data(input, &len);

	memset(&first, 0, sizeof(first));
	memset(&second, 0, sizeof(second));
	if (peer_decode(data, len, &first, &err))
		return;
	frame = peer_encode(&first);
	data = g_bytes_get_data(frame, &len);
	fuzz_require(!peer_decode(data, len, &second, &err),
		     "an encoded peer message is valid");
	again = peer_encode(&second);
	fuzz_require_same(frame, again, "encodings are stable");
	g_bytes_unref(frame);
	g_bytes_unref(again);
	peer_msg_clear(&first);
	peer_msg_clear(&second);
}

static void fill_config(struct peer_msg *m)
{
	m->u.config.revision = 7;
	m->u.config.document = g_bytes_new("{}", 2);
}

static void fill_forward(struct peer_msg *m)
{
	struct submit *s = &m->u.forward;

	cs_copy(s->queue, sizeof(s->queue), "jobs");
	cs_copy(s->request_id, sizeof(s->request_id), "r-1");
	cs_copy(s->content_type, sizeof(s->content_type), "text/plain");
	s->has_key = true;
	s->deadline_ms = 1000;
	s->body = g_bytes_new("work", 4);
}

static void fill_forward_reply(struct peer_msg *m)
{
	struct reply *r = &m->u.forward_reply;

	r->status = 200;
	cs_copy(r->content_type, sizeof(r->content_type), "text/plain");
	r->body = g_bytes_new("done", 4);
}

static void fill_claim(struct peer_msg *m)
{
	m->u.claim.map_version = 3;
	cs_copy(m->u.claim.holder, sizeof(m->u.claim.holder), "e1");
}

static void fill_summary(struct peer_msg *m)
{
	struct summary_row *row = g_new0(struct summary_row, 2);
	int i;

	for (i = 0; i < 2; i++) {
		cs_copy(row[i].pool, sizeof(row[i].pool), "main");
		cs_copy(row[i].team, sizeof(row[i].team), i ? "a" : "b");
		row[i].queued = 3;
		row[i].used_ms = 1000;
	}
	m->u.summary.rows = row;
	m->u.summary.rows_nr = 2;
}

static void fill_job_copy(struct peer_msg *m)
{
	cs_copy(m->u.job_copy.job, sizeof(m->u.job_copy.job), "j1");
	m->u.job_copy.record = g_bytes_new("{}", 2);
}

/* One message of each kind. Kinds without a function have all fields zero. */
static void peer_seeds(GPtrArray *seeds)
{
	static void (*const fill[PEER_KIND_NR])(struct peer_msg * m) = {
		[PEER_SUMMARY] = fill_summary,
		[PEER_CONFIG] = fill_config,
		[PEER_FORWARD] = fill_forward,
		[PEER_FORWARD_REPLY] = fill_forward_reply,
		[PEER_CLAIM] = fill_claim,
		[PEER_CLAIM_COPY] = fill_claim,
		[PEER_CLAIM_RELEASE] = fill_claim,
		[PEER_JOB_COPY] = fill_job_copy,
	};
	struct peer_msg m;
	int i;

	for (i = 0; i < PEER_KIND_NR; i++) {
		memset(&m, 0, sizeof(m));
		m.kind = (enum peer_kind)i;
		m.ref = 5;
		if (fill[i])
			fill[i](&m);
		g_ptr_array_add(seeds, peer_encode(&m));
		peer_msg_clear(&m);
	}
}

const struct fuzz_target fuzz_peer = { "peer", run_peer, peer_seeds };

/* More headers than the decoders look for. */
#define HEADERS_MAX 16

/* A request parsed from text, with the memory that it points into. */
struct text_request {
	struct http_request request;
	struct http_header headers[HEADERS_MAX];
	char *text;
	char **lines;
};

/* Parses "METHOD PATH?QUERY". Missing parts keep their defaults. */
static void parse_request_line(struct http_request *req, char *line)
{
	char *space = strchr(line, ' ');
	char *query;
	int m;

	if (!space)
		return;
	*space = '\0';
	for (m = 0; m < HTTP_METHOD_NR; m++)
		if (!strcmp(line, http_method_name((enum http_method)m)))
			req->method = (enum http_method)m;
	req->path = space + 1;
	query = strchr(space + 1, '?');
	if (!query)
		return;
	*query = '\0';
	req->query = query + 1;
}

/*
 * Parses a request line, headers "NAME: VALUE", an empty line and a body of any
 * bytes. This stands in for libevhtp, whose HTTP parser is not fuzzed here.
 */
static void parse_request(GBytes *input, struct text_request *t)
{
	gsize len, head;
	const char *data = g_bytes_get_data(input, &len);
	const char *end = len ? g_strstr_len(data, (gssize)len, "\n\n") : NULL;
	char *colon;
	size_t i;

	memset(t, 0, sizeof(*t));
	head = end ? (gsize)(end - data) : len;
	t->text = g_strndup(len ? data : "", head);
	t->lines = g_strsplit(t->text, "\n", -1);
	t->request = (struct http_request){ .method = HTTP_OTHER,
					    .path = "",
					    .query = "",
					    .headers = t->headers,
					    .peer = "192.0.2.1:9" };
	t->request.body = end ? g_bytes_new(end + 2, len - head - 2) :
				g_bytes_new(NULL, 0);
	for (i = 0; t->lines[i]; i++) {
		if (!i) {
			parse_request_line(&t->request, t->lines[i]);
			continue;
		}
		colon = strstr(t->lines[i], ": ");
		if (!colon || t->request.headers_nr == HEADERS_MAX)
			continue;
		*colon = '\0';
		t->headers[t->request.headers_nr].name = t->lines[i];
		t->headers[t->request.headers_nr++].value = colon + 2;
	}
}

static void clear_request(struct text_request *t)
{
	g_bytes_unref(t->request.body);
	g_strfreev(t->lines);
	g_free(t->text);
}

/* Checks the properties of every refusal. */
static void check_refusal(const struct http_refusal *refusal)
{
	GBytes *body = http_refusal_body(refusal);

	fuzz_require(refusal->status >= 400 && refusal->status < 500 &&
			     refusal->reason && g_bytes_get_size(body),
		     "a refusal has a 4xx status, a reason and a body");
	g_bytes_unref(body);
}

static void run_front(GBytes *input)
{
	struct http_refusal refusal;
	struct text_request t;
	struct trace trace;
	GRand *rng = g_rand_new_with_seed(1);
	struct msg *msg;

	parse_request(input, &t);
	trace = http_request_trace(&t.request, rng);
	msg = front_decode(&t.request, 1, &trace, &refusal);
	if (!msg)
		check_refusal(&refusal);
	else if (msg->type == MSG_SUBMIT)
		fuzz_require(msg->u.submit.deadline_ms > 0 &&
				     *msg->u.submit.queue,
			     "a submission has a queue and a deadline");
	else
		fuzz_require(*msg->u.job_query.job, "a job query names a job");
	msg_free(msg);
	g_rand_free(rng);
	clear_request(&t);
}

static void front_seeds(GPtrArray *seeds)
{
	fuzz_add_text(
		seeds,
		"POST /v1/queues/jobs/jobs\nAuthorization: Bearer k\n"
		"Request-Id: r-1\nIdempotent: yes\nUrgent: no\n"
		"Deadline-Ms: 1000\nWork: long\nContent-Type: text/plain\n"
		"traceparent: "
		"00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01\n"
		"\nrun_ms=5");
	fuzz_add_text(seeds, "GET /v1/jobs/0af7/result\n\n");
	fuzz_add_text(seeds, "GET /v1/jobs/0af7\nAuthorization: Bearer k\n\n");
	fuzz_add_text(seeds, "DELETE /v1/jobs/0af7?x=1\n\n");
}

const struct fuzz_target fuzz_front = { "front", run_front, front_seeds };

/* Accepts the token of the seeds, so that all routes and bodies are reached. */
static void run_admin(GBytes *input)
{
	static const char token[] = "0123456789abcdef";
	uint8_t digest[CS_DIGEST_LEN];
	struct http_refusal refusal;
	struct admin_request out;
	struct text_request t;
	struct trace trace = { 0 };

	team_key_digest(token, strlen(token), digest);
	parse_request(input, &t);
	if (admin_decode(&t.request, 1, &trace, digest, &out, &refusal))
		check_refusal(&refusal);
	else
		fuzz_require(!out.msg == (out.target != ADMIN_TARGET_CORE),
			     "only requests to the core carry a message");
	msg_free(out.msg);
	clear_request(&t);
}

static void admin_seeds(GPtrArray *seeds)
{
	fuzz_add_text(seeds, "POST /v1/changes?expected=3&dry_run=1\n"
			     "Authorization: Bearer 0123456789abcdef\n\n"
			     "[{\"op\":\"preset\",\"name\":\"peak\"}]");
	fuzz_add_text(seeds, "GET /v1/wait?revision=3\n"
			     "Authorization: Bearer 0123456789abcdef\n\n");
	fuzz_add_text(seeds, "PUT /v1/document\n"
			     "Authorization: Bearer 0123456789abcdef\n\n{}");
	fuzz_add_text(seeds, "GET /metrics\n\n");
}

const struct fuzz_target fuzz_admin = { "admin", run_admin, admin_seeds };
