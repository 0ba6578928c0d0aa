import { connect } from "node:net";
import { setTimeout as sleep } from "node:timers/promises";

import test from "ava";
import type { ExecutionContext } from "ava";

import { waitUntil } from "../../topology/waitUntil.js";
import { launchDaemon } from "../support/launchDaemon.js";
import { startLoneDaemon } from "../support/startLoneDaemon.js";

const RUNNING_MS = 2_500;
const TIMEOUT_MS = 10_000;
const SIGNAL_GAP_MS = 50;
const MEANINGLESS_SIGNALS = [
    "SIGUSR1",
    "SIGUSR2",
    "SIGALRM",
    "SIGVTALRM",
    "SIGPROF",
    "SIGIO",
    "SIGPWR",
    "SIGSTKFLT",
    "SIGXCPU",
    "SIGTRAP",
    "SIGTSTP",
    "SIGTTIN",
    "SIGTTOU",
] as const;
const STOPPED = { code: 0, signal: null };
const START_FAILED = { code: 1, signal: null };
const BAD_SETTINGS = { code: 2, signal: null };
const UNCAUGHT_ERROR = { code: 70, signal: null };

const startServingDaemon = async (t: ExecutionContext, nodeFlags?: readonly string[]) => {
    const vm = await startLoneDaemon(t.teardown);
    vm.writeSettings();
    const daemon = vm.launch(nodeFlags);
    await vm.waitUntilListening();
    await vm.release();
    return { vm, daemon };
};

/** Resolves once the port takes a connection, which carries a request then, with the bytes of the answer. */
const askAtFirstConnection = async (port: number): Promise<{ readonly answer: Promise<string>; }> => {
    const state = { received: "" };
    const socket = await new Promise<ReturnType<typeof connect> | undefined>(resolve => {
        const opened = connect({ host: "127.0.0.1", port }, () => resolve(opened));
        opened.on("error", () => resolve(undefined));
    });
    if (socket === undefined) {
        return askAtFirstConnection(port);
    }
    socket.on("data", (bytes: Buffer) => {
        state.received += bytes.toString();
    });
    socket.write("GET /v1/models HTTP/1.1\r\nhost: a\r\n\r\n");
    return { answer: new Promise(resolve => socket.on("close", () => resolve(state.received))) };
};

// Guards against a signal ending a process that has no handler for it yet.
(["SIGHUP", "SIGTERM", "SIGINT"] as const).forEach(signal => {
    test.serial(`daemon ends: ${signal} as it calls the log for the first time`, async t => {
        const vm = await startLoneDaemon(t.teardown);
        const { text, called } = await vm.firstLogCall();
        vm.writeSettings(text);
        const daemon = vm.launch();
        await called;
        daemon.signal(signal);
        if (signal === "SIGHUP") {
            await vm.waitUntilListening();
            t.is(daemon.ended(), undefined);
            return;
        }
        t.deepEqual(await daemon.exit, STOPPED);
    });
});

// Guards against signals that end or suspend a daemon while it loads what it does not need to handle them.
(["SIGHUP", "SIGTSTP"] as const).forEach(signal => {
    test.serial(`daemon ends: ${signal} as it loads the life cycle`, async t => {
        const hook = `export async function resolve(specifier, context, next) {
            if (specifier.startsWith("@azureshunt/lifecycle/run")) {
                process.kill(process.pid, "${signal}");
            }
            return next(specifier, context);
        }`;
        const module = `
            import { register } from "node:module";
            register("data:text/javascript," + ${JSON.stringify(encodeURIComponent(hook))});`;
        const vm = await startLoneDaemon(t.teardown);
        vm.writeSettings();
        const daemon = vm.launch([`--import=data:text/javascript,${encodeURIComponent(module)}`]);
        await vm.waitUntilListening();
        t.is(daemon.ended(), undefined);
        t.regex(
            await vm.metrics(),
            new RegExp(`azureshunt_signals_total\\{signal="${signal}",phase="starting"\\} 1\n`),
        );
    });
});

// Guards against requests lost by a stop that comes as soon as callers can connect.
test.serial("daemon ends: SIGTERM as the callers' port takes its first connection", async t => {
    const vm = await startLoneDaemon(t.teardown);
    vm.writeSettings();
    const daemon = vm.launch();
    const { answer } = await askAtFirstConnection(vm.ports.caller);
    daemon.signal("SIGTERM");
    t.regex(await answer, /^HTTP\/1\.1 \d{3} /);
    t.deepEqual(await daemon.exit, STOPPED);
});

// Guards against a further signal cutting off requests that a stop lets finish.
([["SIGTERM", "SIGTERM"], ["SIGTERM", "SIGINT"], ["SIGINT", "SIGTERM"], ["SIGTERM", "SIGHUP"]] as const).forEach(
    ([first, second]) => {
        test.serial(`daemon ends: ${second} after ${first} while requests run`, async t => {
            const { vm, daemon } = await startServingDaemon(t);
            const { answers } = await vm.startRequests(3, RUNNING_MS);
            daemon.signal(first);
            await sleep(500);
            daemon.signal(second);
            t.deepEqual(await answers, ["200", "200", "200"]);
            t.deepEqual(await daemon.exit, STOPPED);
        });
    },
);

// Guards against SIGHUP ending a process that serves.
test.serial("daemon ends: SIGHUP while requests run", async t => {
    const { vm, daemon } = await startServingDaemon(t);
    const { answers } = await vm.startRequests(3, RUNNING_MS);
    daemon.signal("SIGHUP");
    t.deepEqual(await answers, ["200", "200", "200"]);
    t.is(await vm.ask(), "200");
    t.is(daemon.ended(), undefined);
    t.regex(await vm.metrics(), /azureshunt_signals_total\{signal="SIGHUP",phase="serving"\} 1\n/);
});

// Guards against signals that end or suspend a daemon with its requests, as the operating system does by default.
test.serial("daemon ends: signals that ask for nothing while requests run", async t => {
    const { vm, daemon } = await startServingDaemon(t);
    const { answers } = await vm.startRequests(3, RUNNING_MS);
    await MEANINGLESS_SIGNALS.reduce(async (before, signal) => {
        await before;
        daemon.signal(signal);
        await sleep(SIGNAL_GAP_MS);
    }, Promise.resolve());
    t.deepEqual(await Promise.race([answers, sleep(2 * RUNNING_MS, [])]), ["200", "200", "200"]);
    t.is(await vm.ask(), "200");
    t.is(daemon.ended(), undefined);
    const metrics = await vm.metrics();
    t.deepEqual(
        MEANINGLESS_SIGNALS.filter(signal =>
            !metrics.includes(`azureshunt_signals_total{signal="${signal}",phase="serving"} 1\n`)
        ),
        [],
    );
});

// Guards against a stop that cuts requests off.
(["SIGTERM", "SIGINT", "SIGQUIT"] as const).forEach(signal => {
    test.serial(`daemon ends: ${signal} while requests run`, async t => {
        const { vm, daemon } = await startServingDaemon(t);
        const { answers } = await vm.startRequests(3, RUNNING_MS);
        daemon.signal(signal);
        t.deepEqual(await answers, ["200", "200", "200"]);
        t.deepEqual(await daemon.exit, STOPPED);
    });
});

// Guards against a port that runs code for whoever reaches it.
([["while it serves", ""], ["before its first line", `process.kill(process.pid, "SIGUSR1")`]] as const).forEach(
    ([name, module]) => {
        test.serial(`daemon ends: SIGUSR1 ${name} leaves no inspector open`, async t => {
            const { vm, daemon } = await startServingDaemon(t, [
                "--inspect-port=0",
                `--import=data:text/javascript,${encodeURIComponent(module)}`,
            ]);
            daemon.signal("SIGUSR1");
            await sleep(500);
            t.regex(await vm.metrics(), /^azureshunt_inspector_open 0$/m);
        });
    },
);

// Guards against a start that fails as the settings file is about to be written.
(["missing", "empty", "half written"] as const).forEach(state => {
    test.serial(`daemon ends: the settings file is ${state} at the start`, async t => {
        const vm = await startLoneDaemon(t.teardown);
        const text = vm.settings();
        if (state !== "missing") {
            vm.writeSettings(state === "empty" ? "" : text.slice(0, text.length / 2));
        }
        const daemon = vm.launch();
        await waitUntil("the file to be read", TIMEOUT_MS, () => daemon.output() !== "");
        vm.writeSettings();
        await Promise.race([vm.waitUntilListening(), daemon.exit]);
        t.is(daemon.ended(), undefined);
    });
});

// Guards against settings that are plainly wrong and yet waited for, or refused without each of their faults.
test.serial("daemon ends: the settings are wrong", async t => {
    const vm = await startLoneDaemon(t.teardown);
    vm.writeSettings(vm.settings({ vm: "a b", logging: { level: "loud" } }));
    const daemon = vm.launch();
    t.deepEqual(await daemon.exit, BAD_SETTINGS);
    t.regex(daemon.output(), /settings\.yaml:\d+:\d+ vm: found/);
    t.regex(daemon.output(), /settings\.yaml:\d+:\d+ logging\.level: found/);
});

// Guards against a successor that fails to start as another process still holds an address.
(["caller", "admin", "peer"] as const).forEach(name => {
    test.serial(`daemon ends: its ${name} address is held for a while`, async t => {
        const vm = await startLoneDaemon(t.teardown);
        vm.writeSettings();
        const release = await vm.hold(name);
        const daemon = vm.launch();
        await sleep(1_500);
        release();
        await Promise.race([vm.waitUntilListening(), daemon.exit]);
        t.is(daemon.ended(), undefined);
    });

    test.serial(`daemon ends: its ${name} address stays held`, async t => {
        const vm = await startLoneDaemon(t.teardown);
        vm.writeSettings(vm.settings({ limits: { announceMs: 0, drainMs: 100 } }));
        await vm.hold(name);
        const daemon = vm.launch();
        t.deepEqual(await daemon.exit, START_FAILED);
        t.regex(daemon.output(), new RegExp(`EADDRINUSE.*${vm.ports[name]}`));
    });
});

// Guards against a successor that fails to start as its predecessor still holds the ports.
(["stops", "is frozen, then killed"] as const).forEach(how => {
    test.serial(`daemon ends: its predecessor ${how} meanwhile`, async t => {
        const { vm, daemon } = await startServingDaemon(t);
        const { answers } = await vm.startRequests(1, RUNNING_MS);
        daemon.signal(how === "stops" ? "SIGTERM" : "SIGSTOP");
        const successor = vm.launch();
        await sleep(1_500);
        if (how === "stops") {
            t.deepEqual(await answers, ["200"]);
        }
        else {
            daemon.signal("SIGKILL");
        }
        await daemon.exit;
        await Promise.race([vm.waitUntilServing(), successor.exit]);
        t.is(successor.ended(), undefined);
    });
});

// Guards against an error of one part ending a process at once, with all requests on it and without a line.
([["thrown", "throw new Error('injected')"], [
    "of a rejected promise",
    "Promise.reject(new Error('injected'))",
]] as const).forEach(([name, statement]) => {
    test.serial(`daemon ends: an uncaught error, ${name}, while requests run`, async t => {
        const module = `process.on("SIGUSR2", () => { ${statement} })`;
        const { vm, daemon } = await startServingDaemon(t, [
            `--import=data:text/javascript,${encodeURIComponent(module)}`,
        ]);
        const { answers } = await vm.startRequests(3, RUNNING_MS);
        daemon.signal("SIGUSR2");
        await sleep(200);
        t.is(await vm.ask(), "503");
        t.false(await vm.isReady());
        t.deepEqual(await answers, ["200", "200", "200"]);
        t.deepEqual(await daemon.exit, UNCAUGHT_ERROR);
        const line = daemon.output().split("\n").find(each => each.includes("injected")) ?? "";
        t.is((JSON.parse(line) as { readonly vm: string; }).vm, "vm-0");
    });
});

// Guards against a daemon that has ended and is a member yet, and so the home of organisations.
([["waits for its callers' address", true], ["has joined", false]] as const).forEach(([name, isHeld]) => {
    test.serial(`daemon ends: it leaves no member when told to stop as it ${name}`, async t => {
        const vm = await startLoneDaemon(t.teardown);
        vm.writeSettings();
        if (isHeld) {
            await vm.hold("caller");
        }
        const daemon = vm.launch();
        if (isHeld) {
            await waitUntil("it to wait", TIMEOUT_MS, () => daemon.output().includes("Waiting for an address"));
            // Longer than a daemon needs until it joins.
            await sleep(1_500);
        }
        else {
            await waitUntil("it to join", TIMEOUT_MS, async () => (await vm.membershipRecords()).length > 0);
        }
        daemon.signal("SIGTERM");
        t.deepEqual(await daemon.exit, STOPPED);
        // Longer than an append takes that was sent before the end.
        await sleep(300);
        t.deepEqual(await vm.membershipRecords(), isHeld ? [] : ["join", "leave"]);
    });
});

// Guards against a changed answer to how the program is called.
([[["--help"], STOPPED, /--settings <file>/], [["--version"], STOPPED, /azureshuntd\/\d/], [
    [],
    BAD_SETTINGS,
    /needed/,
]] as const)
    .forEach(([args, exit, output]) => {
        test.serial(`daemon ends: called with "${args.join(" ")}"`, async t => {
            const daemon = launchDaemon(args);
            t.deepEqual(await daemon.exit, exit);
            t.regex(daemon.output(), output);
        });
    });
