import test from "ava";

import { announcementDue } from "../../peers/announcementDue.js";

type View = Parameters<typeof announcementDue>[0];

const settled: View = {
    upMs: 60_000,
    isFirstStart: false,
    relayForMs: 0,
    isAlone: false,
    listedMs: 50_000,
    writtenMs: Infinity,
};
const starting: View = { ...settled, upMs: 0, isFirstStart: true, listedMs: Infinity };

// If hundreds of VMs read and write the list at a start, they overload the store; if too few do, VMs never find each
// other.
const cases: readonly {
    readonly name: string;
    readonly view: View;
    readonly due: ReturnType<typeof announcementDue>;
}[] = [
    { name: "a VM that restarts reads the list at once", view: { ...starting, isFirstStart: false }, due: "list" },
    { name: "a VM on a first start waits for its seeds first", view: { ...starting, isAlone: true }, due: undefined },
    {
        name: "a VM on a first start that is still alone after the wait reads it",
        view: { ...starting, upMs: 1_000, isAlone: true },
        due: "list",
    },
    {
        name: "a VM on a first start that receives beacons of relays never reads it",
        view: { ...starting, upMs: 9_000 },
        due: undefined,
    },
    { name: "a relay on a first start reads it", view: { ...starting, upMs: 9_000, relayForMs: 1_500 }, due: "list" },
    { name: "a relay that is not listed is written", view: { ...settled, relayForMs: 1_500 }, due: "put" },
    {
        name: "a VM that has been a relay for too short a time is not written",
        view: { ...settled, relayForMs: 1_400 },
        due: undefined,
    },
    { name: "a VM that is no relay is not written", view: settled, due: undefined },
    { name: "a relay reads once more after it was written", view: { ...settled, writtenMs: 2_000 }, due: "list" },
    {
        name: "a relay that has read after it was written does not read again",
        view: { ...settled, listedMs: 40_000, writtenMs: 45_000 },
        due: undefined,
    },
    {
        name: "a VM that is alone reads again after 2 s",
        view: { ...settled, isAlone: true, listedMs: 2_000 },
        due: "list",
    },
    {
        name: "a VM that is alone does not read again before 2 s",
        view: { ...settled, isAlone: true, listedMs: 1_900 },
        due: undefined,
    },
];
cases.forEach(({ name, view, due }) => {
    test(`list of VMs: ${name}`, t => {
        t.is(announcementDue(view), due);
    });
});
