import type { Order } from "./Order.js";

/** One order that an engine executed. */
export type OrderEntry = Order & {
    /** Milliseconds since the epoch. */
    readonly at: number;
};
