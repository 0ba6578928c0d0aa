import type { LogLine } from "./LogLine.js";

/** How long before a request its surroundings are shown: what befell an endpoint shows within some seconds. */
const BEFORE_MS = 5_000;
const AFTER_MS = 500;
/** Lines of the surroundings that are shown; those nearest to the request's end. */
const MOST_AROUND = 20;

/** Parts whose lines tell what a VM believed, whichever request it was. */
const BELIEFS: ReadonlySet<string> = new Set(["knowledge", "registry", "router", "quarantine"]);

/** A request's own lines, and what happened around it, each in order of time. */
type Explanation = { readonly own: readonly LogLine[]; readonly around: readonly LogLine[]; };

const byTime = (lines: readonly LogLine[]): readonly LogLine[] => lines.toSorted((a, b) => a.time - b.time);

/**
 * Picks the lines that explain a request out of the lines of several VMs: all that carry its id, and around them what was
 * seen of its endpoints by any VM, and what the VMs that served it came to believe.
 */
export function explainRequest(lines: readonly LogLine[], id: string): Explanation {
    const own = byTime(lines.filter(({ fields }) => fields["id"] === id));
    const vms = new Set(own.map(({ vm }) => vm));
    const endpoints = new Set<unknown>(
        own.map(({ fields }) => fields["endpoint"]).filter(name => name !== undefined),
    );
    const from = (own[0]?.time ?? Infinity) - BEFORE_MS;
    const to = (own.at(-1)?.time ?? -Infinity) + AFTER_MS;
    const around = lines.filter(({ time, vm, part, fields }) =>
        time >= from && time <= to && fields["id"] === undefined
        && (endpoints.has(fields["endpoint"]) || (vms.has(vm) && BELIEFS.has(part)))
    );
    return { own, around: byTime(around).slice(-MOST_AROUND) };
}
