/** The command-line tool: `azureshunt`. Exit codes: 0 done, 1 refused or failed, 2 bad usage. */
import { readFileSync } from "node:fs";

import { cac } from "cac";
import { request } from "undici";

const EXIT_FAILED = 1;
const EXIT_USAGE = 2;

/** Options of every command. */
type Options = { readonly url?: string; readonly key?: string; };

const fail = (code: number, message: string): never => {
    console.error(`azureshunt: ${message}`);
    process.exit(code);
};

const applyRelease = async (file: string, options: Options): Promise<void> => {
    const url = options.url ?? process.env["AZURESHUNT_URL"] ?? fail(EXIT_USAGE, "--url is needed");
    const key = options.key ?? process.env["AZURESHUNT_KEY"] ?? fail(EXIT_USAGE, "--key is needed");
    const res = await request(`${url}/admin/v1/releases`, {
        method: "POST",
        headers: { "authorization": `Bearer ${key}`, "content-type": "application/yaml" },
        body: readFileSync(file, "utf8"),
    });
    const verdict = await res.body.json() as { readonly kind?: string; readonly revision?: number; };
    if (verdict.kind !== "accepted") {
        fail(EXIT_FAILED, JSON.stringify(verdict));
    }
    console.log(`accepted at revision ${verdict.revision}`);
};

const cli = cac("azureshunt");
cli.option("--url <url>", "administration listener of any daemon");
cli.option("--key <key>", "administration key");
cli.command("release <verb> <file>", "apply a release note").action(
    async (verb: string, file: string, options: Options) => {
        if (verb !== "apply") {
            fail(EXIT_USAGE, `unknown verb ${verb}`);
        }
        await applyRelease(file, options);
    },
);
cli.help();
cli.parse();
