import type { OrganisationId } from "@azureshunt/core";
import test from "ava";

import type { DeclaredState } from "../../knowledge/DeclaredState.js";
import { initialDeclaredState } from "../../knowledge/initialDeclaredState.js";
import { organisationOf } from "../support/organisationOf.js";
import { routingOf } from "../support/routingOf.js";
import { saltWhenPlaced } from "../support/saltWhenPlaced.js";
import { seededRandom } from "../support/seededRandom.js";

/** Age up to which a key is accepted. */
const MAX_AGE_MS = 4_000;
const ORGANISATIONS = ["a", "b", "c"] as const;
type Name = (typeof ORGANISATIONS)[number];
const SEEDS = 60;
const STEPS = 400;
const VMS = 4;

const memberOf = (name: Name, isIsolated: boolean) => ({ ...organisationOf(1, 1, name), isIsolated });
/** What a VM knows that has read a revision at 0. */
const stateOf = (isolated: readonly Name[], members: readonly Name[] = ORGANISATIONS): DeclaredState => ({
    ...initialDeclaredState,
    configuration: {
        ...routingOf(1, [{}]),
        organisations: new Map(
            members.map(name => [name as string as OrganisationId, memberOf(name, isolated.includes(name))]),
        ),
    },
    confirmedAt: 0,
});
const saltOf = (declaredState: DeclaredState, name: Name | undefined, now = 0, weights = 1) =>
    saltWhenPlaced({
        declaredState,
        organisation: name === undefined ? undefined : memberOf(name, false),
        maxAgeForKeysMs: MAX_AGE_MS,
        weights,
    }, now);

const shared: readonly {
    readonly name: string;
    readonly salts: () => readonly (string | undefined)[];
    readonly areEqual: boolean;
}[] = [
    {
        name: "the organisations of one configuration share",
        salts: () => [saltOf(stateOf([]), "a"), saltOf(stateOf([]), "b"), saltOf(stateOf([]), undefined)],
        areEqual: true,
    },
    {
        name: "other organisations do not use what one has left that becomes isolated",
        salts: () => [saltOf(stateOf([]), "a"), saltOf(stateOf(["a"]), "b")],
        areEqual: false,
    },
    {
        name: "one that becomes isolated does not use what others have left",
        salts: () => [saltOf(stateOf([]), "b"), saltOf(stateOf(["a"]), "a")],
        areEqual: false,
    },
    {
        name: "a request admitted before the change is placed under the configuration in force",
        salts: () => [saltOf(stateOf(["a"]), "a"), saltOf(stateOf(["a"]), "b")],
        areEqual: false,
    },
    {
        name: "the others keep what they share while the isolation stays, in any order of the list",
        salts: () => [saltOf(stateOf(["a"]), "b"), saltOf(stateOf(["a"], ["c", "b", "a"]), "c")],
        areEqual: true,
    },
    {
        name: "two that are isolated in turn do not share",
        salts: () => [saltOf(stateOf(["a"]), "b"), saltOf(stateOf(["b"]), "a")],
        areEqual: false,
    },
    {
        name: "two VMs whose configuration is too old share nothing between organisations",
        salts: () => [saltOf(stateOf([]), "a", MAX_AGE_MS + 1), saltOf(stateOf([]), "b", MAX_AGE_MS + 1)],
        areEqual: false,
    },
    {
        name: "without a key, a VM whose configuration is too old does not use what organisations have left",
        salts: () => [saltOf(stateOf([]), "a"), saltOf(stateOf([]), undefined, MAX_AGE_MS + 1)],
        areEqual: false,
    },
    {
        name: "other weights have another salt",
        salts: () => [saltOf(stateOf(["a"]), "b"), saltOf(stateOf(["a"]), "b", 0, 2)],
        areEqual: false,
    },
];

// Guards against prompt parts of an isolated organisation being used by others, and the other way round.
shared.forEach(({ name, salts, areEqual }) => {
    test(`isolated organisations: ${name}`, t => {
        const distinct = new Set(salts());
        t.false(distinct.has(undefined));
        t.is(distinct.size === 1, areEqual);
    });
});

type Use = { readonly user: Name; readonly maker: Name; };

/** Lets VMs that lag, are cut off and start again place requests while organisations are isolated, released and removed. */
const play = (seed: number): { readonly broken: readonly Use[]; readonly sharedUses: number; } => {
    const random = seededRandom(seed);
    const pick = <Value>(values: readonly Value[]): Value => values[Math.floor(random() * values.length)] as Value;
    const time = { now: 0 };
    const declared = { members: ORGANISATIONS as readonly Name[], isolatedSince: new Map<Name, number>() };
    const read = (): DeclaredState => ({
        ...stateOf([...declared.isolatedSince.keys()], declared.members),
        confirmedAt: time.now,
    });
    const vms = Array.from({ length: VMS }, read);
    const makersBySalt = new Map<string, Set<Name>>();
    const found = { broken: [] as Use[], sharedUses: 0 };

    const change = (): void => {
        const name = pick(ORGANISATIONS);
        const kind = pick(["isolate", "release", "remove", "restore"]);
        const isMember = declared.members.includes(name);
        if (kind === "isolate" && !declared.isolatedSince.has(name)) {
            declared.members = [...new Set([...declared.members, name])];
            declared.isolatedSince.set(name, time.now);
        }
        if (kind === "release" || kind === "remove") {
            declared.isolatedSince.delete(name);
        }
        if (kind === "remove" && isMember) {
            declared.members = declared.members.filter(member => member !== name);
        }
        if (kind === "restore" && !isMember) {
            declared.members = [...declared.members, name];
        }
    };
    const request = (): void => {
        const user = pick(ORGANISATIONS);
        const salt = saltOf(pick(vms), user, time.now) ?? "";
        const makers = makersBySalt.get(salt) ?? new Set();
        makersBySalt.set(salt, makers);
        const uses = [...makers].filter(maker => maker !== user).map(maker => ({ user, maker }));
        found.sharedUses += uses.length;
        const isLongIsolated = (name: Name): boolean =>
            time.now - (declared.isolatedSince.get(name) ?? Infinity) > MAX_AGE_MS;
        found.broken.push(...uses.filter(use => isLongIsolated(use.user) || isLongIsolated(use.maker)));
        makers.add(user);
    };
    Array.from({ length: STEPS }).forEach(() => {
        time.now += random() * 400;
        const kind = random();
        if (kind < 0.1) {
            change();
        }
        else if (kind < 0.4) {
            // A read, or a start of the process; a VM that is not picked for long is cut off.
            vms[Math.floor(random() * VMS)] = read();
        }
        else {
            request();
        }
    });
    return found;
};

// Guards against parts crossing the isolation through VMs that know different configurations.
test("isolated organisations: no part is used across the isolation once it has been declared for as long as keys", t => {
    const plays = Array.from({ length: SEEDS }, (_, i) => play(i + 1));
    t.deepEqual(plays.flatMap(({ broken }) => broken), []);
    t.true(plays.every(({ sharedUses }) => sharedUses > 0));
});
