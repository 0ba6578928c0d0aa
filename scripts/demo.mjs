// `npm run demo`: sets up what is missing, then runs the demonstration in this process, so that signals reach it.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/demo/main.js");
