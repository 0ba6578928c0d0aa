const COLUMN_GAP = "  ";

/** Formats rows as aligned columns under a heading. Escape sequences for colours do not count towards the width. */
export function table(heading: readonly string[], rows: readonly (readonly unknown[])[]): readonly string[] {
    const cells = [heading, ...rows.map(row => row.map(cell => cell === undefined ? "-" : String(cell)))];
    const widthOf = (cell: string): number => cell.replace(ANSI, "").length;
    const widths = heading.map((_, column) => Math.max(...cells.map(row => widthOf(row[column] ?? ""))));
    return cells.map(row =>
        row.map((cell, column) => cell + " ".repeat(Math.max((widths[column] ?? 0) - widthOf(cell), 0)))
            .join(COLUMN_GAP)
            .trimEnd()
    );
}

const ANSI = /\u001b\[\d+m/g;
