// `npm run slopes`: installs and builds what is missing, then measures how the costs of a daemon grow.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/slopes/main.js");
