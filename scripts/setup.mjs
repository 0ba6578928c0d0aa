// Installs missing dependencies and builds, so that every command works in a fresh clone.
import { spawnSync } from "node:child_process";
import { existsSync } from "node:fs";

const INSTALLED_MARK = "node_modules/.package-lock.json";

/** Runs a command; if it fails, ends this process with the command's exit code. */
export function run(command, args, options = {}) {
    const { status } = spawnSync(command, args, { stdio: "inherit", ...options });
    if (status !== 0) {
        console.error(`failed: ${command} ${args.join(" ")}`);
        process.exit(status ?? 1);
    }
}

/** Installs the npm packages of the lock file if none are installed, and compiles the workspace. */
export function setUp() {
    if (!existsSync(INSTALLED_MARK)) {
        run("npm", ["ci", "--no-audit", "--no-fund", "--loglevel=error"]);
    }
    run("node_modules/.bin/tsc", ["-b"]);
}

/** Installs the Debian packages `spin` and `gcc` if they are missing. */
export function setUpModelChecker() {
    const missing = ["spin", "gcc"].filter(tool => spawnSync("which", [tool]).status !== 0);
    if (missing.length > 0) {
        run("apt-get", ["update", "-qq"]);
        run("apt-get", ["install", "-y", "-qq", ...missing]);
    }
}
