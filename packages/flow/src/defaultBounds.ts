import type { FlowBounds } from "./FlowBounds.js";

/** Bounds that apply unless the settings name others. */
const defaultBounds: FlowBounds = {
    answerBytes: 8 * 1024 * 1024,
    eventBytes: 4 * 1024 * 1024,
    headBytes: 64 * 1024,
    progressMs: 5_000,
};

export { defaultBounds };
