// `npm run measure:idle-cost`: installs and builds what is missing, then measures the CPU time of a VM at rest.
import { setUp } from "./setup.mjs";

setUp();
if (!process.argv.includes("--json") && !process.argv.includes("--case")) {
    process.argv.push("--json", "docs/measurements/idle-cost.json");
}
await import("../packages/bench/dist/idleCost/main.js");
