// `npm run measure:request-cost`: installs and builds what is missing, then measures in this process, so that it
// receives signals.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/requestCost/main.js");
