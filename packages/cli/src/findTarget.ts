import { readFileSync, statSync } from "node:fs";
import { join } from "node:path";

import { type Either, Left, Right } from "purify-ts";
import { parse } from "yaml";
import { z } from "zod";

import type { CliFailure } from "./CliFailure.js";
import { failure } from "./failure.js";
import type { Target } from "./Target.js";

const DEFAULT_FILE = ".azureshunt.yaml";
/** Bits of a file's mode that grant access to anyone but its owner. */
const GROUP_AND_OTHERS = 0o077;

const ConfigFile = z.strictObject({ url: z.string().url().optional(), key: z.string().optional() });
type ConfigFile = z.infer<typeof ConfigFile>;

const nonEmptyText = (value: unknown): string | undefined =>
    typeof value === "string" && value !== "" ? value : undefined;

const readConfig = (file: string, isRequired: boolean): Either<CliFailure, ConfigFile> => {
    try {
        const { mode } = statSync(file);
        if ((mode & GROUP_AND_OTHERS) !== 0) {
            return Left(failure("usage", [`${file}: others can read it; allowed: mode 0600 (chmod 600 ${file})`]));
        }
        const parsed = ConfigFile.safeParse(parse(readFileSync(file, "utf8")));
        return parsed.success
            ? Right(parsed.data)
            : Left(failure("usage", [`${file}: allowed: the fields url and key, both texts`]));
    }
    catch {
        return isRequired ? Left(failure("usage", [`${file}: cannot be read`])) : Right({});
    }
};

/**
 * Determines address and key of the target daemon. Flags take precedence over environment variables, and these over the
 * configuration file.
 *
 * @param options parsed flags, of which `url`, `key` and `config` are used
 * @param env environment variables, of which AZURESHUNT_URL, AZURESHUNT_KEY, AZURESHUNT_CONFIG and HOME are used
 */
export function findTarget(
    options: Readonly<Record<string, unknown>>,
    env: Readonly<Record<string, string | undefined>>,
): Either<CliFailure, Target> {
    const givenFile = nonEmptyText(options["config"]) ?? nonEmptyText(env["AZURESHUNT_CONFIG"]);
    const file = givenFile ?? join(env["HOME"] ?? ".", DEFAULT_FILE);
    return readConfig(file, givenFile !== undefined).chain(config => {
        const url = nonEmptyText(options["url"]) ?? nonEmptyText(env["AZURESHUNT_URL"]) ?? config.url;
        const key = nonEmptyText(options["key"]) ?? nonEmptyText(env["AZURESHUNT_KEY"]) ?? config.key;
        if (url === undefined || key === undefined) {
            const missing = url === undefined
                ? "address: give --url or AZURESHUNT_URL"
                : "key: give --key or AZURESHUNT_KEY";
            return Left(failure("usage", [`no ${missing}, or a file of mode 0600 by --config`]));
        }
        return URL.canParse(url) && /^https?:/.test(url)
            ? Right({ url: url.replace(/\/+$/, ""), key })
            : Left(failure("usage", [`--url: found ${JSON.stringify(url)}; allowed: an http or https URL`]));
    });
}
