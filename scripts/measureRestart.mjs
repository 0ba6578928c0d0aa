// `npm run measure:restart`: installs and builds what is missing, then measures restarts of daemons in this process.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/restart/main.js");
