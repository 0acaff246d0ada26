/*
 * A plot as SVG: for each class the share of requests within their targets,
 * by the second of arrival, with the faults marked.
 */
#include <inttypes.h>

#include "report.h"

#define WIDTH 900.0
#define HEIGHT 320.0
#define LEFT 50.0
#define TOP 30.0
#define COLOURS 6

static const char *const colours[COLOURS] = {
	"#1b6ca8", "#c0392b", "#1e8449", "#b9770e", "#6c3483", "#555555",
};

static double
x_of (const struct tally *t, double s)
{
	return LEFT + WIDTH * s / MAX (t->scen->duration_s, 1);
}

static double
y_of (double part)
{
	return TOP + HEIGHT * (1 - part);
}

static void
axes (const struct tally *t, FILE *out)
{
	for (int i = 0; i <= 4; i++) {
		double y = y_of (i / 4.0);

		fprintf (out,
			 "<line x1=\"%.0f\" y1=\"%.0f\" x2=\"%.0f\" "
			 "y2=\"%.0f\" stroke=\"#ddd\"/>"
			 "<text x=\"5\" y=\"%.0f\">%.2f</text>\n",
			 LEFT, y, LEFT + WIDTH, y, y + 4, i / 4.0);
	}
	for (guint i = 0; i < t->scen->faults->len; i++) {
		const struct scen_fault *f =
			&g_array_index (t->scen->faults, struct scen_fault, i);
		double x = x_of (t, f->at_s);

		fprintf (out,
			 "<line x1=\"%.0f\" y1=\"%.0f\" x2=\"%.0f\" "
			 "y2=\"%.0f\" stroke=\"#000\" "
			 "stroke-dasharray=\"4 4\"/>\n",
			 x, TOP, x, TOP + HEIGHT);
	}
	fprintf (out, "<text x=\"%.0f\" y=\"%.0f\">seconds, 0 to %.0f</text>\n",
		 LEFT, TOP + HEIGHT + 20, t->scen->duration_s);
}

static void
class_line (const struct tally *t, guint i, FILE *out)
{
	const struct tally_class *c = &t->classes[i];
	const char *colour = colours[i % COLOURS];
	uint32_t bins = (uint32_t)MIN (t->scen->duration_s, TALLY_BINS_MAX);

	fprintf (out,
		 "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"2\" "
		 "points=\"",
		 colour);
	for (uint32_t b = 0; b < bins; b++) {
		if (c->bins[b].offered > 0)
			fprintf (out, "%.1f,%.1f ", x_of (t, b + 0.5),
				 y_of ((double)c->bins[b].attained /
				       c->bins[b].offered));
	}
	fprintf (out,
		 "\"/>\n<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>\n",
		 LEFT + 10 + 150.0 * i, TOP - 10, colour,
		 g_array_index (t->scen->classes, struct scen_class, i).name);
}

void
plot_svg (const struct tally *t, FILE *out)
{
	fprintf (out,
		 "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%.0f\" "
		 "height=\"%.0f\" font-family=\"sans-serif\" "
		 "font-size=\"12\">\n",
		 LEFT + WIDTH + 20, TOP + HEIGHT + 40);
	axes (t, out);
	for (guint i = 0; i < t->scen->classes->len; i++)
		class_line (t, i, out);
	fprintf (out, "</svg>\n");
}
