import { EndpointName, FailureDomain, KeyId, VmId } from "@azureshunt/core";
import { exportNote, OrganisationSpec, ReleaseNote, ReleaseSummary, Verdict } from "@azureshunt/release";
import { z } from "zod";

import type { AdminRoute } from "./AdminRoute.js";
import { giveKey, KeyRequest } from "./giveKey.js";
import { ok } from "./ok.js";
import { postRelease } from "./postRelease.js";
import { showOrganisation } from "./showOrganisation.js";
import { showRelease } from "./showRelease.js";
import { showRequest } from "./showRequest.js";
import { showStatus } from "./showStatus.js";
import { vmStatuses } from "./vmStatuses.js";
import { withdrawKey } from "./withdrawKey.js";

const ListedKey = z.object({
    id: KeyId,
    kind: z.enum(["caller", "admin"]),
    organisation: z.string().optional(),
    withdrawn: z.boolean(),
});
const VmStatus = z.object({
    vm: VmId,
    failureDomain: FailureDomain,
    state: z.enum(["live", "leaving"]),
    revision: z.number().int().optional(),
    confirmedMsAgo: z.number().optional(),
});
const Status = z.object({
    vm: VmId,
    failureDomain: FailureDomain,
    revision: z.number().int(),
    digest: z.string(),
    confirmedMsAgo: z.number().optional(),
    draining: z.boolean(),
    inForce: z.boolean().optional(),
    vms: z.array(VmStatus.extend({ inForce: z.boolean() })).optional(),
    failureDomains: z.array(z.object({
        failureDomain: FailureDomain,
        vms: z.number().int(),
        confirmed: z.number().int(),
        inForce: z.boolean(),
    })).optional(),
});

const adminRoutes: readonly AdminRoute[] = [
    {
        method: "POST",
        path: "/admin/v1/releases",
        summary:
            "Check a release note (YAML or JSON) and append it. A repetition with the same Idempotency-Key is harmless.",
        query: {
            "dry-run": "1: only check it and show the difference",
            "base": "revision that the note was written against, where it does not say so itself",
        },
        body: ReleaseNote,
        answer: Verdict,
        handle: postRelease,
    },
    {
        method: "GET",
        path: "/admin/v1/releases",
        summary: "List the releases accepted lately, the oldest first.",
        answer: z.object({ releases: z.array(ReleaseSummary) }),
        handle: ({ release }) => Promise.resolve(ok({ releases: release.reader().fold.releases })),
    },
    {
        method: "GET",
        path: "/admin/v1/releases/{revision}",
        summary: "Show a release, with its note while the log keeps it.",
        answer: ReleaseSummary.extend({ release: ReleaseNote.optional() }),
        handle: showRelease,
    },
    {
        method: "GET",
        path: "/admin/v1/configuration",
        summary: "Give the whole configuration as one release note.",
        answer: ReleaseNote,
        handle: ({ release }) => Promise.resolve(ok(exportNote(release.reader().fold.configuration))),
    },
    {
        method: "GET",
        path: "/admin/v1/status",
        summary: "Show the revision in force here, and where it is in force.",
        query: { fleet: "1: ask every VM" },
        answer: Status,
        handle: showStatus,
    },
    {
        method: "POST",
        path: "/admin/v1/keys",
        summary: "Give a key; the answer shows it once.",
        body: KeyRequest,
        answer: z.object({
            kind: z.literal("accepted"),
            keyKind: z.enum(["caller", "admin"]),
            revision: z.number().int().optional(),
            id: KeyId,
            key: z.string(),
        }),
        handle: giveKey,
    },
    {
        method: "DELETE",
        path: "/admin/v1/keys/{id}",
        summary: "Withdraw a key.",
        answer: Verdict,
        handle: withdrawKey,
    },
    {
        method: "GET",
        path: "/admin/v1/keys",
        summary: "List keys, without digests.",
        answer: z.object({ keys: z.array(ListedKey) }),
        handle: ({ release }) => {
            const { keys, withdrawnKeys } = release.reader().fold.configuration;
            const listed = [...keys.values()].map(key => ({ ...key, withdrawn: false }))
                .concat([...withdrawnKeys.values()].map(key => ({ ...key, withdrawn: true })))
                .map(({ id, kind, organisation, withdrawn }) => ({ id, kind, organisation, withdrawn }));
            return Promise.resolve(ok({ keys: listed }));
        },
    },
    {
        method: "GET",
        path: "/admin/v1/organisations",
        summary: "List organisations.",
        answer: z.object({ organisations: z.array(OrganisationSpec) }),
        handle: ({ release }) =>
            Promise.resolve(ok({ organisations: [...release.reader().fold.configuration.organisations.values()] })),
    },
    {
        method: "GET",
        path: "/admin/v1/organisations/{id}",
        summary: "Show an organisation and its allowance as this VM knows it.",
        answer: OrganisationSpec.extend({ keys: z.array(KeyId), vm: VmId, allowance: z.object({}).optional() }),
        handle: showOrganisation,
    },
    {
        method: "GET",
        path: "/admin/v1/endpoints",
        summary: "List endpoints as this VM sees them.",
        answer: z.object({ endpoints: z.array(z.object({ name: EndpointName }).passthrough()) }),
        handle: ({ placement }) => Promise.resolve(ok({ endpoints: placement.inspect() })),
    },
    {
        method: "GET",
        path: "/admin/v1/vms",
        summary: "List the VMs and the revision that each has in force.",
        answer: z.object({ vms: z.array(VmStatus) }),
        handle: async parts => ok({ vms: await vmStatuses(parts) }),
    },
    {
        method: "GET",
        path: "/admin/v1/requests/{id}",
        summary: "Show what was considered for a request, each try, and what ended it.",
        answer: z.object({ id: z.string(), vm: VmId, events: z.array(z.object({})), choices: z.array(z.object({})) }),
        handle: showRequest,
    },
];

export { adminRoutes };
