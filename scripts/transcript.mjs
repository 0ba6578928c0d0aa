// `npm run transcript`: sets up what is missing, then writes the transcript of docs/OPERATORS.md anew.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/transcript/main.js");
