import test from "ava";

import { cacheSalt } from "../../cacheSalt.js";
import { ModelName } from "../../ModelName.js";
import { OrganisationId } from "../../OrganisationId.js";
import { pieceHashes } from "../../pieceHashes.js";
import { WeightsVersion } from "../../WeightsVersion.js";

const PIECE_TOKENS = 4;
const PROMPT = "manual of chains, page one; page two and a rest";

const scope = (organisation: string, version: string) => ({
    organisation: OrganisationId.parse(organisation),
    model: ModelName.parse("advisor"),
    adapter: undefined,
    version: WeightsVersion.parse(version),
});
const hashes = (organisation: string, version: string, prompt = PROMPT) =>
    pieceHashes(cacheSalt(scope(organisation, version)), prompt, PIECE_TOKENS);

test("pieces: only complete pieces are hashed", t => {
    t.is(hashes("a", "v1").length, 2);
});

test("pieces: a longer prompt keeps the hashes of its prefix", t => {
    t.deepEqual(hashes("a", "v1", `${PROMPT} that goes on`).slice(0, 2), hashes("a", "v1"));
});

[
    { name: "another organisation", other: hashes("b", "v1") },
    { name: "other weights", other: hashes("a", "v2") },
    { name: "another first piece", other: hashes("a", "v1", `M${PROMPT.slice(1)}`) },
].forEach(({ name, other }) =>
    test(`pieces: ${name} shares no hash`, t => {
        t.false(hashes("a", "v1").some(hash => other.includes(hash)));
    })
);
