/** Names used by every measured installation. */
const measureNames = {
    model: "assistant",
    version: "v1",
    service: "desk",
    bookingPath: "/bookings",
    lookupPath: "/stock",
} as const;

export { measureNames };
