// `npm run check:configuration`: installs and builds what is missing, then runs daemons through failures of
// their configuration.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/configuration/main.js");
