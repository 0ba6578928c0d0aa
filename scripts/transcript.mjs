// `npm run transcript`: installs and builds what is missing, then regenerates the transcript of docs/OPERATORS.md.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/transcript/main.js");
