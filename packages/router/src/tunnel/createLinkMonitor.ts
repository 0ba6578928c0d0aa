import type { Clock, Millis } from "@azureshunt/core";
import {
    allEndpoints,
    canJudge,
    cutOffGroup,
    headStartMs,
    initialLinks,
    isBlocked,
    isCutOff,
    isLost,
    serviceGroup,
    stepLinks,
} from "@azureshunt/reach";
import type { EndpointGroup, LinkEvent, LinkState, LinkTarget } from "@azureshunt/reach";
import type { Logger } from "pino";

import type { TunnelAdmission } from "./TunnelAdmission.js";
import { tunnelTiming } from "./tunnelTiming.js";

/** What this VM knows of its own links to endpoints. */
type LinkMonitor = {
    /** Records what happened to a connection. */
    readonly record: (kind: LinkEvent["kind"], target: LinkTarget) => void;
    /** Whether this VM seems to have lost its links to all endpoints of a group. */
    readonly isCutOff: (group: EndpointGroup) => boolean;
    /** Returns the largest group of an endpoint from which this VM seems to be cut off; `undefined` if there is none. */
    readonly cutOffGroup: (target: LinkTarget) => EndpointGroup | undefined;
    /** Whether the own link to an endpoint seems not to work. */
    readonly isBlocked: (target: LinkTarget) => boolean;
    /** Whether a connection to an endpoint that fails says something of the endpoint. */
    readonly canJudge: (target: LinkTarget) => boolean;
    /** Returns how long the own link may take to open a connection before a peer is asked as well. */
    readonly headStartMs: (target: LinkTarget) => Millis;
    /** Returns whether this VM is cut off from an endpoint and its own link should be probed now; it then counts as probed. */
    readonly beginProbe: (target: LinkTarget) => boolean;
    /** Returns whether this VM opens a connection to an endpoint for a peer. */
    readonly admitTunnel: (target: LinkTarget) => TunnelAdmission;
};

/** Creates a monitor that has seen no connection yet, and logs from which endpoints this VM is cut off. */
export function createLinkMonitor({ clock, logger }: { readonly clock: Clock; readonly logger: Logger; }): LinkMonitor {
    const state = { links: initialLinks as LinkState };
    /** Groups that were last logged as cut off. */
    const cutOffGroups = new Set<EndpointGroup>();
    /** When a link of a group from which this VM is cut off was last probed. */
    const probedAt = new Map<EndpointGroup, Millis>();

    const updateCutOff = (group: EndpointGroup): boolean => {
        const cutOff = isCutOff(state.links, group, clock.now());
        if (cutOff === cutOffGroups.has(group)) {
            return cutOff;
        }
        const inputs = { cutOff, group, unopened: state.links.unopened.size };
        if (cutOff) {
            cutOffGroups.add(group);
            logger.warn(inputs, "Own links reach no endpoints of a group: connections are opened through peers.");
        }
        else {
            cutOffGroups.delete(group);
            logger.warn(inputs, "Own links reach endpoints of a group again.");
        }
        return cutOff;
    };
    const findCutOffGroup = (target: LinkTarget): EndpointGroup | undefined =>
        cutOffGroup(state.links, target, clock.now());

    const beginProbe: LinkMonitor["beginProbe"] = target => {
        const group = findCutOffGroup(target);
        if (group === undefined || clock.now() - (probedAt.get(group) ?? -Infinity) < tunnelTiming.probeIntervalMs) {
            return false;
        }
        probedAt.set(group, clock.now());
        return true;
    };
    const admitTunnel: LinkMonitor["admitTunnel"] = target => {
        const now = clock.now();
        if (!isLost(state.links, target, now)) {
            return "try";
        }
        return canJudge(state.links, target, now) ? "silent" : "unavailable";
    };

    return {
        record: (kind, target) => {
            state.links = stepLinks(state.links, { kind, target }, clock.now());
            [allEndpoints, serviceGroup(target.service), ...cutOffGroups].forEach(updateCutOff);
        },
        isCutOff: updateCutOff,
        cutOffGroup: findCutOffGroup,
        isBlocked: target => isBlocked(state.links, target, clock.now()),
        canJudge: target => canJudge(state.links, target, clock.now()),
        headStartMs: target => headStartMs(state.links, target, clock.now()),
        beginProbe,
        admitTunnel,
    };
}
