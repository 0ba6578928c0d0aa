// `npm run demo`: installs and builds what is missing, then runs the demonstration in this process, so that it receives
// signals.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/demo/main.js");
