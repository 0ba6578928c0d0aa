import type { EndpointName, FailureDomain, Millis, ServiceName, Tokens } from "@azureshunt/core";

import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { choosePlace } from "../../placement/choosePlace.js";
import { createPrefixIndex } from "../../placement/createPrefixIndex.js";
import type { PrefixPart } from "../../placement/PrefixPart.js";
import { sampleCandidates } from "../../placement/sampleCandidates.js";
import { createPromptShares } from "../../serve/createPromptShares.js";
import type { ServeParts } from "../../serve/ServeParts.js";
import { candidateOf } from "./candidateOf.js";
import { createVirtualTime } from "./createVirtualTime.js";
import { entryOf } from "./entryOf.js";
import { routingOf } from "./routingOf.js";

/** A load of prompts with shared parts on a fleet; what is not stated is that of a fleet of dozens of VMs. */
type PlacementRun = {
    readonly random: () => number;
    readonly lengthMs: Millis;
    readonly vms: number;
    readonly engines: number;
    readonly stores: number;
    /** How long it takes until all VMs know of parts that an engine has prefilled: at least, at most. */
    readonly newsMs: readonly [Millis, Millis];
    /** Whether prompts are saved to a store; own parts are saved with the shared ones. */
    readonly mayBeSaved: (ownTokens: Tokens, sharedTokens: Tokens) => boolean;
    /** When new weights are set. Engines load them in waves, and drop all cached parts. */
    readonly newWeightsAt: readonly Millis[];
};

type PlacementResult = {
    /** Tokens prefilled, and those of them in shared parts that an engine had prefilled under the same weights. */
    readonly prefilled: Tokens;
    readonly again: Tokens;
    /** Mean time for which transfers waited for the link of a store. */
    readonly storeWaitMs: Millis;
};

type Engine = {
    readonly name: EndpointName;
    readonly address: string;
    readonly failureDomain: FailureDomain;
    readonly cached: Map<string, Tokens>;
    weights: number;
    isLoading: boolean;
    freeAt: Millis;
    waitingTokens: Tokens;
    running: number;
};
type Store = { readonly address: string; readonly cached: Map<string, Tokens>; linkFreeAt: Millis; };
type Prompt = { readonly parts: readonly PrefixPart[]; readonly ownTokens: Tokens; };

const DOMAINS = ["a", "b", "c"].map(name => name as FailureDomain);
const ENGINE_TOKENS = 300_000;
const STORE_TOKENS = 1_500_000;
const PREFILL_PER_MS = 80;
const STORE_LINK_PER_MS = 280;
/** A transfer that would wait longer is not started. */
const MAX_TRANSFER_WAIT_MS = 2_000;
const NEWS_OF_LOAD_MS = 300;
const FIRST_TOKEN_MS = 45;
const ANSWER_MS = 300;
const LOAD_WEIGHTS_MS = 1_500;
const WAVE_FRACTION = 0.25;
/** A part that is used again after a longer time may well have been evicted everywhere. */
const REUSE_MS = 10_000;

/** Long prompts that share large parts among few requests, and short ones that share small parts among many. */
const KINDS = [
    { arrivalMs: 15, roots: 3, rootTokens: 512, subjects: 500, subjectTokens: 4_800, ownTokens: 6_600 },
    { arrivalMs: 4, roots: 40, rootTokens: 340, subjects: 2_500, subjectTokens: 230, ownTokens: 1_800 },
] as const;

/** Caches parts, the last ones first, and evicts the least recently used ones. */
const touch = (cached: Map<string, Tokens>, parts: readonly PrefixPart[], size: Tokens): void => {
    parts.toReversed().forEach(({ key, tokens }) => {
        cached.delete(key);
        cached.set(key, tokens);
    });
    const total = { tokens: [...cached.values()].reduce((sum, tokens) => sum + tokens, 0) };
    [...cached].some(([key, tokens]) => {
        if (total.tokens > size) {
            cached.delete(key);
            total.tokens -= tokens;
        }
        return total.tokens <= size;
    });
};

const sumOf = (parts: readonly PrefixPart[]): Tokens => parts.reduce((sum, { tokens }) => sum + tokens, 0);

/** Plays placing VMs, engines and cache stores in virtual time, with the router's own decisions. */
export function simulatePlacement(run: PlacementRun): PlacementResult {
    const { random } = run;
    const { clock, schedule, runUntil } = createVirtualTime();
    const service = "lm" as ServiceName;
    const engines = Array.from({ length: run.engines }, (_, i): Engine => ({
        name: `e${i}` as EndpointName,
        address: `10.0.0.${i}:80`,
        failureDomain: DOMAINS[i % DOMAINS.length] ?? "a" as FailureDomain,
        cached: new Map(),
        weights: 1,
        isLoading: false,
        freeAt: 0,
        waitingTokens: 0,
        running: 0,
    }));
    const stores = Array.from({ length: run.stores }, (_, i): Store => ({
        address: `10.9.9.${i}:80`,
        cached: new Map(),
        linkFreeAt: 0,
    }));
    const engineNamed = new Map(engines.map(engine => [engine.name, engine]));
    const limitsOf = (holder: string) =>
        engineNamed.has(holder as EndpointName)
            ? { expiryMs: 8_000, size: ENGINE_TOKENS }
            : { expiryMs: 20_000, size: STORE_TOKENS };
    const vms = Array.from({ length: run.vms }, () => createPrefixIndex(limitsOf));
    const services = new Map(stores.map(({ address }) => {
        const name = address as ServiceName;
        const cacheStore = { address, failureDomain: "a" as FailureDomain, cacheTokens: STORE_TOKENS };
        return [name, { name, maxConnections: 9, engine: undefined, cacheStore }];
    }));
    const declared = { ...initialDeclaredState, configuration: { ...routingOf(1, []), services } };
    const entries = new Map(
        engines.map(({ name, address, failureDomain }) =>
            [name, entryOf(name, { service, address, failureDomain })] as const
        ),
    );
    const load = { known: new Map<EndpointName, Pick<Engine, "waitingTokens" | "running">>() };
    const target = { weights: 1 };
    const lastUsedAt = new Map<string, Millis>();
    const sums = { requests: 0, prefilled: 0, again: 0, waits: 0, waitMs: 0 };

    const orderWave = (): void => {
        const free = Math.ceil(engines.length * WAVE_FRACTION) - engines.filter(({ isLoading }) => isLoading).length;
        engines.filter(({ weights, isLoading }) => weights < target.weights && !isLoading).slice(0, Math.max(0, free))
            .forEach(engine => {
                engine.isLoading = true;
                schedule(LOAD_WEIGHTS_MS, () => {
                    engine.cached.clear();
                    engine.weights = target.weights;
                    engine.isLoading = false;
                    orderWave();
                });
            });
    };
    const transfer = (store: Store | undefined, tokens: Tokens, then: () => void): boolean => {
        if (store === undefined) {
            then();
            return true;
        }
        const waitMs = Math.max(0, store.linkFreeAt - clock.now());
        sums.waits += 1;
        sums.waitMs += waitMs;
        if (waitMs > MAX_TRANSFER_WAIT_MS) {
            return false;
        }
        store.linkFreeAt = clock.now() + waitMs + tokens / STORE_LINK_PER_MS;
        schedule(store.linkFreeAt - clock.now(), then);
        return true;
    };
    const tell = (holder: string, parts: readonly PrefixPart[]): void => {
        const [least, most] = run.newsMs;
        schedule(
            least + random() * (most - least),
            () => vms.forEach(index => index.receiveParts(holder, parts, clock.now())),
        );
    };
    const prefill = (
        engine: Engine,
        chain: readonly PrefixPart[],
        cachedParts: number,
        saveTo: Store | undefined,
    ): void => {
        const own = chain.slice(cachedParts);
        const shared = own.slice(0, -1);
        sums.prefilled += sumOf(own);
        sums.again += sumOf(shared.filter(({ key }) => clock.now() - (lastUsedAt.get(key) ?? -Infinity) < REUSE_MS));
        chain.slice(0, -1).forEach(({ key }) => lastUsedAt.set(key, clock.now()));
        engine.freeAt = Math.max(clock.now(), engine.freeAt) + sumOf(own) / PREFILL_PER_MS;
        const { weights } = engine;
        schedule(engine.freeAt - clock.now(), () => {
            if (engine.weights === weights) {
                touch(engine.cached, chain, ENGINE_TOKENS);
                tell(engine.name, chain);
            }
            if (saveTo !== undefined) {
                const missing = chain.filter(({ key }) => !saveTo.cached.has(key));
                transfer(saveTo, sumOf(missing), () => {
                    touch(saveTo.cached, chain, STORE_TOKENS);
                    tell(saveTo.address, chain);
                });
            }
        });
    };
    const cachedPartsAt = (cached: ReadonlyMap<string, Tokens>, chain: readonly PrefixPart[]): number => {
        const missing = chain.findIndex(({ key }) => !cached.has(key));
        return missing < 0 ? chain.length : missing;
    };
    const place = ({ parts, ownTokens }: Prompt): void => {
        const index = vms[Math.floor(random() * vms.length)];
        const domain = DOMAINS[Math.floor(random() * DOMAINS.length)];
        const usable = engines.filter(({ isLoading }) => !isLoading);
        if (index === undefined || usable.length === 0) {
            return;
        }
        const promptTokens = sumOf(parts) + ownTokens;
        const chains = new Map([...new Set(usable.map(({ weights }) => weights))].map(weights => {
            const own = { key: `own ${sums.requests}`, tokens: ownTokens };
            return [weights, [...parts, own].map(({ key, tokens }) => ({ key: `${weights} ${key}`, tokens }))] as const;
        }));
        const shares = new Map([...chains].map(([weights, chain]) => {
            const serveParts = {
                clock,
                prefixIndex: index,
                isDomainSilent: () => false,
                fleetDemand: () => Infinity,
                declaredState: () => declared,
                endpointTable: { entryOf: (name: EndpointName) => entries.get(name) },
            } as unknown as ServeParts;
            const peers = usable.filter(engine => engine.weights === weights).flatMap(({ name }) =>
                entries.get(name) ?? []
            );
            return [weights, createPromptShares(serveParts, promptTokens, chain, peers)] as const;
        }));
        const candidates = usable.map(({ name, failureDomain, weights }) =>
            candidateOf(name, {
                isSameDomain: failureDomain === domain,
                memorySize: ENGINE_TOKENS,
                ...load.known.get(name),
                ...shares.get(weights)?.shareOf(name, failureDomain),
            })
        );
        const chosen = choosePlace(sampleCandidates(candidates, run.vms, random), clock.now(), random)?.candidate;
        const engine = chosen === undefined ? undefined : engineNamed.get(chosen.name);
        const chain = engine === undefined ? undefined : chains.get(engine.weights);
        const share = engine === undefined ? undefined : shares.get(engine.weights);
        if (chosen === undefined || engine === undefined || chain === undefined || share === undefined) {
            return;
        }
        const { source } = share.shareOf(engine.name, engine.failureDomain);
        const sharedTokens = sumOf(parts);
        const saves = share.storedTokens < sharedTokens && run.mayBeSaved(ownTokens, sharedTokens);
        const saveTo = saves ? stores.find(({ address }) => address === share.store) : undefined;
        const holder = stores.find(({ address }) => address === source) ??
            engines.find(({ address }) => address === source);
        const cachedParts = cachedPartsAt(engine.cached, chain);
        const fetchable = holder === undefined ? 0 : cachedPartsAt(holder.cached, chain);
        engine.running += 1;
        engine.waitingTokens += chosen.missingTokens;
        schedule(ANSWER_MS, () => {
            engine.running -= 1;
            engine.waitingTokens -= chosen.missingTokens;
        });
        const fetched = chain.slice(cachedParts, fetchable);
        const store = stores.find(each => each === holder);
        const isFetched = fetched.length > 0 &&
            transfer(store, sumOf(fetched), () => prefill(engine, chain, fetchable, saveTo));
        if (!isFetched) {
            prefill(engine, chain, cachedParts, saveTo);
        }
        if (isFetched && holder !== undefined) {
            touch(holder.cached, fetched, store === undefined ? ENGINE_TOKENS : STORE_TOKENS);
        }
        schedule(FIRST_TOKEN_MS, () => index.receiveParts(engine.name, chain, clock.now()));
    };
    const arrive = (kind: typeof KINDS[number], i: number): void => {
        sums.requests += 1;
        // Some subjects are asked for more often than others.
        const subject = Math.floor(kind.subjects * random() ** 1.5);
        place({
            parts: [
                { key: `${i} root ${subject % kind.roots}`, tokens: kind.rootTokens },
                { key: `${i} subject ${subject}`, tokens: kind.subjectTokens },
            ],
            ownTokens: Math.round(kind.ownTokens * 2 * random() ** 2),
        });
        schedule(-Math.log(1 - random()) * kind.arrivalMs, () => arrive(kind, i));
    };
    const tellLoad = (): void => {
        const known = new Map(
            engines.map(({ name, waitingTokens, running }) => [name, { waitingTokens, running }] as const),
        );
        schedule(NEWS_OF_LOAD_MS, () => load.known = known);
        schedule(NEWS_OF_LOAD_MS, tellLoad);
    };

    KINDS.forEach(arrive);
    tellLoad();
    run.newWeightsAt.forEach(at =>
        schedule(at, () => {
            target.weights += 1;
            orderWave();
        })
    );
    runUntil(run.lengthMs);
    const { prefilled, again, waitMs, waits } = sums;
    return { prefilled, again, storeWaitMs: waits === 0 ? 0 : waitMs / waits };
}
