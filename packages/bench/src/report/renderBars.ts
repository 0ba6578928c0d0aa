import type { Bar } from "./Bar.js";

/** Sizes of the chart in pixels. */
const WIDTH = 720;
const LEFT = 190;
const RIGHT = 90;
const ROW = 22;
const GROUP_GAP = 14;
const TOP = 40;
const COLOURS = ["#888888", "#4c72b0", "#dd8452", "#2a8f5b", "#8172b3"];

const escapeXml = (text: string): string =>
    text.replaceAll("&", "&amp;").replaceAll("<", "&lt;").replaceAll(">", "&gt;");

const textAt = (x: number, y: number, text: string, anchor: "start" | "end" = "start"): string =>
    `<text x="${x}" y="${y}" text-anchor="${anchor}">${escapeXml(text)}</text>`;

/** Renders a horizontal bar chart as SVG, with the bars in groups and each value beside its bar. */
export function renderBars(title: string, unit: string, bars: readonly Bar[]): string {
    const groups = [...new Set(bars.map(({ group }) => group))];
    const labels = [...new Set(bars.map(({ label }) => label))];
    const maxValue = Math.max(...bars.map(({ value }) => value), Number.MIN_VALUE);
    const topOf = (bar: Bar, i: number): number => TOP + i * ROW + groups.indexOf(bar.group) * GROUP_GAP;
    const elements = bars.flatMap((bar, i) => {
        const y = topOf(bar, i);
        const length = (WIDTH - LEFT - RIGHT) * bar.value / maxValue;
        const colour = COLOURS[labels.indexOf(bar.label) % COLOURS.length];
        const valueText = bar.value >= 100 ? bar.value.toFixed(0) : bar.value.toPrecision(3);
        return [
            textAt(LEFT - 8, y + ROW - 8, `${bar.group} ${bar.label}`, "end"),
            `<rect x="${LEFT}" y="${y}" width="${length.toFixed(1)}" height="${ROW - 4}" fill="${colour}"/>`,
            textAt(LEFT + length + 6, y + ROW - 8, `${valueText} ${unit}`),
        ];
    });
    const height = TOP + bars.length * ROW + groups.length * GROUP_GAP;
    return [
        `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${height}" font-family="sans-serif" font-size="12">`,
        `<rect width="${WIDTH}" height="${height}" fill="white"/>`,
        `<text x="10" y="22" font-size="15">${escapeXml(title)}</text>`,
        ...elements,
        "</svg>",
        "",
    ].join("\n");
}
