import { applyNote, emptyConfiguration, ReleaseNote } from "@azureshunt/release";
import test from "ava";

import { authenticate } from "../../authenticate.js";
import { authenticateAdmin } from "../../authenticateAdmin.js";
import { newKey } from "../../newKey.js";

const bytes = (fill: number): Uint8Array => new Uint8Array(32).fill(fill);
const CALLER = newKey("caller", bytes(1));
const ADMIN = newKey("admin", bytes(2));
const WITHDRAWN = newKey("caller", bytes(3));
const OLD_ADMIN = newKey("admin", bytes(4));
const SETTINGS_ADMIN = newKey("admin", bytes(5));
const UNKNOWN = newKey("caller", bytes(6));

const BEFORE = applyNote(
    emptyConfiguration,
    ReleaseNote.parse({
        note: "keys",
        added: {
            organisations: [{ id: "chains", rate: 1, burst: 1 }],
            keys: [
                { id: "c1", organisation: "chains", digest: CALLER.digest },
                { id: "c2", organisation: "chains", digest: WITHDRAWN.digest },
                { id: "a1", kind: "admin", digest: ADMIN.digest },
                { id: "a2", kind: "admin", digest: OLD_ADMIN.digest },
            ],
        },
    }),
);
const CFG = applyNote(BEFORE, ReleaseNote.parse({ note: "withdraw", withdrawn: { keys: ["c2", "a2"] } }));

const CALLERS = [
    { title: "no key", cfg: CFG, key: undefined, outcome: "missing-key" },
    { title: "an empty key", cfg: CFG, key: "", outcome: "missing-key" },
    { title: "a valid key", cfg: CFG, key: CALLER.key, outcome: "c1" },
    { title: "a key before its withdrawal", cfg: BEFORE, key: WITHDRAWN.key, outcome: "c2" },
    { title: "a withdrawn key", cfg: CFG, key: WITHDRAWN.key, outcome: "withdrawn-key" },
    { title: "an unknown key", cfg: CFG, key: UNKNOWN.key, outcome: "unknown-key" },
    { title: "a digest instead of its key", cfg: CFG, key: CALLER.digest, outcome: "unknown-key" },
    { title: "an admin key", cfg: CFG, key: ADMIN.key, outcome: "unknown-key" },
    {
        title: "a key that the configuration does not contain",
        cfg: emptyConfiguration,
        key: CALLER.key,
        outcome: "unknown-key",
    },
];

CALLERS.forEach(({ title, cfg, key, outcome }) =>
    test(`caller's key: ${title}`, t => {
        t.is(
            authenticate(cfg, key).map<string>(caller => caller.keyId).mapLeft(refusal => refusal.kind).extract(),
            outcome,
        );
    })
);

const ADMINS = [
    { title: "no key", cfg: CFG, key: undefined, outcome: "missing-key" },
    { title: "a valid key", cfg: CFG, key: ADMIN.key, outcome: "a1" },
    { title: "a withdrawn key", cfg: CFG, key: OLD_ADMIN.key, outcome: "withdrawn-key" },
    { title: "a key from the settings", cfg: CFG, key: SETTINGS_ADMIN.key, outcome: "settings" },
    {
        title: "a key from the settings before any release",
        cfg: undefined,
        key: SETTINGS_ADMIN.key,
        outcome: "settings",
    },
    { title: "a caller's key", cfg: CFG, key: CALLER.key, outcome: "unknown-key" },
    { title: "an unknown key", cfg: undefined, key: ADMIN.key, outcome: "unknown-key" },
];

ADMINS.forEach(({ title, cfg, key, outcome }) =>
    test(`admin key: ${title}`, t => {
        const found = authenticateAdmin(cfg, [SETTINGS_ADMIN.digest], key);
        t.is(found.map<string>(id => id).mapLeft(refusal => refusal.kind).extract(), outcome);
    })
);

test("keys of the two kinds have different prefixes", t => {
    t.regex(CALLER.key, /^ask_[A-Za-z0-9_-]{43}$/);
    t.regex(ADMIN.key, /^asa_[A-Za-z0-9_-]{43}$/);
    t.throws(() => newKey("caller", new Uint8Array(8)), { message: /^AS-101/ });
});
