// `npm run measure:faults`: sets up what is missing, then measures in this process, so that signals reach it.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/faults/main.js");
