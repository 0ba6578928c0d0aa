/** Formats rows as a Markdown table; the first row is the header. */
export function formatTable(rows: readonly (readonly string[])[]): string {
    const columns = rows[0]?.length ?? 0;
    const widths = Array.from({ length: columns }, (_, i) => Math.max(...rows.map(row => row[i]?.length ?? 0)));
    const line = (row: readonly string[]): string =>
        `| ${widths.map((width, i) => (row[i] ?? "").padEnd(width)).join(" | ")} |`;
    const separator = `|${widths.map(width => "-".repeat(width + 2)).join("|")}|`;
    const [header = [], ...body] = rows;
    return [line(header), separator, ...body.map(line)].join("\n");
}
