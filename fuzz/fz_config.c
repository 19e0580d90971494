/*
 * What operators submit.  The first byte chooses: a configuration or a policy in
 * TOML, a configuration in the platform's form, or a packed one.
 */
#include <string.h>

#include "base/ba_result.h"
#include "config/cf.h"
#include "fuzz/fz.h"
#include "platform/pf.h"

static const char base_text[] =
	"[[services]]\nname = \"orders\"\nmax_in_flight = 9\n"
	"timeout = \"2s\"\n[[routes]]\nname = \"r\"\npath = \"/orders\"\n"
	"service = \"orders\"\nidempotent = false\n";

static struct cf_snapshot *parse(const struct cf_snapshot *base, int form,
				 const char *text, size_t len,
				 uint64_t version);
static void check(const struct cf_snapshot *base, const struct cf_snapshot *s);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct cf_snapshot *none = cf_snapshot_empty();
	struct cf_snapshot *base =
		parse(none, 0, base_text, sizeof(base_text) - 1, 1);
	struct cf_snapshot *s = NULL;
	char *text;

	fz_require(!!base, "the first configuration is accepted");
	if (len) {
		/* Without the NUL that string literals have. */
		text = malloc(len);
		memcpy(text, data + 1, len - 1);
		s = parse(base, data[0] % 4, text, len - 1, 2);
		free(text);
	}
	if (s)
		check(base, s);
	cf_snapshot_unref(s);
	cf_snapshot_unref(base);
	cf_snapshot_unref(none);
	return 0;
}

static struct cf_snapshot *parse(const struct cf_snapshot *base, int form,
				 const char *text, size_t len, uint64_t version)
{
	struct ba_problems problems = {0};
	struct ba_buf packed = {0};
	struct cf_snapshot *s = NULL;
	int ret = CF_ENCODING_WRONG;

	switch (form) {
	case 0:
		ret = cf_parse_configuration(text, len, base, version, &s,
					     &problems);
		break;
	case 1:
		ret = cf_parse_policy(text, len, base, version, &s, &problems);
		break;
	case 2:
		if (pf_operators.read_configuration(text, len, &packed,
						    &problems))
			ret = cf_snapshot_decode_submission(
				packed.data, packed.len, base, version, &s,
				&problems);
		break;
	default:
		ret = cf_snapshot_decode_submission(text, len, base, version,
						    &s, &problems);
	}
	fz_require(!ret == !!s, "a snapshot comes with success alone");
	ba_problems_free(&problems);
	ba_buf_free(&packed);
	return s;
}

/* Each daemon gets what was accepted, as a whole or as a delta. */
static void check(const struct cf_snapshot *base, const struct cf_snapshot *s)
{
	struct ba_buf whole = {0};
	struct ba_buf delta = {0};
	struct ba_buf written = {0};
	struct cf_snapshot *read = NULL;
	struct cf_snapshot *applied = NULL;

	cf_snapshot_encode(s, CF_FORM_DIGESTS, &whole);
	fz_require(!cf_snapshot_decode(whole.data, whole.len, &read),
		   "what was accepted can be decoded");
	fz_require(!memcmp(&read->digest, &s->digest, sizeof(s->digest)),
		   "it is the same when it was decoded");
	cf_delta_encode(base, s, CF_FORM_DIGESTS, &delta);
	fz_require(!cf_delta_apply(base, delta.data, delta.len, &applied),
		   "the delta to what was accepted applies");
	fz_require(!memcmp(&applied->digest, &s->digest, sizeof(s->digest)),
		   "it leads to the same");
	pf_operators.write_configuration(s, &written);
	cf_snapshot_unref(read);
	cf_snapshot_unref(applied);
	ba_buf_free(&whole);
	ba_buf_free(&delta);
	ba_buf_free(&written);
}
