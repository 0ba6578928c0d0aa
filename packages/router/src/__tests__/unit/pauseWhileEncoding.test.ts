import type { FailureDomain, Incarnation, VmId } from "@azureshunt/core";
import test from "ava";

import { createBeaconEncoder } from "../../peers/createBeaconEncoder.js";
import { createBeaconExchange } from "../../peers/createBeaconExchange.js";
import { decodeBeacon } from "../../peers/decodeBeacon.js";
import { emptyBeacon } from "../support/emptyBeacon.js";

const PEER_SENT_AT = 40;
const RECEIVED_AT = 100;
const CONFIRMED_AT = 200;
const PAUSE_MS = 5_000;

const self = { vm: "vm" as VmId, incarnation: "own" as Incarnation, failureDomain: "fd" as FailureDomain, capacity: 1 };

const sends = [
    { name: "a full beacon", isUrgent: false },
    { name: "an urgent one", isUrgent: true },
] as const;
const pauses = [
    { name: "as the state has been collected", at: "localState" },
    { name: "as its rows are encoded", at: "ordered" },
] as const;

// Ages of before a pause, sent with a timestamp of after it, let peers accept a key that was withdrawn meanwhile.
sends.forEach(({ name: sent, isUrgent }) =>
    pauses.forEach(({ name, at }) => {
        test(`pause while encoding: ${sent} confirms nothing newer than it knows: ${name}`, t => {
            const time = { now: RECEIVED_AT, pauseMs: 0 };
            const clock = { now: () => time.now, epoch: () => time.now };
            const datagrams: Buffer[] = [];
            const scheduled: (() => void)[] = [];
            const pauseAt = <Value>(place: typeof at, value: Value): Value => {
                time.now += place === at ? time.pauseMs : 0;
                return value;
            };
            const targets = () => [{ vm: emptyBeacon.vm, address: "10.0.0.2:1", scope: "vm" as const }];
            const exchange = createBeaconExchange({
                clock,
                schedule: (_delayMs, run) => {
                    scheduled.push(run);
                    return () => undefined;
                },
                self,
                targets,
                usualTargets: targets,
                intervalMs: () => 200,
                memberFields: () => ({ vms: [], domains: [] }),
                localState: () =>
                    pauseAt("localState", { ...emptyBeacon, confirmedMs: Math.round(time.now - CONFIRMED_AT) }),
                ordered: () => pauseAt("ordered", []),
                drainCached: () => [],
                drainRelayed: () => [],
                relayedSums: () => () => ({ relayedSpent: [], relayedLoad: [], relayedDemand: 0 }),
                relayedLoadChanges: () => () => [],
                onBeacon: () => undefined,
                send: datagram => datagrams.push(datagram),
                onUnreadable: () => t.fail(),
            });
            createBeaconEncoder(emptyBeacon)({ ...emptyBeacon, sentAt: PEER_SENT_AT })
                .forEach(datagram => exchange.receive(datagram, "10.0.0.2:1"));
            Object.assign(time, { now: CONFIRMED_AT + 10, pauseMs: PAUSE_MS });
            datagrams.splice(0);
            if (isUrgent) {
                exchange.sendSoon();
                scheduled.forEach(run => run());
            }
            else {
                exchange.stop();
            }
            const beacons = datagrams.map(decodeBeacon);
            t.true(beacons.length > 0);
            // What a peer takes the confirmation for, on its own clock.
            const confirmed = beacons.map(beacon =>
                (beacon?.echo?.sentAt ?? NaN) + (beacon?.echo?.heldMs ?? NaN) - (beacon?.confirmedMs ?? NaN)
            );
            t.true(confirmed.every(asOf => asOf <= PEER_SENT_AT + CONFIRMED_AT - RECEIVED_AT), String(confirmed));
        });
    })
);
