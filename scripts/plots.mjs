// `npm run plots -- FILE FOLDER`: installs and builds what is missing, then draws charts of the file that
// `npm run measure -- --json FILE` wrote.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/plots/main.js");
