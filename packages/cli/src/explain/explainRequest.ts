import type { LogLine } from "./LogLine.js";

/** Time before a request from which nearby lines are shown. A fault of an endpoint is logged within some seconds. */
const BEFORE_MS = 5_000;
const AFTER_MS = 500;
/** Maximum number of nearby lines shown: the latest ones, which are closest to the request's end. */
const MAX_NEARBY_LINES = 20;

/** Log parts whose lines describe a VM's state independently of any request. */
const VM_STATE_PARTS: ReadonlySet<string> = new Set(["knowledge", "registry", "router", "quarantine"]);

/** Lines of a request (`own`) and related lines near it in time (`around`), each in order of time. */
type Explanation = { readonly own: readonly LogLine[]; readonly around: readonly LogLine[]; };

const byTime = (lines: readonly LogLine[]): readonly LogLine[] => lines.toSorted((a, b) => a.time - b.time);

/**
 * Selects the lines that explain a request from the logs of several VMs: all lines with its id and, near them in time,
 * the lines of any VM about its endpoints and the lines about the state of the VMs that served it.
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
        && (endpoints.has(fields["endpoint"]) || (vms.has(vm) && VM_STATE_PARTS.has(part)))
    );
    return { own, around: byTime(around).slice(-MAX_NEARBY_LINES) };
}
