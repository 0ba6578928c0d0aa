// `npm run check-request-history -- --seed N --faults LIST`: runs and judges a history of callers' requests.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/histories/main.js");
