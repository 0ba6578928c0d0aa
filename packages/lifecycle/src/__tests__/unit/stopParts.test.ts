import test from "ava";

import { stopParts } from "../../stopParts.js";

const fail = (): never => {
    throw new Error("failed");
};

// Guards against parts that keep running because one before them failed to stop.
test("stop parts: all drain, then all stop in order, whichever fail", async t => {
    const done: string[] = [];
    const note = (text: string) => (): void => void done.push(text);
    const faults: string[] = [];
    await stopParts(
        [
            { name: "a", drain: async () => fail(), stop: note("a stops") },
            { name: "b", drain: async () => note("b drains")(), stop: fail },
            { name: "c", stop: note("c stops") },
        ],
        part => void faults.push(part),
    );
    t.deepEqual(done, ["b drains", "a stops", "c stops"]);
    t.deepEqual(faults, ["a", "b"]);
});
