// `npm run slopes`: sets up what is missing, then measures how a daemon's costs grow.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/slopes/main.js");
