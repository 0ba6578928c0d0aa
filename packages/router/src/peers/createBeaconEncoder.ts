import type { Beacon } from "./Beacon.js";
import { BEACON_FORMAT } from "./BEACON_FORMAT.js";
import { packRows } from "./packRows.js";

/** Fields that differ between the beacons of one batch. */
type PerTarget = Pick<Beacon, "sequence" | "sentAt" | "echo" | "relayedSpent" | "relayedLoad" | "relayedDemand">;

type Common = Omit<Beacon, keyof PerTarget>;

/** Lists whose rows may be spread over several datagrams; the tokens of cached parts go with their keys. */
type RowList =
    | "weights"
    | "spent"
    | "ordered"
    | "engineVersions"
    | "cached"
    | "deaths"
    | "suspectParts"
    | "answeredParts"
    | "quarantined"
    | "limits"
    | "availability"
    | "rollouts"
    | "vms"
    | "domains"
    | "relayedSpent"
    | "relayedLoad";
type Page = ReturnType<typeof packRows<RowList>>[number];
type Row = Parameters<typeof packRows<RowList>>[0][number];

/** Maximum size of a datagram, in bytes, that all usual links carry without fragmentation. */
const DATAGRAM_BYTES = 1_200;
/**
 * Bytes reserved for what each datagram contains besides rows. `load` is part of that: the first datagram contains it
 * whole, however many endpoints it lists.
 */
const HEAD_BYTES = 420;
/** Prompt parts per row, so that a row is small compared with a datagram. */
const PARTS_PER_ROW = 8;

const rowsOf = (list: RowList, values: readonly unknown[]): readonly Row[] =>
    values.map(value => ({ list, json: JSON.stringify(value) }));

const chunksOf = <Value>(values: readonly Value[], size: number): readonly (readonly Value[])[] =>
    Array.from(
        { length: Math.max(1, Math.ceil(values.length / size)) },
        (_, i) => values.slice(i * size, (i + 1) * size),
    );

/** Makes the rows of cached parts. Keys and tokens of parts are two lists on the wire, in the same order. */
const cachedRows = (cached: Beacon["cached"]): readonly Row[] =>
    cached.flatMap(([holder, parts]) =>
        chunksOf(parts, PARTS_PER_ROW).map(chunk => ({
            list: "cached" as const,
            json: JSON.stringify([holder, chunk.map(({ key }) => key)]),
            sizes: JSON.stringify(chunk.map(({ tokens }) => tokens)),
        }))
    );
const loadRow = ([endpoint, share]: Beacon["relayedLoad"][number]): readonly unknown[] => [
    endpoint,
    share.running,
    share.waitingTokens,
    share.memoryTokens,
    ...(share.unreadBytes === undefined ? [] : [share.unreadBytes]),
];

const commonRows = (common: Common): readonly Row[] => [
    ...rowsOf("domains", common.domains.map(each => [each.failureDomain, each.vms, each.silent, each.ageMs])),
    ...rowsOf("weights", common.weights),
    ...rowsOf("spent", common.spent),
    ...rowsOf("ordered", common.ordered),
    ...rowsOf("engineVersions", common.engineVersions),
    ...rowsOf("deaths", common.deaths),
    ...rowsOf("suspectParts", common.suspectParts),
    ...rowsOf("answeredParts", common.answeredParts),
    ...rowsOf("quarantined", common.quarantined),
    ...rowsOf("limits", common.limits),
    ...rowsOf("availability", common.availability),
    ...rowsOf(
        "rollouts",
        common.rollouts.map(each => [
            each.service,
            each.id,
            each.version,
            each.durationMs,
            each.ageMs,
            each.phase ?? null,
            each.statedMs,
        ]),
    ),
    ...rowsOf(
        "vms",
        common.vms.map(each => [
            each.vm,
            each.address,
            each.failureDomain,
            each.capacity,
            each.hasStore,
            each.ageMs,
        ]),
    ),
    ...cachedRows(common.cached),
];
const targetRows = ({ relayedSpent, relayedLoad }: PerTarget): readonly Row[] => [
    ...rowsOf("relayedSpent", relayedSpent),
    ...rowsOf("relayedLoad", relayedLoad.map(loadRow)),
];

/** Encodes the fields of a datagram that follow the sequence number, the timestamp and the echo. */
const encodePage = (common: Common, page: Page, load: string, relayedDemand: number): string => {
    const { lease, registry } = common;
    const list = (name: RowList): string => `[${(page.get(name) ?? []).map(({ json }) => json).join(",")}]`;
    const sizes = (page.get("cached") ?? []).map(row => row.sizes).join(",");
    // The first of these fields is unused: VMs of earlier versions expect a list of members there.
    return [
        "[]",
        common.revision,
        JSON.stringify(common.confirmedMs ?? null),
        list("weights"),
        list("spent"),
        load,
        list("ordered"),
        list("engineVersions"),
        JSON.stringify(lease === undefined ? null : [lease.offset, lease.holder, lease.ageMs]),
        common.hasStore,
        common.isLeaving,
        common.demand,
        list("cached"),
        list("deaths"),
        list("quarantined"),
        `[${sizes}]`,
        JSON.stringify(registry === undefined ? null : [registry.digest, registry.ageMs]),
        common.upMs,
        common.capacity,
        JSON.stringify(common.scope),
        list("vms"),
        list("domains"),
        list("relayedSpent"),
        list("relayedLoad"),
        relayedDemand,
        list("rollouts"),
        list("suspectParts"),
        list("answeredParts"),
        list("limits"),
        list("availability"),
    ].join(",");
};

/**
 * Encodes beacons as datagrams, each a JSON array, since field names would take half of the bytes. The fields that are
 * the same for all receivers are encoded once, as dozens of VMs get the same.
 *
 * @returns a function that encodes the datagrams for one receiver
 */
export function createBeaconEncoder(common: Common): (own: PerTarget) => readonly Buffer[] {
    const head = JSON.stringify([BEACON_FORMAT, common.vm, common.incarnation, common.failureDomain]).slice(0, -1);
    const limit = DATAGRAM_BYTES - HEAD_BYTES;
    const load = JSON.stringify(common.load?.map(loadRow) ?? null);
    const pages = packRows(commonRows(common), limit);
    const relayedDemandOf = common.scope === "vm" ? () => 0 : ({ relayedDemand }: PerTarget) => relayedDemand;
    const isOnePage = pages.length === 1;
    const lastRows = [...pages.at(-1)?.values() ?? []].flat();
    const kept = { demand: undefined as number | undefined, text: "" };
    /** The first page is the same for all receivers with the same relayed demand, which are nearly all. */
    const firstPage = (own: PerTarget): string => {
        const demand = relayedDemandOf(own);
        if (demand !== kept.demand) {
            kept.demand = demand;
            kept.text = encodePage(common, pages[0] ?? new Map(), load, demand);
        }
        return kept.text;
    };
    const middlePages = pages.slice(1, -1).map(page => encodePage(common, page, "null", 0));

    const relayed = { key: undefined as string | undefined, tails: [] as readonly string[] };
    /**
     * Encodes the last page together with the relayed rows, which fill it up before they take a page of their own: each
     * datagram costs its sender and its receiver a system call. The result is the same for all receivers that contributed
     * nothing to these rows.
     */
    const lastPages = (own: PerTarget): readonly string[] => {
        const rows = targetRows(own);
        if (isOnePage && rows.length === 0) {
            return [firstPage(own)];
        }
        const demand = isOnePage ? relayedDemandOf(own) : 0;
        const key = `${demand} ${rows.map(({ list, json }) => `${list}${json}`).join()}`;
        if (key !== relayed.key) {
            relayed.key = key;
            relayed.tails = packRows([...lastRows, ...rows], limit).map((page, i) =>
                isOnePage && i === 0 ? encodePage(common, page, load, demand) : encodePage(common, page, "null", 0)
            );
        }
        return relayed.tails;
    };

    return own => {
        const { sequence, sentAt, echo } = own;
        const echoed = JSON.stringify(echo === undefined ? null : [echo.incarnation, echo.sentAt, echo.heldMs]);
        const tails = [...(isOnePage ? [] : [firstPage(own)]), ...middlePages, ...lastPages(own)];
        return tails.map(tail => Buffer.from(`${head},${sequence},${sentAt},${echoed},${tail}]`));
    };
}
