// Bundles the program for the users' platform from its sources into target/: an entry point that handles signals, and what
// it loads then. A few files start in a fraction of the time that hundreds of modules take.
import { build } from "esbuild";
import { rmSync } from "node:fs";
import { fileURLToPath } from "node:url";

const PACKAGES = new URL("../packages/", import.meta.url);

/** Resolves the packages of this workspace to their sources, so that they need not be compiled first. */
const workspacePackages = {
    name: "own-packages",
    setup(builder) {
        builder.onResolve({ filter: /^@azureshunt\// }, ({ path }) => ({
            path: fileURLToPath(new URL(`${path.slice("@azureshunt/".length)}/src/index.ts`, PACKAGES)),
        }));
    },
};

rmSync("target", { recursive: true, force: true });
await build({
    entryPoints: { azureshunt: "platform/src/main.ts" },
    outdir: "target",
    outExtension: { ".js": ".mjs" },
    chunkNames: "azureshunt-[name]-[hash]",
    splitting: true,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    minifySyntax: true,
    plugins: [workspacePackages],
    // CommonJS packages call `require`, which is not defined in an ES module.
    banner: {
        js: "import { createRequire as $require } from \"node:module\"; const require = $require(import.meta.url);",
    },
});
