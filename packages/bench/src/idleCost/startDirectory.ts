import type { EndpointName } from "@azureshunt/core";
import { directoryWire } from "@azureshunt/platform/dist/directoryWire.js";
import { startStore } from "@azureshunt/platform/dist/standins/startStore.js";
import type { EndpointEntry } from "@azureshunt/router";
import { digestOfRegistry } from "@azureshunt/router/dist/registry/digestOfRegistry.js";

import type { IdleCase } from "./IdleCase.js";
import { idleConfiguration } from "./idleConfiguration.js";

/** A stand-in of the store with the state of a fleet, whose endpoints send heartbeats. */
type Directory = {
    /** `host:port` of the store. */
    readonly address: string;
    /** Digest of the entries, as beacons name it. */
    readonly digest: string;
    readonly engines: readonly EndpointName[];
    readonly stop: () => void;
};

/** Time between two heartbeats of an endpoint; those of all endpoints are spread over it. */
const HEARTBEAT_MS = 1_000;
const BEAT_MS = 50;
/** Every third endpoint is a replica of a plain service. */
const PLAIN_EVERY = 3;
const BORN_AT = 1_700_000_000_000;

/** Starts the store and the heartbeats. */
export async function startDirectory({ endpoints, domains }: IdleCase): Promise<Directory> {
    const store = await startStore();
    store.write(directoryWire.declarationsTopic, "config", idleConfiguration());
    store.write(directoryWire.declarationsTopic, "version/m", { Model: "m", Version: 1 });
    const rows = Array.from({ length: endpoints }, (_, i) => {
        const isEngine = i % PLAIN_EVERY !== 0;
        return {
            name: `e-${i}` as EndpointName,
            isEngine,
            record: (sequence: number) => ({
                Service: isEngine ? "lm" : "desk",
                Address: `127.91.${Math.floor(i / 250)}.${1 + i % 250}:8000`,
                Zone: `d${i % domains}`,
                Version: "v1",
                Slots: 12,
                State: "ready",
                Models: isEngine ? [{ Name: "m", Version: 1 }] : [],
                Sequence: sequence,
                born: BORN_AT + i,
            }),
        };
    });
    const write = (row: (typeof rows)[number], sequence: number): void =>
        store.write(directoryWire.registryTopic, row.name, row.record(sequence));
    rows.forEach(row => write(row, 0));
    const beats = HEARTBEAT_MS / BEAT_MS;
    const beat = { number: 0 };
    const timer = setInterval(() => {
        beat.number += 1;
        rows.filter((_, i) => i % beats === beat.number % beats).forEach(row => write(row, beat.number));
    }, BEAT_MS);
    const entries = rows.map(row => {
        const value = Buffer.from(JSON.stringify(row.record(0)));
        return directoryWire.decodeEntry(row.name, value).unsafeCoerce();
    });
    const registered = new Map(
        entries.map((entry: EndpointEntry) => [entry.name, { entry, missingSince: undefined }] as const),
    );
    return {
        address: store.address,
        digest: digestOfRegistry({ endpoints: registered }),
        engines: rows.filter(({ isEngine }) => isEngine).map(({ name }) => name),
        stop: () => {
            clearInterval(timer);
            store.stop();
        },
    };
}
