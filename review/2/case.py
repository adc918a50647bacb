"""A rack of minions crashes and is back 2.5 s later under its ids; the process that owns the service's pool is killed at
the same moment. Afterwards the minions are up, listed and empty, and what needs one of them should run."""

import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))

import standin  # noqa: E402

DOWN_S = 2.5  # the pages allow 4.5
RESTART_S = 0.5
RACK = ["m1", "m2", "m3", "m4"]


def job(seconds, kind=None):
    word = "lasts" if seconds is None else str(int(seconds * 1000))
    step = {"count": 2, "cpu": 1000, "requestedMemoryMb": 256, "estimatedMs": int((seconds or 0.9) * 1000)}
    if seconds is None:
        step["longRunning"] = True
    if kind:
        step["requirements"] = kind
    return {"specification": f"{word} x", "steps": [step]}


async def play(site, trouble):
    # Two racks of four minions; the machines of the first rack are of kind a, those of the second of kind b.
    for number in range(1, 9):
        rack = 1 if number <= 4 else 2
        await site.add_minion(f"m{number}", "desk", kind="ab"[rack - 1], rack=f"r{rack}")
    site.configure(7, [("desk", "desk")], ["desk"])
    for number in range(1, 4):
        site.add_node(number)
    await site.wait_ready()
    await site.wait_for("an owner of the pool", lambda: site.owner("desk"), 15)
    await asyncio.sleep(4)
    clients = standin.Clients(site)
    watch = standin.Waiting(site, clients)
    await clients.submit("desk", job(None, "a"))
    for _ in range(4):
        await clients.submit("desk", job(0.4, "a"))
        await clients.submit("desk", job(0.4))
        await asyncio.sleep(0.5)
    if trouble:
        owner = site.owner("desk")
        for machine in RACK:
            site.minions[machine].crash()
        site.kill_node(owner)
        await asyncio.sleep(RESTART_S)
        site.start_node(owner)
        await asyncio.sleep(DOWN_S - RESTART_S)
        for machine in RACK:
            await site.minions[machine].start()
    watch.calm()
    for _ in range(10):
        await clients.submit("desk", job(0.4, "a"))
        await clients.submit("desk", job(0.4))
        await asyncio.sleep(1)
    await asyncio.sleep(14)  # finish_s after the end of the traffic
    states = {}
    for name in clients.jobs:
        state = await clients.state(name)
        states[state] = states.get(state, 0) + 1
    site.record(f"states at the end: {states}")
    print(f"states at the end: {states}")
    lines = [f"LOST: {what} had nothing running at {at:.1f} s" for what, at in watch.broken.items()]
    return lines


standin.case(HERE, play)
