// `npm run measure:fleet`: sets up what is missing, then measures a release of new weights in this process.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/fleet/main.js");
