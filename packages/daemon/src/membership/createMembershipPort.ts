import { listVms } from "@azureshunt/platform";

import type { MembershipPort } from "../ports/MembershipPort.js";
import type { Settings } from "../Settings.js";

const POLL_MS = 1_000;

type Members = ReturnType<MembershipPort["members"]>;
type Listener = (members: Members) => void;

/**
 * Follows the platform's list of VMs. While the platform cannot be reached, the last list stands.
 *
 * @param settings this daemon's; its seeds stand until the first list is read
 */
export function createMembershipPort(
    settings: Settings,
    incarnation: MembershipPort["self"]["incarnation"],
): MembershipPort & { readonly stop: () => void; } {
    const self: MembershipPort["self"] = {
        vm: settings.vm,
        failureDomain: settings.failureDomain,
        state: "live",
        peer: settings.listen.peer,
        admin: settings.listen.admin,
        incarnation,
    };
    const seeds = settings.peers.seeds
        .filter(seed => seed.vm !== settings.vm)
        .map(({ vm, failureDomain, address }) => ({
            vm,
            failureDomain,
            state: "live" as const,
            peer: address,
            admin: "",
            incarnation: undefined,
        }));
    const known: { members: Members; } = { members: [self, ...seeds] };
    const listeners = new Set<Listener>();

    const poll = async (): Promise<void> => {
        const listed = await listVms(settings.platform.url).run();
        listed.ifRight(vms => {
            const others = vms.filter(vm => vm.vm !== settings.vm).map(vm => ({ ...vm, incarnation: undefined }));
            known.members = [self, ...others];
            listeners.forEach(listener => listener(known.members));
        });
    };
    void poll();
    const timer = setInterval(() => void poll(), POLL_MS);

    return {
        self,
        members: () => known.members,
        subscribe: onChange => {
            listeners.add(onChange);
            return () => void listeners.delete(onChange);
        },
        stop: () => clearInterval(timer),
    };
}
