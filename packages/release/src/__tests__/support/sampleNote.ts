import { ReleaseNote } from "../../ReleaseNote.js";

const DIGITS = "0123456789abcdef";

/** A digest that consists of one repeated digit. */
const digest = (digit: number): string => (DIGITS[digit] ?? "0").repeat(64);

/** A small complete configuration as one note: two organisations, a model, a service and two endpoints. */
const sampleNote: ReleaseNote = ReleaseNote.parse({
    note: "first release",
    added: {
        organisations: [
            { id: "chains", rate: 1000, burst: 5000, shares: { north: 0.5, south: 0.5 } },
            { id: "signs", rate: 500, burst: 1000, models: ["guide"], services: ["booking"] },
        ],
        keys: [
            { id: "chains-1", organisation: "chains", digest: digest(1) },
            { id: "ops-1", kind: "admin", digest: digest(2) },
        ],
        models: [{ name: "guide", version: "v1" }],
        services: [{ name: "booking", routes: [{ methods: ["POST"], pathPrefix: "/holds", repeatable: false }] }],
        endpoints: [
            { name: "e1", kind: "model", failureDomain: "north", url: "http://127.0.0.1:1", models: ["guide"] },
            { name: "b1", kind: "service", failureDomain: "south", url: "http://127.0.0.1:2", service: "booking" },
        ],
    },
});

export { sampleNote };
