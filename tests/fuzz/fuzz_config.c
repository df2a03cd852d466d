#include <stdio.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include "../../src/config/codec.h"
#include "../../src/settings/settings.h"
#include "fuzz.h"

/* Input from operators: settings, fleet documents and lists of changes. */

static const char settings_seed[] =
	"; comment\n[entry]\nid = e1\ndata_centre = dc-a\nlog_level = debug\n"
	"isolated = known\nqueue_depth = 64\ndrain = 30s\n"
	"[front]\nlisten = 127.0.0.1:7001\nconnections_max = 10\n"
	"body_max = 64k\n[admin]\nlisten = [::1]:7002\n"
	"token = replace-this-admin-token\n[peer]\nlisten = 127.0.0.1:7003\n"
	"secret = replace-this-peer-secret\n[platform]\n"
	"address = 127.0.0.1:7100\ntimeout = 2s\n[worker]\n"
	"connections_max = 10\nconnect_timeout = 500ms\n[peer e2]\n"
	"address = 127.0.0.1:7013\ndata_centre = dc-b\n";

static const char document_seed[] =
	"[preset]\nname = peak\n[data-centre dc1]\nregion = south\n"
	"[pool main]\nbudget_percent = 50\n[pool spare]\nis_spare = true\n"
	"budget_percent = 10\n[host h1]\nrack = r1\ndata_centre = dc1\n"
	"pool = main\nstate = draining\n[worker w1]\nhost = h1\n"
	"address = 127.0.0.1:8001\nslots = 8\n[team errata]\nshare = 2\n"
	"limit = 4\nkey.desk = "
	"55597df4c44537cc54de43ba0f070680e4affc3dabb24c1aeefcad580ce99f54\n"
	"[queue jobs]\npool = main\n[queue open]\npool = main\n"
	"is_open = true\nteam = errata\n";

static void run_settings(GBytes *input)
{
	GString *faults = g_string_new(NULL);
	struct settings *settings;
	char path[64];
	gsize len;
	const char *data = g_bytes_get_data(input, &len);
	int fd = memfd_create("settings", MFD_CLOEXEC);

	fuzz_require(fd >= 0 && !fchmod(fd, 0600) &&
			     (!len || write(fd, data, len) == (ssize_t)len),
		     "an in-memory file is written");
	g_snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
	settings = settings_read(path, faults);
	fuzz_require(!settings == (faults->len > 0),
		     "settings are refused if and only if an error is listed");
	settings_destroy(settings);
	close(fd);
	g_string_free(faults, TRUE);
}

static void settings_seeds(GPtrArray *seeds)
{
	fuzz_add_text(seeds, settings_seed);
}

const struct fuzz_target fuzz_settings = { "settings", run_settings,
					   settings_seeds };

/* Checks that a decoded document can be encoded and decoded again. */
static void run_document(GBytes *input, const struct document_codec *codec)
{
	GString *faults = g_string_new(NULL);
	struct document *doc = codec->decode(input, "input", faults);
	struct document *decoded;
	GBytes *first, *second;

	fuzz_require(!doc == (faults->len > 0),
		     "a document is refused if and only if an error is listed");
	if (doc) {
		first = codec->encode(doc);
		decoded = codec->decode(first, "encoded", faults);
		fuzz_require(decoded != NULL, "an encoded document is valid");
		second = codec->encode(decoded);
		fuzz_require_same(first, second, "encodings are stable");
		g_bytes_unref(first);
		g_bytes_unref(second);
		document_destroy(decoded);
	}
	document_destroy(doc);
	g_string_free(faults, TRUE);
}

static void run_document_ini(GBytes *input)
{
	run_document(input, &document_codec_ini);
}

static void run_document_json(GBytes *input)
{
	run_document(input, &document_codec_json);
}

static void document_ini_seeds(GPtrArray *seeds)
{
	fuzz_add_text(seeds, document_seed);
	fuzz_add_text(seeds, "[preset]\nname = ordinary\n");
}

static void document_json_seeds(GPtrArray *seeds)
{
	GString *faults = g_string_new(NULL);
	GBytes *text = g_bytes_new_static(document_seed, strlen(document_seed));
	struct document *doc = document_codec_ini.decode(text, "seed", faults);

	fuzz_require(doc != NULL, faults->str);
	g_ptr_array_add(seeds, document_codec_json.encode(doc));
	document_destroy(doc);
	doc = document_create();
	g_ptr_array_add(seeds, document_codec_json.encode(doc));
	document_destroy(doc);
	g_bytes_unref(text);
	g_string_free(faults, TRUE);
}

const struct fuzz_target fuzz_document_ini = { "document_ini", run_document_ini,
					       document_ini_seeds };
const struct fuzz_target fuzz_document_json = { "document_json",
						run_document_json,
						document_json_seeds };

/* Also applies the decoded changes to an empty document. */
static void run_changes(GBytes *input)
{
	struct cs_error err = { 0 };
	struct change *changes = NULL;
	struct document *doc;
	size_t nr = 0, i;
	GBytes *first, *second;

	if (changes_decode_json(input, &changes, &nr, &err))
		return;
	doc = document_create();
	for (i = 0; i < nr; i++)
		document_apply(doc, &changes[i], &err);
	document_destroy(doc);
	first = changes_encode_json(changes, nr);
	g_free(changes);
	changes = NULL;
	fuzz_require(!changes_decode_json(first, &changes, &nr, &err),
		     "an encoded change list is valid");
	second = changes_encode_json(changes, nr);
	fuzz_require_same(first, second, "encodings are stable");
	g_bytes_unref(first);
	g_bytes_unref(second);
	g_free(changes);
}

/* One change of each operation, each alone and all in one list. */
static void changes_seeds(GPtrArray *seeds)
{
	struct change all[CHANGE_OP_NR];
	int i;

	for (i = 0; i < CHANGE_OP_NR; i++) {
		all[i] = (struct change){ .op = (enum change_op)i,
					  .name = "peak",
					  .pool = "main",
					  .team = "errata",
					  .host = "h1",
					  .rack = "r1",
					  .data_centre = "dc1",
					  .address = "127.0.0.1:8001",
					  .label = "desk",
					  .has_digest = true,
					  .share = 2,
					  .limit = 4,
					  .budget_percent = 10,
					  .slots = 8 };
		g_ptr_array_add(seeds, changes_encode_json(&all[i], 1));
	}
	g_ptr_array_add(seeds, changes_encode_json(all, CHANGE_OP_NR));
}

const struct fuzz_target fuzz_changes = { "changes", run_changes,
					  changes_seeds };
