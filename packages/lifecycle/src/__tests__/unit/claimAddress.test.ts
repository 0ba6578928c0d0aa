import test from "ava";

import { claimAddress } from "../../claimAddress.js";

const errorOf = (code: string): Error => Object.assign(new Error(code), { code });

/** Returns a `bind` that fails with these codes, one after the other, and then succeeds. */
const bindAfter = (codes: readonly string[]) => {
    const left = [...codes];
    return (): Promise<string> => {
        const code = left.shift();
        return code === undefined ? Promise.resolve("bound") : Promise.reject(errorOf(code));
    };
};

const cases = [
    { name: "a free address", codes: [], withinMs: 0, outcome: "bound", waits: 0 },
    {
        name: "one that becomes free",
        codes: ["EADDRINUSE", "EADDRINUSE"],
        withinMs: 60_000,
        outcome: "bound",
        waits: 1,
    },
    { name: "one that stays taken", codes: ["EADDRINUSE"], withinMs: 0, outcome: "EADDRINUSE", waits: 0 },
    {
        name: "one that is not of this VM",
        codes: ["EADDRNOTAVAIL"],
        withinMs: 60_000,
        outcome: "EADDRNOTAVAIL",
        waits: 0,
    },
] as const;

// Guards against a process that does not start because its predecessor still holds an address.
cases.forEach(({ name, codes, withinMs, outcome, waits }) => {
    test(`claim address: ${name}`, async t => {
        const waited: string[] = [];
        const claimed = claimAddress({
            address: "h:1",
            bind: bindAfter(codes),
            withinMs,
            onWait: address => void waited.push(address),
        });
        t.is(await claimed.catch((err: Error) => err.message), outcome);
        t.is(waited.length, waits);
    });
});

test("claim address: a start that is aborted waits no longer", async t => {
    const abort = new AbortController();
    const claimed = claimAddress({
        address: "h:1",
        bind: () => Promise.reject(errorOf("EADDRINUSE")),
        withinMs: Infinity,
        signal: abort.signal,
        onWait: () => abort.abort(),
    });
    await t.throwsAsync(claimed, { message: "EADDRINUSE" });
});
