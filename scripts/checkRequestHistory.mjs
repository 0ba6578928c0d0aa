// `npm run check-request-history -- --seed N --faults LIST`: installs and builds what is missing, then runs and checks
// a history of requests.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/histories/main.js");
