// `npm run measure`: installs and builds what is missing, then measures policies in this process, so that it
// receives signals.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/measure/main.js");
