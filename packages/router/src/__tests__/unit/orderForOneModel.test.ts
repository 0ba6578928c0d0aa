import type { EndpointName, ModelName, ServiceName } from "@azureshunt/core";
import test from "ava";

import type { EngineOrder } from "../../fleet/EngineOrder.js";
import { createRelayBuffer } from "../../peers/createRelayBuffer.js";
import type { OrderedRow } from "../../peers/OrderedRow.js";
import { emptyBeacon } from "../support/emptyBeacon.js";
import { endpointTableOf } from "../support/endpointTableOf.js";
import { entryOf } from "../support/entryOf.js";

const alpha = "alpha" as ModelName;
const beta = "beta" as ModelName;
const engine = "e" as EndpointName;
const service = "lm" as ServiceName;

type Versions = Readonly<Record<"alpha" | "beta", number>>;
type Case = {
    readonly name: string;
    /** Versions that the engine states. */
    readonly versions: Versions;
    /** Model and version of the order; VMs of earlier versions name no model. */
    readonly order: readonly [model: ModelName | undefined, version: number];
    /** Versions that the engine's answers state since. */
    readonly answered?: Partial<Versions>;
    /** Models for which the engine takes requests. */
    readonly serves: readonly ModelName[];
    /** Models whose streams leave the engine. */
    readonly moves: readonly ModelName[];
    readonly isInProgress: boolean;
    /** What the other VMs are told if the order is this VM's. */
    readonly row?: OrderedRow;
};

const cases: readonly Case[] = [
    {
        name: "keeps requests for that one away, and moves its streams",
        versions: { alpha: 1, beta: 1 },
        order: [alpha, 2],
        serves: [beta],
        moves: [alpha],
        isInProgress: true,
        row: [engine, 2, 0, alpha],
    },
    {
        name: "is in progress although the other holds a later version",
        versions: { alpha: 1, beta: 5 },
        order: [alpha, 2],
        answered: { beta: 6 },
        serves: [beta],
        moves: [alpha],
        isInProgress: true,
        row: [engine, 2, 0, alpha],
    },
    {
        name: "is over once its version is held, although the other holds an earlier one",
        versions: { alpha: 1, beta: 1 },
        order: [alpha, 2],
        answered: { alpha: 2 },
        serves: [alpha, beta],
        moves: [alpha],
        isInProgress: false,
    },
    {
        name: "keeps requests for all older ones away if it is not known which, but moves no streams",
        versions: { alpha: 1, beta: 3 },
        order: [undefined, 2],
        serves: [beta],
        moves: [],
        isInProgress: true,
    },
    {
        name: "is over once all hold its version if it is not known which",
        versions: { alpha: 1, beta: 3 },
        order: [undefined, 2],
        answered: { alpha: 2 },
        serves: [alpha, beta],
        moves: [],
        isInProgress: false,
    },
];

// Guards against an order for one model that is taken for one of another at the same engine: requests for the other go
// elsewhere, its streams leave, and the order is over too early or too late.
cases.forEach(({ name, versions, order: [model, version], answered = {}, serves, moves, isInProgress, row }) => {
    test(`order for one model of an engine: ${name}`, t => {
        const { endpointTable, time } = endpointTableOf();
        const entry = entryOf(engine, { service, versions: new Map([[alpha, versions.alpha], [beta, versions.beta]]) });
        endpointTable.applyRegistryEvent({ kind: "changes", changes: [{ name: engine, entry }] });
        const moved = new Set<ModelName>();
        [alpha, beta].forEach(each => endpointTable.onOrdered(engine, each, () => moved.add(each)));
        const order: EngineOrder = {
            model,
            version,
            issuedAt: time.now,
            seenAt: time.now,
            isOwn: model !== undefined,
        };
        endpointTable.recordOrder(engine, order);
        Object.entries(answered).forEach(([each, held]) =>
            endpointTable.observeWeights(engine, { model: each as ModelName, version: held })
        );
        const isServed = (each: ModelName): boolean =>
            endpointTable.candidates({
                service,
                model: each,
                promptAt: () => ({ missingTokens: 0, fetchedTokens: 0, source: undefined }),
                select: undefined,
                avoid: new Set(),
            }).length > 0;
        t.deepEqual([alpha, beta].filter(isServed), serves);
        t.deepEqual([...moved], moves);
        [alpha, beta].forEach(each => t.is(endpointTable.engines(each)[0]?.order !== undefined, isInProgress));
        t.deepEqual(endpointTable.ownOrders(), row === undefined ? [] : [row]);
    });
});

// Guards against a relay that sends an order on without its model.
test("order for one model of an engine: a relay names the model as it was received", t => {
    const buffer = createRelayBuffer({
        clock: { now: () => 0, epoch: () => 0 },
        vm: emptyBeacon.vm,
        relays: () => [emptyBeacon.vm],
        beaconIntervalMs: () => 500,
    });
    const rows: readonly OrderedRow[] = [[engine, 2, 10, alpha], ["f" as EndpointName, 2, 10]];
    buffer.applyBeacon({ cached: [], ordered: rows }, "leaf");
    t.deepEqual(buffer.ordered("domain"), rows);
});
