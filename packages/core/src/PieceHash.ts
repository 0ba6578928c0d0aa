import { z } from "zod";

/** Chained hash of a prompt up to the end of one piece: 32 hexadecimal digits. */
const PieceHash = z.string().regex(/^[0-9a-f]{32}$/).brand<"PieceHash">();
type PieceHash = z.infer<typeof PieceHash>;

export { PieceHash };
