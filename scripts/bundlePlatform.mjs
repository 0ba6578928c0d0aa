// Bundles the program for the users' platform from its sources into target/, or the folder that is named: an entry point that
// handles signals, then loads the life cycle, and what that loads. A few files start in a fraction of the time that hundreds of
// modules take. They are CommonJS, as Node starts without its loader of ES modules then, and signals are handled sooner.
import { build } from "esbuild";
import { rmSync } from "node:fs";
import { fileURLToPath } from "node:url";

const PACKAGES = new URL("../packages/", import.meta.url);
const START_PROGRAM = "azureshunt-startProgram";
const LIFECYCLE = "azureshunt-lifecycle";

/** Resolves the packages of this workspace to their sources, so that they need not be compiled first. */
const workspacePackages = {
    name: "own-packages",
    setup(builder) {
        builder.onResolve({ filter: /^@azureshunt\// }, ({ path }) => {
            const [, name, module = "index"] = path.split("/");
            return { path: fileURLToPath(new URL(`${name}/src/${module}.ts`, PACKAGES)) };
        });
    },
};

/** Leaves out what has a file of its own: the entry point loads it later, or both others share it. */
const ownFiles = {
    name: "own-files",
    setup(builder) {
        builder.onResolve({ filter: /^@azureshunt\/lifecycle$/ }, () => ({
            path: `./${LIFECYCLE}.cjs`,
            external: true,
        }));
        builder.onResolve(
            { filter: /\/startProgram\.js$/ },
            () => ({ path: `./${START_PROGRAM}.cjs`, external: true }),
        );
    },
};

const [, , folder = "target"] = process.argv;
rmSync(folder, { recursive: true, force: true });
await build({
    entryPoints: {
        azureshunt: "platform/src/main.ts",
        [LIFECYCLE]: "packages/lifecycle/src/index.ts",
        [START_PROGRAM]: "platform/src/startProgram.ts",
    },
    outdir: folder,
    outExtension: { ".js": ".cjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "cjs",
    // `import()` would load the loader of ES modules after all.
    supported: { "dynamic-import": false },
    minifySyntax: true,
    plugins: [ownFiles, workspacePackages],
});
