// `npm run plots -- FILE FOLDER`: draws the pictures of what `npm run measure -- --json FILE` wrote.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/plots/main.js");
