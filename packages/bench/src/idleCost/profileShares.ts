type ProfileNode = {
    readonly id: number;
    readonly callFrame: { readonly functionName: string; readonly url: string; };
    readonly children?: readonly number[];
};

/** The part of V8's `.cpuprofile` format that is read. Times are in microseconds on the monotonic clock. */
type CpuProfile = {
    readonly nodes: readonly ProfileNode[];
    readonly startTime: number;
    readonly samples: readonly number[];
    readonly timeDeltas: readonly number[];
};

/** Components by the path of the compiled module, the first match counts. */
const COMPONENTS: readonly (readonly [pattern: RegExp, component: string])[] = [
    [/router\/dist\/peers\//, "beacons"],
    [/router\/dist\/(store|dispatch)\/|platform\/dist\/(createStoreClient|parseRecords|frameRecord)/, "store"],
    [/router\/dist\/registry\/|platform\/dist\/(directoryWire|decodeEntry)/, "registry"],
    [/router\/dist\/(startGauges|startMetricsListener)|\/telemetry\//, "gauges"],
    [/router\/dist\/(knowledge|fleet|rollout|allowance|placement|streams|quarantine|tunnel|serve)\//, "$1"],
    [/\/packages\/(continuation|quarantine|limit|brittle|reach)\//, "$1"],
    [/\/router\/dist\//, "router"],
];

const componentOf = (url: string): string | undefined => {
    const match = COMPONENTS.find(([pattern]) => pattern.test(url));
    return match === undefined ? undefined : match[1].replace("$1", match[0].exec(url)?.[1] ?? "");
};

/**
 * Returns the fraction of the busy samples by component: that of the innermost frame of the router on the stack,
 * `runtime` if there is none.
 *
 * @param fromMicros samples before this time of the monotonic clock are left out, and those after `toMicros`
 */
export function profileShares(
    profile: CpuProfile,
    fromMicros: number,
    toMicros: number,
): Readonly<Record<string, number>> {
    const parents = new Map(
        profile.nodes.flatMap(({ id, children = [] }) => children.map(child => [child, id] as const)),
    );
    const nodes = new Map(profile.nodes.map(node => [node.id, node]));
    const known = new Map<number, string>();
    const resolve = (id: number): string => {
        const component = known.get(id) ?? componentOf(nodes.get(id)?.callFrame.url ?? "")
            ?? (parents.has(id) ? resolve(parents.get(id) ?? 0) : "runtime");
        known.set(id, component);
        return component;
    };
    const sums = new Map<string, number>();
    const time = { at: profile.startTime, busy: 0 };
    profile.samples.forEach((id, i) => {
        const delta = profile.timeDeltas[i] ?? 0;
        time.at += delta;
        if (time.at >= fromMicros && time.at < toMicros && nodes.get(id)?.callFrame.functionName !== "(idle)") {
            const component = resolve(id);
            sums.set(component, (sums.get(component) ?? 0) + delta);
            time.busy += delta;
        }
    });
    return Object.fromEntries(
        [...sums].sort(([, a], [, b]) => b - a).map(([component, micros]) => [component, micros / time.busy]),
    );
}
