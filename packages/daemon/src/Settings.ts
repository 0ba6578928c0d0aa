import { FailureDomain, VmId } from "@azureshunt/core";
import { z } from "zod";

const MIB = 1_048_576;
const DEFAULT_SNAPSHOT_MS = 600_000;

const Address = z.string().regex(/^[^:\s]+:\d{1,5}$/, "use host:port");
const Sha256 = z.string().regex(/^[0-9a-f]{64}$/, "use 64 hexadecimal digits");

const Tls = z.strictObject({
    certificateFile: z.string(),
    privateKeyFile: z.string(),
    /** Authorities whose certificates callers or peers must show; none are asked for when left out. */
    authorityFile: z.string().optional(),
});

/** Settings of one daemon. */
const Settings = z.strictObject({
    vm: VmId,
    failureDomain: FailureDomain,
    listen: z.strictObject({
        caller: Address,
        admin: Address,
        peer: Address,
    }),
    platform: z.strictObject({
        url: z.string().url(),
        /** How often the configuration is appended anew as a snapshot: a quarter of the log's retention, or less. */
        snapshotEveryMs: z.number().int().positive().default(DEFAULT_SNAPSHOT_MS),
    }),
    peers: z.strictObject({
        /** Secret that all daemons share and prove to one another. */
        secret: z.string().min(16),
        /** Daemons to ask before the list of VMs is known. */
        seeds: z.array(z.strictObject({ vm: VmId, failureDomain: FailureDomain, address: Address })).default([]),
    }),
    /** Digests of administration keys that are valid before the first release note. */
    adminKeyDigests: z.array(Sha256).default([]),
    limits: z.strictObject({
        bodyBytes: z.number().int().positive().default(8 * MIB),
        headerBytes: z.number().int().positive().default(16_384),
        /** Open connections of one listener; beyond these new ones are dropped before anything is read. */
        connections: z.number().int().positive().default(4_096),
        /** Wait for a start when the caller names no deadline. */
        deadlineMs: z.number().int().positive().default(10_000),
        /** Silence on a stream or connection after which it counts as dead. */
        idleMs: z.number().int().positive().default(2_000),
        /** Time that a graceful shutdown gives running requests. */
        drainMs: z.number().int().positive().default(300_000),
        /** How long a stopping daemon shows that it is not ready, and serves on, before it takes no new connections. */
        announceMs: z.number().int().min(0).default(3_000),
    }).default({}),
    /** Orders to the engines of the failure domain. */
    fleet: z.strictObject({
        /** Time that the order lease holds without a renewal. */
        leaseMs: z.number().int().positive().default(5_000),
        /** Longest time of one order. */
        orderMs: z.number().int().positive().default(1_000),
        pollMs: z.number().int().positive().default(500),
        /** Loads that run at once in a failure domain. */
        concurrentLoads: z.number().int().positive().default(2),
    }).default({}),
    tls: z.strictObject({ caller: Tls.optional(), admin: Tls.optional(), peer: Tls.optional() }).default({}),
    logging: z.strictObject({ level: z.enum(["debug", "info", "warn", "error"]).default("info") }).default({}),
    /** Which function chooses endpoints; the others are baselines for measurements. */
    policy: z.enum(["azureshunt", "prefix-affinity", "least-loaded", "round-robin"]).default("azureshunt"),
});
type Settings = z.infer<typeof Settings>;

export { Settings };
