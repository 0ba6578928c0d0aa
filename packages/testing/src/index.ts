/** What the tests of several packages share. */
export { seededRandom } from "./seededRandom.js";
