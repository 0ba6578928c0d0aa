import { FailureDomain, VmId } from "@azureshunt/core";
import { z } from "zod";

const MIB = 1_048_576;
const DEFAULT_SNAPSHOT_MS = 600_000;

const Address = z.string().regex(/^[^:\s]+:\d{1,5}$/, "use host:port");
const Sha256 = z.string().regex(/^[0-9a-f]{64}$/, "use 64 hexadecimal digits");

const Tls = z.strictObject({
    certificateFile: z.string(),
    privateKeyFile: z.string(),
    /** Authorities that must have issued the certificate of a caller or peer; if undefined, none is required. */
    authorityFile: z.string().optional(),
});

/** Settings file of one daemon. */
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
        /** Interval between snapshots of the configuration: at most a quarter of the log's retention time. */
        snapshotEveryMs: z.number().int().positive().default(DEFAULT_SNAPSHOT_MS),
    }),
    peers: z.strictObject({
        /** Secret that all daemons share; each message between them is signed with it. */
        secret: z.string().min(16),
        /** Daemons to contact until the list of VMs is known. */
        seeds: z.array(z.strictObject({ vm: VmId, failureDomain: FailureDomain, address: Address })).default([]),
    }),
    /** SHA-256 digests of administration keys that are valid before the first release note. */
    adminKeyDigests: z.array(Sha256).default([]),
    limits: z.strictObject({
        bodyBytes: z.number().int().positive().default(8 * MIB),
        headerBytes: z.number().int().positive().default(16_384),
        /** Maximum number of open connections per listener; further ones are closed before anything is read. */
        connections: z.number().int().positive().default(4_096),
        /** Maximum time until a request starts, if the caller sets no deadline. */
        deadlineMs: z.number().int().positive().default(10_000),
        /** Time of silence on a stream or connection after which it counts as dead. */
        idleMs: z.number().int().positive().default(2_000),
        /** Maximum time that a graceful shutdown waits for running requests. */
        drainMs: z.number().int().positive().default(300_000),
        /** Time for which a stopping daemon reports that it is not ready, but still accepts new connections and requests. */
        announceMs: z.number().int().min(0).default(3_000),
    }).default({}),
    /** Weights orders to the engines of the failure domain. */
    fleet: z.strictObject({
        /** Time after which the order lease expires without a renewal. */
        leaseMs: z.number().int().positive().default(5_000),
        /** Timeout of one order. */
        orderMs: z.number().int().positive().default(1_000),
        pollMs: z.number().int().positive().default(500),
        /** Maximum number of concurrent loads of weights in a failure domain. */
        concurrentLoads: z.number().int().positive().default(2),
    }).default({}),
    tls: z.strictObject({ caller: Tls.optional(), admin: Tls.optional(), peer: Tls.optional() }).default({}),
    logging: z.strictObject({ level: z.enum(["debug", "info", "warn", "error"]).default("info") }).default({}),
    /** Placement policy. Those other than `azureshunt` are baselines for measurements. */
    policy: z.enum(["azureshunt", "prefix-affinity", "least-loaded", "round-robin"]).default("azureshunt"),
});
type Settings = z.infer<typeof Settings>;

export { Settings };
