/** Lays rows out as a Markdown table; the first row is its head. */
export function formatTable(rows: readonly (readonly string[])[]): string {
    const columns = rows[0]?.length ?? 0;
    const widths = Array.from({ length: columns }, (_, i) => Math.max(...rows.map(row => row[i]?.length ?? 0)));
    const line = (row: readonly string[]): string =>
        `| ${widths.map((width, i) => (row[i] ?? "").padEnd(width)).join(" | ")} |`;
    const rule = `|${widths.map(width => "-".repeat(width + 2)).join("|")}|`;
    const [head = [], ...body] = rows;
    return [line(head), rule, ...body.map(line)].join("\n");
}
