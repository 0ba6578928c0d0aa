// `npm run check-history`: installs and builds what is missing, then checks the history of one run of real processes.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/checkHistory/main.js");
