import test from "ava";

import { answerSeed } from "../../engine/answerSeed.js";
import { promptOf } from "../../engine/promptOf.js";
import { tokenText } from "../../engine/tokenText.js";

const SOURCE = { prompt: Buffer.from("which chain?"), model: "advisor", adapter: "", version: "v1" };

test("answers: the same weights and prompt give the same tokens on every engine", t => {
    t.is(answerSeed(SOURCE), answerSeed({ ...SOURCE }));
    t.is(tokenText(answerSeed(SOURCE), 7), tokenText(answerSeed(SOURCE), 7));
});

[
    { name: "another prompt", other: { ...SOURCE, prompt: Buffer.from("which tyre?") } },
    { name: "another version", other: { ...SOURCE, version: "v2" } },
    { name: "an adapter", other: { ...SOURCE, adapter: "winter" } },
].forEach(({ name, other }) =>
    test(`answers: ${name} gives another text`, t => {
        const text = (seed: number) => [0, 1, 2, 3].map(position => tokenText(seed, position)).join("");
        t.not(text(answerSeed(other)), text(answerSeed(SOURCE)));
    })
);

test("answers: a token is four bytes", t => {
    t.true(Array.from({ length: 50 }, (_, i) => tokenText(i, i)).every(text => /^[a-z]{3} $/.test(text)));
});

const REST = { model: "advisor", stream: false, cache_salt: "", priority: 5, resume_from: 0 };
[
    { name: "a plain prompt is used as it is", body: { ...REST, prompt: "text" }, prompt: "text" },
    {
        name: "a chat is rendered with its roles",
        body: { ...REST, messages: [{ role: "system", content: "s" }, { role: "user", content: "u" }] },
        prompt: "<system>\ns\n<user>\nu\n",
    },
    {
        name: "the text parts of a message are joined",
        body: { ...REST, messages: [{ role: "user", content: [{ text: "a" }, { text: "b" }] }] },
        prompt: "<user>\nab\n",
    },
].forEach(({ name, body, prompt }) =>
    test(`prompts: ${name}`, t => {
        t.is(promptOf(body).toString(), prompt);
    })
);
