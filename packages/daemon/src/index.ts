/** The daemon `azureshuntd`: listeners, actors and the effects of the aggregates. */
export { loadSettings } from "./loadSettings.js";
