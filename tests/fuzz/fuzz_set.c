/*
 * Settings files of the programs: what is taken prints as text that is taken
 * and prints the same.
 */
#include <json.h>
#include <string.h>

#include "fuzz.h"
#include "set.h"
#include "set_daemons.h"

union any {
	struct set_entryd entryd;
	struct set_controld controld;
	struct set_dhctl dhctl;
};

/* As set_load() does, without a file. */
static char *
read_text (const struct set_row *rows, const char *text, size_t len)
{
	GArray *problems =
		g_array_new (FALSE, FALSE, sizeof (struct inv_problem));
	json_object *o = set_json_parse (text, len, problems);
	char *printed = NULL;
	union any obj;

	memset (&obj, 0, sizeof obj);
	if (o != NULL) {
		bool ok = set_read (rows, o, 1, "", &obj, problems);

		FUZZ_CHECK (ok || problems->len > 0);
		if (ok && problems->len == 0)
			printed = set_print (rows, &obj);
		set_release (rows, &obj);
	} else {
		FUZZ_CHECK (problems->len > 0);
	}
	FUZZ_CHECK (problems->len <= SET_PROBLEMS_MAX);
	json_object_put (o);
	g_array_free (problems, TRUE);
	return printed;
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t len)
{
	const struct set_row *const tables[] = {
		set_entryd_rows, set_controld_rows, set_relayd_rows,
		set_groupd_rows, set_dhctl_rows};

	for (size_t i = 0; i < G_N_ELEMENTS (tables); i++) {
		char *text = read_text (tables[i], (const char *)data, len);
		char *again;

		if (text == NULL)
			continue;
		again = read_text (tables[i], text, strlen (text));
		FUZZ_CHECK (again != NULL && strcmp (text, again) == 0);
		g_free (again);
		g_free (text);
	}
	return 0;
}
