/*
 * Pages of the platform's list: what is read from any bytes can name an
 * endpoint, and a readable entry before them holds.
 */
#include <string.h>

#include "fuzz.h"
#include "platform/platform.h"

#define FIRST                                                                  \
	"{\"id\":\"first\",\"service\":\"s\",\"zone\":\"z\","                  \
	"\"address\":\"10.0.0.1:80\",\"state\":\"ready\"}"

static const char *const words[] = {
	"{\"id\":\"i-1\",\"service\":\"s\",\"zone\":\"z\",",
	"\"address\":\"10.0.0.9:80\",",
	"\"state\":\"ready\"",
	",\"slots\":",
	",\"cold_remaining_ms\":",
	",\"born\":",
	",\"spot\":true",
	"],\"next\":\"p-2\"}",
	"],\"next\":null}",
	"1e400",
	"NaN",
	"null",
	"\\u0000",
	"},{",
	"}",
	"{",
	"[",
	"]",
	"\"",
	",",
	"\"x\":",
	NULL,
};

/* Returns whether the page is valid; checks each entry that was read. */
static bool
read_page (const GString *page, GArray *out)
{
	struct dia_skipped skipped = {0};
	struct err e = {0};
	char *next = NULL;
	bool ok = platform_dialect.parse_list (page->str, page->len, out, &next,
					       &skipped, &e);

	FUZZ_CHECK (ok == (e.kind == ERR_NONE));
	FUZZ_CHECK (ok || next == NULL);
	FUZZ_CHECK ((skipped.count > 0) == (skipped.first[0] != '\0'));
	FUZZ_CHECK (next == NULL || next[0] != '\0');
	for (guint i = 0; i < out->len; i++) {
		const struct fleet_info *info =
			&g_array_index (out, struct fleet_info, i);

		FUZZ_CHECK (fleet_info_check (info, NULL));
		FUZZ_CHECK (info->cold_remaining_ms <= FLEET_COLD_MAX_MS);
	}
	g_free (next);
	return ok;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t len)
{
	GArray *out = g_array_new (FALSE, TRUE, sizeof (struct fleet_info));
	GString *odd = fuzz_words (words, data, len);
	GString *page = g_string_new ("{\"instances\":[" FIRST ",");

	read_page (odd, out);
	g_array_set_size (out, 0);
	g_string_append_len (page, odd->str, (gssize)odd->len);
	g_string_append (page, "],\"next\":null}");
	if (read_page (page, out)) {
		FUZZ_CHECK (out->len > 0);
		FUZZ_CHECK (
			strcmp (g_array_index (out, struct fleet_info, 0).id,
				"first") == 0);
	}
	g_string_free (page, TRUE);
	g_string_free (odd, TRUE);
	g_array_free (out, TRUE);
	return 0;
}
