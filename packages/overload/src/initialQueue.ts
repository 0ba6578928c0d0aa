import type { WaitQueue } from "./WaitQueue.js";

/** The queue of a service to which nothing was sent. */
const initialQueue: WaitQueue = { waiting: [], inProgress: new Map(), recentlySent: [], isClosed: false };

export { initialQueue };
