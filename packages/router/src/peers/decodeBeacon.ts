import { holderOf } from "../fleet/holderOf.js";
import { rolloutPhases } from "../rollout/rolloutPhases.js";
import type { Beacon } from "./Beacon.js";
import { BEACON_FORMAT } from "./BEACON_FORMAT.js";
import { isVmAddress } from "./isVmAddress.js";

const MIN_FIELDS = 20;
/** Positions of optional fields; VMs that run an earlier version leave them out. */
const DEATHS = 20;
const QUARANTINED = 21;
/** Tokens of the cached parts, in the same order as their keys. */
const CACHED_TOKENS = 22;
const REGISTRY = 23;
const UP_MS = 24;
const CAPACITY = 25;
const SCOPE = 26;
const VMS = 27;
const DOMAINS = 28;
const RELAYED_SPENT = 29;
const RELAYED_LOAD = 30;
const RELAYED_DEMAND = 31;
const ROLLOUTS = 32;
const SUSPECT_PARTS = 33;
const ANSWERED_PARTS = 34;
const LIMITS = 35;
const AVAILABILITY = 36;

/** VMs of one failure domain at most. */
const MAX_VMS = 65_535;

const PHASES: readonly unknown[] = rolloutPhases;
const SCOPES: readonly unknown[] = ["vm", "domain", "fleet", "referral"];

type Row = readonly unknown[];

const isRow = (value: unknown): value is Row => Array.isArray(value);
const isText = (value: unknown): value is string => typeof value === "string" && value.length > 0;
const isFlag = (value: unknown): value is boolean => typeof value === "boolean";
const isPhaseOrNull = (value: unknown): boolean => value === null || PHASES.includes(value);
const isNumber = (value: unknown): value is number => typeof value === "number" && Number.isFinite(value);
/** A list of as many VMs is made of it, so a wrong one must not use up the memory. */
const isCount = (value: unknown): boolean => Number.isInteger(value) && Number(value) >= 0 && Number(value) <= MAX_VMS;
const isTextOrAbsent = (value: unknown): boolean => value === undefined || isText(value);
const isNumberOrAbsent = (value: unknown): boolean => value === undefined || isNumber(value);

const areRows = (value: unknown, ...checks: readonly ((item: unknown) => boolean)[]): boolean =>
    isRow(value) && value.every(row => isRow(row) && checks.every((check, i) => check(row[i])));

/** VMs of earlier versions send no unread bytes. */
const LOAD_ROW = [isText, isNumber, isNumber, isNumber, isNumberOrAbsent];

const areNumbers = (value: unknown): boolean => isRow(value) && value.every(row => isRow(row) && row.every(isNumber));

const isRowOrNull = (value: unknown, ...checks: readonly ((item: unknown) => boolean)[]): boolean =>
    value === null || (isRow(value) && checks.every((check, i) => check(value[i])));

/**
 * Returns whether the fields are valid. Checked by hand, as a schema library would cost as much as all other work on a
 * beacon.
 */
const isValid = (row: Row): boolean =>
    row[0] === BEACON_FORMAT
    && row.length >= MIN_FIELDS
    && isText(row[1]) && isText(row[2]) && isText(row[3])
    && isNumber(row[4]) && isNumber(row[5])
    && isRowOrNull(row[6], isText, isNumber, isNumber)
    && areRows(row[7], isText, isText)
    && isNumber(row[8])
    && (row[9] === null || isNumber(row[9]))
    && areRows(row[10], isText, isNumber, isNumberOrAbsent)
    && areRows(row[11], isText, isNumber, isNumberOrAbsent)
    && (row[12] === null || areRows(row[12], ...LOAD_ROW))
    && areRows(row[13], isText, isNumber, isNumber, isTextOrAbsent)
    && areRows(row[14], isText, isNumber, isTextOrAbsent)
    && isRowOrNull(row[15], isNumber, isText, isNumber)
    && typeof row[16] === "boolean" && typeof row[17] === "boolean"
    && isNumber(row[18])
    && areRows(row[19], isText, keys => isRow(keys) && keys.every(isText))
    && areRows(row[DEATHS] ?? [], isText, isText)
    && areRows(row[QUARANTINED] ?? [], isText, isNumber)
    && (row[CACHED_TOKENS] === undefined || areNumbers(row[CACHED_TOKENS]))
    && isRowOrNull(row[REGISTRY] ?? null, isText, isNumber)
    && (row[UP_MS] === undefined || isNumber(row[UP_MS]))
    && isNumber(row[CAPACITY] ?? 0)
    && SCOPES.includes(row[SCOPE] ?? "vm")
    && areRows(row[VMS] ?? [], isText, isVmAddress, isText, isNumber, isFlag, isNumber)
    && areRows(row[DOMAINS] ?? [], isText, isCount, isCount, isNumber)
    && areRows(row[RELAYED_SPENT] ?? [], isText, isNumber, isNumber)
    && areRows(row[RELAYED_LOAD] ?? [], ...LOAD_ROW)
    && isNumber(row[RELAYED_DEMAND] ?? 0)
    && areRows(row[ROLLOUTS] ?? [], isText, isNumber, isText, isNumber, isNumber, isPhaseOrNull, isNumber)
    && areRows(row[SUSPECT_PARTS] ?? [], isText, isText, isFlag, isNumber)
    && areRows(row[ANSWERED_PARTS] ?? [], isText, isNumber)
    && areRows(row[LIMITS] ?? [], isText, isNumber, isNumber, isNumber)
    && areRows(row[AVAILABILITY] ?? [], isText, isNumber, isNumber, isNumber);

const parse = (datagram: Buffer): unknown => {
    try {
        return JSON.parse(datagram.toString("utf8"));
    }
    catch {
        // No VM sends anything but JSON; the caller counts such datagrams.
        return undefined;
    }
};

type LoadRow = readonly [string, number, number, number, number?];

const loadOfRow = ([name, running, waitingTokens, memoryTokens, unreadBytes = 0]: LoadRow): unknown => [
    name,
    { running, waitingTokens, memoryTokens, ...(unreadBytes > 0 ? { unreadBytes } : {}) },
];

/**
 * Decodes a datagram; `undefined` if it is no beacon of this format. Additional fields of later versions are ignored.
 */
export function decodeBeacon(datagram: Buffer): Beacon | undefined {
    const row = parse(datagram);
    if (!isRow(row) || !isValid(row)) {
        return undefined;
    }
    const [, vm, incarnation, failureDomain, sequence, sentAt, echo, , revision, confirmed, weights, spent] = row;
    const [load, ordered, engineVersions, lease, hasStore, isLeaving, demand, cached] = row.slice(12);
    const cachedKeys = cached as readonly [string, readonly string[]][];
    const cachedTokens = (row[CACHED_TOKENS] ?? []) as readonly (readonly number[])[];
    const registry = row[REGISTRY];
    const spending = spent as readonly [string, number, number | undefined][];
    const loads = load as readonly LoadRow[] | null;
    const vms = (row[VMS] ?? []) as readonly (readonly unknown[])[];
    const rollouts = (row[ROLLOUTS] ?? []) as readonly (readonly unknown[])[];
    const domains = (row[DOMAINS] ?? []) as readonly (readonly unknown[])[];
    // All fields were checked above; the casts only add the branded types.
    return {
        vm,
        incarnation,
        failureDomain,
        sequence,
        sentAt,
        echo: isRow(echo) ? { incarnation: echo[0], sentAt: echo[1], heldMs: echo[2] } : undefined,
        revision,
        confirmedMs: confirmed ?? undefined,
        weights,
        // Earlier versions do not send the tokens requested per second.
        spent: spending.map(([id, tokens, perSecond]) => [id, tokens, perSecond ?? 0]),
        load: loads?.map(loadOfRow),
        ordered,
        engineVersions,
        lease: isRow(lease) ? { offset: lease[0], holder: holderOf(String(lease[1])), ageMs: lease[2] } : undefined,
        hasStore,
        isLeaving,
        demand,
        cached: cachedKeys.map(([holder, keys], i) => [
            holder,
            keys.map((key, k) => ({ key, tokens: cachedTokens[i]?.[k] ?? 0 })),
        ]),
        registry: isRow(registry) ? { digest: registry[0], ageMs: registry[1] } : undefined,
        deaths: row[DEATHS] ?? [],
        quarantined: row[QUARANTINED] ?? [],
        suspectParts: row[SUSPECT_PARTS] ?? [],
        answeredParts: row[ANSWERED_PARTS] ?? [],
        limits: row[LIMITS] ?? [],
        availability: row[AVAILABILITY] ?? [],
        rollouts: rollouts.map(([service, id, version, durationMs, ageMs, phase, statedMs]) => ({
            service,
            id,
            version,
            durationMs,
            ageMs,
            phase: phase ?? undefined,
            statedMs,
        })),
        upMs: row[UP_MS] ?? Infinity,
        capacity: row[CAPACITY] ?? 0,
        scope: row[SCOPE] ?? "vm",
        vms: vms.map(([name, address, domain, capacity, reads, ageMs]) => ({
            vm: name,
            address,
            failureDomain: domain,
            capacity,
            hasStore: reads,
            ageMs,
        })),
        domains: domains.map(([domain, count, silent, ageMs]) => ({
            failureDomain: domain,
            vms: count,
            silent,
            ageMs,
        })),
        relayedSpent: row[RELAYED_SPENT] ?? [],
        relayedLoad: ((row[RELAYED_LOAD] ?? []) as readonly LoadRow[]).map(loadOfRow),
        relayedDemand: row[RELAYED_DEMAND] ?? 0,
    } as unknown as Beacon;
}
