// `npm run check:configuration`: sets up what is missing, then drives running daemons through failures.
import { setUp } from "./setup.mjs";

setUp();
await import("../packages/bench/dist/configuration/main.js");
