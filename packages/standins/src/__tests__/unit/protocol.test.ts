import test from "ava";

import { hashPieces } from "../../engine/hashPieces.js";

// Salt and hashes were computed with `cacheSalt` and `pieceHashes` of the core. This package must agree with the core,
// but shares no code with it.
const SALT = "5".repeat(64);
const PIECE_TOKENS = 2;
const PROMPT = "abcdefghABCDEFGHrest";

test("pieces: the chain starts from the first half of the salt and omits an incomplete last piece", t => {
    t.deepEqual(hashPieces(SALT, Buffer.from(PROMPT), PIECE_TOKENS), [
        "6cfd573f61d66d5e94a35843ff61f980",
        "442afb4aa8fc34d6cc0acc15b75d6ad9",
    ]);
});
