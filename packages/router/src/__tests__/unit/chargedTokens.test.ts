import test from "ava";

import type { Organisation } from "../../configuration/Organisation.js";
import { chargedTokens } from "../../serve/chargedTokens.js";
import { organisationOf } from "../support/organisationOf.js";

type Case = {
    readonly name: string;
    readonly statedTokens: number | undefined;
    readonly organisation?: Partial<Organisation>;
    readonly tokens: number;
};

const DEFAULT_TOKENS = 200;

const cases: readonly Case[] = [
    { name: "what it states", statedTokens: 1_540, tokens: 1_540 },
    { name: "zero, if it states that", statedTokens: 0, tokens: 0 },
    { name: "the default, if it states none", statedTokens: undefined, tokens: DEFAULT_TOKENS },
    { name: "one, if requests count", statedTokens: 1_540, organisation: { countsRequests: true }, tokens: 1 },
];

// Requests that name a model and no token counts take nothing from their organisation's share, or those with counts and
// no model the default.
cases.forEach(({ name, statedTokens, organisation, tokens }) => {
    test(`charged tokens: a request takes ${name}`, t => {
        const owner = {
            ...organisationOf(1, 1),
            defaultTokens: DEFAULT_TOKENS,
            countsRequests: false,
            ...organisation,
        };
        t.is(chargedTokens({ statedTokens }, owner), tokens);
    });
});
