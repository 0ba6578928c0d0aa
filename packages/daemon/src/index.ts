/** The daemon `azureshuntd`: listeners, actors, and the side effects that the aggregates request. */
export { loadSettings } from "./loadSettings.js";
