import { readFileSync } from "node:fs";

import { type Either, Left, Right } from "purify-ts";

import type { CliFailure } from "./CliFailure.js";
import { failure } from "./failure.js";

/** Reads a file given on the command line. */
export function readText(file: string): Either<CliFailure, string> {
    try {
        return Right(readFileSync(file, "utf8"));
    }
    catch (err) {
        const reason = err instanceof Error && "code" in err ? String(err.code) : "not readable";
        return Left(failure("usage", [`${file}: cannot be read (${reason})`]));
    }
}
