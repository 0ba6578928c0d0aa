// `npm run measure:fleet`: installs and builds what is missing, then measures a rollout of new weights in this process.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/fleet/main.js");
