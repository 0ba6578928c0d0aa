// `npm run measure`: sets up what is missing, then measures policies in this process, so that signals reach it.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/measure/main.js");
