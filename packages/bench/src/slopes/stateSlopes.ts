import { randomBytes } from "node:crypto";

import { Incarnation, PieceHash, pieceHashes, RecordId, rendezvousOrder } from "@azureshunt/core";
import { EndpointName } from "@azureshunt/core";
import { PrefixIndex } from "@azureshunt/endpoint";
import { authenticate, digestOf } from "@azureshunt/organisation";
import type { ConfigurationState } from "@azureshunt/release";
import { foldRecord, initialState, ReleaseNote, releaseRecord } from "@azureshunt/release";

import { cpuMicros } from "./cpuMicros.js";
import { retainedBytes } from "./retainedBytes.js";
import type { Slope, SlopePoint } from "./Slope.js";
import { slopeOf } from "./slopeOf.js";

const ORGANISATIONS: readonly number[] = [1_000, 7_000, 21_000];
const BLOCKS: readonly number[] = [20_000, 60_000, 100_000];
const VMS: readonly number[] = [6, 100, 410];
const PIECES: readonly number[] = [1, 4, 16];
const ENDPOINTS = 10;
const PIECE_TOKENS = 4_096;
const BYTES_PER_TOKEN = 4;
const HASH_BYTES = 16;

const keyOf = (i: number): string => `ask_${String(i).padStart(40, "0")}`;

const fold = (state: ConfigurationState, note: unknown): ConfigurationState => {
    const data = releaseRecord(ReleaseNote.parse(note));
    const id = RecordId.parse(`record-${state.offset}`);
    return foldRecord(state, { offset: state.offset, id, at: 0, data }).state;
};

const configurationOf = (organisations: number): ConfigurationState => {
    const ids = Array.from({ length: organisations }, (_, i) => `organisation-${i}`);
    return fold(initialState, {
        note: "all organisations",
        added: {
            organisations: ids.map(id => ({ id, rate: 10_000, burst: 60_000 })),
            keys: ids.map((organisation, i) => ({ id: `key-${i}`, organisation, digest: digestOf(keyOf(i)) })),
        },
    });
};

const hashesOf = (count: number): readonly PieceHash[] =>
    Array.from({ length: count }, () => PieceHash.parse(randomBytes(HASH_BYTES).toString("hex")));

const incarnation = Incarnation.parse("run-1");

const indexOf = (hashes: readonly PieceHash[]): PrefixIndex => {
    const index = new PrefixIndex();
    const perEndpoint = Math.ceil(hashes.length / ENDPOINTS);
    Array.from({ length: ENDPOINTS }, (_, i) => i).forEach(i => {
        const endpoint = EndpointName.parse(`engine-${i}`);
        index.startIncarnation(endpoint, incarnation);
        index.resync(endpoint, {
            incarnation,
            seq: 0,
            hashes: hashes.slice(i * perEndpoint, (i + 1) * perEndpoint),
        });
    });
    return index;
};

const pointsOver = (sizes: readonly number[], measure: (items: number) => number): readonly SlopePoint[] =>
    sizes.map(items => ({ items, value: measure(items) }));

const organisationSlopes = (): readonly Slope[] => {
    const states = new Map(ORGANISATIONS.map(count => [count, configurationOf(count)]));
    const stateOf = (count: number): ConfigurationState => states.get(count) ?? initialState;
    return [
        slopeOf({
            name: "configuration kept",
            item: "organisation with one key",
            unit: "bytes",
            points: pointsOver(ORGANISATIONS, count => retainedBytes(() => configurationOf(count))),
        }),
        slopeOf({
            name: "fold of one record",
            item: "organisation known",
            unit: "CPU µs",
            points: pointsOver(ORGANISATIONS, count => {
                const state = stateOf(count);
                return cpuMicros(20, i => {
                    fold(state, {
                        note: "one more",
                        added: { organisations: [{ id: `new-${i}`, rate: 1, burst: 1 }] },
                    });
                });
            }),
        }),
        slopeOf({
            name: "check of a key",
            item: "organisation known",
            unit: "CPU µs",
            points: pointsOver(ORGANISATIONS, count => {
                const { configuration } = stateOf(count);
                return cpuMicros(2_000, i => authenticate(configuration, keyOf(i % count)));
            }),
        }),
    ];
};

const blockSlopes = (): readonly Slope[] => {
    const eventsPerBatch = 5_000;
    const lookupPieces = 5;
    const endpoints = Array.from({ length: ENDPOINTS }, (_, i) => EndpointName.parse(`engine-${i}`));
    const target = endpoints[0] ?? EndpointName.parse("engine-0");
    return [
        slopeOf({
            name: "prefix index kept",
            item: "cached block",
            unit: "bytes",
            points: pointsOver(BLOCKS, count => {
                const hashes = hashesOf(count);
                return retainedBytes(() => indexOf(hashes));
            }),
        }),
        slopeOf({
            name: "cache event, from its JSON",
            item: "cached block",
            unit: "CPU µs",
            points: pointsOver(BLOCKS, count => {
                const index = indexOf(hashesOf(count));
                const texts = hashesOf(eventsPerBatch).flatMap(hash => [
                    JSON.stringify({ incarnation, kind: "stored", hashes: [hash] }),
                    JSON.stringify({ incarnation, kind: "removed", hashes: [hash] }),
                ]);
                let seq = 0;
                return cpuMicros(texts.length, i => {
                    seq += 1;
                    const event = JSON.parse(texts[i] ?? "{}") as Parameters<PrefixIndex["apply"]>[1];
                    index.apply(target, { ...event, seq });
                });
            }),
        }),
        slopeOf({
            name: "lookup of a prompt of five pieces at ten endpoints",
            item: "cached block",
            unit: "CPU µs",
            points: pointsOver(BLOCKS, count => {
                const hashes = hashesOf(count);
                const index = indexOf(hashes);
                return cpuMicros(2_000, i => {
                    const from = (i * lookupPieces) % (count - lookupPieces);
                    index.match(hashes.slice(from, from + lookupPieces), endpoints, 0);
                });
            }),
        }),
    ];
};

const requestSlopes = (): readonly Slope[] => [
    slopeOf({
        name: "hashing of a prompt",
        item: "piece of 4,096 tokens",
        unit: "CPU µs",
        points: pointsOver(PIECES, count => {
            const prompt = "x".repeat(count * PIECE_TOKENS * BYTES_PER_TOKEN);
            return cpuMicros(200, () => pieceHashes("0".repeat(64), prompt, PIECE_TOKENS));
        }),
    }),
    slopeOf({
        name: "choice of a home by rendezvous",
        item: "VM",
        unit: "CPU µs",
        points: pointsOver(VMS, count => {
            const vms = Array.from({ length: count }, (_, i) => `vm-${i}`);
            return cpuMicros(100, i => rendezvousOrder(`organisation-${i}`, vms));
        }),
    }),
];

/** Measures slopes of the aggregates inside this process. */
export function stateSlopes(): readonly Slope[] {
    return [...organisationSlopes(), ...blockSlopes(), ...requestSlopes()];
}
