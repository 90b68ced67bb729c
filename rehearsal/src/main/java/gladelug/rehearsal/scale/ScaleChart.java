/*
 * A chart of measured points with their least-squares lines, one colour a series, as SVG.
 */
package gladelug.rehearsal.scale;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import java.util.Map;

final class ScaleChart {
    private static final int WIDTH = 760, HEIGHT = 440, LEFT = 70, RIGHT = 190, TOP = 40, BOTTOM = 40, TICKS = 5;
    private static final String[] COLOURS = {"#1b6ca8", "#c0392b", "#27864b", "#8e44ad", "#b9770e", "#34495e"};

    private ScaleChart() {}

    /** Series by name, each of points x and y. */
    static void write(Path file, String title, Map<String, List<double[]>> series) throws IOException {
        double mx = 1e-9, my = 1e-9;
        for (List<double[]> l : series.values())
            for (double[] p : l) {
                mx = Math.max(mx, p[0]);
                my = Math.max(my, p[1]);
            }
        StringBuilder sb = new StringBuilder("<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" + WIDTH
            + "\" height=\"" + HEIGHT + "\" font-family=\"sans-serif\" font-size=\"12\">\n"
            + "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n");
        text(sb, LEFT, 24, title);
        for (int i = 0; i <= TICKS; i++) {
            double x = mx * i / TICKS, y = my * i / TICKS;
            stroke(sb, LEFT, y(y, my), WIDTH - RIGHT, y(y, my), "#ddd");
            text(sb, 8, y(y, my) + 4, String.format(Locale.ROOT, "%.3g", y));
            text(sb, x(x, mx) - 12, HEIGHT - BOTTOM + 18, String.format(Locale.ROOT, "%.0f", x));
        }
        int n = 0;
        for (Map.Entry<String, List<double[]>> e : series.entrySet()) {
            String c = COLOURS[n % COLOURS.length];
            Slope s = Slope.of(e.getValue());
            double from = Math.max(0, s.slope() == 0 ? 0 : s.slope() > 0 ? -s.intercept() / s.slope() : 0);
            stroke(sb, x(from, mx), y(s.at(from), my), x(mx, mx), y(Math.max(0, s.at(mx)), my), c);
            for (double[] p : e.getValue()) sb.append(String.format(Locale.ROOT,
                "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"4\" fill=\"%s\"/>%n", x(p[0], mx), y(p[1], my), c));
            sb.append(String.format(Locale.ROOT, "<rect x=\"%d\" y=\"%d\" width=\"10\" height=\"10\" fill=\"%s\"/>%n",
                WIDTH - RIGHT + 14, TOP + 20 * n, c));
            text(sb, WIDTH - RIGHT + 30, TOP + 20 * n + 10, e.getKey().replace(',', ' '));
            n++;
        }
        Files.writeString(file, sb.append("</svg>\n"));
    }

    private static double x(double v, double most) {
        return LEFT + v / most * (WIDTH - LEFT - RIGHT);
    }

    private static double y(double v, double most) {
        return HEIGHT - BOTTOM - v / most * (HEIGHT - TOP - BOTTOM);
    }

    private static void stroke(StringBuilder sb, double x1, double y1, double x2, double y2, String colour) {
        sb.append(String.format(Locale.ROOT,
            "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"%s\"/>%n", x1, y1, x2, y2, colour));
    }

    private static void text(StringBuilder sb, double x, double y, String s) {
        sb.append(String.format(Locale.ROOT, "<text x=\"%.1f\" y=\"%.1f\">%s</text>%n", x, y, s));
    }
}
