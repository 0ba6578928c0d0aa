/**
 * What becomes of a large body: it is read, refused as too many wait (`crowded`) or as it cannot be served in time (`late`),
 * or its caller is `gone`.
 */
export type BodyTurn = "read" | "crowded" | "late" | "gone";
