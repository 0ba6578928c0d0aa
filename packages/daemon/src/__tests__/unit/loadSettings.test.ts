import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";

import test from "ava";

import { loadSettings } from "../../loadSettings.js";

const GOOD = `vm: vm-1
failureDomain: fd-a
listen:
    caller: 127.0.0.1:1
    admin: 127.0.0.1:2
    peer: 127.0.0.1:3
platform:
    url: http://127.0.0.1:4
peers:
    secret: a-secret-of-enough-length
`;

const folder = mkdtempSync(join(tmpdir(), "azureshunt-settings-"));
const file = join(folder, "settings.yaml");
test.after.always(() => rmSync(folder, { recursive: true, force: true }));

const load = (text: string) => {
    writeFileSync(file, text);
    return loadSettings(file).mapLeft(({ lines }) => lines.map(fault => fault.replace(`${file}:`, "")));
};

test.serial("settings: an omitted field has its default", t => {
    t.is(load(GOOD).map(settings => settings.limits.drainMs).extract(), 300_000);
});

[
    {
        name: "two faults",
        text: GOOD.replace("127.0.0.1:1", "nowhere").replace("vm: vm-1", "vm: a b"),
        faults: [/^1:1 vm: found /, /^4:5 listen\.caller: found .*; allowed: use host:port$/],
    },
    { name: "an unknown field", text: `${GOOD}colour: red\n`, faults: [/colour: found an unknown field/] },
    { name: "malformed YAML", text: "vm: [", faults: [/well-formed YAML/] },
    { name: "a missing section", text: GOOD.replace(/peers:[^]*/, ""), faults: [/peers/] },
].forEach(({ name, text, faults }) =>
    test.serial(`settings: ${name}`, t => {
        const found = load(text).swap().orDefault([]);
        t.is(found.length, faults.length, found.join("\n"));
        faults.forEach((fault, i) => t.regex(found[i] ?? "", fault));
    })
);

test.serial("settings: a secret that is too short is not printed in its fault", t => {
    const faults = load(GOOD.replace("a-secret-of-enough-length", "tooshort")).swap().orDefault([]);
    t.is(faults.length, 1);
    t.false(faults.join().includes("tooshort"), faults.join());
});

test.serial("settings: an unreadable file gives one fault", t => {
    t.deepEqual(loadSettings(join(folder, "none.yaml")).swap().extract(), {
        text: undefined,
        lines: [`${join(folder, "none.yaml")}: cannot be read`],
    });
});
